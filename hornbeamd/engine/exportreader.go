package engine

import (
	"errors"
	"io"
	"sync"
)

// exportReader is the request body of a KV cache import. It reads the response body of the export,
// counts the bytes and enforces a size limit. A mutex guards its state, because the HTTP transport
// may still read the request body after the import request has returned.
type exportReader struct {
	source io.Reader

	mu    sync.Mutex
	limit int64
	total int64
	err   error
}

// Read implements io.Reader. An error other than io.EOF makes the transport abort the import, so
// that the target never accepts a partial cache as a complete one.
func (x *exportReader) Read(p []byte) (int, error) {
	n, err := x.source.Read(p)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.total += int64(n)
	if x.total > x.limit {
		n, err = 0, errKVTooLarge
	}
	if err != nil && !errors.Is(err, io.EOF) && x.err == nil {
		x.err = err
	}
	return n, err
}

func (x *exportReader) bytesRead() int64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.total
}

// exportErr returns the error that ended the export; nil if the export is complete or still
// running.
func (x *exportReader) exportErr() error {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.err
}

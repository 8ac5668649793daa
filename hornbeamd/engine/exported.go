package engine

import (
	"errors"
	"io"
	"sync"
)

// exported is the body of an import: what an export yields, counted and bounded. The transport may still read it after the exchange
// has ended, so its state is guarded.
type exported struct {
	r io.Reader

	mu    sync.Mutex
	limit int64
	n     int64
	err   error
}

// Read implements io.Reader. An error makes the transport break the import off, so that no part of a cache is taken for the whole.
func (x *exported) Read(p []byte) (int, error) {
	n, err := x.r.Read(p)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.n += int64(n)
	if x.n > x.limit {
		n, err = 0, errTooLarge
	}
	if err != nil && !errors.Is(err, io.EOF) && x.err == nil {
		x.err = err
	}
	return n, err
}

func (x *exported) count() int64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.n
}

// failure returns the error that ended the export, nil if it is complete or goes on.
func (x *exported) failure() error {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.err
}

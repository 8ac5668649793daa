package service

import (
	"errors"
	"io"

	"hornbeamstep.example/ports/transport"
)

// eventStreamReader reads a stream of server-sent events. At an end inside an event it returns
// io.ErrUnexpectedEOF instead of io.EOF. It does so before the first event too, if endsWithConnection
// is true: the body has neither a length nor chunks, which would show that it is complete.
type eventStreamReader struct {
	body               io.Reader
	endsWithConnection bool
	scanner            transport.EventScanner
}

func (r *eventStreamReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	r.scanner.Scan(p[:n])
	if errors.Is(err, io.EOF) && (r.scanner.InEvent() || r.endsWithConnection && !r.scanner.HasEvent()) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

package caller

import (
	"context"
	"errors"

	"hornbeamstep.example/hornbeamd/engine"
	"hornbeamstep.example/hornbeamd/exchange"
)

// resumableStream is the stream of one attempt, which it resumes on a new connection when one
// breaks. It resumes only the same attempt on the same engine, so that all chunks belong to one
// generation.
type resumableStream struct {
	ctx     context.Context
	client  engine.Client
	attempt engine.Attempt
	stream  engine.Stream
	// started is true once the attempt was sent to the engine. From then on it is only resumed,
	// never started again.
	started bool
	// lastSeq is the sequence number of the last chunk returned.
	lastSeq int
	// maxEmptyConnections limits the consecutive connections without a chunk, and emptyConnections
	// counts them.
	maxEmptyConnections, emptyConnections int
	// resumes counts the connections after the first.
	resumes int
}

func newResumableStream(ctx context.Context, client engine.Client, attempt engine.Attempt, limit int) *resumableStream {
	return &resumableStream{ctx: ctx, client: client, attempt: attempt, maxEmptyConnections: limit}
}

// next returns the next chunk, engine.ErrStreamComplete when the engine has sent the end of the
// stream, or the failure of the attempt.
func (r *resumableStream) next() (engine.Chunk, error) {
	var first error
	for {
		chunk, err := r.read()
		if err == nil {
			r.lastSeq = chunk.Seq
			r.emptyConnections = 0
			return chunk, nil
		}
		if errors.Is(err, engine.ErrStreamComplete) {
			return engine.Chunk{}, err
		}
		if !r.canResume(err) {
			return engine.Chunk{}, failureToReport(first, err)
		}
		r.close()
		r.emptyConnections++
		if first == nil {
			first = err
		}
	}
}

// read opens a connection if there is none and reads from it.
func (r *resumableStream) read() (engine.Chunk, error) {
	if r.stream == nil {
		if err := r.open(); err != nil {
			return engine.Chunk{}, err
		}
	}
	return r.stream.Next()
}

// open starts the attempt, or continues it on a new connection.
func (r *resumableStream) open() error {
	var err error
	if !r.started {
		r.started = true
		r.stream, err = r.client.Start(r.ctx, r.attempt)
	} else {
		r.resumes++
		r.stream, err = r.client.Resume(r.ctx, r.attempt.ID, r.lastSeq)
	}
	if err != nil {
		r.stream = nil
	}
	return err
}

// canResume reports whether the stream may be resumed after an error: the connection failed, but
// not the attempt itself.
func (r *resumableStream) canResume(err error) bool {
	var failure *exchange.Error
	if !errors.As(err, &failure) || !failure.Sent || r.emptyConnections >= r.maxEmptyConnections || r.ctx.Err() != nil {
		return false
	}
	switch failure.Kind {
	case exchange.Broken, exchange.TimedOut, exchange.Protocol:
		return true
	}
	return false
}

// failureToReport returns the failure to report after a failed resume: the first one, since a
// resume that was not sent or was refused does not tell whether the attempt ran. Only a
// cancellation by the caller takes precedence.
func failureToReport(first, last error) error {
	var failure *exchange.Error
	if first == nil || !errors.As(last, &failure) {
		return last
	}
	if failure.Kind != exchange.Cancelled {
		return first
	}
	cancelled := *failure
	cancelled.Sent = true
	return &cancelled
}

// buffered reports whether the next chunk has already arrived.
func (r *resumableStream) buffered() bool {
	b, ok := r.stream.(interface{ Buffered() bool })
	return ok && b.Buffered()
}

func (r *resumableStream) close() {
	if r.stream != nil {
		r.stream.Close()
		r.stream = nil
	}
}

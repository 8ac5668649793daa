package caller

import (
	"context"
	"errors"

	"hornbeamstep.example/hornbeamd/engine"
	"hornbeamstep.example/hornbeamd/exchange"
)

// resumed is the stream of one attempt over as many connections as it takes. Since it resumes only the same attempt on the
// same engine, its chunks belong to one generation.
type resumed struct {
	ctx     context.Context
	client  engine.Client
	attempt engine.Attempt
	stream  engine.Stream
	// started is true once the engine may know the attempt; from then on it is only resumed.
	started bool
	// last is the sequence number of the last chunk returned.
	last int
	// limit bounds the connections in a row that yield nothing, and idle counts them.
	limit, idle int
	// resumes counts the connections after the first.
	resumes int
}

func newResumed(ctx context.Context, client engine.Client, a engine.Attempt, limit int) *resumed {
	return &resumed{ctx: ctx, client: client, attempt: a, limit: limit}
}

// next returns the next chunk, engine.ErrEnd at the explicit end, or the failure that ended the attempt.
func (r *resumed) next() (engine.Chunk, error) {
	var first error
	for {
		chunk, err := r.read()
		if err == nil {
			r.last = chunk.Seq
			r.idle = 0
			return chunk, nil
		}
		if errors.Is(err, engine.ErrEnd) {
			return engine.Chunk{}, err
		}
		if !r.resumable(err) {
			return engine.Chunk{}, prefer(first, err)
		}
		r.close()
		r.idle++
		if first == nil {
			first = err
		}
	}
}

// read opens a connection if there is none and reads from it.
func (r *resumed) read() (engine.Chunk, error) {
	if r.stream == nil {
		if err := r.open(); err != nil {
			return engine.Chunk{}, err
		}
	}
	return r.stream.Next()
}

// open starts the attempt, or continues it on a new connection.
func (r *resumed) open() error {
	var err error
	if !r.started {
		r.started = true
		r.stream, err = r.client.Start(r.ctx, r.attempt)
	} else {
		r.resumes++
		r.stream, err = r.client.Resume(r.ctx, r.attempt.ID, r.last)
	}
	if err != nil {
		r.stream = nil
	}
	return err
}

// resumable reports whether a failure is one of the connection and not of the attempt.
func (r *resumed) resumable(err error) bool {
	var failure *exchange.Error
	if !errors.As(err, &failure) || !failure.Sent || r.idle >= r.limit || r.ctx.Err() != nil {
		return false
	}
	switch failure.Kind {
	case exchange.Broken, exchange.TimedOut, exchange.Protocol:
		return true
	}
	return false
}

// prefer returns the failure to report when a resume failed after a first failure: the first one, since a resume that was
// not sent or was refused says nothing about whether the attempt ran. Only the caller's departure counts for more.
func prefer(first, last error) error {
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

// buffered reports whether a further chunk has already arrived.
func (r *resumed) buffered() bool {
	b, ok := r.stream.(interface{ Buffered() bool })
	return ok && b.Buffered()
}

func (r *resumed) close() {
	if r.stream != nil {
		r.stream.Close()
		r.stream = nil
	}
}

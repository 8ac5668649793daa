package caller

import (
	"context"
	"errors"

	"hornbeamstep.example/hornbeamd/engine"
	"hornbeamstep.example/hornbeamd/exchange"
)

// resumableStream is the stream of one attempt. If its connection breaks, it resumes the same
// attempt on the same engine over a new connection, so that all chunks belong to one generation.
type resumableStream struct {
	ctx     context.Context
	client  engine.Client
	attempt engine.Attempt
	stream  engine.Stream
	// started is true once open has called Client.Start. Later calls of open resume the attempt and
	// never start it again.
	started bool
	// lastSeq is the sequence number of the last chunk returned.
	lastSeq int
	// resumesSinceChunk counts the resumes since the last chunk, or since the start if there was no
	// chunk yet. maxResumesSinceChunk limits it.
	maxResumesSinceChunk, resumesSinceChunk int
	// resumes counts all resumes, including failed ones.
	resumes int
}

func newResumableStream(ctx context.Context, client engine.Client, attempt engine.Attempt, maxResumesSinceChunk int) *resumableStream {
	return &resumableStream{ctx: ctx, client: client, attempt: attempt, maxResumesSinceChunk: maxResumesSinceChunk}
}

// next returns the next chunk and resumes the stream if necessary. Its error is
// engine.ErrStreamComplete after the end of the stream, and otherwise the failure of the attempt.
func (r *resumableStream) next() (engine.Chunk, error) {
	var firstFailure error
	for {
		chunk, err := r.read()
		if err == nil {
			r.lastSeq = chunk.Seq
			r.resumesSinceChunk = 0
			return chunk, nil
		}
		if errors.Is(err, engine.ErrStreamComplete) {
			return engine.Chunk{}, err
		}
		if !r.canResume(err) {
			return engine.Chunk{}, failureToReport(firstFailure, err)
		}
		r.close()
		r.resumesSinceChunk++
		if firstFailure == nil {
			firstFailure = err
		}
	}
}

// read reads the next chunk from the current connection. It opens a connection if there is none.
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

// canResume reports whether the stream may be resumed after an error: the connection or its data
// failed, but the attempt may still run on the engine. It returns false once the context has ended
// or the limit on resumes is reached.
func (r *resumableStream) canResume(err error) bool {
	var failure *exchange.Error
	if !errors.As(err, &failure) || !failure.Sent || r.resumesSinceChunk >= r.maxResumesSinceChunk || r.ctx.Err() != nil {
		return false
	}
	switch failure.Kind {
	case exchange.Broken, exchange.TimedOut, exchange.Protocol:
		return true
	}
	return false
}

// failureToReport returns the failure of the attempt after its last error. If the attempt was
// resumed, that is the first failure, since a resume that was not sent or was refused does not tell
// whether the attempt ran. Only a cancellation by the caller takes precedence. It is marked as
// sent, since the attempt was sent even if the resume was not.
func failureToReport(firstFailure, lastFailure error) error {
	var failure *exchange.Error
	if firstFailure == nil || !errors.As(lastFailure, &failure) {
		return lastFailure
	}
	if failure.Kind != exchange.Cancelled {
		return firstFailure
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

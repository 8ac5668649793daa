package engine

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/tidwall/gjson"

	"hornbeamstep.example/hornbeamd/exchange"
)

// endOfStream is the data of the last event of a complete stream.
const endOfStream = "[DONE]"

// stream reads the chunks of one streaming response.
type stream struct {
	ctx     context.Context
	cancel  context.CancelCauseFunc
	resp    *http.Response
	events  *eventReader
	attempt string
	// lastSeq is the sequence number of the last chunk that was returned.
	lastSeq int
	// firstTimeout and progressTimeout are the timeouts for the first and for each further chunk.
	firstTimeout, progressTimeout time.Duration
	watchdog                      *time.Timer
	complete                      bool
}

// newStream returns a stream that owns the response, its context and the watchdog, which cancels
// the context when it fires.
func newStream(ctx context.Context, cancel context.CancelCauseFunc, resp *http.Response, watchdog *time.Timer) *stream {
	return &stream{ctx: ctx, cancel: cancel, resp: resp, watchdog: watchdog}
}

// Next implements Stream. The timeout runs only while Next waits, so that a slow caller does not
// count as a slow engine.
func (s *stream) Next() (Chunk, error) {
	if s.complete {
		return Chunk{}, ErrStreamComplete
	}
	timeout := s.progressTimeout
	if s.lastSeq == 0 {
		timeout = s.firstTimeout
	}
	s.watchdog.Reset(timeout)
	defer s.watchdog.Stop()
	for {
		ev, err := s.events.next()
		if err != nil {
			return Chunk{}, s.readError(err)
		}
		if string(ev.data) == endOfStream {
			s.complete = true
			return Chunk{}, ErrStreamComplete
		}
		if ev.name == "error" {
			return Chunk{}, s.streamError(exchange.Rejected, "engine ended the stream with an error: "+truncate(ev.data))
		}
		if err := s.validate(ev); err != nil {
			return Chunk{}, err
		}
		if ev.id <= s.lastSeq {
			continue
		}
		s.lastSeq = ev.id
		return Chunk{Seq: ev.id, Data: ev.data}, nil
	}
}

// validate returns an error if the event cannot belong to the response of this attempt. It accepts
// duplicates, which Next drops.
func (s *stream) validate(ev event) error {
	switch {
	case !gjson.ValidBytes(ev.data):
		return s.streamError(exchange.Protocol, "chunk is not valid JSON")
	case gjson.GetBytes(ev.data, "id").Str != s.attempt:
		return s.streamError(exchange.Protocol, "chunk belongs to another attempt")
	case ev.id == 0:
		return s.streamError(exchange.Protocol, "chunk has no event ID")
	case ev.id > s.lastSeq+1:
		return s.streamError(exchange.Protocol, "chunks are missing")
	case bytes.IndexByte(ev.data, '\n') >= 0:
		return s.streamError(exchange.Protocol, "chunk spans several lines")
	}
	return nil
}

// Buffered reports whether the next chunk has already arrived.
func (s *stream) Buffered() bool { return s.events.buffered() }

// Close implements Stream. After the end-of-stream event it reads the rest of the body, within
// drainTimeout and maxDrainBytes, so that the connection can be reused.
func (s *stream) Close() {
	if s.complete {
		s.watchdog.Reset(drainTimeout)
		_, err := io.CopyN(io.Discard, s.resp.Body, maxDrainBytes)
		s.complete = errors.Is(err, io.EOF)
	}
	s.watchdog.Stop()
	s.events.close()
	s.resp.Body.Close()
	s.cancel(nil)
}

func (s *stream) readError(err error) error {
	if errors.Is(err, errEventTooLarge) || errors.Is(err, errNoEventMemory) {
		return s.streamError(exchange.Protocol, err.Error())
	}
	return exchange.NewError(s.ctx, err, true)
}

func (s *stream) streamError(kind exchange.Kind, message string) error {
	return &exchange.Error{Kind: kind, Sent: true, Status: s.resp.StatusCode, Message: message}
}

// truncate limits the length of engine output in error messages.
func truncate(data []byte) string {
	const limit = 200
	if len(data) > limit {
		data = data[:limit]
	}
	return string(data)
}

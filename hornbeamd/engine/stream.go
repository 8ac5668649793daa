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

// endOfStream is the data of the event that ends a complete stream.
const endOfStream = "[DONE]"

// stream reads the events of one exchange.
type stream struct {
	ctx     context.Context
	cancel  context.CancelCauseFunc
	resp    *http.Response
	events  *eventReader
	attempt string
	// last is the sequence number of the last chunk returned.
	last int
	// first and progress are the deadlines for the first and for each further chunk.
	first, progress time.Duration
	watchdog        *time.Timer
	ended           bool
}

// newStream takes over the answer, its context and a stopped watchdog that cancels the context.
func newStream(ctx context.Context, cancel context.CancelCauseFunc, resp *http.Response, watchdog *time.Timer) *stream {
	return &stream{ctx: ctx, cancel: cancel, resp: resp, watchdog: watchdog}
}

// Next implements Stream. The deadline runs only while it waits, so a slow caller does not count against the engine.
func (s *stream) Next() (Chunk, error) {
	if s.ended {
		return Chunk{}, ErrEnd
	}
	limit := s.progress
	if s.last == 0 {
		limit = s.first
	}
	s.watchdog.Reset(limit)
	defer s.watchdog.Stop()
	for {
		ev, err := s.events.next()
		if err != nil {
			return Chunk{}, s.fail(err)
		}
		if string(ev.data) == endOfStream {
			s.ended = true
			return Chunk{}, ErrEnd
		}
		if ev.name == "error" {
			return Chunk{}, s.broken(exchange.Rejected, "the engine ended the stream: "+clip(ev.data))
		}
		if err := s.check(ev); err != nil {
			return Chunk{}, err
		}
		if ev.id <= s.last {
			continue
		}
		s.last = ev.id
		return Chunk{Seq: ev.id, Data: ev.data}, nil
	}
}

// check refuses what cannot be the next part of this attempt's answer. Repetitions pass: the caller drops them.
func (s *stream) check(ev event) error {
	switch {
	case !gjson.ValidBytes(ev.data):
		return s.broken(exchange.Protocol, "a chunk is not valid JSON")
	case gjson.GetBytes(ev.data, "id").Str != s.attempt:
		return s.broken(exchange.Protocol, "a chunk belongs to another attempt")
	case ev.id == 0:
		return s.broken(exchange.Protocol, "a chunk has no event id")
	case ev.id > s.last+1:
		return s.broken(exchange.Protocol, "chunks are missing")
	case bytes.IndexByte(ev.data, '\n') >= 0:
		return s.broken(exchange.Protocol, "a chunk spans several lines")
	}
	return nil
}

// Buffered reports whether a further chunk has already arrived.
func (s *stream) Buffered() bool { return s.events.buffered() }

// Close implements Stream. After the explicit end the rest of the body is read, if it is at hand, to free the connection.
func (s *stream) Close() {
	if s.ended {
		s.watchdog.Reset(drainTime)
		_, err := io.CopyN(io.Discard, s.resp.Body, drainBytes)
		s.ended = errors.Is(err, io.EOF)
	}
	s.watchdog.Stop()
	s.resp.Body.Close()
	s.cancel(nil)
}

func (s *stream) fail(err error) error {
	if errors.Is(err, errEventTooLarge) {
		return s.broken(exchange.Protocol, err.Error())
	}
	return exchange.Failure(s.ctx, err, true)
}

func (s *stream) broken(kind exchange.Kind, message string) error {
	return &exchange.Error{Kind: kind, Sent: true, Status: s.resp.StatusCode, Message: message}
}

// clip bounds text from an engine that goes into messages.
func clip(data []byte) string {
	const limit = 200
	if len(data) > limit {
		data = data[:limit]
	}
	return string(data)
}

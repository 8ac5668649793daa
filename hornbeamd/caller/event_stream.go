package caller

import (
	"strconv"
	"sync"
	"time"

	"github.com/tidwall/gjson"

	"hornbeamstep.example/hornbeamd/engine"
	"hornbeamstep.example/routing/outcome"
)

// eventStream writes a response to the caller as server-sent events.
type eventStream struct {
	call *call
	// includeUsage is true if the caller requested a usage chunk at the end of the stream.
	includeUsage bool

	mu  sync.Mutex
	buf []byte
	// closed is true once nothing more may be written.
	closed    bool
	lastWrite time.Time
	// heartbeat fires sendHeartbeat.
	heartbeat *time.Timer
}

// newEventStream returns a stream and starts its heartbeat. The response header is sent with the
// first event or heartbeat, so that an error before that can have its own HTTP status.
func newEventStream(c *call, includeUsage bool) *eventStream {
	s := &eventStream{call: c, includeUsage: includeUsage, lastWrite: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heartbeat = time.AfterFunc(c.server.options.HeartbeatInterval, s.sendHeartbeat)
	return s
}

// writeChunk implements chunkSink. It does not flush if the next chunk has already arrived, so that
// both share a packet.
func (s *eventStream) writeChunk(chunk engine.Chunk, moreBuffered bool) error {
	if !s.includeUsage && onlyUsage(chunk.Data) {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.buf = append(s.buf[:0], "id: "...)
	s.buf = strconv.AppendInt(s.buf, int64(chunk.Seq), 10)
	s.buf = append(s.buf, "\ndata: "...)
	s.buf = append(s.buf, chunk.Data...)
	s.buf = append(s.buf, "\n\n"...)
	if err := s.write(!moreBuffered); err != nil {
		return err
	}
	s.call.contentSent = true
	return nil
}

// onlyUsage reports whether a chunk contains the usage and no choices.
func onlyUsage(data []byte) bool {
	return gjson.GetBytes(data, "usage").IsObject() && gjson.GetBytes(data, "choices.#").Int() == 0
}

// finish implements chunkSink.
func (s *eventStream) finish() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.buf = append(s.buf[:0], "data: [DONE]\n\n"...)
	return s.write(true)
}

// fail sends an error event if the response header was sent, and closes the stream. If the header
// was not sent, fail sends nothing: Server.handle then sends the error as the response.
func (s *eventStream) fail(e *outcome.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.call.headerSent || s.closed {
		s.closed = true
		return
	}
	s.buf = append(s.buf[:0], "event: error\ndata: "...)
	s.buf = append(s.buf, encodeError(e)...)
	s.buf = append(s.buf, "\n\n"...)
	// A write error is ignored: a caller that cannot receive the event sees a closed connection.
	_ = s.write(true)
	s.closed = true
}

// sendHeartbeat sends an SSE comment if nothing was written for Options.HeartbeatInterval, so that
// the caller and proxies do not close an idle connection. After a failed write it is not called
// again.
func (s *eventStream) sendHeartbeat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	idle := time.Since(s.lastWrite)
	if idle < s.call.server.options.HeartbeatInterval {
		s.heartbeat.Reset(s.call.server.options.HeartbeatInterval - idle)
		return
	}
	s.buf = append(s.buf[:0], ": waiting for the engine\n\n"...)
	if s.write(true) == nil {
		s.heartbeat.Reset(s.call.server.options.HeartbeatInterval)
	}
}

// write sends the buffer, after the response header if it was not sent yet. If the caller does not
// receive the buffer within Options.WriteTimeout, the write fails. The caller must hold mu.
func (s *eventStream) write(flush bool) error {
	if !s.call.headerSent {
		s.call.headerSent = true
		s.call.w.Header().Set("Content-Type", "text/event-stream")
		s.call.w.Header().Set("Cache-Control", "no-cache")
	}
	s.lastWrite = time.Now()
	if err := s.call.controller.SetWriteDeadline(s.lastWrite.Add(s.call.server.options.WriteTimeout)); err != nil {
		return err
	}
	s.call.recorder.add(s.buf)
	if _, err := s.call.w.Write(s.buf); err != nil {
		return err
	}
	if !flush {
		return nil
	}
	return s.call.controller.Flush()
}

// close stops the heartbeat. Nothing is written to the response afterwards.
func (s *eventStream) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.heartbeat.Stop()
}

package caller

import (
	"strconv"
	"sync"
	"time"

	"github.com/tidwall/gjson"

	"hornbeamstep.example/hornbeamd/engine"
	"hornbeamstep.example/routing/outcome"
)

// relay writes an answer to the caller as server-sent events.
type relay struct {
	c *call
	// usage is true if the caller asked for the usage at the end.
	usage bool

	mu  sync.Mutex
	buf []byte
	// closed is true once nothing more may be written.
	closed bool
	// last is when something was last written.
	last  time.Time
	heart *time.Timer
}

// newRelay starts the heartbeat. The header is sent with the first event, so that an early failure has its own status.
func newRelay(c *call, usage bool) *relay {
	r := &relay{c: c, usage: usage, last: time.Now()}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heart = time.AfterFunc(c.s.options.Heartbeat, r.beat)
	return r
}

// chunk implements sink. It flushes unless the next chunk is at hand, which then goes into the same packet.
func (r *relay) chunk(ch engine.Chunk, more bool) error {
	if !r.usage && onlyUsage(ch.Data) {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.buf = append(r.buf[:0], "id: "...)
	r.buf = strconv.AppendInt(r.buf, int64(ch.Seq), 10)
	r.buf = append(r.buf, "\ndata: "...)
	r.buf = append(r.buf, ch.Data...)
	r.buf = append(r.buf, "\n\n"...)
	if err := r.write(!more); err != nil {
		return err
	}
	r.c.delivered = true
	return nil
}

// onlyUsage reports whether a chunk holds nothing but the usage.
func onlyUsage(data []byte) bool {
	return gjson.GetBytes(data, "usage").IsObject() && gjson.GetBytes(data, "choices.#").Int() == 0
}

// end implements sink.
func (r *relay) end() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.buf = append(r.buf[:0], "data: [DONE]\n\n"...)
	return r.write(true)
}

// fail ends a stream that has begun with an explicit error. Otherwise the error becomes the whole answer.
func (r *relay) fail(e *outcome.Error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.c.replied || r.closed {
		r.closed = true
		return
	}
	r.buf = append(r.buf[:0], "event: error\ndata: "...)
	r.buf = append(r.buf, encodeError(e)...)
	r.buf = append(r.buf, "\n\n"...)
	// A caller that cannot be reached sees the connection end.
	_ = r.write(true)
	r.closed = true
}

// beat sends a comment if nothing was written for a while, so that the caller and what lies between see a live connection.
func (r *relay) beat() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	idle := time.Since(r.last)
	if idle < r.c.s.options.Heartbeat {
		r.heart.Reset(r.c.s.options.Heartbeat - idle)
		return
	}
	r.buf = append(r.buf[:0], ": waiting for the engine\n\n"...)
	if r.write(true) == nil {
		r.heart.Reset(r.c.s.options.Heartbeat)
	}
}

// write sends the buffer. A caller that does not take it within the limit loses the connection, and with it the stream.
func (r *relay) write(flush bool) error {
	if !r.c.replied {
		r.c.replied = true
		r.c.w.Header().Set("Content-Type", "text/event-stream")
		r.c.w.Header().Set("Cache-Control", "no-cache")
	}
	r.last = time.Now()
	if err := r.c.control.SetWriteDeadline(r.last.Add(r.c.s.options.Write)); err != nil {
		return err
	}
	r.c.keep.add(r.buf)
	if _, err := r.c.w.Write(r.buf); err != nil {
		return err
	}
	if !flush {
		return nil
	}
	return r.c.control.Flush()
}

// close stops the heartbeat. After it nothing touches the answer.
func (r *relay) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.heart.Stop()
}

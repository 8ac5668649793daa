package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"hornbeamstep.example/hornbeamd/backend"
	"hornbeamstep.example/routing/balance"
)

// eventLimit bounds one event of a stream in bytes.
const eventLimit = 1 << 20

// event is one event of a stream as it arrived, its blank line included.
type event struct {
	text []byte
	// id is the number that the event carries; empty if it carries none.
	id string
	// whole is false if the stream ended within the event.
	whole bool
}

// readEvent reads the next event. The error is that of the reader.
func readEvent(in *bufio.Reader) (event, error) {
	var e event
	for {
		line, err := in.ReadSlice('\n')
		e.text = append(e.text, line...)
		if errors.Is(err, bufio.ErrBufferFull) && len(e.text) <= eventLimit {
			continue
		}
		if err != nil {
			return e, err
		}
		start := bytes.LastIndexByte(e.text[:len(e.text)-1], '\n') + 1
		field := bytes.TrimRight(e.text[start:], "\r\n")
		if len(field) == 0 {
			e.whole = true
			return e, nil
		}
		if id, found := bytes.CutPrefix(field, []byte("id:")); found {
			e.id = string(bytes.TrimSpace(id))
		}
	}
}

// after is true if an event has to follow the last one that the caller has. Numbers grow within a stream.
func (e event) after(last string) bool {
	if e.id == "" || last == "" {
		return true
	}
	number, err := strconv.ParseInt(e.id, 10, 64)
	lastNumber, errLast := strconv.ParseInt(last, 10, 64)
	return err != nil || errLast != nil || number > lastNumber
}

// relayStream passes events on as they arrive. Only whole events reach the caller, so that a stream which breaks off can go on
// at another server after the last of them.
func (c *call) relayStream(ctx context.Context, a *backend.Response, p *patience) (balance.Ending, result) {
	in := bufio.NewReaderSize(a, streamBuffer)
	for {
		e, err := readEvent(in)
		if err != nil {
			return c.endStream(ctx, a, e, err)
		}
		p.progress()
		if !e.after(c.last) {
			continue
		}
		if !c.pass(a, e, in.Buffered() == 0) {
			return balance.Abandoned, gone
		}
	}
}

// streamBuffer is the size of the buffer for events, in bytes.
const streamBuffer = 4 << 10

// pass sends an event to the caller, and flushes unless more has arrived.
func (c *call) pass(a *backend.Response, e event, flush bool) bool {
	c.head(a)
	if _, err := c.w.Write(e.text); err != nil {
		return false
	}
	if e.id != "" {
		c.last = e.id
	}
	if !flush {
		return true
	}
	return http.NewResponseController(c.w).Flush() == nil
}

// head sends the head of the answer; a stream that goes on at another server keeps that of the first.
func (c *call) head(a *backend.Response) {
	if c.answered {
		return
	}
	c.answered = true
	c.s.Upstreams.began(c.asked, time.Since(c.begun))
	c.s.Codec.Relay(c.w.Header(), a.Header)
	c.w.WriteHeader(a.Status)
	c.s.Metrics.first(c)
}

// endStream ends the caller's stream if the server's is complete.
func (c *call) endStream(ctx context.Context, a *backend.Response, rest event, err error) (balance.Ending, result) {
	// Without framing, a stream that ends within an event was cut off.
	if !errors.Is(err, io.EOF) || len(rest.text) > 0 && !a.Framed {
		return c.broken(ctx)
	}
	c.head(a)
	if len(rest.text) > 0 {
		if _, err := c.w.Write(rest.text); err != nil {
			return balance.Abandoned, gone
		}
	}
	c.report(a.Status, "served")
	c.clearDeadline()
	return balance.Answered, finished
}

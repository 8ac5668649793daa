package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"hornbeamstep.example/hornbeamd/memory"
	"hornbeamstep.example/ports/transport"
	"hornbeamstep.example/routing/balance"
)

// maxEventBytes is the size limit for one event of a stream; up to streamBufferBytes more are read
// before it is checked.
const maxEventBytes = 1 << 20

var errEventTooLarge = eris.New("event exceeds the size limit")

// event is one server-sent event as it was received, including the blank line at its end and any
// before it. Blank lines at the end of a stream are an event of their own.
type event struct {
	text []byte
	// id is the event's ID; empty if it has none.
	id string
	// complete is false if the stream ended within the event.
	complete bool
}

// readEvent reads the next event. It returns the reader's error unchanged, along with the part of
// the event that was read. The error is errEventTooLarge for an event above maxEventBytes, and
// errNoReadBudget if held can't hold the event.
func readEvent(reader *bufio.Reader, held *memory.Reservation) (event, error) {
	var e event
	// hasLine is true once a part of a line that is not blank was read.
	hasLine := false
	for {
		line, err := reader.ReadSlice('\n')
		var hasRoom bool
		if e.text, hasRoom = held.Append(e.text, line); !hasRoom {
			return e, errNoReadBudget
		}
		switch {
		case len(e.text) > maxEventBytes:
			return e, errEventTooLarge
		case errors.Is(err, bufio.ErrBufferFull):
			hasLine = true
			continue
		case errors.Is(err, io.EOF) && !hasLine && len(line) == 0 && len(e.text) > 0:
			e.complete = true
			return e, nil
		case err != nil:
			return e, err
		}
		start := bytes.LastIndexByte(e.text[:len(e.text)-1], '\n') + 1
		field := bytes.TrimRight(e.text[start:], "\r\n")
		if len(field) == 0 {
			if hasLine {
				e.complete = true
				return e, nil
			}
			continue
		}
		hasLine = true
		if id, found := bytes.CutPrefix(field, []byte("id:")); found {
			e.id = string(bytes.TrimSpace(id))
		}
	}
}

// isAfter returns true unless the client already has the event: if both IDs are numbers, the event
// must have the greater one, since event IDs increase within a stream. Without a numeric ID, the
// event is always sent.
func (e event) isAfter(lastID string) bool {
	if e.id == "" || lastID == "" {
		return true
	}
	number, err := strconv.ParseInt(e.id, 10, 64)
	lastNumber, errLast := strconv.ParseInt(lastID, 10, 64)
	return err != nil || errLast != nil || number > lastNumber
}

// relayStream relays events as they arrive. It sends only complete events to the client, so that a
// broken stream can resume at another server after the last event sent.
func (c *clientRequest) relayStream(a *attempt) (balance.Outcome, attemptResult) {
	for {
		e, err := a.nextEvent()
		if err != nil {
			return c.endStream(a, e, err)
		}
		a.timer.progress()
		if !e.isAfter(c.lastEventID) {
			continue
		}
		if !c.claimStream(a) || !c.commitEvent(e) {
			return balance.Abandoned, attemptMayHaveRun
		}
		// Events that arrived together are flushed together.
		a.timer.beginWrite()
		isSent := c.writeEvent(a, e, !hasBufferedEvent(a.reader))
		a.timer.endWrite()
		if !isSent {
			return balance.Abandoned, attemptClientGone
		}
	}
}

// hasBufferedEvent reports whether the reader's buffer holds the end of an event. Blank lines and a
// part of an event do not count, because the server may send the rest much later.
func hasBufferedEvent(reader *bufio.Reader) bool {
	// Peeking at the buffered bytes does not fail.
	buffered, _ := reader.Peek(reader.Buffered())
	buffered = bytes.TrimLeft(buffered, "\r\n")
	return bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n"))
}

// streamBufferBytes is the size of the read buffer for events.
const streamBufferBytes = 4 << 10

// commitEvent records that the client gets an event, so that a standby that begins from now on goes on after
// it. It returns false if a standby has replaced the attempt: it goes on after an earlier event, so that this
// one, which was in a buffer, must not be sent.
func (c *clientRequest) commitEvent(e event) bool {
	c.standby.mu.Lock()
	defer c.standby.mu.Unlock()
	if c.standby.attempt != nil && c.standby.attempt.ready {
		return false
	}
	if e.id != "" {
		c.mu.Lock()
		c.lastEventID = e.id
		c.mu.Unlock()
	}
	return true
}

// writeEvent sends an event to the client and flushes it if flush is true. It returns false if the
// client has disconnected.
func (c *clientRequest) writeEvent(a *attempt, e event, flush bool) bool {
	c.writeHeader(a)
	if _, err := c.w.Write(e.text); err != nil {
		return false
	}
	if !flush {
		return true
	}
	return http.NewResponseController(c.w).Flush() == nil
}

// writeHeader sends the status and headers of the response unless they have been sent already: when
// a stream resumes at another server, the client keeps the status and headers of the first server.
func (c *clientRequest) writeHeader(a *attempt) {
	if c.responseStarted {
		return
	}
	c.responseStarted, c.mediaType = true, a.mediaType()
	c.server.Upstreams.recordResponseStart(a.query, time.Since(a.startedAt))
	c.server.Codec.CopyResponseHeader(c.w.Header(), a.response.Header)
	c.w.WriteHeader(a.response.Status)
	c.server.Metrics.observeFirstEvent(c)
}

// errEndsInEvent is the error of a stream that ends within an event.
var errEndsInEvent = eris.New("stream ends within an event")

// isStreamEnd reports whether a stream ended completely, given the text after its last complete event
// and the error of reading on. A stream that ends within an event is truncated, also if its body has a
// length or chunks and is complete: the server stopped. If the body has neither, EOF doesn't show
// whether it is complete, and it is considered truncated if it ends before the first event.
func (a *attempt) isStreamEnd(rest event, err error) bool {
	if !errors.Is(err, io.EOF) {
		return false
	}
	if !a.hasEvents() {
		return a.response.Framed || len(rest.text) == 0 && a.events > 0
	}
	var scanner transport.EventScanner
	scanner.Scan(rest.text)
	if scanner.InEvent() {
		a.readErr = errEndsInEvent
		return false
	}
	return a.response.Framed || a.events > 0 || scanner.HasEvent()
}

// hasEvents reports whether the body of a stream consists of server-sent events. Servers may respond to
// the request for a stream with another media type, and may leave the type out.
func (a *attempt) hasEvents() bool {
	mediaType := a.mediaType()
	return (mediaType == "" || mediaType == "text/event-stream") && a.response.Header.Get("Content-Encoding") == ""
}

// endStream ends the client's stream if the server's stream is complete, and classifies the read
// error otherwise. rest is the text after the last complete event.
func (c *clientRequest) endStream(a *attempt, rest event, err error) (balance.Outcome, attemptResult) {
	if !a.isStreamEnd(rest, err) {
		return a.classifyReadError()
	}
	if !c.claimStream(a) {
		return balance.Abandoned, attemptMayHaveRun
	}
	c.writeHeader(a)
	if len(rest.text) > 0 {
		if _, err := c.w.Write(rest.text); err != nil {
			return balance.Abandoned, attemptClientGone
		}
	}
	c.recordResult(a.response.Status, "served")
	c.clearDeadline()
	return balance.Answered, attemptFinished
}

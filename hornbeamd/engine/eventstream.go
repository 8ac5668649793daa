package engine

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/rotisserie/eris"
)

// errEventTooLarge means that an event exceeds the limit, which bounds the memory of a reader.
var errEventTooLarge = eris.New("stream event exceeds the size limit")

// errNoEventMemory means that events of other streams take the memory for events.
var errNoEventMemory = eris.New("no memory for a stream event")

// event is one server-sent event.
type event struct {
	// id is the value of the id field; 0 if the field is missing or not a positive integer.
	id int
	// name is the event type; empty for the default type.
	name string
	// data is valid until the next event is read.
	data []byte
}

// eventReader reads server-sent events. It does not return an event that is truncated by the end of
// the input.
type eventReader struct {
	r     *bufio.Reader
	limit int
	// data is the buffer for the data of the current event, and line that for a line that is longer
	// than the read buffer.
	data, line eventBuffer
}

// newEventReader returns a reader of events. The limit, in bytes, applies to the data of an event
// and to each line that is longer than the read buffer.
func newEventReader(r io.Reader, limit int, memory *EventMemory) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, 4<<10), limit: limit, data: eventBuffer{memory: memory}, line: eventBuffer{memory: memory}}
}

// close frees the buffers.
func (e *eventReader) close() {
	e.data.reset()
	e.line.reset()
}

// next returns the next event that has data. It returns io.ErrUnexpectedEOF at the end of the
// input, because only the data of an event can mark the stream as complete.
func (e *eventReader) next() (event, error) {
	var ev event
	e.data.reset()
	hasData := false
	for {
		line, err := e.readLine()
		if err != nil {
			return event{}, err
		}
		if len(line) == 0 {
			if !hasData {
				ev = event{}
				continue
			}
			ev.data = e.data.bytes
			return ev, nil
		}
		name, value := splitField(line)
		switch string(name) {
		case "data":
			if len(e.data.bytes)+len(value)+1 > e.limit {
				return event{}, errEventTooLarge
			}
			if !e.data.appendLine(value, hasData) {
				return event{}, errNoEventMemory
			}
			hasData = true
		case "event":
			ev.name = string(value)
		case "id":
			ev.id = parseEventID(value)
		}
	}
}

// readLine returns the next line without its line ending. It joins the parts of a line that is
// longer than the buffer, up to the limit.
func (e *eventReader) readLine() ([]byte, error) {
	e.line.reset()
	line, err := e.r.ReadSlice('\n')
	if err == nil {
		return trimLineEnding(line), nil
	}
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(e.line.bytes)+len(line) > e.limit {
			return nil, errEventTooLarge
		}
		if !e.line.append(line) {
			return nil, errNoEventMemory
		}
		line, err = e.r.ReadSlice('\n')
	}
	if err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	if len(e.line.bytes)+len(line) > e.limit {
		return nil, errEventTooLarge
	}
	if !e.line.append(line) {
		return nil, errNoEventMemory
	}
	return trimLineEnding(e.line.bytes), nil
}

// buffered reports whether the buffer contains the end of an event, so that next usually does not
// block. It is only a hint: it does not recognize events that end with CRLF line endings, and it
// counts events without data, which next skips.
func (e *eventReader) buffered() bool {
	pending, err := e.r.Peek(e.r.Buffered())
	return err == nil && bytes.Contains(pending, []byte("\n\n"))
}

func trimLineEnding(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r"))
}

func splitField(line []byte) (name, value []byte) {
	name, value, _ = bytes.Cut(line, []byte(":"))
	return name, bytes.TrimPrefix(value, []byte(" "))
}

func parseEventID(value []byte) int {
	id, err := strconv.Atoi(string(value))
	if err != nil || id < 0 {
		return 0
	}
	return id
}

package engine

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/rotisserie/eris"
)

// errEventTooLarge means that an event does not fit into the bound on memory.
var errEventTooLarge = eris.New("an event of the stream is larger than the limit")

// event is one server-sent event.
type event struct {
	// id is the number in the id field; 0 if there was none or it was no positive number.
	id int
	// name is the event type; empty for the default.
	name string
	// data is valid until the next event is read.
	data []byte
}

// eventReader reads server-sent events. An event that the stream cuts off is not returned.
type eventReader struct {
	r     *bufio.Reader
	limit int
	data  []byte
}

// newEventReader reads events of at most limit bytes.
func newEventReader(r io.Reader, limit int) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, 4<<10), limit: limit}
}

// next returns the next event with data, and io.ErrUnexpectedEOF at the end of the input: only the data of an event can
// say that the stream is complete.
func (e *eventReader) next() (event, error) {
	var ev event
	e.data = e.data[:0]
	seen := false
	for {
		line, err := e.line()
		if err != nil {
			return event{}, err
		}
		if len(line) == 0 {
			if !seen {
				ev = event{}
				continue
			}
			ev.data = e.data
			return ev, nil
		}
		name, value := splitField(line)
		switch string(name) {
		case "data":
			if len(e.data)+len(value)+1 > e.limit {
				return event{}, errEventTooLarge
			}
			if seen {
				e.data = append(e.data, '\n')
			}
			e.data = append(e.data, value...)
			seen = true
		case "event":
			ev.name = string(value)
		case "id":
			ev.id = eventID(value)
		}
	}
}

// line returns a line without its end. A line longer than the buffer is gathered up to the limit.
func (e *eventReader) line() ([]byte, error) {
	line, err := e.r.ReadSlice('\n')
	if err == nil {
		return trimEnd(line), nil
	}
	var long []byte
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(long)+len(line) > e.limit {
			return nil, errEventTooLarge
		}
		long = append(long, line...)
		line, err = e.r.ReadSlice('\n')
	}
	if err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	if len(long)+len(line) > e.limit {
		return nil, errEventTooLarge
	}
	return trimEnd(append(long, line...)), nil
}

// buffered reports whether a further event can be read without waiting.
func (e *eventReader) buffered() bool {
	waiting, err := e.r.Peek(e.r.Buffered())
	return err == nil && bytes.Contains(waiting, []byte("\n\n"))
}

func trimEnd(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r"))
}

func splitField(line []byte) (name, value []byte) {
	name, value, _ = bytes.Cut(line, []byte(":"))
	return name, bytes.TrimPrefix(value, []byte(" "))
}

func eventID(value []byte) int {
	id, err := strconv.Atoi(string(value))
	if err != nil || id < 0 {
		return 0
	}
	return id
}

package engine

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"
)

// readAll returns all events of the input as "name|data" strings, and the error that ends it.
func readAll(r io.Reader) ([]string, error) {
	events := newEventReader(r, 1<<10, NewEventMemory(1<<20))
	list := []string{}
	for {
		ev, err := events.next()
		if err != nil {
			return list, err
		}
		list = append(list, ev.name+"|"+string(ev.data))
	}
}

// Guards against events that depend on how the network splits the input, and against a truncated
// event that is returned as complete.
func FuzzEventReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: {\"id\":\"a\"}\n\n: comment\n\nevent: error\ndata: x\ndata: y\n\n"))
	f.Add([]byte("data: [DONE]\r\n\r\ndata: late"))
	f.Add(append([]byte("data: "), bytes.Repeat([]byte("x"), 5<<10)...))
	f.Fuzz(func(t *testing.T, input []byte) {
		full, err := readAll(bytes.NewReader(input))
		bytewise, bytewiseErr := readAll(iotest.OneByteReader(bytes.NewReader(input)))
		c := qt.New(t)
		c.Assert(bytewise, qt.DeepEquals, full)
		c.Assert(bytewiseErr, qt.Equals, err)
		if len(input) == 0 {
			return
		}
		truncated, _ := readAll(bytes.NewReader(input[:len(input)-1]))
		c.Assert(len(truncated) <= len(full), qt.IsTrue)
		c.Assert(truncated, qt.DeepEquals, full[:len(truncated):len(truncated)], qt.Commentf("truncating the input changed earlier events"))
	})
}

package engine

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"
)

// readAll returns the events of an input in a comparable form, and the error at its end.
func readAll(r io.Reader) ([]string, error) {
	events := newEventReader(r, 1<<10)
	list := []string{}
	for {
		ev, err := events.next()
		if err != nil {
			return list, err
		}
		list = append(list, ev.name+"|"+string(ev.data))
	}
}

// Guards against events that depend on how the network cuts the input, and against a cut event that reads as a whole one.
func FuzzEventReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: {\"id\":\"a\"}\n\n: comment\n\nevent: error\ndata: x\ndata: y\n\n"))
	f.Add([]byte("data: [DONE]\r\n\r\ndata: late"))
	f.Add(append([]byte("data: "), bytes.Repeat([]byte("x"), 5<<10)...))
	f.Fuzz(func(t *testing.T, input []byte) {
		whole, err := readAll(bytes.NewReader(input))
		slow, slowErr := readAll(iotest.OneByteReader(bytes.NewReader(input)))
		c := qt.New(t)
		c.Assert(slow, qt.DeepEquals, whole)
		c.Assert(slowErr, qt.Equals, err)
		if len(input) == 0 {
			return
		}
		cut, _ := readAll(bytes.NewReader(input[:len(input)-1]))
		c.Assert(len(cut) <= len(whole), qt.IsTrue)
		c.Assert(cut, qt.DeepEquals, whole[:len(cut):len(cut)], qt.Commentf("a shorter input changed earlier events"))
	})
}

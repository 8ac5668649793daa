package gateway

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against torn events, and against events whose number is lost.
func TestReadEvent(t *testing.T) {
	for name, test := range map[string]struct {
		text, id, rest string
		whole          bool
	}{
		"event":          {"id: 7\ndata: a\n\nnext", "7", "id: 7\ndata: a\n\n", true},
		"line ends":      {"id:7\r\ndata: a\r\n\r\n", "7", "id:7\r\ndata: a\r\n\r\n", true},
		"no number":      {"data: a\n\n", "", "data: a\n\n", true},
		"torn":           {"id: 7\ndata: a", "7", "id: 7\ndata: a", false},
		"torn at a line": {"id: 7\ndata: a\n", "7", "id: 7\ndata: a\n", false},
		"blank line":     {"\n", "", "\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			e, err := readEvent(bufio.NewReaderSize(strings.NewReader(test.text), 16))
			c.Assert(e.whole, qt.Equals, test.whole)
			c.Assert(errors.Is(err, io.EOF), qt.Equals, !test.whole)
			c.Assert(e.id, qt.Equals, test.id)
			c.Assert(string(e.text), qt.Equals, test.rest)
		})
	}
}

// Guards against events that reach a caller twice after a stream went on at another server.
func TestAfter(t *testing.T) {
	c := qt.New(t)
	c.Assert(event{id: "8"}.after("7"), qt.IsTrue)
	c.Assert(event{id: "10"}.after("9"), qt.IsTrue)
	c.Assert(event{id: "7"}.after("7"), qt.IsFalse)
	c.Assert(event{}.after("7"), qt.IsTrue)
}

// Guards against a reader that loses, repeats or changes bytes of a stream.
func FuzzReadEvent(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
	f.Add("\n\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		in := bufio.NewReaderSize(strings.NewReader(text), 16)
		var got strings.Builder
		for {
			e, err := readEvent(in)
			got.Write(e.text)
			if err != nil {
				break
			}
		}
		if got.String() != text {
			t.Fatalf("got %q of %q", got.String(), text)
		}
	})
}

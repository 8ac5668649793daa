package gateway

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against treating a truncated event as complete, and against losing the ID of an event.
func TestReadEvent(t *testing.T) {
	for name, test := range map[string]struct {
		stream, wantID, want string
		complete             bool
	}{
		"event":                  {"id: 7\ndata: a\n\nnext", "7", "id: 7\ndata: a\n\n", true},
		"CRLF line endings":      {"id:7\r\ndata: a\r\n\r\n", "7", "id:7\r\ndata: a\r\n\r\n", true},
		"no ID":                  {"data: a\n\n", "", "data: a\n\n", true},
		"truncated in a line":    {"id: 7\ndata: a", "7", "id: 7\ndata: a", false},
		"truncated after a line": {"id: 7\ndata: a\n", "7", "id: 7\ndata: a\n", false},
		"blank line":             {"\n", "", "\n", true},
		"blank lines at the end": {"\n\r\n", "", "\n\r\n", true},
		"blank lines before":     {"\n\nid: 7\ndata: a\n\nnext", "7", "\n\nid: 7\ndata: a\n\n", true},
		"truncated after blank":  {"\n\nid: 7", "", "\n\nid: 7", false},
		"truncated at buffer":    {"data: 0123456789", "", "data: 0123456789", false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			e, err := readEvent(bufio.NewReaderSize(strings.NewReader(test.stream), 16), nil)
			c.Assert(e.complete, qt.Equals, test.complete)
			c.Assert(errors.Is(err, io.EOF), qt.Equals, !test.complete)
			c.Assert(e.id, qt.Equals, test.wantID)
			c.Assert(string(e.text), qt.Equals, test.want)
		})
	}
}

// Guards against sending an event to the client twice after its stream has resumed at another
// server.
func TestIsAfter(t *testing.T) {
	c := qt.New(t)
	c.Assert(event{id: "8"}.isAfter("7"), qt.IsTrue)
	c.Assert(event{id: "10"}.isAfter("9"), qt.IsTrue)
	c.Assert(event{id: "7"}.isAfter("7"), qt.IsFalse)
	c.Assert(event{}.isAfter("7"), qt.IsTrue)
}

// Guards against losing, repeating or changing bytes of a stream while it is split into events.
func FuzzReadEvent(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
	f.Add("\n\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		reader := bufio.NewReaderSize(strings.NewReader(text), 16)
		var got strings.Builder
		for {
			e, err := readEvent(reader, nil)
			got.Write(e.text)
			if err != nil {
				break
			}
		}
		if got.String() != text {
			t.Fatalf("got %q, want %q", got.String(), text)
		}
	})
}

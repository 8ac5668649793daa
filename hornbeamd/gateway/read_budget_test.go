package gateway

import (
	"bufio"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/hornbeamd/memory"
)

// Guards against events that fail although they need no room, and against large ones without room.
func TestEventWithoutRoom(t *testing.T) {
	c := qt.New(t)
	held := &memory.Reservation{Account: memory.New(0)}
	reader := bufio.NewReader(strings.NewReader("data: x\n\ndata: " + strings.Repeat("x", 2*memory.Uncounted) + "\n\n"))
	e, err := readEvent(reader, held)
	c.Assert(err, qt.IsNil)
	c.Assert(string(e.text), qt.Equals, "data: x\n\n")
	_, err = readEvent(reader, held)
	c.Assert(err, qt.Equals, errNoReadBudget)
}

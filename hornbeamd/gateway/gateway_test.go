package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/routing/routes"
)

// Guards against an old configuration that arrives late and undoes a newer one.
func TestTableOrder(t *testing.T) {
	c := qt.New(t)
	s := &Server{}
	for _, step := range []struct {
		version int64
		taken   bool
		inForce int64
	}{{5, true, 5}, {4, false, 5}, {5, false, 5}, {9, true, 9}, {5, false, 9}} {
		table, err := routes.New(routes.Config{Version: step.version})
		c.Assert(err, qt.IsNil)
		c.Assert(s.SetTable(table), qt.Equals, step.taken)
		c.Assert(s.Table().Version(), qt.Equals, step.inForce)
	}
}

// Guards against a stream that is cut off because its service is overloaded when it goes on at another server.
func TestRetriesAreNotShed(t *testing.T) {
	c := qt.New(t)
	q := &call{s: &Server{Upstreams: &Upstreams{}}, route: &routes.Route{Target: time.Second}}
	c.Assert(q.ask(time.Now()).Target, qt.Equals, time.Second)
	q.tried = []string{"s1"}
	c.Assert(q.ask(time.Now()).Target, qt.Equals, time.Duration(0))
}

package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/routing/routes"
)

// Guards against replacing the active configuration by an older version that arrives late.
func TestStaleTableIsIgnored(t *testing.T) {
	c := qt.New(t)
	s := &Server{}
	for _, step := range []struct {
		version  int64
		accepted bool
		active   int64
	}{{5, true, 5}, {4, false, 5}, {5, false, 5}, {9, true, 9}, {5, false, 9}} {
		table, err := routes.New(routes.Config{Version: step.version})
		c.Assert(err, qt.IsNil)
		c.Assert(s.SetTable(table), qt.Equals, step.accepted)
		c.Assert(s.Table().Version(), qt.Equals, step.active)
	}
}

// Guards against cutting off a stream that has to resume at another server while its service is
// overloaded: only first attempts may be shed.
func TestRetriesAreNotShed(t *testing.T) {
	c := qt.New(t)
	request := &clientRequest{server: &Server{Upstreams: &Upstreams{}}, route: &routes.Route{Target: time.Second}}
	c.Assert(request.buildQuery(time.Now()).LatencyTarget, qt.Equals, time.Second)
	request.triedServers = []string{"s1"}
	c.Assert(request.buildQuery(time.Now()).LatencyTarget, qt.Equals, time.Duration(0))
}

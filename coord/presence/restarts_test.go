package presence_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/coord/presence"
)

// Guards against callers who are told to come back while no router can be back.
func TestNextRouterIn(t *testing.T) {
	const grace = 8 * time.Second
	type event struct {
		ms    int
		id    string
		boot  int64
		ready bool
	}
	for name, test := range map[string]struct {
		events []event
		// now and stopped are in milliseconds.
		now, stopped int
		want         time.Duration
	}{
		"alone":                       {nil, 1000, 0, 7 * time.Second},
		"another takes callers":       {[]event{{900, "b", 1, true}}, 1000, 0, 0},
		"another drains since before": {[]event{{0, "b", 1, true}, {500, "b", 1, false}, {3900, "b", 1, false}}, 4000, 2000, 4500 * time.Millisecond},
		"a restart was seen": {
			[]event{{0, "b", 1, true}, {100, "b", 1, false}, {2000, "b", 2, false}, {2100, "b", 2, true}, {3000, "b", 2, false}},
			3500, 3000, 1500 * time.Millisecond,
		},
		"a kill was seen": {
			[]event{{0, "b", 1, true}, {700, "b", 2, true}, {1000, "b", 2, false}, {1300, "b", 2, false}},
			1500, 1400, 200 * time.Millisecond,
		},
		"another is overdue":    {[]event{{0, "b", 1, true}, {100, "b", 1, false}}, 9000, 8500, 7500 * time.Millisecond},
		"another was cut off":   {[]event{{0, "b", 1, true}, {3000, "b", 1, true}}, 3100, 3000, 0},
		"this one is overdue":   {nil, 9000, 0, 0},
		"another never was one": {[]event{{900, "b", 1, false}}, 1000, 0, 7 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
			s := presence.New(presence.DefaultSettings(), presence.Record{ID: "a", Peer: "10.0.0.1:1"})
			for i, e := range test.events {
				r := presence.Record{ID: e.id, Peer: "10.0.0.2:1", Boot: e.boot, Sequence: uint64(i + 1), Ready: e.ready}
				s.Receive(at(e.ms), presence.Message{From: e.id, Records: []presence.AgedRecord{{Record: r}}})
			}
			qt.Assert(t, s.NextRouterIn(at(test.now), at(test.stopped), grace), qt.Equals, test.want)
		})
	}
}

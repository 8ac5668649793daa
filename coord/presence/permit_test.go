package presence_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/coord/presence"
)

// Guards against routers that each issue all permits of a server.
func TestPermitIssuers(t *testing.T) {
	for name, test := range map[string]struct {
		selfReady, otherReady bool
		age                   time.Duration
		want                  []string
		lost                  int
	}{
		"both ready":     {true, true, 0, []string{"a", "b"}, 0},
		"self drains":    {false, true, 0, []string{"b"}, 0},
		"other drains":   {true, false, 0, []string{"a"}, 0},
		"both drain":     {false, false, 0, []string{"a", "b"}, 0},
		"other lost":     {true, true, 5 * time.Second, []string{"a"}, 1},
		"other has left": {true, false, 5 * time.Second, []string{"a"}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			s := presence.New(presence.DefaultSettings(), presence.Record{ID: "a", Peer: "10.0.0.1:1"})
			other := presence.Record{ID: "b", Peer: "10.0.0.2:1", Boot: 1, Sequence: 1, Ready: test.otherReady}
			s.Receive(now, presence.Message{From: "b", Records: []presence.AgedRecord{{Record: other}}})
			issuers, lost := s.PermitIssuers(now.Add(test.age), test.selfReady)
			qt.Check(t, issuers, qt.HasLen, len(test.want))
			for _, id := range test.want {
				qt.Check(t, issuers[id], qt.Not(qt.Equals), "")
			}
			qt.Check(t, lost, qt.Equals, test.lost)
		})
	}
}

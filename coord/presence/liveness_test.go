package presence_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/coord/presence"
	"hornbeamstep.example/routing/roster"
)

// Guards against a message that counts although another program sent it under the name of a router,
// and against a router that is ignored because it has moved to another address.
func TestIsAuthentic(t *testing.T) {
	s := presence.New(presence.DefaultSettings(), record("a", 0))
	receive(s, at(0), record("b", 1))
	complete := func(id, peer string) presence.AgedRecord {
		r := record(id, 2)
		r.Peer = peer
		return presence.AgedRecord{Record: r}
	}
	brief := complete("b", "")
	brief.WithoutIdentity = true
	for name, test := range map[string]struct {
		from    string
		records []presence.AgedRecord
		source  string
		want    bool
		unknown bool
	}{
		"known router":                  {from: "b", source: "b:2", want: true},
		"known router, brief record":    {from: "b", records: []presence.AgedRecord{brief}, source: "b:2", want: true},
		"other source":                  {from: "b", source: "x:9"},
		"brief record, other source":    {from: "b", records: []presence.AgedRecord{brief}, source: "x:9"},
		"known router at a new address": {from: "b", records: []presence.AgedRecord{complete("b", "b:7")}, source: "b:7", want: true},
		"record states another source":  {from: "b", records: []presence.AgedRecord{complete("b", "b:2")}, source: "x:9"},
		"unknown router":                {from: "c", records: []presence.AgedRecord{complete("c", "c:2")}, source: "c:2", want: true},
		"unknown router without record": {from: "c", source: "c:2", unknown: true},
		"record of another router":      {from: "c", records: []presence.AgedRecord{complete("b", "c:2")}, source: "c:2", unknown: true},
	} {
		t.Run(name, func(t *testing.T) {
			message := presence.Message{From: test.from, Records: test.records}
			qt.Assert(t, s.IsAuthentic(message, test.source), qt.Equals, test.want)
			qt.Assert(t, s.Knows(message), qt.Equals, !test.unknown)
		})
	}
}

// Guards against routers that fetch the list of backend servers from a router that has not yet seen
// the restore of the store, because the revisions before it are higher.
func TestUpdateSourcesByEra(t *testing.T) {
	c := qt.New(t)
	s := presence.New(presence.DefaultSettings(), record("a", 0))
	for id, revision := range map[string]roster.Revision{"old": {Era: 1, Number: 900}, "new": {Era: 2, Number: 40}} {
		r := record(id, 1)
		r.Servers = revision
		receive(s, at(0), r)
	}
	_, source := s.UpdateSources(at(1), 0, roster.Revision{Era: 1, Number: 900})
	c.Assert(source.ID, qt.Equals, "new")
	_, source = s.UpdateSources(at(1), 0, roster.Revision{Era: 2, Number: 40})
	c.Assert(source.ID, qt.Equals, "")
}

// Guards against a record that arrives late and overrides the later state that a hub has reported,
// so that callers are sent to a router that is shutting down.
func TestLateRecord(t *testing.T) {
	c := qt.New(t)
	s, hub := presence.New(presence.DefaultSettings(), record("a", 0)), presence.New(presence.DefaultSettings(), record("h", 0))
	first, second, third := record("b", 1), record("b", 2), record("b", 3)
	second.Config, third.Config, third.Ready = 4, 5, false
	receive(s, at(0), first)
	receive(hub, at(0), first)
	receive(hub, at(300), third)
	for _, out := range hubUpdatesOf(hub, at(310)) {
		s.Receive(at(320), out)
	}
	s.Receive(at(330), presence.Message{From: "b", Records: []presence.AgedRecord{{Record: second, Age: 200}}})
	members := s.Members(at(340))
	c.Assert(members[len(members)-1].ID, qt.Equals, "b")
	for _, m := range members {
		if m.ID == "b" {
			c.Assert(m.Ready, qt.IsFalse)
			c.Assert(m.Config, qt.Equals, int64(5))
		}
	}
}

// Guards against routers that stay live although their hub no longer takes them for live, because
// its list was lost and only checksums arrive: a router that believes something else must ask for
// the list.
func TestChecksumMismatch(t *testing.T) {
	c := qt.New(t)
	s := presence.New(presence.DefaultSettings(), record("a", 0))
	receive(s, at(0), record("b", 1))
	receive(s, at(0), record("h", 1))
	update := presence.Message{Kind: presence.HubUpdate, From: "h", Liveness: &presence.Liveness{StoreContactAge: -1, Checksum: 1}}
	for ms := 200; ms <= 2000; ms += 200 {
		s.Receive(at(ms), update)
	}
	requests := s.Requests(at(2000))
	c.Assert(requests, qt.HasLen, 1)
	c.Assert(requests[0].Message.Kind, qt.Equals, presence.Request)
	c.Assert(requests[0].To, qt.DeepEquals, []string{"h:2"})
	c.Assert(s.LiveCount(at(2000)), qt.Equals, 0)
}

// hubUpdatesOf returns the updates that a router sends as a hub of a fleet that is large enough to
// have hubs.
func hubUpdatesOf(s *presence.State, now time.Time) []presence.Message {
	for i := range 20 {
		r := record(string(rune('A'+i)), 1)
		r.Zone = "y"
		receive(s, now, r)
	}
	var updates []presence.Message
	self := record("h", 9)
	self.Capacity = 1
	for _, out := range s.Heartbeat(now, self) {
		if out.Message.Kind == presence.HubUpdate {
			// Only the state of the routers matters here, not their records.
			out.Message.Records = nil
			updates = append(updates, out.Message)
		}
	}
	return updates
}

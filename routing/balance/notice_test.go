package balance_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/routing/balance"
	"hornbeamstep.example/routing/roster"
)

// noticeServers returns two servers of one service.
func noticeServers() []roster.Server {
	return []roster.Server{{ID: "a", Service: "s", Slots: 4, Born: 1}, {ID: "b", Service: "s", Slots: 4, Born: 1}}
}

// chosenIDs returns the servers that are chosen for many requests, by ID.
func chosenIDs(b *balance.Balancer, at time.Time) map[string]bool {
	ids := map[string]bool{}
	for i := range 50 {
		choice := b.Choose(at, balance.Request{Service: "s", Draw: float64(i) / 50, PrefixHashes: []uint64{uint64(i)}})
		ids[choice.Server.ID] = true
	}
	return ids
}

// Guards against new requests to a server that has told this or another router that it is leaving,
// while the registry still lists it as running.
func TestLeavingNotice(t *testing.T) {
	for name, notify := range map[string]func(*balance.Balancer){
		"own response": func(b *balance.Balancer) { b.RecordNotice(start, "a", 1, balance.Notice{Leaving: true}) },
		"other router": func(b *balance.Balancer) { b.MarkLeaving([]string{"a/1", "unknown/3", "bad"}) },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b := balance.New(balance.DefaultSettings(), "r")
			b.SetServers(start, noticeServers())
			c.Assert(chosenIDs(b, start), qt.DeepEquals, map[string]bool{"a": true, "b": true})
			notify(b)
			c.Assert(chosenIDs(b, start), qt.DeepEquals, map[string]bool{"b": true})
			b.SetServers(start, noticeServers())
			c.Assert(chosenIDs(b, start), qt.DeepEquals, map[string]bool{"b": true}, qt.Commentf("the registry lists it as running"))
			restarted := noticeServers()
			restarted[0].Born = 2
			b.SetServers(start, restarted)
			b.MarkLeaving([]string{"a/1"})
			c.Assert(chosenIDs(b, start), qt.DeepEquals, map[string]bool{"a": true, "b": true}, qt.Commentf("the process that left is gone"))
		})
	}
}

// Guards against a notice that other routers never hear of, and against one that is repeated
// forever.
func TestLeavingNotices(t *testing.T) {
	c := qt.New(t)
	b := balance.New(balance.DefaultSettings(), "r")
	b.SetServers(start, noticeServers())
	c.Assert(b.RecordNotice(start, "a", 1, balance.Notice{Leaving: true}), qt.IsTrue)
	c.Assert(b.RecordNotice(start, "a", 1, balance.Notice{Leaving: true}), qt.IsFalse)
	b.MarkLeaving([]string{"b/1"})
	c.Assert(b.LeavingNotices(start), qt.DeepEquals, []string{"a/1"})
	c.Assert(b.LeavingNotices(start.Add(time.Minute)), qt.HasLen, 0)
}

// Guards against requests to a server within the time for which it wants none, also while all other
// servers are paused, and against callers that are told to come back before a server wants
// requests.
func TestRetryAfterNotice(t *testing.T) {
	c := qt.New(t)
	b := balance.New(balance.DefaultSettings(), "r")
	b.SetServers(start, noticeServers())
	b.RecordNotice(start, "a", 1, balance.Notice{RetryAfter: 3 * time.Second})
	b.RecordFailure(start, "b", balance.Unreachable)
	c.Assert(chosenIDs(b, start), qt.DeepEquals, map[string]bool{"b": true})
	b.RecordNotice(start, "b", 1, balance.Notice{RetryAfter: 2 * time.Second})
	choice := b.Choose(start.Add(time.Second), balance.Request{Service: "s"})
	c.Assert(choice.Reason, qt.Equals, balance.Full)
	c.Assert(choice.RetryAfterSeconds(), qt.Equals, 1.0)
	// A shorter time does not end a longer one.
	b.RecordNotice(start.Add(time.Second), "a", 1, balance.Notice{RetryAfter: time.Millisecond})
	c.Assert(chosenIDs(b, start.Add(2500*time.Millisecond)), qt.DeepEquals, map[string]bool{"b": true})
	c.Assert(chosenIDs(b, start.Add(3001*time.Millisecond)), qt.DeepEquals, map[string]bool{"a": true, "b": true})
}

// Guards against a server that is never used again although it takes requests: one whose entry in
// the registry was missing for a while during its requests, and one that counted as draining until
// it was confirmed after a restore of the registry.
func TestServerReturns(t *testing.T) {
	for name, away := range map[string]func([]roster.Server) []roster.Server{
		"entry was missing": func(s []roster.Server) []roster.Server { return s[1:] },
		"was not confirmed": func(s []roster.Server) []roster.Server { s[0].Leaving = true; return s },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b := balance.New(balance.DefaultSettings(), "r")
			b.SetServers(start, noticeServers())
			b.Start(start, "a")
			b.SetServers(start, away(noticeServers()))
			c.Assert(chosenIDs(b, start), qt.DeepEquals, map[string]bool{"b": true})
			b.SetServers(start, noticeServers())
			c.Assert(chosenIDs(b, start), qt.DeepEquals, map[string]bool{"a": true, "b": true})
		})
	}
}

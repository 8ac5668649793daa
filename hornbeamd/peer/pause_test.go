package peer

import (
	"context"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"hornbeamstep.example/coord/loadsum"
	"hornbeamstep.example/coord/member"
	"hornbeamstep.example/coord/owner"
)

// Guards against a request that relies on outdated ownership: after a pause of the process, a
// request may run before the control loop has recomputed the snapshot.
func TestOwnershipIsNotTrustedAfterPause(t *testing.T) {
	c := quicktest.New(t)
	now := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	n := &Node{ID: "a", Clock: func() time.Time { return now }}
	n.init()
	owners := owner.Compute(owner.Input{Self: "a", Routers: []owner.Router{{ID: "a"}}, Engines: []owner.Engine{{ID: "e"}}})
	n.published.Store(&snapshot{
		view: &member.View{Trusted: true}, owners: owners.WithTrust(true), untrusted: owners, sums: map[string]loadsum.Sum{"chat": {Load: 2, Count: 1}},
	})
	last := now
	n.lastIteration.Store(&last)
	c.Assert(n.Owners().OwnsEngine("e"), quicktest.IsTrue)
	now = now.Add(member.DefaultPauseThreshold + time.Millisecond)
	c.Assert(n.Owners().OwnsEngine("e"), quicktest.IsFalse)
	c.Assert(n.Members().Trusted, quicktest.IsFalse)
	_, known := n.PoolLoad("chat")
	c.Assert(known, quicktest.IsFalse)
}

// Guards against a process pause that goes unnoticed because the wall clock stepped back meanwhile.
// That happens if the time of the last iteration loses its monotonic reading, for example by
// conversion to nanoseconds and back.
func TestPauseIsMeasuredByTheMonotonicClock(t *testing.T) {
	n := &Node{ID: "a", Listen: "127.0.0.1:0"}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	<-n.Ready()
	for n.lastIteration.Load() == nil {
		time.Sleep(time.Millisecond)
	}
	quicktest.Assert(t, n.lastIteration.Load().String(), quicktest.Contains, " m=")
	cancel()
	<-done
}

package control_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/coord/owner"
	"hornbeamstep.example/hornbeamd/caller"
	"hornbeamstep.example/hornbeamd/control"
	"hornbeamstep.example/policy"
)

// testPool is a router that owns six engines and runs on a clock that only the test advances.
type testPool struct {
	t        *testing.T
	loop     *control.Loop
	clock    atomic.Int64
	requests int
}

func newTestPool(t *testing.T) *testPool {
	const engines = 6
	p := &testPool{t: t}
	p.clock.Store(time.Now().UnixNano())
	var owned []owner.Engine
	next := configuration(2, policy.InService)
	for i := range engines {
		name := fmt.Sprint("e", i+1)
		owned = append(owned, owner.Engine{ID: name, Zone: "z"})
		next.Policy.Backends[name] = policy.Backend{Name: name, Pool: "p", Address: "127.0.0.1:1", Zone: "z", Weight: 1, State: policy.InService}
	}
	l, inForce := startWithEngine(t, singleRouter(owned...), fakeEngine{}, func() time.Time { return time.Unix(0, p.clock.Load()) })
	p.loop = l
	inForce.Accept(next)
	for l.Policy().Revision < 2 {
		time.Sleep(time.Millisecond)
	}
	p.advance(time.Minute)
	return p
}

func (p *testPool) advance(d time.Duration) { p.clock.Add(int64(d)) }

// send sends a request of a new chat and returns the engine that answers it, with the time between
// tokens that gap gives for it.
func (p *testPool) send(gap func(engine string) time.Duration) string {
	p.requests++
	q := newSlotRequest(fmt.Sprint("q", p.requests))
	q.Chat, q.Deadline = q.RequestID, time.Now().Add(time.Hour)
	grant, err := p.loop.Admit(p.t.Context(), q)
	qt.Assert(p.t, err, qt.IsNil)
	p.advance(10 * time.Millisecond)
	p.loop.Release(grant, caller.Result{Ending: caller.EndedOK, RequestID: q.RequestID, Tokens: 10, TokenWait: 10 * gap(grant.Backend)})
	return grant.Backend
}

func (p *testPool) sendMany(n int, gap func(string) time.Duration) map[string]int {
	requests := map[string]int{}
	for range n {
		requests[p.send(gap)]++
	}
	return requests
}

func samePace(string) time.Duration { return 3 * time.Millisecond }

func slowPace(slow ...string) func(string) time.Duration {
	return func(engine string) time.Duration {
		for _, name := range slow {
			if name == engine {
				return 30 * time.Millisecond
			}
		}
		return samePace(engine)
	}
}

// Guards against requests to an engine that is far slower than its pool, against an ejection that
// never ends, and against more than one trial request to an engine whose ejection ends.
func TestSlowEngineIsEjected(t *testing.T) {
	pool := newTestPool(t)
	qt.Check(t, pool.sendMany(60, samePace)["e1"] > 0, qt.IsTrue)
	for pool.send(slowPace("e1")) != "e1" || !pool.ejected("e1") {
		qt.Assert(t, pool.requests < 1000, qt.IsTrue)
	}
	qt.Check(t, pool.sendMany(100, slowPace("e1"))["e1"], qt.Equals, 0)
	pool.waitForTrial("e1", 5*time.Second)
	// The engine answers its trial request as slowly as before, so it gets no other.
	qt.Check(t, pool.sendMany(100, slowPace("e1"))["e1"], qt.Equals, 1)
	pool.waitForTrial("e1", 10*time.Second)
	qt.Check(t, pool.sendMany(100, samePace)["e1"] > 1, qt.IsTrue)
	qt.Check(t, pool.ejected("e1"), qt.IsFalse)
}

// Guards against the ejection of more than a third of a pool, when half of its engines are slow.
func TestEjectionsAreCapped(t *testing.T) {
	p := newTestPool(t)
	p.sendMany(60, samePace)
	for range 200 {
		p.send(slowPace("e1", "e2", "e3"))
	}
	ejected := 0
	for _, name := range []string{"e1", "e2", "e3"} {
		if p.ejected(name) {
			ejected++
		}
	}
	qt.Check(t, ejected, qt.Equals, 2)
}

// waitForTrial advances the clock past the end of an ejection and waits until the router reports
// that it has ended.
func (p *testPool) waitForTrial(name string, d time.Duration) {
	p.advance(d)
	for p.ejected(name) {
		time.Sleep(time.Millisecond)
	}
}

func (p *testPool) ejected(name string) bool {
	for _, b := range p.loop.Backends() {
		if b.Name == name {
			return b.State == "ejected"
		}
	}
	return false
}

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

// pool is a router that owns six engines, under a clock that only the test moves.
type pool struct {
	t     *testing.T
	loop  *control.Loop
	clock atomic.Int64
	sent  int
}

func newPool(t *testing.T) *pool {
	const engines = 6
	p := &pool{t: t}
	p.clock.Store(time.Now().UnixNano())
	var owned []owner.Engine
	next := configuration(2, policy.InService)
	for i := range engines {
		name := fmt.Sprint("e", i+1)
		owned = append(owned, owner.Engine{ID: name, Zone: "z"})
		next.Policy.Backends[name] = policy.Backend{Name: name, Pool: "p", Address: "127.0.0.1:1", Zone: "z", Weight: 1, State: policy.InService}
	}
	l, force := startWith(t, alone(owned...), fakeEngine{}, func() time.Time { return time.Unix(0, p.clock.Load()) })
	p.loop = l
	force.Accept(next)
	for l.Policy().Revision < 2 {
		time.Sleep(time.Millisecond)
	}
	p.pass(time.Minute)
	return p
}

func (p *pool) pass(d time.Duration) { p.clock.Add(int64(d)) }

// send makes a request of a new chat whose answer has the pace that the engine is given, and returns the engine.
func (p *pool) send(gap func(engine string) time.Duration) string {
	p.sent++
	q := ask(fmt.Sprint("q", p.sent))
	q.Chat, q.Deadline = q.Request, time.Now().Add(time.Hour)
	grant, err := p.loop.Admit(p.t.Context(), q)
	qt.Assert(p.t, err, qt.IsNil)
	p.pass(10 * time.Millisecond)
	p.loop.Release(grant, caller.Result{Ending: caller.EndedOK, Request: q.Request, Tokens: 10, Paced: 10 * gap(grant.Backend)})
	return grant.Backend
}

func (p *pool) count(n int, gap func(string) time.Duration) map[string]int {
	used := map[string]int{}
	for range n {
		used[p.send(gap)]++
	}
	return used
}

func even(string) time.Duration { return 3 * time.Millisecond }

func slowly(slow ...string) func(string) time.Duration {
	return func(engine string) time.Duration {
		for _, name := range slow {
			if name == engine {
				return 30 * time.Millisecond
			}
		}
		return even(engine)
	}
}

// Guards against work for an engine that is far slower than its pool, against an ejection that lasts for ever, and against a
// crowd of requests at an engine that returns.
func TestSlowEngineIsEjected(t *testing.T) {
	p := newPool(t)
	qt.Check(t, p.count(60, even)["e1"] > 0, qt.IsTrue)
	for p.send(slowly("e1")) != "e1" || !p.ejected("e1") {
		qt.Assert(t, p.sent < 1000, qt.IsTrue)
	}
	qt.Check(t, p.count(100, slowly("e1"))["e1"], qt.Equals, 0)
	p.trial("e1", 5*time.Second)
	// The trial is as slow as before.
	qt.Check(t, p.count(100, slowly("e1"))["e1"], qt.Equals, 1)
	p.trial("e1", 10*time.Second)
	qt.Check(t, p.count(100, even)["e1"] > 1, qt.IsTrue)
	qt.Check(t, p.ejected("e1"), qt.IsFalse)
}

// Guards against the ejection of more than a third of a pool.
func TestSlowEnginesAreEjectedWithinTheCap(t *testing.T) {
	p := newPool(t)
	p.count(60, even)
	for range 200 {
		p.send(slowly("e1", "e2", "e3"))
	}
	out := 0
	for _, name := range []string{"e1", "e2", "e3"} {
		if p.ejected(name) {
			out++
		}
	}
	qt.Check(t, out, qt.Equals, 2)
}

// trial lets the time of an ejection pass and waits until the router makes it known.
func (p *pool) trial(name string, d time.Duration) {
	p.pass(d)
	for p.ejected(name) {
		time.Sleep(time.Millisecond)
	}
}

func (p *pool) ejected(name string) bool {
	for _, b := range p.loop.Backends() {
		if b.Name == name {
			return b.State == "ejected"
		}
	}
	return false
}

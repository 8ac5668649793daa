package replay

import (
	"time"

	"hornbeamstep.example/routing/admission"
	"hornbeamstep.example/routing/outcome"
	"hornbeamstep.example/routing/placement"
	"hornbeamstep.example/routing/quarantine"
)

// ask asks the owner of the next engine for a slot.
func (r *router) ask(q *call) {
	s := r.fleet
	step := q.walk.Next(s.wall())
	if step.Engine == "" {
		r.releaseClaim(q)
		r.refuse(q, time.Second, notRun)
		return
	}
	q.engine, q.home, q.from, q.orElse = step.Engine, step.Home, step.From, step.FallbackFrom
	owner, attempt := r.owner(step.Engine), q.attempt
	if step.Engine != step.Home && !q.redirect && q.context > 0 {
		q.redirect = true
		r.lookup(q, r.owner(step.Home))
		return
	}
	q.owner = owner
	q.asks++
	lookup := step.Engine == step.Home && !q.redirect && q.context > 0
	a := admission.SlotRequest{
		RequestID: attempt, Router: r.name, Account: q.req.Account, Class: classes[q.req.Class], Surging: q.over, Cost: 1, NoQueue: !step.Queue,
		Since: epoch.Add(q.asked),
	}
	if step.Queue && s.Requeue > 0 {
		a.Deadline = s.wall().Add(q.patience())
	}
	r.awaitAnswer(q, a, attempt, q.asks)
	reached := false
	r.send(owner, func() {
		reached = true
		owner.slotCall(r, q, step, a, lookup)
	})
	if owner != r && s.has(StandIn) {
		s.after(200*time.Millisecond, func() {
			if !reached && q.attempt == attempt {
				r.do(func() { r.useShare(q, a) })
			}
		})
	}
}

// awaitAnswer asks again if the answer of a gate does not come, because its owner was lost with the queue. If it does not come
// a second time, its owner counts as lost.
func (r *router) awaitAnswer(q *call, a admission.SlotRequest, attempt string, asks int) {
	r.fleet.after(q.patience()+500*time.Millisecond, func() {
		r.do(func() {
			if q.attempt != attempt || q.asks != asks || q.holding || q.state != open || q.run != nil {
				return
			}
			q.unanswered++
			if q.unanswered > 1 && q.owner != r && r.fleet.has(StandIn) {
				r.useShare(q, a)
				return
			}
			q.walk.Reset()
			r.ask(q)
		})
	})
}

// lookup asks the owner of the home where the context is, when the first engine to ask is not the home.
func (r *router) lookup(q *call, owner *router) {
	s, attempt, answered := r.fleet, q.attempt, false
	next := func(held string) {
		if answered || q.attempt != attempt || q.state != open {
			return
		}
		answered = true
		if held != "" {
			q.walk.SetHolder(s.wall(), held)
		}
		r.ask(q)
	}
	r.send(owner, func() {
		held, _ := owner.exceptions.Find(placement.Key(q.req.Model, q.req.Adapter, q.req.Chat))
		owner.send(r, func() { next(held) })
	})
	s.after(200*time.Millisecond, func() {
		r.do(func() { next("") })
	})
}

// slotCall is the owner's side of a call for a slot.
func (r *router) slotCall(from *router, q *call, step placement.Step, a admission.SlotRequest, lookup bool) {
	s := r.fleet
	if q.suspect.Fingerprint != "" {
		r.learn([]quarantine.Entry{q.suspect})
	}
	if lookup {
		held, _ := r.exceptions.Find(placement.Key(q.req.Model, q.req.Adapter, q.req.Chat))
		if held != "" && held != step.Engine {
			r.send(from, func() {
				if q.attempt == a.RequestID {
					q.redirect = true
					q.walk.SetHolder(s.wall(), held)
					from.ask(q)
				}
			})
			return
		}
	}
	g := r.gates[step.Engine]
	if g == nil {
		r.send(from, func() { from.useShare(q, a) })
		return
	}
	if r.spares(step.Engine, g) {
		r.send(from, func() {
			if q.attempt == a.RequestID && q.state == open && !q.holding {
				from.shun(q, step.Engine)
			}
		})
		return
	}
	if !r.quarantine.Start(r.wallClock(), q.fingerprint(), step.Engine) {
		r.send(from, func() { from.keptApart(q, a, step.Engine, r) })
		return
	}
	var got admission.Action
	if a.NoQueue && r.starts(step.Engine, g) {
		got = admission.Action{Kind: admission.Refused, Request: a, Code: outcome.Overloaded}
	} else {
		got = g.Offer(s.wall(), a)
	}
	if got.Kind == admission.Refused {
		r.quarantine.End(q.fingerprint(), step.Engine, false)
	}
	if got.Kind == admission.Queued {
		r.deliver(step.Engine, g.Tick(s.wall()))
		return
	}
	wait := g.ExpectedWait(s.wall())
	r.send(from, func() {
		if got.Kind == admission.Refused && got.Code == outcome.Overloaded && q.attempt == a.RequestID {
			q.walk.RecordRefusal(step.Engine, max(wait, time.Millisecond))
			from.ask(q)
			return
		}
		from.answered(q, step.Engine, got, r)
	})
}

// keptApart handles a suspect that may not run on an engine now, or a request that is quarantined.
func (r *router) keptApart(q *call, a admission.SlotRequest, engine string, owner *router) {
	if q.attempt != a.RequestID || q.state != open {
		return
	}
	if owner.quarantine.State(owner.wallClock(), q.fingerprint()) == quarantine.Quarantined {
		r.releaseClaim(q)
		r.refuse(q, time.Second, quarantined)
		return
	}
	q.walk.RecordRefusal(engine, time.Second)
	r.fleet.after(10*time.Millisecond, func() {
		if len(r.fleet.engines) <= q.walk.Refusals() {
			q.walk.Reset()
		}
		r.do(func() {
			if q.attempt == a.RequestID && q.state == open {
				r.ask(q)
			}
		})
	})
}

// useShare admits the request without the owner, at most one at a time for each engine.
func (r *router) useShare(q *call, a admission.SlotRequest) {
	if q.attempt != a.RequestID || q.holding || q.state != open {
		return
	}
	if r.shares[q.engine] == nil {
		r.shares[q.engine] = admission.NewFallbackGate(r.fleet.Admission)
	}
	if got := r.shares[q.engine].Offer(r.fleet.wall(), a); got.Kind == admission.Granted {
		r.answered(q, q.engine, got, nil)
		return
	}
	q.walk.Exclude(r.fleet.wall(), q.engine)
	r.ask(q)
}

// answered takes the final answer of a gate.
func (r *router) answered(q *call, engine string, a admission.Action, owner *router) {
	stale := q.attempt != a.Request.RequestID || q.state != open || q.holding
	switch {
	case stale && a.Kind == admission.Granted:
		if q.attempt == a.Request.RequestID && q.slot == a.Slot.ID && q.owner == owner {
			return
		}
		r.free(engine, owner, a.Slot.ID, q.fingerprint(), noVerdict)
	case stale:
	case a.Kind == admission.Refused && a.Code == outcome.NoBackend:
		r.place(q)
	case a.Kind == admission.Refused && a.Code == outcome.Overloaded && r.fleet.now-q.asked < r.fleet.Admission.Wait:
		q.walk.Reset()
		q.rounds++
		r.ask(q)
	case a.Kind == admission.Refused:
		r.releaseClaim(q)
		r.refuse(q, a.RetryAfter, notRun)
	case a.Kind == admission.Granted:
		q.owner, q.slot, q.expires, q.holding = owner, a.Slot.ID, a.Slot.Expires, true
		if owner != nil {
			r.slots[q.attempt] = q
		}
		r.start(q)
	}
}

func (r *router) free(engine string, owner *router, slot uint64, fingerprint string, v verdict) {
	s := r.fleet
	if owner == nil {
		if share := r.shares[engine]; share != nil {
			share.Release(slot)
		}
		return
	}
	r.send(owner, func() {
		owner.quarantine.End(fingerprint, engine, v == good)
		owner.judge(engine, v)
		if g := owner.gates[engine]; g != nil {
			owner.deliver(engine, g.Release(s.wall(), slot))
		}
	})
}

// unhold frees the slot of the current attempt.
func (r *router) unhold(q *call, v verdict) {
	if !q.holding {
		return
	}
	q.holding = false
	delete(r.slots, q.attempt)
	r.free(q.engine, q.owner, q.slot, q.fingerprint(), v)
}

package control

import (
	"sync"
	"time"

	"hornbeamstep.example/hornbeamd/caller"
	"hornbeamstep.example/policy"
	"hornbeamstep.example/routing/outcome"
	"hornbeamstep.example/routing/retry"
)

// Verdict is what a router tells the owner of an engine about an attempt, with its slot.
type Verdict string

// The verdicts. The empty one says nothing about the engine.
const (
	// Good means that the engine answered at about its pool's pace.
	Good Verdict = "ok"
	// Slow means that it answered at less than a third of its pool's pace.
	Slow Verdict = "slow"
	// Bad means that it failed.
	Bad Verdict = "failed"
)

const (
	// slowness is how many times the median time between tokens of its pool makes an answer slow. The load bound keeps the
	// batches of a pool alike, so that a greater difference comes from the engine.
	slowness = 3
	// paced is the least number of tokens of an answer that tells an engine's pace, and known the number of answers after
	// which a router knows the pool's.
	paced, known = 8, 20
	// fastStep and slowStep are the factors by which an answer moves the median, before and after known answers.
	fastStep, slowStep = 1.1, 1.02
	// requestError and serverError are the least statuses of faults of the request and of the engine.
	requestError, serverError = 400, 500
)

// engineHealth ejects at most a third of a pool, and one of three engines: each ejection takes a part of the pool's cache.
func engineHealth() retry.HealthSettings {
	s := retry.DefaultHealth()
	s.Least = 6
	s.Cap = 0.34
	return s
}

// paces holds the median time between tokens of each pool, as the answers that this router relayed show it. One router sees too
// few answers of each engine to judge it, but enough of the whole pool to know its pace.
type paces struct {
	mu    sync.Mutex
	pools map[string]*pace
}

type pace struct {
	median  float64
	answers int
}

// slow takes the mean time between an answer's tokens, and reports whether it is far above the pool's.
func (p *paces) slow(pool string, gap time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pools == nil {
		p.pools = map[string]*pace{}
	}
	v := p.pools[pool]
	if v == nil {
		v = &pace{median: float64(gap)}
		p.pools[pool] = v
	}
	slow := v.answers >= known && float64(gap) > slowness*v.median
	step := slowStep
	if v.answers < known {
		step = fastStep
	}
	v.answers++
	switch {
	case float64(gap) > v.median:
		v.median *= step
	case float64(gap) < v.median:
		v.median /= step
	}
	return slow
}

// verdict judges an engine by an attempt. Refusals before the start, cancellations and faults of the request say nothing.
func (l *Loop) verdict(pool string, r caller.Result) Verdict {
	switch r.Ending {
	case caller.EndedOK:
		// The pause of a connection that went silent is not the engine's.
		if r.Tokens >= paced && r.Resumes == 0 && l.paces.slow(pool, r.Paced/time.Duration(r.Tokens)) {
			return Slow
		}
		return Good
	case caller.EndedUnreachable, caller.EndedCrashed, caller.EndedTimedOut, caller.EndedMalformed:
		return Bad
	case caller.EndedFailed:
		// A stream that the engine ended with an error has a status below those of errors.
		if r.Status >= serverError || r.Status < requestError {
			return Bad
		}
	}
	return ""
}

// setServers takes the engines whose health counts from a configuration. Those that join a pool begin with a slow start.
func (l *Loop) setServers(now time.Time, p policy.Policy) {
	fit := map[string][]string{}
	for _, name := range l.state.order {
		if b := p.Backends[name]; b.State != policy.Leaving {
			fit[b.Pool] = append(fit[b.Pool], name)
		}
	}
	for pool := range p.Pools {
		if l.state.health[pool] == nil {
			l.state.health[pool] = retry.NewHealth(engineHealth())
		}
		l.state.health[pool].SetServers(now, fit[pool])
	}
	for pool := range l.state.health {
		if _, ok := p.Pools[pool]; !ok {
			delete(l.state.health, pool)
		}
	}
}

// judge takes a verdict on an engine that this router owns. All routers tell the owner, who alone sees enough of the engine.
func (l *Loop) judge(e *engineState, v Verdict, now time.Time) {
	h := l.state.health[e.backend.Pool]
	if v == "" || h == nil || e.gate == nil {
		return
	}
	name := e.backend.Name
	closed := h.Circuit(now, name) == retry.Closed
	ejected := h.Record(now, name, v == Good)
	l.judged(name, "engine", ejected, !closed && h.Circuit(now, name) == retry.Closed)
	l.refreshHealth(e, now)
}

// refreshHealth brings an ejection into force, or ends it for a trial.
func (l *Loop) refreshHealth(e *engineState, now time.Time) {
	h := l.state.health[e.backend.Pool]
	ejected := e.gate != nil && h != nil && h.Circuit(now, e.backend.Name) == retry.Open
	if ejected == e.ejected {
		return
	}
	e.ejected = ejected
	l.state.dirty = true
	if ejected {
		l.turnAway(e)
	}
}

// spare refuses a request that an engine on trial or in its slow start does not get.
func (l *Loop) spare(e *engineState, ask SlotAsk, now time.Time) (Answer, bool) {
	h := l.state.health[e.backend.Pool]
	if h == nil {
		return Answer{}, false
	}
	name := e.backend.Name
	if h.Circuit(now, name) != retry.Closed {
		if ask.Suspect != nil || e.gate.Slots() > 0 || !h.Allow(now, name) {
			return refuse(ask, outcome.NoBackend), true
		}
		return Answer{}, false
	}
	weight := h.Weight(now, name)
	if weight >= 1 || float64(e.gate.Slots()) < max(1, weight*e.gate.Limit(now)) {
		return Answer{}, false
	}
	a := refuse(ask, outcome.Overloaded)
	a.Wait = e.gate.Expected(now)
	return a, true
}

// shunned keeps this router's requests away from an engine to which its owner gives no work, so that they do not all ask.
func (l *Loop) shunned(name string, now time.Time) {
	if e, ok := l.state.engines[name]; ok && e.gate == nil {
		l.suspect(e, now, "its owner gives it no work")
	}
}

// outOfService counts the engines of a pool that are not in the sum of loads and that this router has not ejected.
func (l *Loop) outOfService(pool string, counted int) {
	h := l.state.health[pool]
	if h == nil {
		return
	}
	h.SetElsewhere(h.Len() - counted - len(h.Ejected()))
}

// trial is true for an engine whose next request decides its ejection. It must not wait in the queue.
func (l *Loop) trial(e *engineState, now time.Time) bool {
	h := l.state.health[e.backend.Pool]
	return h != nil && h.Circuit(now, e.backend.Name) == retry.Half
}

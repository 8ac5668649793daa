package control

import (
	"sync"
	"time"

	"hornbeamstep.example/hornbeamd/caller"
	"hornbeamstep.example/policy"
	"hornbeamstep.example/routing/admission"
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
	// paced is the least number of tokens of an answer that tells an engine's pace.
	paced = 8
	// requestError and serverError are the least statuses of faults of the request and of the engine.
	requestError, serverError = 400, 500
)

// engineHealth ejects at most a third of a pool, and one of three engines: each ejection takes a part of the pool's cache.
func engineHealth() retry.HealthSettings {
	s := retry.DefaultHealth()
	s.MinOutcomes = 6
	s.MaxEjectedShare = 0.34
	// A trial costs one slow answer; a longer ejection costs the chats of the engine their contexts.
	s.MaxEjection = 10 * time.Second
	// As long as a gate takes to ramp up.
	s.SlowStart = admission.Defaults().Ramp
	return s
}

// paces holds the median time between tokens of each pool, as the answers that this router relayed show it. One router sees too
// few answers of each engine to judge it, but enough of the whole pool to know its pace.
type paces struct {
	mu    sync.Mutex
	pools map[string]*retry.Pace
}

// outlier takes the end of an attempt, and is true for a failure that most of the pool's attempts do not share.
func (p *paces) outlier(pool string, failed bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.of(pool).RecordAttempt(failed)
}

// of returns the estimate of a pool. The caller holds the lock.
func (p *paces) of(pool string) *retry.Pace {
	if p.pools == nil {
		p.pools = map[string]*retry.Pace{}
	}
	if p.pools[pool] == nil {
		p.pools[pool] = retry.NewPace(retry.DefaultPace())
	}
	return p.pools[pool]
}

// slow takes the mean time between an answer's tokens, and reports whether it is far above the pool's.
func (p *paces) slow(pool string, gap time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.of(pool).RecordTokenGap(float64(gap))
}

// verdict judges an engine by an attempt. Refusals before the start, cancellations and faults of the request say nothing.
// A failed connection does neither: the owner's next load report decides, and a crash is no reason to keep an engine out that
// is back.
func (l *Loop) verdict(pool string, r caller.Result) Verdict {
	failed := false
	switch r.Ending {
	case caller.EndedOK:
		l.paces.outlier(pool, false)
		// The pause of a connection that went silent is not the engine's.
		if r.Tokens >= paced && r.Resumes == 0 && l.paces.slow(pool, r.Paced/time.Duration(r.Tokens)) {
			return Slow
		}
		return Good
	case caller.EndedCrashed, caller.EndedTimedOut, caller.EndedMalformed:
		failed = true
	case caller.EndedFailed:
		// A stream that the engine ended with an error has a status below those of errors.
		failed = r.Status >= serverError || r.Status < requestError
	}
	if failed && l.paces.outlier(pool, true) {
		return Bad
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
	// A request that asks to wait has found no room on any engine.
	if weight >= 1 || !ask.NoQueue || float64(e.gate.Slots()) < max(1, weight*e.gate.Limit(now)) {
		return Answer{}, false
	}
	a := refuse(ask, outcome.Overloaded)
	a.Wait = e.gate.ExpectedWait(now)
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
	h.SetOutOfServiceElsewhere(h.Len() - counted - len(h.Ejected()))
}

// trial is true for an engine whose next request decides its ejection. It must not wait in the queue.
func (l *Loop) trial(e *engineState, now time.Time) bool {
	h := l.state.health[e.backend.Pool]
	return h != nil && h.Circuit(now, e.backend.Name) == retry.HalfOpen
}

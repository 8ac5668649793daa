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

// Verdict is a router's report to the owner of an engine on how an attempt ended. It is sent with
// the release of the slot.
type Verdict string

// The verdicts. The empty verdict says nothing about the engine.
const (
	// VerdictOK means that the engine answered, and that the answer was not found slow.
	VerdictOK Verdict = "ok"
	// VerdictSlow means that the engine answered at less than a third of the token rate of its pool.
	VerdictSlow Verdict = "slow"
	// VerdictFailed means that the attempt failed because of the engine.
	VerdictFailed Verdict = "failed"
)

const (
	// minTokensForOutlier is the number of tokens that an answer needs for an estimate of the
	// engine's token rate.
	minTokensForOutlier = 8
	// minRequestErrorStatus and minServerErrorStatus are the lowest HTTP statuses for errors of the
	// request and of the engine.
	minRequestErrorStatus, minServerErrorStatus = 400, 500
)

// engineHealthSettings returns settings that eject at most a third of a pool, such as one of three
// engines: each ejection makes a part of the pool's cached contexts unavailable.
func engineHealthSettings() retry.HealthSettings {
	s := retry.DefaultHealth()
	s.MinOutcomes = 6
	s.MaxEjectedShare = 0.34
	// A trial costs one slow answer, whereas a longer ejection costs the engine's chats their
	// contexts.
	s.MaxEjection = 10 * time.Second
	// The same time as a gate takes to raise its limit after a takeover.
	s.SlowStart = admission.Defaults().Ramp
	return s
}

// poolOutlierDetectors estimates the median time between tokens of each pool from the answers that
// this router relays. One router sees too few answers of each engine to judge it alone, but enough
// of the whole pool to estimate its token rate.
type poolOutlierDetectors struct {
	mu    sync.Mutex
	pools map[string]*retry.OutlierDetector
}

// recordAttempt records the end of an attempt. It returns true for a failure that is attributed to
// the engine, because most attempts on the pool succeed.
func (p *poolOutlierDetectors) recordAttempt(pool string, failed bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.detector(pool).RecordAttempt(failed)
}

// detector returns the outlier detector of a pool. The caller holds the lock.
func (p *poolOutlierDetectors) detector(pool string) *retry.OutlierDetector {
	if p.pools == nil {
		p.pools = map[string]*retry.OutlierDetector{}
	}
	if p.pools[pool] == nil {
		p.pools[pool] = retry.NewOutlierDetector(retry.DefaultOutlierSettings())
	}
	return p.pools[pool]
}

// recordTokenGap records the mean time between the tokens of an answer, and reports whether it is
// far above that of the pool.
func (p *poolOutlierDetectors) recordTokenGap(pool string, gap time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.detector(pool).RecordTokenGap(float64(gap))
}

// verdict judges an engine by one attempt. Refusals before the start, cancellations and errors of
// the request say nothing about the engine, and neither do failures while many attempts on the pool
// fail. A connection that could not be established does not count either: the owner's next load
// report shows whether the engine is down, and an engine that is back after a crash should not stay
// ejected.
func (l *Loop) verdict(pool string, r caller.Result) Verdict {
	failed := false
	switch r.Ending {
	case caller.EndedOK:
		l.outliers.recordAttempt(pool, false)
		// After a resumed connection, the gap in the stream is not the engine's fault.
		if r.Tokens >= minTokensForOutlier && r.Resumes == 0 && l.outliers.recordTokenGap(pool, r.TokenWait/time.Duration(r.Tokens)) {
			return VerdictSlow
		}
		return VerdictOK
	case caller.EndedCrashed, caller.EndedTimedOut, caller.EndedMalformed:
		failed = true
	case caller.EndedFailed:
		// A stream that the engine ended with an error had already started with a success status.
		failed = r.Status >= minServerErrorStatus || r.Status < minRequestErrorStatus
	}
	if failed && l.outliers.recordAttempt(pool, true) {
		return VerdictFailed
	}
	return ""
}

// setTrackedEngines sets the engines whose health is tracked to those that the configuration has in
// service. Engines that join a pool begin with a slow start.
func (l *Loop) setTrackedEngines(now time.Time, p policy.Policy) {
	inService := map[string][]string{}
	for _, name := range l.state.order {
		if b := p.Backends[name]; b.State != policy.Leaving {
			inService[b.Pool] = append(inService[b.Pool], name)
		}
	}
	for pool := range p.Pools {
		if l.state.health[pool] == nil {
			l.state.health[pool] = retry.NewHealth(engineHealthSettings())
		}
		l.state.health[pool].SetServers(now, inService[pool])
	}
	for pool := range l.state.health {
		if _, ok := p.Pools[pool]; !ok {
			delete(l.state.health, pool)
		}
	}
}

// applyVerdict records a verdict on an engine that this router owns. All routers send their
// verdicts to the owner, because a single router sees too few attempts to judge the engine.
func (l *Loop) applyVerdict(e *engineState, v Verdict, now time.Time) {
	h := l.state.health[e.backend.Pool]
	if v == "" || h == nil || e.gate == nil {
		return
	}
	name := e.backend.Name
	closed := h.Circuit(now, name) == retry.Closed
	ejected := h.Record(now, name, v == VerdictOK)
	l.recordEjectionChange(name, "engine", ejected, !closed && h.Circuit(now, name) == retry.Closed)
	l.updateEjection(e, now)
}

// updateEjection starts or ends the ejection of an engine according to its health record. An
// ejection ends when the circuit becomes half-open and lets a trial request pass.
func (l *Loop) updateEjection(e *engineState, now time.Time) {
	h := l.state.health[e.backend.Pool]
	ejected := e.gate != nil && h != nil && h.Circuit(now, e.backend.Name) == retry.Open
	if ejected == e.ejected {
		return
	}
	e.ejected = ejected
	l.state.enginesChanged = true
	if ejected {
		l.refuseWaiters(e)
	}
}

// refuseRecovering refuses a request that an engine should not get because it is on trial (see
// onTrial) or in its slow start. It returns false if the engine may take the request.
func (l *Loop) refuseRecovering(e *engineState, slotRequest EngineSlotRequest, now time.Time) (Answer, bool) {
	h := l.state.health[e.backend.Pool]
	if h == nil {
		return Answer{}, false
	}
	name := e.backend.Name
	if h.Circuit(now, name) != retry.Closed {
		if slotRequest.Suspect != nil || e.gate.Slots() > 0 || !h.Allow(now, name) {
			return refuse(slotRequest, outcome.NoBackend), true
		}
		return Answer{}, false
	}
	weight := h.Weight(now, name)
	// A request that may queue has no better engine left to try, so the slow start does not refuse
	// it.
	if weight >= 1 || !slotRequest.NoQueue || float64(e.gate.Slots()) < max(1, weight*e.gate.Limit(now)) {
		return Answer{}, false
	}
	a := refuse(slotRequest, outcome.Overloaded)
	a.Wait = e.gate.ExpectedWait(now)
	return a, true
}

// markSuspectAfterRefusal marks an engine as suspect on this router after its owner answered that
// the engine takes no requests, so that not every request asks the owner.
func (l *Loop) markSuspectAfterRefusal(name string, now time.Time) {
	if e, ok := l.state.engines[name]; ok && e.gate == nil {
		l.markSuspect(e, now, "its owner gives it no work")
	}
}

// updateOutOfService sets the number of engines of a pool that are out of service but not ejected
// by this router: those that the pool's load sum does not count. They use up a part of
// MaxEjectedShare.
func (l *Loop) updateOutOfService(pool string, counted int) {
	h := l.state.health[pool]
	if h == nil {
		return
	}
	h.SetOutOfServiceElsewhere(h.Len() - counted - len(h.Ejected()))
}

// onTrial reports whether the next request to an engine decides if its ejection ends. Such a
// request must not wait in the queue.
func (l *Loop) onTrial(e *engineState, now time.Time) bool {
	h := l.state.health[e.backend.Pool]
	return h != nil && h.Circuit(now, e.backend.Name) == retry.HalfOpen
}

package replay

import (
	"time"

	"hornbeamstep.example/routing/admission"
	"hornbeamstep.example/routing/placement"
	"hornbeamstep.example/routing/retry"
)

// healthSample is what an attempt tells the owner about the health of its engine. As in the daemon,
// it is sent with the release of the slot.
type healthSample uint8

const (
	noSample healthSample = iota
	healthySample
	failedSample
)

// engineHealth returns the settings of the daemon: at most a third of a pool is ejected.
func engineHealth() retry.HealthSettings {
	settings := retry.DefaultHealth()
	settings.MinOutcomes, settings.MaxEjectedShare = 6, 0.34
	settings.MaxEjection = 10 * time.Second
	settings.SlowStart = admission.Defaults().Ramp
	return settings
}

// resetHealth clears the health records of the engines and the retry budget.
func (r *router) resetHealth() {
	var ids []string
	for _, e := range r.fleet.engines {
		ids = append(ids, e.id)
	}
	r.health = retry.NewHealth(engineHealth())
	r.health.SetServers(epoch, ids)
	r.pace = retry.NewOutlierDetector(retry.DefaultOutlierSettings())
	r.budget = retry.NewBudget(r.fleet.RetryRatio, r.fleet.RetryBurst)
}

// allowRetry reports whether the request may be tried on another engine.
func (r *router) allowRetry(c *call) bool {
	c.triesInSend++
	return c.triesInSend < r.fleet.MaxAttempts && (!r.fleet.RetryBudget || r.budget.AllowRetry())
}

// sampleFailedAttempt returns the health sample of an attempt without a complete answer. The
// failure counts against the engine unless many attempts in the pool fail.
func (r *router) sampleFailedAttempt() healthSample {
	if r.pace.RecordAttempt(true) {
		return failedSample
	}
	return noSample
}

// sampleAnswer returns the health sample of a complete answer. An answer with unusually long gaps
// between tokens counts as a failure.
func (r *router) sampleAnswer(c *call) healthSample {
	const minAnswerTokens = 8
	r.pace.RecordAttempt(false)
	if c.req.CompletionTokens < minAnswerTokens || c.firstTokenAt == 0 {
		return healthySample
	}
	if r.pace.RecordTokenGap(float64(r.fleet.now-c.firstTokenAt) / float64(c.req.CompletionTokens-1)) {
		return failedSample
	}
	return healthySample
}

// recordHealthSample records a health sample at the owner of the engine, which may eject the
// engine.
func (r *router) recordHealthSample(id string, sample healthSample) {
	if sample == noSample || r.gates[id] == nil || !r.fleet.Ejection {
		return
	}
	outOfService := 0
	for _, other := range r.fleet.routers {
		if other != r {
			outOfService += len(other.health.Ejected())
		}
	}
	for _, e := range r.fleet.engines {
		if !e.up || e.draining {
			outOfService++
		}
	}
	r.health.SetOutOfServiceElsewhere(outOfService)
	if r.health.Record(r.fleet.wall(), id, sample == healthySample) {
		r.fleet.stats.ejections++
		r.sendGateActions(id, r.gates[id].Close(r.fleet.wall()))
	}
}

// rejectsForHealth reports whether an engine gets no request because it is ejected, or because the
// trial request after an ejection is still running.
func (r *router) rejectsForHealth(id string, gate *admission.Gate) bool {
	now := r.fleet.wall()
	if !r.fleet.Ejection {
		return false
	}
	switch r.health.Circuit(now, id) {
	case retry.Open:
		return true
	case retry.HalfOpen:
		return gate.Slots() > 0 || !r.health.Allow(now, id)
	}
	return false
}

// rejectsForSlowStart reports whether an engine gets no request because it has reached its limit
// during slow start. Requests are then sent to other engines that have capacity.
func (r *router) rejectsForSlowStart(id string, gate *admission.Gate) bool {
	now := r.fleet.wall()
	weight := r.health.Weight(now, id)
	return r.fleet.Ejection && weight < 1 && float64(gate.Slots()) >= max(1, weight*gate.Limit(now))
}

// avoidEngine excludes an engine whose owner rejected the request for its health, and resumes the
// search.
func (r *router) avoidEngine(c *call, id string) {
	r.suspectUntil[id] = r.fleet.now + 2*time.Second
	r.view = r.view.WithState(id, placement.Suspect)
	c.search.Exclude(r.fleet.wall(), id)
	r.requestSlot(c)
}

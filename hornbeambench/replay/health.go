package replay

import (
	"time"

	"hornbeamstep.example/routing/admission"
	"hornbeamstep.example/routing/placement"
	"hornbeamstep.example/routing/retry"
)

// healthSample is the outcome of an attempt for the health record of the engine. As in hornbeamd,
// the router sends it to the owner of the engine with the release of the slot.
type healthSample uint8

const (
	// noSample means that the attempt says nothing about the health of the engine.
	noSample healthSample = iota
	healthySample
	failedSample
)

// engineHealthSettings returns the settings that hornbeamd uses for engines. They eject at most a
// third of a pool.
func engineHealthSettings() retry.HealthSettings {
	settings := retry.DefaultHealth()
	settings.MinOutcomes, settings.MaxEjectedShare = 6, 0.34
	settings.MaxEjection = 10 * time.Second
	settings.SlowStart = admission.Defaults().Ramp
	return settings
}

// resetHealth clears the health records of the engines, the pace estimate and the retry budget.
func (r *router) resetHealth() {
	var ids []string
	for _, e := range r.fleet.engines {
		ids = append(ids, e.id)
	}
	r.health = retry.NewHealth(engineHealthSettings())
	r.health.SetServers(epoch, ids)
	r.pace = retry.NewOutlierDetector(retry.DefaultOutlierSettings())
	r.budget = retry.NewBudget(r.fleet.RetryRatio, r.fleet.RetryBurst)
}

// allowRetry counts a failed attempt and reports whether the request may be tried again. If it may,
// the retry is taken from the retry budget.
func (r *router) allowRetry(c *call) bool {
	c.failedAttemptCount++
	return c.failedAttemptCount < r.fleet.MaxAttempts && (!r.fleet.RetryBudget || r.budget.AllowRetry())
}

// sampleFailedAttempt returns the health sample of an attempt without a complete answer. The
// failure counts against the engine unless many attempts of this router fail, as in an overload of
// the pool.
func (r *router) sampleFailedAttempt() healthSample {
	if r.pace.RecordAttempt(true) {
		return failedSample
	}
	return noSample
}

// sampleAnswer returns the health sample of a complete answer. An answer counts as a failure if the
// mean time between its tokens is far above the median. Answers with fewer than minAnswerTokens are
// not compared.
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

// recordHealthSample records a health sample of an engine that this router owns, and ejects the
// engine if it is unhealthy. It ignores samples of other engines.
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

// rejectsForHealth reports whether the owner rejects a request for an engine because the engine is
// ejected, or because the trial request after the ejection is still running.
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

// rejectsForSlowStart reports whether the owner rejects a request for an engine because the engine
// has reached its reduced limit during slow start. The request is then sent to another engine.
func (r *router) rejectsForSlowStart(id string, gate *admission.Gate) bool {
	now := r.fleet.wall()
	weight := r.health.Weight(now, id)
	return r.fleet.Ejection && weight < 1 && float64(gate.Slots()) >= max(1, weight*gate.Limit(now))
}

// avoidEngine resumes the search without an engine whose owner rejected the request because of the
// engine's health. The router treats the engine as suspect for 2 s.
func (r *router) avoidEngine(c *call, id string) {
	r.suspectUntil[id] = r.fleet.now + 2*time.Second
	r.view = r.view.WithState(id, placement.Suspect)
	c.search.Exclude(r.fleet.wall(), id)
	r.requestSlot(c)
}

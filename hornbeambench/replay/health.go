package replay

import (
	"time"

	"hornbeamstep.example/routing/admission"
	"hornbeamstep.example/routing/placement"
	"hornbeamstep.example/routing/retry"
)

// verdict is what the owner of an engine learns of an attempt with its slot, as in the daemon.
type verdict uint8

const (
	noVerdict verdict = iota
	good
	bad
)

// engineHealth has the daemon's settings: at most a third of a pool is ejected.
func engineHealth() retry.HealthSettings {
	s := retry.DefaultHealth()
	s.MinOutcomes, s.MaxEjectedShare = 6, 0.34
	s.MaxEjection = 10 * time.Second
	s.SlowStart = admission.Defaults().Ramp
	return s
}

// resetHealth forgets what the router knew of the engines and of its retries.
func (r *router) resetHealth() {
	var ids []string
	for _, e := range r.fleet.engines {
		ids = append(ids, e.id)
	}
	r.health = retry.NewHealth(engineHealth())
	r.health.SetServers(epoch, ids)
	r.pace = retry.NewPace(retry.DefaultPace())
	r.budget = retry.NewBudget(r.fleet.RetryShare, r.fleet.RetryBurst)
}

// retry is true if the request may be tried on another engine.
func (r *router) retry(q *call) bool {
	q.tries++
	return q.tries < r.fleet.Attempts && (!r.fleet.Budget || r.budget.AllowRetry())
}

// late judges an engine by an attempt without an answer.
func (r *router) late() verdict {
	if r.pace.RecordAttempt(true) {
		return bad
	}
	return noVerdict
}

// paced judges an engine by a whole answer.
func (r *router) paced(q *call) verdict {
	const least = 8
	r.pace.RecordAttempt(false)
	if q.req.Answer < least || q.first == 0 {
		return good
	}
	if r.pace.RecordTokenGap(float64(r.fleet.now-q.first) / float64(q.req.Answer-1)) {
		return bad
	}
	return good
}

// judge is the owner's side of a verdict.
func (r *router) judge(id string, v verdict) {
	if v == noVerdict || r.gates[id] == nil || !r.fleet.Health {
		return
	}
	out := 0
	for _, o := range r.fleet.routers {
		if o != r {
			out += len(o.health.Ejected())
		}
	}
	for _, e := range r.fleet.engines {
		if !e.up || e.leaving {
			out++
		}
	}
	r.health.SetOutOfServiceElsewhere(out)
	if r.health.Record(r.fleet.wall(), id, v == good) {
		r.fleet.measure.ejections++
		r.deliver(id, r.gates[id].Close(r.fleet.wall()))
	}
}

// spares is true for a request that an engine does not get because it is ejected or on trial.
func (r *router) spares(id string, g *admission.Gate) bool {
	now := r.fleet.wall()
	if !r.fleet.Health {
		return false
	}
	switch r.health.Circuit(now, id) {
	case retry.Open:
		return true
	case retry.HalfOpen:
		return g.Slots() > 0 || !r.health.Allow(now, id)
	}
	return false
}

// starts is true for a request that an engine does not get because of its slow start, while other engines have room.
func (r *router) starts(id string, g *admission.Gate) bool {
	now := r.fleet.wall()
	weight := r.health.Weight(now, id)
	return r.fleet.Health && weight < 1 && float64(g.Slots()) >= max(1, weight*g.Limit(now))
}

// shun keeps the router's requests away from an engine to which its owner gives no work.
func (r *router) shun(q *call, id string) {
	r.suspect[id] = r.fleet.now + 2*time.Second
	r.view = r.view.WithState(id, placement.Suspect)
	q.walk.Exclude(r.fleet.wall(), id)
	r.ask(q)
}

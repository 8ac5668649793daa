package control

import (
	"math"
	"strings"
	"sync"
	"time"

	"hornbeamstep.example/hornbeamd/caller"
	"hornbeamstep.example/routing/placement"
)

// demandTime is the time constant of the mean rate of requests. Loads take seconds, so a burst of less is no reason for one.
const demandTime = time.Minute

// demand is the rate of requests by model or model:adapter. The configuration bounds the names.
type demand struct {
	mu    *sync.Mutex
	rates map[string]*rate
}

// rate is a mean that decays exponentially, in requests a second.
type rate struct {
	value float64
	at    time.Time
}

func newDemand() demand { return demand{mu: &sync.Mutex{}, rates: map[string]*rate{}} }

func (r *rate) decay(now time.Time) {
	r.value *= math.Exp(-max(0, now.Sub(r.at).Seconds()) / demandTime.Seconds())
	r.at = now
}

// request counts the first attempt of a request to a model.
func (d *demand) request(now time.Time, a caller.Ask) {
	if a.Model == "" || a.Attempt > 1 {
		return
	}
	name := ArtifactName(a.Model, a.Adapter)
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.rates[name]
	if !ok {
		r = &rate{}
		d.rates[name] = r
	}
	r.decay(now)
	r.value += 1 / demandTime.Seconds()
}

// ArtifactName is the name of a model, or of one of its adapters, without a version.
func ArtifactName(model, adapter string) string {
	if adapter == "" {
		return model
	}
	return model + ":" + adapter
}

// least is the rate below which a name is forgotten.
const least = 1e-4

func (d *demand) read(now time.Time) map[string]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := map[string]float64{}
	for name, r := range d.rates {
		r.decay(now)
		if r.value < least {
			delete(d.rates, name)
			continue
		}
		out[name] = r.value
	}
	return out
}

// Demand returns the rate of requests that this router gets, in requests a second by model or model:adapter.
func (l *Loop) Demand() map[string]float64 {
	l.init()
	return l.demand.read(l.Now())
}

// Loaded returns the artifacts on each engine in service that this router owns and has a report of.
func (l *Loop) Loaded() map[string][]string {
	l.init()
	return query(l, func(time.Time) map[string][]string {
		out := map[string][]string{}
		for _, name := range l.state.order {
			e := l.state.engines[name]
			if e.gate != nil && !e.reported.IsZero() && e.health == placement.InService {
				out[name] = e.report.Models
			}
		}
		return out
	})
}

// SetServing says for which models and adapters requests may go to which engines. An engine that is not named serves all of its
// pool's.
func (l *Loop) SetServing(serving map[string][]string) {
	l.send(func(time.Time) {
		l.state.serving = serving
		l.state.dirty = true
	})
}

// served returns the models and adapters of those of its pool that an engine serves. A model that no engine of the pool serves yet is
// left to all, so that the first request finds an engine that is just loading it.
func (s *state) served(name string, models, adapters []string, anywhere map[string]bool) (m, a []string) {
	names, planned := s.serving[name]
	if !planned {
		return models, adapters
	}
	has := map[string]bool{}
	for _, n := range names {
		has[n] = true
	}
	for _, model := range models {
		if has[model] || !anywhere[model] {
			m = append(m, model)
		}
	}
	for _, n := range names {
		if _, adapter, ok := strings.Cut(n, ":"); ok {
			a = append(a, adapter)
		}
	}
	return m, a
}

// anywhere holds the names that any engine serves.
func (s *state) anywhere() map[string]bool {
	out := map[string]bool{}
	for _, names := range s.serving {
		for _, n := range names {
			out[n] = true
		}
	}
	return out
}

package control

import (
	"math"
	"strings"
	"sync"
	"time"

	"hornbeamstep.example/hornbeamd/caller"
	"hornbeamstep.example/routing/placement"
)

// demandTimeConstant is the time constant of the mean request rate. An engine takes seconds to load
// a model, so a burst of a few seconds must not make it load one.
const demandTimeConstant = time.Minute

// demand holds the request rates by model or model:adapter. The configuration bounds the number of
// names.
type demand struct {
	mu    *sync.Mutex
	rates map[string]*rate
}

// rate is an exponentially decaying mean, in requests per second.
type rate struct {
	value float64
	at    time.Time
}

func newDemand() demand { return demand{mu: &sync.Mutex{}, rates: map[string]*rate{}} }

func (r *rate) decay(now time.Time) {
	r.value *= math.Exp(-max(0, now.Sub(r.at).Seconds()) / demandTimeConstant.Seconds())
	r.at = now
}

// countRequest counts the first attempt of a request to a model.
func (d *demand) countRequest(now time.Time, request caller.SlotRequest) {
	if request.Model == "" || request.Attempt > 1 {
		return
	}
	name := ArtifactName(request.Model, request.Adapter)
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.rates[name]
	if !ok {
		r = &rate{}
		d.rates[name] = r
	}
	r.decay(now)
	r.value += 1 / demandTimeConstant.Seconds()
}

// ArtifactName is the name of a model, or of one of its adapters, without a version.
func ArtifactName(model, adapter string) string {
	if adapter == "" {
		return model
	}
	return model + ":" + adapter
}

// minDemandRate is the rate, in requests per second, below which a name is removed.
const minDemandRate = 1e-4

// current returns the rates, and removes those below minDemandRate.
func (d *demand) current(now time.Time) map[string]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := map[string]float64{}
	for name, r := range d.rates {
		r.decay(now)
		if r.value < minDemandRate {
			delete(d.rates, name)
			continue
		}
		out[name] = r.value
	}
	return out
}

// Demand returns the rates of requests that this router receives, in requests per second, by model
// or model:adapter.
func (l *Loop) Demand() map[string]float64 {
	l.init()
	return l.demand.current(l.Now())
}

// LoadedModels returns the models and adapters that are loaded on each engine, according to its
// last load report. It covers the engines in service that this router owns.
func (l *Loop) LoadedModels() map[string][]string {
	l.init()
	return query(l, func(time.Time) map[string][]string {
		out := map[string][]string{}
		for _, name := range l.state.order {
			e := l.state.engines[name]
			if e.gate != nil && !e.reportRequestedAt.IsZero() && e.health == placement.InService {
				out[name] = e.report.Models
			}
		}
		return out
	})
}

// SetServing sets the models and adapters that each engine serves. An engine that is not named
// serves all those of its pool.
func (l *Loop) SetServing(serving map[string][]string) {
	l.send(func(time.Time) {
		l.state.serving = serving
		l.state.enginesChanged = true
	})
}

// servedModels returns the models and adapters that an engine serves according to the placement
// plan; without a plan for the engine, those of its pool. A model of the pool that the plan assigns
// to no engine yet counts as served by all, so that its first requests find an engine.
func (s *state) servedModels(name string, models, adapters []string, servedAnywhere map[string]bool) (servedModels, servedAdapters []string) {
	names, planned := s.serving[name]
	if !planned {
		return models, adapters
	}
	serves := map[string]bool{}
	for _, n := range names {
		serves[n] = true
	}
	for _, model := range models {
		if serves[model] || !servedAnywhere[model] {
			servedModels = append(servedModels, model)
		}
	}
	for _, n := range names {
		if _, adapter, ok := strings.Cut(n, ":"); ok {
			servedAdapters = append(servedAdapters, adapter)
		}
	}
	return servedModels, servedAdapters
}

// servedAnywhere returns the models and adapters that the placement plan assigns to any engine.
func (s *state) servedAnywhere() map[string]bool {
	out := map[string]bool{}
	for _, names := range s.serving {
		for _, n := range names {
			out[n] = true
		}
	}
	return out
}

package daemon

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"hornbeamstep.example/coord/reconcile"
	"hornbeamstep.example/hornbeamd/control"
	"hornbeamstep.example/hornbeamd/peer"
	"hornbeamstep.example/policy"
	"hornbeamstep.example/ports/weightstore"
	"hornbeamstep.example/routing/adapters"
)

const (
	// planReadInterval is the longest time between two reads of the plan by a router.
	planReadInterval = 10 * time.Second
	// retirementPeriod is how long an artifact stays loaded on an engine after the plan stops
	// sending requests there. By then, every router has read the plan, and a request that was
	// placed by the old plan has most likely started.
	retirementPeriod = 25 * time.Second
	// minAdapterDemand is the demand assumed for adapters without requests. It is so low that the
	// planner keeps them on the least number of engines and loads them after all others.
	minAdapterDemand = 1e-3
)

// planBuilder computes plans from demand. It does no I/O and is not safe for concurrent use.
type planBuilder struct {
	// planners holds the planner of each pool, by pool name. A planner assigns artifacts to engines.
	planners map[string]*adapters.Planner
	// retiring holds the artifacts that no longer take requests but are still loaded, with the time
	// when they stopped.
	retiring map[artifactPlacement]time.Time
}

type artifactPlacement struct{ engine, artifact string }

func newPlanBuilder() *planBuilder {
	return &planBuilder{planners: map[string]*adapters.Planner{}, retiring: map[artifactPlacement]time.Time{}}
}

// next returns the plan that replaces the old one, given what the routers report in the inventory.
func (p *planBuilder) next(now time.Time, c policy.Policy, weights weightstore.Catalogue, inventory peer.Inventory, old reconcile.Plan) reconcile.Plan {
	out := reconcile.Plan{Engines: map[string]reconcile.EnginePlan{}}
	for _, pool := range slices.Sorted(maps.Keys(c.Pools)) {
		t := &poolPlanner{planBuilder: p, now: now, policy: c, pool: pool, weights: weights, inventory: inventory, plan: map[string]reconcile.EnginePlan{}}
		t.initialize(old)
		if t.mostEnginesReported() {
			t.update()
		}
		maps.Copy(out.Engines, t.plan)
	}
	for r := range p.retiring {
		if !slices.Contains(out.Engines[r.engine].Loaded, r.artifact) {
			delete(p.retiring, r)
		}
	}
	return out
}

// poolPlanner computes the next plan for the engines of one pool.
type poolPlanner struct {
	*planBuilder

	now       time.Time
	policy    policy.Policy
	pool      string
	weights   weightstore.Catalogue
	inventory peer.Inventory
	plan      map[string]reconcile.EnginePlan
	engines   []string
}

// initialize starts from the old plan. An engine that the old plan lacks starts with the models
// that the configuration requires and with the configured artifacts that it reports as loaded.
func (t *poolPlanner) initialize(old reconcile.Plan) {
	for name, b := range t.policy.Backends {
		if b.Pool != t.pool {
			continue
		}
		t.engines = append(t.engines, name)
		if planned, ok := old.Engines[name]; ok {
			t.plan[name] = reconcile.EnginePlan{Loaded: slices.Clone(planned.Loaded), NotServing: planned.NotServing}
			continue
		}
		if reported, ok := t.inventory.Engines[name]; ok {
			t.plan[name] = reconcile.EnginePlan{Loaded: t.initialArtifacts(reported)}
		}
	}
	slices.Sort(t.engines)
}

func (t *poolPlanner) initialArtifacts(reported []string) []string {
	var out []string
	for name, m := range t.policy.Models {
		if m.Pool == t.pool {
			out = append(out, joinArtifact(name, m.Version))
		}
	}
	for _, a := range reported {
		name, _ := splitArtifact(a)
		if _, ok := t.desiredVersion(name); ok {
			out = append(out, a)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// desiredVersion returns the version in which this pool should serve a model or an adapter, and
// false if it should not serve it.
func (t *poolPlanner) desiredVersion(name string) (string, bool) {
	model, adapter, isAdapter := strings.Cut(name, ":")
	m, ok := t.policy.Models[model]
	if !ok || m.Pool != t.pool || isAdapter && !slices.Contains(m.Adapters, adapter) {
		return "", false
	}
	return m.Version, true
}

// mostEnginesReported reports whether the inventory has more than half of the pool's engines. An
// engine is missing if its router does not answer. A plan for an inventory of few engines would
// load the artifacts of all missing engines onto those few.
func (t *poolPlanner) mostEnginesReported() bool {
	n := 0
	for _, name := range t.engines {
		if _, ok := t.inventory.Engines[name]; ok {
			n++
		}
	}
	return 2*n > len(t.engines)
}

func (t *poolPlanner) update() {
	planner, ok := t.planners[t.pool]
	if !ok {
		planner = adapters.New(t.now, t.settings())
		t.planners[t.pool] = planner
	}
	t.cancelRetirements()
	orders := planner.Plan(t.now, t.desiredAdapters(), t.engineStates())
	unloadPending := map[string]bool{}
	for _, o := range orders {
		if o.Kind == adapters.Unload && !t.unload(o) {
			unloadPending[o.Engine] = true
		}
	}
	memoryLimited := t.policy.Pools[t.pool].Memory > 0
	for _, o := range orders {
		// An engine with limited memory has no room for a load until its unloads are done.
		if o.Kind == adapters.Load && (!memoryLimited || !unloadPending[o.Engine]) {
			t.load(o)
		}
	}
	for _, name := range t.engines {
		t.updateNotServing(name)
	}
}

// settings returns the settings of the planner. The weight store limits the number of loads per
// second, but the planner limits bytes per second, so each load counts as the size of the largest
// artifact.
func (t *poolPlanner) settings() adapters.Settings {
	s := adapters.Defaults()
	largest := 1.0
	for _, a := range t.weights.Artifacts {
		largest = max(largest, float64(a.Size))
	}
	if t.weights.Rate > 0 {
		s.Rate, s.Burst = t.weights.Rate*largest, float64(max(1, t.weights.Burst))*largest
	}
	return s
}

// desiredAdapters returns the models and the adapters that this pool serves. The planner treats a
// model as an adapter with so much demand that it needs a replica on every engine.
func (t *poolPlanner) desiredAdapters() []adapters.Adapter {
	demandForAllEngines := adapters.Defaults().DemandPerReplica * float64(len(t.engines)+1)
	var out []adapters.Adapter
	add := func(name, version string, demand float64) {
		out = append(out, adapters.Adapter{Name: name, Version: version, Size: t.size(name, version), Demand: demand})
	}
	for _, model := range slices.Sorted(maps.Keys(t.policy.Models)) {
		m := t.policy.Models[model]
		if m.Pool != t.pool {
			continue
		}
		add(model, m.Version, demandForAllEngines)
		for _, a := range m.Adapters {
			name := control.ArtifactName(model, a)
			add(name, m.Version, max(t.inventory.Demand[name], minAdapterDemand))
		}
	}
	return out
}

// size returns the size in bytes of a version of an artifact. If the catalogue lacks the version,
// it returns the size of the artifact's largest version.
func (t *poolPlanner) size(name, version string) int64 {
	size := int64(0)
	for _, a := range t.weights.Artifacts {
		if control.ArtifactName(a.Model, a.Adapter) != name {
			continue
		}
		size = max(size, a.Size)
		if a.Version == version {
			return a.Size
		}
	}
	return size
}

func (t *poolPlanner) engineStates() []adapters.Engine {
	memory := int64(t.policy.Pools[t.pool].Memory)
	if memory == 0 {
		memory = math.MaxInt64 / 2
	}
	var out []adapters.Engine
	for _, name := range t.engines {
		reported, known := t.inventory.Engines[name]
		e := adapters.Engine{ID: name, Memory: memory, InService: known && t.policy.Backends[name].State != policy.Leaving}
		for _, a := range t.plan[name].Loaded {
			artifactName, version := splitArtifact(a)
			e.Loaded = append(e.Loaded, adapters.Loaded{
				Name: artifactName, Version: version, Size: t.size(artifactName, version), Ready: slices.Contains(reported, a),
			})
		}
		out = append(out, e)
	}
	return out
}

// unload removes an artifact from the plan of an engine. It returns false if the artifact has to
// stay for now, because requests must first be sent elsewhere.
func (t *poolPlanner) unload(o adapters.Order) bool {
	placement := artifactPlacement{o.Engine, joinArtifact(o.Name, o.Version)}
	retiringSince, ok := t.retiring[placement]
	if t.isLastServingCopy(placement, o.Name) {
		delete(t.retiring, placement)
		return false
	}
	if !ok {
		t.retiring[placement] = t.now
		return false
	}
	if t.now.Sub(retiringSince) < retirementPeriod {
		return false
	}
	planned := t.plan[o.Engine]
	planned.Loaded = slices.DeleteFunc(planned.Loaded, func(a string) bool { return a == placement.artifact })
	t.plan[o.Engine] = planned
	delete(t.retiring, placement)
	return true
}

// cancelRetirements returns retiring artifacts to service if no other copy takes requests.
func (t *poolPlanner) cancelRetirements() {
	for _, engine := range t.engines {
		for _, a := range t.plan[engine].Loaded {
			r := artifactPlacement{engine, a}
			if _, ok := t.retiring[r]; !ok {
				continue
			}
			if name, _ := splitArtifact(a); t.isLastServingCopy(r, name) {
				delete(t.retiring, r)
			}
		}
	}
}

// isLastServingCopy reports whether no copy of a model or adapter, other than the one at r, takes
// requests. It returns false if this pool should not serve the model or adapter.
func (t *poolPlanner) isLastServingCopy(r artifactPlacement, name string) bool {
	if _, ok := t.desiredVersion(name); !ok {
		return false
	}
	for _, engine := range t.engines {
		if t.policy.Backends[engine].State == policy.Leaving {
			continue
		}
		for _, a := range t.plan[engine].Loaded {
			if (engine != r.engine || a != r.artifact) && t.servesRequests(engine, a, name) {
				return false
			}
		}
	}
	return true
}

// servesRequests reports whether the artifact a on an engine is a copy of name that takes requests.
func (t *poolPlanner) servesRequests(engine, a, name string) bool {
	copyOf, _ := splitArtifact(a)
	_, retiring := t.retiring[artifactPlacement{engine, a}]
	return copyOf == name && !retiring && slices.Contains(t.inventory.Engines[engine], a)
}

func (t *poolPlanner) load(o adapters.Order) {
	planned := t.plan[o.Engine]
	planned.Loaded = append(planned.Loaded, joinArtifact(o.Name, o.Version))
	slices.Sort(planned.Loaded)
	planned.Loaded = slices.Compact(planned.Loaded)
	t.plan[o.Engine] = planned
	delete(t.retiring, artifactPlacement{o.Engine, joinArtifact(o.Name, o.Version)})
}

// updateNotServing sets which planned artifacts of an engine take no requests: those not loaded yet
// and those that retire. It changes nothing for an engine that the inventory lacks.
func (t *poolPlanner) updateNotServing(engine string) {
	planned, ok := t.plan[engine]
	if _, known := t.inventory.Engines[engine]; !ok || !known {
		return
	}
	planned.NotServing = nil
	for _, a := range planned.Loaded {
		if name, _ := splitArtifact(a); !t.servesRequests(engine, a, name) {
			planned.NotServing = append(planned.NotServing, a)
		}
	}
	t.plan[engine] = planned
}

// splitArtifact returns the name and the version of an artifact.
func splitArtifact(a string) (name, version string) {
	name, version, _ = strings.Cut(a, "@")
	return name, version
}

package daemon

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"hornbeamstep.example/coord/order"
	"hornbeamstep.example/hornbeamd/control"
	"hornbeamstep.example/hornbeamd/peer"
	"hornbeamstep.example/policy"
	"hornbeamstep.example/ports/weightstore"
	"hornbeamstep.example/routing/adapters"
)

const (
	// planRead is the longest time until a router has read a new plan.
	planRead = 10 * time.Second
	// retireTime is how long an artifact stays loaded after the plan has ceased to send requests there: until every router has read
	// the plan, and a request that was placed by the old one has most likely started.
	retireTime = 25 * time.Second
	// idleDemand keeps adapters without requests on the least number of engines; their loads come last.
	idleDemand = 1e-3
)

// planning turns demand into plans. It does no I/O. It belongs to one planner at a time.
type planning struct {
	// planners are those of the pools.
	planners map[string]*adapters.Planner
	// retiring holds since when an artifact on an engine is not served any more.
	retiring map[retired]time.Time
}

type retired struct{ engine, artifact string }

func newPlanning() *planning {
	return &planning{planners: map[string]*adapters.Planner{}, retiring: map[retired]time.Time{}}
}

// next returns the plan to follow on the old one.
func (p *planning) next(now time.Time, c policy.Policy, weights weightstore.Catalogue, in peer.Inventory, old order.Plan) order.Plan {
	out := order.Plan{Engines: map[string]order.EnginePlan{}}
	for _, pool := range slices.Sorted(maps.Keys(c.Pools)) {
		t := &poolTurn{planning: p, now: now, policy: c, pool: pool, weights: weights, in: in, plan: map[string]order.EnginePlan{}}
		t.begin(old)
		if t.known() {
			t.change()
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

// poolTurn is one turn of planning for one pool.
type poolTurn struct {
	*planning

	now     time.Time
	policy  policy.Policy
	pool    string
	weights weightstore.Catalogue
	in      peer.Inventory
	plan    map[string]order.EnginePlan
	engines []string
}

// begin takes over what was planned. An engine that is new to the plan starts from what the configuration asks of it and from what it
// reports to have.
func (t *poolTurn) begin(old order.Plan) {
	for name, b := range t.policy.Backends {
		if b.Pool != t.pool {
			continue
		}
		t.engines = append(t.engines, name)
		if planned, ok := old.Engines[name]; ok {
			t.plan[name] = order.EnginePlan{Loaded: slices.Clone(planned.Loaded), NotServing: planned.NotServing}
			continue
		}
		if reported, ok := t.in.Engines[name]; ok {
			t.plan[name] = order.EnginePlan{Loaded: t.first(reported)}
		}
	}
	slices.Sort(t.engines)
}

func (t *poolTurn) first(reported []string) []string {
	var out []string
	for name, m := range t.policy.Models {
		if m.Pool == t.pool {
			out = append(out, artifact(name, m.Version))
		}
	}
	for _, a := range reported {
		name, _ := splitArtifact(a)
		if _, ok := t.wanted(name); ok {
			out = append(out, a)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// wanted returns the version in which a model or an adapter should be served.
func (t *poolTurn) wanted(name string) (string, bool) {
	model, adapter, is := strings.Cut(name, ":")
	m, ok := t.policy.Models[model]
	if !ok || m.Pool != t.pool || is && !slices.Contains(m.Adapters, adapter) {
		return "", false
	}
	return m.Version, true
}

// known is true if most engines of the pool are reported. While few are, because routers do not answer, a plan would load the rest
// of the world onto them.
func (t *poolTurn) known() bool {
	n := 0
	for _, name := range t.engines {
		if _, ok := t.in.Engines[name]; ok {
			n++
		}
	}
	return 2*n > len(t.engines)
}

func (t *poolTurn) change() {
	planner, ok := t.planners[t.pool]
	if !ok {
		planner = adapters.New(t.now, t.settings())
		t.planners[t.pool] = planner
	}
	t.revive()
	orders := planner.Plan(t.now, t.want(), t.states())
	later := map[string]bool{}
	for _, o := range orders {
		if o.Kind == adapters.Unload && !t.unload(o) {
			later[o.Engine] = true
		}
	}
	limited := t.policy.Pools[t.pool].Memory > 0
	for _, o := range orders {
		// What is still to be unloaded takes the memory.
		if o.Kind == adapters.Load && (!limited || !later[o.Engine]) {
			t.load(o)
		}
	}
	for _, name := range t.engines {
		t.serve(name)
	}
}

// settings are those of the planner. The weight store counts loads; the planner counts bytes, and takes each for the largest.
func (t *poolTurn) settings() adapters.Settings {
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

// want returns the models, which every engine has to have, and the adapters by their demand.
func (t *poolTurn) want() []adapters.Adapter {
	everywhere := adapters.Defaults().DemandPerReplica * float64(len(t.engines)+1)
	var out []adapters.Adapter
	add := func(name, version string, demand float64) {
		out = append(out, adapters.Adapter{Name: name, Version: version, Size: t.size(name, version), Demand: demand})
	}
	for _, model := range slices.Sorted(maps.Keys(t.policy.Models)) {
		m := t.policy.Models[model]
		if m.Pool != t.pool {
			continue
		}
		add(model, m.Version, everywhere)
		for _, a := range m.Adapters {
			name := control.ArtifactName(model, a)
			add(name, m.Version, max(t.in.Demand[name], idleDemand))
		}
	}
	return out
}

// size returns the bytes of a version, or of any version if the catalogue lacks it.
func (t *poolTurn) size(name, version string) int64 {
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

func (t *poolTurn) states() []adapters.Engine {
	memory := int64(t.policy.Pools[t.pool].Memory)
	if memory == 0 {
		memory = math.MaxInt64 / 2
	}
	var out []adapters.Engine
	for _, name := range t.engines {
		reported, known := t.in.Engines[name]
		e := adapters.Engine{ID: name, Memory: memory, InService: known && t.policy.Backends[name].State != policy.Leaving}
		for _, a := range t.plan[name].Loaded {
			what, version := splitArtifact(a)
			e.Loaded = append(e.Loaded, adapters.Loaded{
				Name: what, Version: version, Size: t.size(what, version), Ready: slices.Contains(reported, a),
			})
		}
		out = append(out, e)
	}
	return out
}

// unload removes an artifact, and returns false if it has to stay for now: requests are sent elsewhere first.
func (t *poolTurn) unload(o adapters.Order) bool {
	r := retired{o.Engine, artifact(o.Name, o.Version)}
	since, ok := t.retiring[r]
	if t.lastServing(r, o.Name) {
		delete(t.retiring, r)
		return false
	}
	if !ok {
		t.retiring[r] = t.now
		return false
	}
	if t.now.Sub(since) < retireTime {
		return false
	}
	planned := t.plan[o.Engine]
	planned.Loaded = slices.DeleteFunc(planned.Loaded, func(a string) bool { return a == r.artifact })
	t.plan[o.Engine] = planned
	delete(t.retiring, r)
	return true
}

// revive takes back artifacts that began to retire, if the other copies have gone meanwhile.
func (t *poolTurn) revive() {
	for _, engine := range t.engines {
		for _, a := range t.plan[engine].Loaded {
			r := retired{engine, a}
			if _, ok := t.retiring[r]; !ok {
				continue
			}
			if name, _ := splitArtifact(a); t.lastServing(r, name) {
				delete(t.retiring, r)
			}
		}
	}
}

// lastServing is true if no other copy of a wanted model or adapter would serve.
func (t *poolTurn) lastServing(r retired, name string) bool {
	if _, ok := t.wanted(name); !ok {
		return false
	}
	for _, engine := range t.engines {
		if t.policy.Backends[engine].State == policy.Leaving {
			continue
		}
		for _, a := range t.plan[engine].Loaded {
			if (engine != r.engine || a != r.artifact) && t.serves(engine, a, name) {
				return false
			}
		}
	}
	return true
}

// serves is true if an artifact of the plan is a copy of name that takes requests.
func (t *poolTurn) serves(engine, a, name string) bool {
	what, _ := splitArtifact(a)
	_, out := t.retiring[retired{engine, a}]
	return what == name && !out && slices.Contains(t.in.Engines[engine], a)
}

func (t *poolTurn) load(o adapters.Order) {
	planned := t.plan[o.Engine]
	planned.Loaded = append(planned.Loaded, artifact(o.Name, o.Version))
	slices.Sort(planned.Loaded)
	planned.Loaded = slices.Compact(planned.Loaded)
	t.plan[o.Engine] = planned
	delete(t.retiring, retired{o.Engine, artifact(o.Name, o.Version)})
}

// serve sets what an engine does not serve yet or any more: what it has not, and what retires. An engine of which nothing is known keeps its own.
func (t *poolTurn) serve(engine string) {
	planned, ok := t.plan[engine]
	if _, known := t.in.Engines[engine]; !ok || !known {
		return
	}
	planned.NotServing = nil
	for _, a := range planned.Loaded {
		if name, _ := splitArtifact(a); !t.serves(engine, a, name) {
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

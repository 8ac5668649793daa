package daemon

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/coord/reconcile"
	"hornbeamstep.example/hornbeamd/peer"
	"hornbeamstep.example/policy"
	"hornbeamstep.example/ports/weightstore"
)

// planSimulation applies plans as the owners of the engines do: an engine has the planned artifacts
// one step later. Routers follow a plan that is up to two steps old.
type planSimulation struct {
	t      *testing.T
	now    time.Time
	state  *planBuilder
	policy policy.Policy
	store  weightstore.Catalogue
	loaded map[string][]string
	plan   reconcile.Plan
	// earlier holds the earlier plans, newest last.
	earlier []reconcile.Plan
	demand  map[string]float64
	loads   int
}

const planStep = planReadInterval / 2

func newPlanSimulation(t *testing.T, engines, memory int) *planSimulation {
	w := &planSimulation{
		t: t, now: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC), state: newPlanBuilder(), loaded: map[string][]string{},
		store: weightstore.Catalogue{Rate: 1, Burst: 4}, demand: map[string]float64{},
	}
	w.policy.Pools = map[string]policy.Pool{"p": {Name: "p", Memory: memory}}
	w.policy.Backends = map[string]policy.Backend{}
	for i := range engines {
		name := fmt.Sprint("e", i)
		w.policy.Backends[name] = policy.Backend{Name: name, Pool: "p", State: policy.InService}
		w.loaded[name] = nil
	}
	for _, v := range []string{"1", "2"} {
		w.store.Artifacts = append(w.store.Artifacts,
			weightstore.Artifact{Model: "m", Version: v, Size: 50}, weightstore.Artifact{Model: "m", Adapter: "a", Version: v, Size: 20})
	}
	w.setVersion("1")
	return w
}

func (w *planSimulation) setVersion(v string) {
	w.policy.Models = map[string]policy.Model{"m": {Name: "m", Pool: "p", Adapters: []string{"a"}, Version: v}}
}

func (w *planSimulation) step() {
	w.now = w.now.Add(planStep)
	w.earlier = append(w.earlier, w.plan)
	w.plan = w.state.next(w.now, w.policy, w.store, peer.Inventory{Demand: w.demand, Engines: w.loaded}, w.plan)
	for name := range w.loaded {
		want := desiredState(w.policy, w.policy.Backends[name], w.plan).Loaded
		for _, a := range want {
			if !slices.Contains(w.loaded[name], a) {
				w.loads++
			}
		}
		w.loaded[name] = want
	}
}

// hasArtifact reports whether an engine has any version of a model or an adapter.
func (w *planSimulation) hasArtifact(engine, name string) bool {
	return slices.ContainsFunc(w.loaded[engine], func(a string) bool { return a == name || strings.HasPrefix(a, name+"@") })
}

// checkServed fails if one of the two latest plans sends requests to an engine that lacks the
// artifact, or to no engine at all.
func (w *planSimulation) checkServed(names ...string) {
	for _, plan := range w.earlier[max(0, len(w.earlier)-2):] {
		for _, name := range names {
			serving := 0
			for engine, p := range plan.Engines {
				if !slices.Contains(p.Serving(), name) {
					continue
				}
				serving++
				qt.Assert(w.t, w.hasArtifact(engine, name), qt.IsTrue, qt.Commentf("%s on engine %s", name, engine))
			}
			qt.Assert(w.t, serving > 0, qt.IsTrue, qt.Commentf("no engine serves %s", name))
		}
	}
}

func (w *planSimulation) count(a string) (n int) {
	for _, loaded := range w.loaded {
		if slices.Contains(loaded, a) {
			n++
		}
	}
	return n
}

// Guards against a version roll-out that leaves a model or an adapter without an engine, unloads it
// from an engine to which routers still send requests, drops the cache of more than one engine at a
// time, exceeds the memory of an engine, or never completes; also if another planner takes over
// during the roll-out.
func TestPlanRollsOutVersionWithoutInterruption(t *testing.T) {
	for name, test := range map[string]struct {
		memory  int
		planner int
	}{
		"room for both versions":           {},
		"room for one version":             {memory: 90},
		"planner replaced during roll-out": {planner: 7},
	} {
		t.Run(name, func(t *testing.T) {
			w := newPlanSimulation(t, 4, test.memory)
			w.demand["m:a"] = 8
			for range 8 {
				w.step()
			}
			qt.Assert(t, w.count("m@1"), qt.Equals, 4)
			qt.Assert(t, w.count("m:a@1") >= 2, qt.IsTrue)
			w.setVersion("2")
			for i := range 150 {
				if test.planner > 0 && i%test.planner == 0 {
					w.state = newPlanBuilder()
				}
				before := w.count("m@1")
				w.step()
				w.checkServed("m", "m:a")
				qt.Assert(t, before-w.count("m@1") <= 1, qt.IsTrue)
				for _, loaded := range w.loaded {
					used := 0
					for _, a := range loaded {
						used += map[bool]int{true: 20, false: 50}[strings.Contains(a, ":")]
					}
					qt.Assert(t, test.memory == 0 || used <= test.memory, qt.IsTrue)
				}
			}
			qt.Check(t, []int{w.count("m@1"), w.count("m:a@1"), w.count("m@2")}, qt.DeepEquals, []int{0, 0, 4})
			qt.Check(t, w.count("m:a@2") >= 2, qt.IsTrue)
		})
	}
}

// Guards against a model without a serving copy: one copy retires for a new version while the
// engines of the other copies leave.
func TestPlanKeepsLastServingCopy(t *testing.T) {
	w := newPlanSimulation(t, 3, 90)
	for range 8 {
		w.step()
	}
	w.setVersion("2")
	w.step()
	retiringEngine := -1
	for i := range 3 {
		if name := fmt.Sprint("e", i); !slices.Contains(w.plan.Engines[name].Serving(), "m") {
			retiringEngine = i
		}
	}
	qt.Assert(t, retiringEngine >= 0, qt.IsTrue)
	for i := range 3 {
		b := w.policy.Backends[fmt.Sprint("e", i)]
		if i != retiringEngine {
			b.State = policy.Leaving
		}
		w.policy.Backends[b.Name] = b
	}
	for range 20 {
		w.step()
		qt.Assert(t, w.plan.Engines[fmt.Sprint("e", retiringEngine)].Serving(), qt.Contains, "m")
	}
}

// Guards against plans that load everything onto the few engines that are reported while other
// routers do not answer, against plans that ignore changes of demand, and against unloading a copy
// while routers still send requests to it.
func TestPlanFollowsDemandOfReportedEngines(t *testing.T) {
	w := newPlanSimulation(t, 6, 0)
	for range 8 {
		w.step()
	}
	qt.Assert(t, w.count("m:a@1"), qt.Equals, 2)
	w.demand["m:a"] = 22
	allReported := w.loaded
	w.loaded = map[string][]string{}
	for name, loaded := range allReported {
		if len(loaded) == 1 && len(w.loaded) < 3 {
			w.loaded[name] = loaded
		}
	}
	before := maps.Clone(w.plan.Engines)
	w.step()
	qt.Check(t, w.plan.Engines, qt.DeepEquals, before)
	w.loaded = allReported
	for range 8 {
		w.step()
	}
	qt.Check(t, w.count("m:a@1"), qt.Equals, 5)
	w.demand["m:a"] = 2
	for range 20 {
		w.step()
		w.checkServed("m", "m:a")
	}
	qt.Check(t, w.count("m:a@1"), qt.Equals, 2)
}

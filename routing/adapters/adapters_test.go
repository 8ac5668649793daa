package adapters_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/routing/adapters"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// fleet simulates engines that execute the orders of a planner. An adapter that was loaded in one
// step is ready in the next.
type fleet struct {
	engines []adapters.Engine
	planner *adapters.Planner
	now     time.Time
	// fetchedBytes is the total size of the adapters that were loaded.
	fetchedBytes int64
}

func newFleet(n int, memory int64, s adapters.Settings) *fleet {
	f := &fleet{planner: adapters.New(start, s), now: start}
	for i := range n {
		f.engines = append(f.engines, adapters.Engine{ID: fmt.Sprint("e", i), Memory: memory, InService: true})
	}
	return f
}

// step makes the adapters loaded so far ready, then executes the orders of the next plan.
func (f *fleet) step(t *testing.T, want []adapters.Adapter) {
	for i := range f.engines {
		for j := range f.engines[i].Loaded {
			f.engines[i].Loaded[j].Ready = true
		}
	}
	f.now = f.now.Add(10 * time.Second)
	for _, o := range f.planner.Plan(f.now, want, f.engines) {
		i := slices.IndexFunc(f.engines, func(e adapters.Engine) bool { return e.ID == o.Engine })
		e := &f.engines[i]
		if o.Kind == adapters.Load {
			e.Loaded = append(e.Loaded, adapters.Loaded{Name: o.Name, Version: o.Version, Size: o.Size})
			f.fetchedBytes += o.Size
		} else {
			e.Loaded = slices.DeleteFunc(e.Loaded, func(l adapters.Loaded) bool { return l.Name == o.Name && l.Version == o.Version })
		}
	}
	for _, e := range f.engines {
		used := int64(0)
		for _, l := range e.Loaded {
			used += l.Size
		}
		qt.Assert(t, used <= e.Memory, qt.IsTrue, qt.Commentf("engine %s exceeds its memory", e.ID))
	}
}

// ready returns the number of ready replicas of an adapter version; an empty version stands for all
// versions.
func (f *fleet) ready(name, version string) int {
	count := 0
	for _, e := range f.engines {
		for _, l := range e.Loaded {
			if l.Name == name && l.Ready && (version == "" || l.Version == version) {
				count++
			}
		}
	}
	return count
}

// Guards against a rollout that at some point leaves no replica ready, that replaces more than one
// replica at once and so loses several caches together, or that does not complete.
func TestRollOutKeepsReplicaReady(t *testing.T) {
	for name, memory := range map[string]int64{"room for both versions": 300, "room for one version": 100} {
		t.Run(name, func(t *testing.T) {
			s := adapters.Defaults()
			s.Rate, s.Burst = 100, 1000
			f := newFleet(4, memory, s)
			for range 5 {
				f.step(t, []adapters.Adapter{{Name: "a", Version: "1", Size: 100, Demand: 15}})
			}
			qt.Assert(t, f.ready("a", "1"), qt.Equals, 3)
			for range 30 {
				before := f.ready("a", "1")
				f.step(t, []adapters.Adapter{{Name: "a", Version: "2", Size: 100, Demand: 15}})
				qt.Assert(t, f.ready("a", "") >= 1, qt.IsTrue)
				qt.Assert(t, before-f.ready("a", "1") <= 1, qt.IsTrue)
			}
			qt.Assert(t, f.ready("a", "2"), qt.Equals, 3)
			qt.Assert(t, f.ready("a", "1"), qt.Equals, 0)
		})
	}
}

// Guards against transfers that exceed the rate limit of the weight store.
func TestTransferRateLimit(t *testing.T) {
	s := adapters.Defaults()
	s.Rate, s.Burst = 10, 100
	f := newFleet(9, 1000, s)
	var want []adapters.Adapter
	for i := range 9 {
		want = append(want, adapters.Adapter{Name: fmt.Sprint("a", i), Version: "1", Size: 100, Demand: 1})
	}
	for i := range 20 {
		f.step(t, want)
		qt.Assert(t, f.fetchedBytes <= int64(100+100*(i+1)), qt.IsTrue)
	}
	qt.Assert(t, f.fetchedBytes, qt.Equals, int64(1800))
}

// Guards against replicas that are loaded and unloaded repeatedly while the demand moves around a
// threshold.
func TestReplicasDoNotFlap(t *testing.T) {
	f := newFleet(9, 1000, adapters.Defaults())
	for _, d := range []float64{20, 20, 20} {
		f.step(t, []adapters.Adapter{{Name: "a", Version: "1", Size: 100, Demand: d}})
	}
	before := f.fetchedBytes
	for i := range 20 {
		f.step(t, []adapters.Adapter{{Name: "a", Version: "1", Size: 100, Demand: 17 + 3*float64(i%2)}})
	}
	qt.Assert(t, f.fetchedBytes, qt.Equals, before)
	for range 5 {
		f.step(t, []adapters.Adapter{{Name: "a", Version: "1", Size: 100, Demand: 2}})
	}
	qt.Assert(t, f.ready("a", ""), qt.Equals, 2)
}

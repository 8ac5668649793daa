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

// world applies orders; a load takes one period to become ready.
type world struct {
	engines []adapters.Engine
	planner *adapters.Planner
	now     time.Time
	fetched int64
}

func newWorld(n int, memory int64, s adapters.Settings) *world {
	w := &world{planner: adapters.New(start, s), now: start}
	for i := range n {
		w.engines = append(w.engines, adapters.Engine{ID: fmt.Sprint("e", i), Memory: memory, Fit: true})
	}
	return w
}

func (w *world) step(t *testing.T, want []adapters.Adapter) {
	for i := range w.engines {
		for j := range w.engines[i].Loaded {
			w.engines[i].Loaded[j].Ready = true
		}
	}
	w.now = w.now.Add(10 * time.Second)
	for _, o := range w.planner.Plan(w.now, want, w.engines) {
		i := slices.IndexFunc(w.engines, func(e adapters.Engine) bool { return e.ID == o.Engine })
		e := &w.engines[i]
		if o.Kind == adapters.Load {
			e.Loaded = append(e.Loaded, adapters.Loaded{Name: o.Name, Version: o.Version, Size: o.Size})
			w.fetched += o.Size
		} else {
			e.Loaded = slices.DeleteFunc(e.Loaded, func(l adapters.Loaded) bool { return l.Name == o.Name && l.Version == o.Version })
		}
	}
	for _, e := range w.engines {
		used := int64(0)
		for _, l := range e.Loaded {
			used += l.Size
		}
		qt.Assert(t, used <= e.Memory, qt.IsTrue, qt.Commentf("memory of %s", e.ID))
	}
}

func (w *world) ready(name, version string) int {
	n := 0
	for _, e := range w.engines {
		for _, l := range e.Loaded {
			if l.Name == name && l.Ready && (version == "" || l.Version == version) {
				n++
			}
		}
	}
	return n
}

// Guards against a roll-out with a moment without any ready copy, with more than one cache lost at once, or that stops.
func TestRollOutWithoutGap(t *testing.T) {
	for name, memory := range map[string]int64{"room for both versions": 300, "room for one version": 100} {
		t.Run(name, func(t *testing.T) {
			s := adapters.Defaults()
			s.Rate, s.Burst = 100, 1000
			w := newWorld(4, memory, s)
			for range 5 {
				w.step(t, []adapters.Adapter{{Name: "a", Version: "1", Size: 100, Demand: 15}})
			}
			qt.Assert(t, w.ready("a", "1"), qt.Equals, 3)
			for range 30 {
				before := w.ready("a", "1")
				w.step(t, []adapters.Adapter{{Name: "a", Version: "2", Size: 100, Demand: 15}})
				qt.Assert(t, w.ready("a", "") >= 1, qt.IsTrue)
				qt.Assert(t, before-w.ready("a", "1") <= 1, qt.IsTrue)
			}
			qt.Assert(t, w.ready("a", "2"), qt.Equals, 3)
			qt.Assert(t, w.ready("a", "1"), qt.Equals, 0)
		})
	}
}

// Guards against transfers above the weight store's rate.
func TestRateOfTheWeightStore(t *testing.T) {
	s := adapters.Defaults()
	s.Rate, s.Burst = 10, 100
	w := newWorld(9, 1000, s)
	var want []adapters.Adapter
	for i := range 9 {
		want = append(want, adapters.Adapter{Name: fmt.Sprint("a", i), Version: "1", Size: 100, Demand: 1})
	}
	for i := range 20 {
		w.step(t, want)
		qt.Assert(t, w.fetched <= int64(100+100*(i+1)), qt.IsTrue)
	}
	qt.Assert(t, w.fetched, qt.Equals, int64(1800))
}

// Guards against copies that come and go while the demand moves around a threshold.
func TestDemandWithoutFlapping(t *testing.T) {
	w := newWorld(9, 1000, adapters.Defaults())
	for _, d := range []float64{20, 20, 20} {
		w.step(t, []adapters.Adapter{{Name: "a", Version: "1", Size: 100, Demand: d}})
	}
	before := w.fetched
	for i := range 20 {
		w.step(t, []adapters.Adapter{{Name: "a", Version: "1", Size: 100, Demand: 17 + 3*float64(i%2)}})
	}
	qt.Assert(t, w.fetched, qt.Equals, before)
	for range 5 {
		w.step(t, []adapters.Adapter{{Name: "a", Version: "1", Size: 100, Demand: 2}})
	}
	qt.Assert(t, w.ready("a", ""), qt.Equals, 2)
}

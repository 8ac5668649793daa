package loadsum_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"hornbeamstep.example/coord/loadsum"
)

// fresh is the greatest age of a mean: "at most a few seconds old" in the design page.
const fresh = 5 * time.Second

type fleet struct {
	now    time.Time
	ids    []string
	states map[string]*loadsum.State
	dead   map[string]bool
	load   float64
}

func newFleet(size int) *fleet {
	f := &fleet{now: time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC), states: map[string]*loadsum.State{}, dead: map[string]bool{}, load: 10}
	for i := range size {
		id := fmt.Sprintf("r%03d", i)
		f.ids = append(f.ids, id)
		f.states[id] = loadsum.New()
	}
	return f
}

func zone(i int) string { return fmt.Sprint("z", i%7) }

// step is one period: roles by the first running router of each zone, reports and answers. Owner i has load f.load + i%3.
func (f *fleet) step(known func(id string) bool) {
	f.now = f.now.Add(time.Second)
	for i, id := range f.ids {
		if f.dead[id] {
			continue
		}
		s := f.states[id]
		s.SetRoles(loadsum.Roles{
			Self: id, Zone: zone(i), Zones: []string{"z0", "z1", "z2", "z3", "z4", "z5", "z6"},
			Aggregator: func(_, z string) string {
				for j, other := range f.ids {
					if zone(j) == z && known(other) {
						return other
					}
				}
				return ""
			},
		})
		s.Own(f.now, map[string]loadsum.Sum{"chat": {Load: f.load + float64(i%3), Count: 1}})
		for _, send := range s.Tick(f.now) {
			if f.dead[send.To] {
				continue
			}
			reply := f.states[send.To].Handle(f.now.Add(5*time.Millisecond), send.Report)
			if send.Report.Zone == "" {
				s.Answered(f.now.Add(10*time.Millisecond), reply)
			}
		}
	}
}

// check returns the routers without a fresh mean within a tenth of the true one.
func (f *fleet) check() []string {
	var out []string
	sum, n := 0.0, 0.0
	for i, id := range f.ids {
		if !f.dead[id] {
			sum, n = sum+f.load+float64(i%3), n+1
		}
	}
	for _, id := range f.ids {
		if f.dead[id] {
			continue
		}
		mean, age, ok := f.states[id].Mean(f.now, "chat")
		if !ok || age > fresh || math.Abs(mean-sum/n) > sum/n/10 {
			out = append(out, fmt.Sprintf("%s: %v %v %v, want %v", id, mean, age, ok, sum/n))
		}
	}
	return out
}

// Guards against owners without a recent mean, after a change of the load, and when aggregators die before anyone knows.
func TestEveryOwnerKnowsTheMean(t *testing.T) {
	for name, size := range map[string]int{"today": 8, "in two years": 340} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			f := newFleet(size)
			alive := func(id string) bool { return !f.dead[id] }
			for range 5 {
				f.step(alive)
			}
			c.Assert(f.check(), quicktest.HasLen, 0)
			f.load = 30
			for range 5 {
				f.step(alive)
			}
			c.Assert(f.check(), quicktest.HasLen, 0)
		})
	}
}

// Guards against wrong or missing means while aggregators are lost and others take over without having heard from anyone.
func TestAggregatorLoss(t *testing.T) {
	c := quicktest.New(t)
	f := newFleet(340)
	for range 5 {
		f.step(func(string) bool { return true })
	}
	lost := f.ids[:3]
	for _, id := range lost {
		f.dead[id] = true
	}
	// For two periods the routers still hold the lost aggregators for running.
	for range 2 {
		f.step(func(string) bool { return true })
		c.Assert(f.check(), quicktest.HasLen, 0)
	}
	for range 5 {
		f.step(func(id string) bool { return !slices.Contains(lost, id) })
		c.Assert(f.check(), quicktest.HasLen, 0)
	}
}

// Guards against a mean that is used long after the last answer.
func TestOldMeanIsUnknown(t *testing.T) {
	c := quicktest.New(t)
	s := loadsum.New()
	now := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	s.Answered(now, loadsum.Reply{Items: []loadsum.Item{{Pool: "chat", Sum: loadsum.Sum{Load: 6, Count: 3}}}})
	mean, _, ok := s.Mean(now, "chat")
	c.Assert(ok, quicktest.IsTrue)
	c.Assert(mean, quicktest.Equals, 2.0)
	_, _, ok = s.Mean(now.Add(10*time.Second), "chat")
	c.Assert(ok, quicktest.IsFalse)
}

// Guards against owners that admit by a mean from before the load fell.
func TestFallingMeanIsExtrapolated(t *testing.T) {
	now := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	for name, test := range map[string]struct{ first, second, want float64 }{
		"falls":            {40, 36, 32},
		"falls to nothing": {40, 10, 0},
		"rises":            {36, 40, 40},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			s := loadsum.New()
			for i, load := range []float64{test.first, test.second} {
				s.Answered(now.Add(time.Duration(i)*time.Second), loadsum.Reply{Items: []loadsum.Item{{Pool: "chat", Sum: loadsum.Sum{Load: load, Count: 1}}}})
			}
			mean, _, ok := s.Mean(now.Add(2*time.Second), "chat")
			c.Assert(ok, quicktest.IsTrue)
			c.Assert(mean, quicktest.Equals, test.want)
			c.Assert(s.Sums(now.Add(2 * time.Second))["chat"].Mean(), quicktest.Equals, test.want)
		})
	}
}

func ExampleState() {
	now := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	roles := loadsum.Roles{Self: "a", Zone: "z", Zones: []string{"z"}, Aggregator: func(_, _ string) string { return "a" }}
	a, b := loadsum.New(), loadsum.New()
	a.SetRoles(roles)
	roles.Self = "b"
	b.SetRoles(roles)
	for range 4 {
		a.Own(now, map[string]loadsum.Sum{"chat": {Load: 2, Count: 1}})
		b.Own(now, map[string]loadsum.Sum{"chat": {Load: 4, Count: 1}})
		a.Tick(now)
		for _, send := range b.Tick(now) {
			b.Answered(now, a.Handle(now, send.Report))
		}
		now = now.Add(time.Second)
	}
	mean, _, _ := b.Mean(now, "chat")
	fmt.Println(mean)
	// Output: 3
}

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

// maxMeanAge is the maximum age of a mean. The design requires "at most a few seconds old".
const maxMeanAge = 5 * time.Second

// fleet simulates routers that own one engine each, in seven availability zones.
type fleet struct {
	now    time.Time
	ids    []string
	states map[string]*loadsum.State
	dead   map[string]bool
	// load is the lowest load of an engine.
	load float64
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

// step simulates one period with its reports and replies. The first router of each zone for which
// believedAlive returns true is the aggregator. The engine of router i has the load f.load + i%3.
func (f *fleet) step(believedAlive func(id string) bool) {
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
					if zone(j) == z && believedAlive(other) {
						return other
					}
				}
				return ""
			},
		})
		s.SetOwnSums(f.now, map[string]loadsum.Sum{"chat": {Load: f.load + float64(i%3), Count: 1}})
		for _, out := range s.Tick(f.now) {
			if f.dead[out.To] {
				continue
			}
			reply := f.states[out.To].HandleReport(f.now.Add(5*time.Millisecond), out.Report)
			if out.Report.Zone == "" {
				s.HandleReply(f.now.Add(10*time.Millisecond), reply)
			}
		}
	}
}

// wrongMeans describes the running routers whose mean is unknown, too old, or off by more than 10%
// of the true mean.
func (f *fleet) wrongMeans() []string {
	var out []string
	total, count := 0.0, 0.0
	for i, id := range f.ids {
		if !f.dead[id] {
			total, count = total+f.load+float64(i%3), count+1
		}
	}
	for _, id := range f.ids {
		if f.dead[id] {
			continue
		}
		mean, age, ok := f.states[id].Mean(f.now, "chat")
		if !ok || age > maxMeanAge || math.Abs(mean-total/count) > total/count/10 {
			out = append(out, fmt.Sprintf("%s: mean %v, age %v, known %v; want mean %v", id, mean, age, ok, total/count))
		}
	}
	return out
}

// Guards against owners without a recent mean, at the start and after the load has changed.
func TestEveryOwnerHasMean(t *testing.T) {
	// 8 routers run today; 340 are expected in two years.
	for name, size := range map[string]int{"8 routers": 8, "340 routers": 340} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			f := newFleet(size)
			alive := func(id string) bool { return !f.dead[id] }
			for range 5 {
				f.step(alive)
			}
			c.Assert(f.wrongMeans(), quicktest.HasLen, 0)
			f.load = 30
			for range 5 {
				f.step(alive)
			}
			c.Assert(f.wrongMeans(), quicktest.HasLen, 0)
		})
	}
}

// Guards against wrong or missing means after aggregators have failed: at first the other routers
// have not detected it, then new aggregators take over without having received any report.
func TestAggregatorFailure(t *testing.T) {
	c := quicktest.New(t)
	f := newFleet(340)
	for range 5 {
		f.step(func(string) bool { return true })
	}
	failed := f.ids[:3]
	for _, id := range failed {
		f.dead[id] = true
	}
	// For two periods the other routers have not yet detected the failure of the aggregators.
	for range 2 {
		f.step(func(string) bool { return true })
		c.Assert(f.wrongMeans(), quicktest.HasLen, 0)
	}
	for range 5 {
		f.step(func(id string) bool { return !slices.Contains(failed, id) })
		c.Assert(f.wrongMeans(), quicktest.HasLen, 0)
	}
}

// Guards against the use of a mean long after the last reply.
func TestOldMeanIsUnknown(t *testing.T) {
	c := quicktest.New(t)
	s := loadsum.New()
	now := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	s.HandleReply(now, loadsum.Reply{Items: []loadsum.PoolSum{{Pool: "chat", Sum: loadsum.Sum{Load: 6, Count: 3}}}})
	mean, _, ok := s.Mean(now, "chat")
	c.Assert(ok, quicktest.IsTrue)
	c.Assert(mean, quicktest.Equals, 2.0)
	_, _, ok = s.Mean(now.Add(10*time.Second), "chat")
	c.Assert(ok, quicktest.IsFalse)
}

// Guards against owners that admit requests by a mean that was measured before the load fell.
func TestFallingMeanIsExtrapolated(t *testing.T) {
	now := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	for name, test := range map[string]struct{ first, second, want float64 }{
		"falls":         {40, 36, 32},
		"falls to zero": {40, 10, 0},
		"rises":         {36, 40, 40},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			s := loadsum.New()
			for i, load := range []float64{test.first, test.second} {
				s.HandleReply(now.Add(time.Duration(i)*time.Second), loadsum.Reply{Items: []loadsum.PoolSum{{Pool: "chat", Sum: loadsum.Sum{Load: load, Count: 1}}}})
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
		a.SetOwnSums(now, map[string]loadsum.Sum{"chat": {Load: 2, Count: 1}})
		b.SetOwnSums(now, map[string]loadsum.Sum{"chat": {Load: 4, Count: 1}})
		a.Tick(now)
		for _, out := range b.Tick(now) {
			b.HandleReply(now, a.HandleReport(now, out.Report))
		}
		now = now.Add(time.Second)
	}
	mean, _, _ := b.Mean(now, "chat")
	fmt.Println(mean)
	// Output: 3
}

package admission_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hornbeamstep.example/routing/admission"
)

// oracle is a plain account of what a gate was asked and has answered.
type oracle struct {
	t    *rapid.T
	s    admission.Settings
	g    *admission.Gate
	now  time.Time
	next int
	mean admission.Mean
	// atMean is the gate's load when the mean arrived.
	atMean  float64
	waiting map[string]admission.Ask
	slots   map[uint64]admission.Action
	used    map[uint64]bool
	granted map[string]bool
	// reported is true once the engine has reported a load.
	reported bool
}

func newOracle(t *rapid.T) *oracle {
	s := admission.Defaults()
	// Spare and Reserve hold back more than the bound does; the oracle checks the bound.
	s.Spare = 0
	s.Reserve = rapid.SampledFrom([]float64{0, 0.25}).Draw(t, "reserve")
	s.Capacity = float64(rapid.IntRange(0, 12).Draw(t, "capacity"))
	s.Queue = rapid.IntRange(0, 12).Draw(t, "queue")
	o := &oracle{
		t: t, s: s, now: start, waiting: map[string]admission.Ask{}, slots: map[uint64]admission.Action{},
		used: map[uint64]bool{}, granted: map[string]bool{},
	}
	if rapid.Bool().Draw(t, "takeover") {
		o.g = admission.Takeover(start, s)
	} else {
		o.g = admission.New(start, s)
	}
	return o
}

func (o *oracle) class(a admission.Ask) int { return int(a.Class) - int(o.now.Sub(a.Since)/o.s.Age) }

// take checks actions against the account.
func (o *oracle) take(actions []admission.Action) {
	most := 0.0
	for _, a := range actions {
		switch a.Kind {
		case admission.Granted:
			most = max(most, a.Ask.Cost)
			o.grant(a)
		case admission.Refused:
			if _, ok := o.waiting[a.Ask.Request]; !ok || a.Retry < time.Second {
				o.t.Fatalf("refused %s which does not wait, or without a retry time", a.Ask.Request)
			}
			delete(o.waiting, a.Ask.Request)
		case admission.Expired:
			if o.now.Before(o.slots[a.Slot.ID].Slot.Expires) {
				o.t.Fatalf("slot %d expired early", a.Slot.ID)
			}
			delete(o.slots, a.Slot.ID)
		}
	}
	if most > 0 {
		o.bound(most)
	}
}

func (o *oracle) grant(a admission.Action) {
	if o.used[a.Slot.ID] || o.granted[a.Ask.Request] {
		o.t.Fatalf("slot %d or request %s granted twice", a.Slot.ID, a.Ask.Request)
	}
	o.used[a.Slot.ID], o.granted[a.Ask.Request] = true, true
	o.slots[a.Slot.ID] = a
	ask, waited := o.waiting[a.Ask.Request]
	delete(o.waiting, a.Ask.Request)
	if !waited || o.s.Reserve > 0 {
		return
	}
	for _, other := range o.waiting {
		if o.class(other) < o.class(ask) {
			o.t.Fatalf("%s granted before %s of a better class", ask.Request, other.Request)
		}
	}
}

// bound checks the load after grants, of which the largest has a cost of most.
func (o *oracle) bound(most float64) {
	own := 0.0
	for _, a := range o.slots {
		own += a.Ask.Cost
	}
	if o.g.Load() < own {
		o.t.Fatalf("load %v is below the own slots %v", o.g.Load(), own)
	}
	mean := 0.0
	if o.mean.Engines > 0 {
		// Loads are not negative, so no mean is below the engine's own load shared out over the pool.
		mean = max(o.mean.Load+(o.g.Load()-o.atMean)/float64(o.mean.Engines), o.g.Load()/float64(o.mean.Engines))
	}
	limit := 1.25 * max(0, mean)
	if o.mean.Engines <= 16 {
		limit += most
	} else {
		limit = max(limit+most, most)
	}
	if o.s.Capacity > 0 {
		limit = min(limit, o.s.Capacity)
	}
	if len(o.slots) > 1 && o.g.Load() > limit+1e-6 || o.s.Capacity > 0 && own > o.s.Capacity+1e-6 {
		o.t.Fatalf("load %v is above the limit %v (mean %v)", o.g.Load(), limit, mean)
	}
}

func (o *oracle) offer() {
	o.next++
	a := admission.Ask{
		Request: fmt.Sprint("r", o.next), Account: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(o.t, "account"),
		Class: admission.Class(rapid.IntRange(0, 2).Draw(o.t, "class")), Cost: 1, Since: o.now,
		NoQueue: rapid.IntRange(0, 3).Draw(o.t, "noqueue") == 0,
	}
	got := o.g.Offer(o.now, a)
	switch got.Kind {
	case admission.Granted:
		o.take([]admission.Action{got})
	case admission.Queued:
		o.waiting[a.Request] = a
		if again := o.g.Offer(o.now, a); again.Kind != admission.Queued {
			o.t.Fatalf("a repeated offer of a waiting request is %v", again.Kind)
		}
	case admission.Refused:
		if got.Retry < time.Second {
			o.t.Fatalf("refused with retry time %v", got.Retry)
		}
	}
}

func (o *oracle) tick(d time.Duration) {
	o.now = o.now.Add(d)
	o.take(o.g.Tick(o.now))
	for _, a := range o.waiting {
		if o.now.Sub(a.Since) >= o.s.Wait {
			o.t.Fatalf("%s still waits after %v", a.Request, o.now.Sub(a.Since))
		}
	}
	if o.g.Waiting() != len(o.waiting) || o.g.Waiting() > o.s.Queue {
		o.t.Fatalf("%d requests wait, %d expected, %d allowed", o.g.Waiting(), len(o.waiting), o.s.Queue)
	}
	own := 0.0
	for _, a := range o.slots {
		own += a.Ask.Cost
	}
	if !o.reported && o.g.Load() != own {
		o.t.Fatalf("load %v without a report, own slots %v", o.g.Load(), own)
	}
	if o.g.Slots() != len(o.slots) {
		o.t.Fatalf("%d slots in use, %d expected", o.g.Slots(), len(o.slots))
	}
}

func (o *oracle) oldest() uint64 {
	id := uint64(0)
	for i := range o.slots {
		if id == 0 || i < id {
			id = i
		}
	}
	return id
}

// Guards against grants above the bound, two grants for one request or slot, lost requests, and starvation.
func TestGateAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOracle(t)
		t.Repeat(map[string]func(*rapid.T){
			"offer":  func(*rapid.T) { o.offer() },
			"offer2": func(*rapid.T) { o.offer() },
			"release": func(*rapid.T) {
				id := o.oldest()
				delete(o.slots, id)
				o.take(o.g.Release(o.now, id))
				if got := o.g.Release(o.now, id); len(got) > 0 {
					o.t.Fatalf("a second release of slot %d did something", id)
				}
			},
			"renew": func(*rapid.T) {
				id := o.oldest()
				a, ok := o.slots[id]
				if lost := o.g.Renew(o.now, []uint64{id}); ok != (len(lost) == 0) {
					o.t.Fatalf("renewal of slot %d lost %v", id, lost)
				}
				a.Slot.Expires = o.now.Add(o.s.Lease)
				if ok {
					o.slots[id] = a
				}
			},
			"mean": func(t *rapid.T) {
				o.mean = admission.Mean{Load: rapid.Float64Range(0, 8).Draw(t, "mean"), Engines: rapid.SampledFrom([]int{1, 2, 9, 30}).Draw(t, "engines")}
				o.atMean = o.g.Load()
				o.take(o.g.Mean(o.now, o.mean))
			},
			"report": func(t *rapid.T) {
				o.reported = true
				o.take(o.g.Report(o.now, admission.Report{At: o.now, Load: rapid.Float64Range(0, 10).Draw(t, "load")}))
			},
			"tick": func(t *rapid.T) { o.tick(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond) },
		})
	})
}

// TestMain fixes the seed, so that the verdict never varies; another one can be given with -rapid.seed.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	// A run takes a hundred steps on average in place of 30, so that queues fill and leases expire.
	if steps := flag.Lookup("rapid.steps"); steps.Value.String() == steps.DefValue {
		_ = steps.Value.Set("100")
	}
	os.Exit(m.Run())
}

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

// oracle records what a gate was asked and answered, and checks its answers.
type oracle struct {
	t        *rapid.T
	settings admission.Settings
	gate     *admission.Gate
	now      time.Time
	next     int
	mean     admission.Mean
	// loadAtMean is the gate's load when the mean arrived.
	loadAtMean float64
	waiting    map[string]admission.SlotRequest
	slots      map[uint64]admission.Action
	usedIDs    map[uint64]bool
	granted    map[string]bool
	// reported is true once the engine has reported a load.
	reported bool
}

func newOracle(t *rapid.T) *oracle {
	s := admission.Defaults()
	// Headroom and Reserve refuse more than the bound does; the oracle checks only the bound.
	s.Headroom = 0
	s.Reserve = rapid.SampledFrom([]float64{0, 0.25}).Draw(t, "reserve")
	s.Capacity = float64(rapid.IntRange(0, 12).Draw(t, "capacity"))
	s.MaxQueueLength = rapid.IntRange(0, 12).Draw(t, "queue")
	o := &oracle{
		t: t, settings: s, now: start, waiting: map[string]admission.SlotRequest{}, slots: map[uint64]admission.Action{},
		usedIDs: map[uint64]bool{}, granted: map[string]bool{},
	}
	if rapid.Bool().Draw(t, "takeover") {
		o.gate = admission.NewAfterTakeover(start, s)
	} else {
		o.gate = admission.New(start, s)
	}
	return o
}

func (o *oracle) class(a admission.SlotRequest) int {
	return int(a.Class) - int(o.now.Sub(a.Since)/o.settings.AgingInterval)
}

// checkActions compares actions with the record and updates it.
func (o *oracle) checkActions(actions []admission.Action) {
	maxCost := 0.0
	for _, a := range actions {
		switch a.Kind {
		case admission.Granted:
			maxCost = max(maxCost, a.Request.Cost)
			o.checkGrant(a)
		case admission.Refused:
			if _, ok := o.waiting[a.Request.RequestID]; !ok || a.RetryAfter < time.Second {
				o.t.Fatalf("refused %s, which is not waiting, or gave no retry time", a.Request.RequestID)
			}
			delete(o.waiting, a.Request.RequestID)
		case admission.Expired:
			if o.now.Before(o.slots[a.Slot.ID].Slot.Expires) {
				o.t.Fatalf("slot %d expired early", a.Slot.ID)
			}
			delete(o.slots, a.Slot.ID)
		}
	}
	if maxCost > 0 {
		o.checkBound(maxCost)
	}
}

func (o *oracle) checkGrant(a admission.Action) {
	if o.usedIDs[a.Slot.ID] || o.granted[a.Request.RequestID] {
		o.t.Fatalf("slot %d or request %s granted twice", a.Slot.ID, a.Request.RequestID)
	}
	o.usedIDs[a.Slot.ID], o.granted[a.Request.RequestID] = true, true
	o.slots[a.Slot.ID] = a
	req, waited := o.waiting[a.Request.RequestID]
	delete(o.waiting, a.Request.RequestID)
	if !waited || o.settings.Reserve > 0 {
		return
	}
	for _, other := range o.waiting {
		if o.class(other) < o.class(req) {
			o.t.Fatalf("%s granted before %s, whose class is served first", req.RequestID, other.RequestID)
		}
	}
}

// checkBound checks the load after grants, where maxCost is the largest cost among them.
func (o *oracle) checkBound(maxCost float64) {
	own := 0.0
	for _, a := range o.slots {
		own += a.Request.Cost
	}
	if o.gate.Load() < own {
		o.t.Fatalf("load %v is below the load %v of the gate's own slots", o.gate.Load(), own)
	}
	mean := 0.0
	if o.mean.Engines > 0 {
		// Loads are not negative, so the mean is at least the engine's own load divided by the
		// number of engines.
		mean = max(o.mean.Load+(o.gate.Load()-o.loadAtMean)/float64(o.mean.Engines), o.gate.Load()/float64(o.mean.Engines))
	}
	limit := 1.25 * max(0, mean)
	if o.mean.Engines <= 16 {
		limit += maxCost
	} else {
		limit = max(limit+maxCost, maxCost)
	}
	if o.settings.Capacity > 0 {
		limit = min(limit, o.settings.Capacity)
	}
	if len(o.slots) > 1 && o.gate.Load() > limit+1e-6 || o.settings.Capacity > 0 && own > o.settings.Capacity+1e-6 {
		o.t.Fatalf("load %v is above the limit %v (mean %v)", o.gate.Load(), limit, mean)
	}
}

func (o *oracle) offer() {
	o.next++
	a := admission.SlotRequest{
		RequestID: fmt.Sprint("r", o.next), Account: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(o.t, "account"),
		Class: admission.Class(rapid.IntRange(0, 2).Draw(o.t, "class")), Cost: 1, Since: o.now,
		NoQueue: rapid.IntRange(0, 3).Draw(o.t, "noqueue") == 0,
	}
	got := o.gate.Offer(o.now, a)
	switch got.Kind {
	case admission.Granted:
		o.checkActions([]admission.Action{got})
	case admission.Queued:
		o.waiting[a.RequestID] = a
		if again := o.gate.Offer(o.now, a); again.Kind != admission.Queued {
			o.t.Fatalf("a repeated offer of a waiting request is %v", again.Kind)
		}
	case admission.Refused:
		if got.RetryAfter < time.Second {
			o.t.Fatalf("refused with retry time %v", got.RetryAfter)
		}
	}
}

func (o *oracle) tick(d time.Duration) {
	o.now = o.now.Add(d)
	o.checkActions(o.gate.Tick(o.now))
	for _, a := range o.waiting {
		if o.now.Sub(a.Since) >= o.settings.MaxWait {
			o.t.Fatalf("%s is still waiting after %v", a.RequestID, o.now.Sub(a.Since))
		}
	}
	if o.gate.Waiting() != len(o.waiting) || o.gate.Waiting() > o.settings.MaxQueueLength {
		o.t.Fatalf("%d requests wait, %d expected, %d allowed", o.gate.Waiting(), len(o.waiting), o.settings.MaxQueueLength)
	}
	own := 0.0
	for _, a := range o.slots {
		own += a.Request.Cost
	}
	if !o.reported && o.gate.Load() != own {
		o.t.Fatalf("load %v without a report, load of the gate's own slots %v", o.gate.Load(), own)
	}
	if o.gate.Slots() != len(o.slots) {
		o.t.Fatalf("%d slots in use, %d expected", o.gate.Slots(), len(o.slots))
	}
}

func (o *oracle) oldestSlot() uint64 {
	id := uint64(0)
	for i := range o.slots {
		if id == 0 || i < id {
			id = i
		}
	}
	return id
}

// Guards against grants above the bound, two grants for one request or slot, lost requests, and
// starvation.
func TestGateAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOracle(t)
		t.Repeat(map[string]func(*rapid.T){
			"offer":  func(*rapid.T) { o.offer() },
			"offer2": func(*rapid.T) { o.offer() },
			"release": func(*rapid.T) {
				id := o.oldestSlot()
				delete(o.slots, id)
				o.checkActions(o.gate.Release(o.now, id))
				if got := o.gate.Release(o.now, id); len(got) > 0 {
					o.t.Fatalf("a second release of slot %d has an effect", id)
				}
			},
			"renew": func(*rapid.T) {
				id := o.oldestSlot()
				a, ok := o.slots[id]
				if lost := o.gate.Renew(o.now, []uint64{id}); ok != (len(lost) == 0) {
					o.t.Fatalf("renewal of slot %d lost %v", id, lost)
				}
				a.Slot.Expires = o.now.Add(o.settings.Lease)
				if ok {
					o.slots[id] = a
				}
			},
			"mean": func(t *rapid.T) {
				o.mean = admission.Mean{Load: rapid.Float64Range(0, 8).Draw(t, "mean"), Engines: rapid.SampledFrom([]int{1, 2, 9, 30}).Draw(t, "engines")}
				o.loadAtMean = o.gate.Load()
				o.checkActions(o.gate.SetMean(o.now, o.mean))
			},
			"report": func(t *rapid.T) {
				o.reported = true
				o.checkActions(o.gate.SetReport(o.now, admission.Report{At: o.now, Load: rapid.Float64Range(0, 10).Draw(t, "load")}))
			},
			"tick": func(t *rapid.T) { o.tick(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond) },
		})
	})
}

// TestMain fixes the seed so that runs are reproducible; -rapid.seed sets another one.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	// Runs take 100 steps on average instead of 30, so that queues fill and leases expire.
	if steps := flag.Lookup("rapid.steps"); steps.Value.String() == steps.DefValue {
		_ = steps.Value.Set("100")
	}
	os.Exit(m.Run())
}

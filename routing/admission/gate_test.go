package admission_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/routing/admission"
	"hornbeamstep.example/routing/outcome"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func after(d time.Duration) time.Time { return start.Add(d) }

// gate returns a gate with the given capacity and a mean so high that it imposes no limit.
func gate(capacity float64) *admission.Gate {
	s := admission.Defaults()
	s.Capacity = capacity
	s.Reserve = 0
	g := admission.New(start, s)
	g.SetMean(start, admission.Mean{Load: 1000, Engines: 9})
	return g
}

func newRequest(account string, n int) admission.SlotRequest {
	return admission.SlotRequest{RequestID: fmt.Sprintf("%s-%d", account, n), Account: account, Class: admission.Normal}
}

// Guards against a load above the bound because the gate ignores a new mean or a new report of the
// engine.
func TestBoundFollowsMeanAndReport(t *testing.T) {
	g := admission.New(start, admission.Defaults())
	g.SetMean(start, admission.Mean{Load: 4, Engines: 9})
	granted := 0
	for i := range 20 {
		if g.Offer(start, newRequest("a", i)).Kind == admission.Granted {
			granted++
		}
	}
	// With Headroom, a further request at load L is granted while 0.8*L + 0.4*sqrt(L) is at most
	// the mean of 4.
	qt.Assert(t, granted, qt.Equals, 5)
	// Long after HeadroomDecay only the bound counts: L may reach 1.25*(4 + L/9) + 1, which is
	// 6.97.
	qt.Assert(t, g.Tick(after(time.Second)), qt.HasLen, 1)
	qt.Assert(t, g.Load(), qt.Equals, 6.0)
	g.SetReport(after(2*time.Second), admission.Report{At: after(2 * time.Second), Load: 9})
	qt.Assert(t, g.Load(), qt.Equals, 9.0)
	qt.Assert(t, g.Release(after(time.Second), 1), qt.HasLen, 0)
}

// Guards against a pool of one engine that refuses requests because the mean is older than the
// engine's own load.
func TestSingleEngineIgnoresOldMean(t *testing.T) {
	g := admission.New(start, admission.Defaults())
	g.SetMean(start, admission.Mean{Load: 0, Engines: 1})
	for i := range 3 {
		qt.Assert(t, g.Offer(after(time.Second), newRequest("a", i)).Kind, qt.Equals, admission.Granted)
	}
	g.SetMean(after(time.Second), admission.Mean{Load: 0, Engines: 1})
	qt.Assert(t, g.Offer(after(2*time.Second), newRequest("a", 3)).Kind, qt.Equals, admission.Granted)
}

// Guards against a queue in which one account or class starves another.
func TestGrantOrder(t *testing.T) {
	urgent := newRequest("u", 0)
	urgent.Class = admission.Urgent
	old := newRequest("b", 0)
	old.Class = admission.Batch
	cases := map[string]struct {
		offers []admission.SlotRequest
		gap    time.Duration
		want   []string
	}{
		"fair between accounts": {[]admission.SlotRequest{newRequest("a", 1), newRequest("a", 2), newRequest("a", 3), newRequest("c", 1)}, 0, []string{"a-1", "c-1"}},
		"urgent first":          {[]admission.SlotRequest{newRequest("a", 1), urgent}, 0, []string{"u-0", "a-1"}},
		"aged batch first":      {[]admission.SlotRequest{old, urgent}, 4 * time.Second, []string{"b-0", "u-0"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := gate(1)
			slot := g.Offer(start, newRequest("first", 0)).Slot
			for i, a := range c.offers {
				got := g.Offer(after(time.Duration(i)*c.gap), a)
				qt.Assert(t, got.Kind, qt.Equals, admission.Queued)
			}
			now := after(c.gap + time.Second)
			for _, want := range c.want {
				actions := g.Release(now, slot.ID)
				qt.Assert(t, actions, qt.HasLen, 1)
				qt.Assert(t, actions[0].Request.RequestID, qt.Equals, want)
				slot = actions[0].Slot
			}
		})
	}
}

// Guards against slots that stay in use after their router is lost, and against the renewal of a
// slot that has expired.
func TestSlotsExpire(t *testing.T) {
	g := gate(2)
	a := g.Offer(start, newRequest("a", 1)).Slot
	b := g.Offer(start, newRequest("a", 2)).Slot
	qt.Assert(t, g.Offer(start, newRequest("a", 3)).Kind, qt.Equals, admission.Queued)
	qt.Assert(t, g.Renew(after(8*time.Second), []uint64{a.ID}), qt.HasLen, 0)
	actions := g.Tick(after(10 * time.Second))
	qt.Assert(t, actions[0].Kind, qt.Equals, admission.Expired)
	qt.Assert(t, actions[0].Slot.ID, qt.Equals, b.ID)
	qt.Assert(t, g.Renew(after(10*time.Second), []uint64{a.ID, b.ID}), qt.DeepEquals, []uint64{b.ID})
}

// Guards against a second slot for a request that is offered again because the first reply was
// lost.
func TestRepeatedOffer(t *testing.T) {
	g := gate(2)
	first := g.Offer(start, newRequest("a", 1))
	qt.Assert(t, g.Offer(after(time.Second), newRequest("a", 1)).Slot.ID, qt.Equals, first.Slot.ID)
	qt.Assert(t, g.Slots(), qt.Equals, 1)
}

// Guards against an account that fills the queue and keeps the others out, and against refusals
// without a typed result.
func TestFullQueue(t *testing.T) {
	s := admission.Defaults()
	s.Capacity, s.MaxQueueLength, s.Reserve = 1, 3, 0
	g := admission.New(start, s)
	g.Offer(start, newRequest("a", 0))
	for i := 1; i <= 3; i++ {
		g.Offer(start, newRequest("a", i))
	}
	got := g.Offer(start, newRequest("a", 4))
	qt.Assert(t, got.Kind, qt.Equals, admission.Refused)
	qt.Assert(t, got.Code, qt.Equals, outcome.QueueFull)
	qt.Assert(t, got.RetryAfter >= time.Second, qt.IsTrue)
	qt.Assert(t, got.Err(), qt.ErrorMatches, ".*queue_full, not run.*")
	qt.Assert(t, g.Offer(start, newRequest("b", 1)).Kind, qt.Equals, admission.Queued)
	actions := g.Tick(start)
	qt.Assert(t, actions, qt.HasLen, 1)
	qt.Assert(t, actions[0].Request.RequestID, qt.Equals, "a-3")
}

// Guards against an account that uses up the reserve, and against a reserve that leaves a small
// engine unused.
func TestReserve(t *testing.T) {
	s := admission.Defaults()
	s.Capacity = 8
	g := admission.New(start, s)
	g.SetMean(start, admission.Mean{Load: 1000, Engines: 9})
	for i := range 8 {
		g.Offer(start, newRequest("a", i))
	}
	qt.Assert(t, g.Slots(), qt.Equals, 6)
	qt.Assert(t, g.Offer(start, newRequest("b", 1)).Kind, qt.Equals, admission.Granted)
	s.Capacity = 1
	g = admission.New(start, s)
	qt.Assert(t, g.Offer(start, newRequest("a", 1)).Kind, qt.Equals, admission.Granted)
}

// Guards against a new owner that grants slots up to the bound while slots of the former owner are
// still in use.
func TestTakeoverRampsUp(t *testing.T) {
	s := admission.Defaults()
	g := admission.NewAfterTakeover(start, s)
	g.SetMean(start, admission.Mean{Load: 8, Engines: 9})
	for i := range 20 {
		g.Offer(start, newRequest("a", i))
	}
	qt.Assert(t, g.Slots(), qt.Equals, 1)
	g.SetReport(after(time.Second), admission.Report{At: after(time.Second), Load: 6})
	g.Tick(after(time.Second))
	qt.Assert(t, g.Load() <= 7.5, qt.IsTrue, qt.Commentf("%v", g.Load()))
	g.SetReport(after(6*time.Second), admission.Report{At: after(6 * time.Second), Load: 6})
	qt.Assert(t, g.Load() > 9, qt.IsTrue, qt.Commentf("%v", g.Load()))
}

// Guards against more than one request in flight per router while the engine's owner cannot be
// reached.
func TestFallbackSlot(t *testing.T) {
	s := admission.NewFallbackGate(admission.Defaults())
	a := s.Offer(start, newRequest("a", 1))
	qt.Assert(t, a.Kind, qt.Equals, admission.Granted)
	qt.Assert(t, s.Offer(start, newRequest("a", 2)).Kind, qt.Equals, admission.Refused)
	s.Release(a.Slot.ID)
	qt.Assert(t, s.Offer(start, newRequest("a", 2)).Kind, qt.Equals, admission.Granted)
}

// Guards against a large pool that never admits more than one request per engine, because 1.25
// times 1 is less than 2.
func TestLargePoolGrows(t *testing.T) {
	g := admission.New(start, admission.Defaults())
	g.SetMean(start, admission.Mean{Load: 1, Engines: 30})
	g.Offer(start, newRequest("a", 1))
	qt.Assert(t, g.Offer(start, newRequest("a", 2)).Kind, qt.Equals, admission.Queued)
	actions := g.Tick(after(admission.Defaults().HeadroomDecay))
	qt.Assert(t, actions, qt.HasLen, 1)
	qt.Assert(t, actions[0].Kind, qt.Equals, admission.Granted)
}

// Guards against short requests that are counted as load of other owners because each report
// arrives soon after they were granted.
func TestShortRequestsCountOnce(t *testing.T) {
	g := gate(0)
	for i := range 5 {
		at := after(time.Duration(i) * 200 * time.Millisecond)
		granted := g.Offer(at, newRequest("a", i))
		qt.Assert(t, granted.Kind, qt.Equals, admission.Granted)
		at = at.Add(50 * time.Millisecond)
		g.SetReport(at, admission.Report{At: at, Load: 1})
		qt.Check(t, g.Load(), qt.Equals, 1.0)
		g.Release(at.Add(10*time.Millisecond), granted.Slot.ID)
		qt.Check(t, g.Load(), qt.Equals, 0.0)
	}
}

// Guards against a request that is granted at a peak of the mean and leaves its engine above the
// others when the mean falls.
func TestNoGrantAtMeanPeak(t *testing.T) {
	s := admission.Defaults()
	s.LowMeanWindow = 300 * time.Millisecond
	g := admission.New(start, s)
	g.SetMean(start, admission.Mean{Load: 0.5, Engines: 9})
	qt.Assert(t, g.Offer(start, newRequest("a", 1)).Kind, qt.Equals, admission.Granted)
	at := after(200 * time.Millisecond)
	g.SetMean(at, admission.Mean{Load: 2, Engines: 9})
	second := newRequest("a", 2)
	second.NoQueue, second.Since = true, at
	qt.Check(t, g.Offer(at, second).Kind, qt.Equals, admission.Refused)
	at = after(600 * time.Millisecond)
	g.SetMean(at, admission.Mean{Load: 2, Engines: 9})
	second.RequestID, second.Since = "a-3", at
	qt.Check(t, g.Offer(at, second).Kind, qt.Equals, admission.Granted)
}

// Guards against a second request on an engine while the mean only just meets the bound, since the
// load exceeds the bound at the next fall of the mean. Also guards against requests that wait
// forever, against other accounts that wait during a surge, and against the surging account being
// served before them.
func TestHeadroom(t *testing.T) {
	cases := map[string]struct {
		mean        float64
		waited      time.Duration
		surge, over bool
		want        admission.Kind
	}{
		"mean only meets the bound":               {0.9, 0, false, false, admission.Refused},
		"mean covers the headroom":                {1.3, 0, false, false, admission.Granted},
		"mean only meets the bound, after a wait": {0.9, 200 * time.Millisecond, false, false, admission.Granted},
		"mean below the bound":                    {0.5, 5 * time.Second, false, false, admission.Refused},
		"other account during a surge":            {1, 0, true, false, admission.Granted},
		"surging account":                         {1, 0, true, true, admission.Refused},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := admission.New(start, admission.Defaults())
			g.SetMean(start, admission.Mean{Load: c.mean, Engines: 9})
			first := newRequest("s", 1)
			first.Surging = c.surge
			qt.Assert(t, g.Offer(start, first).Kind, qt.Equals, admission.Granted)
			second := newRequest("a", 1)
			second.NoQueue, second.Surging, second.Since = true, c.over, start.Add(-c.waited)
			qt.Assert(t, g.Offer(start, second).Kind, qt.Equals, c.want)
		})
	}
}

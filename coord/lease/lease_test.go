package lease_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"hornbeamstep.example/coord/lease"
	"hornbeamstep.example/ports/objectapi"
)

// The seed is fixed so that the verdict never varies; the flag on the command line overrides it.
func init() { _ = flag.Set("rapid.seed", "20261203") }

var ctx = context.Background()

func holder(s objectapi.Store, boot string) *lease.Holder {
	return &lease.Holder{Store: s, Router: "r-1", Boot: boot}
}

// Guards against fencing numbers that go back, and against a lease that outlives its term, a pause, its release or its end.
func TestLifeOfALease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		m := &objectapi.Memory{}
		o := &lease.Observer{Store: m}
		h := holder(m, "a")
		h.Counters = &lease.Counters{}
		var expired *lease.ExpiredError
		c.Assert(errors.As(h.Valid(), &expired), qt.IsTrue)
		c.Assert(h.Acquire(ctx, o, []string{"e-2", "e-1"}), qt.IsNil)
		c.Assert(h.Valid(), qt.IsNil)
		c.Assert(h.Covers("e-2"), qt.IsTrue)
		first := h.Fence()
		c.Assert(h.SetEngines(ctx, []string{"e-1"}), qt.IsNil)
		c.Assert(h.Covers("e-2"), qt.IsFalse)
		c.Assert(h.Fence() > first, qt.IsTrue)

		time.Sleep(10 * time.Second)
		var paused *lease.PausedError
		c.Assert(errors.As(h.Valid(), &paused), qt.IsTrue)
		c.Assert(h.Renew(ctx), qt.IsNil)
		c.Assert(h.Valid(), qt.IsNil)

		var held *lease.HeldError
		c.Assert(errors.As(holder(m, "b").Acquire(ctx, o, nil), &held), qt.IsTrue)
		s, err := o.Look(ctx, "r-1")
		c.Assert(err, qt.IsNil)
		c.Assert(errors.As(o.End(ctx, s), &held), qt.IsTrue)
		time.Sleep(held.Retry)
		s, err = o.Look(ctx, "r-1")
		c.Assert(err, qt.IsNil)
		c.Assert(s.State, qt.Equals, lease.Expired)
		c.Assert(s.Covers("e-1"), qt.IsTrue)
		c.Assert(o.End(ctx, s), qt.IsNil)
		var lost *lease.LostError
		c.Assert(errors.As(h.Renew(ctx), &lost), qt.IsTrue)
		c.Assert(errors.As(h.Valid(), &lost), qt.IsTrue)
		n := h.Counters
		c.Assert([]int64{n.Writes.Load(), n.Conflicts.Load(), n.Expired.Load(), n.Paused.Load(), n.Lost.Load()}, qt.DeepEquals, []int64{3, 1, 1, 1, 1})

		next := holder(m, "b")
		c.Assert(next.Acquire(ctx, o, nil), qt.IsNil)
		c.Assert(next.Fence() > h.Fence(), qt.IsTrue)
		c.Assert(next.Release(ctx), qt.IsNil)
		c.Assert(next.Valid(), qt.IsNotNil)
		s, err = o.Look(ctx, "r-1")
		c.Assert(err, qt.IsNil)
		c.Assert(s.State, qt.Equals, lease.Ended)
	})
}

// Guards against a holder that loses its lease although it renews, and against one that keeps it while the object API is down.
func TestRunRenewsUntilObjectAPIIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		m := &objectapi.Memory{}
		h := holder(m, "a")
		c.Assert(h.Acquire(ctx, &lease.Observer{Store: m}, nil), qt.IsNil)
		run, cancel := context.WithCancel(ctx)
		done := make(chan error, 1)
		go func() { done <- h.Run(run) }()
		before := m.Counts().Put
		for range 300 {
			time.Sleep(time.Second)
			c.Assert(h.Valid(), qt.IsNil)
		}
		c.Assert(m.Counts().Put-before <= 31, qt.IsTrue)
		m.Inject(objectapi.Always(objectapi.Fault{Down: true}))
		time.Sleep(lease.DefaultTerm)
		var expired *lease.ExpiredError
		c.Assert(errors.As(h.Valid(), &expired), qt.IsTrue)
		m.Inject(nil)
		time.Sleep(lease.DefaultTerm)
		c.Assert(h.Valid(), qt.IsNil)
		cancel()
		c.Assert(<-done, qt.IsNil)
	})
}

// Guards against an engine that its router still orders although the stored lease has given it up.
func TestGivenUpBeforeTheWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &objectapi.Memory{}
		h := holder(m, "a")
		qt.Assert(t, h.Acquire(ctx, &lease.Observer{Store: m}, []string{"e-1"}), qt.IsNil)
		m.Inject(func(c objectapi.Call) objectapi.Fault {
			return objectapi.Fault{Lost: c.Write(), Down: !c.Write()}
		})
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		qt.Assert(t, h.SetEngines(short, nil), qt.IsNotNil)
		qt.Assert(t, h.Covers("e-1"), qt.IsFalse)
	})
}

// Guards against a term that counts from the end of a renewal, whose reply may come long after its effect.
func TestTermCountsFromBeforeTheWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &objectapi.Memory{}
		h := &lease.Holder{Store: m, Router: "r-1", Boot: "a", Gap: time.Hour}
		qt.Assert(t, h.Acquire(ctx, &lease.Observer{Store: m}, nil), qt.IsNil)
		sent := time.Now()
		m.Inject(func(c objectapi.Call) objectapi.Fault {
			return objectapi.Fault{Lost: c.Write(), Down: !c.Write() && time.Since(sent) < 10*time.Second}
		})
		qt.Assert(t, h.Renew(ctx), qt.IsNil)
		time.Sleep(lease.DefaultTerm - time.Since(sent))
		var expired *lease.ExpiredError
		qt.Assert(t, errors.As(h.Valid(), &expired), qt.IsTrue)
	})
}

// Guards against a holder that takes an earlier write of its own, which took effect late, for the one whose reply it lost.
func TestLateWriteOfTheSameProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &objectapi.Memory{}
		h, o := holder(m, "a"), &lease.Observer{Store: m}
		qt.Assert(t, h.Acquire(ctx, o, []string{"e-1"}), qt.IsNil)
		m.Inject(func(c objectapi.Call) objectapi.Fault { return objectapi.Fault{Hold: c.Write(), Down: !c.Write()} })
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		qt.Assert(t, h.SetEngines(short, nil), qt.IsNotNil)
		m.Inject(nil)
		m.Deliver()
		qt.Assert(t, h.SetEngines(ctx, []string{"e-2"}), qt.IsNil)
		s, err := o.Look(ctx, "r-1")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, s.Covers("e-2"), qt.IsTrue)
	})
}

// Guards against a holder that believes in its lease at a time when an observer has ended it, over random pauses and faults.
func TestExclusion(t *testing.T) {
	ended := 0
	rapid.Check(t, func(rt *rapid.T) {
		pauses := rapid.SliceOfN(rapid.IntRange(0, 50_000), 1, 20).Draw(rt, "pauses")
		seed := rapid.Uint64().Draw(rt, "faults")
		fault := ""
		synctest.Test(t, func(*testing.T) { fault = exclusion(pauses, seed, &ended) })
		if fault != "" {
			rt.Fatal(fault)
		}
	})
	qt.Assert(t, ended > 0, qt.IsTrue)
}

func exclusion(pauses []int, seed uint64, ended *int) (fault string) {
	m := &objectapi.Memory{}
	m.Inject(objectapi.Random(seed, objectapi.Chances{
		Down: 0.2, Lost: 0.2, Late: 0.2, Behind: 0.1, Slow: time.Second, Delay: 40 * time.Second,
	}))
	// Pauses are not detected here, so that the term alone excludes.
	h := &lease.Holder{Store: m, Router: "r-1", Boot: "a", Gap: time.Hour}
	o := &lease.Observer{Store: m}
	stop, cancel := context.WithCancel(ctx)
	done := make(chan string)
	go func() { done <- watch(stop, h, o, ended) }()
	for _, p := range pauses {
		call, end := context.WithTimeout(ctx, 20*time.Second)
		var lost *lease.LostError
		if err := h.Renew(call); errors.As(err, &lost) || h.Fence() == 0 {
			_ = h.Acquire(call, &lease.Observer{Store: m}, nil)
		}
		end()
		time.Sleep(time.Duration(p) * time.Millisecond)
	}
	cancel()
	fault = <-done
	time.Sleep(time.Minute)
	return fault
}

// watch ends the lease whenever it may, and checks that its holder knows. It returns the fault, empty if there was none.
func watch(stop context.Context, h *lease.Holder, o *lease.Observer, ended *int) (fault string) {
	for stop.Err() == nil {
		time.Sleep(500 * time.Millisecond)
		s, err := o.Look(ctx, "r-1")
		if err != nil || s.State != lease.Expired {
			continue
		}
		fence := h.Fence()
		if o.End(ctx, s) != nil {
			continue
		}
		*ended++
		if h.Fence() == fence && h.Valid() == nil {
			fault = fmt.Sprintf("lease was ended at version %d while its holder relied on it", s.Version)
		}
	}
	return fault
}

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

// The fixed seed makes test results reproducible; the -rapid.seed flag overrides it.
func init() { _ = flag.Set("rapid.seed", "20261203") }

var ctx = context.Background()

func newHolder(s objectapi.Store, boot string) *lease.Holder {
	return &lease.Holder{Store: s, Router: "r-1", Boot: boot}
}

// Checks that fencing tokens never decrease, and that a lease is not valid after its term, a pause,
// its release or its end.
func TestLeaseLifecycle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		m := &objectapi.Memory{}
		o := &lease.Observer{Store: m}
		h := newHolder(m, "a")
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
		c.Assert(errors.As(newHolder(m, "b").Acquire(ctx, o, nil), &held), qt.IsTrue)
		s, err := o.Status(ctx, "r-1")
		c.Assert(err, qt.IsNil)
		c.Assert(errors.As(o.End(ctx, s), &held), qt.IsTrue)
		time.Sleep(held.Retry)
		s, err = o.Status(ctx, "r-1")
		c.Assert(err, qt.IsNil)
		c.Assert(s.State, qt.Equals, lease.Expired)
		c.Assert(s.Covers("e-1"), qt.IsTrue)
		c.Assert(o.End(ctx, s), qt.IsNil)
		var lost *lease.LostError
		c.Assert(errors.As(h.Renew(ctx), &lost), qt.IsTrue)
		c.Assert(errors.As(h.Valid(), &lost), qt.IsTrue)
		n := h.Counters
		c.Assert([]int64{n.Writes.Load(), n.Conflicts.Load(), n.Expired.Load(), n.Paused.Load(), n.Lost.Load()}, qt.DeepEquals, []int64{3, 1, 1, 1, 1})

		next := newHolder(m, "b")
		c.Assert(next.Acquire(ctx, o, nil), qt.IsNil)
		c.Assert(next.Fence() > h.Fence(), qt.IsTrue)
		c.Assert(next.Release(ctx), qt.IsNil)
		c.Assert(next.Valid(), qt.IsNotNil)
		s, err = o.Status(ctx, "r-1")
		c.Assert(err, qt.IsNil)
		c.Assert(s.State, qt.Equals, lease.Ended)
	})
}

// Guards against a holder that loses its lease although it renews it, and against one that keeps it
// while the object API is down.
func TestRunRenewsUntilObjectAPIIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		m := &objectapi.Memory{}
		h := newHolder(m, "a")
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
		m.Inject(objectapi.ConstantFault(objectapi.Fault{Unavailable: true}))
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

// Guards against a router that still sends orders to an engine after the stored lease no longer
// covers it. This happens if the write that removes the engine takes effect but its reply is lost.
func TestRemovedEngineIsNotCoveredDuringWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &objectapi.Memory{}
		h := newHolder(m, "a")
		qt.Assert(t, h.Acquire(ctx, &lease.Observer{Store: m}, []string{"e-1"}), qt.IsNil)
		m.Inject(func(c objectapi.Call) objectapi.Fault {
			return objectapi.Fault{Lost: c.Write(), Unavailable: !c.Write()}
		})
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		qt.Assert(t, h.SetEngines(short, nil), qt.IsNotNil)
		qt.Assert(t, h.Covers("e-1"), qt.IsFalse)
	})
}

// Guards against measuring the term from the end of a renewal: the reply may arrive long after the
// write took effect.
func TestTermStartsBeforeWriteIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &objectapi.Memory{}
		h := &lease.Holder{Store: m, Router: "r-1", Boot: "a", MaxGap: time.Hour}
		qt.Assert(t, h.Acquire(ctx, &lease.Observer{Store: m}, nil), qt.IsNil)
		sent := time.Now()
		m.Inject(func(c objectapi.Call) objectapi.Fault {
			return objectapi.Fault{Lost: c.Write(), Unavailable: !c.Write() && time.Since(sent) < 10*time.Second}
		})
		qt.Assert(t, h.Renew(ctx), qt.IsNil)
		time.Sleep(lease.DefaultTerm - time.Since(sent))
		var expired *lease.ExpiredError
		qt.Assert(t, errors.As(h.Valid(), &expired), qt.IsTrue)
	})
}

// Guards against a holder that mistakes an earlier write of its own, which took effect late, for
// its current write.
func TestDelayedWriteOfSameProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &objectapi.Memory{}
		h, o := newHolder(m, "a"), &lease.Observer{Store: m}
		qt.Assert(t, h.Acquire(ctx, o, []string{"e-1"}), qt.IsNil)
		m.Inject(func(c objectapi.Call) objectapi.Fault {
			return objectapi.Fault{Hold: c.Write(), Unavailable: !c.Write()}
		})
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		qt.Assert(t, h.SetEngines(short, nil), qt.IsNotNil)
		m.Inject(nil)
		m.ApplyHeld()
		qt.Assert(t, h.SetEngines(ctx, []string{"e-2"}), qt.IsNil)
		s, err := o.Status(ctx, "r-1")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, s.Covers("e-2"), qt.IsTrue)
	})
}

// Checks under random pauses and faults that a holder's lease is not valid after an observer has
// ended it.
func TestEndedLeaseIsNotValid(t *testing.T) {
	ended := 0
	rapid.Check(t, func(rt *rapid.T) {
		pauses := rapid.SliceOfN(rapid.IntRange(0, 50_000), 1, 20).Draw(rt, "pauses")
		seed := rapid.Uint64().Draw(rt, "faults")
		violation := ""
		synctest.Test(t, func(*testing.T) { violation = runExclusion(pauses, seed, &ended) })
		if violation != "" {
			rt.Fatal(violation)
		}
	})
	qt.Assert(t, ended > 0, qt.IsTrue)
}

func runExclusion(pauses []int, seed uint64, ended *int) (violation string) {
	m := &objectapi.Memory{}
	m.Inject(objectapi.RandomFaults(seed, objectapi.FaultProbabilities{
		Down: 0.2, Lost: 0.2, Late: 0.2, Behind: 0.1, Slow: time.Second, Delay: 40 * time.Second,
	}))
	// Pause detection is disabled by a long gap, so that exclusion depends on the term alone.
	h := &lease.Holder{Store: m, Router: "r-1", Boot: "a", MaxGap: time.Hour}
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
	violation = <-done
	time.Sleep(time.Minute)
	return violation
}

// watch ends the lease whenever it has expired, and checks that the holder then considers it
// invalid. It returns a description of the last violation, empty if there was none.
func watch(stop context.Context, h *lease.Holder, o *lease.Observer, ended *int) (violation string) {
	for stop.Err() == nil {
		time.Sleep(500 * time.Millisecond)
		s, err := o.Status(ctx, "r-1")
		if err != nil || s.State != lease.Expired {
			continue
		}
		fence := h.Fence()
		if o.End(ctx, s) != nil {
			continue
		}
		*ended++
		if h.Fence() == fence && h.Valid() == nil {
			violation = fmt.Sprintf("lease was ended at version %d while its holder considered it valid", s.Version)
		}
	}
	return violation
}

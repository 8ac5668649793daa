package reconcile_test

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/coord/lease"
	"hornbeamstep.example/coord/reconcile"
	"hornbeamstep.example/ports/objectapi"
)

// pausedLease always returns err from Valid. With a nil error it represents a planner that is
// paused between this check and its write.
type pausedLease struct {
	reconcile.PlanLease

	err error
}

func (l pausedLease) Valid() error { return l.err }

func planOf(artifact string) reconcile.Plan {
	return reconcile.Plan{Engines: map[string]reconcile.EnginePlan{"e-1": {Loaded: []string{artifact}}}}
}

// newPlanner acquires the planner lease for a process and returns its planner.
func newPlanner(t *testing.T, store objectapi.Store, o *lease.Observer, boot string, now func() time.Time) (*reconcile.Planner, *lease.Holder) {
	h := &lease.Holder{Store: store, Router: "/planner", Boot: boot, Now: now}
	qt.Assert(t, h.Acquire(ctx, o, nil), qt.IsNil)
	return &reconcile.Planner{Store: store, Lease: h}, h
}

// Guards against a paused planner that resumes after its lease has ended and overwrites the plan of
// the next planner, and against two planners at the same time.
func TestPausedPlannerCannotWrite(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	clock := func() time.Time { return now }
	store := &objectapi.Memory{}
	observer := &lease.Observer{Store: store, Now: clock}
	first, held := newPlanner(t, store, observer, "b1", clock)
	_, err := first.TakeOver(ctx)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, first.Write(ctx, planOf("m@1")), qt.IsNil)

	second := &lease.Holder{Store: store, Router: "/planner", Boot: "b2", Now: clock}
	var heldErr *lease.HeldError
	qt.Assert(t, errors.As(second.Acquire(ctx, observer, nil), &heldErr), qt.IsTrue)
	now = now.Add(time.Minute)
	next, _ := newPlanner(t, store, observer, "b2", clock)
	current, err := next.TakeOver(ctx)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, current.Engines, qt.DeepEquals, planOf("m@1").Engines)

	qt.Check(t, first.Write(ctx, planOf("stale")), qt.IsNotNil)
	// The lease check succeeded before the pause.
	first.Lease = pausedLease{PlanLease: held}
	var lost *reconcile.PlanConflictError
	qt.Check(t, errors.As(first.Write(ctx, planOf("stale")), &lost), qt.IsTrue)
	_, err = first.TakeOver(ctx)
	qt.Check(t, errors.As(err, &lost), qt.IsTrue)

	qt.Assert(t, next.Write(ctx, planOf("m@2")), qt.IsNil)
	plan, _, err := reconcile.ReadPlan(ctx, store)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, plan.Engines, qt.DeepEquals, planOf("m@2").Engines)
	qt.Check(t, plan.Fence > held.Fence(), qt.IsTrue)
}

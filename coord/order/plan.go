package order

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"hornbeamstep.example/coord/pause"
	"hornbeamstep.example/ports/objectapi"
)

// planKind and planName name the object that holds the plan of the whole fleet. It has a kind of its own, so that a list of the kind
// tells its version without its value.
const (
	planKind = "plan"
	planName = "fleet"
)

// planRetry is the wait before a takeover of the plan is tried again.
const planRetry = 100 * time.Millisecond

// Planned is what the plan says of one engine.
type Planned struct {
	// Loaded are the artifacts that the engine is to have, sorted.
	Loaded []string `json:"loaded,omitempty"`
	// Idle are those of them that requests must not be sent for: they load, or will be unloaded. Sorted.
	Idle []string `json:"idle,omitempty"`
}

// Serving returns the names, without versions, that requests may be sent there for, sorted.
func (p Planned) Serving() []string {
	var names []string
	for _, a := range p.Loaded {
		if !slices.Contains(p.Idle, a) {
			name, _, _ := strings.Cut(a, "@")
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Plan says which artifacts are to be loaded where. It is written as a whole, so that a router never sees half of a change.
type Plan struct {
	// Fence is the fencing number of the lease under which the plan was taken over.
	Fence   int64              `json:"fence"`
	Engines map[string]Planned `json:"engines"`
}

// PlanVersion returns the version of the plan, 0 if there is none, without reading it.
func PlanVersion(ctx context.Context, store objectapi.Store) (int64, error) {
	list, err := store.List(ctx, planKind)
	if err != nil || len(list) == 0 {
		return 0, err
	}
	return list[0].Version, nil
}

// ReadPlan returns the plan and its version, 0 if there is none. Versions only grow.
func ReadPlan(ctx context.Context, store objectapi.Store) (Plan, int64, error) {
	o, err := store.Get(ctx, planKind, planName)
	var missing *objectapi.NotFoundError
	if errors.As(err, &missing) {
		return Plan{}, 0, nil
	}
	if err != nil {
		return Plan{}, 0, err
	}
	var p Plan
	if err := json.Unmarshal(o.Value, &p); err != nil {
		return Plan{}, 0, fmt.Errorf("the plan is unreadable; delete object %s of kind %s: %w", planName, planKind, err)
	}
	return p, o.Version, nil
}

// PlanLease is the lease of the router that plans.
type PlanLease interface {
	// Valid returns nil if the lease is held now, and Fence its fencing number.
	Valid() error
	Fence() int64
}

// Planner writes the plan under a lease. Each write is conditional on the version of its own last one, and a new planner writes
// before it plans. So a planner that was paused and goes on after its lease has ended can change nothing.
type Planner struct {
	Store objectapi.Store
	Lease PlanLease

	fence, version int64
}

// TakeOver returns the plan that stands, after it has been written again under this planner's lease. Errors: those of the lease, and
// those of the object API.
func (p *Planner) TakeOver(ctx context.Context) (Plan, error) {
	p.fence = p.Lease.Fence()
	for {
		plan, version, err := ReadPlan(ctx, p.Store)
		if err != nil {
			return Plan{}, err
		}
		if plan.Fence > p.fence {
			return Plan{}, &PlanLostError{Fence: plan.Fence}
		}
		p.version = version
		err = p.Write(ctx, plan)
		plan.Fence = p.fence
		var lost *PlanLostError
		if err == nil || !errors.As(err, &lost) {
			return plan, err
		}
		if err := pause.For(ctx, planRetry); err != nil {
			return Plan{}, err
		}
	}
}

// Write replaces the plan. After *PlanLostError the plan has to be taken over again. Other errors: those of the lease, and those of
// the object API.
func (p *Planner) Write(ctx context.Context, plan Plan) error {
	plan.Fence = p.fence
	value, err := json.Marshal(plan)
	if err != nil {
		return err
	}
	if err := p.Lease.Valid(); err != nil {
		return err
	}
	version, err := p.Store.Put(ctx, objectapi.Object{Kind: planKind, Name: planName, Version: p.version, Value: value})
	var conflict *objectapi.ConflictError
	var ambiguous *objectapi.AmbiguousError
	switch {
	case errors.As(err, &conflict), errors.As(err, &ambiguous):
		// A write whose reply was lost may take effect late; the takeover settles by the version which one stands.
		return &PlanLostError{Fence: plan.Fence, Cause: err}
	case err != nil:
		return err
	}
	p.version = version
	return nil
}

// PlanLostError says that the plan may have been written by another planner.
type PlanLostError struct {
	// Fence is the fencing number that was met, or that of this planner.
	Fence int64
	Cause error
}

func (e *PlanLostError) Error() string {
	return fmt.Sprintf("the plan may have been written by another planner (fencing number %d); take it over again under the lease", e.Fence)
}

// Unwrap returns the cause.
func (e *PlanLostError) Unwrap() error { return e.Cause }

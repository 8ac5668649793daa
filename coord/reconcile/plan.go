package reconcile

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"hornbeamstep.example/coord/sleep"
	"hornbeamstep.example/ports/objectapi"
)

// planKind and planName identify the object that holds the plan of the whole fleet. No other object
// has this kind, so that PlanVersion can list the kind to get the version without the value.
const (
	planKind = "plan"
	planName = "fleet"
)

// takeOverRetryDelay is the delay before a takeover of the plan is retried.
const takeOverRetryDelay = 100 * time.Millisecond

// EnginePlan is the plan for one engine.
type EnginePlan struct {
	// Loaded are the artifacts that the engine must have loaded, sorted.
	Loaded []string `json:"loaded,omitempty"`
	// NotServing are the artifacts in Loaded that must not receive requests, because they are still
	// loading or about to be unloaded. Sorted.
	NotServing []string `json:"idle,omitempty"`
}

// Serving returns the names, without versions, of the artifacts that may receive requests on the
// engine, sorted.
func (p EnginePlan) Serving() []string {
	var names []string
	for _, a := range p.Loaded {
		if !slices.Contains(p.NotServing, a) {
			name, _, _ := strings.Cut(a, "@")
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Plan assigns artifacts to engines. It is written as a whole, so that a router never sees a
// partial change.
type Plan struct {
	// Fence is the fencing token of the lease under which the plan was taken over.
	Fence   int64                 `json:"fence"`
	Engines map[string]EnginePlan `json:"engines"`
}

// PlanVersion returns the version of the plan without reading its value. The version is 0 if there
// is no plan.
func PlanVersion(ctx context.Context, store objectapi.Store) (int64, error) {
	list, err := store.List(ctx, planKind)
	if err != nil || len(list) == 0 {
		return 0, err
	}
	return list[0].Version, nil
}

// ReadPlan returns the plan and its version. The version is 0 if there is no plan, and it increases
// with each write.
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

// PlanLease is the lease of the router that writes the plan.
type PlanLease interface {
	// Valid returns nil if the lease is valid now.
	Valid() error
	// Fence returns the fencing token of the lease.
	Fence() int64
}

// Planner writes the plan under a lease. TakeOver must be called before Write: it reads the
// existing plan and writes it again unchanged, except for the fencing token. Each later write is
// conditional on the version of the previous one. A planner that is paused beyond the end of its
// lease can therefore no longer change the plan once another planner has taken it over.
type Planner struct {
	Store objectapi.Store
	Lease PlanLease

	fence, version int64
}

// TakeOver writes the current plan again under this planner's lease and returns it. It retries
// after a conflicting write or a lost reply. It returns *PlanConflictError if the plan holds a
// higher fencing token. Other errors are those of ReadPlan, of the lease, of the store and of ctx.
func (p *Planner) TakeOver(ctx context.Context) (Plan, error) {
	p.fence = p.Lease.Fence()
	for {
		plan, version, err := ReadPlan(ctx, p.Store)
		if err != nil {
			return Plan{}, err
		}
		if plan.Fence > p.fence {
			return Plan{}, &PlanConflictError{Fence: plan.Fence}
		}
		p.version = version
		err = p.Write(ctx, plan)
		plan.Fence = p.fence
		var conflict *PlanConflictError
		if err == nil || !errors.As(err, &conflict) {
			return plan, err
		}
		if err := sleep.For(ctx, takeOverRetryDelay); err != nil {
			return Plan{}, err
		}
	}
}

// Write replaces the plan. If it returns *PlanConflictError, the caller must call TakeOver again
// before the next write. Other errors are those of the lease and of the object API.
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
		// A write whose reply was lost may still take effect later. Once the conditional write
		// of the next TakeOver has succeeded, the version shows which write was first, and a late one
		// fails.
		return &PlanConflictError{Fence: plan.Fence, Cause: err}
	case err != nil:
		return err
	}
	p.version = version
	return nil
}

// PlanConflictError reports that another planner may have written the plan.
type PlanConflictError struct {
	// Fence is the fencing token in the plan if it is higher than this planner's. If a write was
	// rejected or its reply was lost, Fence is this planner's own token and Cause the write error.
	Fence int64
	Cause error
}

func (e *PlanConflictError) Error() string {
	return fmt.Sprintf("the plan may have been written by another planner (fencing token %d); take the plan over again under the lease", e.Fence)
}

// Unwrap returns the cause.
func (e *PlanConflictError) Unwrap() error { return e.Cause }

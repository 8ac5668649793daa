package reconcile

import (
	"context"
	"errors"
	"sync"
	"time"

	"hornbeamstep.example/coord/sleep"
	"hornbeamstep.example/ports/objectapi"
)

// rateName is the name of the object through which the fleet shares the weight store's rate limit.
// The object has the kind of the engines' desired states, which are named after their engines; no
// engine has this name.
const rateName = "/rate"

// FleetLoadLimiter is a LoadLimiter for the loads of artifacts by the whole fleet. Before each
// load, a router reads one object, waits for one interval and updates the object on condition that
// it has not changed. Any two loads are therefore at least one interval apart, without comparing
// clocks of different machines. Set the exported fields before use.
type FleetLoadLimiter struct {
	Store objectapi.Store
	// Interval is the minimum time between two loads, the inverse of the weight store's rate limit.
	// It must be greater than 0.
	Interval time.Duration
	// Router is stored in the object to show operators which router loaded last.
	Router string

	// takeMu serializes calls of Take, so that this process has at most one write in progress.
	takeMu sync.Mutex
}

// Take implements LoadLimiter. If several routers wait, at most one of them may start a load in
// each interval.
// After a write whose reply was lost, Take waits for another interval, as if another router had
// loaded, because the write may take effect late.
func (r *FleetLoadLimiter) Take(ctx context.Context) error {
	r.takeMu.Lock()
	defer r.takeMu.Unlock()
	for {
		o, err := r.Store.Get(ctx, desiredKind, rateName)
		var missing *objectapi.NotFoundError
		if errors.As(err, &missing) {
			o, err = objectapi.Object{Kind: desiredKind, Name: rateName}, nil
		}
		if err != nil {
			return err
		}
		if err := sleep.For(ctx, r.Interval); err != nil {
			return err
		}
		o.Value = []byte(r.Router)
		_, err = r.Store.Put(ctx, o)
		var conflict *objectapi.ConflictError
		var ambiguous *objectapi.AmbiguousError
		if err == nil || (!errors.As(err, &conflict) && !errors.As(err, &ambiguous)) {
			return err
		}
	}
}

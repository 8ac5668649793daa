package order

import (
	"context"
	"errors"
	"sync"
	"time"

	"hornbeamstep.example/coord/pause"
	"hornbeamstep.example/ports/objectapi"
)

// rateName is the object by which the whole fleet shares the weight store's rate. No engine has this name.
const rateName = "/rate"

// Rate is a Limiter over the whole fleet. A load starts only with a conditional update of one object, made at least one interval
// after its version was first seen. So any two loads are at least one interval apart, without comparing clocks. Set its fields before
// use.
type Rate struct {
	Store objectapi.Store
	// Interval is the least time between two loads: the inverse of the weight store's rate. Greater than 0.
	Interval time.Duration
	// Router is kept in the object to tell operators who loaded last.
	Router string

	// taking serializes the loads of this process, so that it writes on its own account only once at a time.
	taking sync.Mutex
}

// Take implements Limiter. While many routers wait, one of them gets each interval. A write whose reply was lost counts as taken by
// somebody else, because it may take effect late.
func (r *Rate) Take(ctx context.Context) error {
	r.taking.Lock()
	defer r.taking.Unlock()
	for {
		o, err := r.Store.Get(ctx, desiredKind, rateName)
		var missing *objectapi.NotFoundError
		if errors.As(err, &missing) {
			o, err = objectapi.Object{Kind: desiredKind, Name: rateName}, nil
		}
		if err != nil {
			return err
		}
		if err := pause.For(ctx, r.Interval); err != nil {
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

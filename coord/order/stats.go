package order

import (
	"errors"
	"sync/atomic"

	"hornbeamstep.example/ports/objectapi"
)

// Counters count what the keepers that share them did. Their zero value is ready for use.
type Counters struct {
	// Writes of desired states succeeded, Conflicts lost to another router, of Ambiguous ones the reply was lost, and Retries are
	// writes that were sent again after either.
	Writes, Conflicts, Ambiguous, Retries atomic.Int64
	// Sent are orders that engines applied. Fenced are those that an engine refused for an old fencing number, and Superseded
	// those given up because another router had written the desired state.
	Sent, Fenced, Superseded atomic.Int64
	// Waits are looks at an engine that ended because of the lease or of the orders of a previous router.
	Waits atomic.Int64
}

// written counts a write of a desired state.
func (c *Counters) written(err error) {
	var conflict *objectapi.ConflictError
	var ambiguous *objectapi.AmbiguousError
	switch {
	case err == nil:
		c.Writes.Add(1)
	case errors.As(err, &conflict):
		c.Conflicts.Add(1)
	case errors.As(err, &ambiguous):
		c.Ambiguous.Add(1)
	}
}

// repaired counts the result of one look at an engine.
func (c *Counters) repaired(sent []Order, err error) {
	applied := len(sent)
	var stale *StaleError
	var superseded *SupersededError
	var waiting *WaitingError
	switch {
	case errors.As(err, &stale):
		c.Fenced.Add(1)
	case errors.As(err, &superseded):
		c.Superseded.Add(1)
	case errors.As(err, &waiting):
		c.Waits.Add(1)
	}
	if err != nil && applied > 0 {
		// The last one was sent and did not end well.
		applied--
	}
	c.Sent.Add(int64(applied))
}

// counters is never nil.
func (k *Keeper) counters() *Counters {
	if k.Counters == nil {
		return &Counters{}
	}
	return k.Counters
}

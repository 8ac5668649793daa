package reconcile

import (
	"errors"
	"sync/atomic"

	"hornbeamstep.example/ports/objectapi"
)

// Counters holds counters that several reconcilers may share. The zero value is ready to use.
type Counters struct {
	// Writes counts writes of desired states that succeeded, Conflicts those rejected because of
	// another write, Ambiguous those whose reply was lost, and Retries the writes sent again after
	// a conflict or a lost reply.
	Writes, Conflicts, Ambiguous, Retries atomic.Int64
	// Applied counts orders that engines applied, Fenced those that an engine rejected because of an
	// old fencing token, and Superseded the reconciliations stopped because the desired state
	// was written by another router or process.
	Applied, Fenced, Superseded atomic.Int64
	// Waits counts reconciliations that could not proceed because of a lease or of orders of a
	// previous router that may still take effect.
	Waits atomic.Int64
}

// countWrite counts the result of a write of a desired state.
func (c *Counters) countWrite(err error) {
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

// countReconcile counts the result of reconciling an engine once.
func (c *Counters) countReconcile(sent []Order, err error) {
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
		// The last order counts as failed, because send returns it also if sending it failed.
		applied--
	}
	c.Applied.Add(int64(applied))
}

// counters never returns nil.
func (r *Reconciler) counters() *Counters {
	if r.Counters == nil {
		return &Counters{}
	}
	return r.Counters
}

package lease

import (
	"context"
	"errors"
	"sync"
	"time"

	"hornbeamstep.example/ports/objectapi"
)

// State is the state of a lease as determined by an observer.
type State string

// An Observer derives the state from the lease record and from how long the record has been
// unchanged.
const (
	// Absent means that the router has no lease record.
	Absent State = "absent"
	// Held means that the lease may be valid.
	Held State = "held"
	// Expired means that the record has not changed for a whole term. The lease must still be ended
	// before its engines are taken over, because the object API may return an old version of the
	// record.
	Expired State = "expired"
	// Ended means that the holder can no longer renew the lease.
	Ended State = "ended"
)

// Status describes a lease as determined by an observer.
type Status struct {
	Router string
	State  State
	// Version is the version of the record; 0 if there is none.
	Version int64
	Engines []string
	// Retry is how much longer the record must stay unchanged for the lease to count as expired; 0
	// unless State is Held.
	Retry time.Duration

	boot   string
	record leaseRecord
}

// Covers reports whether the lease includes an engine and has not been ended. If so, the holder
// might still send orders to the engine, even if the lease has expired.
func (s Status) Covers(engine string) bool {
	if s.State != Held && s.State != Expired {
		return false
	}
	for _, e := range s.Engines {
		if e == engine {
			return true
		}
	}
	return false
}

// Boot returns the identifier of the process that wrote the record.
func (s Status) Boot() string { return s.boot }

// Observer detects by its own clock which leases of other routers have expired. Set its fields
// before use.
type Observer struct {
	Store objectapi.Store
	// Term is the minimum term that the observer assumes; DefaultTerm if 0. If a record states a
	// longer term, that term applies.
	Term time.Duration
	// Now is a clock with a monotonic reading; time.Now if nil.
	Now func() time.Time

	mu sync.Mutex
	// observations holds the record version last seen for each router.
	observations map[string]observation
}

// observation is a record version and the time when it was first seen.
type observation struct {
	version int64
	seenAt  time.Time
}

// Status reads the lease of a router. It returns an error if the object API call fails or the
// record cannot be decoded.
func (o *Observer) Status(ctx context.Context, router string) (Status, error) {
	obj, err := o.Store.Get(ctx, Kind, router)
	var missing *objectapi.NotFoundError
	if errors.As(err, &missing) {
		return Status{Router: router, State: Absent}, nil
	}
	if err != nil {
		return Status{}, err
	}
	record, err := decode(obj.Value)
	if err != nil {
		return Status{}, err
	}
	s := Status{Router: router, State: Held, Version: obj.Version, Engines: record.Engines, boot: record.Boot, record: record}
	if record.Ended {
		s.State = Ended
		return s, nil
	}
	if s.Retry = o.remaining(router, obj.Version, record); s.Retry <= 0 {
		s.State, s.Retry = Expired, 0
	}
	return s, nil
}

// remaining returns how much longer a version must stay unchanged for the lease to count as
// expired. The clock is read after the record, so that the wait begins after the holder's write
// took effect.
func (o *Observer) remaining(router string, version int64, r leaseRecord) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now
	if o.Now != nil {
		now = o.Now
	}
	if o.observations == nil {
		o.observations = map[string]observation{}
	}
	first, ok := o.observations[router]
	if !ok || first.version != version {
		first = observation{version: version, seenAt: now()}
		o.observations[router] = first
	}
	term := max(o.term(), time.Duration(r.Term)*time.Millisecond)
	// Only the monotonic clock counts here, because setting the wall clock forward must not shorten
	// the wait.
	return term + term/driftDivisor - now().Sub(first.seenAt)
}

func (o *Observer) term() time.Duration {
	if o.Term > 0 {
		return o.Term
	}
	return DefaultTerm
}

// End ends an expired lease, so that its holder can no longer renew it. The holder detects this at
// its next renewal at the latest. End returns *objectapi.ConflictError if the holder has renewed
// the lease in the meantime, and *HeldError if the state in s is Held. It does nothing if the state
// is Absent or Ended. If the reply to the write was lost, call Status to determine whether the
// lease has ended.
func (o *Observer) End(ctx context.Context, s Status) error {
	if s.State == Held {
		return &HeldError{Router: s.Router, Retry: s.Retry}
	}
	if s.State != Expired {
		return nil
	}
	record := s.record
	record.Ended = true
	value, err := record.encode()
	if err != nil {
		return err
	}
	_, err = o.Store.Put(ctx, objectapi.Object{Kind: Kind, Name: s.Router, Version: s.Version, Value: value})
	return err
}

// Forget deletes the observation of a router that has left the fleet.
func (o *Observer) Forget(router string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.observations, router)
}

package lease

import (
	"context"
	"errors"
	"sync"
	"time"

	"hornbeamstep.example/ports/objectapi"
)

// State is what an observer knows of a lease.
type State string

// The states of a lease.
const (
	// Absent means that there is no record.
	Absent State = "absent"
	// Held means that the lease may be valid.
	Held State = "held"
	// Expired means that the record has not changed for a whole term. The lease has to be ended before its engines are taken over,
	// because the read may lag.
	Expired State = "expired"
	// Ended means that the holder can not renew the lease any more.
	Ended State = "ended"
)

// Status is what an observer saw of a lease.
type Status struct {
	Router string
	State  State
	// Version is that of the record, 0 if there is none.
	Version int64
	Engines []string
	// Retry is how long the record still has to stay unchanged to count as expired; 0 unless State is Held.
	Retry time.Duration

	boot   string
	record wireRecord
}

// Covers reports whether the lease may still allow orders to an engine.
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

// Observer tells which leases of other routers have expired, by its own clock. Set its fields before use.
type Observer struct {
	Store objectapi.Store
	// Term is at least that of the holders; DefaultTerm if 0.
	Term time.Duration
	// Now is a clock with a monotonic reading; time.Now if nil.
	Now func() time.Time

	mu    sync.Mutex
	sight map[string]sight
}

// sight is the first reading of a version.
type sight struct {
	version int64
	at      time.Time
}

// Look reads the lease of a router. Errors are those of the object API.
func (o *Observer) Look(ctx context.Context, router string) (Status, error) {
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
	if s.Retry = o.rest(router, obj.Version, record); s.Retry <= 0 {
		s.State, s.Retry = Expired, 0
	}
	return s, nil
}

// rest returns how long a version still has to stay unchanged. The clock is read after the record, so that the wait begins after the
// holder's write took effect.
func (o *Observer) rest(router string, version int64, r wireRecord) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now
	if o.Now != nil {
		now = o.Now
	}
	if o.sight == nil {
		o.sight = map[string]sight{}
	}
	first, ok := o.sight[router]
	if !ok || first.version != version {
		first = sight{version: version, at: now()}
		o.sight[router] = first
	}
	term := max(o.term(), time.Duration(r.Term)*time.Millisecond)
	// The monotonic reading alone counts here: a wall clock that is set forward must not shorten the wait.
	return term + term/drift - now().Sub(first.at)
}

func (o *Observer) term() time.Duration {
	if o.Term > 0 {
		return o.Term
	}
	return DefaultTerm
}

// End ends an expired lease, so that its holder learns of it at its next renewal at the latest. *objectapi.ConflictError means that
// the holder renewed it after all. After a lost reply, Look tells whether it ended.
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

// Forget drops what is known of a router that is gone.
func (o *Observer) Forget(router string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.sight, router)
}

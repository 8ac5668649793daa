package reconcile

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"hornbeamstep.example/coord/lease"
	"hornbeamstep.example/coord/sleep"
	"hornbeamstep.example/ports/objectapi"
)

// maxConflictDelay is the maximum random delay before a conflicting change of the desired state is
// retried.
const maxConflictDelay = 20 * time.Millisecond

// Lease is the lease of this router.
type Lease interface {
	// Valid returns nil if the lease is valid now.
	Valid() error
	// Covers reports whether the lease covers an engine.
	Covers(engine string) bool
}

// Leases reads and ends the leases of other routers; see lease.Observer.
type Leases interface {
	Status(ctx context.Context, router string) (lease.Status, error)
	End(ctx context.Context, s lease.Status) error
}

// Engine is a client of one engine.
type Engine interface {
	// Order sends an order. It returns nil once the order was applied, and *StaleError if the
	// engine rejected its fencing token. After any other error the order may or may not have been
	// applied.
	Order(ctx context.Context, o Order) error
	// State returns the actual state of the engine.
	State(ctx context.Context) (State, error)
}

// Reconciler reconciles the engines of one router with their desired states. Set its fields before
// use.
type Reconciler struct {
	Store  objectapi.Store
	Lease  Lease
	Leases Leases
	// Router is the name of this router and Boot identifies its process. Both must be the values
	// that the lease record holds.
	Router, Boot string
	// MaxOrderTime is the maximum time from sending an order to its last effect;
	// DefaultMaxOrderTime if 0. All routers must use the same value.
	MaxOrderTime time.Duration
	// LoadLimiter limits the rate of loads; nil for no limit.
	LoadLimiter LoadLimiter
	// Now is a clock with a monotonic reading; time.Now if nil.
	Now func() time.Time
	// Counters may be shared with other reconcilers; nil disables counting.
	Counters *Counters

	mu sync.Mutex
	// seq is the number of the last write of a desired state by this process.
	seq int64
	// takenOverAt is, by engine, when this process learned that its takeover had succeeded; zero
	// while the outcome is unknown.
	takenOverAt map[string]time.Time
	// unfenced are the engines taken over that have not received a fencing token from this process
	// yet.
	unfenced map[string]bool
}

// LoadLimiter limits the rate of loads across the whole fleet.
type LoadLimiter interface {
	// Take waits until a load may start, or returns an error if ctx ends first.
	Take(ctx context.Context) error
}

// Target is an engine that Reconciler.Reconcile acts on.
type Target struct {
	Name   string
	Engine Engine
	// EnforcesFencing is true if the engine rejects old fencing tokens.
	EnforcesFencing bool
}

// SetDesired changes the desired state of an engine. Any router may call it; the router that sends
// the engine's orders applies the change. SetDesired retries after conflicts. It returns other
// errors of the object API; the caller may then call it again.
func (r *Reconciler) SetDesired(ctx context.Context, engine string, s State) error {
	for {
		o, w, err := r.read(ctx, engine)
		if err != nil {
			return err
		}
		w.State = s.WithLoaded(s.Loaded...)
		value, err := json.Marshal(w)
		if err != nil {
			return err
		}
		o.Value = value
		_, err = r.Store.Put(ctx, o)
		r.counters().countWrite(err)
		var conflict *objectapi.ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
		r.counters().Retries.Add(1)
		if err := sleep.For(ctx, rand.N(maxConflictDelay)); err != nil {
			return err
		}
	}
}

// Desired returns the desired state of an engine and the router that sends its orders. Both are
// empty if no state was set.
func (r *Reconciler) Desired(ctx context.Context, engine string) (State, string, error) {
	_, w, err := r.read(ctx, engine)
	return w.State, w.Router, err
}

// Reconcile compares the actual state of an engine with its desired state and sends the orders that
// correct differences. It returns the orders that it sent; if sending one fails, that order is the
// last. Callers repeat it until it sends none, and periodically afterwards. It must not be called
// concurrently for the same engine. Errors are those of Lease.Valid, *WaitingError,
// *SupersededError, *StaleError, and those of the object API, of the LoadLimiter and of the engine.
func (r *Reconciler) Reconcile(ctx context.Context, t Target) ([]Order, error) {
	sent, err := r.reconcile(ctx, t)
	r.counters().countReconcile(sent, err)
	return sent, err
}

func (r *Reconciler) reconcile(ctx context.Context, t Target) ([]Order, error) {
	if err := r.checkLease(t); err != nil {
		return nil, err
	}
	o, w, err := r.read(ctx, t.Name)
	if err != nil || o.Version == 0 {
		return nil, err
	}
	if w.Router != r.Router || w.Boot != r.Boot {
		if o, w, err = r.takeOver(ctx, t, o, w); err != nil {
			return nil, err
		}
	}
	r.recordTakeOver(t.Name)
	if err := r.checkOrdersExpired(t); err != nil {
		return nil, err
	}
	actual, err := t.Engine.State(ctx)
	if err != nil {
		return nil, err
	}
	var sent []Order
	for _, step := range r.steps(t.Name, w.State, actual) {
		order, err := r.send(ctx, t, &o, &w, step)
		if order.Fence > 0 {
			sent = append(sent, order)
		}
		if err != nil {
			return sent, err
		}
		r.markFenced(t.Name)
	}
	return sent, nil
}

// steps returns the steps to the desired state. After the takeover of an engine that rejects old
// fencing tokens there is at least one, even if nothing differs, because the engine rejects the
// orders of the previous router only after it has received a higher token.
func (r *Reconciler) steps(engine string, desired, actual State) []Step {
	r.mu.Lock()
	defer r.mu.Unlock()
	steps := Steps(desired, actual)
	if len(steps) == 0 && r.unfenced[engine] {
		return []Step{{Drain, strconv.FormatBool(desired.Drain)}}
	}
	return steps
}

func (r *Reconciler) markFenced(engine string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.unfenced, engine)
}

// checkLease returns nil if this router may send orders to an engine now.
func (r *Reconciler) checkLease(t Target) error {
	if err := r.Lease.Valid(); err != nil {
		return err
	}
	if !r.Lease.Covers(t.Name) {
		return &WaitingError{Engine: t.Name, Reason: "it is not covered by this router's lease", Retry: time.Second}
	}
	return nil
}

// takeOver makes this process the one that sends the engine's orders, after the lease of the
// previous process has ended.
func (r *Reconciler) takeOver(ctx context.Context, t Target, o objectapi.Object, w wireDesired) (objectapi.Object, wireDesired, error) {
	if err := r.endPreviousLease(ctx, t, w); err != nil {
		return o, w, err
	}
	r.mu.Lock()
	if r.takenOverAt == nil {
		r.takenOverAt, r.unfenced = map[string]time.Time{}, map[string]bool{}
	}
	if w.Router != "" {
		// These are set before the write, because it may take effect although it appears to fail.
		r.takenOverAt[t.Name] = time.Time{}
		r.unfenced[t.Name] = t.EnforcesFencing
	}
	r.mu.Unlock()
	w.Router, w.Boot = r.Router, r.Boot
	return r.writeDesired(ctx, t, o, w)
}

// recordTakeOver starts the wait for late orders of the previous router. It is called once a read
// or write has shown that this process took the engine over.
func (r *Reconciler) recordTakeOver(engine string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at, ok := r.takenOverAt[engine]; ok && at.IsZero() {
		r.takenOverAt[engine] = r.now()
	}
}

// endPreviousLease ends the lease of the previous router if it has expired. It returns nil once the
// checkLease call of that router's process can no longer succeed for the engine.
func (r *Reconciler) endPreviousLease(ctx context.Context, t Target, w wireDesired) error {
	if w.Router == "" {
		return nil
	}
	s, err := r.Leases.Status(ctx, w.Router)
	if err != nil {
		return err
	}
	if s.Boot() != w.Boot || !s.Covers(t.Name) {
		// The process has ended, because another process has written the lease record, or its lease
		// no longer covers the engine.
		return nil
	}
	if s.State == lease.Held {
		return &WaitingError{Engine: t.Name, Reason: "the lease of " + w.Router + " is held", Retry: s.Retry}
	}
	err = r.Leases.End(ctx, s)
	var conflict *objectapi.ConflictError
	if errors.As(err, &conflict) {
		return &WaitingError{Engine: t.Name, Reason: "the lease of " + w.Router + " was renewed", Retry: time.Second}
	}
	return err
}

// checkOrdersExpired returns nil once no order of a previous router can still take effect.
func (r *Reconciler) checkOrdersExpired(t Target) error {
	if t.EnforcesFencing {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.takenOverAt[t.Name]
	if !ok {
		return nil
	}
	remaining := r.maxOrderTime() + r.maxOrderTime()/driftDivisor - r.now().Sub(at)
	if remaining <= 0 {
		delete(r.takenOverAt, t.Name)
		return nil
	}
	return &WaitingError{Engine: t.Name, Reason: "an order of the previous router may still take effect", Retry: remaining}
}

// driftDivisor sets the extra wait after a takeover, as a fraction of the maximum order time
// (1/driftDivisor), for clocks that run at different rates.
const driftDivisor = 10

// send sends one order. It returns the order also if sending it failed, and the zero Order if it
// was not sent. A disruptive order requires a conditional update of the desired state right before
// it. So does a load if there is a LoadLimiter, because the wait for it may have been long.
func (r *Reconciler) send(ctx context.Context, t Target, o *objectapi.Object, w *wireDesired, step Step) (Order, error) {
	if step.Action == Load && r.LoadLimiter != nil {
		if err := r.LoadLimiter.Take(ctx); err != nil {
			return Order{}, err
		}
	}
	if step.Action.Disruptive() || r.LoadLimiter != nil {
		var err error
		if *o, *w, err = r.writeDesired(ctx, t, *o, *w); err != nil {
			return Order{}, err
		}
	}
	// The lease is checked last, because the update may have taken long.
	if err := r.checkLease(t); err != nil {
		return Order{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, r.maxOrderTime())
	defer cancel()
	order := Order{Fence: o.Version, Action: step.Action, Argument: step.Argument, Expires: r.now().Add(r.maxOrderTime())}
	return order, t.Engine.Order(ctx, order)
}

// writeDesired writes the desired state on condition that it still has the version that was read,
// and returns it with its new version.
func (r *Reconciler) writeDesired(ctx context.Context, t Target, o objectapi.Object, w wireDesired) (objectapi.Object, wireDesired, error) {
	r.mu.Lock()
	r.seq++
	w.Seq = r.seq
	r.mu.Unlock()
	value, err := json.Marshal(w)
	if err != nil {
		return o, w, err
	}
	o.Value = value
	for {
		version, err := r.Store.Put(ctx, o)
		r.counters().countWrite(err)
		var conflict *objectapi.ConflictError
		var ambiguous *objectapi.AmbiguousError
		if err == nil {
			o.Version = version
			return o, w, nil
		}
		if !errors.As(err, &conflict) && !errors.As(err, &ambiguous) {
			return o, w, err
		}
		current, read, readErr := r.read(ctx, t.Name)
		if readErr == nil && current.Version != o.Version {
			if read.Router == w.Router && read.Boot == w.Boot && read.Seq == w.Seq {
				return current, read, r.checkUnchanged(t, w, read)
			}
			return o, w, &SupersededError{Engine: t.Name}
		}
		if err := sleep.For(ctx, 100*time.Millisecond); err != nil {
			return o, w, err
		}
		r.counters().Retries.Add(1)
	}
}

// checkUnchanged returns nil if the stored desired state is still the one that the orders were
// computed from. After a write of this process whose reply was lost, another router may have set a
// new desired state, which keeps this process as the sender of the engine's orders.
func (r *Reconciler) checkUnchanged(t Target, want, have wireDesired) error {
	if len(Steps(want.State, have.State)) > 0 || len(Steps(have.State, want.State)) > 0 {
		return &SupersededError{Engine: t.Name}
	}
	return nil
}

// read returns the object that holds the desired state of an engine, and its decoded value. The
// version of the object is 0 if no state was set.
func (r *Reconciler) read(ctx context.Context, engine string) (objectapi.Object, wireDesired, error) {
	o, err := r.Store.Get(ctx, desiredKind, engine)
	var missing *objectapi.NotFoundError
	if errors.As(err, &missing) {
		return objectapi.Object{Kind: desiredKind, Name: engine}, wireDesired{}, nil
	}
	if err != nil {
		return o, wireDesired{}, err
	}
	w, err := decode(o.Value)
	return o, w, err
}

func (r *Reconciler) maxOrderTime() time.Duration {
	if r.MaxOrderTime > 0 {
		return r.MaxOrderTime
	}
	return DefaultMaxOrderTime
}

func (r *Reconciler) now() time.Time {
	if r.Now != nil {
		return r.Now()
	}
	return time.Now()
}

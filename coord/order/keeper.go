package order

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"hornbeamstep.example/coord/lease"
	"hornbeamstep.example/coord/pause"
	"hornbeamstep.example/ports/objectapi"
)

// setPause is the greatest wait before a change of the desired state is repeated that met another one.
const setPause = 20 * time.Millisecond

// Lease is this router's lease.
type Lease interface {
	// Valid returns nil if the lease is held now.
	Valid() error
	// Covers reports whether an engine is under the lease.
	Covers(engine string) bool
}

// Leases tells about the leases of other routers.
type Leases interface {
	Look(ctx context.Context, router string) (lease.Status, error)
	End(ctx context.Context, s lease.Status) error
}

// Engine takes orders.
type Engine interface {
	// Order returns nil once the order was applied, and *StaleError if it was refused for its fencing number. After any other error
	// the order may have been applied.
	Order(ctx context.Context, o Order) error
	// State reads the engine back.
	State(ctx context.Context) (State, error)
}

// Keeper brings the engines of one router to their desired states. Set its fields before use.
type Keeper struct {
	Store  objectapi.Store
	Lease  Lease
	Leases Leases
	// Router and Boot are those of the lease.
	Router, Boot string
	// Longest is the longest time that an order takes; DefaultLongest if 0. It is the same on all routers.
	Longest time.Duration
	// Loads gives permission for each load; nil for no limit.
	Loads Limiter
	// Now is a clock with a monotonic reading; time.Now if nil.
	Now func() time.Time
	// Counters may be shared with other keepers; nil for none.
	Counters *Counters

	mu   sync.Mutex
	turn int64
	// taken is when this process knew that it had taken an engine over, by engine; zero while that is not known.
	taken map[string]time.Time
	// unraised are the engines taken over that have not seen a fencing number of this process yet.
	unraised map[string]bool
}

// Limiter paces loads over the whole fleet.
type Limiter interface {
	// Take waits until a load may start, or returns an error if ctx ends first.
	Take(ctx context.Context) error
}

// Target is an engine to repair.
type Target struct {
	Name   string
	Engine Engine
	// Fence is true if the engine refuses old fencing numbers.
	Fence bool
}

// Set changes the desired state of an engine. Any router may call it; the router that gives the engine's orders applies it. Conflicts
// are repeated; other errors are those of the object API, and Set may be repeated after them.
func (k *Keeper) Set(ctx context.Context, engine string, s State) error {
	for {
		o, w, err := k.read(ctx, engine)
		if err != nil {
			return err
		}
		w.State = s.WithLoaded(s.Loaded...)
		value, err := json.Marshal(w)
		if err != nil {
			return err
		}
		o.Value = value
		_, err = k.Store.Put(ctx, o)
		k.counters().written(err)
		var conflict *objectapi.ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
		k.counters().Retries.Add(1)
		if err := pause.For(ctx, rand.N(setPause)); err != nil {
			return err
		}
	}
}

// Desired returns the desired state of an engine and the router that gives its orders, both empty if there is none.
func (k *Keeper) Desired(ctx context.Context, engine string) (State, string, error) {
	_, w, err := k.read(ctx, engine)
	return w.State, w.Router, err
}

// Repair reads an engine back and orders what differs from its desired state. It returns the orders that were sent. It is repeated
// until it sends none, and now and then afterwards. It is not called for one engine at the same time. Errors: those of Lease.Valid, *WaitingError, *SupersededError, *StaleError, and those of the object API and of
// the engine.
func (k *Keeper) Repair(ctx context.Context, t Target) ([]Order, error) {
	sent, err := k.repair(ctx, t)
	k.counters().repaired(sent, err)
	return sent, err
}

func (k *Keeper) repair(ctx context.Context, t Target) ([]Order, error) {
	if err := k.allowed(t); err != nil {
		return nil, err
	}
	o, w, err := k.read(ctx, t.Name)
	if err != nil || o.Version == 0 {
		return nil, err
	}
	if w.Router != k.Router || w.Boot != k.Boot {
		if o, w, err = k.takeOver(ctx, t, o, w); err != nil {
			return nil, err
		}
	}
	k.known(t.Name)
	if err := k.settled(t); err != nil {
		return nil, err
	}
	actual, err := t.Engine.State(ctx)
	if err != nil {
		return nil, err
	}
	var sent []Order
	for _, step := range k.steps(t.Name, w.State, actual) {
		order, err := k.send(ctx, t, &o, &w, step)
		if order.Fence > 0 {
			sent = append(sent, order)
		}
		if err != nil {
			return sent, err
		}
		k.raised(t.Name)
	}
	return sent, nil
}

// steps returns what differs. The first order after a takeover is sent even if nothing does: an engine refuses the orders of the
// previous router only after it has seen a higher fencing number.
func (k *Keeper) steps(engine string, desired, actual State) []Step {
	k.mu.Lock()
	defer k.mu.Unlock()
	steps := Steps(desired, actual)
	if len(steps) == 0 && k.unraised[engine] {
		return []Step{{Drain, strconv.FormatBool(desired.Drain)}}
	}
	return steps
}

func (k *Keeper) raised(engine string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.unraised, engine)
}

// allowed reports whether this router may give orders to an engine now.
func (k *Keeper) allowed(t Target) error {
	if err := k.Lease.Valid(); err != nil {
		return err
	}
	if !k.Lease.Covers(t.Name) {
		return &WaitingError{Engine: t.Name, Reason: "it is not under this router's lease", Retry: time.Second}
	}
	return nil
}

// takeOver makes this process the one that gives the engine's orders, after the lease of the previous one has ended.
func (k *Keeper) takeOver(ctx context.Context, t Target, o objectapi.Object, w wireDesired) (objectapi.Object, wireDesired, error) {
	if err := k.previousEnded(ctx, t, w); err != nil {
		return o, w, err
	}
	k.mu.Lock()
	if k.taken == nil {
		k.taken, k.unraised = map[string]time.Time{}, map[string]bool{}
	}
	if w.Router != "" {
		// Set before the write, which may take effect although it seems to fail.
		k.taken[t.Name] = time.Time{}
		k.unraised[t.Name] = t.Fence
	}
	k.mu.Unlock()
	w.Router, w.Boot = k.Router, k.Boot
	return k.confirm(ctx, t, o, w)
}

// known begins the wait for orders of the previous router, once a read or write has shown that this process took the engine over.
func (k *Keeper) known(engine string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if at, ok := k.taken[engine]; ok && at.IsZero() {
		k.taken[engine] = k.now()
	}
}

// previousEnded returns nil once the previous router can not pass its checks any more.
func (k *Keeper) previousEnded(ctx context.Context, t Target, w wireDesired) error {
	if w.Router == "" {
		return nil
	}
	s, err := k.Leases.Look(ctx, w.Router)
	if err != nil {
		return err
	}
	if s.Boot() != w.Boot || !s.Covers(t.Name) {
		// The process has gone, since another one holds its record, or it gave the engine up.
		return nil
	}
	if s.State == lease.Held {
		return &WaitingError{Engine: t.Name, Reason: "the lease of " + w.Router + " is held", Retry: s.Retry}
	}
	err = k.Leases.End(ctx, s)
	var conflict *objectapi.ConflictError
	if errors.As(err, &conflict) {
		return &WaitingError{Engine: t.Name, Reason: "the lease of " + w.Router + " was renewed", Retry: time.Second}
	}
	return err
}

// settled reports whether the last order of a previous router can have no effect any more.
func (k *Keeper) settled(t Target) error {
	if t.Fence {
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	at, ok := k.taken[t.Name]
	if !ok {
		return nil
	}
	rest := k.longest() + k.longest()/drift - k.now().Sub(at)
	if rest <= 0 {
		delete(k.taken, t.Name)
		return nil
	}
	return &WaitingError{Engine: t.Name, Reason: "an order of the previous router may still take effect", Retry: rest}
}

// drift is the divisor of the longest order that is waited in addition, for clocks that run at different rates.
const drift = 10

// send gives one order. A disruptive one is confirmed by a fresh conditional update right before it; so is a load after its wait for
// permission, which may have been long.
func (k *Keeper) send(ctx context.Context, t Target, o *objectapi.Object, w *wireDesired, step Step) (Order, error) {
	if step.Action == Load && k.Loads != nil {
		if err := k.Loads.Take(ctx); err != nil {
			return Order{}, err
		}
	}
	if step.Action.Disruptive() || k.Loads != nil {
		var err error
		if *o, *w, err = k.confirm(ctx, t, *o, *w); err != nil {
			return Order{}, err
		}
	}
	// The update may have taken long, so the lease is checked last.
	if err := k.allowed(t); err != nil {
		return Order{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, k.longest())
	defer cancel()
	order := Order{Fence: o.Version, Action: step.Action, State: step.State, Expires: k.now().Add(k.longest())}
	return order, t.Engine.Order(ctx, order)
}

// confirm writes the desired state again on the version that was read, and returns it with its new version.
func (k *Keeper) confirm(ctx context.Context, t Target, o objectapi.Object, w wireDesired) (objectapi.Object, wireDesired, error) {
	k.mu.Lock()
	k.turn++
	w.Turn = k.turn
	k.mu.Unlock()
	value, err := json.Marshal(w)
	if err != nil {
		return o, w, err
	}
	o.Value = value
	for {
		version, err := k.Store.Put(ctx, o)
		k.counters().written(err)
		var conflict *objectapi.ConflictError
		var ambiguous *objectapi.AmbiguousError
		if err == nil {
			o.Version = version
			return o, w, nil
		}
		if !errors.As(err, &conflict) && !errors.As(err, &ambiguous) {
			return o, w, err
		}
		now, read, readErr := k.read(ctx, t.Name)
		if readErr == nil && now.Version != o.Version {
			if read.Router == w.Router && read.Boot == w.Boot && read.Turn == w.Turn {
				return now, read, k.unchanged(t, w, read)
			}
			return o, w, &SupersededError{Engine: t.Name}
		}
		if err := pause.For(ctx, 100*time.Millisecond); err != nil {
			return o, w, err
		}
		k.counters().Retries.Add(1)
	}
}

// unchanged reports whether the state that the orders were computed from still stands: another router may have set a new one after
// a write of this process whose reply was lost.
func (k *Keeper) unchanged(t Target, want, have wireDesired) error {
	if len(Steps(want.State, have.State)) > 0 || len(Steps(have.State, want.State)) > 0 {
		return &SupersededError{Engine: t.Name}
	}
	return nil
}

func (k *Keeper) read(ctx context.Context, engine string) (objectapi.Object, wireDesired, error) {
	o, err := k.Store.Get(ctx, desiredKind, engine)
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

func (k *Keeper) longest() time.Duration {
	if k.Longest > 0 {
		return k.Longest
	}
	return DefaultLongest
}

func (k *Keeper) now() time.Time {
	if k.Now != nil {
		return k.Now()
	}
	return time.Now()
}

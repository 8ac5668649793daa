package daemon

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"hornbeamstep.example/coord/lease"
	"hornbeamstep.example/coord/reconcile"
	"hornbeamstep.example/coord/sleep"
	"hornbeamstep.example/hornbeamd/engine"
	"hornbeamstep.example/hornbeamd/exchange"
	"hornbeamstep.example/hornbeamd/operator"
	"hornbeamstep.example/policy"
	"hornbeamstep.example/ports/weightstore"
	"hornbeamstep.example/timeline"
)

const (
	// reconcileInterval is the mean time between two comparisons of an owned engine with its
	// desired state.
	reconcileInterval = 5 * time.Second
	// reconcileTimeout limits one reconciliation of an engine; maxParallelReconciles is the number
	// of engines reconciled at a time.
	reconcileTimeout      = 2 * time.Minute
	maxParallelReconciles = 4
	// maxRecentOrders is the number of past orders that are kept for operators.
	maxRecentOrders = 64
)

// reconcileEngines keeps the engines that this router owns in the state that the adapter plan and
// the configuration require. It sends orders only while this router holds a lease.
func (d *Daemon) reconcileEngines(ctx context.Context) error {
	if !d.waitUntilReady(ctx) {
		return nil
	}
	// boot identifies this process among the processes that use the same router name.
	boot := strconv.FormatInt(time.Now().UnixNano(), 36) + strconv.FormatUint(rand.Uint64(), 36)
	for ctx.Err() == nil {
		reconciler := d.newReconciler(boot)
		err := reconciler.run(ctx)
		if ctx.Err() == nil {
			d.Log.Info("order lease ended; acquiring a new one", zap.Error(err))
		}
		_ = sleep.For(ctx, minRetryDelay+rand.N(maxRetryDelay))
	}
	return nil
}

// engineReconciler sends orders to engines for the duration of one lease.
type engineReconciler struct {
	daemon     *Daemon
	holder     *lease.Holder
	observer   *lease.Observer
	reconciler *reconcile.Reconciler
}

func (d *Daemon) newReconciler(boot string) *engineReconciler {
	holder := &lease.Holder{Store: d.store, Router: d.Settings.ID, Boot: boot, Counters: &d.counters.leases}
	observer := &lease.Observer{Store: d.store}
	return &engineReconciler{
		daemon: d, holder: holder, observer: observer,
		reconciler: &reconcile.Reconciler{
			Store: d.store, Lease: holder, Leases: observer, Router: d.Settings.ID, Boot: boot, LoadLimiter: d.newLoadLimiter(),
			Counters: &d.counters.orders,
		},
	}
}

// newLoadLimiter returns a limiter that keeps the rate at which all engines together load artifacts
// within the rate limit of the weight store; nil without a weight store.
func (d *Daemon) newLoadLimiter() reconcile.LoadLimiter {
	if d.Settings.Platform.Weights == "" {
		return nil
	}
	return &loadLimiter{
		store: &weightstore.HTTP{Base: d.Settings.Platform.Weights},
		fleet: &reconcile.FleetLoadLimiter{Store: d.store, Router: d.Settings.ID},
	}
}

// loadLimiter limits the fleet's loads of artifacts to the rate limit of the weight store. It reads
// that rate limit from the catalogue of the store before the first load.
type loadLimiter struct {
	store *weightstore.HTTP
	fleet *reconcile.FleetLoadLimiter

	mu        sync.Mutex
	rateKnown bool
}

// Take implements reconcile.LoadLimiter.
func (l *loadLimiter) Take(ctx context.Context) error {
	if err := l.readRate(ctx); err != nil {
		return err
	}
	return l.fleet.Take(ctx)
}

func (l *loadLimiter) readRate(ctx context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rateKnown {
		return nil
	}
	catalogue, err := l.store.Catalogue(ctx)
	if err != nil {
		return err
	}
	l.fleet.Interval = time.Duration(float64(time.Second) / catalogue.Rate)
	l.rateKnown = true
	return nil
}

// run acquires the lease and reconciles engines until the lease is lost or ctx ends. It returns the
// reason.
func (r *engineReconciler) run(ctx context.Context) error {
	if err := r.acquire(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() { cancel(r.holder.Run(ctx)) }()
	for ctx.Err() == nil {
		if err := r.extendLease(ctx); err == nil {
			r.reconcile(ctx)
		}
		_ = sleep.For(ctx, reconcileInterval/2+rand.N(reconcileInterval))
	}
	releaseCtx, cancelRelease := context.WithTimeout(context.WithoutCancel(ctx), platformCallTimeout)
	defer cancelRelease()
	_ = r.holder.Release(releaseCtx)
	return context.Cause(ctx)
}

// acquire takes the lease. If an earlier process of the same router still holds it, acquire waits
// until that lease expires.
func (r *engineReconciler) acquire(ctx context.Context) error {
	for {
		err := r.holder.Acquire(ctx, r.observer, nil)
		if err == nil || ctx.Err() != nil {
			return err
		}
		wait := maxRetryDelay
		var held *lease.HeldError
		if errors.As(err, &held) {
			wait = max(minRetryDelay, held.Retry)
		}
		_ = sleep.For(ctx, wait+rand.N(minRetryDelay))
	}
}

// extendLease sets the engines of the lease to those that this router owns now if the lease lacks
// one of them. It returns an error if the lease is not valid.
func (r *engineReconciler) extendLease(ctx context.Context) error {
	owned := r.daemon.node.Owners().OwnedEngines()
	for _, name := range owned {
		if !r.holder.Covers(name) {
			return r.holder.SetEngines(ctx, owned)
		}
	}
	return r.holder.Valid()
}

func (r *engineReconciler) reconcile(ctx context.Context) {
	p, owned := r.daemon.loop.Policy(), r.daemon.node.Owners().OwnedEngines()
	if len(owned) == 0 {
		return
	}
	// Read the latest plan each time. The previous owner of an engine may have followed a newer
	// plan than the one that this router read last; with the older plan, this router would unload
	// what the previous owner loaded.
	plan, err := r.daemon.readPlan(ctx)
	if err != nil {
		return
	}
	semaphore := make(chan struct{}, maxParallelReconciles)
	var group sync.WaitGroup
	for _, name := range owned {
		b, ok := p.Backends[name]
		if !ok {
			continue
		}
		group.Add(1)
		semaphore <- struct{}{}
		go func() {
			defer group.Done()
			defer func() { <-semaphore }()
			r.reconcileEngine(ctx, p, b, plan)
		}()
	}
	group.Wait()
}

func (r *engineReconciler) reconcileEngine(ctx context.Context, p policy.Policy, b policy.Backend, plan reconcile.Plan) {
	ctx, cancel := context.WithTimeout(ctx, reconcileTimeout)
	defer cancel()
	want := desiredState(p, b, plan)
	have, _, err := r.reconciler.Desired(ctx, b.Name)
	if err != nil {
		return
	}
	if !statesEqual(want, have) {
		if err := r.reconciler.SetDesired(ctx, b.Name, want); err != nil {
			return
		}
	}
	client := engine.New(b.Name+" orders", b.Address, engine.Options{
		Options: exchange.Options{DialTimeout: r.daemon.Settings.Engine.Connect, MaxIdleConns: 1},
	})
	defer client.Close()
	sent, err := r.reconciler.Reconcile(ctx, reconcile.Target{Name: b.Name, Engine: engineOrders{client: client}, EnforcesFencing: b.Fence})
	for _, o := range sent {
		r.daemon.recordOrder(b.Name, o, err)
	}
}

func statesEqual(a, b reconcile.State) bool {
	return a.Role == b.Role && a.Drain == b.Drain && slices.Equal(a.Loaded, b.Loaded)
}

// joinArtifact returns the artifact with a name and a version, name@version. If the version is
// empty, it returns the name alone. splitArtifact is its inverse.
func joinArtifact(name, version string) string {
	if version == "" {
		return name
	}
	return name + "@" + version
}

// engineOrders adapts the client of an engine to reconcile.Engine.
type engineOrders struct{ client *engine.HTTPClient }

// Order implements reconcile.Engine.
func (o engineOrders) Order(ctx context.Context, order reconcile.Order) error {
	state := order.Argument
	if order.Action == reconcile.Drain {
		state = map[string]string{"true": "on", "false": "off"}[order.Argument]
	}
	result, err := o.client.Order(ctx, engine.Order{Fence: order.Fence, Kind: string(order.Action), State: state, Expires: order.Expires})
	switch {
	case err != nil:
		return err
	case result.Applied:
		return nil
	case result.Fence > order.Fence:
		return &reconcile.StaleError{Fence: order.Fence}
	default:
		return fmt.Errorf("the engine refused the order: %s", result.Reason)
	}
}

// State implements reconcile.Engine.
func (o engineOrders) State(ctx context.Context) (reconcile.State, error) {
	s, err := o.client.State(ctx)
	if err != nil {
		return reconcile.State{}, err
	}
	return reconcile.State{Role: s.Role, Drain: s.Draining}.WithLoaded(s.Models...), nil
}

// recordOrder keeps an order for operators and adds it to the timeline.
func (d *Daemon) recordOrder(name string, o reconcile.Order, err error) {
	entry := operator.Order{
		Engine: name, Kind: string(o.Action), Want: o.Argument, State: "sent", Holder: d.Settings.ID, Fence: o.Fence, Expires: o.Expires,
	}
	if err != nil {
		entry.State, entry.Text = "stopped", err.Error()
	}
	d.ordersMu.Lock()
	d.orders = append(d.orders, entry)
	if len(d.orders) > maxRecentOrders {
		d.orders = slices.Delete(d.orders, 0, 1)
	}
	d.ordersMu.Unlock()
	d.ring.Add(timeline.Event{
		Kind: timeline.Order, Backend: name, Text: fmt.Sprintf("%s %s under fencing number %d", o.Action, o.Argument, o.Fence),
	})
}

// recentOrders returns the most recent orders that this daemon sent, oldest first.
func (d *Daemon) recentOrders() []operator.Order {
	d.ordersMu.Lock()
	defer d.ordersMu.Unlock()
	return slices.Clone(d.orders)
}

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

// reconcileEngines brings the engines that this router owns to the state that plan and
// configuration require, while it holds a lease.
func (d *Daemon) reconcileEngines(ctx context.Context) error {
	if !d.waitUntilReady(ctx) {
		return nil
	}
	boot := strconv.FormatInt(time.Now().UnixNano(), 36) + strconv.FormatUint(rand.Uint64(), 36)
	for ctx.Err() == nil {
		k := d.newReconciler(boot)
		err := k.run(ctx)
		if ctx.Err() == nil {
			d.Log.Info("order lease ended; acquiring a new one", zap.Error(err))
		}
		_ = sleep.For(ctx, minRetryDelay+rand.N(maxRetryDelay))
	}
	return nil
}

// engineReconciler sends orders to engines for the duration of one lease.
type engineReconciler struct {
	daemon   *Daemon
	holder   *lease.Holder
	observer *lease.Observer
	keeper   *reconcile.Reconciler
}

func (d *Daemon) newReconciler(boot string) *engineReconciler {
	holder := &lease.Holder{Store: d.store, Router: d.Settings.ID, Boot: boot, Counters: &d.counters.leases}
	observer := &lease.Observer{Store: d.store}
	return &engineReconciler{
		daemon: d, holder: holder, observer: observer,
		keeper: &reconcile.Reconciler{
			Store: d.store, Lease: holder, Leases: observer, Router: d.Settings.ID, Boot: boot, LoadLimiter: d.newLoadLimiter(),
			Counters: &d.counters.orders,
		},
	}
}

// newLoadLimiter returns a limiter that holds the loads of the whole fleet to the rate of the
// weight store; nil without a weight store.
func (d *Daemon) newLoadLimiter() reconcile.LoadLimiter {
	if d.Settings.Platform.Weights == "" {
		return nil
	}
	return &loadLimiter{
		store: &weightstore.HTTP{Base: d.Settings.Platform.Weights},
		rate:  &reconcile.FleetLoadLimiter{Store: d.store, Router: d.Settings.ID},
	}
}

// loadLimiter limits loads to the rate of the weight store, which it reads before its first use.
type loadLimiter struct {
	store *weightstore.HTTP
	rate  *reconcile.FleetLoadLimiter

	mu        sync.Mutex
	rateKnown bool
}

// Take implements reconcile.LoadLimiter.
func (l *loadLimiter) Take(ctx context.Context) error {
	if err := l.readRate(ctx); err != nil {
		return err
	}
	return l.rate.Take(ctx)
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
	l.rate.Interval = time.Duration(float64(time.Second) / catalogue.Rate)
	l.rateKnown = true
	return nil
}

// run acquires the lease and reconciles engines until the lease is lost.
func (k *engineReconciler) run(ctx context.Context) error {
	if err := k.acquire(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() { cancel(k.holder.Run(ctx)) }()
	for ctx.Err() == nil {
		if err := k.extendLease(ctx); err == nil {
			k.reconcile(ctx)
		}
		_ = sleep.For(ctx, reconcileInterval/2+rand.N(reconcileInterval))
	}
	release, stop := context.WithTimeout(context.WithoutCancel(ctx), checkTimeout)
	defer stop()
	_ = k.holder.Release(release)
	return context.Cause(ctx)
}

// acquire takes the lease. If an earlier process of the same router still holds it, acquire waits
// until that lease expires.
func (k *engineReconciler) acquire(ctx context.Context) error {
	for {
		err := k.holder.Acquire(ctx, k.observer, nil)
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

// extendLease adds the engines that this router owns now to the lease.
func (k *engineReconciler) extendLease(ctx context.Context) error {
	owned := k.daemon.node.Owners().OwnedEngines()
	for _, name := range owned {
		if !k.holder.Covers(name) {
			return k.holder.SetEngines(ctx, owned)
		}
	}
	return k.holder.Valid()
}

func (k *engineReconciler) reconcile(ctx context.Context) {
	p, owned := k.daemon.loop.Policy(), k.daemon.node.Owners().OwnedEngines()
	if len(owned) == 0 {
		return
	}
	// Read the plan each time: a plan older than the one that the previous owner followed would
	// undo its loads.
	plan, err := k.daemon.readPlan(ctx)
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
			k.reconcileEngine(ctx, p, b, plan)
		}()
	}
	group.Wait()
}

func (k *engineReconciler) reconcileEngine(ctx context.Context, p policy.Policy, b policy.Backend, plan reconcile.Plan) {
	ctx, cancel := context.WithTimeout(ctx, reconcileTimeout)
	defer cancel()
	want := desiredState(p, b, plan)
	have, _, err := k.keeper.Desired(ctx, b.Name)
	if err != nil {
		return
	}
	if !statesEqual(want, have) {
		if err := k.keeper.SetDesired(ctx, b.Name, want); err != nil {
			return
		}
	}
	client := engine.New(b.Name+" orders", b.Address, engine.Options{
		Options: exchange.Options{DialTimeout: k.daemon.Settings.Engine.Connect, MaxIdleConns: 1},
	})
	defer client.Close()
	sent, err := k.keeper.Reconcile(ctx, reconcile.Target{Name: b.Name, Engine: engineOrders{client: client}, Fence: b.Fence})
	for _, o := range sent {
		k.daemon.recordOrder(b.Name, o, err)
	}
}

func statesEqual(a, b reconcile.State) bool {
	return a.Role == b.Role && a.Drain == b.Drain && slices.Equal(a.Loaded, b.Loaded)
}

func artifact(name, version string) string {
	if version == "" {
		return name
	}
	return name + "@" + version
}

// engineOrders adapts the client of an engine to reconcile.Engine.
type engineOrders struct{ client *engine.HTTPClient }

// Order implements reconcile.Engine.
func (o engineOrders) Order(ctx context.Context, in reconcile.Order) error {
	state := in.Argument
	if in.Action == reconcile.Drain {
		state = map[string]string{"true": "on", "false": "off"}[in.Argument]
	}
	result, err := o.client.Order(ctx, engine.Order{Fence: in.Fence, Kind: string(in.Action), State: state, Expires: in.Expires})
	switch {
	case err != nil:
		return err
	case result.Applied:
		return nil
	case result.Fence > in.Fence:
		return &reconcile.StaleError{Fence: in.Fence}
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

// latestOrders returns the most recent orders that this daemon sent, oldest first.
func (d *Daemon) latestOrders() []operator.Order {
	d.ordersMu.Lock()
	defer d.ordersMu.Unlock()
	return slices.Clone(d.orders)
}

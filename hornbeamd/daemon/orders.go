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
	"hornbeamstep.example/coord/order"
	"hornbeamstep.example/coord/pause"
	"hornbeamstep.example/hornbeamd/engine"
	"hornbeamstep.example/hornbeamd/exchange"
	"hornbeamstep.example/hornbeamd/operator"
	"hornbeamstep.example/policy"
	"hornbeamstep.example/ports/weightstore"
	"hornbeamstep.example/timeline"
)

const (
	// repairEvery is the time between two looks at the state of an owned engine.
	repairEvery = 5 * time.Second
	// repairLimit is the longest time for one look, and parallelRepairs the number of engines that are looked at together.
	repairLimit     = 2 * time.Minute
	parallelRepairs = 4
	// keptOrders is the number of past orders that operators can see.
	keptOrders = 64
)

// keepEngines brings the engines that this router owns to the state that the plan and the configuration ask for, under a lease.
func (d *Daemon) keepEngines(ctx context.Context) error {
	if !d.joined(ctx) {
		return nil
	}
	boot := strconv.FormatInt(time.Now().UnixNano(), 36) + strconv.FormatUint(rand.Uint64(), 36)
	for ctx.Err() == nil {
		k := d.newKeeper(boot)
		err := k.run(ctx)
		if ctx.Err() == nil {
			d.Log.Info("lease for orders ended", zap.Error(err))
		}
		_ = pause.For(ctx, retryLeast+rand.N(retryMost))
	}
	return nil
}

// keeper gives orders while one lease lasts.
type keeper struct {
	daemon   *Daemon
	holder   *lease.Holder
	observer *lease.Observer
	keeper   *order.Reconciler
}

func (d *Daemon) newKeeper(boot string) *keeper {
	holder := &lease.Holder{Store: d.store, Router: d.Settings.ID, Boot: boot, Counters: &d.counters.leases}
	observer := &lease.Observer{Store: d.store}
	return &keeper{
		daemon: d, holder: holder, observer: observer,
		keeper: &order.Reconciler{
			Store: d.store, Lease: holder, Leases: observer, Router: d.Settings.ID, Boot: boot, LoadLimiter: d.loads(),
			Counters: &d.counters.orders,
		},
	}
}

// loads paces loads at the weight store's rate over the whole fleet; nil without a weight store.
func (d *Daemon) loads() order.LoadLimiter {
	if d.Settings.Platform.Weights == "" {
		return nil
	}
	return &pacer{
		store: &weightstore.HTTP{Base: d.Settings.Platform.Weights},
		rate:  &order.FleetLoadLimiter{Store: d.store, Router: d.Settings.ID},
	}
}

// pacer reads the weight store's rate before its first use.
type pacer struct {
	store *weightstore.HTTP
	rate  *order.FleetLoadLimiter

	mu    sync.Mutex
	known bool
}

// Take implements order.Limiter.
func (p *pacer) Take(ctx context.Context) error {
	if err := p.read(ctx); err != nil {
		return err
	}
	return p.rate.Take(ctx)
}

func (p *pacer) read(ctx context.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.known {
		return nil
	}
	catalogue, err := p.store.Catalogue(ctx)
	if err != nil {
		return err
	}
	p.rate.Interval = time.Duration(float64(time.Second) / catalogue.Rate)
	p.known = true
	return nil
}

// run takes the lease and gives orders until the lease is lost.
func (k *keeper) run(ctx context.Context) error {
	if err := k.acquire(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() { cancel(k.holder.Run(ctx)) }()
	for ctx.Err() == nil {
		if err := k.cover(ctx); err == nil {
			k.repair(ctx)
		}
		_ = pause.For(ctx, repairEvery/2+rand.N(repairEvery))
	}
	release, stop := context.WithTimeout(context.WithoutCancel(ctx), checkLimit)
	defer stop()
	_ = k.holder.Release(release)
	return context.Cause(ctx)
}

// acquire takes the lease once the one of an earlier process with this name has expired.
func (k *keeper) acquire(ctx context.Context) error {
	for {
		err := k.holder.Acquire(ctx, k.observer, nil)
		if err == nil || ctx.Err() != nil {
			return err
		}
		wait := retryMost
		var held *lease.HeldError
		if errors.As(err, &held) {
			wait = max(retryLeast, held.Retry)
		}
		_ = pause.For(ctx, wait+rand.N(retryLeast))
	}
}

// cover puts the engines that this router owns now under the lease.
func (k *keeper) cover(ctx context.Context) error {
	owned := k.daemon.node.Owners().OwnedEngines()
	for _, name := range owned {
		if !k.holder.Covers(name) {
			return k.holder.SetEngines(ctx, owned)
		}
	}
	return k.holder.Valid()
}

func (k *keeper) repair(ctx context.Context) {
	p, owned := k.daemon.loop.Policy(), k.daemon.node.Owners().OwnedEngines()
	if len(owned) == 0 {
		return
	}
	// Read each time: an older plan than the one that the engines' previous owner has followed would undo loads.
	plan, err := k.daemon.readPlan(ctx)
	if err != nil {
		return
	}
	slots := make(chan struct{}, parallelRepairs)
	var group sync.WaitGroup
	for _, name := range owned {
		b, ok := p.Backends[name]
		if !ok {
			continue
		}
		group.Add(1)
		slots <- struct{}{}
		go func() {
			defer group.Done()
			defer func() { <-slots }()
			k.repairEngine(ctx, p, b, plan)
		}()
	}
	group.Wait()
}

func (k *keeper) repairEngine(ctx context.Context, p policy.Policy, b policy.Backend, plan order.Plan) {
	ctx, cancel := context.WithTimeout(ctx, repairLimit)
	defer cancel()
	want := desired(p, b, plan)
	have, _, err := k.keeper.Desired(ctx, b.Name)
	if err != nil {
		return
	}
	if !equalStates(want, have) {
		if err := k.keeper.SetDesired(ctx, b.Name, want); err != nil {
			return
		}
	}
	client := engine.New(b.Name+" orders", b.Address, engine.Options{
		Options: exchange.Options{Dial: k.daemon.Settings.Engine.Connect, Idle: 1},
	})
	defer client.Close()
	sent, err := k.keeper.Reconcile(ctx, order.Target{Name: b.Name, Engine: orders{client: client}, Fence: b.Fence})
	for _, o := range sent {
		k.daemon.ordered(b.Name, o, err)
	}
}

func equalStates(a, b order.State) bool {
	return a.Role == b.Role && a.Drain == b.Drain && slices.Equal(a.Loaded, b.Loaded)
}

func artifact(name, version string) string {
	if version == "" {
		return name
	}
	return name + "@" + version
}

// orders adapts the client of an engine. It implements order.Engine.
type orders struct{ client *engine.HTTP }

// Order implements order.Engine.
func (o orders) Order(ctx context.Context, in order.Order) error {
	state := in.State
	if in.Action == order.Drain {
		state = map[string]string{"true": "on", "false": "off"}[in.State]
	}
	result, err := o.client.Order(ctx, engine.Order{Fence: in.Fence, Kind: string(in.Action), State: state, Expires: in.Expires})
	switch {
	case err != nil:
		return err
	case result.Applied:
		return nil
	case result.Fence > in.Fence:
		return &order.StaleError{Fence: in.Fence}
	default:
		return fmt.Errorf("the engine refused the order: %s", result.Reason)
	}
}

// State implements order.Engine.
func (o orders) State(ctx context.Context) (order.State, error) {
	s, err := o.client.State(ctx)
	if err != nil {
		return order.State{}, err
	}
	return order.State{Role: s.Role, Drain: s.Draining}.WithLoaded(s.Models...), nil
}

// ordered remembers an order for operators.
func (d *Daemon) ordered(name string, o order.Order, err error) {
	seen := operator.Order{
		Engine: name, Kind: string(o.Action), Want: o.State, State: "sent", Holder: d.Settings.ID, Fence: o.Fence, Expires: o.Expires,
	}
	if err != nil {
		seen.State, seen.Text = "stopped", err.Error()
	}
	d.ordersMu.Lock()
	d.orders = append(d.orders, seen)
	if len(d.orders) > keptOrders {
		d.orders = slices.Delete(d.orders, 0, 1)
	}
	d.ordersMu.Unlock()
	d.ring.Add(timeline.Event{
		Kind: timeline.Order, Backend: name, Text: fmt.Sprintf("%s %s under fencing number %d", o.Action, o.State, o.Fence),
	})
}

// latestOrders returns the orders that this daemon gave, oldest first.
func (d *Daemon) latestOrders() []operator.Order {
	d.ordersMu.Lock()
	defer d.ordersMu.Unlock()
	return slices.Clone(d.orders)
}

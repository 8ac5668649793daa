package daemon

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"hornbeamstep.example/coord/lease"
	"hornbeamstep.example/coord/order"
	"hornbeamstep.example/coord/pause"
	"hornbeamstep.example/hornbeamd/control"
	"hornbeamstep.example/hornbeamd/peer"
	"hornbeamstep.example/policy"
	"hornbeamstep.example/ports/weightstore"
	"hornbeamstep.example/timeline"
)

const (
	// plannerLease is the record of the lease under which one router plans. No router has this name.
	plannerLease = "/planner"
	// planEvery is the least time between two plans, and planShare is added for each router, which is asked once for each plan: at
	// 340 routers every 34 s, about 10 questions a second.
	planEvery = 5 * time.Second
	planShare = 100 * time.Millisecond
	// parallelAsks is the number of routers that are asked together.
	parallelAsks = 8
	// askLimit is the longest time for one of them.
	askLimit = time.Second
)

// planAdapters decides what is loaded where, while this router is the one to do so.
func (d *Daemon) planAdapters(ctx context.Context) error {
	if !d.joined(ctx) {
		return nil
	}
	boot := strconv.FormatInt(time.Now().UnixNano(), 36) + strconv.FormatUint(rand.Uint64(), 36)
	observer := &lease.Observer{Store: d.store}
	for ctx.Err() == nil {
		if d.plans() {
			holder := &lease.Holder{Store: d.store, Router: plannerLease, Boot: boot}
			if err := d.planUnder(ctx, holder, observer); err != nil && ctx.Err() == nil {
				d.Log.Debug("planning of adapters stopped", zap.Error(err))
			}
		}
		_ = pause.For(ctx, retryLeast+rand.N(retryMost))
	}
	return nil
}

// plans reports whether this router is the one to plan: the owner of the first engine. The lease, not this rule, keeps a second one
// from planning; the rule keeps all others from asking for the lease.
func (d *Daemon) plans() bool {
	first := ""
	for name, b := range d.loop.Policy().Backends {
		if b.Pool != "" && (first == "" || name < first) {
			first = name
		}
	}
	return first != "" && d.node.Owners().OwnsEngine(first)
}

// planUnder plans until the lease or the turn of this router ends.
func (d *Daemon) planUnder(ctx context.Context, holder *lease.Holder, observer *lease.Observer) error {
	err := holder.Acquire(ctx, observer, nil)
	var held *lease.HeldError
	if errors.As(err, &held) {
		_ = pause.For(ctx, held.Retry)
		return nil
	}
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	renewed := make(chan struct{})
	go func() {
		defer close(renewed)
		cancel(holder.Run(ctx))
	}()
	err = d.planWith(ctx, &order.Planner{Store: d.store, Lease: holder})
	// A renewal behind the release would take the lease again, with nobody to plan under it.
	cancel(nil)
	<-renewed
	release, stop := context.WithTimeout(context.WithoutCancel(ctx), checkLimit)
	defer stop()
	_ = holder.Release(release)
	return err
}

func (d *Daemon) planWith(ctx context.Context, writer *order.Planner) error {
	plan, err := writer.TakeOver(ctx)
	if err != nil {
		return err
	}
	state := newPlanning()
	for d.plans() && ctx.Err() == nil {
		weights, err := d.catalogue(ctx)
		if err == nil {
			next := state.next(time.Now(), d.loop.Policy(), weights, d.gather(ctx), plan)
			if !equalPlans(plan, next) {
				if err := writer.Write(ctx, next); err != nil {
					return err
				}
				d.planned(plan, next)
				plan = next
			}
		}
		_ = pause.For(ctx, planEvery+planShare*time.Duration(d.Members()))
	}
	return context.Cause(ctx)
}

// catalogue returns what the weight store holds; nothing without a weight store.
func (d *Daemon) catalogue(ctx context.Context) (weightstore.Catalogue, error) {
	if d.Settings.Platform.Weights == "" {
		return weightstore.Catalogue{}, nil
	}
	return (&weightstore.HTTP{Base: d.Settings.Platform.Weights}).Catalogue(ctx)
}

// gather adds up what all routers tell. Routers that do not answer are left out.
func (d *Daemon) gather(ctx context.Context) peer.Inventory {
	all := peer.Inventory{Demand: map[string]float64{}, Engines: map[string][]string{}}
	var mu sync.Mutex
	var group sync.WaitGroup
	slots := make(chan struct{}, parallelAsks)
	for _, m := range d.node.Members().Members {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			call, cancel := context.WithTimeout(ctx, askLimit)
			defer cancel()
			in, err := d.node.Inventory(call, m.ID)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			maps.Copy(all.Engines, in.Engines)
			for name, rate := range in.Demand {
				all.Demand[name] += rate
			}
		})
	}
	group.Wait()
	return all
}

// planned records what a plan changes.
func (d *Daemon) planned(before, after order.Plan) {
	for _, name := range slices.Sorted(maps.Keys(after.Engines)) {
		for _, s := range order.Steps(
			order.State{Loaded: after.Engines[name].Loaded}, order.State{Loaded: before.Engines[name].Loaded}) {
			d.ring.Add(timeline.Event{Kind: timeline.Order, Backend: name, Text: "planned: " + string(s.Action) + " " + s.State})
		}
	}
}

func equalPlans(a, b order.Plan) bool {
	return maps.EqualFunc(a.Engines, b.Engines, func(x, y order.EnginePlan) bool {
		return slices.Equal(x.Loaded, y.Loaded) && slices.Equal(x.NotServing, y.NotServing)
	})
}

// followPlan reads the plan for the placement of requests.
func (d *Daemon) followPlan(ctx context.Context) error {
	if !d.joined(ctx) {
		return nil
	}
	for ctx.Err() == nil {
		if _, err := d.readPlan(ctx); err != nil {
			d.Log.Debug("plan could not be read", zap.Error(err))
		}
		_ = pause.For(ctx, planRead/2+rand.N(planRead/2))
	}
	return nil
}

// readPlan returns the plan that stands now, which is read only if its version is a new one. The placement of requests follows it, and
// never goes back to an older one.
func (d *Daemon) readPlan(ctx context.Context) (order.Plan, error) {
	latest, err := order.PlanVersion(ctx, d.store)
	if err != nil {
		return order.Plan{}, err
	}
	d.planMu.Lock()
	defer d.planMu.Unlock()
	if latest <= d.planVersion {
		return d.plan, nil
	}
	plan, version, err := order.ReadPlan(ctx, d.store)
	if err != nil {
		return plan, err
	}
	d.plan, d.planVersion = plan, version
	serving := map[string][]string{}
	for name, p := range plan.Engines {
		serving[name] = p.Serving()
	}
	d.loop.SetServing(serving)
	return plan, nil
}

// inventories tells the planner what this router knows. It implements peer.Inventories.
type inventories struct{ loop *control.Loop }

// Inventory implements peer.Inventories.
func (i inventories) Inventory() peer.Inventory {
	return peer.Inventory{Demand: i.loop.Demand(), Engines: i.loop.LoadedModels()}
}

// desired is what an engine is asked to be: loaded as planned, or with the models of its pool until it is in the plan.
func desired(p policy.Policy, b policy.Backend, plan order.Plan) order.State {
	want := order.State{Drain: b.State == policy.Leaving}
	if planned, ok := plan.Engines[b.Name]; ok {
		return want.WithLoaded(planned.Loaded...)
	}
	var models []string
	for name, m := range p.Models {
		if m.Pool == b.Pool {
			models = append(models, artifact(name, m.Version))
		}
	}
	return want.WithLoaded(models...)
}

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
	"hornbeamstep.example/coord/reconcile"
	"hornbeamstep.example/coord/sleep"
	"hornbeamstep.example/hornbeamd/control"
	"hornbeamstep.example/hornbeamd/peer"
	"hornbeamstep.example/policy"
	"hornbeamstep.example/ports/weightstore"
	"hornbeamstep.example/timeline"
)

const (
	// plannerLease is the name of the lease that a router must hold to plan. Other leases have the
	// names of routers; no router can have this name.
	plannerLease = "/planner"
	// planInterval is the minimum time between two plans. planIntervalPerRouter is added for each
	// router, because the planner calls every router once per plan: with 340 routers it adds 34 s,
	// which makes about 10 calls per second.
	planInterval          = 5 * time.Second
	planIntervalPerRouter = 100 * time.Millisecond
	// maxParallelInventories is the maximum number of concurrent inventory requests.
	maxParallelInventories = 8
	// inventoryTimeout limits the call to one router.
	inventoryTimeout = time.Second
)

// planAdapters decides which models and adapters each engine loads, while this router is the
// planner.
func (d *Daemon) planAdapters(ctx context.Context) error {
	if !d.waitUntilReady(ctx) {
		return nil
	}
	boot := strconv.FormatInt(time.Now().UnixNano(), 36) + strconv.FormatUint(rand.Uint64(), 36)
	observer := &lease.Observer{Store: d.store}
	for ctx.Err() == nil {
		if d.isPlanner() {
			holder := &lease.Holder{Store: d.store, Router: plannerLease, Boot: boot}
			if err := d.planWithLease(ctx, holder, observer); err != nil && ctx.Err() == nil {
				d.Log.Debug("adapter planning stopped", zap.Error(err))
			}
		}
		_ = sleep.For(ctx, minRetryDelay+rand.N(maxRetryDelay))
	}
	return nil
}

// isPlanner reports whether this router owns the first engine by name, and so should plan. The
// lease ensures that only one router plans; this rule only keeps the other routers from requesting
// the lease.
func (d *Daemon) isPlanner() bool {
	firstEngine := ""
	for name, b := range d.loop.Policy().Backends {
		if b.Pool != "" && (firstEngine == "" || name < firstEngine) {
			firstEngine = name
		}
	}
	return firstEngine != "" && d.node.Owners().OwnsEngine(firstEngine)
}

// planWithLease plans until the lease is lost or this router is no longer the planner.
func (d *Daemon) planWithLease(ctx context.Context, holder *lease.Holder, observer *lease.Observer) error {
	err := holder.Acquire(ctx, observer, nil)
	var held *lease.HeldError
	if errors.As(err, &held) {
		_ = sleep.For(ctx, held.Retry)
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
	err = d.runPlanner(ctx, &reconcile.Planner{Store: d.store, Lease: holder})
	// Wait for the renewal to stop. A renewal after the release would acquire the lease again,
	// although this router no longer plans.
	cancel(nil)
	<-renewed
	releaseCtx, cancelRelease := context.WithTimeout(context.WithoutCancel(ctx), platformCallTimeout)
	defer cancelRelease()
	_ = holder.Release(releaseCtx)
	return err
}

func (d *Daemon) runPlanner(ctx context.Context, writer *reconcile.Planner) error {
	plan, err := writer.TakeOver(ctx)
	if err != nil {
		return err
	}
	builder := newPlanBuilder()
	for d.isPlanner() && ctx.Err() == nil {
		weights, err := d.weightCatalogue(ctx)
		if err == nil {
			next := builder.next(time.Now(), d.loop.Policy(), weights, d.collectInventories(ctx), plan)
			if !plansEqual(plan, next) {
				if err := writer.Write(ctx, next); err != nil {
					return err
				}
				d.recordPlanChanges(plan, next)
				plan = next
			}
		}
		_ = sleep.For(ctx, planInterval+planIntervalPerRouter*time.Duration(d.MemberCount()))
	}
	return context.Cause(ctx)
}

// weightCatalogue returns the catalogue of the weight store; it is empty without a weight store.
func (d *Daemon) weightCatalogue(ctx context.Context) (weightstore.Catalogue, error) {
	if d.Settings.Platform.Weights == "" {
		return weightstore.Catalogue{}, nil
	}
	return (&weightstore.HTTP{Base: d.Settings.Platform.Weights}).Catalogue(ctx)
}

// collectInventories merges the inventories of all routers and adds up their demand. Routers that
// do not answer are left out.
func (d *Daemon) collectInventories(ctx context.Context) peer.Inventory {
	all := peer.Inventory{Demand: map[string]float64{}, Engines: map[string][]string{}}
	var mu sync.Mutex
	var group sync.WaitGroup
	semaphore := make(chan struct{}, maxParallelInventories)
	for _, m := range d.node.Members().Members {
		semaphore <- struct{}{}
		group.Go(func() {
			defer func() { <-semaphore }()
			callCtx, cancel := context.WithTimeout(ctx, inventoryTimeout)
			defer cancel()
			in, err := d.node.Inventory(callCtx, m.ID)
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

// recordPlanChanges adds the differences between two plans to the timeline.
func (d *Daemon) recordPlanChanges(before, after reconcile.Plan) {
	for _, name := range slices.Sorted(maps.Keys(after.Engines)) {
		for _, s := range reconcile.Steps(
			reconcile.State{Loaded: after.Engines[name].Loaded}, reconcile.State{Loaded: before.Engines[name].Loaded}) {
			d.ring.Add(timeline.Event{Kind: timeline.Order, Backend: name, Text: "planned: " + string(s.Action) + " " + s.Argument})
		}
	}
}

func plansEqual(a, b reconcile.Plan) bool {
	return maps.EqualFunc(a.Engines, b.Engines, func(x, y reconcile.EnginePlan) bool {
		return slices.Equal(x.Loaded, y.Loaded) && slices.Equal(x.NotServing, y.NotServing)
	})
}

// watchPlan regularly reads the plan and applies it to request placement.
func (d *Daemon) watchPlan(ctx context.Context) error {
	if !d.waitUntilReady(ctx) {
		return nil
	}
	for ctx.Err() == nil {
		if _, err := d.readPlan(ctx); err != nil {
			d.Log.Debug("cannot read the adapter plan", zap.Error(err))
		}
		_ = sleep.For(ctx, planReadInterval/2+rand.N(planReadInterval/2))
	}
	return nil
}

// readPlan returns the current plan and applies it to request placement. It fetches the plan only
// if the store has a newer version than the last fetched one, so it never applies an older plan.
func (d *Daemon) readPlan(ctx context.Context) (reconcile.Plan, error) {
	latest, err := reconcile.PlanVersion(ctx, d.store)
	if err != nil {
		return reconcile.Plan{}, err
	}
	d.planMu.Lock()
	defer d.planMu.Unlock()
	if latest <= d.planVersion {
		return d.plan, nil
	}
	plan, version, err := reconcile.ReadPlan(ctx, d.store)
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

// inventorySource provides the planner with this router's demand and the models and adapters that
// its engines have loaded. It implements peer.Inventories.
type inventorySource struct{ loop *control.Loop }

// Inventory implements peer.Inventories.
func (i inventorySource) Inventory() peer.Inventory {
	return peer.Inventory{Demand: i.loop.Demand(), Engines: i.loop.LoadedModels()}
}

// desiredState returns the desired state of an engine: with the models and adapters that the plan
// assigns to it, or with all models of its pool if the plan lacks the engine.
func desiredState(p policy.Policy, b policy.Backend, plan reconcile.Plan) reconcile.State {
	want := reconcile.State{Drain: b.State == policy.Leaving}
	if planned, ok := plan.Engines[b.Name]; ok {
		return want.WithLoaded(planned.Loaded...)
	}
	var models []string
	for name, m := range p.Models {
		if m.Pool == b.Pool {
			models = append(models, joinArtifact(name, m.Version))
		}
	}
	return want.WithLoaded(models...)
}

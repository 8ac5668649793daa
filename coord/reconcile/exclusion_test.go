package reconcile_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"hornbeamstep.example/coord/lease"
	"hornbeamstep.example/coord/reconcile"
	"hornbeamstep.example/ports/objectapi"
)

// The fixed seed makes test results reproducible; the -rapid.seed flag overrides it.
func init() { _ = flag.Set("rapid.seed", "20261203") }

// orderChecker checks the orders of all routers when they reach the engine.
type orderChecker struct {
	mu         sync.Mutex
	lastRouter string
	// until is when the last order can no longer take effect.
	until        time.Time
	highestFence int64
	// routerChanges is how often an order came from another router than the previous one.
	routerChanges int
	violations    []string
}

// checkedEngine is one router's connection to the engine. An order may take effect until the
// maximum order time after it was sent.
type checkedEngine struct {
	*engine
	checker *orderChecker
	router  string
}

func (e checkedEngine) Order(ctx context.Context, o reconcile.Order) error {
	e.checker.check(e.router, o)
	return e.engine.Order(ctx, o)
}

// check checks an order that reaches the engine.
func (c *orderChecker) check(router string, o reconcile.Order) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.lastRouter != router && now.Before(c.until) {
		c.violations = append(c.violations, fmt.Sprintf("%s sent an order %s before the last order of %s could no longer take effect", router, c.until.Sub(now), c.lastRouter))
	}
	if c.lastRouter != router && c.lastRouter != "" {
		c.routerChanges++
		if o.Fence <= c.highestFence {
			c.violations = append(c.violations, fmt.Sprintf("fencing token %d of %s does not exceed %d of %s", o.Fence, router, c.highestFence, c.lastRouter))
		}
	}
	c.lastRouter, c.until, c.highestFence = router, now.Add(reconcile.DefaultMaxOrderTime), max(c.highestFence, o.Fence)
}

// Guards against two routers that both consider themselves the owner of an engine and send it
// orders at the same time. Schedules and faults are random, and the engine ignores fencing tokens.
func TestOneRouterSendsOrdersAtATime(t *testing.T) {
	routerChanges := 0
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		c := &orderChecker{}
		synctest.Test(t, func(*testing.T) { runRouters(c, seed) })
		routerChanges += c.routerChanges
		if len(c.violations) > 0 {
			rt.Fatalf("%v", c.violations)
		}
	})
	qt.Assert(t, routerChanges > 50, qt.IsTrue)
}

func runRouters(c *orderChecker, seed uint64) {
	m := &objectapi.Memory{}
	m.Inject(objectapi.RandomFaults(seed, objectapi.FaultProbabilities{
		Down: 0.05, Lost: 0.1, Late: 0.1, Behind: 0.05, Slow: 100 * time.Millisecond, Delay: 10 * time.Second,
	}))
	e := &engine{state: before}
	var wg sync.WaitGroup
	for i := range 3 {
		wg.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(i)))
			runRouter(m, checkedEngine{e, c, fmt.Sprint("r-", i)}, random)
		})
	}
	wg.Wait()
	time.Sleep(time.Minute)
}

// runRouter runs a router that at random times claims the engine, changes its desired state, or
// makes no calls for a while.
func runRouter(m *objectapi.Memory, e checkedEngine, random *rand.Rand) {
	h := &lease.Holder{Store: m, Router: e.router, Boot: e.router}
	o := &lease.Observer{Store: m}
	r := &reconcile.Reconciler{Store: m, Lease: h, Leases: o, Router: e.router, Boot: e.router}
	target := reconcile.Target{Name: "e-1", Engine: e}
	for end := time.Now().Add(10 * time.Minute); time.Now().Before(end); {
		call, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		if h.Renew(call) != nil || h.Fence() == 0 {
			_ = h.Acquire(call, o, nil)
		}
		_ = h.SetEngines(call, [][]string{{"e-1"}, {"e-1"}, nil}[random.IntN(3)])
		cancel()
		for range random.IntN(20) {
			call, cancel := context.WithTimeout(context.Background(), 15*time.Second)
			if random.IntN(5) == 0 {
				_ = r.SetDesired(call, "e-1", reconcile.State{Role: fmt.Sprint("role-", random.IntN(1000))})
			}
			_, _ = r.Reconcile(call, target)
			cancel()
			time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
		}
		if random.IntN(3) == 0 {
			time.Sleep(time.Duration(random.IntN(90)) * time.Second)
		}
	}
}

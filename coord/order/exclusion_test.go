package order_test

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
	"hornbeamstep.example/coord/order"
	"hornbeamstep.example/ports/objectapi"
)

// The seed is fixed so that the verdict never varies; the flag on the command line overrides it.
func init() { _ = flag.Set("rapid.seed", "20261203") }

// journal checks the orders of all routers as they reach the engine.
type journal struct {
	mu      sync.Mutex
	last    string
	until   time.Time
	fence   int64
	changes int
	faults  []string
}

// journalled is the engine as one router reaches it. An order may take effect up to the longest order after it was sent.
type journalled struct {
	*engine
	journal *journal
	router  string
}

func (e journalled) Order(ctx context.Context, o order.Order) error {
	e.journal.note(e.router, o)
	return e.engine.Order(ctx, o)
}

// note checks one order that reaches the engine.
func (j *journal) note(router string, o order.Order) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	if j.last != router && now.Before(j.until) {
		j.faults = append(j.faults, fmt.Sprintf("%s orders %s before the orders of %s have ended", router, j.until.Sub(now), j.last))
	}
	if j.last != router && j.last != "" {
		j.changes++
		if o.Fence <= j.fence {
			j.faults = append(j.faults, fmt.Sprintf("fencing number %d of %s follows %d of %s", o.Fence, router, j.fence, j.last))
		}
	}
	j.last, j.until, j.fence = router, now.Add(order.DefaultLongest), max(j.fence, o.Fence)
}

// Guards against two routers with differing views that order one engine at the same time, over random schedules and faults. The engine
// ignores fencing numbers.
func TestOneRouterOrdersAtATime(t *testing.T) {
	changes := 0
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		j := &journal{}
		synctest.Test(t, func(*testing.T) { contend(j, seed) })
		changes += j.changes
		if len(j.faults) > 0 {
			rt.Fatalf("%v", j.faults)
		}
	})
	qt.Assert(t, changes > 50, qt.IsTrue)
}

func contend(j *journal, seed uint64) {
	m := &objectapi.Memory{}
	m.Inject(objectapi.Random(seed, objectapi.Chances{
		Down: 0.05, Lost: 0.1, Late: 0.1, Behind: 0.05, Slow: 100 * time.Millisecond, Delay: 10 * time.Second,
	}))
	e := &engine{state: before}
	var wg sync.WaitGroup
	for i := range 3 {
		wg.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(i)))
			act(m, journalled{e, j, fmt.Sprint("r-", i)}, random)
		})
	}
	wg.Wait()
	time.Sleep(time.Minute)
}

// act is a router that now and then believes that it owns the engine, changes the desired state, and is silent for a while.
func act(m *objectapi.Memory, e journalled, random *rand.Rand) {
	h := &lease.Holder{Store: m, Router: e.router, Boot: e.router}
	o := &lease.Observer{Store: m}
	k := &order.Keeper{Store: m, Lease: h, Leases: o, Router: e.router, Boot: e.router}
	target := order.Target{Name: "e-1", Engine: e}
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
				_ = k.Set(call, "e-1", order.State{Role: fmt.Sprint("role-", random.IntN(1000))})
			}
			_, _ = k.Repair(call, target)
			cancel()
			time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
		}
		if random.IntN(3) == 0 {
			time.Sleep(time.Duration(random.IntN(90)) * time.Second)
		}
	}
}

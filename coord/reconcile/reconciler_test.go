package reconcile_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/coord/lease"
	"hornbeamstep.example/coord/reconcile"
	"hornbeamstep.example/ports/objectapi"
)

var ctx = context.Background()

// engine is a fake engine that applies each order 5 s after it arrived. If fenced, it rejects old
// fencing tokens.
type engine struct {
	fenced bool

	mu      sync.Mutex
	state   reconcile.State
	highest int64
	applied []reconcile.Order
}

func (e *engine) Order(_ context.Context, o reconcile.Order) error {
	e.mu.Lock()
	if e.fenced && o.Fence < e.highest {
		e.mu.Unlock()
		return &reconcile.StaleError{Engine: "e-1", Fence: o.Fence}
	}
	e.highest = max(e.highest, o.Fence)
	e.mu.Unlock()
	time.Sleep(5 * time.Second)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.applied = append(e.applied, o)
	switch o.Action {
	case reconcile.Load:
		e.state = e.state.WithLoaded(append(slices.Clone(e.state.Loaded), o.Argument)...)
	case reconcile.Unload:
		e.state = e.state.WithLoaded(slices.DeleteFunc(slices.Clone(e.state.Loaded), func(s string) bool { return s == o.Argument })...)
	case reconcile.Role:
		e.state.Role = o.Argument
	case reconcile.Drain:
		e.state.Drain = o.Argument == "true"
	}
	return nil
}

func (e *engine) State(context.Context) (reconcile.State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state, nil
}

// pausePoint pauses a process at one of the points before or after its calls to the store and the
// engine, until the test closes resume.
type pausePoint struct {
	// at is the number of the point at which the process pauses, counted from 1; 0 means never.
	// hits counts the points passed so far.
	at, hits int
	// where describes the point at which the process paused.
	where  string
	paused atomic.Bool
	resume chan struct{}
}

func (p *pausePoint) hit(where string) {
	p.hits++
	if p.hits == p.at {
		p.where = where
		p.paused.Store(true)
		<-p.resume
	}
}

type pausedStore struct {
	objectapi.Store
	*pausePoint
}

func (s pausedStore) Put(ctx context.Context, o objectapi.Object) (int64, error) {
	s.hit("before a write")
	v, err := s.Store.Put(context.WithoutCancel(ctx), o)
	s.hit("after a write")
	return v, err
}

func (s pausedStore) Get(ctx context.Context, kind, name string) (objectapi.Object, error) {
	o, err := s.Store.Get(context.WithoutCancel(ctx), kind, name)
	s.hit("after a read")
	return o, err
}

// leaseStore is the store that the process uses for its lease. It blocks writes during the pause,
// so that the lease is not renewed.
type leaseStore struct {
	objectapi.Store
	*pausePoint
}

func (s leaseStore) Put(ctx context.Context, o objectapi.Object) (int64, error) {
	if s.paused.Load() {
		<-s.resume
	}
	return s.Store.Put(ctx, o)
}

type pausedEngine struct {
	*engine
	*pausePoint
}

func (e pausedEngine) Order(ctx context.Context, o reconcile.Order) error {
	e.hit("before an order")
	err := e.engine.Order(ctx, o)
	e.hit("after an order")
	return err
}

func (e pausedEngine) State(ctx context.Context) (reconcile.State, error) {
	s, err := e.engine.State(ctx)
	e.hit("after a read of the engine")
	return s, err
}

// router is a router process whose lease covers e-1.
type router struct {
	reconciler *reconcile.Reconciler
	holder     *lease.Holder
	target     reconcile.Target
}

func newRouter(t *testing.T, name string, s objectapi.Store, e reconcile.Engine, fenced bool) *router {
	h := &lease.Holder{Store: s, Router: name, Boot: name}
	o := &lease.Observer{Store: s}
	qt.Assert(t, h.Acquire(ctx, o, []string{"e-1"}), qt.IsNil)
	r := &reconcile.Reconciler{Store: s, Lease: h, Leases: o, Router: name, Boot: name}
	return &router{reconciler: r, holder: h, target: reconcile.Target{Name: "e-1", Engine: e, EnforcesFencing: fenced}}
}

// reconcileAll repeats Reconcile until the engine is in its desired state, and returns the number
// of orders sent.
func (r *router) reconcileAll(t *testing.T) int {
	sent := 0
	for range 1000 {
		qt.Assert(t, r.holder.Renew(ctx), qt.IsNil)
		orders, err := r.reconciler.Reconcile(ctx, r.target)
		sent += len(orders)
		if err == nil && len(orders) == 0 {
			return sent
		}
		time.Sleep(time.Second)
	}
	t.Fatal("engine did not reach its desired state")
	return 0
}

var (
	before  = reconcile.State{Role: "mixed"}.WithLoaded("old")
	desired = reconcile.State{Role: "prefill"}.WithLoaded("new")
	after   = reconcile.State{Role: "decode", Drain: true}.WithLoaded("newer")
)

// Guards against orders that a router sends when it resumes from a pause, after another router has
// taken over its engine. One run per point pauses the router before or after one of its calls.
func TestRouterPausedAtEveryPoint(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		points := 0
		seen := map[string]int{}
		for at := 0; at <= points; at++ {
			synctest.Test(t, func(t *testing.T) {
				p := &pausePoint{at: at, resume: make(chan struct{})}
				where, stale, final := runWithPause(t, p, fenced)
				if at == 0 {
					// This run has no pause; it counts the possible pause points.
					points = p.hits
					return
				}
				seen[where]++
				name := fmt.Sprintf("fenced %v, point %d, %s", fenced, at, where)
				allowed := 0
				if !fenced && where == "before an order" {
					// One stale order cannot be prevented here: it was about to be sent, and the
					// engine ignores its fencing token.
					allowed = 1
				}
				qt.Assert(t, stale <= allowed, qt.IsTrue, qt.Commentf("%s: %d stale orders", name, stale))
				qt.Assert(t, final, qt.DeepEquals, after, qt.Commentf("%s", name))
			})
		}
		t.Logf("fenced %v: %v", fenced, seen)
		qt.Assert(t, points >= 17, qt.IsTrue)
	}
}

// runWithPause returns where the first router was paused, how many of its orders were applied after
// the second router had brought the engine to its desired state, and the final state of the engine.
func runWithPause(t *testing.T, p *pausePoint, fenced bool) (where string, stale int, state reconcile.State) {
	m := &objectapi.Memory{}
	e := &engine{fenced: fenced, state: before}
	a := newRouter(t, "a", m, pausedEngine{e, p}, fenced)
	qt.Assert(t, a.reconciler.SetDesired(ctx, "e-1", desired), qt.IsNil)
	a.reconciler.Store = pausedStore{m, p}
	a.holder.Store = leaseStore{m, p}
	run, stop := context.WithCancel(ctx)
	go func() { _ = a.holder.Run(run) }()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 {
			_, _ = a.reconciler.Reconcile(ctx, a.target)
		}
	}()
	time.Sleep(45 * time.Second)
	if p.at == 0 {
		// Without a pause the first router stops here by no longer renewing its lease.
		stop()
	}
	b := newRouter(t, "b", m, e, fenced)
	qt.Assert(t, b.reconciler.SetDesired(ctx, "e-1", after), qt.IsNil)
	b.reconcileAll(t)
	e.mu.Lock()
	appliedBefore := len(e.applied)
	e.mu.Unlock()
	close(p.resume)
	<-done
	stop()
	stale = len(e.applied) - appliedBefore
	time.Sleep(time.Minute)
	b.reconcileAll(t)
	return p.where, stale, e.state
}

// Guards against a stale order that the engine accepts after a takeover: if the new router found
// the engine in its desired state and sent no order, the engine would not know the new, higher
// fencing token.
func TestFirstOrderIsSentWithoutDifference(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &objectapi.Memory{}
		e := &engine{fenced: true, state: before}
		p := &pausePoint{at: 2, resume: make(chan struct{})}
		a := newRouter(t, "a", m, pausedEngine{e, p}, true)
		a.reconciler.Counters = &reconcile.Counters{}
		qt.Assert(t, a.reconciler.SetDesired(ctx, "e-1", desired), qt.IsNil)
		done := make(chan error)
		go func() {
			_, err := a.reconciler.Reconcile(ctx, a.target)
			done <- err
		}()
		time.Sleep(time.Second)
		b := newRouter(t, "b", m, e, true)
		qt.Assert(t, b.reconciler.SetDesired(ctx, "e-1", before), qt.IsNil)
		qt.Assert(t, b.reconcileAll(t), qt.Equals, 1)
		close(p.resume)
		var stale *reconcile.StaleError
		qt.Assert(t, errors.As(<-done, &stale), qt.IsTrue)
		qt.Assert(t, a.reconciler.Counters.Fenced.Load(), qt.Equals, int64(1))
		qt.Assert(t, p.where, qt.Equals, "before an order")
		qt.Assert(t, e.state, qt.DeepEquals, before)
	})
}

// Guards against sending orders too soon after the last order of the previous router. An engine
// that ignores fencing tokens could apply orders of both routers at the same time.
func TestWaitsForOrdersOfPreviousRouter(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			m := &objectapi.Memory{}
			e := &engine{fenced: fenced, state: before}
			a := newRouter(t, "a", m, e, fenced)
			qt.Assert(t, a.reconciler.SetDesired(ctx, "e-1", desired), qt.IsNil)
			a.reconcileAll(t)
			b := newRouter(t, "b", m, e, fenced)
			qt.Assert(t, b.reconciler.SetDesired(ctx, "e-1", after), qt.IsNil)
			start := time.Now()
			b.reconcileAll(t)
			first := e.applied[3].Expires.Add(-reconcile.DefaultMaxOrderTime).Sub(start)
			wait := lease.DefaultTerm
			if !fenced {
				wait += reconcile.DefaultMaxOrderTime
			}
			qt.Assert(t, first > wait, qt.IsTrue, qt.Commentf("first order after %s", first))
			// The previous router must not be able to renew its lease late and then send an order
			// that it checked earlier.
			var lost *lease.LostError
			qt.Assert(t, errors.As(a.holder.Renew(ctx), &lost), qt.IsTrue)
		})
	}
}

// Guards against orders to an engine that the router's lease does not cover.
func TestEngineNotCoveredByLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &objectapi.Memory{}
		e := &engine{state: before}
		a := newRouter(t, "a", m, e, false)
		qt.Assert(t, a.reconciler.SetDesired(ctx, "e-1", desired), qt.IsNil)
		qt.Assert(t, a.holder.SetEngines(ctx, []string{"e-2"}), qt.IsNil)
		_, err := a.reconciler.Reconcile(ctx, a.target)
		var waiting *reconcile.WaitingError
		qt.Assert(t, errors.As(err, &waiting), qt.IsTrue)
		qt.Assert(t, e.applied, qt.HasLen, 0)
	})
}

// Guards against disruptive orders that are sent without a conditional update while the object API
// is down.
func TestObjectAPIDownStopsDisruptiveOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &objectapi.Memory{}
		e := &engine{state: before}
		a := newRouter(t, "a", m, e, false)
		qt.Assert(t, a.reconciler.SetDesired(ctx, "e-1", desired), qt.IsNil)
		_, _ = a.reconciler.Reconcile(ctx, a.target)
		time.Sleep(30 * time.Second)
		qt.Assert(t, a.holder.Renew(ctx), qt.IsNil)
		e.state = before
		m.Inject(func(c objectapi.Call) objectapi.Fault { return objectapi.Fault{Unavailable: c.Write()} })
		_, err := a.reconciler.Reconcile(ctx, a.target)
		var unavailable *objectapi.UnavailableError
		qt.Assert(t, errors.As(err, &unavailable), qt.IsTrue)
		qt.Assert(t, e.state, qt.DeepEquals, before)
	})
}

// Guards against a router that does not wait for the orders of the previous router after the reply
// to its takeover write was lost.
func TestWaitsAfterLostTakeoverReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &objectapi.Memory{}
		e := &engine{state: before}
		a := newRouter(t, "a", m, e, false)
		qt.Assert(t, a.reconciler.SetDesired(ctx, "e-1", desired), qt.IsNil)
		a.reconcileAll(t)
		qt.Assert(t, a.holder.Release(ctx), qt.IsNil)
		b := newRouter(t, "b", m, e, false)
		e.state = before
		m.Inject(objectapi.ConstantFault(objectapi.Fault{Lost: true, Slow: time.Second}))
		short, cancel := context.WithTimeout(ctx, 2500*time.Millisecond)
		defer cancel()
		_, err := b.reconciler.Reconcile(short, b.target)
		qt.Assert(t, err, qt.IsNotNil)
		m.Inject(nil)
		_, err = b.reconciler.Reconcile(ctx, b.target)
		var waiting *reconcile.WaitingError
		qt.Assert(t, errors.As(err, &waiting), qt.IsTrue, qt.Commentf("%v", err))
	})
}

// racedStore loses the reply to its first write, and calls afterWrite before the write is read
// back.
type racedStore struct {
	objectapi.Store
	afterWrite func()
}

func (s *racedStore) Put(ctx context.Context, o objectapi.Object) (int64, error) {
	version, err := s.Store.Put(ctx, o)
	if s.afterWrite == nil || err != nil {
		return version, err
	}
	s.afterWrite()
	s.afterWrite = nil
	return 0, &objectapi.AmbiguousError{Cause: context.DeadlineExceeded}
}

// Guards against orders for an outdated desired state, when another router replaces the desired
// state after a write whose reply was lost.
func TestStateChangedDuringLostReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &objectapi.Memory{}
		e := &engine{state: before}
		a, b := newRouter(t, "a", m, e, false), newRouter(t, "b", m, e, false)
		qt.Assert(t, a.reconciler.SetDesired(ctx, "e-1", before), qt.IsNil)
		a.reconcileAll(t)
		qt.Assert(t, a.reconciler.SetDesired(ctx, "e-1", desired), qt.IsNil)
		a.reconciler.Store = &racedStore{m, func() { qt.Assert(t, b.reconciler.SetDesired(ctx, "e-1", before), qt.IsNil) }}
		_, err := a.reconciler.Reconcile(ctx, a.target)
		var superseded *reconcile.SupersededError
		qt.Assert(t, errors.As(err, &superseded), qt.IsTrue, qt.Commentf("%v", err))
		qt.Assert(t, e.state, qt.DeepEquals, before)
	})
}

// Guards against exceeding the weight store's rate limit when many routers load at once.
func TestRateLimitAcrossFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &objectapi.Memory{}
		m.Inject(objectapi.RandomFaults(1, objectapi.FaultProbabilities{Lost: 0.1, Late: 0.1, Behind: 0.1, Slow: 10 * time.Millisecond, Delay: time.Second}))
		var mu sync.Mutex
		var taken []time.Time
		var wg sync.WaitGroup
		for i := range 20 {
			wg.Go(func() {
				r := &reconcile.FleetLoadLimiter{Store: m, Interval: 2 * time.Second, Router: fmt.Sprint("r-", i)}
				for range 2 {
					qt.Check(t, r.Take(ctx), qt.IsNil)
					mu.Lock()
					taken = append(taken, time.Now())
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		qt.Assert(t, taken, qt.HasLen, 40)
		for i := 1; i < len(taken); i++ {
			// The reply to a write arrives up to 5 ms after the write took effect.
			qt.Assert(t, taken[i].Sub(taken[i-1]) >= 2*time.Second-5*time.Millisecond, qt.IsTrue)
		}
		time.Sleep(time.Minute)
	})
}

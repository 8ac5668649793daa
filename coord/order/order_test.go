package order_test

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
	"hornbeamstep.example/coord/order"
	"hornbeamstep.example/ports/objectapi"
)

var ctx = context.Background()

// engine applies each order 5 s after it arrived. It may refuse old fencing numbers.
type engine struct {
	fenced bool

	mu      sync.Mutex
	state   order.State
	highest int64
	applied []order.Order
}

func (e *engine) Order(_ context.Context, o order.Order) error {
	e.mu.Lock()
	if e.fenced && o.Fence < e.highest {
		e.mu.Unlock()
		return &order.StaleError{Engine: "e-1", Fence: o.Fence}
	}
	e.highest = max(e.highest, o.Fence)
	e.mu.Unlock()
	time.Sleep(5 * time.Second)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.applied = append(e.applied, o)
	switch o.Action {
	case order.Load:
		e.state = e.state.WithLoaded(append(slices.Clone(e.state.Loaded), o.State)...)
	case order.Unload:
		e.state = e.state.WithLoaded(slices.DeleteFunc(slices.Clone(e.state.Loaded), func(s string) bool { return s == o.State })...)
	case order.Role:
		e.state.Role = o.State
	case order.Drain:
		e.state.Drain = o.State == "true"
	}
	return nil
}

func (e *engine) State(context.Context) (order.State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state, nil
}

// pause stops a process at its n-th exchange with the outside, until the test lets it go on.
type pause struct {
	at, hits int
	where    string
	frozen   atomic.Bool
	resume   chan struct{}
}

func (p *pause) hit(where string) {
	p.hits++
	if p.hits == p.at {
		p.where = where
		p.frozen.Store(true)
		<-p.resume
	}
}

type pausedStore struct {
	objectapi.Store
	*pause
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

// frozenStore is the store of the process's lease, which is not renewed during the pause.
type frozenStore struct {
	objectapi.Store
	*pause
}

func (s frozenStore) Put(ctx context.Context, o objectapi.Object) (int64, error) {
	if s.frozen.Load() {
		<-s.resume
	}
	return s.Store.Put(ctx, o)
}

type pausedEngine struct {
	*engine
	*pause
}

func (e pausedEngine) Order(ctx context.Context, o order.Order) error {
	e.hit("before an order")
	err := e.engine.Order(ctx, o)
	e.hit("after an order")
	return err
}

func (e pausedEngine) State(ctx context.Context) (order.State, error) {
	s, err := e.engine.State(ctx)
	e.hit("after a read of the engine")
	return s, err
}

// router is one process with its lease over e-1.
type router struct {
	keeper *order.Keeper
	holder *lease.Holder
	target order.Target
}

func newRouter(t *testing.T, name string, s objectapi.Store, e order.Engine, fenced bool) *router {
	h := &lease.Holder{Store: s, Router: name, Boot: name}
	o := &lease.Observer{Store: s}
	qt.Assert(t, h.Acquire(ctx, o, []string{"e-1"}), qt.IsNil)
	k := &order.Keeper{Store: s, Lease: h, Leases: o, Router: name, Boot: name}
	return &router{keeper: k, holder: h, target: order.Target{Name: "e-1", Engine: e, Fence: fenced}}
}

// settle repairs until nothing differs, and returns the number of orders.
func (r *router) settle(t *testing.T) int {
	sent := 0
	for range 1000 {
		qt.Assert(t, r.holder.Renew(ctx), qt.IsNil)
		orders, err := r.keeper.Repair(ctx, r.target)
		sent += len(orders)
		if err == nil && len(orders) == 0 {
			return sent
		}
		time.Sleep(time.Second)
	}
	t.Fatal("engine was not brought to its desired state")
	return 0
}

var (
	before = order.State{Role: "mixed"}.WithLoaded("old")
	want   = order.State{Role: "prefill"}.WithLoaded("new")
	after  = order.State{Role: "decode", Drain: true}.WithLoaded("newer")
)

// Guards against orders of a router that was paused at any point, given after another router took its engine over.
func TestPausedHolderAtEveryPoint(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		points := 0
		seen := map[string]int{}
		for at := 0; at <= points; at++ {
			synctest.Test(t, func(t *testing.T) {
				p := &pause{at: at, resume: make(chan struct{})}
				where, stale, repaired := playPause(t, p, fenced)
				if at == 0 {
					// Nothing is paused, which counts the points.
					points = p.hits
					return
				}
				seen[where]++
				name := fmt.Sprintf("fenced %v, point %d, %s", fenced, at, where)
				allowed := 0
				if !fenced && where == "before an order" {
					// The one case that remains: the order was about to be sent, and the engine ignores its fencing number.
					allowed = 1
				}
				qt.Assert(t, stale <= allowed, qt.IsTrue, qt.Commentf("%s: %d stale orders", name, stale))
				qt.Assert(t, repaired, qt.DeepEquals, after, qt.Commentf("%s", name))
			})
		}
		t.Logf("fenced %v: %v", fenced, seen)
		qt.Assert(t, points >= 17, qt.IsTrue)
	}
}

// playPause returns where the first router was paused, the number of its orders that were applied after the first order of the
// second one, and the engine's state in the end.
func playPause(t *testing.T, p *pause, fenced bool) (where string, stale int, state order.State) {
	m := &objectapi.Memory{}
	e := &engine{fenced: fenced, state: before}
	a := newRouter(t, "a", m, pausedEngine{e, p}, fenced)
	qt.Assert(t, a.keeper.Set(ctx, "e-1", want), qt.IsNil)
	a.keeper.Store = pausedStore{m, p}
	a.holder.Store = frozenStore{m, p}
	run, stop := context.WithCancel(ctx)
	go func() { _ = a.holder.Run(run) }()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 {
			_, _ = a.keeper.Repair(ctx, a.target)
		}
	}()
	time.Sleep(45 * time.Second)
	if p.at == 0 {
		// Without a pause the first router goes on until it stops its renewals.
		stop()
	}
	b := newRouter(t, "b", m, e, fenced)
	qt.Assert(t, b.keeper.Set(ctx, "e-1", after), qt.IsNil)
	b.settle(t)
	e.mu.Lock()
	mark := len(e.applied)
	e.mu.Unlock()
	close(p.resume)
	<-done
	stop()
	stale = len(e.applied) - mark
	time.Sleep(time.Minute)
	b.settle(t)
	return p.where, stale, e.state
}

// Guards against a stale order that an engine accepts because the new router had nothing to order, and so sent no higher number.
func TestFenceIsRaisedWithoutDifference(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &objectapi.Memory{}
		e := &engine{fenced: true, state: before}
		p := &pause{at: 2, resume: make(chan struct{})}
		a := newRouter(t, "a", m, pausedEngine{e, p}, true)
		a.keeper.Counters = &order.Counters{}
		qt.Assert(t, a.keeper.Set(ctx, "e-1", want), qt.IsNil)
		done := make(chan error)
		go func() {
			_, err := a.keeper.Repair(ctx, a.target)
			done <- err
		}()
		time.Sleep(time.Second)
		b := newRouter(t, "b", m, e, true)
		qt.Assert(t, b.keeper.Set(ctx, "e-1", before), qt.IsNil)
		qt.Assert(t, b.settle(t), qt.Equals, 1)
		close(p.resume)
		var stale *order.StaleError
		qt.Assert(t, errors.As(<-done, &stale), qt.IsTrue)
		qt.Assert(t, a.keeper.Counters.Fenced.Load(), qt.Equals, int64(1))
		qt.Assert(t, p.where, qt.Equals, "before an order")
		qt.Assert(t, e.state, qt.DeepEquals, before)
	})
}

// Guards against orders that follow the previous router's last one too soon, which an engine that ignores fencing numbers would mix.
func TestWaitsForEarlierOrders(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			m := &objectapi.Memory{}
			e := &engine{fenced: fenced, state: before}
			a := newRouter(t, "a", m, e, fenced)
			qt.Assert(t, a.keeper.Set(ctx, "e-1", want), qt.IsNil)
			a.settle(t)
			b := newRouter(t, "b", m, e, fenced)
			qt.Assert(t, b.keeper.Set(ctx, "e-1", after), qt.IsNil)
			start := time.Now()
			b.settle(t)
			first := e.applied[3].Expires.Add(-order.DefaultLongest).Sub(start)
			wait := lease.DefaultTerm
			if !fenced {
				wait += order.DefaultLongest
			}
			qt.Assert(t, first > wait, qt.IsTrue, qt.Commentf("first order after %s", first))
			// The previous router can not renew its lease late and then send what it had checked before.
			var lost *lease.LostError
			qt.Assert(t, errors.As(a.holder.Renew(ctx), &lost), qt.IsTrue)
		})
	}
}

// Guards against orders to an engine that is not under the router's lease.
func TestEngineOutsideTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &objectapi.Memory{}
		e := &engine{state: before}
		a := newRouter(t, "a", m, e, false)
		qt.Assert(t, a.keeper.Set(ctx, "e-1", want), qt.IsNil)
		qt.Assert(t, a.holder.SetEngines(ctx, []string{"e-2"}), qt.IsNil)
		_, err := a.keeper.Repair(ctx, a.target)
		var waiting *order.WaitingError
		qt.Assert(t, errors.As(err, &waiting), qt.IsTrue)
		qt.Assert(t, e.applied, qt.HasLen, 0)
	})
}

// Guards against disruptive orders without a fresh write, while the object API is down.
func TestObjectAPIDownStopsDisruptiveOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &objectapi.Memory{}
		e := &engine{state: before}
		a := newRouter(t, "a", m, e, false)
		qt.Assert(t, a.keeper.Set(ctx, "e-1", want), qt.IsNil)
		_, _ = a.keeper.Repair(ctx, a.target)
		time.Sleep(30 * time.Second)
		qt.Assert(t, a.holder.Renew(ctx), qt.IsNil)
		e.state = before
		m.Inject(func(c objectapi.Call) objectapi.Fault { return objectapi.Fault{Down: c.Write()} })
		_, err := a.keeper.Repair(ctx, a.target)
		var unavailable *objectapi.UnavailableError
		qt.Assert(t, errors.As(err, &unavailable), qt.IsTrue)
		qt.Assert(t, e.state, qt.DeepEquals, before)
	})
}

// Guards against a takeover whose reply was lost, after which the wait for earlier orders was left out.
func TestLostTakeoverStillWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &objectapi.Memory{}
		e := &engine{state: before}
		a := newRouter(t, "a", m, e, false)
		qt.Assert(t, a.keeper.Set(ctx, "e-1", want), qt.IsNil)
		a.settle(t)
		qt.Assert(t, a.holder.Release(ctx), qt.IsNil)
		b := newRouter(t, "b", m, e, false)
		e.state = before
		m.Inject(objectapi.Always(objectapi.Fault{Lost: true, Slow: time.Second}))
		short, cancel := context.WithTimeout(ctx, 2500*time.Millisecond)
		defer cancel()
		_, err := b.keeper.Repair(short, b.target)
		qt.Assert(t, err, qt.IsNotNil)
		m.Inject(nil)
		_, err = b.keeper.Repair(ctx, b.target)
		var waiting *order.WaitingError
		qt.Assert(t, errors.As(err, &waiting), qt.IsTrue, qt.Commentf("%v", err))
	})
}

// racedStore loses the reply of its first write, and lets something happen before the write is read back.
type racedStore struct {
	objectapi.Store
	then func()
}

func (s *racedStore) Put(ctx context.Context, o objectapi.Object) (int64, error) {
	version, err := s.Store.Put(ctx, o)
	if s.then == nil || err != nil {
		return version, err
	}
	s.then()
	s.then = nil
	return 0, &objectapi.AmbiguousError{Cause: context.DeadlineExceeded}
}

// Guards against orders of a state that another router replaced while the reply of the write before them was lost.
func TestStateSetWhileReplyWasLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &objectapi.Memory{}
		e := &engine{state: before}
		a, b := newRouter(t, "a", m, e, false), newRouter(t, "b", m, e, false)
		qt.Assert(t, a.keeper.Set(ctx, "e-1", before), qt.IsNil)
		a.settle(t)
		qt.Assert(t, a.keeper.Set(ctx, "e-1", want), qt.IsNil)
		a.keeper.Store = &racedStore{m, func() { qt.Assert(t, b.keeper.Set(ctx, "e-1", before), qt.IsNil) }}
		_, err := a.keeper.Repair(ctx, a.target)
		var superseded *order.SupersededError
		qt.Assert(t, errors.As(err, &superseded), qt.IsTrue, qt.Commentf("%v", err))
		qt.Assert(t, e.state, qt.DeepEquals, before)
	})
}

// Guards against loads that exceed the weight store's rate when many routers load at once.
func TestRateOverTheFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &objectapi.Memory{}
		m.Inject(objectapi.Random(1, objectapi.Chances{Lost: 0.1, Late: 0.1, Behind: 0.1, Slow: 10 * time.Millisecond, Delay: time.Second}))
		var mu sync.Mutex
		var taken []time.Time
		var wg sync.WaitGroup
		for i := range 20 {
			wg.Go(func() {
				r := &order.Rate{Store: m, Interval: 2 * time.Second, Router: fmt.Sprint("r-", i)}
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
			// The reply to a write takes up to 5 ms more than its effect.
			qt.Assert(t, taken[i].Sub(taken[i-1]) >= 2*time.Second-5*time.Millisecond, qt.IsTrue)
		}
		time.Sleep(time.Minute)
	})
}

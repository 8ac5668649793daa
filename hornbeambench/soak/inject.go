package soak

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"hornbeamstep.example/platform/standin"
)

// Times of what the operator does.
const (
	// restartAfter is the time after the end of a process until it is started again.
	restartAfter = 300 * time.Millisecond
	// endAfter is the time from a server's leaving to its end: it serves for longer than routers may send it requests.
	endAfter = drainBound + time.Second
	// linkDelay is the greatest delay of a slow link.
	linkDelay = 150 * time.Millisecond
)

// inject makes one event happen and returns when it is over.
func (w *world) inject(ctx context.Context, e event) error {
	r := w.routers[e.Target%len(w.routers)]
	switch e.Kind {
	case killRouter:
		return w.restart(ctx, []*router{r}, syscall.SIGKILL, e)
	case killAll:
		return w.restart(ctx, w.routers, syscall.SIGKILL, e)
	case stopRouter:
		return w.restart(ctx, []*router{r}, syscall.SIGTERM, e)
	case rollRouters:
		for _, r := range w.routers {
			if err := w.restart(ctx, []*router{r}, syscall.SIGTERM, e); err != nil {
				return err
			}
		}
		return nil
	case pauseRouter:
		return w.during(ctx, e, trouble{Router: r.id}, func() { r.current().signal(syscall.SIGSTOP) }, func() { r.current().signal(syscall.SIGCONT) })
	case reloadRouter:
		end := w.evidence.suffer(trouble{Kind: e.Kind, Router: r.id, Planned: true})
		defer end()
		if err := w.writeSettings(r); err != nil {
			return err
		}
		r.current().signal(syscall.SIGHUP)
		return nil
	case cutStore, cutStoreBack, slowStore, refuseStore, silentStore, pauseStore, compactStore:
		return w.disturbStore(ctx, e, r)
	case resetCallers:
		return w.during(ctx, event{Kind: e.Kind}, trouble{Router: r.id}, r.callers.reset, func() {})
	case silentCallers:
		lost := []direction{forth, back, both}[e.Strength%3]
		return w.during(ctx, e, trouble{Router: r.id}, func() { r.callers.impair(lost, 0) }, func() { r.callers.impair(none, 0) })
	case changeConfig:
		w.toggleKey()
		return w.configure()
	case foreignEntry:
		w.mu.Lock()
		defer w.mu.Unlock()
		_, err := w.order(order{Put: "servers/foreign", Spec: []string{`null`, `"text"`, `{"service":5}`, `[1,2]`}[e.Strength%4]})
		return err
	}
	return w.disturbServer(ctx, e)
}

// during starts a fault and ends it after its time.
func (w *world) during(ctx context.Context, e event, t trouble, begin, end func()) error {
	t.Kind = e.Kind
	over := w.evidence.suffer(t)
	defer over()
	begin()
	pause(ctx, e.For)
	end()
	return nil
}

// restart ends routers by a signal and starts them again.
func (w *world) restart(ctx context.Context, routers []*router, s syscall.Signal, e event) error {
	var all sync.WaitGroup
	failed := make(chan error, len(routers))
	for _, r := range routers {
		all.Go(func() { failed <- w.restartOne(ctx, r, s, e) })
	}
	all.Wait()
	close(failed)
	for err := range failed {
		if err != nil {
			return err
		}
	}
	return nil
}

// restartOne ends a router and starts it again. A router that is being restarted gets no second SIGTERM, as the platform sends one
// only, but may be killed before it has ended.
func (w *world) restartOne(ctx context.Context, r *router, s syscall.Signal, e event) error {
	first := r.restarting.CompareAndSwap(false, true)
	if !first && s == syscall.SIGTERM {
		return nil
	}
	defer w.evidence.suffer(trouble{Kind: e.Kind, Router: r.id, Planned: s == syscall.SIGTERM})()
	process := r.current()
	process.signal(s)
	if !first {
		return nil
	}
	defer r.restarting.Store(false)
	select {
	case <-process.ended:
	case <-time.After(graceBound + 500*time.Millisecond):
		// The platform ends what is still there after the grace.
		process.kill()
	}
	pause(ctx, restartAfter+e.For/4)
	return w.startRouter(r)
}

// disturbStore injects faults into the store or the path of one router to it.
func (w *world) disturbStore(ctx context.Context, e event, r *router) error {
	t := trouble{Store: true}
	ordered := func(o order) func() {
		return func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			// A store that does not answer is seen by what comes next.
			_, _ = w.order(o)
		}
	}
	some := []string{r.id, w.routers[(e.Target+1)%len(w.routers)].id}
	switch e.Kind {
	case cutStore:
		return w.during(ctx, e, trouble{Router: r.id}, func() { r.store.impair(both, 0) }, func() { r.store.impair(none, 0) })
	case cutStoreBack:
		return w.during(ctx, e, trouble{Router: r.id}, func() { r.store.impair(back, 0) }, func() { r.store.impair(none, 0) })
	case slowStore:
		delay := linkDelay * time.Duration(1+e.Strength%3)
		return w.during(ctx, e, t, func() { w.eachStoreLink(none, delay) }, func() { w.eachStoreLink(none, 0) })
	case refuseStore:
		refuse := order{Refuse: some}
		if e.Strength%2 == 0 {
			refuse = order{Mute: some}
		}
		return w.during(ctx, e, t, ordered(refuse), ordered(order{}))
	case silentStore:
		return w.during(ctx, e, t, ordered(order{Silent: true}), ordered(order{}))
	case pauseStore:
		// The operator waits for the store, as its callers do.
		return w.during(ctx, e, t, func() { w.store.signal(syscall.SIGSTOP) }, func() { w.store.signal(syscall.SIGCONT) })
	default:
		return w.during(ctx, event{Kind: e.Kind}, t, ordered(order{Compact: true}), func() {})
	}
}

func (w *world) eachStoreLink(lost direction, delay time.Duration) {
	for _, r := range w.routers {
		r.store.impair(lost, delay)
	}
}

func (w *world) toggleKey() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if slices.Contains(w.keys, changingKey) {
		w.keys = []string{lastingKey}
	} else {
		w.keys = []string{lastingKey, changingKey}
	}
}

// choose returns a server that stays; nil if there is none.
func (w *world) choose(target int) *server {
	w.mu.Lock()
	defer w.mu.Unlock()
	staying := slices.DeleteFunc(slices.Clone(w.servers), func(s *server) bool { return s.leaving })
	if len(staying) == 0 {
		return nil
	}
	return staying[target%len(staying)]
}

// disturbServer injects faults into a backend server or the path to it, or replaces it.
func (w *world) disturbServer(ctx context.Context, e event) error {
	s := w.choose(e.Target)
	if s == nil {
		return nil
	}
	t := trouble{Server: s.id}
	fault := func(f standin.Fault) func() {
		// A server that has ended has no faults.
		return func() { _ = s.process.send(order{Fault: f}) }
	}
	switch e.Kind {
	case killServer:
		t.Kind = e.Kind
		over := w.evidence.suffer(t)
		defer over()
		s.process.kill()
		pause(ctx, restartAfter+e.For)
		w.mu.Lock()
		defer w.mu.Unlock()
		if s.leaving {
			return nil
		}
		return w.startServer(s)
	case pauseServer:
		return w.during(ctx, e, t, func() { s.process.signal(syscall.SIGSTOP) }, func() { s.process.signal(syscall.SIGCONT) })
	case faultyServer:
		faults := []standin.Fault{standin.Fail, standin.Shed, standin.DropResponse, standin.TruncateResponse, standin.Hang}
		return w.during(ctx, e, t, fault(faults[e.Strength%len(faults)]), fault(standin.NoFault))
	case resetServer:
		return w.during(ctx, event{Kind: e.Kind}, t, s.link.reset, func() {})
	case cutServer:
		lost := []direction{forth, back, both}[e.Strength%3]
		return w.during(ctx, e, t, func() { s.link.impair(lost, 0) }, func() { s.link.impair(none, 0) })
	case slowServer:
		return w.during(ctx, e, t, func() { s.link.impair(none, linkDelay) }, func() { s.link.impair(none, 0) })
	case drainServer:
		return w.drain(ctx, s, e.Strength%2 == 0)
	}
	return fmt.Errorf("unknown kind of event %q", e.Kind)
}

// drain replaces a server by a new one. Some servers announce that they leave, others are just removed from the store.
func (w *world) drain(ctx context.Context, s *server, announced bool) error {
	if err := w.addServer(s.service); err != nil {
		return err
	}
	w.mu.Lock()
	s.leaving = true
	o := order{Delete: "servers/" + s.id}
	if announced {
		o = order{Put: "servers/" + s.id, Spec: s.entry("draining")}
	}
	acked, err := w.order(o)
	w.mu.Unlock()
	if err != nil {
		return err
	}
	w.evidence.mu.Lock()
	w.evidence.departures = append(w.evidence.departures, departure{Server: s.id, Acked: acked})
	w.evidence.mu.Unlock()
	pause(ctx, endAfter)
	over := w.evidence.suffer(trouble{Kind: drainServer, Server: s.id})
	defer over()
	if announced {
		w.mu.Lock()
		_, err = w.order(order{Delete: "servers/" + s.id})
		w.mu.Unlock()
	}
	s.process.kill()
	return err
}

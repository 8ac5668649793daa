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

const (
	// restartDelay is the minimum time from the exit of a process to its restart.
	restartDelay = 300 * time.Millisecond
	// drainTime is the time from marking a backend server as draining, or deleting its entry, until
	// the soak kills the server. The server then runs 1 s longer than routers may start requests on
	// it.
	drainTime = maxDrainDelay + time.Second
	// networkDelay is the delay of a slow connection to a backend server. The delay of a slow
	// connection to the store is one to three times as long.
	networkDelay = 150 * time.Millisecond
)

// inject injects the fault or does the planned work of an event, and returns when the event is
// over.
func (tb *testbed) inject(ctx context.Context, e event) error {
	r := tb.routers[e.Target%len(tb.routers)]
	switch e.Kind {
	case killRouter:
		return tb.restartRouters(ctx, []*router{r}, syscall.SIGKILL, e)
	case killAllRouters:
		return tb.restartRouters(ctx, tb.routers, syscall.SIGKILL, e)
	case stopRouter:
		return tb.restartRouters(ctx, []*router{r}, syscall.SIGTERM, e)
	case rollingRestart:
		for _, r := range tb.routers {
			if err := tb.restartRouters(ctx, []*router{r}, syscall.SIGTERM, e); err != nil {
				return err
			}
		}
		return nil
	case pauseRouter:
		return tb.injectFor(ctx, e, disruption{Router: r.id}, func() { r.currentProcess().signal(syscall.SIGSTOP) }, func() { r.currentProcess().signal(syscall.SIGCONT) })
	case reloadSettings:
		end := tb.observations.beginDisruption(disruption{Kind: e.Kind, Router: r.id, Planned: true})
		defer end()
		if err := tb.writeSettings(r); err != nil {
			return err
		}
		r.currentProcess().signal(syscall.SIGHUP)
		return nil
	case restoreStore:
		return tb.restoreStore(ctx, e)
	case blackholeStore, dropStoreResponses, delayStore, failTwoRouters, unresponsiveStore, pauseStore, compactStore:
		return tb.injectStoreFault(ctx, e, r)
	case resetCallerConnections:
		return tb.injectFor(ctx, event{Kind: e.Kind}, disruption{Router: r.id}, r.callerProxy.reset, func() {})
	case blackholeCallers:
		dropped := []direction{clientToServer, serverToClient, bothDirections}[e.Variant%3]
		return tb.injectFor(ctx, e, disruption{Router: r.id}, func() { r.callerProxy.setFault(dropped, 0) }, func() { r.callerProxy.setFault(noDirection, 0) })
	case changeConfig:
		tb.toggleKey()
		return tb.writeConfig()
	case changeTimeouts:
		tb.toggleTimeouts()
		return tb.writeConfig()
	case silenceServer:
		return tb.silenceServers(ctx, e)
	case limitServers:
		return tb.limitServers(ctx, e)
	case releaseServers:
		return tb.release(ctx, e)
	case makeBrittle:
		return tb.makeBrittle(ctx, e)
	case evacuateZone:
		return tb.evacuateZone(ctx, e)
	case returnCold:
		return tb.returnCold(ctx, e)
	case putMalformedEntry:
		tb.mu.Lock()
		defer tb.mu.Unlock()
		_, err := tb.instructStore(instruction{Put: "servers/foreign", Spec: []string{`null`, `"text"`, `{"service":5}`, `[1,2]`}[e.Variant%4]})
		return err
	}
	return tb.injectServerFault(ctx, e)
}

// injectFor begins a fault, ends it after the duration of the event, and records the disruption.
// The event has no duration for a fault that is over at once, such as a connection reset.
func (tb *testbed) injectFor(ctx context.Context, e event, d disruption, begin, end func()) error {
	d.Kind = e.Kind
	endDisruption := tb.observations.beginDisruption(d)
	defer endDisruption()
	begin()
	sleep(ctx, e.Duration)
	end()
	return nil
}

// restartRouters sends a signal to several routers at the same time and starts each one again after
// its exit.
func (tb *testbed) restartRouters(ctx context.Context, routers []*router, s syscall.Signal, e event) error {
	var restarts sync.WaitGroup
	errs := make(chan error, len(routers))
	for _, r := range routers {
		restarts.Go(func() { errs <- tb.restartRouter(ctx, r, s, e) })
	}
	restarts.Wait()
	close(errs)
	for err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// restartRouter ends a router by a signal and starts it again. A router that is already being
// restarted receives no second SIGTERM, because the platform sends only one. It may still receive
// SIGKILL before it has exited.
func (tb *testbed) restartRouter(ctx context.Context, r *router, s syscall.Signal, e event) error {
	first := r.restarting.CompareAndSwap(false, true)
	if !first && s == syscall.SIGTERM {
		return nil
	}
	defer tb.observations.beginDisruption(disruption{Kind: e.Kind, Router: r.id, Planned: s == syscall.SIGTERM})()
	process := r.currentProcess()
	process.signal(s)
	if !first {
		return nil
	}
	defer r.restarting.Store(false)
	select {
	case <-process.exited:
	case <-time.After(gracePeriod + 500*time.Millisecond):
		// The platform kills processes that are still running after the grace period.
		process.kill()
	}
	sleep(ctx, restartDelay+e.Duration/4)
	return tb.startRouter(r)
}

// injectStoreFault injects a fault into the store or into the connections of routers to it.
func (tb *testbed) injectStoreFault(ctx context.Context, e event, r *router) error {
	d := disruption{Store: true}
	instruct := func(i instruction) func() {
		return func() {
			tb.mu.Lock()
			defer tb.mu.Unlock()
			// The error is ignored here: if the store does not respond, the next change of the
			// configuration or of a server entry reports the error.
			_, _ = tb.instructStore(i)
		}
	}
	twoRouters := []string{r.id, tb.routers[(e.Target+1)%len(tb.routers)].id}
	switch e.Kind {
	case blackholeStore:
		return tb.injectFor(ctx, e, disruption{Router: r.id}, func() { r.storeProxy.setFault(bothDirections, 0) }, func() { r.storeProxy.setFault(noDirection, 0) })
	case dropStoreResponses:
		return tb.injectFor(ctx, e, disruption{Router: r.id}, func() { r.storeProxy.setFault(serverToClient, 0) }, func() { r.storeProxy.setFault(noDirection, 0) })
	case delayStore:
		delay := networkDelay * time.Duration(1+e.Variant%3)
		return tb.injectFor(ctx, e, d, func() { tb.setStoreProxyFaults(noDirection, delay) }, func() { tb.setStoreProxyFaults(noDirection, 0) })
	case failTwoRouters:
		fault := instruction{Refuse: twoRouters}
		if e.Variant%2 == 0 {
			fault = instruction{Unresponsive: twoRouters}
		}
		return tb.injectFor(ctx, e, d, instruct(fault), instruct(instruction{}))
	case unresponsiveStore:
		return tb.injectFor(ctx, e, d, instruct(instruction{AllUnresponsive: true}), instruct(instruction{}))
	case pauseStore:
		// Instructions and router requests that arrive during the pause wait until it ends.
		return tb.injectFor(ctx, e, d, func() { tb.store.signal(syscall.SIGSTOP) }, func() { tb.store.signal(syscall.SIGCONT) })
	default:
		return tb.injectFor(ctx, event{Kind: e.Kind}, d, instruct(instruction{Compact: true}), func() {})
	}
}

// setStoreProxyFaults sets the same fault in the store proxies of all routers.
func (tb *testbed) setStoreProxyFaults(dropped direction, delay time.Duration) {
	for _, r := range tb.routers {
		r.storeProxy.setFault(dropped, delay)
	}
}

// toggleKey adds toggledKey to the API keys of the next configuration, or removes it.
func (tb *testbed) toggleKey() {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if slices.Contains(tb.apiKeys, toggledKey) {
		tb.apiKeys = []string{permanentKey}
	} else {
		tb.apiKeys = []string{permanentKey, toggledKey}
	}
}

// chooseServer returns one of the servers that are not draining, or nil if there is none. Its index
// among them is target modulo their number.
func (tb *testbed) chooseServer(target int) *server {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	active := slices.DeleteFunc(slices.Clone(tb.servers), func(s *server) bool { return s.removing })
	if len(active) == 0 {
		return nil
	}
	return active[target%len(active)]
}

// injectServerFault injects a fault into a backend server or the connections to it, or replaces the
// server.
func (tb *testbed) injectServerFault(ctx context.Context, e event) error {
	s := tb.chooseServer(e.Target)
	if s == nil {
		return nil
	}
	d := disruption{Server: s.id}
	setFault := func(f standin.Fault) func() {
		// The error is ignored because the server may have exited.
		return func() { _ = s.process.send(instruction{Fault: f}) }
	}
	switch e.Kind {
	case killServer:
		d.Kind = e.Kind
		endDisruption := tb.observations.beginDisruption(d)
		defer endDisruption()
		s.kill()
		sleep(ctx, restartDelay+e.Duration)
		tb.mu.Lock()
		defer tb.mu.Unlock()
		if s.removing {
			return nil
		}
		return tb.startServer(s)
	case pauseServer:
		return tb.injectFor(ctx, e, d, func() { s.process.signal(syscall.SIGSTOP) }, func() { s.process.signal(syscall.SIGCONT) })
	case faultyServer:
		faults := []standin.Fault{standin.Fail, standin.Shed, standin.DropResponse, standin.TruncateResponse, standin.Hang}
		fault := faults[e.Variant%len(faults)]
		if fault == standin.TruncateResponse && e.Variant/len(faults)%2 == 1 {
			fault = standin.StopInEvent
		}
		return tb.injectFor(ctx, e, d, setFault(fault), setFault(standin.NoFault))
	case resetServerConnections:
		return tb.injectFor(ctx, event{Kind: e.Kind}, d, s.proxy.reset, func() {})
	case blackholeServer:
		dropped := []direction{clientToServer, serverToClient, bothDirections}[e.Variant%3]
		return tb.injectFor(ctx, e, d, func() { s.proxy.setFault(dropped, 0) }, func() { s.proxy.setFault(noDirection, 0) })
	case delayServer:
		return tb.injectFor(ctx, e, d, func() { s.proxy.setFault(noDirection, networkDelay) }, func() { s.proxy.setFault(noDirection, 0) })
	case drainServer:
		return tb.replaceServer(ctx, s, []removal{removeEntry, markDraining}[e.Variant%2])
	case announceLeaving:
		return tb.replaceServer(ctx, s, sayLeaving)
	case rejectForTime:
		rejecting := instruction{Fault: standin.Shed, RetryAfter: fmt.Sprint(rejectionTime.Seconds())}
		return tb.injectFor(ctx, e, d, func() { _ = s.process.send(rejecting) }, setFault(standin.NoFault))
	}
	return fmt.Errorf("unknown kind of event %q", e.Kind)
}

// removal is a way in which a backend server leaves.
type removal uint8

const (
	// removeEntry deletes the server's entry in the store.
	removeEntry removal = iota
	// markDraining marks the entry as draining first.
	markDraining
	// sayLeaving leaves the entry as it is, while the server states in its responses that it is
	// leaving.
	sayLeaving
)

// replaceServer adds a new server and removes an old one.
func (tb *testbed) replaceServer(ctx context.Context, s *server, how removal) error {
	if err := tb.addServer(s.service); err != nil {
		return err
	}
	return tb.removeServer(ctx, s, how)
}

func (tb *testbed) removeServer(ctx context.Context, s *server, how removal) error {
	tb.observations.endServing(s)
	tb.mu.Lock()
	s.removing = true
	var acked time.Time
	var err error
	switch how {
	case removeEntry:
		acked, err = tb.instructStore(instruction{Delete: "servers/" + s.id})
	case markDraining:
		s.draining = true
		acked, err = tb.instructStore(instruction{Put: "servers/" + s.id, Spec: s.entry("draining")})
	case sayLeaving:
		// The error is ignored because the server may have exited.
		_ = s.process.send(instruction{Leaving: true})
	}
	tb.mu.Unlock()
	if err != nil {
		return err
	}
	if how != sayLeaving {
		tb.observations.mu.Lock()
		tb.observations.drains = append(tb.observations.drains, drain{Server: s.id, Acked: acked})
		tb.observations.mu.Unlock()
	}
	sleep(ctx, drainTime)
	endDisruption := tb.observations.beginDisruption(disruption{Kind: drainServer, Server: s.id})
	defer endDisruption()
	if how != removeEntry {
		tb.mu.Lock()
		s.draining = false
		_, err = tb.instructStore(instruction{Delete: "servers/" + s.id})
		tb.mu.Unlock()
	}
	s.kill()
	return err
}

package soak

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// firstVersion is the number of the software version of all backend servers at the start, and
	// releasedService the service whose servers are replaced by those of a new version.
	firstVersion    = 1
	releasedService = "pool"
	// A router is cut off from all others for minCut up to minCut + cutRange.
	minCut   = 500 * time.Millisecond
	cutRange = 4500 * time.Millisecond
	// joinTime is the time from the registration of the last new server until streams break, and
	// releaseStep the time between the removals of two old servers.
	joinTime    = 500 * time.Millisecond
	releaseStep = 500 * time.Millisecond
	// brokenStreams is the number of streams that break together, each streamTime after a server has
	// begun to run it, or maxStreamTime after its request. A whole stream takes 200 ms.
	brokenStreams = 24
	streamTime    = 100 * time.Millisecond
	maxStreamTime = time.Second
	// takeUpTime is the time for callers to send the requests that resume streams to a paused router.
	takeUpTime = 20 * time.Millisecond
	// fillerCount is the number of datagrams that fill the receive buffer of a router.
	fillerCount = 8000
	// minResumed is the number of resumed streams from which on their share is checked.
	minResumed = 12
)

// Bits of the variant of a release.
const (
	// withoutPause replaces servers only.
	withoutPause = 1 << iota
	// withoutStore cuts the router off from the store, too.
	withoutStore
	// inTouch leaves the router in touch with the others after the pause.
	inTouch
	// keepsOldServer leaves a server of the old version.
	keepsOldServer
)

// servingPeriod is the time in which a backend server is registered as ready. To is zero before its end.
type servingPeriod struct {
	Server, Service, Version, Zone string
	From, To                       time.Time
}

// release replaces the servers of a service by servers of a new software version, one after the other.
func (tb *testbed) release(ctx context.Context, e event) error {
	defer tb.observations.beginDisruption(disruption{Kind: e.Kind, Planned: true})()
	tb.mu.Lock()
	tb.releases++
	var old []*server
	for _, s := range tb.servers {
		if s.service == releasedService && !s.removing {
			old = append(old, s)
		}
	}
	tb.mu.Unlock()
	var joining []*server
	for range max(2, len(old)) {
		s, err := tb.newServer(releasedService)
		if err != nil {
			return err
		}
		joining = append(joining, s)
	}
	join := func() error {
		for _, s := range joining {
			if err := tb.register(s); err != nil {
				return err
			}
		}
		return nil
	}
	var err error
	if e.Variant&withoutPause != 0 || len(tb.routers) == 1 {
		err = join()
	} else {
		err = tb.missRelease(ctx, e, join)
	}
	if err != nil {
		return err
	}
	if e.Variant&keepsOldServer != 0 && len(old) > 0 {
		old = old[1:]
	}
	return tb.removeServers(ctx, old, e)
}

// removeServers removes servers one after the other, unless their removal has started.
func (tb *testbed) removeServers(ctx context.Context, servers []*server, e event) error {
	errs := make(chan error, len(servers))
	var removals sync.WaitGroup
	for i, s := range servers {
		tb.mu.Lock()
		first := !s.removing
		s.removing = true
		tb.mu.Unlock()
		if first {
			removals.Go(func() { errs <- tb.removeServer(ctx, s, []removal{removeEntry, markDraining}[(e.Target+i)%2]) })
			sleep(ctx, releaseStep)
		}
	}
	removals.Wait()
	close(errs)
	for err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// missRelease pauses a router while servers join and streams begin at other routers. The streams break
// and are taken up at the router when it goes on. It is cut off then: all other routers are paused, since
// a proxy between routers would change the addresses of senders.
func (tb *testbed) missRelease(ctx context.Context, e event, join func() error) error {
	// Earlier releases may continue a stream at a version that did not begin it.
	lagging := tb.chooseCurrent(e.Target)
	defer tb.observations.beginDisruption(disruption{Kind: e.Kind, Router: lagging.id})()
	if e.Variant&withoutStore != 0 {
		lagging.storeProxy.setFault(bothDirections, 0)
		defer lagging.storeProxy.setFault(noDirection, 0)
	}
	lagging.currentProcess().signal(syscall.SIGSTOP)
	defer func() { lagging.currentProcess().signal(syscall.SIGCONT) }()
	if err := tb.fillReceiveBuffer(lagging); err != nil {
		return err
	}
	if err := join(); err != nil {
		return err
	}
	sleep(ctx, joinTime)
	var others []*router
	for _, r := range tb.routers {
		if r != lagging {
			others = append(others, r)
		}
	}
	broken := tb.breakStreams(ctx, others)
	if e.Variant&inTouch == 0 {
		defer tb.pauseOthers(e, lagging, others)()
	}
	var resuming sync.WaitGroup
	resuming.Go(func() { tb.takeUp(ctx, broken, []*router{lagging}, e.Duration) })
	sleep(ctx, takeUpTime)
	lagging.currentProcess().signal(syscall.SIGCONT)
	sleep(ctx, e.Duration)
	resuming.Wait()
	return nil
}

// fillReceiveBuffer makes a paused router lose the heartbeats that arrive until it goes on.
func (tb *testbed) fillReceiveBuffer(r *router) error {
	conn, err := net.Dial("udp", net.JoinHostPort(r.ip, fmt.Sprint(tb.ports[4])))
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	for range fillerCount {
		// The error is ignored because the router may not be running.
		_, _ = conn.Write([]byte("filler"))
	}
	return nil
}

// pauseOthers pauses all routers but one, to which all callers turn, resets the connections of callers
// to them and of all routers to the servers, and returns a function that ends the pause.
func (tb *testbed) pauseOthers(e event, running *router, others []*router) (end func()) {
	endDisruption := tb.observations.beginDisruption(disruption{Kind: e.Kind, Router: all})
	for _, r := range others {
		r.currentProcess().signal(syscall.SIGSTOP)
	}
	tb.onlyRouter.Store(running)
	for _, r := range others {
		r.callerProxy.reset()
	}
	for _, s := range tb.chooseService(0) {
		endReset := tb.observations.beginDisruption(disruption{Kind: resetServerConnections, Server: s.id})
		s.proxy.reset()
		endReset()
	}
	return func() {
		tb.onlyRouter.Store(nil)
		for _, r := range others {
			r.currentProcess().signal(syscall.SIGCONT)
		}
		endDisruption()
	}
}

// takeUpInTouch breaks streams and resumes each at another router, while nothing is disrupted.
func (tb *testbed) takeUpInTouch(ctx context.Context) {
	broken := tb.breakStreams(ctx, tb.routers)
	next := append(tb.routers[1:len(tb.routers):len(tb.routers)], tb.routers[0])
	tb.takeUp(ctx, broken, next, 0)
}

// breakStreams begins streams at routers in turn and returns the requests of those that had begun and not
// ended when their callers closed the connections.
func (tb *testbed) breakStreams(ctx context.Context, routers []*router) []request {
	var mu sync.Mutex
	var broken []request
	var callers sync.WaitGroup
	for i := range brokenStreams {
		q := request{Attempt: fmt.Sprint("stream", tb.streams.Add(1)), Path: "/resume/stream/x", Key: permanentKey, Canceled: true}
		q.Body = "body of " + q.Attempt
		ctx, cancel := context.WithTimeout(ctx, maxStreamTime)
		callers.Go(func() {
			tb.observations.awaitRun(ctx, q.Attempt)
			sleep(ctx, streamTime)
			cancel()
		})
		callers.Go(func() {
			defer cancel()
			tb.sendTo(ctx, routers[i%len(routers)], &q)
			if q.Canceled && q.lastEvent() > 0 {
				mu.Lock()
				defer mu.Unlock()
				broken = append(broken, q)
			}
		})
	}
	callers.Wait()
	return broken
}

// awaitRun waits until a server has begun to run a request.
func (o *observations) awaitRun(ctx context.Context, attempt string) {
	hasBegun := func() bool {
		o.mu.Lock()
		defer o.mu.Unlock()
		return len(o.runs[attempt]) > 0
	}
	for ctx.Err() == nil && !hasBegun() {
		sleep(ctx, 5*time.Millisecond)
	}
}

// takeUp resumes streams at routers in turn, half of them at once and the others in the course of a period.
func (tb *testbed) takeUp(ctx context.Context, broken []request, routers []*router, period time.Duration) {
	var callers sync.WaitGroup
	for i, q := range broken {
		next := request{
			Attempt: fmt.Sprint("resumed-", q.Attempt), Path: q.Path, Key: q.Key, Body: q.Body, Resumes: q.stream(), LastEvent: q.lastEvent(),
		}
		callers.Go(func() {
			if i%2 != 0 {
				sleep(ctx, period*time.Duration(i)/time.Duration(len(broken)))
			}
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callerTimeout)
			defer cancel()
			tb.sendTo(ctx, routers[i%len(routers)], &next)
		})
	}
	callers.Wait()
}

// sendTo sends a request to a router on a connection of its own and records the result.
func (tb *testbed) sendTo(ctx context.Context, r *router, q *request) {
	c := &caller{testbed: tb}
	c.connect(r)
	defer c.disconnect()
	q.Router = r.id
	c.exchange(ctx, q)
}

// beganAt returns the software versions that may have begun the stream of a request. There may be several,
// since a router may make a second attempt beside a first one.
func (o *observations) beganAt(r request) map[string]bool {
	began := map[string]bool{}
	for _, first := range o.runs[r.stream()] {
		if first.After == 0 {
			began[first.Version] = true
		}
	}
	return began
}

// checkResumed checks that of the streams that callers resume at routers in touch, while two servers of
// the version that began them serve, the share that goes on is at least half of the share of new streams
// that begin.
func (o *observations) checkResumed() []violation {
	resumed, wentOn, sent, begun := o.countResumed()
	if resumed >= minResumed && 2*wentOn*sent < begun*resumed {
		return []violation{{"streams that are resumed go on", fmt.Sprintf("%d of %d, while %d of %d new ones began", wentOn, resumed, begun, sent)}}
	}
	return nil
}

// countResumed returns the numbers of streams that checkResumed compares.
func (o *observations) countResumed() (resumed, wentOn, sent, begun int) {
	for _, r := range o.requests {
		from := r.Sent.Add(-maxSettleTime)
		if serviceForPath(r.Path) != releasedService || r.Key != permanentKey || r.Canceled && r.Status == 0 ||
			o.routerDisrupted(r.Router, from, r.Ended) || o.storeDisrupted(from, r.Ended) {
			continue
		}
		began := o.beganAt(r)
		switch {
		case r.Resumes == "":
			if sent++; r.Status == 200 {
				begun++
			}
		case len(began) == 1 && o.servingCount(began, from, r.Ended) >= 2:
			if resumed++; r.Status == 200 {
				wentOn++
			}
		}
	}
	return resumed, wentOn, sent, begun
}

// servingCount returns the number of servers of the given versions that serve throughout a period.
func (o *observations) servingCount(versions map[string]bool, from, to time.Time) int {
	n := 0
	for _, p := range o.serving {
		evacuated := p.Zone == evacuatedZone && o.zoneEvacuated(from, to)
		down := o.disrupted(from, to, func(d disruption) bool {
			return (d.Server == p.Server || d.Server == all) && d.Kind != resetServerConnections && d.Kind != delayServer
		})
		if p.Service == releasedService && versions[p.Version] && !p.From.After(from) && (p.To.IsZero() || p.To.After(to)) && !evacuated && !down {
			n++
		}
	}
	return n
}

func (o *observations) zoneEvacuated(from, to time.Time) bool {
	for _, e := range o.evacuations {
		if e.Acked.Before(to) && e.To.After(from) {
			return true
		}
	}
	return false
}

func (o *observations) beginServing(s *server) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.serving = append(o.serving, servingPeriod{Server: s.id, Service: s.service, Version: s.version, Zone: s.zone, From: time.Now()})
}

func (o *observations) endServing(s *server) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := range o.serving {
		if p := &o.serving[i]; p.Server == s.id && p.To.IsZero() {
			p.To = time.Now()
		}
	}
}

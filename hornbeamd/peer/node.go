// Package peer connects the routers of a fleet by JSON-RPC over TCP with mutual TLS.
package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"hornbeamstep.example/coord/loadsum"
	"hornbeamstep.example/coord/member"
	"hornbeamstep.example/coord/owner"
	"hornbeamstep.example/coord/revision"
	"hornbeamstep.example/timeline"
)

// Slots grants slots on the engines that this router owns. Refusals are *outcome.Error and reach the asking router as such.
type Slots interface {
	Take(ctx context.Context, from string, ask SlotAsk) (SlotGrant, error)
	// Free takes slots back. The verdict says what their requests showed of the engine: "ok", "slow", "failed" or nothing.
	Free(ctx context.Context, from string, slots []string, verdict string) error
	// Abandon ends what requests have whose callers left before an answer came. Requests are named like slots, as engine/request.
	Abandon(ctx context.Context, from string, requests []string) error
	// Renew returns the slots that are no longer held.
	Renew(ctx context.Context, from string, slots []string) (lost []string, err error)
}

// Loads returns the load of this router's engines by pool. It is called each second and must not block.
type Loads interface {
	Loads() map[string]loadsum.Sum
}

// Revisions takes revisions in force, in growing order.
type Revisions interface {
	// Apply gets the content of each file by its digest.
	Apply(ctx context.Context, m revision.Manifest, contents map[string][]byte) error
}

// Notices takes what other routers spread: crash suspects, quarantined fingerprints and releases.
type Notices interface {
	Notice(n Notice)
}

// Timeline answers queries of other routers for its events.
type Timeline interface {
	Query(ctx context.Context, q Query) ([]timeline.Event, error)
}

// Operator answers with the status of the router as a JSON document.
type Operator interface {
	Status(ctx context.Context) ([]byte, error)
}

// Node is a router among its peers. Set the exported fields before Run.
type Node struct {
	// ID names the router in the fleet; Boot orders the processes with the same ID or address and defaults to the start time
	// in milliseconds.
	ID   string
	Boot uint64
	// Zone is the availability zone.
	Zone, Region string
	// Listen is ip:port; port 0 takes a free one. Advertise is what other routers are told, by default the same.
	Listen, Advertise string
	// Caller is the address for callers that other routers are told, as ip:port.
	Caller string
	// Keys turn on mutual TLS. They may be nil on a loopback address only.
	Keys *Keys
	// Seeds are addresses of routers to contact first. Listed replaces them.
	Seeds []string
	// Connections bounds the connections, by default DefaultConnections.
	Connections int
	// Uniform makes pings go to any member instead of a few peers; for comparison.
	Uniform bool

	// Clock and Rand default to the system's.
	Clock   func() time.Time
	Rand    *rand.Rand
	Logger  *zap.Logger
	Metrics prometheus.Registerer

	// The handlers may be nil; requests for them are then refused.
	Slots     Slots
	Loads     Loads
	Revisions Revisions
	Notices   Notices
	Timeline  Timeline
	Operator  Operator
	Claims    Claims
	Usages    Usages
	Contexts  Contexts
	Agreed    Agreed
	// Inventories is nil on routers that tell nothing to the planner.
	Inventories Inventories

	once    sync.Once
	ready   chan struct{}
	address string
	bound   string
	links   *links
	meter   *meter
	gauges  gauges
	loop    loop
	events  chan func(now time.Time)
	done    chan struct{}
	applied chan applied

	// published holds the snapshots that other goroutines read. beat is the clock at the last turn of the control loop,
	// stored after published; nil before the first. It keeps its monotonic reading, because a wall clock that stepped back by
	// the length of a pause would hide the pause.
	published atomic.Pointer[snapshot]
	beat      atomic.Pointer[time.Time]
}

// snapshot is what the control loop publishes.
type snapshot struct {
	view      *member.View
	owners    *owner.Snapshot
	untrusted *owner.Snapshot
	sums      map[string]loadsum.Sum
	revision  int64
}

type applied struct {
	manifest revision.Manifest
	contents map[string][]byte
}

type gauges struct {
	members     *prometheus.GaugeVec
	connections prometheus.Gauge
	revision    prometheus.Gauge
	failures    *prometheus.CounterVec
}

func (n *Node) init() {
	n.once.Do(func() {
		n.ready = make(chan struct{})
		n.done = make(chan struct{})
		n.events = make(chan func(time.Time), 256)
		n.applied = make(chan applied, 1)
		n.meter = newMeter(n.Metrics)
		n.gauges = newGauges(n.Metrics)
		if n.Clock == nil {
			n.Clock = time.Now
		}
		if n.Rand == nil {
			n.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		}
		if n.Logger == nil {
			n.Logger = zap.NewNop()
		}
		if n.Connections == 0 {
			n.Connections = DefaultConnections
		}
		if n.Boot == 0 {
			n.Boot = uint64(n.Clock().UnixMilli())
		}
		empty := owner.Compute(owner.Input{Self: n.ID})
		n.published.Store(&snapshot{view: &member.View{}, owners: empty, untrusted: empty})
	})
}

func newGauges(r prometheus.Registerer) gauges {
	g := gauges{
		members: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "hornbeam_peer_members", Help: "Members of the fleet as this router sees them, by status.",
		}, []string{"status"}),
		connections: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "hornbeam_peer_connections", Help: "Open connections to other routers.",
		}),
		revision: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "hornbeam_peer_revision", Help: "Number of the configuration revision in force.",
		}),
		failures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hornbeam_peer_failures_total", Help: "Failed calls to other routers, by method.",
		}, []string{"method"}),
	}
	if r != nil {
		r.MustRegister(g.members, g.connections, g.revision, g.failures)
	}
	return g
}

// Run takes part in the fleet until the context ends. It returns *InsecureError without keys on an address that others can
// reach, and *SupersededError when a newer process took the router's ID.
func (n *Node) Run(ctx context.Context) error {
	n.init()
	if err := checkAddress(n.Listen, n.Keys); err != nil {
		return err
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", n.Listen)
	if err != nil {
		return eris.Wrapf(err, "cannot listen for peers on %s: free the port or set another", n.Listen)
	}
	defer func() { _ = listener.Close() }()
	n.bound = listener.Addr().String()
	n.address = n.Advertise
	if n.address == "" {
		n.address = n.bound
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The connections outlive the context for the last messages.
	open, shut := context.WithCancel(context.WithoutCancel(ctx))
	defer shut()
	n.links = &links{
		keys: n.Keys, meter: n.meter, logger: n.Logger, limit: n.Connections, handler: n.handle,
		greet: func() string { return n.ID }, ctx: open,
		all: map[*link]bool{}, byAddr: map[string]*link{}, byID: map[string]*link{}, dials: map[string]*dial{},
	}
	n.loop.start(n)
	defer close(n.done)
	close(n.ready)
	go n.accept(ctx, listener)
	go n.apply(ctx)
	return n.loop.run(ctx)
}

// accept takes connections. Handshakes are bounded, so that a herd of starting routers does not use up the memory.
func (n *Node) accept(ctx context.Context, listener net.Listener) {
	go func() {
		<-ctx.Done()
		_ = listener.Close()
	}()
	handshakes := make(chan struct{}, 64)
	for {
		raw, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			n.Logger.Warn("cannot accept a peer", zap.Error(err))
			time.Sleep(100 * time.Millisecond)
			continue
		}
		if n.links.count() >= 2*n.Connections {
			_ = raw.Close()
			continue
		}
		handshakes <- struct{}{}
		go func() {
			defer func() { <-handshakes }()
			n.links.accept(raw)
		}()
	}
}

// apply hands revisions to the handler, one at a time; a revision that is out of date by then is skipped.
func (n *Node) apply(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-n.applied:
			if n.Revisions == nil {
				continue
			}
			if err := n.Revisions.Apply(ctx, a.manifest, a.contents); err != nil {
				n.Logger.Error("revision refused", zap.Int64("revision", a.manifest.Revision), zap.Error(err))
			}
		}
	}
}

// Ready is closed once the router listens.
func (n *Node) Ready() <-chan struct{} {
	n.init()
	return n.ready
}

// Address returns what other routers are told to connect to. Wait for Ready.
func (n *Node) Address() string { return n.address }

// Bound returns the address that the router listens on. Wait for Ready.
func (n *Node) Bound() string { return n.bound }

// SupersededError says that a newer process uses the router's ID.
type SupersededError struct {
	ID      string
	Address string
}

func (e *SupersededError) Error() string {
	return "router " + e.ID + " was replaced by a newer process at " + e.Address + ": stop this one, or give one of them another ID"
}

// Members returns the current membership without a lock. Trusted is false while the control loop is behind.
func (n *Node) Members() *member.View {
	n.init()
	s := n.published.Load()
	if n.behind() && s.view.Trusted {
		v := *s.view
		v.Trusted = false
		return &v
	}
	return s.view
}

// Owners returns the current ownership without a lock. It is not trusted after a pause of the process until peers are heard.
func (n *Node) Owners() *owner.Snapshot {
	n.init()
	s := n.published.Load()
	if n.behind() {
		return s.untrusted
	}
	return s.owners
}

// behind is true if the control loop did not turn lately: the process was paused, and the snapshots are out of date.
func (n *Node) behind() bool {
	beat := n.beat.Load()
	return beat == nil || n.Clock().Sub(*beat) > member.DefaultPauseThreshold
}

// Sum returns the load of a pool's engines over the fleet, if it is known from the last seconds.
func (n *Node) Sum(pool string) (loadsum.Sum, bool) {
	n.init()
	sum, ok := n.published.Load().sums[pool]
	return sum, ok && !n.behind()
}

// Revision returns the revision in force, 0 for none.
func (n *Node) Revision() int64 {
	n.init()
	return n.published.Load().revision
}

// Bytes returns the control traffic since the start.
func (n *Node) Bytes() Bytes {
	n.init()
	return n.meter.snapshot()
}

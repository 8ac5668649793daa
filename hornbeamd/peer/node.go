// Package peer connects the routers of a fleet to each other by JSON-RPC over TCP with mutual TLS.
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

// Slots grants slots on the engines that this router owns. If it refuses a request, it returns an
// *outcome.Error. The error keeps its type when it is sent to the requesting router.
type Slots interface {
	Take(ctx context.Context, from string, req SlotRequest) (SlotGrant, error)
	// Free releases slots. The verdict tells how the engine handled their requests: "ok", "slow",
	// "failed", or empty if unknown.
	Free(ctx context.Context, from string, slots []string, verdict string) error
	// Abandon cancels pending slot requests and releases slots already granted. It is called when
	// the client disconnects before the answer to the slot request arrives. Requests are named like
	// slots, as engine/request.
	Abandon(ctx context.Context, from string, requests []string) error
	// Renew extends the leases of slots and returns the slots that are no longer held.
	Renew(ctx context.Context, from string, slots []string) (lost []string, err error)
}

// Loads returns the load of this router's engines by pool. It is called for each load report, every
// 100 ms in small fleets, and must not block.
type Loads interface {
	Loads() map[string]loadsum.Sum
}

// Revisions receives the configuration revisions to apply, in ascending order.
type Revisions interface {
	// Apply applies a revision. contents holds the content of each file by its digest.
	Apply(ctx context.Context, m revision.Manifest, contents map[string][]byte) error
}

// Notices receives the notices of all routers.
type Notices interface {
	Notice(n Notice)
}

// Timeline answers queries of other routers for the events of this router.
type Timeline interface {
	Query(ctx context.Context, q Query) ([]timeline.Event, error)
}

// Operator returns the status of this router as a JSON document.
type Operator interface {
	Status(ctx context.Context) ([]byte, error)
}

// Node is this router's membership in the fleet. Set the exported fields before Run.
type Node struct {
	// ID identifies the router in the fleet. Boot orders processes that use the same ID or address:
	// the highest value is the newest process. It defaults to the start time in Unix milliseconds.
	ID   string
	Boot uint64
	// Zone and Region are the availability zone and the region of the router.
	Zone, Region string
	// Listen is the listen address as ip:port. Port 0 selects a free port. Advertise is the address
	// that other routers connect to, by default the listen address.
	Listen, Advertise string
	// Caller is the address for client requests that is announced to other routers, as ip:port.
	Caller string
	// Keys enables mutual TLS. It may be nil only if Listen is a loopback address.
	Keys *Keys
	// Seeds are addresses of routers to contact first, until SetInstances supplies the instance
	// list.
	Seeds []string
	// Connections is a soft limit on open connections, by default DefaultConnections. Once it is
	// reached, the least recently used idle connection, if any, is closed before another one is
	// added. At twice this number, incoming connections are refused.
	Connections int
	// Uniform sends pings to random members instead of the few peers that the membership protocol
	// selects. It is used for comparisons only.
	Uniform bool

	// Clock defaults to time.Now and Rand to a randomly seeded generator.
	Clock   func() time.Time
	Rand    *rand.Rand
	Logger  *zap.Logger
	Metrics prometheus.Registerer

	// The handlers may be nil. Requests for a nil handler are refused.
	Slots     Slots
	Loads     Loads
	Revisions Revisions
	Notices   Notices
	Timeline  Timeline
	Operator  Operator
	Claims    Claims
	Usages    Usages
	Contexts  Contexts
	Decisions DecisionSet
	Parts     Parts
	// Inventories is nil on routers that do not report to the planner.
	Inventories Inventories

	once          sync.Once
	ready         chan struct{}
	address       string
	listenAddress string
	conns         *connPool
	meter         *meter
	metrics       nodeMetrics
	loop          loop
	tasks         chan func(now time.Time)
	done          chan struct{}
	revisions     chan pendingRevision

	// published is the snapshot that other goroutines read. lastIteration is the time of the
	// control loop's last iteration, nil before the first. It is stored after published. The time
	// keeps its monotonic clock reading: if the wall clock stepped back by the length of a process
	// pause, a comparison of wall clock times would not show the pause.
	published     atomic.Pointer[snapshot]
	lastIteration atomic.Pointer[time.Time]
}

// snapshot is the state that the control loop publishes to other goroutines.
type snapshot struct {
	view   *member.View
	owners *owner.Snapshot
	// untrusted is a copy of owners that is not trusted; see Node.Owners.
	untrusted *owner.Snapshot
	sums      map[string]loadsum.Sum
	revision  int64
}

type pendingRevision struct {
	manifest revision.Manifest
	contents map[string][]byte
}

type nodeMetrics struct {
	members     *prometheus.GaugeVec
	connections prometheus.Gauge
	revision    prometheus.Gauge
	failures    *prometheus.CounterVec
}

func (n *Node) init() {
	n.once.Do(func() {
		n.ready = make(chan struct{})
		n.done = make(chan struct{})
		n.tasks = make(chan func(time.Time), 256)
		n.revisions = make(chan pendingRevision, 1)
		n.meter = newMeter(n.Metrics)
		n.metrics = newNodeMetrics(n.Metrics)
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

func newNodeMetrics(r prometheus.Registerer) nodeMetrics {
	g := nodeMetrics{
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

// Run joins the fleet and takes part in it until the context ends. It returns *InsecureError if
// Keys is nil and Listen is not a loopback address, and *SupersededError if a newer process uses
// the router's ID.
func (n *Node) Run(ctx context.Context) error {
	n.init()
	if err := checkAddress(n.Listen, n.Keys); err != nil {
		return err
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", n.Listen)
	if err != nil {
		return eris.Wrapf(err, "cannot listen for peers on %s: free the port or configure another", n.Listen)
	}
	defer func() { _ = listener.Close() }()
	n.listenAddress = listener.Addr().String()
	n.address = n.Advertise
	if n.address == "" {
		n.address = n.listenAddress
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// Connections stay open after ctx ends, so that the leave messages can be sent.
	connCtx, closeConns := context.WithCancel(context.WithoutCancel(ctx))
	defer closeConns()
	n.conns = &connPool{
		keys: n.Keys, meter: n.meter, logger: n.Logger, maxConns: n.Connections, handler: n.handle,
		localID: func() string { return n.ID }, ctx: connCtx,
		conns: map[*peerConn]bool{}, byAddr: map[string]*peerConn{}, byID: map[string]*peerConn{}, dials: map[string]*pendingDial{},
	}
	n.loop.start(n)
	defer close(n.done)
	close(n.ready)
	go n.accept(ctx, listener)
	go n.applyRevisions(ctx)
	return n.loop.run(ctx)
}

// accept accepts connections. It limits concurrent TLS handshakes, because the handshakes of many
// routers that start at the same time could exhaust the memory.
func (n *Node) accept(ctx context.Context, listener net.Listener) {
	go func() {
		<-ctx.Done()
		_ = listener.Close()
	}()
	handshakes := make(chan struct{}, 64)
	for {
		nc, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			n.Logger.Warn("cannot accept a peer connection; retrying", zap.Error(err))
			time.Sleep(100 * time.Millisecond)
			continue
		}
		if n.conns.count() >= 2*n.Connections {
			_ = nc.Close()
			continue
		}
		handshakes <- struct{}{}
		go func() {
			defer func() { <-handshakes }()
			n.conns.accept(nc)
		}()
	}
}

// applyRevisions passes revisions to the handler one at a time. While the handler runs, only the
// newest received revision is kept for it; older ones are skipped.
func (n *Node) applyRevisions(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-n.revisions:
			if n.Revisions == nil {
				continue
			}
			if err := n.Revisions.Apply(ctx, a.manifest, a.contents); err != nil {
				n.Logger.Error("cannot apply configuration revision", zap.Int64("revision", a.manifest.Revision), zap.Error(err))
			}
		}
	}
}

// Ready returns a channel that is closed once the router listens.
func (n *Node) Ready() <-chan struct{} {
	n.init()
	return n.ready
}

// Address returns the address that other routers connect to. Call it only after Ready is closed.
func (n *Node) Address() string { return n.address }

// ListenAddress returns the address that the router listens on. Call it only after Ready is closed.
func (n *Node) ListenAddress() string { return n.listenAddress }

// SupersededError is returned by Run when a newer process uses the router's ID.
type SupersededError struct {
	ID      string
	Address string
}

func (e *SupersededError) Error() string {
	return "router " + e.ID + " was replaced by a newer process at " + e.Address + ": stop this process, or give one of them a different ID"
}

// Members returns the current membership without locking. Its Trusted field is false while the
// published snapshot is stale.
func (n *Node) Members() *member.View {
	n.init()
	s := n.published.Load()
	if n.stale() && s.view.Trusted {
		v := *s.view
		v.Trusted = false
		return &v
	}
	return s.view
}

// Owners returns the current ownership without locking. The ownership is not trusted while the
// published snapshot is stale, and after a pause of the process until peers have answered.
func (n *Node) Owners() *owner.Snapshot {
	n.init()
	s := n.published.Load()
	if n.stale() {
		return s.untrusted
	}
	return s.owners
}

// stale reports whether the published snapshot may be out of date: the control loop has not run for
// longer than member.DefaultPauseThreshold, as after a pause of the process, or not run at all.
func (n *Node) stale() bool {
	last := n.lastIteration.Load()
	return last == nil || n.Clock().Sub(*last) > member.DefaultPauseThreshold
}

// PoolLoad returns the total load of a pool's engines in the fleet. It returns false if there is no
// recent value.
func (n *Node) PoolLoad(pool string) (loadsum.Sum, bool) {
	n.init()
	sum, ok := n.published.Load().sums[pool]
	return sum, ok && !n.stale()
}

// Revision returns the number of the current configuration revision, 0 if there is none.
func (n *Node) Revision() int64 {
	n.init()
	return n.published.Load().revision
}

// TrafficStats returns the traffic with other routers since the start.
func (n *Node) TrafficStats() TrafficStats {
	n.init()
	return n.meter.snapshot()
}

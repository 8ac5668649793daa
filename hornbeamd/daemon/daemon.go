// Package daemon wires the parts of one router together and runs them.
package daemon

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"hornbeamstep.example/coord/claim"
	"hornbeamstep.example/coord/order"
	"hornbeamstep.example/coord/pause"
	"hornbeamstep.example/hornbeamd/caller"
	"hornbeamstep.example/hornbeamd/control"
	"hornbeamstep.example/hornbeamd/engine"
	"hornbeamstep.example/hornbeamd/exchange"
	"hornbeamstep.example/hornbeamd/operator"
	"hornbeamstep.example/hornbeamd/peer"
	"hornbeamstep.example/hornbeamd/service"
	"hornbeamstep.example/hornbeamd/settings"
	"hornbeamstep.example/hornbeamd/shutdown"
	"hornbeamstep.example/policy"
	"hornbeamstep.example/policy/folder"
	"hornbeamstep.example/policy/history"
	"hornbeamstep.example/ports/instancelist"
	"hornbeamstep.example/ports/objectapi"
	"hornbeamstep.example/timeline"
)

// Daemon is one router. Its exported fields are set before Run or Open.
type Daemon struct {
	Settings settings.Settings
	// Log is the log; nil for none.
	Log *zap.Logger

	registry *prometheus.Registry
	ring     *timeline.Ring
	store    objectapi.Store
	history  *history.History
	list     *instancelist.HTTP
	inForce  *history.InForce
	claims   *claim.ObjectLog
	standing *standing
	counters counters
	usages   *usages
	node     *peer.Node
	loop     *control.Loop
	server   *caller.Server
	operator *operator.Server
	listener net.Listener
	// certificate is the identity towards callers; nil without TLS.
	certificate *caller.Certificate
	// orders are the latest that this daemon gave, oldest first; at most keptOrders.
	ordersMu sync.Mutex
	orders   []operator.Order
	// stopped is closed when an operator drains the daemon.
	stopped  chan struct{}
	stopOnce sync.Once
	// plan is the latest that was read, which placement follows, and planVersion its version.
	planMu      sync.Mutex
	plan        order.Plan
	planVersion int64
}

// Open binds the address for callers and builds the parts. Run calls it if it was not called.
func (d *Daemon) Open() error {
	if d.Log == nil {
		d.Log = zap.NewNop()
	}
	d.Log = d.Log.With(zap.String("daemon", d.Settings.ID))
	listener, err := net.Listen("tcp", d.Settings.Caller.Listen)
	if err != nil {
		return eris.Wrapf(err, "cannot listen for callers on %s: free the port or set another", d.Settings.Caller.Listen)
	}
	d.listener = listener
	if tls := d.Settings.Caller.TLS; tls.Cert != "" {
		if d.certificate, err = caller.LoadCertificate(tls.Cert, tls.Key); err != nil {
			return errors.Join(err, listener.Close())
		}
		d.listener = d.certificate.Listener(listener)
	}
	d.stopped = make(chan struct{})
	if d.Settings.Caller.Address == "" {
		d.Settings.Caller.Address = listener.Addr().String()
	}
	d.registry = prometheus.NewRegistry()
	d.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	d.ring = timeline.NewRing(d.Settings.ID, 0, nil)
	d.openPlatform()
	if err := d.openPeers(); err != nil {
		return err
	}
	if err := d.openCallers(); err != nil {
		return err
	}
	return d.openOperators()
}

func (d *Daemon) openPlatform() {
	metered, collectors := objectapi.NewMetered(
		&objectapi.HTTP{Base: d.Settings.Platform.Objects, Timeout: d.Settings.Platform.Timeout})
	d.registry.MustRegister(collectors...)
	d.store = metered
	d.history = &history.History{Store: d.store}
	d.list = &instancelist.HTTP{Base: d.Settings.Platform.Instances, Timeout: d.Settings.Platform.Timeout}
	d.inForce = &history.InForce{}
	d.claims = &claim.ObjectLog{Store: d.store}
	d.standing = newStanding(d.store, d.Log)
	d.measureState()
}

func (d *Daemon) openPeers() error {
	s := d.Settings.Peer
	d.node = &peer.Node{
		ID: d.Settings.ID, Zone: d.Settings.Zone, Region: d.Settings.Region, Listen: s.Listen, Advertise: s.Address,
		Caller: d.Settings.Caller.Address, Seeds: s.Seeds, Logger: d.Log, Metrics: d.registry,
	}
	if s.TLS.Cert != "" {
		keys, err := peer.LoadKeys(s.TLS.Cert, s.TLS.Key, s.TLS.CA)
		if err != nil {
			return err
		}
		d.node.Keys = keys
	}
	peers := &peers{node: d.node, standing: d.standing, zone: func(engine string) string { return d.loop.Policy().Backends[engine].Zone }}
	d.loop = &control.Loop{
		Settings: d.Settings, Peers: peers, Claims: &claims{owner: d.shardOwner, remote: d.node, local: d.claims}, NewEngine: d.engine, Ring: d.ring, Log: d.Log,
		Registry: d.registry, InForce: d.inForce,
	}
	if d.Settings.Engine.Moves {
		d.loop.Mover = &mover{connect: d.Settings.Engine.Connect}
	}
	d.node.Slots = slots{loop: d.loop, standing: d.standing}
	d.node.Loads = peers
	d.node.Revisions = revisions{inForce: d.inForce, loader: &folder.Loader{}}
	d.standing.node, d.standing.loop = d.node, d.loop
	d.node.Notices = d.standing
	d.node.Agreed = d.standing
	d.node.Timeline = events{ring: d.ring}
	d.node.Operator = d
	d.node.Claims = d.claims
	d.usages = newUsages()
	d.node.Usages = d.usages
	d.node.Contexts = d.loop
	d.node.Inventories = inventories{loop: d.loop}
	return nil
}

// shardOwner returns the other router that owns a shard of the claim log.
func (d *Daemon) shardOwner(shard int) (string, bool) {
	owner := d.node.Owners().ShardOwner(shard)
	return owner, owner != "" && owner != d.Settings.ID
}

// engine returns a client for the control traffic with an engine.
func (d *Daemon) engine(b policy.Backend) control.Engine {
	return engine.New(b.Name+" control", b.Address, engine.Options{
		Options: exchange.Options{Dial: d.Settings.Engine.Connect, Idle: 2},
	})
}

func (d *Daemon) openCallers() error {
	s := d.Settings
	server, err := caller.New(caller.Options{
		Dispatcher: guard{Loop: d.loop, standing: d.standing}, Registry: d.registry, Log: d.Log,
		MaxBodyBytes: int(s.Caller.Body), MaxRequests: s.Caller.Connections, MaxConnections: 2 * s.Caller.Connections,
		HeartbeatInterval: s.Caller.Heartbeat, WriteTimeout: s.Caller.Write, RouteTTL: s.Caller.Lifetime, MaxStoredResponse: claim.MaxAnswerBytes,
		Engine: engine.Options{
			Options: exchange.Options{Dial: s.Engine.Connect}, First: s.Engine.First, Progress: s.Engine.Progress,
		},
		Service: service.Options{Options: exchange.Options{Dial: s.Engine.Connect}, Progress: s.Engine.First},
	})
	d.server = server
	return err
}

func (d *Daemon) openOperators() error {
	d.operator = &operator.Server{
		Fleet: &fleet{daemon: d}, Settings: d.Settings.Operator, Log: d.Log, Metrics: d.registry,
	}
	return d.operator.Open()
}

// Addresses of the daemon, valid after Open; that for peers after Ready.
func (d *Daemon) Addresses() (callers, peers, operators string) {
	return d.Settings.Caller.Address, d.node.Address(), d.operator.Address()
}

// Ready is closed once the daemon takes part in the fleet. Valid after Open.
func (d *Daemon) Ready() <-chan struct{} { return d.node.Ready() }

// joined waits until the daemon listens for its peers. It returns false if ctx ends before, as it does when another part
// fails: without that, a taken port for peers left the daemon waiting for good instead of ending with an error.
func (d *Daemon) joined(ctx context.Context) bool {
	select {
	case <-d.node.Ready():
		return true
	case <-ctx.Done():
		return false
	}
}

// Run serves until ctx ends and the drain that follows is complete. It returns an error if a part fails, or if the drain
// exceeds its limit.
func (d *Daemon) Run(ctx context.Context) error {
	if d.listener == nil {
		if err := d.Open(); err != nil {
			return err
		}
	}
	shutdown.SetDrainTimeout(d.drainLimit())
	// The parts outlive ctx by the drain.
	parts, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, parts := errgroup.WithContext(parts)
	group.Go(func() error { return d.node.Run(parts) })
	group.Go(func() error { return d.loop.Run(parts) })
	group.Go(func() error { return d.operator.Run(parts) })
	group.Go(func() error {
		d.standing.restore(parts)
		return d.server.Serve(d.listener)
	})
	group.Go(func() error { return d.standing.run(parts) })
	group.Go(func() error { return d.watchConfig(parts) })
	group.Go(func() error { return d.readInstances(parts) })
	group.Go(func() error { return d.assign(parts) })
	group.Go(func() error { return d.shareLimits(parts) })
	group.Go(func() error { return d.tidyClaims(parts) })
	group.Go(func() error { return d.reloadKeys(parts) })
	group.Go(func() error { return d.followPlan(parts) })
	if d.Settings.Orders.Enable {
		group.Go(func() error { return d.keepEngines(parts) })
		group.Go(func() error { return d.planAdapters(parts) })
	}
	d.Log.Info("daemon started", zap.String("callers", d.Settings.Caller.Address))
	select {
	case <-ctx.Done():
	case <-d.stopped:
	case <-parts.Done():
		// A part failed.
		_ = d.server.Close()
		return group.Wait()
	}
	err := d.drain()
	stop()
	return errors.Join(err, group.Wait())
}

// keysEvery is the time between two looks for renewed certificates.
const keysEvery = time.Minute

// reloadKeys takes over renewed certificates. Unreadable files leave the old ones in use.
func (d *Daemon) reloadKeys(ctx context.Context) error {
	reload := map[string]func() error{}
	if d.node.Keys != nil {
		reload["peers"] = d.node.Keys.Reload
	}
	if d.certificate != nil {
		reload["callers"] = d.certificate.Reload
	}
	failed := map[string]bool{}
	for len(reload) > 0 && pause.For(ctx, keysEvery) == nil {
		for side, read := range reload {
			err := read()
			if err != nil && !failed[side] {
				d.Log.Error("certificates could not be read again; the old ones stay in use", zap.String("towards", side), zap.Error(err))
			}
			failed[side] = err != nil
		}
	}
	return nil
}

// requestStop begins the drain of this daemon.
func (d *Daemon) requestStop() {
	d.stopOnce.Do(func() { close(d.stopped) })
}

// drainLimit is the longest time from the signal to the end of the process.
func (d *Daemon) drainLimit() time.Duration {
	return d.Settings.Caller.Lifetime + d.Settings.Drain.Longest
}

// drain leaves the route answers, serves for their lifetime, and finishes what is in progress.
func (d *Daemon) drain() error {
	ctx, cancel := context.WithTimeout(context.Background(), d.drainLimit())
	defer cancel()
	d.loop.Drain()
	d.node.Leave()
	err := d.server.Drain(ctx)
	return errors.Join(err, d.claims.Flush(ctx))
}

// Revision returns the revision in force, 0 for none.
func (d *Daemon) Revision() int64 { return d.loop.Policy().Revision }

// Members returns the number of daemons that this one knows to take part, itself included.
func (d *Daemon) Members() int { return len(d.node.Members().Members) }

// Traffic returns the bytes that this daemon sent to and received from others since its start.
func (d *Daemon) Traffic() (sent, received int64) {
	b := d.node.Bytes()
	return b.Wire.Sent, b.Wire.Received
}

// Drains reports whether this daemon knows that a backend server is drained by an operator.
func (d *Daemon) Drains(backend string) bool { return d.standing.drains(backend) }

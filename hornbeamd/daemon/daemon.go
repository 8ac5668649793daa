// Package daemon wires the components of one router together and runs them.
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
	"hornbeamstep.example/coord/reconcile"
	"hornbeamstep.example/coord/sleep"
	"hornbeamstep.example/hornbeamd/caller"
	"hornbeamstep.example/hornbeamd/clientconn"
	"hornbeamstep.example/hornbeamd/control"
	"hornbeamstep.example/hornbeamd/engine"
	"hornbeamstep.example/hornbeamd/exchange"
	"hornbeamstep.example/hornbeamd/operator"
	"hornbeamstep.example/hornbeamd/peer"
	"hornbeamstep.example/hornbeamd/service"
	"hornbeamstep.example/hornbeamd/settings"
	"hornbeamstep.example/hornbeamd/shutdown"
	"hornbeamstep.example/policy"
	"hornbeamstep.example/policy/configfile"
	"hornbeamstep.example/policy/history"
	"hornbeamstep.example/ports/instancelist"
	"hornbeamstep.example/ports/objectapi"
	"hornbeamstep.example/timeline"
)

// Daemon is one router. Its exported fields are set before Run or Open.
type Daemon struct {
	Settings settings.Settings
	// Log receives log entries; nil disables logging.
	Log *zap.Logger

	registry     *prometheus.Registry
	ring         *timeline.Ring
	store        objectapi.Store
	history      *history.History
	instanceList *instancelist.HTTP
	inForce      *history.ActiveConfig
	claims       *claim.ObjectLog
	sharedState  *sharedState
	counters     counters
	usages       *usageAggregator
	node         *peer.Node
	loop         *control.Loop
	server       *caller.Server
	operator     *operator.Server
	listener     net.Listener
	guard        *clientconn.Guard
	// certificate is the TLS certificate presented to callers; nil without TLS.
	certificate *caller.Certificate
	// orders are the most recent orders that this daemon sent to engines, oldest first; at most
	// maxRecentOrders.
	ordersMu sync.Mutex
	orders   []operator.Order
	// drainRequested is closed when an operator drains the daemon.
	drainRequested chan struct{}
	drainOnce      sync.Once
	// plan is the latest adapter plan that was read, which request placement follows; planVersion
	// is its version.
	planMu      sync.Mutex
	plan        reconcile.Plan
	planVersion int64
}

// Open binds the address for callers and creates the components. Run opens a daemon that is not
// open yet.
func (d *Daemon) Open() error {
	if d.Log == nil {
		d.Log = zap.NewNop()
	}
	d.Log = d.Log.With(zap.String("daemon", d.Settings.ID))
	limits := clientconn.Limits{MemoryBytes: d.Settings.Limits.Memory << 20, Descriptors: d.Settings.Limits.Descriptors}.WithDefaults()
	limits.Apply()
	d.guard = clientconn.New(limits, d.Log)
	tcp, err := net.Listen("tcp", d.Settings.Caller.Listen)
	if err != nil {
		return eris.Wrapf(err, "cannot listen for callers on %s: free the port or configure another one", d.Settings.Caller.Listen)
	}
	listener := d.guard.Listener(tcp, d.Settings.Caller.TLS.Cert != "")
	d.listener = listener
	if tls := d.Settings.Caller.TLS; tls.Cert != "" {
		if d.certificate, err = caller.LoadCertificate(tls.Cert, tls.Key); err != nil {
			return errors.Join(err, listener.Close())
		}
		d.listener = d.certificate.Listener(listener)
	}
	d.drainRequested = make(chan struct{})
	if d.Settings.Caller.Address == "" {
		d.Settings.Caller.Address = listener.Addr().String()
	}
	d.registry = prometheus.NewRegistry()
	d.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	d.registry.MustRegister(d.guard.Metrics()...)
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
	metered, requestMetrics := objectapi.NewMetered(
		&objectapi.HTTP{Base: d.Settings.Platform.Objects, Timeout: d.Settings.Platform.Timeout})
	d.registry.MustRegister(requestMetrics...)
	d.store = metered
	d.history = &history.History{Store: d.store}
	d.instanceList = &instancelist.HTTP{Base: d.Settings.Platform.Instances, Timeout: d.Settings.Platform.Timeout}
	d.inForce = &history.ActiveConfig{}
	d.claims = &claim.ObjectLog{Store: d.store}
	d.sharedState = newSharedState(d.store, d.Log)
	d.registerStateMetrics()
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
	// The zone function needs d.loop, which is set below; it is not called before Run.
	peers := &peerClient{node: d.node, sharedState: d.sharedState, zone: func(engine string) string { return d.loop.Policy().Backends[engine].Zone }}
	d.loop = &control.Loop{
		Settings: d.Settings, Peers: peers, Claims: &shardedClaims{owner: d.shardOwner, remote: d.node, local: d.claims}, NewEngine: d.newControlClient, Ring: d.ring, Log: d.Log,
		Registry: d.registry, InForce: d.inForce,
	}
	if d.Settings.Engine.Moves {
		d.loop.Mover = &mover{dialTimeout: d.Settings.Engine.Connect}
	}
	d.node.Slots = slotServer{loop: d.loop, sharedState: d.sharedState}
	d.node.Loads = peers
	d.node.Revisions = revisionApplier{inForce: d.inForce, loader: &configfile.Loader{}}
	d.sharedState.node, d.sharedState.loop = d.node, d.loop
	d.node.Notices = d.sharedState
	d.node.Decisions = d.sharedState
	d.node.Timeline = timelineServer{ring: d.ring}
	d.node.Operator = d
	d.node.Claims = d.claims
	d.usages = newUsageAggregator()
	d.node.Usages = d.usages
	d.node.Contexts = d.loop
	d.node.Parts = d.loop
	d.node.Inventories = inventorySource{loop: d.loop}
	return nil
}

// shardOwner returns the router that owns a shard of the claim log, and false if that is this
// router or unknown.
func (d *Daemon) shardOwner(shard int) (string, bool) {
	owner := d.node.Owners().ShardOwner(shard)
	return owner, owner != "" && owner != d.Settings.ID
}

// newControlClient returns a client for the control loop's calls to an engine. These calls use
// other connections than the requests of callers.
func (d *Daemon) newControlClient(b policy.Backend) control.Engine {
	return engine.New(b.Name+" control", b.Address, engine.Options{
		Options: exchange.Options{DialTimeout: d.Settings.Engine.Connect, MaxIdleConns: 2},
	})
}

func (d *Daemon) openCallers() error {
	s := d.Settings
	// A plain service has no tokens. The timeout before the first token limits the wait for its
	// response header and for each read of the body, while another replica can take the call over.
	server, err := caller.New(caller.Options{
		Dispatcher: gatedDispatcher{Loop: d.loop, sharedState: d.sharedState}, Registry: d.registry, Log: d.Log, Guard: d.guard,
		MaxBodyBytes: int(s.Caller.Body), MaxRequests: s.Caller.Connections, MaxConnections: 2 * s.Caller.Connections,
		HeartbeatInterval: s.Caller.Heartbeat, WriteTimeout: s.Caller.Write, RouteTTL: s.Caller.Lifetime, MaxStoredResponse: claim.MaxAnswerBytes,
		Engine: engine.Options{
			Options: exchange.Options{DialTimeout: s.Engine.Connect}, FirstChunkTimeout: s.Engine.First, ProgressTimeout: s.Engine.Progress,
		},
		Service: service.Options{Options: exchange.Options{DialTimeout: s.Engine.Connect}, ProgressTimeout: s.Engine.First},
	})
	d.server = server
	return err
}

func (d *Daemon) openOperators() error {
	d.operator = &operator.Server{
		Fleet: &fleet{daemon: d}, Settings: d.Settings.Operator, Log: d.Log, Metrics: d.registry,
		Guard: d.guard,
	}
	return d.operator.Open()
}

// Addresses returns the addresses for callers, peers and operators. They are valid after Open; that
// for peers after Ready.
func (d *Daemon) Addresses() (callers, peers, operators string) {
	return d.Settings.Caller.Address, d.node.Address(), d.operator.Address()
}

// Ready returns a channel that is closed once the daemon listens for its peers. Valid after Open.
func (d *Daemon) Ready() <-chan struct{} { return d.node.Ready() }

// waitUntilReady waits until the daemon listens for its peers, and returns false if ctx ends first.
// If the port for peers is in use, Ready is never closed; the failure of the node then ends ctx, so
// that Run returns the error instead of waiting forever.
func (d *Daemon) waitUntilReady(ctx context.Context) bool {
	select {
	case <-d.node.Ready():
		return true
	case <-ctx.Done():
		return false
	}
}

// Run serves until ctx ends or an operator drains the daemon, and then until the drain is complete.
// It returns an error if a component fails or if the drain exceeds its limit.
func (d *Daemon) Run(ctx context.Context) error {
	if d.listener == nil {
		if err := d.Open(); err != nil {
			return err
		}
	}
	shutdown.SetDrainTimeout(d.drainLimit())
	// The components keep running during the drain, after ctx has ended.
	componentsCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, componentsCtx := errgroup.WithContext(componentsCtx)
	group.Go(func() error { return d.node.Run(componentsCtx) })
	group.Go(func() error { return d.loop.Run(componentsCtx) })
	group.Go(func() error { return d.operator.Run(componentsCtx) })
	group.Go(func() error {
		d.sharedState.restore(componentsCtx)
		return d.server.Serve(d.listener)
	})
	group.Go(func() error { return d.sharedState.run(componentsCtx) })
	group.Go(func() error { return d.watchConfig(componentsCtx) })
	group.Go(func() error { return d.watchInstances(componentsCtx) })
	group.Go(func() error { return d.updateResources(componentsCtx) })
	group.Go(func() error { return d.exchangeUsage(componentsCtx) })
	group.Go(func() error { return d.maintainClaims(componentsCtx) })
	group.Go(func() error { return d.reloadCertificates(componentsCtx) })
	group.Go(func() error { return d.watchPlan(componentsCtx) })
	if d.Settings.Orders.Enable {
		group.Go(func() error { return d.reconcileEngines(componentsCtx) })
		group.Go(func() error { return d.planAdapters(componentsCtx) })
	}
	d.Log.Info("daemon started", zap.String("callers", d.Settings.Caller.Address))
	select {
	case <-ctx.Done():
	case <-d.drainRequested:
	case <-componentsCtx.Done():
		// A component failed. Requests in progress need none of them to end.
		err := d.finish()
		return errors.Join(group.Wait(), err)
	}
	err := d.drain()
	stop()
	return errors.Join(err, group.Wait())
}

// certificateReloadInterval is the time between two checks for renewed certificates.
const certificateReloadInterval = time.Minute

// reloadCertificates loads renewed certificates. If the files cannot be read, the old certificates
// stay in use.
func (d *Daemon) reloadCertificates(ctx context.Context) error {
	reload := map[string]func() error{}
	if d.node.Keys != nil {
		reload["peers"] = d.node.Keys.Reload
	}
	if d.certificate != nil {
		reload["callers"] = d.certificate.Reload
	}
	failed := map[string]bool{}
	for len(reload) > 0 && sleep.For(ctx, certificateReloadInterval) == nil {
		for side, read := range reload {
			err := read()
			if err != nil && !failed[side] {
				d.Log.Error("cannot reload certificates; the old ones stay in use", zap.String("towards", side), zap.Error(err))
			}
			failed[side] = err != nil
		}
	}
	return nil
}

// requestDrain starts the drain of this daemon.
func (d *Daemon) requestDrain() {
	d.drainOnce.Do(func() { close(d.drainRequested) })
}

// drainLimit returns the longest time from the start of the drain to the end of the process: the
// time for which callers cache route responses, and then the time limit for running requests.
func (d *Daemon) drainLimit() time.Duration {
	return d.Settings.Caller.Lifetime + d.Settings.Drain.Longest
}

// drain removes this daemon from the route responses of all daemons, keeps serving until earlier
// route responses have expired, and then waits for running requests to end.
func (d *Daemon) drain() error {
	ctx, cancel := context.WithTimeout(context.Background(), d.drainLimit())
	defer cancel()
	d.loop.Drain()
	d.node.Leave()
	err := d.server.Drain(ctx)
	return errors.Join(err, d.claims.Flush(ctx))
}

// finish refuses new requests at once and waits for running requests to end. Without its components
// the daemon cannot serve new requests for the time of a drain.
func (d *Daemon) finish() error {
	ctx, cancel := context.WithTimeout(context.Background(), d.Settings.Drain.Longest)
	defer cancel()
	d.loop.Drain()
	err := d.server.Finish(ctx)
	return errors.Join(err, d.claims.Flush(ctx))
}

// Revision returns the configuration revision in force, or 0 if there is none.
func (d *Daemon) Revision() int64 { return d.loop.Policy().Revision }

// MemberCount returns the number of fleet members that this daemon knows, itself included.
func (d *Daemon) MemberCount() int { return len(d.node.Members().Members) }

// Traffic returns the number of bytes that this daemon has sent to and received from other daemons
// since its start.
func (d *Daemon) Traffic() (sent, received int64) {
	b := d.node.TrafficStats()
	return b.Wire.Sent, b.Wire.Received
}

// IsDrained reports whether, as far as this daemon knows, an operator has drained the backend
// server.
func (d *Daemon) IsDrained(backend string) bool { return d.sharedState.isDrained(backend) }

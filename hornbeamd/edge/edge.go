// Package edge runs a router on a machine of the platform: it loads the settings, connects the
// components, starts them and shuts them down.
package edge

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"hornbeamstep.example/coord/presence"
	"hornbeamstep.example/hornbeamd/backend"
	"hornbeamstep.example/hornbeamd/clientconn"
	"hornbeamstep.example/hornbeamd/gateway"
	"hornbeamstep.example/hornbeamd/mesh"
	"hornbeamstep.example/hornbeamd/shutdown"
	"hornbeamstep.example/hornbeamd/storewatch"
	"hornbeamstep.example/platform/bootfile"
	"hornbeamstep.example/platform/headers"
	"hornbeamstep.example/platform/metastore"
	"hornbeamstep.example/platform/registry"
	"hornbeamstep.example/routing/balance"
	"hornbeamstep.example/routing/evacuation"
	"hornbeamstep.example/routing/permit"
	"hornbeamstep.example/routing/roster"
	"hornbeamstep.example/routing/routes"
)

// Router is the router on one machine. Its exported fields must be set before Run is called.
type Router struct {
	// SettingsPath is the path of the settings file.
	SettingsPath string
	// MetricsPort is the port of the metrics listener on the machine's address.
	MetricsPort int
	Log         *zap.Logger

	settings bootfile.Settings
	registry *prometheus.Registry
	gateway  *gateway.Server
	control  *controlLoop
	store    *metastore.Client
	mesh     *mesh.Node
	archive  *archive
	guard    *clientconn.Guard
	// seeds holds the seeds of the settings file, as it was last read.
	seeds atomic.Pointer[[]string]
}

// Timeouts, intervals and limits.
const (
	// evacuationShare is the part of the time for an evacuation, in percent, in which the servers of a
	// zone are taken out of use one after the other. The rest is for the news to reach all routers.
	evacuationShare = 50
	// storeTimeout limits calls to the store other than watches, and watchMargin is the time that a
	// watch may take in addition to its requested wait. Both are many times the usual response
	// time.
	storeTimeout = 700 * time.Millisecond
	watchMargin  = 300 * time.Millisecond
	// sweepInterval is the time between two checks for expired idle connections to backend servers.
	sweepInterval = time.Second
	// headerTimeout limits the time to read the headers of a request. The header timeout in the
	// configuration is of the same order.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes limits the size of the headers of a request; the limit in the configuration is
	// lower.
	maxHeaderBytes = 64 << 10
)

// Run serves requests until the context is canceled, then drains and returns.
func (e *Router) Run(ctx context.Context) error {
	// Without a handler, SIGHUP ends the process. The handler is installed first and stays, so that
	// a SIGHUP does no harm while the router starts or exits.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	settings, err := bootfile.Load(e.SettingsPath)
	if err != nil {
		return err
	}
	e.settings = settings
	e.seeds.Store(&settings.Seeds)
	shutdown.SetDrainTimeout(settings.GracePeriod)
	e.Log = e.Log.With(zap.String("router", settings.Name))
	e.registry = prometheus.NewRegistry()
	limits := clientconn.Limits{MemoryBytes: int64(settings.MemoryMB * (1 << 20)), Descriptors: settings.MaxDescriptors}.WithDefaults()
	limits.Apply()
	e.guard = clientconn.New(limits, e.Log.Named("clients"))
	e.registry.MustRegister(e.guard.Metrics()...)
	e.build()
	background, stop := context.WithCancel(context.Background())
	defer stop()
	if err := e.mesh.Start(); err != nil {
		return err
	}
	servers, err := e.listen(background)
	if err != nil {
		return err
	}
	e.Log.Info("started", zap.String("front", settings.Front), zap.String("zone", settings.Zone), zap.String("store", settings.Store),
		zap.Strings("seeds", settings.Seeds))
	e.start(background)
	go e.reloadOnHangup(background, hangup)
	<-ctx.Done()
	e.drain(servers)
	return nil
}

// build creates the components from the settings.
func (e *Router) build() {
	s := e.settings
	codec := headers.Codec{}
	permits := gateway.NewPermits()
	permits.Self = s.Name
	balancer := balance.New(balance.DefaultSettings(), s.Name)
	balancer.RateLimits = permits
	upstreams := &gateway.Upstreams{
		Balancer: balancer,
		Limits:   gateway.RetryLimits{Share: s.RetryRatio, Extra: s.RetrySlack, Window: s.RetryWindow},
	}
	e.gateway = &gateway.Server{
		Codec: codec, Upstreams: upstreams, Crashes: gateway.NewCrashTracker(), Permits: permits, Origins: gateway.NewOrigins(), Zone: s.Zone, ZoneRegions: s.ZoneRegions, Log: e.Log.Named("gateway"), Metrics: gateway.NewMetrics(e.registry),
		Pool: &backend.Pool{Codec: codec, DialTimeout: backend.DefaultDialTimeout, OnConnect: e.connectionCounter()},
	}
	e.gateway.Crashes.Log, e.gateway.Crashes.Metrics = e.gateway.Log, gateway.NewCrashMetrics(e.registry)
	e.gateway.Crashes.OnCrash = permits.SuspectCrashed
	e.gateway.ID = s.Name
	e.gateway.Relays = gateway.NewRelays(&backend.Pool{Codec: codec, DialTimeout: backend.DefaultDialTimeout})
	e.gateway.Paths = gateway.NewPaths(e.gateway.Pool)
	e.gateway.Paths.OnRegained = upstreams.ResumeServers
	e.gateway.Paths.Log, e.gateway.Paths.Metrics = e.gateway.Log, gateway.NewPathMetrics(e.registry)
	e.gateway.Started = time.Now()
	e.gateway.Init()
	peerPort := strconv.Itoa(s.FirstPort)
	self := presence.Record{
		ID: s.Name, Zone: s.Zone, Region: s.Region, Boot: time.Now().UnixMilli(), Format: mesh.Format, Capacity: presence.Capacity(s.Cores, s.LinkMbps),
		Peer: net.JoinHostPort(s.IP, peerPort), Control: s.Control, Front: s.Front,
	}
	e.control = &controlLoop{
		self: self, presence: presence.New(presence.DefaultSettings(), self), roster: roster.New(roster.DefaultSettings(s.ServerHeartbeatInterval)),
		gateway: e.gateway, upstreams: upstreams, seeds: heartbeatAddresses(s.Seeds, peerPort), gracePeriod: s.GracePeriod, log: e.Log.Named("control"),
		tasks: make(chan func(), taskQueueSize), started: time.Now(), fetching: map[string]bool{},
	}
	e.control.evacuations.Spread = evacuationShare * s.EvacuateTimeout / 100
	e.mesh = &mesh.Node{Listen: self.Peer, Control: s.Control, State: e.control, Log: e.Log.Named("mesh")}
	e.registerDroppedMessages()
	e.registerConditionMetrics()
	e.control.send = e.mesh.Send
	permits.Send = func(address string, q gateway.PermitQuestion) {
		e.mesh.Send(permitRequest(time.Now(), s.Name, address, q))
	}
	permits.Reply = func(address, server string, number uint32, answer permit.Answer) {
		e.mesh.Send(permitAnswer(s.Name, address, server, number, answer))
	}
	e.gateway.Origins.Transport = originTransport{s.Name, e.mesh}
	e.store = metastore.New(s.Store, storeTimeout, watchMargin)
	e.store.Count = e.storeCounter()
	e.archive = newArchive(e.store, e.Log.Named("archive"), e.registry)
	e.gateway.Origins.StoreReadsPerSecond = s.StoreReadsPerSecond
	e.gateway.Origins.Archive, e.gateway.Origins.Log = e.archive, e.gateway.Log
}

// heartbeatAddresses returns the heartbeat addresses of the routers with the given control
// addresses. The heartbeat port is the same on all machines.
func heartbeatAddresses(controlAddresses []string, port string) []string {
	var out []string
	for _, address := range controlAddresses {
		if host, _, err := net.SplitHostPort(address); err == nil {
			out = append(out, net.JoinHostPort(host, port))
		}
	}
	return out
}

// start runs the components in the background.
func (e *Router) start(ctx context.Context) {
	c := e.control
	e.mesh.OnMessage = func(m presence.Message, source string) { c.tryEnqueue(func() { c.handleMessage(ctx, m, source) }) }
	watcher := &storewatch.Watcher{
		Store: e.store, IsFirstStart: e.settings.IsFirstStart, ApplyWithin: e.applyWithin(), Active: &c.watching, Log: e.Log.Named("source"),
		OnSuccess:      func() { c.enqueue(c.storeAnswered) },
		OnError:        func(err error) { c.enqueue(func() { c.storeFailed(err) }) },
		OnConfig:       func(config routes.Config) { c.enqueue(func() { c.applyConfig(config, storeSource) }) },
		OnServers:      func(r roster.Snapshot) { c.enqueue(func() { c.applyServers(r, storeSource) }) },
		EvacuateWithin: e.settings.EvacuateTimeout, OnEvacuations: func(z evacuation.Zones) { c.enqueue(func() { c.applyEvacuations(z, storeSource) }) },
	}
	go e.mesh.Run(ctx)
	go c.run(ctx)
	go watcher.Run(ctx)
	go e.archive.run(ctx)
	go e.registerAndDiscover(ctx)
	go e.sweepConnections(ctx)
}

// applyWithin returns the time within which a change in the store has to be in effect. It is
// limited to a few heartbeat intervals of backend servers, because the routers would take a longer
// silence of the store for an outage in which entries expire.
func (e *Router) applyWithin() time.Duration {
	const maxHeartbeats = 3
	s := e.settings
	return min(s.ConfigApplyTimeout, s.DrainTimeout, maxHeartbeats*s.ServerHeartbeatInterval)
}

const (
	// maxRegistered is the number of routers that are registered in the store. They are enough for
	// a router that reaches none of its seeds to find one that is live.
	maxRegistered = 16
	// firstRegistrationDelay is the time after the start within which a router usually hears of the
	// others, and discoveryInterval the time between two looks at whether it has.
	firstRegistrationDelay = time.Second
	discoveryInterval      = 5 * time.Second
)

// registerAndDiscover registers this router in the store, where routers that reach none of their
// seeds look for others, if it is one of the first maxRegistered by rank or receives no heartbeats.
// It registers again when the store has been restored from a copy, which may lack the entry. While
// this router receives no heartbeats, it looks in the store for other routers itself.
func (e *Router) registerAndDiscover(ctx context.Context) {
	registered, registeredEra := false, int64(0)
	delay := firstRegistrationDelay
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
		// The jitter spreads the calls of a fleet that notices a restore at the same time.
		delay = discoveryInterval/2 + rand.N(discoveryInterval)
		known, rank := e.fleetPosition(ctx)
		isCurrent := registered && e.control.storeEra.Load() <= registeredEra
		if !isCurrent && (known == 0 || rank < maxRegistered) {
			registered, registeredEra = e.register(ctx)
		}
		if known == 0 {
			e.discoverSeeds(ctx)
		}
	}
}

// register writes the entry of this router to the store, and returns the era in which the store
// acknowledged it.
func (e *Router) register(ctx context.Context) (registered bool, era int64) {
	era, err := e.store.Put(ctx, registry.RoutersKind, e.settings.Name, registry.Router{Control: e.settings.Control})
	if err != nil {
		e.Log.Info("registering this router in the metadata store failed; retrying", zap.Error(err))
		return false, 0
	}
	e.Log.Info("registered this router in the metadata store", zap.Int64("era", era))
	return true, era
}

// fleetPosition returns the number of other routers from which heartbeats arrive, and how many of
// them precede this router by rank.
func (e *Router) fleetPosition(ctx context.Context) (known, rank int) {
	type position struct{ known, rank int }
	answer := make(chan position, 1)
	e.control.enqueue(func() {
		now := time.Now()
		answer <- position{e.control.presence.LiveCount(now), e.control.presence.Rank(now)}
	})
	select {
	case p := <-answer:
		return p.known, p.rank
	case <-ctx.Done():
		return 0, 0
	}
}

// discoverSeeds sets the seeds to the routers that are registered in the store and the seeds that
// the settings file lists.
func (e *Router) discoverSeeds(ctx context.Context) {
	found, err := e.store.List(ctx, registry.RoutersKind)
	if err != nil {
		e.Log.Info("listing the routers in the metadata store failed", zap.Error(err))
		return
	}
	var addresses []string
	for _, r := range registry.DecodeRouters(found.Objects) {
		addresses = append(addresses, r.Control)
	}
	seeds := heartbeatAddresses(append(addresses, *e.seeds.Load()...), strconv.Itoa(e.settings.FirstPort))
	e.control.enqueue(func() { e.control.seeds = seeds })
}

// sweepConnections regularly closes expired idle connections to backend servers.
func (e *Router) sweepConnections(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			e.gateway.Pool.CloseExpired(now)
			e.gateway.Relays.Pool.CloseExpired(now)
		}
	}
}

// reloadOnHangup reloads the seeds from the settings file on SIGHUP. A change of the other
// settings, such as listen addresses, takes effect only at a restart.
func (e *Router) reloadOnHangup(ctx context.Context, hangup <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		}
		s, err := bootfile.Load(e.SettingsPath)
		if err != nil {
			e.Log.Error("reloading the settings failed; keeping the current ones", zap.Error(err))
			continue
		}
		e.seeds.Store(&s.Seeds)
		e.control.enqueue(func() { e.control.seeds = heartbeatAddresses(s.Seeds, strconv.Itoa(e.settings.FirstPort)) })
		e.Log.Info("settings reloaded", zap.Strings("seeds", s.Seeds))
	}
}

// listen starts the HTTP servers for clients, for the platform and for operators.
func (e *Router) listen(ctx context.Context) ([]*http.Server, error) {
	directory, err := e.directoryHandler()
	if err != nil {
		return nil, err
	}
	operators, err := e.operatorHandler()
	if err != nil {
		return nil, err
	}
	front := &http.Server{
		Handler: e.gateway, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: zap.NewStdLog(e.Log.Named("http")),
	}
	servers := []*http.Server{front}
	addresses := []string{e.settings.Front}
	for _, other := range []struct {
		address string
		handler http.Handler
	}{
		{e.settings.Readiness, directory},
		{e.settings.Directory, directory},
		{net.JoinHostPort(e.settings.IP, strconv.Itoa(e.MetricsPort)), operators},
		{e.control.self.Peer, e.gateway.RelayHandler()},
	} {
		servers = append(servers, &http.Server{Handler: other.handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes})
		addresses = append(addresses, other.address)
	}
	for i, server := range servers {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", addresses[i])
		if err != nil {
			return nil, eris.Wrapf(err, "listen on %s; check that no other process uses the port", addresses[i])
		}
		e.guard.Watch(server)
		listener = e.guard.Listener(listener, false)
		if server == front {
			listener = withIdleLimit(front, listener, e.gateway)
		}
		go func() {
			if err := server.Serve(listener); err != http.ErrServerClosed {
				e.Log.Error("HTTP server stopped unexpectedly", zap.String("address", addresses[i]), zap.Error(err))
			}
		}()
	}
	return servers, nil
}

// Package edge runs a router on a machine of the platform: it takes its settings, wires the parts together and shuts them down.
package edge

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"hornbeamstep.example/coord/presence"
	"hornbeamstep.example/hornbeamd/backend"
	"hornbeamstep.example/hornbeamd/gateway"
	"hornbeamstep.example/hornbeamd/mesh"
	"hornbeamstep.example/hornbeamd/shutdown"
	"hornbeamstep.example/hornbeamd/source"
	"hornbeamstep.example/platform/bootfile"
	"hornbeamstep.example/platform/headers"
	"hornbeamstep.example/platform/metastore"
	"hornbeamstep.example/platform/registry"
	"hornbeamstep.example/routing/balance"
	"hornbeamstep.example/routing/roster"
	"hornbeamstep.example/routing/routes"
)

// Edge is the router on one machine. Fields are set before Run.
type Edge struct {
	// Path is that of the settings file.
	Path string
	// Metrics is the port for metrics on the machine's address.
	Metrics int
	Log     *zap.Logger

	settings bootfile.Settings
	registry *prometheus.Registry
	gateway  *gateway.Server
	control  *control
	store    *metastore.Client
	mesh     *mesh.Node
}

// Times and sizes of a router.
const (
	// storeTimeout is the longest time for a call to the store that is no watch, and storeMargin the longest time for a watch
	// beyond its wait: many times the usual answer.
	storeTimeout = 700 * time.Millisecond
	storeMargin  = 300 * time.Millisecond
	// sweepEvery is the time between two looks for idle connections whose time is up.
	sweepEvery = time.Second
	// headerTimeout is the longest time for the head of a request; the configuration's limits are of that order.
	headerTimeout = 10 * time.Second
	// headerLimit bounds the head of a request in bytes; the configuration's limit is lower.
	headerLimit = 64 << 10
)

// Run serves until the context ends and the drain is over.
func (e *Edge) Run(ctx context.Context) error {
	settings, err := bootfile.Load(e.Path)
	if err != nil {
		return err
	}
	e.settings = settings
	shutdown.Extend(settings.Grace)
	e.Log = e.Log.With(zap.String("router", settings.Name))
	e.registry = prometheus.NewRegistry()
	e.build()
	work, stop := context.WithCancel(context.Background())
	defer stop()
	if err := e.mesh.Start(); err != nil {
		return err
	}
	servers, err := e.listen(work)
	if err != nil {
		return err
	}
	e.Log.Info("started", zap.String("front", settings.Front), zap.String("zone", settings.Zone), zap.String("store", settings.Store),
		zap.Strings("seeds", settings.Seeds))
	e.start(work)
	<-ctx.Done()
	e.drain(servers)
	return nil
}

// build makes the parts from the settings.
func (e *Edge) build() {
	s := e.settings
	codec := headers.Codec{}
	upstreams := &gateway.Upstreams{
		Balancer: balance.New(balance.DefaultSettings(), s.Name),
		Limits:   gateway.RetryLimits{Share: s.RetryShare, Extra: s.RetryExtra, Window: s.RetryWindow},
	}
	e.gateway = &gateway.Server{
		Codec: codec, Upstreams: upstreams, Crashes: gateway.NewCrashTracker(), Zone: s.Zone, Log: e.Log.Named("gateway"), Metrics: gateway.NewMetrics(e.registry),
		Pool: &backend.Pool{Codec: codec, DialTimeout: backend.DefaultDialTimeout, OnConnect: e.connectionCounter()},
	}
	e.gateway.Started = time.Now()
	e.gateway.Init()
	peerPort := strconv.Itoa(s.FirstPort)
	self := presence.Record{
		ID: s.Name, Zone: s.Zone, Region: s.Region, Boot: time.Now().UnixMilli(), Capacity: presence.Capacity(s.Cores, s.Link),
		Peer: net.JoinHostPort(s.IP, peerPort), Control: s.Control, Front: s.Front,
	}
	e.control = &control{
		self: self, presence: presence.New(presence.DefaultSettings(), self), roster: roster.New(roster.DefaultSettings(s.Heartbeat)),
		gateway: e.gateway, upstreams: upstreams, seeds: peers(s.Seeds, peerPort), log: e.Log.Named("control"),
		events: make(chan func(), eventQueue), started: time.Now(), fetching: map[string]bool{},
	}
	e.mesh = &mesh.Node{Listen: self.Peer, Control: s.Control, Knowledge: e.control, Log: e.Log.Named("mesh")}
	e.control.send = e.mesh.Send
	e.store = metastore.New(s.Store, storeTimeout, storeMargin)
	e.store.Count = e.storeCounter()
}

// peers returns the addresses for heartbeats of routers given by their control addresses: ports are the same on all machines.
func peers(control []string, port string) []string {
	var out []string
	for _, address := range control {
		if host, _, err := net.SplitHostPort(address); err == nil {
			out = append(out, net.JoinHostPort(host, port))
		}
	}
	return out
}

// start runs the parts in the background.
func (e *Edge) start(ctx context.Context) {
	c := e.control
	e.mesh.Received = func(m presence.Message) { c.offer(func() { c.heard(ctx, m) }) }
	watcher := &source.Watcher{
		Store: e.store, Duty: &c.duty, Log: e.Log.Named("source"),
		Contact: func() { c.do(c.storeAnswered) },
		Lost:    func(err error) { c.do(func() { c.storeFailed(err) }) },
		Config:  func(config routes.Config) { c.do(func() { c.setConfig(config, "store") }) },
		Servers: func(r roster.Snapshot) { c.do(func() { c.setServers(r, "store") }) },
	}
	go e.mesh.Run(ctx)
	go c.run(ctx)
	go watcher.Run(ctx)
	go e.register(ctx)
	go e.sweep(ctx)
	go e.reload(ctx)
}

// register makes this router known to those that reach no seed, and learns of others.
func (e *Edge) register(ctx context.Context) {
	const pause = 5 * time.Second
	for {
		err := e.store.Put(ctx, registry.RoutersKind, e.settings.Name, registry.Router{Control: e.settings.Control})
		if err == nil {
			break
		}
		e.Log.Info("router not registered yet", zap.Error(err))
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		if e.alone(ctx) {
			e.discover(ctx)
		}
	}
}

// alone is true if no other router is heard.
func (e *Edge) alone(ctx context.Context) bool {
	answer := make(chan bool, 1)
	e.control.do(func() { answer <- e.control.presence.Live(time.Now()) == 0 })
	select {
	case alone := <-answer:
		return alone
	case <-ctx.Done():
		return false
	}
}

// discover adds the routers in the store to the seeds.
func (e *Edge) discover(ctx context.Context) {
	found, err := e.store.List(ctx, registry.RoutersKind)
	if err != nil {
		e.Log.Info("routers not listed", zap.Error(err))
		return
	}
	var control []string
	for _, r := range registry.Routers(found.Objects) {
		control = append(control, r.Control)
	}
	seeds := peers(append(control, e.settings.Seeds...), strconv.Itoa(e.settings.FirstPort))
	e.control.do(func() { e.control.seeds = seeds })
}

func (e *Edge) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			e.gateway.Pool.CloseExpired(now)
		}
	}
}

// reload reads the settings file again at SIGHUP. Addresses stay as they are until a restart.
func (e *Edge) reload(ctx context.Context) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		}
		s, err := bootfile.Load(e.Path)
		if err != nil {
			e.Log.Error("settings not reloaded; the present ones stay in force", zap.Error(err))
			continue
		}
		e.control.do(func() { e.control.seeds = peers(s.Seeds, strconv.Itoa(e.settings.FirstPort)) })
		e.Log.Info("settings reloaded", zap.Strings("seeds", s.Seeds))
	}
}

// listen opens the addresses for callers and for the platform.
func (e *Edge) listen(ctx context.Context) ([]*http.Server, error) {
	entry, err := e.entryHandler()
	if err != nil {
		return nil, err
	}
	operators, err := e.operatorHandler()
	if err != nil {
		return nil, err
	}
	front := &http.Server{
		Handler: e.gateway, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: headerLimit,
		ErrorLog: zap.NewStdLog(e.Log.Named("http")),
	}
	servers := []*http.Server{front}
	addresses := []string{e.settings.Front}
	for _, other := range []struct {
		address string
		handler http.Handler
	}{
		{e.settings.Readiness, entry},
		{e.settings.Directory, entry},
		{net.JoinHostPort(e.settings.IP, strconv.Itoa(e.Metrics)), operators},
	} {
		servers = append(servers, &http.Server{Handler: other.handler, ReadHeaderTimeout: headerTimeout})
		addresses = append(addresses, other.address)
	}
	for i, server := range servers {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", addresses[i])
		if err != nil {
			return nil, eris.Wrapf(err, "listen on %s; check that no other process uses the port", addresses[i])
		}
		if server == front {
			listener = limitIdle(front, listener, e.gateway)
		}
		go func() {
			if err := server.Serve(listener); err != http.ErrServerClosed {
				e.Log.Error("listener ended", zap.String("address", addresses[i]), zap.Error(err))
			}
		}()
	}
	return servers, nil
}

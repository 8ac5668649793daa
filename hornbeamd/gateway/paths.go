package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"hornbeamstep.example/hornbeamd/backend"
	"hornbeamstep.example/routing/reach"
	"hornbeamstep.example/routing/roster"
)

// Paths tracks whether this router reaches the backend servers of each service. It is safe for
// concurrent use. The exported fields must be set before first use.
type Paths struct {
	// Pool holds the connections to backend servers. Its OnDial must be Paths.RecordDial.
	Pool *backend.Pool
	// OnRegained is called with a service whose path is regained; optional. It must not block.
	OnRegained func(service string)
	Log        *zap.Logger
	Metrics    *PathMetrics

	mu      sync.Mutex
	tracker *reach.Tracker
	// addresses holds the addresses of the servers by service.
	addresses map[string][]string
}

// PathMetrics holds the metrics of paths to backend servers.
type PathMetrics struct {
	changes *prometheus.CounterVec
}

// NewPathMetrics creates the metrics and registers them with r.
func NewPathMetrics(r prometheus.Registerer) *PathMetrics {
	m := &PathMetrics{changes: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "hornbeam_gateway_path_changes_total", Help: "Changes of the path to the backend servers of a service: lost, regained.",
	}, []string{"change"})}
	r.MustRegister(m.changes)
	return m
}

// NewPaths returns a Paths that knows no servers, which connects by the given pool.
func NewPaths(pool *backend.Pool) *Paths {
	p := &Paths{Pool: pool, Log: zap.NewNop(), Metrics: NewPathMetrics(prometheus.NewRegistry()), tracker: reach.New(reach.DefaultSettings())}
	pool.OnDial = p.RecordDial
	return p
}

// SetServers replaces the list of backend servers.
func (p *Paths) SetServers(servers []roster.Server) {
	var list []reach.Server
	addresses := map[string][]string{}
	for _, s := range servers {
		if !s.Leaving {
			list = append(list, reach.Server{Service: s.Service, Address: s.Address})
			addresses[s.Service] = append(addresses[s.Service], s.Address)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tracker.SetServers(list)
	p.addresses = addresses
}

// RecordDial records whether a connection to a server could be established.
func (p *Paths) RecordDial(address string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.apply(p.tracker.RecordDial(time.Now(), address, ok))
}

// recordWaiting records that n more requests wait for data of a service.
func (p *Paths) recordWaiting(service string, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tracker.RecordWaiting(time.Now(), service, n)
}

// recordData records that a server of a service has sent data.
func (p *Paths) recordData(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tracker.RecordData(time.Now(), service)
}

// IsLost reports whether the path to the servers of a service is lost.
func (p *Paths) IsLost(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.IsLost(service)
}

// Lost returns the services to which the path is lost, sorted.
func (p *Paths) Lost() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.Lost()
}

// Tick starts the probes that are due. It must be called periodically.
func (p *Paths) Tick(ctx context.Context, now time.Time) {
	p.mu.Lock()
	probes, changes := p.tracker.Tick(now)
	p.apply(changes)
	p.mu.Unlock()
	for _, address := range probes {
		go p.Pool.Probe(ctx, address)
	}
}

// apply logs changes. Idle connections of a lost path are closed, because requests on them would
// wait for servers that they don't reach.
func (p *Paths) apply(changes []reach.Change) {
	for _, c := range changes {
		fields := []zap.Field{zap.String("service", c.Service), zap.Int("unreached", c.Unreached), zap.Int("servers", c.Servers), zap.Duration("since", c.Since)}
		if !c.Lost {
			p.Metrics.changes.WithLabelValues("regained").Inc()
			p.Log.Info("regained the path to the backend servers of a service", fields...)
			if p.OnRegained != nil {
				p.OnRegained(c.Service)
			}
			continue
		}
		p.Metrics.changes.WithLabelValues("lost").Inc()
		p.Log.Warn("lost the path to the backend servers of a service", fields...)
		for _, address := range p.addresses[c.Service] {
			p.Pool.CloseIdle(address)
		}
	}
}

package gateway

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"hornbeamstep.example/hornbeamd/backend"
	"hornbeamstep.example/routing/permit"
	"hornbeamstep.example/routing/roster"
)

// Permits keeps the requests to servers that state a rate limit within that limit, together with
// the other routers. It is safe for concurrent use.
type Permits struct {
	mu     sync.Mutex
	ledger *permit.Ledger
}

// NewPermits returns a Permits that knows no limits.
func NewPermits() *Permits { return &Permits{ledger: permit.NewLedger()} }

// SetServers replaces the list of backend servers.
func (p *Permits) SetServers(servers []roster.Server) {
	born := make(map[string]int64, len(servers))
	for _, s := range servers {
		born[s.ID] = s.Born
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ledger.SetServers(born)
}

// Limit returns the number of requests per second that a server takes from all routers together;
// limited is false if it states no limit.
func (p *Permits) Limit(server string) (perSecond float64, limited bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ledger.Limit(server)
}

// observe records the limit that a server states in a response, and reports whether it has changed.
func (p *Permits) observe(now time.Time, server string, limit permit.Limit) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ledger.Observe(now, server, limit)
}

// applyLimit records the rate limit that the chosen server states in a response, or that it no
// longer states one. It logs a change.
func (a *attempt) applyLimit(response *backend.Response) {
	c, stated := a.request, response.Limit
	// The response may be that of another server, or an unreadable one may hide a limit.
	if response.Misdirected || stated.Unreadable || !stated.Stated && response.Attempt != c.metadata.Attempt {
		return
	}
	now := time.Now()
	if !c.server.Permits.observe(now, a.choice.Server.ID, permit.Limit{PerSecond: stated.PerSecond, Ended: !stated.Stated, At: now}) {
		return
	}
	c.server.Log.Info("backend server changes its rate limit", zap.String("id", c.metadata.Attempt), zap.String("server", a.choice.Server.ID),
		zap.Int64("born", a.choice.Server.Born), zap.Bool("limited", stated.Stated), zap.Float64("per_second", stated.PerSecond), zap.Int("status", response.Status))
}

package edge

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"

	"hornbeamstep.example/hornbeamd/inspect"
)

// report returns the status report of this router for operators.
func (e *Router) report(ctx context.Context) (inspect.Report, error) {
	answer := make(chan inspect.Report, 1)
	e.control.enqueue(func() { answer <- e.control.report(time.Now()) })
	select {
	case r := <-answer:
		outcomes, err := requestsByOutcome(e.registry)
		r.Outcomes = outcomes
		return r, err
	case <-ctx.Done():
		return inspect.Report{}, eris.Wrap(ctx.Err(), "wait for the control loop")
	}
}

// report returns the status report without the numbers of requests by outcome. An age of -1 means
// that the store has never responded.
func (c *controlLoop) report(now time.Time) inspect.Report {
	own := c.state(now)
	newest, _ := c.presence.LastStoreContact(now, c.storeContact)
	r := inspect.Report{
		Router: c.self.ID, Zone: c.self.Zone, Uptime: now.Sub(c.started).Milliseconds(), Ready: own.Ready, Draining: c.drainingSince.Load() != nil,
		ActiveRequests: c.gateway.Active(), Unreached: c.lostPaths,
		Store: inspect.Store{
			Watching: c.watching.On(), LastCallFailed: own.StoreLost, ContactAge: own.StoreContactAge, FleetContactAge: -1, ServersEra: own.Servers.Era, ServersRevision: own.Servers.Number, RetainedServers: c.roster.RetainedCount(),
		},
	}
	r.EvacuatedZones = c.evacuations.Evacuated()
	if h := c.roster.Snapshot().History; h != nil {
		for _, v := range h.Versions {
			r.Versions = append(r.Versions, v.Service+" "+v.Version)
		}
	}
	if !newest.IsZero() {
		r.Store.FleetContactAge = now.Sub(newest).Milliseconds()
	}
	if t := c.gateway.Table(); t != nil {
		r.Config = inspect.Config{Version: t.Version(), Age: now.Sub(c.configAppliedAt).Milliseconds(), Routes: t.RouteCount(), Source: c.configSource}
	}
	for _, m := range c.presence.Members(now) {
		r.Routers = append(r.Routers, inspect.Peer{
			ID: m.ID, Zone: m.Zone, Ready: m.Ready, HeartbeatAge: now.Sub(m.SentAt).Milliseconds(), ConfigVersion: m.Config, ServersRevision: m.Servers.Number, Format: m.Format,
		})
	}
	for _, s := range c.upstreams.States(now) {
		limit, limited := c.gateway.Permits.Limit(s.ID)
		r.Servers = append(r.Servers, inspect.BackendServer{
			ID: s.ID, Service: s.Service, Zone: s.Zone, Address: s.Address, State: string(s.Condition), OwnRequests: s.Own, OtherRequests: s.Others,
			Slots: s.Slots, FailureRate: s.FailureRate, Limited: limited, RateLimit: limit, Issuer: c.gateway.Permits.Issuer(s.ID),
		})
	}
	for _, p := range c.gateway.Crashes.PromptParts(now) {
		r.PromptParts = append(r.PromptParts, inspect.PromptPart{Name: p.Name, Quarantined: p.Quarantined, Crashes: p.Crashes, Age: p.Age.Milliseconds()})
	}
	return r
}

// requestsByOutcome returns the number of requests by outcome, summed over the other labels of
// their metric.
func requestsByOutcome(registry *prometheus.Registry) (map[string]int, error) {
	families, err := registry.Gather()
	if err != nil {
		return nil, eris.Wrap(err, "gather the metrics")
	}
	out := map[string]int{}
	for _, family := range families {
		if family.GetName() != "hornbeam_gateway_requests_total" {
			continue
		}
		for _, metric := range family.GetMetric() {
			for _, label := range metric.GetLabel() {
				if label.GetName() == "outcome" {
					out[label.GetValue()] += int(metric.GetCounter().GetValue())
				}
			}
		}
	}
	return out, nil
}

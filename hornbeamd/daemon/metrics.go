package daemon

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"hornbeamstep.example/coord/lease"
	"hornbeamstep.example/coord/reconcile"
)

// counters are the counters of leases and orders. They are part of the daemon because each lease
// has a new lease.Holder and reconcile.Reconciler, which would restart the counts at 0.
type counters struct {
	leases lease.Counters
	orders reconcile.Counters
}

// registerStateMetrics registers the metrics of all shared state that this daemon writes to the
// object API.
func (d *Daemon) registerStateMetrics() {
	waits := prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "hornbeam_claim_wait_seconds", Help: "Time from a claim or its end to its result, in seconds.",
		Buckets: prometheus.ExponentialBuckets(0.005, 2, 11),
	})
	d.claims.ObserveWait = func(wait time.Duration) { waits.Observe(wait.Seconds()) }
	d.registry.MustRegister(waits)
	leases, orders := &d.counters.leases, &d.counters.orders
	const writesHelp, eventsHelp = "Conditional writes by result, and writes that were sent again.", "Refusals and waits by reason."
	for name, group := range map[string]struct {
		help   string
		values map[string]func() int64
	}{
		"claim_writes_total": {"Claim log: " + writesHelp, map[string]func() int64{
			"ok":        func() int64 { return d.claims.Stats().Writes },
			"conflict":  func() int64 { return d.claims.Stats().Conflicts },
			"ambiguous": func() int64 { return d.claims.Stats().Ambiguous },
			"retry":     func() int64 { return d.claims.Stats().Retries },
			"segment":   func() int64 { return d.claims.Stats().Seals },
			"rebuild":   func() int64 { return d.claims.Stats().Rebuilds },
			"abandoned": func() int64 { return d.claims.Stats().Abandoned },
		}},
		"lease_writes_total": {"Leases: " + writesHelp, map[string]func() int64{
			"ok": leases.Writes.Load, "conflict": leases.Conflicts.Load, "ambiguous": leases.Ambiguous.Load, "retry": leases.Retries.Load,
		}},
		"lease_refusals_total": {"Leases: " + eventsHelp, map[string]func() int64{
			"expired": leases.Expired.Load, "paused": leases.Paused.Load, "lost": leases.Lost.Load,
		}},
		"order_writes_total": {"Desired states of engines: " + writesHelp, map[string]func() int64{
			"ok": orders.Writes.Load, "conflict": orders.Conflicts.Load, "ambiguous": orders.Ambiguous.Load, "retry": orders.Retries.Load,
		}},
		"order_results_total": {"Orders to engines: applied ones. " + eventsHelp, map[string]func() int64{
			"applied": orders.Applied.Load, "fenced": orders.Fenced.Load, "superseded": orders.Superseded.Load, "wait": orders.Waits.Load,
		}},
		"agreed_writes_total": {"Drains and quarantined requests: " + writesHelp, map[string]func() int64{
			"ok":        func() int64 { return d.sharedState.records.Stats().Writes },
			"conflict":  func() int64 { return d.sharedState.records.Stats().Conflicts },
			"ambiguous": func() int64 { return d.sharedState.records.Stats().Ambiguous },
		}},
	} {
		for result, read := range group.values {
			d.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
				Name: "hornbeam_" + name, Help: group.help, ConstLabels: prometheus.Labels{"result": result},
			}, func() float64 { return float64(read()) }))
		}
	}
}

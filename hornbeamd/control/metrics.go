package control

import "github.com/prometheus/client_golang/prometheus"

// metrics of the control loop.
type metrics struct {
	slotCalls, shares, expired, lost, abandoned, quarantined prometheus.Counter
	load, limit                                              *prometheus.GaugeVec
	slots, waiting                                           prometheus.Gauge
	revision                                                 prometheus.Gauge
}

func newMetrics(r prometheus.Registerer) *metrics {
	if r == nil {
		r = prometheus.NewRegistry()
	}
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Namespace: "hornbeam", Subsystem: "control", Name: name, Help: help})
		r.MustRegister(c)
		return c
	}
	gauge := func(name, help string) prometheus.Gauge {
		g := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "hornbeam", Subsystem: "control", Name: name, Help: help})
		r.MustRegister(g)
		return g
	}
	engines := func(name, help string) *prometheus.GaugeVec {
		g := prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: "hornbeam", Subsystem: "control", Name: name, Help: help}, []string{"engine"})
		r.MustRegister(g)
		return g
	}
	return &metrics{
		slotCalls:   counter("slot_calls_total", "Requests for a slot that went to another router."),
		shares:      counter("shares_total", "Requests admitted by the conservative share, because the engine's owner did not answer."),
		expired:     counter("slots_expired_total", "Slots that were taken back because their holder did not renew them."),
		lost:        counter("slots_lost_total", "Slots of requests in progress that their owner no longer knew."),
		abandoned:   counter("slots_abandoned_total", "Slots that were taken back because the caller left before the grant reached it."),
		quarantined: counter("quarantined_total", "Requests that this router quarantined because engines crashed when they ran them."),
		load:        engines("engine_load", "Estimated load of an owned engine, in the engine's own unit."),
		limit:       engines("engine_load_limit", "Load above which an owned engine gets no request, in the engine's own unit."),
		slots:       gauge("slots", "Slots in use on owned engines."),
		waiting:     gauge("waiting", "Requests that wait for owned engines."),
		revision:    gauge("revision", "Revision of the configuration in force."),
	}
}

// measure sets the gauges. Engines that are no longer owned disappear.
func (l *Loop) measure() {
	l.metrics.load.Reset()
	l.metrics.limit.Reset()
	slots, waiting := 0, 0
	now := l.Now()
	for _, name := range l.state.order {
		e := l.state.engines[name]
		if e.gate == nil {
			continue
		}
		l.metrics.load.WithLabelValues(name).Set(e.gate.Load())
		l.metrics.limit.WithLabelValues(name).Set(e.gate.Limit(now))
		slots += e.gate.Slots()
		waiting += e.gate.Waiting()
	}
	l.metrics.slots.Set(float64(slots))
	l.metrics.waiting.Set(float64(waiting))
	l.metrics.revision.Set(float64(l.state.revision))
}

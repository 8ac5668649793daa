package control

import (
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"hornbeamstep.example/timeline"
)

// metrics holds the metrics of the control loop.
type metrics struct {
	slotCalls, fallbackSlots, expired, lost, abandoned, quarantined, limited prometheus.Counter
	ejections, returns                                                       *prometheus.CounterVec
	serviceLimit                                                             *prometheus.GaugeVec
	load, limit                                                              *prometheus.GaugeVec
	slots, waiting                                                           prometheus.Gauge
	revision                                                                 prometheus.Gauge
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
	counterVec := func(name, help string) *prometheus.CounterVec {
		c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "hornbeam", Subsystem: "control", Name: name, Help: help}, []string{"kind"})
		r.MustRegister(c)
		return c
	}
	gaugeVec := func(name, label, help string) *prometheus.GaugeVec {
		g := prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: "hornbeam", Subsystem: "control", Name: name, Help: help}, []string{label})
		r.MustRegister(g)
		return g
	}
	return &metrics{
		slotCalls:     counter("slot_calls_total", "Requests for a slot that went to another router."),
		fallbackSlots: counter("shares_total", "Requests admitted by the conservative share, because the engine's owner did not answer."),
		expired:       counter("slots_expired_total", "Slots that were taken back because their holder did not renew them."),
		lost:          counter("slots_lost_total", "Slots of requests in progress that their owner no longer knew."),
		abandoned:     counter("slots_abandoned_total", "Slots that were taken back because the caller left before the grant reached it."),
		quarantined:   counter("quarantined_total", "Requests that this router quarantined because engines crashed when they ran them."),
		limited:       counter("limited_total", "Calls of plain services refused because every replica was at its limit."),
		ejections:     counterVec("ejections_total", "Backend servers that this router ejected because they failed or were far slower than their pool."),
		returns:       counterVec("returns_total", "Ejected backend servers that this router took back after a trial."),
		serviceLimit:  gaugeVec("service_limit", "replica", "Calls that this router lets a replica of a plain service have in progress."),
		load:          gaugeVec("engine_load", "engine", "Estimated load of an owned engine, in the engine's own unit."),
		limit:         gaugeVec("engine_load_limit", "engine", "Load above which an owned engine gets no request, in the engine's own unit."),
		slots:         gauge("slots", "Slots in use on owned engines."),
		waiting:       gauge("waiting", "Requests that wait for owned engines."),
		revision:      gauge("revision", "Revision of the configuration in force."),
	}
}

// updateMetrics sets the gauges, and removes those of engines that this router no longer owns.
func (l *Loop) updateMetrics() {
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
	l.services.updateMetrics(l.metrics.serviceLimit)
	l.metrics.slots.Set(float64(slots))
	l.metrics.waiting.Set(float64(waiting))
	l.metrics.revision.Set(float64(l.state.revision))
}

// recordEjectionChange records the ejection of a backend server or its return to service in the
// metrics, the timeline and the log. The kind, engine or service, is the label of the metrics. It
// does nothing if both ejected and returned are false.
func (l *Loop) recordEjectionChange(name, kind string, ejected, returned bool) {
	var text string
	switch {
	case ejected:
		text = "ejected: failed or was far slower than its pool"
		l.metrics.ejections.WithLabelValues(kind).Inc()
	case returned:
		text = "returned: a trial was answered"
		l.metrics.returns.WithLabelValues(kind).Inc()
	default:
		return
	}
	l.record(timeline.Event{Kind: timeline.Member, Backend: name, Text: text})
	l.Log.Info("health of backend server changed", zap.String("backend", name), zap.String("state", text))
}

// updateMetrics sets the gauge of the concurrency limit of each replica, and removes replicas that
// the configuration no longer names.
func (s *services) updateMetrics(g *prometheus.GaugeVec) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g.Reset()
	for name, r := range s.byName {
		g.WithLabelValues(name).Set(r.limit.Limit())
	}
}

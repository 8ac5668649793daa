package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

// Metrics counts requests and their outcomes.
type Metrics struct {
	requests  *prometheus.CounterVec
	attempts  *prometheus.CounterVec
	durations *prometheus.HistogramVec
	firsts    prometheus.Histogram
}

// NewMetrics registers the metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	buckets := prometheus.ExponentialBuckets(0.005, 2, 13)
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hornbeam_gateway_requests_total", Help: "Requests by kind of route and outcome.",
		}, []string{"kind", "outcome"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hornbeam_gateway_failed_attempts_total", Help: "Attempts at backend servers that failed, by ending.",
		}, []string{"ending"}),
		durations: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "hornbeam_gateway_request_seconds", Help: "Time from the head of a request to the end of its answer, in seconds.",
			Buckets: buckets,
		}, []string{"kind"}),
		firsts: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "hornbeam_gateway_first_event_seconds", Help: "Time from the head of a request to the first event of its stream, in seconds.",
			Buckets: buckets,
		}),
	}
	r.MustRegister(m.requests, m.attempts, m.durations, m.firsts)
	return m
}

func (m *Metrics) attempt(ending string) { m.attempts.WithLabelValues(ending).Inc() }

func (m *Metrics) first(c *call) { m.firsts.Observe(time.Since(c.received).Seconds()) }

// report counts the end of a request and logs the facts that decided it. Status is 0 if the caller got no status.
func (c *call) report(status int, outcome string) {
	kind, name, version := "none", "", int64(0)
	if c.route != nil {
		kind, name = c.route.Kind.String(), c.route.Name
	}
	if c.table != nil {
		version = c.table.Version()
	}
	took := time.Since(c.received)
	c.s.Metrics.requests.WithLabelValues(kind, outcome).Inc()
	c.s.Metrics.durations.WithLabelValues(kind).Observe(took.Seconds())
	message := "request failed"
	if outcome == "served" {
		message = "request served"
	}
	c.s.Log.Info(message, zap.String("id", c.stated.Attempt), zap.String("outcome", outcome), zap.Int("status", status),
		zap.String("route", name), zap.Int64("config", version), zap.String("account", c.account), zap.String("service", c.service.Name),
		zap.String("server", c.choice.Server.ID), zap.String("reason", string(c.choice.Reason)), zap.Int("load", c.choice.Load),
		zap.Float64("mean", c.choice.Mean), zap.Int("candidates", c.choice.Candidates), zap.Int64("servers", c.choice.revision), zap.Duration("reports_age", c.choice.age), zap.Int("sent", c.sent),
		zap.Bool("may_have_run", c.ran), zap.String("last_event", c.last), zap.Duration("took", took))
}

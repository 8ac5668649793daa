package gateway

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

// Metrics holds the metrics of requests and attempts.
type Metrics struct {
	requests       *prometheus.CounterVec
	failedAttempts *prometheus.CounterVec
	standbys       *prometheus.CounterVec
	permits        *prometheus.CounterVec
	rejections     *prometheus.CounterVec
	resumed        *prometheus.CounterVec
	durations      *prometheus.HistogramVec
	firstEvents    prometheus.Histogram
}

// NewMetrics creates the metrics and registers them with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	buckets := prometheus.ExponentialBuckets(0.005, 2, 13)
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hornbeam_gateway_requests_total", Help: "Requests by kind of route and outcome.",
		}, []string{"kind", "outcome"}),
		failedAttempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hornbeam_gateway_failed_attempts_total", Help: "Attempts at backend servers that failed, by ending.",
		}, []string{"ending"}),
		standbys: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hornbeam_gateway_standbys_total", Help: "Standby attempts for silent backend servers, by event.",
		}, []string{"event"}),
		permits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hornbeam_gateway_permits_total", Help: "Questions for permits for backend servers that state a rate limit, by outcome.",
		}, []string{"outcome"}),
		rejections: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hornbeam_gateway_rejections_total", Help: "Requests that backend servers rejected, by whether the server counted as brittle.",
		}, []string{"brittle"}),
		resumed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hornbeam_gateway_resumed_streams_total", Help: "Streams that clients resume, by how the version that began them is known, and by whether another router has answered.",
		}, []string{"origin", "answered"}),
		durations: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "hornbeam_gateway_request_seconds", Help: "Time from the head of a request to the end of its answer, in seconds.",
			Buckets: buckets,
		}, []string{"kind"}),
		firstEvents: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "hornbeam_gateway_first_event_seconds", Help: "Time from the head of a request to the first event of its stream, in seconds.",
			Buckets: buckets,
		}),
	}
	r.MustRegister(m.requests, m.failedAttempts, m.standbys, m.permits, m.rejections, m.resumed, m.durations, m.firstEvents)
	return m
}

// countFailedAttempt counts a failed attempt by the name of its balance.Outcome.
func (m *Metrics) countFailedAttempt(outcome string) { m.failedAttempts.WithLabelValues(outcome).Inc() }

// countStandby counts an event of a standby: started, ready or denied.
func (m *Metrics) countStandby(event string) { m.standbys.WithLabelValues(event).Inc() }

// countPermit counts a question for a permit by its outcome.
func (m *Metrics) countPermit(outcome string) { m.permits.WithLabelValues(outcome).Inc() }

// countRejection counts a request that a backend server rejected.
func (m *Metrics) countRejection(brittle bool) {
	m.rejections.WithLabelValues(strconv.FormatBool(brittle)).Inc()
}

// countResumed counts a stream that a client resumes, by the name of its origin.Source.
func (m *Metrics) countResumed(source string, answered bool) {
	m.resumed.WithLabelValues(source, strconv.FormatBool(answered)).Inc()
}

func (m *Metrics) observeFirstEvent(c *clientRequest) {
	m.firstEvents.Observe(time.Since(c.receivedAt).Seconds())
}

// recordResult updates the metrics for a completed request. It logs the outcome, the chosen server
// and the data that the choice was based on. The status is 0 if the client received none.
func (c *clientRequest) recordResult(status int, outcome string) {
	kind, name, version := "none", "", int64(0)
	if c.route != nil {
		kind, name = c.route.Kind.String(), c.route.Name
	}
	if c.table != nil {
		version = c.table.Version()
	}
	c.mu.Lock()
	sent, mayHaveRun, permits := c.sentAttempts, c.mayHaveRun, c.permits
	c.mu.Unlock()
	if a := c.current; a != nil && a.sent {
		sent++
		mayHaveRun = mayHaveRun || a.mayHaveRun
	}
	took := time.Since(c.receivedAt)
	c.server.Metrics.requests.WithLabelValues(kind, outcome).Inc()
	c.server.Metrics.durations.WithLabelValues(kind).Observe(took.Seconds())
	message := "request failed"
	if outcome == "served" {
		message = "request served"
	}
	c.server.Log.Info(message, zap.String("id", c.metadata.Attempt), zap.String("outcome", outcome), zap.Int("status", status),
		zap.String("route", name), zap.Int64("config", version), zap.String("account", c.account), zap.String("service", c.service.Name),
		zap.String("server", c.choice.Server.ID), zap.String("version", c.choice.Server.Version), zap.String("relayed_by", c.relayed.by), zap.String("resumes", c.metadata.Resumes), zap.String("reason", string(c.choice.Reason)), zap.Int("load", c.choice.Load),
		zap.Float64("mean", c.choice.Mean), zap.Int("candidates", c.choice.Candidates), zap.Int64("era", c.choice.serversRevision.Era), zap.Int64("servers", c.choice.serversRevision.Number), zap.Duration("reports_age", c.choice.reportsAge), zap.Int("permits_denied", permits.denied),
		zap.Int("permits_unanswered", permits.unanswered), zap.Duration("permits_took", permits.waited), zap.Int("sent", sent),
		zap.Bool("may_have_run", mayHaveRun), zap.String("last_event", c.lastEventID), zap.Duration("took", took))
}

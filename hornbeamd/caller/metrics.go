package caller

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// metrics are the Prometheus metrics of the server for callers.
type metrics struct {
	requests, retries                               *prometheus.CounterVec
	streams, connections                            prometheus.Gauge
	tokens, serviceBytes, resumes, unfinishedClaims prometheus.Counter
	// firstToken observes the time from the arrival of a request to its first token, in seconds.
	firstToken prometheus.Histogram
}

func newMetrics(registry *prometheus.Registry) *metrics {
	factory := promauto.With(registry)
	return &metrics{
		requests: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "hornbeam_caller_requests_total",
			Help: "Requests of callers, by kind (chat or service), outcome (ok, not run, ran or unknown) and error code.",
		}, []string{"kind", "outcome", "code"}),
		retries: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "hornbeam_caller_retries_total",
			Help: "Attempts repeated on another backend server, by kind of request and of failure.",
		}, []string{"kind", "failure"}),
		streams: factory.NewGauge(prometheus.GaugeOpts{
			Name: "hornbeam_caller_streams",
			Help: "Engine streams open now.",
		}),
		connections: factory.NewGauge(prometheus.GaugeOpts{
			Name: "hornbeam_caller_connections",
			Help: "Connections of callers open now.",
		}),
		tokens: factory.NewCounter(prometheus.CounterOpts{
			Name: "hornbeam_caller_tokens_total",
			Help: "Tokens received from engines for callers.",
		}),
		serviceBytes: factory.NewCounter(prometheus.CounterOpts{
			Name: "hornbeam_caller_service_bytes_total",
			Help: "Bytes of plain services' answers relayed to callers.",
		}),
		resumes: factory.NewCounter(prometheus.CounterOpts{
			Name: "hornbeam_caller_resumes_total",
			Help: "Streams continued on a new connection to the same engine.",
		}),
		unfinishedClaims: factory.NewCounter(prometheus.CounterOpts{
			Name: "hornbeam_caller_claims_unfinished_total",
			Help: "Claims whose end could not be written; they read as unknown.",
		}),
		firstToken: factory.NewHistogram(prometheus.HistogramOpts{
			Name:    "hornbeam_caller_first_token_seconds",
			Help:    "Time from the arrival of a request to its first token, in seconds.",
			Buckets: prometheus.ExponentialBuckets(0.002, 2, 14),
		}),
	}
}

func (m *metrics) handler(registry *prometheus.Registry) http.HandlerFunc {
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{}).ServeHTTP
}

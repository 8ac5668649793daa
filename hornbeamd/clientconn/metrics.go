package clientconn

import "github.com/prometheus/client_golang/prometheus"

// Metrics returns metrics of what the connections of clients take.
func (g *Guard) Metrics() []prometheus.Collector {
	return []prometheus.Collector{
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "hornbeam_client_connections", Help: "Open connections of clients, at all listeners.",
		}, func() float64 { return float64(g.Stats().Open) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "hornbeam_client_held_bytes", Help: "Memory that the heads and bodies of requests hold.",
		}, func() float64 { return float64(g.Account.Used()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "hornbeam_client_releasing_bytes", Help: "Memory of requests that were given up and have not noticed yet.",
		}, func() float64 { return float64(g.Account.Releasing()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "hornbeam_client_connections_closed_total", Help: "Connections of clients that were closed because there were too many.",
		}, func() float64 { return float64(g.Stats().Closed) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "hornbeam_client_requests_out_of_memory_total", Help: "Requests that were given up because others held the memory for requests.",
		}, func() float64 { return float64(g.Stats().Revoked) }),
	}
}

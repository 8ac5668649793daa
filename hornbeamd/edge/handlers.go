package edge

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/httpx"

	"hornbeamstep.example/coord/presence"
	"hornbeamstep.example/hornbeamd/inspect"
	"hornbeamstep.example/platform/endpoints"
)

// resolveTTL is the time for which clients may cache the router addresses that resolve returns. A
// shorter time makes clients stop using a failed router sooner, but also makes them ask more often.
const resolveTTL = time.Second

// directoryHandler returns the handler for clients that ask for router addresses, and for the
// readiness checks of the platform.
func (e *Router) directoryHandler() (http.Handler, error) {
	return routesHandler("entry",
		rest.Route{Method: http.MethodGet, Path: endpoints.ResolvePath, Handler: e.resolve},
		rest.Route{Method: http.MethodGet, Path: endpoints.ReadyPath, Handler: e.ready},
	)
}

// operatorHandler returns the handler for the metrics and the status report of this router, and for
// readiness checks.
func (e *Router) operatorHandler() (http.Handler, error) {
	metrics := promhttp.HandlerFor(e.registry, promhttp.HandlerOpts{})
	return routesHandler("operator",
		rest.Route{Method: http.MethodGet, Path: "/metrics", Handler: metrics.ServeHTTP},
		rest.Route{Method: http.MethodGet, Path: inspect.Path, Handler: inspect.Handler(e.report)},
		rest.Route{Method: http.MethodGet, Path: endpoints.ReadyPath, Handler: e.ready},
	)
}

// routesHandler returns an http.Handler that serves the routes without a listener of its own.
func routesHandler(name string, routes ...rest.Route) (http.Handler, error) {
	server, err := rest.NewServer(rest.RestConf{ServiceConf: service.ServiceConf{
		Name: name, Log: logx.LogConf{Mode: "console", Level: "severe", Stat: false},
	}})
	if err != nil {
		return nil, eris.Wrapf(err, "build the routes of %s", name)
	}
	server.AddRoutes(routes)
	handler, err := rest.NewServerless(server)
	if err != nil {
		return nil, eris.Wrapf(err, "build the routes of %s", name)
	}
	return http.HandlerFunc(handler.Serve), nil
}

// resolve returns the addresses of the routers that a client should use.
func (e *Router) resolve(w http.ResponseWriter, r *http.Request) {
	request := endpoints.ParseResolveRequest(r)
	caller := presence.Caller{Region: request.Region, Zone: request.Zone}
	if t := e.gateway.Table(); t != nil {
		caller.Allows = t.HostRegions(request.Host).Allows
	}
	answer := make(chan []string, 1)
	e.control.enqueue(func() {
		now := time.Now()
		self := e.control.self
		self.Ready = e.control.isReady()
		answer <- e.control.presence.EntryAddresses(now, caller, self)
	})
	httpx.OkJson(w, endpoints.ResolveResponse{Addresses: <-answer, TTLSeconds: min(resolveTTL, e.settings.MaxResolveTTL).Seconds()})
}

// ready answers readiness checks. A router is ready from its first configuration until it starts to
// drain. It may not know the backend servers yet; the gateway then makes requests wait for them.
func (e *Router) ready(w http.ResponseWriter, _ *http.Request) {
	if !e.control.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// connectionCounter registers a metric and returns a function that counts an opened connection.
func (e *Router) connectionCounter() func(string) {
	opened := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "hornbeam_backend_connections_opened_total", Help: "Connections opened to backend servers.",
	})
	e.registry.MustRegister(opened)
	return func(string) { opened.Inc() }
}

// registerDroppedMessages registers a metric of the messages of other routers that were dropped.
func (e *Router) registerDroppedMessages() {
	e.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "hornbeam_mesh_dropped_messages_total", Help: "Datagrams and calls between routers that could not be sent, received or decoded.",
	}, func() float64 { return float64(e.mesh.Dropped.Load()) }))
}

// registerConditionMetrics registers metrics of evacuated zones, cold and brittle servers, overloaded services, and
// the reports of the other routers.
func (e *Router) registerConditionMetrics() {
	e.registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "hornbeam_peer_reports_age_seconds", Help: "Time since what the other routers report was last put into effect.",
		}, func() float64 { return e.gateway.Upstreams.ReportsAge(time.Now()).Seconds() }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "hornbeam_evacuated_zones", Help: "Availability zones whose backend servers get no new requests.",
		}, func() float64 { return float64(e.control.evacuatedCount.Load()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "hornbeam_cold_servers", Help: "Backend servers that get only as many requests as cold ones withstand.",
		}, func() float64 { return float64(e.gateway.Permits.ColdCount()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "hornbeam_overloaded_services", Help: "Services whose servers get only what they have room for.",
		}, func() float64 { return float64(len(e.gateway.Permits.Overloads(time.Now()))) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "hornbeam_brittle_services", Help: "Services whose servers get no more requests than they have slots.",
		}, func() float64 { return float64(len(e.gateway.Permits.BrittleServices(time.Now()))) }),
	)
}

// storeCounter registers a metric and returns a function that counts a call to the store.
func (e *Router) storeCounter() func(string, int) {
	calls := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "hornbeam_store_calls_total", Help: "Calls to the metadata store by method and status class; 0 for no answer.",
	}, []string{"method", "class"})
	e.registry.MustRegister(calls)
	return func(method string, status int) { calls.WithLabelValues(method, string(rune('0'+status/100))).Inc() }
}

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

	"hornbeamstep.example/hornbeamd/inspect"
	"hornbeamstep.example/platform/entry"
)

// entryLifetime is how long callers keep an answer where to connect. A lost router is used by callers for that long, and each
// caller asks that often.
const entryLifetime = time.Second

// entryHandler answers callers that ask where to connect and the platform's checks of readiness.
func (e *Edge) entryHandler() (http.Handler, error) {
	return serverless("entry",
		rest.Route{Method: http.MethodGet, Path: entry.ResolvePath, Handler: e.resolve},
		rest.Route{Method: http.MethodGet, Path: entry.ReadyPath, Handler: e.ready},
	)
}

// operatorHandler answers requests for metrics and for what this router believes, and checks of readiness.
func (e *Edge) operatorHandler() (http.Handler, error) {
	metrics := promhttp.HandlerFor(e.registry, promhttp.HandlerOpts{})
	return serverless("operator",
		rest.Route{Method: http.MethodGet, Path: "/metrics", Handler: metrics.ServeHTTP},
		rest.Route{Method: http.MethodGet, Path: inspect.Path, Handler: inspect.Handler(e.report)},
		rest.Route{Method: http.MethodGet, Path: entry.ReadyPath, Handler: e.ready},
	)
}

// serverless returns a handler of routes.
func serverless(name string, routes ...rest.Route) (http.Handler, error) {
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

// resolve answers which routers a caller should use.
func (e *Edge) resolve(w http.ResponseWriter, r *http.Request) {
	zone := entry.Read(r).Zone
	answer := make(chan []string, 1)
	e.control.do(func() {
		now := time.Now()
		answer <- e.control.presence.Entry(now, zone, e.control.record(now))
	})
	httpx.OkJson(w, entry.Answer{Addresses: <-answer, Lifetime: min(entryLifetime, e.settings.EntryLifetime).Seconds()})
}

func (e *Edge) ready(w http.ResponseWriter, _ *http.Request) {
	if e.gateway.Table() == nil || e.control.draining.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (e *Edge) connectionCounter() func(string) {
	opened := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "hornbeam_backend_connections_opened_total", Help: "Connections opened to backend servers.",
	})
	e.registry.MustRegister(opened)
	return func(string) { opened.Inc() }
}

func (e *Edge) storeCounter() func(string, int) {
	calls := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "hornbeam_store_calls_total", Help: "Calls to the metadata store by method and status class; 0 for no answer.",
	}, []string{"method", "class"})
	e.registry.MustRegister(calls)
	return func(method string, status int) { calls.WithLabelValues(method, string(rune('0'+status/100))).Inc() }
}

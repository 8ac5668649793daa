package caller

import (
	"errors"
	"net/http"
	"strings"

	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/httpx"
	"github.com/zeromicro/go-zero/rest/router"
	"go.uber.org/zap"

	"hornbeamstep.example/routing/outcome"
)

// servicesPath is the path prefix of plain services. call.service serves all paths below it.
const servicesPath = "/v1/services"

// newRESTServer returns a go-zero server with the routes for callers. The middlewares of package
// rest are off, because the zero value of RestConf.Middlewares disables them all:
//   - Timeout buffers responses in memory and would end streams.
//   - MaxBytes, MaxConns, Breaker and Shedding refuse requests without an *outcome.Error, and by
//     limits other than those of Options.
//   - Log writes a line for each request.
//   - Prometheus and Metrics duplicate the metrics of
//     package caller.
//   - Trace starts OpenTelemetry spans, for which hornbeamd has no exporter.
//   - Recover sends status 500 where the connection must be closed; recoverPanics closes it.
//   - Gunzip decompresses bodies without a size limit.
func (s *Server) newRESTServer() (*rest.Server, error) {
	config := rest.RestConf{
		ServiceConf: service.ServiceConf{
			Name: "caller",
			// go-zero's HTTP client, package httpc, logs each request at level info and each
			// failed request at level error. Level severe suppresses both.
			Log: logx.LogConf{Mode: "console", Level: "severe", Stat: false},
		},
	}
	server, err := rest.NewServer(config,
		rest.WithRouter(&prefixRouter{Router: router.NewRouter(), serviceHandlers: map[string]http.Handler{}}),
		rest.WithNotFoundHandler(s.handle(func(c *call) *outcome.Error { return errNotFound(c.r.URL.Path) })),
		rest.WithNotAllowedHandler(s.handle(func(c *call) *outcome.Error { return errMethod(c.r.Method) })),
	)
	if err != nil {
		return nil, err
	}
	server.Use(s.recoverPanics)
	server.AddRoute(rest.Route{Method: http.MethodPost, Path: "/v1/chat/completions", Handler: s.handle((*call).chat)},
		rest.WithSSE(), rest.WithTimeout(0))
	for _, method := range []string{
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions,
	} {
		server.AddRoute(rest.Route{Method: method, Path: servicesPath, Handler: s.handle((*call).service)}, rest.WithTimeout(0))
	}
	server.AddRoutes([]rest.Route{
		{Method: http.MethodGet, Path: "/v1/models", Handler: s.handle((*call).models)},
		{Method: http.MethodGet, Path: "/v1/route", Handler: s.handle((*call).route)},
		{Method: http.MethodGet, Path: "/healthz", Handler: s.health},
		{Method: http.MethodGet, Path: "/readyz", Handler: s.handle((*call).ready)},
		{Method: http.MethodGet, Path: "/metrics", Handler: s.metrics.handler(s.options.Registry)},
	})
	return server, nil
}

// prefixRouter extends go-zero's router with a prefix match: a handler that is registered for
// servicesPath serves all paths below it.
type prefixRouter struct {
	httpx.Router
	// serviceHandlers holds the handlers for servicesPath by HTTP method.
	serviceHandlers map[string]http.Handler
}

// Handle implements httpx.Router.
func (p *prefixRouter) Handle(method, path string, handler http.Handler) error {
	if path == servicesPath {
		p.serviceHandlers[method] = handler
		return nil
	}
	return p.Router.Handle(method, path, handler)
}

// ServeHTTP implements httpx.Router.
func (p *prefixRouter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	handler, ok := p.serviceHandlers[r.Method]
	if ok && strings.HasPrefix(r.URL.Path, servicesPath+"/") {
		handler.ServeHTTP(w, r)
		return
	}
	p.Router.ServeHTTP(w, r)
}

// recoverPanics logs a panic in a handler and closes the connection, since a part of the response
// may have been sent. It does not log http.ErrAbortHandler, with which a handler closes the
// connection deliberately.
func (s *Server) recoverPanics(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			cause := recover()
			if cause == nil {
				return
			}
			if err, ok := cause.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				s.options.Log.Error("HTTP handler panicked; closing the connection", zap.Any("cause", cause), zap.Stack("stack"))
			}
			panic(http.ErrAbortHandler)
		}()
		next(w, r)
	}
}

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

// servicesPath is the prefix of the paths of plain services. Everything below it goes to one handler.
const servicesPath = "/v1/services"

// newRest returns the routes. The middlewares of rest are off on purpose:
//   - Timeout gathers answers in memory and would end streams.
//   - MaxBytes, MaxConns, Breaker and Shedding refuse without the typed error, and by rules of their own.
//   - Log writes a line for each request; Trace, Prometheus and Metrics count what package caller counts itself.
//   - Recover answers 500 where the connection must be cut; recovered does that.
//   - Gunzip inflates bodies without a bound.
func (s *Server) newRest() (*rest.Server, error) {
	conf := rest.RestConf{
		ServiceConf: service.ServiceConf{
			Name: "caller",
			// The library logs each exchange of httpc at level info, and each failed one at level error.
			Log: logx.LogConf{Mode: "console", Level: "severe", Stat: false},
		},
	}
	server, err := rest.NewServer(conf,
		rest.WithRouter(&prefixRouter{Router: router.NewRouter(), below: map[string]http.Handler{}}),
		rest.WithNotFoundHandler(s.plain(func(c *call) *outcome.Error { return errNotFound(c.r.URL.Path) })),
		rest.WithNotAllowedHandler(s.plain(func(c *call) *outcome.Error { return errMethod(c.r.Method) })),
	)
	if err != nil {
		return nil, err
	}
	server.Use(s.recovered)
	server.AddRoute(rest.Route{Method: http.MethodPost, Path: "/v1/chat/completions", Handler: s.plain((*call).chat)},
		rest.WithSSE(), rest.WithTimeout(0))
	for _, method := range []string{
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions,
	} {
		server.AddRoute(rest.Route{Method: method, Path: servicesPath, Handler: s.plain((*call).service)}, rest.WithTimeout(0))
	}
	server.AddRoutes([]rest.Route{
		{Method: http.MethodGet, Path: "/v1/models", Handler: s.plain((*call).models)},
		{Method: http.MethodGet, Path: "/v1/route", Handler: s.plain((*call).route)},
		{Method: http.MethodGet, Path: "/healthz", Handler: s.health},
		{Method: http.MethodGet, Path: "/readyz", Handler: s.plain((*call).ready)},
		{Method: http.MethodGet, Path: "/metrics", Handler: s.metrics.handler(s.options.Registry)},
	})
	return server, nil
}

// prefixRouter adds to the library's router one handler for each method for every path below servicesPath.
type prefixRouter struct {
	httpx.Router
	below map[string]http.Handler
}

// Handle implements httpx.Router.
func (p *prefixRouter) Handle(method, path string, handler http.Handler) error {
	if path == servicesPath {
		p.below[method] = handler
		return nil
	}
	return p.Router.Handle(method, path, handler)
}

// ServeHTTP implements httpx.Router.
func (p *prefixRouter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	handler, ok := p.below[r.Method]
	if ok && strings.HasPrefix(r.URL.Path, servicesPath+"/") {
		handler.ServeHTTP(w, r)
		return
	}
	p.Router.ServeHTTP(w, r)
}

// recovered logs a panic in a handler and cuts the connection, since a part of the answer may have been sent.
func (s *Server) recovered(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			cause := recover()
			if cause == nil {
				return
			}
			if err, ok := cause.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				s.options.Log.Error("handler panicked", zap.Any("cause", cause), zap.Stack("stack"))
			}
			panic(http.ErrAbortHandler)
		}()
		next(w, r)
	}
}

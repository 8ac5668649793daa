package operator

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/httpx"
	"go.uber.org/zap"

	"hornbeamstep.example/hornbeamd/clientconn"
	"hornbeamstep.example/hornbeamd/settings"
	"hornbeamstep.example/timeline"
)

const (
	maxBodyBytes = 64 << 10
	callTimeout  = 20 * time.Second
	// shutdownTimeout is how long a shutdown waits for calls in progress.
	shutdownTimeout = 5 * time.Second
	defaultTopLimit = 10
)

// Server serves the operator API. Set the exported fields before calling Open or Run.
type Server struct {
	// Fleet handles the calls. Required.
	Fleet Fleet
	// Settings holds the listen address and the TLS files.
	Settings settings.Operator
	// Log receives an entry for each authorized call of a route that makes changes, also if the call
	// fails; nil disables logging.
	Log *zap.Logger
	// Guard limits the connections of clients; nil limits nothing.
	Guard *clientconn.Guard
	// Metrics is the registry for the counter of calls; if nil, the counter is not registered.
	Metrics prometheus.Registerer

	listener net.Listener
	calls    *prometheus.CounterVec
}

// Open listens on Settings.Listen. It returns an *ExposedError, an *Error or the error of the
// listener.
func (s *Server) Open() error {
	if err := checkExposure(s.Settings.Listen, s.Settings.TLS); err != nil {
		return err
	}
	config, err := serverTLS(s.Settings.TLS)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", s.Settings.Listen)
	if err != nil {
		return fmt.Errorf("listen for the operator API; free the address or set operator.listen: %w", err)
	}
	if s.Guard != nil {
		listener = s.Guard.Listener(listener, config != nil)
	}
	if config != nil {
		listener = tls.NewListener(listener, config)
	}
	s.listener = listener
	return nil
}

// Address returns the bound ip:port. Valid after Open.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Run serves until ctx ends. It calls Open first if that has not been done.
func (s *Server) Run(ctx context.Context) error {
	if s.listener == nil {
		if err := s.Open(); err != nil {
			return err
		}
	}
	handler, err := s.handler()
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: 5 * time.Second,
		ReadTimeout:       callTimeout,
		WriteTimeout:      callTimeout + 5*time.Second,
		IdleTimeout:       time.Minute,
		MaxHeaderBytes:    16 << 10,
	}
	if s.Guard != nil {
		s.Guard.Watch(server)
	}
	stopped := make(chan error, 1)
	go func() {
		<-ctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		stopped <- server.Shutdown(shutdownCtx)
	}()
	if err := server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return <-stopped
}

func (s *Server) handler() (http.Handler, error) {
	if s.Log == nil {
		s.Log = zap.NewNop()
	}
	s.calls = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "hornbeam_operator_calls_total",
		Help: "Calls by operators, by route and HTTP status.",
	}, []string{"route", "status"})
	if s.Metrics != nil {
		if err := s.Metrics.Register(s.calls); err != nil {
			return nil, err
		}
	}
	server, err := rest.NewServer(restConf())
	if err != nil {
		return nil, err
	}
	server.AddRoutes(s.routes())
	serverless, err := rest.NewServerless(server)
	if err != nil {
		return nil, err
	}
	return http.HandlerFunc(serverless.Serve), nil
}

// restConf returns the configuration of the REST library with some of its defaults disabled. The
// circuit breaker and load shedding are off, because operators need the API most when calls fail or
// the CPU is busy. The request log is off, because Server logs changes.
func restConf() rest.RestConf {
	return rest.RestConf{
		ServiceConf: service.ServiceConf{
			Name: "operator",
			// The library exits the process this long after SIGTERM. Its default of 5.5 s would
			// interrupt a drain.
			Shutdown: proc.ShutdownConf{WaitTime: 365 * 24 * time.Hour},
		},
		MaxConns: 64,
		MaxBytes: maxBodyBytes,
		Timeout:  callTimeout.Milliseconds(),
		Middlewares: rest.MiddlewaresConf{
			MaxConns: true,
			Timeout:  true,
			Recover:  true,
			MaxBytes: true,
		},
	}
}

func (s *Server) routes() []rest.Route {
	return []rest.Route{
		s.readRoute("/v1/status", func(r *http.Request) (any, error) { return s.Fleet.Status(r.Context()) }),
		s.readRoute("/v1/backends", func(r *http.Request) (any, error) { return s.Fleet.Backends(r.Context()) }),
		s.readRoute("/v1/where", s.where),
		s.readRoute("/v1/top", s.top),
		s.readRoute("/v1/orders", func(r *http.Request) (any, error) { return s.Fleet.Orders(r.Context()) }),
		s.readRoute("/v1/quarantine", func(r *http.Request) (any, error) { return s.Fleet.Quarantine(r.Context()) }),
		s.readRoute("/v1/timeline", s.timeline),
		s.readRoute("/v1/inforce", s.inForce),
		s.readRoute("/v1/doctor", func(r *http.Request) (any, error) { return s.Fleet.Doctor(r.Context()) }),
		s.changeRoute("/v1/drain", func(r *http.Request) (any, error) { return s.changeDrain(r, s.Fleet.Drain) }),
		s.changeRoute("/v1/undrain", func(r *http.Request) (any, error) { return s.changeDrain(r, s.Fleet.Undrain) }),
		s.changeRoute("/v1/quarantine/release", s.release),
	}
}

type handlerFunc func(*http.Request) (any, error)

func (s *Server) readRoute(path string, handler handlerFunc) rest.Route {
	return rest.Route{Method: http.MethodGet, Path: path, Handler: s.handle(path, Viewer, handler)}
}

func (s *Server) changeRoute(path string, handler handlerFunc) rest.Route {
	return rest.Route{Method: http.MethodPost, Path: path, Handler: s.handle(path, Operator, func(r *http.Request) (any, error) {
		answer, err := handler(r)
		name, _ := identity(r)
		s.Log.Info("handled an operator API call that makes changes", zap.String("route", path), zap.String("operator", name), zap.Error(err))
		return answer, err
	})}
}

func (s *Server) handle(path string, required Role, handler handlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		answer, err := any(nil), authorize(r, required)
		if err == nil {
			answer, err = handler(r)
		}
		status := http.StatusOK
		if err != nil {
			status, answer = errorResponse(err)
		}
		s.calls.WithLabelValues(path, strconv.Itoa(status)).Inc()
		httpx.WriteJsonCtx(r.Context(), w, status, answer)
	}
}

func errorResponse(err error) (int, wireFailure) {
	var known *Error
	if !errors.As(err, &known) {
		known = &Error{Code: Internal, Message: err.Error(), Remedy: "read the daemon's log"}
	}
	status, ok := httpStatuses[known.Code]
	if !ok {
		status = http.StatusInternalServerError
	}
	return status, wireFailure{Error: wireError{Code: known.Code, Message: known.Message, Remedy: known.Remedy}}
}

func (s *Server) where(r *http.Request) (any, error) {
	values := r.URL.Query()
	query := Query{
		Chat:    values.Get("chat"),
		Model:   values.Get("model"),
		Adapter: values.Get("adapter"),
		Account: values.Get("account"),
	}
	if query.Chat == "" {
		return nil, &Error{Code: Invalid, Message: "chat is empty", Remedy: "name the chat as in header Chat-Id"}
	}
	return s.Fleet.Where(r.Context(), query)
}

func (s *Server) top(r *http.Request) (any, error) {
	limit, err := intParam(r, "limit", defaultTopLimit)
	if err != nil {
		return nil, err
	}
	return s.Fleet.Top(r.Context(), int(limit))
}

func (s *Server) inForce(r *http.Request) (any, error) {
	revision, err := intParam(r, "revision", 0)
	if err != nil {
		return nil, err
	}
	return s.Fleet.InForce(r.Context(), revision)
}

func (s *Server) timeline(r *http.Request) (any, error) {
	limit, err := intParam(r, "limit", 0)
	if err != nil {
		return nil, err
	}
	filter := timeline.Filter{
		Request: r.URL.Query().Get("request"),
		Chat:    r.URL.Query().Get("chat"),
		Limit:   int(limit),
	}
	if text := r.URL.Query().Get("since"); text != "" {
		filter.Since, err = time.Parse(time.RFC3339Nano, text)
		if err != nil {
			return nil, &Error{Code: Invalid, Message: "since is not a time", Remedy: "write it as in RFC 3339", Cause: err}
		}
	}
	return s.Fleet.Timeline(r.Context(), filter)
}

// changeDrain decodes and checks the target of a call to drain or undrain and passes it to change.
func (s *Server) changeDrain(r *http.Request, change func(context.Context, Target) (Drained, error)) (any, error) {
	var target Target
	if err := decodeBody(r, (*wireTarget)(&target)); err != nil {
		return nil, err
	}
	if (target.Backend == "") != target.Self {
		return nil, &Error{Code: Invalid, Message: "target is ambiguous", Remedy: "set either backend or self"}
	}
	return change(r.Context(), target)
}

func (s *Server) release(r *http.Request) (any, error) {
	var release wireRelease
	if err := decodeBody(r, &release); err != nil {
		return nil, err
	}
	if release.Fingerprint == "" {
		return nil, &Error{Code: Invalid, Message: "fingerprint is empty", Remedy: "copy it from the quarantine list"}
	}
	return release, s.Fleet.Release(r.Context(), release.Fingerprint)
}

func intParam(r *http.Request, key string, defaultValue int64) (int64, error) {
	text := r.URL.Query().Get(key)
	if text == "" {
		return defaultValue, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		return 0, &Error{Code: Invalid, Message: key + " is not a number", Remedy: "set a whole number of at least 0", Cause: err}
	}
	return n, nil
}

func decodeBody(r *http.Request, target any) error {
	// A browser sends this content type to another origin only after a CORS preflight request, which
	// this API does not allow, so no web page can make changes through a loopback address.
	if r.Header.Get("Content-Type") != "application/json" {
		return &Error{Code: Invalid, Message: "content type is not JSON", Remedy: "send Content-Type: application/json"}
	}
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return &Error{Code: Invalid, Message: "body can't be read: " + err.Error(), Remedy: "send one JSON object with the documented keys", Cause: err}
	}
	return nil
}

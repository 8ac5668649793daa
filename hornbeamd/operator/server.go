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

	"hornbeamstep.example/hornbeamd/settings"
	"hornbeamstep.example/timeline"
)

const (
	bodyLimit = 64 << 10
	callLimit = 20 * time.Second
	// shutdownLimit bounds how long a stop waits for calls in progress.
	shutdownLimit = 5 * time.Second
	defaultTop    = 10
)

// Server is the interface towards operators. Set the exported fields before Open or Run.
type Server struct {
	// Fleet answers the calls. Required.
	Fleet Fleet
	// Settings hold the address and the TLS files.
	Settings settings.Operator
	// Log gets a line for each change that an operator makes; nil for none.
	Log *zap.Logger
	// Metrics registers the counter of calls; nil for none.
	Metrics prometheus.Registerer

	listener net.Listener
	calls    *prometheus.CounterVec
}

// Open binds the address. Errors: *ExposedError, *Error, or the listener's.
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
		return fmt.Errorf("open operators' interface; free the address or set operator.listen: %w", err)
	}
	if config != nil {
		listener = tls.NewListener(listener, config)
	}
	s.listener = listener
	return nil
}

// Address returns the bound ip:port. Valid after Open.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Run serves until ctx ends, opening the address if Open was not called.
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
		ReadTimeout:       callLimit,
		WriteTimeout:      callLimit + 5*time.Second,
		IdleTimeout:       time.Minute,
		MaxHeaderBytes:    16 << 10,
	}
	stopped := make(chan error, 1)
	go func() {
		<-ctx.Done()
		limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownLimit)
		defer cancel()
		stopped <- server.Shutdown(limited)
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
	server, err := rest.NewServer(conf())
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

// conf sets the library's defaults on purpose. Its breaker and load shedding are off, because operators need the interface
// most when calls fail or the processor is busy. Its request log is off, because changes are logged here.
func conf() rest.RestConf {
	return rest.RestConf{
		ServiceConf: service.ServiceConf{
			Name: "operator",
			// The library ends the process this long after SIGTERM, 5.5 s by default, which would cut off a drain.
			Shutdown: proc.ShutdownConf{WaitTime: 365 * 24 * time.Hour},
		},
		MaxConns: 64,
		MaxBytes: bodyLimit,
		Timeout:  callLimit.Milliseconds(),
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
		s.read("/v1/status", func(r *http.Request) (any, error) { return s.Fleet.Status(r.Context()) }),
		s.read("/v1/backends", func(r *http.Request) (any, error) { return s.Fleet.Backends(r.Context()) }),
		s.read("/v1/where", s.where),
		s.read("/v1/top", s.top),
		s.read("/v1/orders", func(r *http.Request) (any, error) { return s.Fleet.Orders(r.Context()) }),
		s.read("/v1/quarantine", func(r *http.Request) (any, error) { return s.Fleet.Quarantine(r.Context()) }),
		s.read("/v1/timeline", s.timeline),
		s.read("/v1/inforce", s.inForce),
		s.read("/v1/doctor", func(r *http.Request) (any, error) { return s.Fleet.Doctor(r.Context()) }),
		s.change("/v1/drain", func(r *http.Request) (any, error) { return s.drain(r, s.Fleet.Drain) }),
		s.change("/v1/undrain", func(r *http.Request) (any, error) { return s.drain(r, s.Fleet.Undrain) }),
		s.change("/v1/quarantine/release", s.release),
	}
}

type action func(*http.Request) (any, error)

func (s *Server) read(path string, act action) rest.Route {
	return rest.Route{Method: http.MethodGet, Path: path, Handler: s.handle(path, Viewer, act)}
}

func (s *Server) change(path string, act action) rest.Route {
	return rest.Route{Method: http.MethodPost, Path: path, Handler: s.handle(path, Operator, func(r *http.Request) (any, error) {
		answer, err := act(r)
		name, _ := identity(r)
		s.Log.Info("operator call", zap.String("route", path), zap.String("operator", name), zap.Error(err))
		return answer, err
	})}
}

func (s *Server) handle(path string, need Role, act action) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		answer, err := any(nil), authorize(r, need)
		if err == nil {
			answer, err = act(r)
		}
		status := http.StatusOK
		if err != nil {
			status, answer = failure(err)
		}
		s.calls.WithLabelValues(path, strconv.Itoa(status)).Inc()
		httpx.WriteJsonCtx(r.Context(), w, status, answer)
	}
}

func failure(err error) (int, wireFailure) {
	var known *Error
	if !errors.As(err, &known) {
		known = &Error{Code: Internal, Message: err.Error(), Remedy: "read the daemon's log"}
	}
	status, ok := statuses[known.Code]
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
	limit, err := number(r, "limit", defaultTop)
	if err != nil {
		return nil, err
	}
	return s.Fleet.Top(r.Context(), int(limit))
}

func (s *Server) inForce(r *http.Request) (any, error) {
	revision, err := number(r, "revision", 0)
	if err != nil {
		return nil, err
	}
	return s.Fleet.InForce(r.Context(), revision)
}

func (s *Server) timeline(r *http.Request) (any, error) {
	limit, err := number(r, "limit", 0)
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

func (s *Server) drain(r *http.Request, act func(context.Context, Target) (Drained, error)) (any, error) {
	var target Target
	if err := decode(r, (*wireTarget)(&target)); err != nil {
		return nil, err
	}
	if (target.Backend == "") != target.Self {
		return nil, &Error{Code: Invalid, Message: "target is ambiguous", Remedy: "set either backend or self"}
	}
	return act(r.Context(), target)
}

func (s *Server) release(r *http.Request) (any, error) {
	var release wireRelease
	if err := decode(r, &release); err != nil {
		return nil, err
	}
	if release.Fingerprint == "" {
		return nil, &Error{Code: Invalid, Message: "fingerprint is empty", Remedy: "copy it from the quarantine list"}
	}
	return release, s.Fleet.Release(r.Context(), release.Fingerprint)
}

func number(r *http.Request, key string, missing int64) (int64, error) {
	text := r.URL.Query().Get(key)
	if text == "" {
		return missing, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		return 0, &Error{Code: Invalid, Message: key + " is not a number", Remedy: "set a whole number of at least 0", Cause: err}
	}
	return n, nil
}

func decode(r *http.Request, target any) error {
	// A browser sends this type to another origin only after asking, so no web page can make changes on a loopback address.
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

// Package caller is the HTTP server for callers, the applications of the client accounts: it
// authenticates and admits their requests and relays them to backend servers.
package caller

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/rest"
	"go.uber.org/zap"

	"hornbeamstep.example/hornbeamd/clientconn"
	"hornbeamstep.example/hornbeamd/engine"
	"hornbeamstep.example/hornbeamd/service"
)

// Options are the settings of a Server. Dispatcher is required; the zero value of every other field
// means its default.
type Options struct {
	Dispatcher Dispatcher
	// Registry collects the metrics, which are served on /metrics. Default: a new one.
	Registry *prometheus.Registry
	// Log receives the panics of HTTP handlers. Default: no log.
	Log *zap.Logger
	// MaxBodyBytes and MaxHeaderBytes are the maximum sizes of a request's body and header in
	// bytes. Defaults: 4 MiB and 32 KiB.
	MaxBodyBytes, MaxHeaderBytes int
	// Guard limits the connections of callers and the memory of their requests. The listener passed to
	// Serve must be one of it; otherwise nothing is limited. Default: one for the machine's limits.
	Guard *clientconn.Guard
	// MaxBufferedCompletion is the maximum total size, in bytes, of the stream chunks from which a
	// chat completion that is not streamed is assembled. Default: 4 MiB.
	MaxBufferedCompletion int
	// ServiceResponseBuffer is the maximum size of a plain service's response, in bytes, that is
	// received completely before its header is sent to the caller. Default: 256 KiB.
	ServiceResponseBuffer int
	// MaxStoredResponse is the maximum size of a response that is stored with the claim of an
	// idempotency key, in bytes.
	// Default: 2048.
	MaxStoredResponse int
	// MaxRequests is the maximum number of requests in progress, and MaxConnections of open
	// connections. Defaults: 10000 and 20000.
	MaxRequests, MaxConnections int
	// ReadTimeout is the timeout for receiving a request body, and WriteTimeout for one write to a
	// caller. Defaults: 30 s and 30 s.
	ReadTimeout, WriteTimeout time.Duration
	// HeartbeatInterval is the time without a write after which a comment line is sent on an event
	// stream. Default: 15 s.
	HeartbeatInterval time.Duration
	// RequestTimeout is the timeout of a request, unless its plain service sets one. Default: 10 min.
	RequestTimeout time.Duration
	// MaxAttempts is the maximum number of attempts of a request. Default: 3.
	MaxAttempts int
	// MaxResumes is the maximum number of consecutive times that a stream is resumed without
	// progress. Default: 2.
	MaxResumes int
	// RouteTTL is how long callers cache a response of GET /v1/route. Default: 30 s.
	RouteTTL time.Duration
	// Engine and Service are the settings of the clients for engines and plain services.
	Engine  engine.Options
	Service service.Options
}

func (o Options) withDefaults() Options {
	o.MaxBodyBytes = orDefault(o.MaxBodyBytes, 4<<20)
	o.MaxHeaderBytes = orDefault(o.MaxHeaderBytes, 32<<10)
	o.MaxBufferedCompletion = orDefault(o.MaxBufferedCompletion, 4<<20)
	o.ServiceResponseBuffer = orDefault(o.ServiceResponseBuffer, 256<<10)
	o.MaxStoredResponse = orDefault(o.MaxStoredResponse, 2048)
	o.MaxRequests = orDefault(o.MaxRequests, 10_000)
	o.MaxConnections = orDefault(o.MaxConnections, 20_000)
	o.ReadTimeout = orDefault(o.ReadTimeout, 30*time.Second)
	o.WriteTimeout = orDefault(o.WriteTimeout, 30*time.Second)
	o.HeartbeatInterval = orDefault(o.HeartbeatInterval, 15*time.Second)
	o.RequestTimeout = orDefault(o.RequestTimeout, 10*time.Minute)
	o.MaxAttempts = orDefault(o.MaxAttempts, 3)
	o.MaxResumes = orDefault(o.MaxResumes, 2)
	o.RouteTTL = orDefault(o.RouteTTL, 30*time.Second)
	if o.Engine.EventMemory == nil {
		// The clients of all engines share it.
		o.Engine.EventMemory = engine.NewEventMemory(engine.DefaultEventMemory)
	}
	if o.Registry == nil {
		o.Registry = prometheus.NewRegistry()
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Guard == nil {
		o.Guard = clientconn.New(clientconn.Limits{}, o.Log)
	}
	return o
}

func orDefault[T comparable](value, defaultValue T) T {
	var zero T
	if value == zero {
		return defaultValue
	}
	return value
}

// Server is the HTTP server for callers.
type Server struct {
	options    Options
	dispatcher Dispatcher
	http       *http.Server
	gate       *gate
	metrics    *metrics
	engines    *clientCache[*engine.HTTPClient]
	services   *clientCache[*service.Client]
	// requestsEnded ends when endRequests is called; requests in progress end with it.
	requestsEnded context.Context
	endRequests   context.CancelFunc
	// connections is the number of open connections.
	connections atomic.Int64
}

// New returns a server that does not listen yet.
func New(o Options) (*Server, error) {
	if o.Dispatcher == nil {
		return nil, eris.New("the server for callers needs a dispatcher: set Options.Dispatcher")
	}
	o = o.withDefaults()
	s := &Server{options: o, dispatcher: o.Dispatcher, gate: newGate(o.MaxRequests)}
	s.requestsEnded, s.endRequests = context.WithCancel(context.Background())
	s.metrics = newMetrics(o.Registry)
	s.engines = newClientCache(func(name, address string) *engine.HTTPClient { return engine.New(name, address, o.Engine) })
	s.services = newClientCache(func(name, address string) *service.Client { return service.New(name, address, o.Service) })
	restServer, err := s.newRESTServer()
	if err != nil {
		return nil, eris.Wrap(err, "build the HTTP routes for callers")
	}
	handler, err := rest.NewServerless(restServer)
	if err != nil {
		return nil, eris.Wrap(err, "build the HTTP routes for callers")
	}
	s.http = &http.Server{
		Handler: http.HandlerFunc(handler.Serve),
		// Larger than Options.MaxHeaderBytes, so that checkHeader can refuse a request whose header
		// is too large with an *outcome.Error; net/http would refuse it with plain text.
		MaxHeaderBytes:    4 * o.MaxHeaderBytes,
		ReadHeaderTimeout: 10 * time.Second,
		IdleTimeout:       2 * time.Minute,
		ConnState:         s.connState,
	}
	o.Guard.Watch(s.http)
	return s, nil
}

// Serve serves callers on the listener until Drain or Close, after which it returns nil.
func (s *Server) Serve(listener net.Listener) error {
	if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "serve callers")
	}
	return nil
}

// Close closes all connections immediately, including those with requests in progress.
func (s *Server) Close() error {
	s.closeClients()
	return s.http.Close()
}

func (s *Server) closeClients() {
	s.engines.close()
	s.services.close()
}

func (s *Server) connState(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.metrics.connections.Set(float64(s.connections.Add(1)))
	case http.StateClosed, http.StateHijacked:
		s.metrics.connections.Set(float64(s.connections.Add(-1)))
	}
}

// detachedContext returns a context for work that continues after the caller has disconnected.
func detachedContext(timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), timeout)
}

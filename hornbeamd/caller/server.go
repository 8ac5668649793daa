// Package caller is the HTTP server towards callers: it authenticates, admits and relays their requests.
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

	"hornbeamstep.example/hornbeamd/engine"
	"hornbeamstep.example/hornbeamd/service"
)

// Options are the settings of a Server. The zero value of each field but Dispatcher stands for its default.
type Options struct {
	Dispatcher Dispatcher
	// Registry takes the metrics and is served on /metrics. Default: a new one.
	Registry *prometheus.Registry
	// Log is the log for failures inside the router. Default: none.
	Log *zap.Logger
	// Body and Header bound a request in bytes. Defaults 4 MiB and 32 KiB.
	Body, Header int
	// Answer bounds an answer that is gathered before it is sent, in bytes. Default 4 MiB.
	Answer int
	// Buffer is how much of a service's answer is gathered before it is sent, in bytes. Default 256 KiB.
	Buffer int
	// Keep is the largest answer kept with a claim, in bytes. Default 2048.
	Keep int
	// Requests and Connections bound those in progress at once. Defaults 10000 and 20000.
	Requests, Connections int
	// Read and Write are the longest times to receive a body and for one write to a caller. Defaults 30 s and 30 s.
	Read, Write time.Duration
	// Heartbeat is the time without a token after which a stream sends a comment. Default 15 s.
	Heartbeat time.Duration
	// Deadline is when a request is given up. Default 10 min.
	Deadline time.Duration
	// Attempts is the greatest number of attempts of a request. Default 3.
	Attempts int
	// Resumes is the greatest number of times that a stream is resumed without progress. Default 2.
	Resumes int
	// Lifetime is how long callers keep a route answer. Default 30 s.
	Lifetime time.Duration
	// Engine and Service are the settings of the clients of backend servers.
	Engine  engine.Options
	Service service.Options
}

func (o Options) withDefaults() Options {
	o.Body = or(o.Body, 4<<20)
	o.Header = or(o.Header, 32<<10)
	o.Answer = or(o.Answer, 4<<20)
	o.Buffer = or(o.Buffer, 256<<10)
	o.Keep = or(o.Keep, 2048)
	o.Requests = or(o.Requests, 10_000)
	o.Connections = or(o.Connections, 20_000)
	o.Read = or(o.Read, 30*time.Second)
	o.Write = or(o.Write, 30*time.Second)
	o.Heartbeat = or(o.Heartbeat, 15*time.Second)
	o.Deadline = or(o.Deadline, 10*time.Minute)
	o.Attempts = or(o.Attempts, 3)
	o.Resumes = or(o.Resumes, 2)
	o.Lifetime = or(o.Lifetime, 30*time.Second)
	if o.Registry == nil {
		o.Registry = prometheus.NewRegistry()
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	return o
}

func or[T comparable](value, standard T) T {
	var zero T
	if value == zero {
		return standard
	}
	return value
}

// Server is the HTTP server towards callers.
type Server struct {
	options    Options
	dispatcher Dispatcher
	http       *http.Server
	gate       *gate
	metrics    *metrics
	engines    *clients[*engine.HTTP]
	services   *clients[*service.HTTP]
	// connections is the number of open connections.
	connections atomic.Int64
}

// New returns a server that does not listen yet.
func New(o Options) (*Server, error) {
	if o.Dispatcher == nil {
		return nil, eris.New("the server has no dispatcher: set Options.Dispatcher")
	}
	o = o.withDefaults()
	s := &Server{options: o, dispatcher: o.Dispatcher, gate: newGate(o.Requests)}
	s.metrics = newMetrics(o.Registry)
	s.engines = newClients(func(name, address string) *engine.HTTP { return engine.New(name, address, o.Engine) })
	s.services = newClients(func(name, address string) *service.HTTP { return service.New(name, address, o.Service) })
	routes, err := s.newRest()
	if err != nil {
		return nil, eris.Wrap(err, "build the routes towards callers")
	}
	handler, err := rest.NewServerless(routes)
	if err != nil {
		return nil, eris.Wrap(err, "build the routes towards callers")
	}
	s.http = &http.Server{
		Handler: http.HandlerFunc(handler.Serve),
		// Larger than Options.Header, so that the router's own typed refusal comes before the library's plain one.
		MaxHeaderBytes:    4 * o.Header,
		ReadHeaderTimeout: 10 * time.Second,
		IdleTimeout:       2 * time.Minute,
		ConnState:         s.connState,
	}
	return s, nil
}

// Serve answers callers on the listener until Drain or Close. It returns nil after either.
func (s *Server) Serve(listener net.Listener) error {
	if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "serve callers")
	}
	return nil
}

// Close ends everything at once, requests in progress included.
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

// background returns a context for work that goes on when the caller has left.
func background(limit time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), limit)
}

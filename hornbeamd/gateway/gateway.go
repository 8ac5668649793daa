// Package gateway is the data path for HTTP requests that are routed by host and path: it authenticates a request, sends it to a
// backend server, and relays the answer once and whole.
package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"hornbeamstep.example/hornbeamd/backend"
	"hornbeamstep.example/routing/envelope"
	"hornbeamstep.example/routing/routes"
)

// Codec reads and writes the headers of requests and answers.
type Codec interface {
	backend.Codec
	Request(http.Header) envelope.Request
	Forward(http.Header, envelope.Forward) http.Header
	Relay(to, from http.Header)
	Refuse(to http.Header, after time.Duration)
	Attempt(to http.Header, id string)
}

// Server answers callers. Fields are set before use.
type Server struct {
	Codec     Codec
	Pool      *backend.Pool
	Upstreams *Upstreams
	Crashes   *Crashes
	// Zone is the availability zone of the router.
	Zone    string
	Log     *zap.Logger
	Metrics *Metrics

	// Started is when the process began.
	Started time.Time

	table atomic.Pointer[routes.Table]
	// ready is closed when the configuration and the backend servers are known.
	ready     chan struct{}
	readyOnce sync.Once
	// draining asks callers to use other routers; refusing ends service.
	draining, refusing atomic.Bool
	active             atomic.Int64
}

// Times and sizes of the data path.
const (
	// unconfigured is when a caller may come back that met a router without a configuration, which then does not reach the store.
	unconfigured = time.Second
	// joining is the time after its start in which a router most likely learns the configuration and the backend servers; requests
	// wait for them until then.
	joining = 400 * time.Millisecond
	// elsewhere is when a caller may come back to another router.
	elsewhere = 50 * time.Millisecond
	// noServer is when a caller may come back after no backend server could take its request.
	noServer = 300 * time.Millisecond
	// defaultBody bounds a request's body in bytes if the configuration does not.
	defaultBody = 4 << 20
	// gathered bounds the part of an answer that is held until it is whole, in bytes.
	gathered = 256 << 10
	// writeMargin is how long after a request's deadline a write to its caller may block.
	writeMargin = 100 * time.Millisecond
)

// SetTable puts a version of the configuration in force. Older versions than the present one are ignored.
func (s *Server) SetTable(t *routes.Table) bool {
	for {
		old := s.table.Load()
		if old != nil && old.Version() >= t.Version() {
			return false
		}
		if s.table.CompareAndSwap(old, t) {
			return true
		}
	}
}

// SetReady lets requests pass that wait since the start.
func (s *Server) SetReady() { s.readyOnce.Do(func() { close(s.ready) }) }

// Init prepares the server before its first request.
func (s *Server) Init() { s.ready = make(chan struct{}) }

// awaitReady waits for the first configuration and backend servers, for a short time after the start only.
func (s *Server) awaitReady(ctx context.Context) {
	left := joining - time.Since(s.Started)
	if left <= 0 {
		return
	}
	select {
	case <-s.ready:
	case <-ctx.Done():
	case <-time.After(left):
	}
}

// Table returns the configuration in force; nil before the first.
func (s *Server) Table() *routes.Table { return s.table.Load() }

// Drain asks callers, answer by answer, to connect elsewhere. Requests are served as before.
func (s *Server) Drain() { s.draining.Store(true) }

// Refuse ends service for new requests.
func (s *Server) Refuse() { s.refusing.Store(true) }

// Active returns the number of requests in progress.
func (s *Server) Active() int { return int(s.active.Load()) }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.active.Add(1)
	defer s.active.Add(-1)
	c := &call{s: s, w: w, r: r, received: time.Now(), stated: s.Codec.Request(r.Header)}
	// The library would guess a type for answers without one.
	w.Header()["Content-Type"] = nil
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	refusal := c.accept()
	if refusal == nil {
		refusal = c.readBody()
	}
	if refusal != nil {
		c.answer(refusal)
		return
	}
	c.forward()
}

// refusal is an answer of the router itself.
type refusal struct {
	status int
	// cause is the reason for logs and metrics.
	cause string
	// after is when the caller should come back; 0 if that does not help.
	after time.Duration
}

// accept finds the route and the client account of a request.
func (c *call) accept() *refusal {
	c.s.awaitReady(c.r.Context())
	c.table = c.s.Table()
	if c.s.refusing.Load() {
		c.w.Header().Set("Connection", "close")
		return &refusal{http.StatusServiceUnavailable, "draining", elsewhere}
	}
	if c.table == nil {
		return &refusal{http.StatusServiceUnavailable, "no_configuration", unconfigured}
	}
	c.target = c.r.RequestURI
	if !strings.HasPrefix(c.target, "/") {
		c.target = c.r.URL.RequestURI()
	}
	path, _, _ := strings.Cut(c.target, "?")
	host, _, _ := strings.Cut(c.r.Host, ":")
	route, found := c.table.Find(host, path)
	if !found {
		return &refusal{http.StatusNotFound, "no_route", 0}
	}
	c.route = route
	c.priority = route.Priority
	if !route.Public && c.table.HasAccounts() {
		account, known := c.table.Account(c.stated.Key)
		if !known {
			return &refusal{http.StatusUnauthorized, "unknown_key", 0}
		}
		c.account = account.Name
		if account.HasPriority {
			c.priority = account.Priority
		}
	}
	c.service = c.table.Service(route.Service(c.s.Upstreams.Draw()))
	c.setDeadline()
	return nil
}

// setDeadline takes the earlier of the caller's deadline and the route's.
func (c *call) setDeadline() {
	limit := c.stated.Left
	if c.route.Timeout > 0 && (limit == 0 || c.route.Timeout < limit) {
		limit = c.route.Timeout
	}
	if limit > 0 {
		c.deadline = c.received.Add(limit)
		// An error means that the connection has no deadlines, as in tests without a network.
		_ = http.NewResponseController(c.w).SetWriteDeadline(c.deadline.Add(writeMargin))
	}
}

// readBody reads the whole body, so that it can be sent again.
func (c *call) readBody() *refusal {
	c.hasBody = c.r.ContentLength != 0 || c.r.Header.Get("Content-Length") != ""
	if !c.hasBody {
		return nil
	}
	limit := c.table.Limits().Body
	if limit <= 0 {
		limit = defaultBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &refusal{http.StatusRequestEntityTooLarge, "body_too_large", 0}
	case err != nil:
		return &refusal{http.StatusBadRequest, "body_unreadable", 0}
	}
	c.body = body
	return nil
}

// answer sends an answer of the router itself.
func (c *call) answer(f *refusal) {
	c.s.Codec.Attempt(c.w.Header(), c.stated.Attempt)
	c.s.Codec.Refuse(c.w.Header(), f.after)
	c.w.Header().Set("Content-Length", "0")
	c.w.WriteHeader(f.status)
	c.report(f.status, f.cause)
	c.clearDeadline()
}

// clearDeadline readies the connection for the caller's next request.
func (c *call) clearDeadline() {
	// The connection may be closed already.
	_ = http.NewResponseController(c.w).SetWriteDeadline(time.Time{})
}

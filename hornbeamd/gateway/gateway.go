// Package gateway is the data path for HTTP requests that are routed by host and path. It
// authenticates a request, sends it to a backend server, and relays the response. If a server
// fails, it can send the request to another one, but the client receives at most one response. If a
// response cannot be completed, it closes the client's connection.
package gateway

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"hornbeamstep.example/hornbeamd/backend"
	"hornbeamstep.example/hornbeamd/clientconn"
	"hornbeamstep.example/hornbeamd/memory"
	"hornbeamstep.example/routing/metadata"
	"hornbeamstep.example/routing/routes"
)

// Codec parses the headers of requests and responses and builds those that the router sends.
type Codec interface {
	backend.Codec
	// ParseRequest parses the header of a client request.
	ParseRequest(http.Header) metadata.Request
	// BuildRequestHeader returns the header of the request to the backend server.
	BuildRequestHeader(http.Header, metadata.Forward) http.Header
	// CopyResponseHeader copies the header of a backend server's response to the response for the
	// client.
	CopyResponseHeader(to, from http.Header)
	// BuildRelayHeader returns the header of the request to another router that relays it.
	BuildRelayHeader(http.Header, metadata.Forward) http.Header
	// SetRetryAfter sets the retry delay of a response that the router itself sends; 0 sets none.
	SetRetryAfter(to http.Header, after time.Duration)
	// SetAttemptID sets the attempt ID of a response that the router itself sends.
	SetAttemptID(to http.Header, id string)
}

// Server is the HTTP handler for client requests. The exported fields must be set before first use.
type Server struct {
	Codec     Codec
	Pool      *backend.Pool
	Upstreams *Upstreams
	Crashes   *CrashTracker
	Permits   *Permits
	Origins   *Origins
	Paths     *Paths
	Relays    *Relays
	// ID is the ID of the router.
	ID string
	// Zone is the availability zone of the router.
	Zone string
	// ZoneRegions holds the region of each availability zone.
	ZoneRegions map[string]string
	Log         *zap.Logger
	Metrics     *Metrics

	// Started is when the process started.
	Started time.Time

	table atomic.Pointer[routes.Table]
	// ready is closed once the configuration and the backend servers are known.
	ready     chan struct{}
	readyOnce sync.Once
	// drain is nil until the router shuts down. From then on, responses ask clients to close the
	// connection.
	drain atomic.Pointer[DrainPlan]
	// closing is done from the time at which a shutdown ends the requests in progress; end ends it.
	closing context.Context
	end     context.CancelCauseFunc
	// nextRouterIn is the expected time until another router takes callers, in nanoseconds; 0 while
	// one does.
	nextRouterIn atomic.Int64
	active       atomic.Int64
	// eventBudget and bodyBudget limit what all requests hold of the responses of backend servers.
	eventBudget, bodyBudget *memory.Account
}

const (
	// unconfiguredRetryAfter is the retry delay sent by a router that has no configuration because
	// it cannot reach the store.
	unconfiguredRetryAfter = time.Second
	// startupWait is the time after startup during which requests wait for the configuration and
	// the backend servers. A router usually receives both within this time.
	startupWait = 400 * time.Millisecond
	// drainingRetryAfter is the retry delay sent by a router that is shutting down; another router
	// can serve the request.
	drainingRetryAfter = 50 * time.Millisecond
	// noServerRetryAfter is the retry delay sent when no backend server could take the request.
	noServerRetryAfter = 300 * time.Millisecond
	// defaultMaxBodyBytes is the size limit for request bodies if the configuration sets none.
	defaultMaxBodyBytes = 4 << 20
	// maxBufferedBytes is the largest response body that is buffered completely before it is
	// relayed.
	maxBufferedBytes = 256 << 10
	// maxHeldEventBytes limits the sum of the events that are held in memory for all requests, and
	// maxHeldBodyBytes that of the responses which are not streams. The limits on a single event and
	// response don't bound the memory of many concurrent requests.
	maxHeldEventBytes = 16 << 20
	maxHeldBodyBytes  = 16 << 20
	// writeDeadlineMargin is how long after a request's deadline a write to the client may block.
	writeDeadlineMargin = 100 * time.Millisecond
)

// SetTable activates a version of the configuration. It returns false and does nothing if the
// version is not newer than the active one.
func (s *Server) SetTable(t *routes.Table) bool {
	for {
		current := s.table.Load()
		if current != nil && current.Version() >= t.Version() {
			return false
		}
		if s.table.CompareAndSwap(current, t) {
			return true
		}
	}
}

// SetReady releases the requests that wait until the router is ready.
func (s *Server) SetReady() { s.readyOnce.Do(func() { close(s.ready) }) }

// Init initializes the server. It must be called before the first request.
func (s *Server) Init() {
	s.ready = make(chan struct{})
	s.eventBudget, s.bodyBudget = memory.New(maxHeldEventBytes), memory.New(maxHeldBodyBytes)
	s.closing, s.end = context.WithCancelCause(context.Background())
	if s.Crashes != nil {
		s.Crashes.watchServers(s)
	}
}

// awaitReady waits until the first configuration and the backend servers are known, but no longer
// than startupWait after startup.
func (s *Server) awaitReady(ctx context.Context) {
	remaining := startupWait - time.Since(s.Started)
	if remaining <= 0 {
		return
	}
	select {
	case <-s.ready:
	case <-ctx.Done():
	case <-time.After(remaining):
	}
}

// Table returns the active configuration, or nil before the first one.
func (s *Server) Table() *routes.Table { return s.table.Load() }

// SetNextRouterIn sets the expected time until another router takes callers; 0 if one does. Only a
// draining router uses it.
func (s *Server) SetNextRouterIn(d time.Duration) { s.nextRouterIn.Store(int64(d)) }

// Active returns the number of requests in progress.
func (s *Server) Active() int { return int(s.active.Load()) }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.serve(w, r, relayRequest{}) }

// serve serves a request of a client, or one that another router relays.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, relay relayRequest) {
	s.active.Add(1)
	defer s.active.Add(-1)
	c := &clientRequest{server: s, w: &drainWriter{w, s}, r: r, receivedAt: time.Now(), metadata: s.Codec.ParseRequest(r.Header), relayed: relay}
	if c.isRelayed() {
		c.w = &relayWriter{c.w, c}
	}
	// Without this entry, net/http would guess a Content-Type for responses that have none.
	w.Header()["Content-Type"] = nil
	rejected := c.resolveRoute()
	if rejected == nil {
		rejected = c.acceptRelay()
	}
	if rejected == nil {
		rejected = c.readBody(w)
	}
	if rejected != nil {
		c.reject(rejected)
		return
	}
	c.forward()
}

// drainWriter asks the client to close the connection if the router is draining when the response
// starts.
type drainWriter struct {
	http.ResponseWriter
	server *Server
}

// WriteHeader implements http.ResponseWriter. The header is set here because the headers of a
// backend server's response replace those that were set before.
func (w *drainWriter) WriteHeader(status int) {
	if w.server.drain.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the writer of net/http, for http.ResponseController.
func (w *drainWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// rejection is a response that the router itself sends instead of relaying one.
type rejection struct {
	status int
	// outcome is the outcome of the request in logs and metrics.
	outcome string
	// retryAfter is the delay after which the client should retry; 0 if a retry does not help.
	retryAfter time.Duration
}

// resolveRoute finds the route, the client account and the service of the request.
func (c *clientRequest) resolveRoute() *rejection {
	c.server.awaitReady(c.r.Context())
	c.table = c.server.Table()
	if c.table == nil {
		return &rejection{http.StatusServiceUnavailable, "no_configuration", unconfiguredRetryAfter}
	}
	c.target = c.r.RequestURI
	if !strings.HasPrefix(c.target, "/") {
		c.target = c.r.URL.RequestURI()
	}
	path, _, _ := strings.Cut(c.target, "?")
	host, _, _ := strings.Cut(c.r.Host, ":")
	route, ok := c.table.Find(host, path)
	if !ok {
		return &rejection{http.StatusNotFound, "no_route", 0}
	}
	c.route = route
	c.priority = route.Priority
	var accountRegions []string
	if !route.Public && c.table.RequiresKey() {
		account, ok := c.table.Account(c.metadata.Key)
		if !ok {
			return &rejection{http.StatusUnauthorized, "unknown_key", 0}
		}
		c.account, accountRegions = account.Name, account.Regions
		if account.HasPriority {
			c.priority = account.Priority
		}
	}
	c.regions = routes.RegionsOf(route.Regions, accountRegions)
	c.service = c.table.Service(route.Service(c.server.Upstreams.RandomFraction()))
	c.setDeadline()
	if c.isTooLate() {
		return &rejection{http.StatusServiceUnavailable, deniedDraining, c.server.drainRetryAfter()}
	}
	return nil
}

// isTooLate reports whether a request that no server can have run must not be sent to one any more,
// because this router shuts down and may have to end it. That may become true while the body of the
// request arrives, or while the request waits for a permit.
func (c *clientRequest) isTooLate() bool {
	plan := c.server.drain.Load()
	return plan != nil && !plan.accepts(time.Now(), c.deadline)
}

// drainRetryAfter returns the retry delay for requests that are rejected because of the shutdown.
func (s *Server) drainRetryAfter() time.Duration {
	return max(drainingRetryAfter, time.Duration(s.nextRouterIn.Load()))
}

// setDeadline sets the request's deadline to the earlier of the client's deadline and the route's
// timeout.
func (c *clientRequest) setDeadline() {
	limit := c.metadata.TimeLeft
	if c.route.Timeout > 0 && (limit == 0 || c.route.Timeout < limit) {
		limit = c.route.Timeout
	}
	if limit > 0 {
		c.deadline = c.receivedAt.Add(limit)
		// An error means that the connection does not support deadlines, as in tests without a
		// network.
		_ = http.NewResponseController(c.w).SetWriteDeadline(c.deadline.Add(writeDeadlineMargin))
	}
}

// readBody reads the whole request body, so that the request can be retried. w is the writer of
// net/http, which closes the connection after a body that is too large. Afterwards, the request is not
// given up for want of memory any more.
func (c *clientRequest) readBody(w http.ResponseWriter) *rejection {
	conn := clientconn.FromContext(c.r.Context())
	c.hasBody = c.r.ContentLength != 0 || c.r.Header.Get("Content-Length") != ""
	if c.hasBody {
		limit := c.table.Limits().Body
		if limit <= 0 {
			limit = defaultMaxBodyBytes
		}
		// One more byte, because the reader returns an error for a body above the limit.
		body, isWhole, err := memory.ReadUpTo(http.MaxBytesReader(w, c.r.Body, limit), int(limit)+1, c.r.ContentLength, conn.GrowBody)
		var tooLarge *http.MaxBytesError
		switch {
		case errors.As(err, &tooLarge):
			return &rejection{http.StatusRequestEntityTooLarge, "body_too_large", 0}
		case conn.IsRevoked(), err == nil && !isWhole:
			return c.outOfMemory()
		case err != nil:
			return &rejection{http.StatusBadRequest, "body_unreadable", 0}
		}
		c.body = body
	}
	if !conn.Keep() {
		return c.outOfMemory()
	}
	return nil
}

// outOfMemory rejects a request because those of other clients hold the memory for requests. The rest of
// its body is not read.
func (c *clientRequest) outOfMemory() *rejection {
	c.w.Header().Set("Connection", "close")
	return &rejection{http.StatusServiceUnavailable, "out_of_memory", noServerRetryAfter}
}

// reject sends a response of the router itself.
func (c *clientRequest) reject(rejected *rejection) {
	c.server.Codec.SetAttemptID(c.w.Header(), c.metadata.Attempt)
	c.server.Codec.SetRetryAfter(c.w.Header(), rejected.retryAfter)
	c.w.Header().Set("Content-Length", "0")
	c.rejectedAs = rejected.outcome
	c.w.WriteHeader(rejected.status)
	c.recordResult(rejected.status, rejected.outcome)
	c.clearDeadline()
}

// clearDeadline removes the write deadline, so that it does not affect the client's next request on
// the connection.
func (c *clientRequest) clearDeadline() {
	// An error means that the connection is already closed.
	_ = http.NewResponseController(c.w).SetWriteDeadline(time.Time{})
}

package caller

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"hornbeamstep.example/routing/outcome"
	"hornbeamstep.example/timeline"
)

// responseTime is the time before the deadline of a drain at which requests in progress are ended,
// so that their callers still receive an error response. It is shorter with a short deadline.
const responseTime = time.Second

// gate counts and limits the requests in progress, and refuses new ones during a drain.
type gate struct {
	mu sync.Mutex
	// active is the number of requests in progress and of claims being finished. It is at least 0.
	active, limit int
	closed        bool
	// idle is closed once the gate is closed and active is 0.
	idle chan struct{}
}

func newGate(limit int) *gate { return &gate{limit: limit, idle: make(chan struct{})} }

// enter counts a new request, unless the gate is closed or full.
func (g *gate) enter() (closed, full bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return true, false
	}
	if g.active >= g.limit {
		return false, true
	}
	g.active++
	return false, false
}

// add counts the finishing of a claim, even if the gate is closed or full. It must be called while
// the request itself is still counted.
func (g *gate) add() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active++
}

func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active--
	if g.closed && g.active == 0 {
		close(g.idle)
	}
}

// close makes the gate refuse new requests. It returns a channel that is closed once active is 0.
func (g *gate) close() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		g.closed = true
		if g.active == 0 {
			close(g.idle)
		}
	}
	return g.idle
}

// Active returns the number of requests in progress and of claims being finished.
func (s *Server) Active() int {
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
	return s.gate.active
}

// authenticateAndEnter authenticates the caller and enters the gate. After success the handler must
// call gate.leave.
func (c *call) authenticateAndEnter() *outcome.Error {
	if e := c.identify(); e != nil {
		return e
	}
	if c.server.connections.Load() > int64(c.server.options.MaxConnections) {
		c.w.Header().Set("Connection", "close")
		return errOverloaded("the router has too many connections")
	}
	closed, full := c.server.gate.enter()
	switch {
	case closed:
		c.w.Header().Set("Connection", "close")
		return errDraining(c.otherRouters())
	case full:
		return errOverloaded("the router has too many requests in progress")
	}
	return nil
}

// otherRouters returns the addresses of the routers that the caller can use instead.
func (c *call) otherRouters() []string {
	var addresses []string
	for _, a := range c.server.dispatcher.Route(c.account.Name, "", "").Addresses {
		addresses = append(addresses, a.Address)
	}
	return addresses
}

func errOverloaded(message string) *outcome.Error {
	e := newRefusal(outcome.Overloaded, http.StatusServiceUnavailable, message,
		"send the request again after the time given")
	e.RetryAfter = time.Second
	return e
}

// Drain shuts the server down gracefully. Dispatcher.Draining must already return true, so that
// callers get the addresses of other routers from GET /v1/route. Drain still accepts requests for
// Options.RouteTTL, because callers cache earlier route responses for that time. Then it does the
// same as Finish.
func (s *Server) Drain(ctx context.Context) error {
	s.dispatcher.Record(timeline.Event{Kind: timeline.Drained, Text: "drain begins"})
	routeTTL := time.NewTimer(s.options.RouteTTL)
	defer routeTTL.Stop()
	select {
	case <-routeTTL.C:
	case <-ctx.Done():
	}
	return s.Finish(ctx)
}

// Finish refuses new requests with outcome NotRun and waits for those in progress. Shortly before
// the deadline of the context it ends them with an error response. If the context ends before they
// do, it closes all connections. In both cases it returns an error.
func (s *Server) Finish(ctx context.Context) error {
	idle := s.gate.close()
	if deadline, ok := ctx.Deadline(); ok {
		left := time.Until(deadline)
		timer := time.AfterFunc(left-min(responseTime, left/10), s.endRequests)
		defer timer.Stop()
	}
	s.dispatcher.Record(timeline.Event{Kind: timeline.Drained, Text: "new work is refused"})
	select {
	case <-idle:
	case <-ctx.Done():
	}
	err := s.http.Shutdown(ctx)
	s.closeClients()
	if err == nil {
		err = s.requestsEnded.Err()
	}
	if err != nil {
		_ = s.http.Close()
		return eris.Wrap(err, "drain timed out with requests in progress: allow it more time")
	}
	s.dispatcher.Record(timeline.Event{Kind: timeline.Drained, Text: "drain complete"})
	return nil
}

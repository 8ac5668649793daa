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

// gate counts the work in progress and closes for new work during a drain.
type gate struct {
	mu sync.Mutex
	// active is the number of requests in progress and of claims being finished. At least 0.
	active, limit int
	refusing      bool
	// idle is closed when the gate refuses and active is 0.
	idle chan struct{}
}

func newGate(limit int) *gate { return &gate{limit: limit, idle: make(chan struct{})} }

// enter counts a request, unless the gate refuses or is full.
func (g *gate) enter() (refusing, full bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.refusing {
		return true, false
	}
	if g.active >= g.limit {
		return false, true
	}
	g.active++
	return false, false
}

// join counts work that belongs to a request in progress.
func (g *gate) join() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active++
}

func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active--
	if g.refusing && g.active == 0 {
		close(g.idle)
	}
}

// refuse closes the gate and returns a channel that is closed when nothing is in progress.
func (g *gate) refuse() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.refusing {
		g.refusing = true
		if g.active == 0 {
			close(g.idle)
		}
	}
	return g.idle
}

// Active returns the number of requests in progress.
func (s *Server) Active() int {
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
	return s.gate.active
}

// enter identifies the caller and takes its request into the work in progress; gate.leave ends it.
func (c *call) enter() *outcome.Error {
	if e := c.identify(); e != nil {
		return e
	}
	if c.s.connections.Load() > int64(c.s.options.Connections) {
		c.w.Header().Set("Connection", "close")
		return errFull("the router has too many connections")
	}
	refusing, full := c.s.gate.enter()
	switch {
	case refusing:
		c.w.Header().Set("Connection", "close")
		return errDraining(c.others())
	case full:
		return errFull("the router has too many requests in progress")
	}
	return nil
}

// others returns the other routers to use.
func (c *call) others() []string {
	var list []string
	for _, a := range c.s.dispatcher.Route(c.account.Name, "", "").Addresses {
		list = append(list, a.Address)
	}
	return list
}

func errFull(message string) *outcome.Error {
	e := refuse(outcome.Overloaded, http.StatusServiceUnavailable, message, "send the request again after the time given")
	e.RetryAfter = time.Second
	return e
}

// Drain ends the server without cutting off a request. The dispatcher must already leave the route answers
// (Dispatcher.Draining). It serves for the lifetime of those answers, then refuses new work as not run and finishes what is
// in progress. When the context ends earlier, it cuts off the rest and returns an error.
func (s *Server) Drain(ctx context.Context) error {
	s.dispatcher.Record(timeline.Event{Kind: timeline.Drained, Text: "drain begins"})
	lifetime := time.NewTimer(s.options.Lifetime)
	defer lifetime.Stop()
	select {
	case <-lifetime.C:
	case <-ctx.Done():
	}
	idle := s.gate.refuse()
	s.dispatcher.Record(timeline.Event{Kind: timeline.Drained, Text: "new work is refused"})
	select {
	case <-idle:
	case <-ctx.Done():
	}
	err := s.http.Shutdown(ctx)
	s.closeClients()
	if err != nil {
		_ = s.http.Close()
		return eris.Wrap(err, "drain ended before all requests did: allow it more time")
	}
	s.dispatcher.Record(timeline.Event{Kind: timeline.Drained, Text: "drain complete"})
	return nil
}

package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
)

// errClosing ends the requests that are still in progress at the end of a shutdown.
var errClosing = eris.New("the router closes")

// DrainPlan says which requests a router accepts that is shutting down. The times must not decrease
// in the order of the fields.
type DrainPlan struct {
	// Until LeftAt, clients use cached addresses of this router, and all requests are accepted.
	// From then until RejectAt, a request is accepted only if its deadline is before CloseAt.
	LeftAt time.Time
	// RejectAt is the time from which all requests are rejected.
	RejectAt time.Time
	// CloseAt is the time at which the requests in progress are ended. Those of which the client has
	// received nothing yet get a response that says so.
	CloseAt time.Time
}

// accepts reports whether a request is accepted now, or may be sent to a server for the first time.
// The deadline is zero if the request has none.
func (p DrainPlan) accepts(now, deadline time.Time) bool {
	switch {
	case now.Before(p.LeftAt):
		return true
	case !now.Before(p.RejectAt), deadline.IsZero():
		return false
	}
	return deadline.Add(writeDeadlineMargin).Before(p.CloseAt)
}

// Drain makes each further response ask its client to close the connection, so that the client
// connects to another router. Requests are served, rejected and ended according to the plan.
func (s *Server) Drain(plan DrainPlan) {
	s.drain.Store(&plan)
	time.AfterFunc(time.Until(plan.CloseAt), func() { s.end(errClosing) })
}

// RejectAll makes a draining router reject all further requests. It must be called before idle
// connections are closed, because net/http may take a connection for idle whose next request it has
// just read.
func (s *Server) RejectAll(now time.Time) {
	plan := *s.drain.Load()
	plan.LeftAt, plan.RejectAt = now, now
	s.drain.Store(&plan)
}

// isEnded reports whether the request was ended because the router closes.
func (c *clientRequest) isEnded() bool { return errors.Is(context.Cause(c.ctx), errClosing) }

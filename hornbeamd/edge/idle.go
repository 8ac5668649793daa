package edge

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"hornbeamstep.example/hornbeamd/gateway"
)

// withIdleLimit makes a server close client connections that are idle for longer than the active
// configuration allows. The idle timeout of http.Server cannot be used, because it cannot change
// while the server runs. The limit is set as a read deadline: a read either times out or returns
// the start of the next request, so that the server does not close a connection while it serves a
// request.
func withIdleLimit(s *http.Server, l net.Listener, g *gateway.Server) net.Listener {
	next := s.ConnState
	s.ConnState = func(conn net.Conn, state http.ConnState) {
		if next != nil {
			next(conn, state)
		}
		c, ok := conn.(*idleConn)
		switch {
		case !ok:
		case state == http.StateIdle:
			now := time.Now()
			c.idleSince.Store(&now)
		case state == http.StateActive:
			c.endIdle()
		}
	}
	return &idleListener{Listener: l, gateway: g}
}

// idleListener wraps the accepted connections in idleConn.
type idleListener struct {
	net.Listener
	gateway *gateway.Server
}

// Accept implements net.Listener.
func (l *idleListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &idleConn{Conn: conn, gateway: l.gateway}, nil
}

// idleConn is a client connection that is closed when it is idle for too long.
type idleConn struct {
	net.Conn
	gateway *gateway.Server
	// idleSince is the time at which the connection became idle; nil while a request is in
	// progress.
	idleSince atomic.Pointer[time.Time]
}

// NetConn returns the connection below, like that of tls.Conn.
func (c *idleConn) NetConn() net.Conn { return c.Conn }

// SetReadDeadline implements net.Conn. http.Server clears the deadline, by setting it to zero, when
// it begins to wait for a request and when a request arrives. While the connection is idle,
// clearing it sets the idle deadline instead.
func (c *idleConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() || c.idleSince.Load() == nil {
		return c.Conn.SetReadDeadline(t)
	}
	return c.Conn.SetReadDeadline(c.idleDeadline())
}

// endIdle removes the idle deadline. Read does not do so for a request that the server has read
// together with the one before it. The server sets no other read deadline during a request.
func (c *idleConn) endIdle() {
	if c.idleSince.Swap(nil) != nil {
		// An error means that the connection is already closed.
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
}

// idleDeadline returns the time at which an idle connection must be closed; zero if the
// configuration sets no limit.
func (c *idleConn) idleDeadline() time.Time {
	since, t := c.idleSince.Load(), c.gateway.Table()
	if since == nil || t == nil || t.Limits().IdleTimeout <= 0 {
		return time.Time{}
	}
	return since.Add(t.Limits().IdleTimeout)
}

// Read implements net.Conn. When the idle deadline passes, it continues with a later deadline if
// the configured limit was raised while the connection was idle.
func (c *idleConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if n > 0 {
			c.idleSince.Store(nil)
		}
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || c.idleSince.Load() == nil {
			return n, err
		}
		deadline := c.idleDeadline()
		if !deadline.IsZero() && !deadline.After(time.Now()) {
			return n, err
		}
		if err := c.Conn.SetReadDeadline(deadline); err != nil {
			return n, err
		}
	}
}

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

// limitIdle makes a server close callers' connections that are idle for longer than the configuration in force allows. The
// server's own limit cannot change while it runs. The limit is that of a read, so that a connection is closed or its next request
// is served, and never both.
func limitIdle(s *http.Server, l net.Listener, g *gateway.Server) net.Listener {
	s.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, ok := conn.(*idleConn); ok && state == http.StateIdle {
			now := time.Now()
			c.since.Store(&now)
		}
	}
	return &idleListener{Listener: l, gateway: g}
}

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

// idleConn is the connection of a caller.
type idleConn struct {
	net.Conn
	gateway *gateway.Server
	// since is when it became idle; nil while it is not.
	since atomic.Pointer[time.Time]
}

// SetReadDeadline implements net.Conn. The server lifts the deadline when it begins to wait for a request and again when one
// arrives; the first of the two sets that of an idle connection.
func (c *idleConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() || c.since.Load() == nil {
		return c.Conn.SetReadDeadline(t)
	}
	return c.Conn.SetReadDeadline(c.end())
}

// end is when an idle connection has to be closed; zero if the configuration sets no limit.
func (c *idleConn) end() time.Time {
	since, t := c.since.Load(), c.gateway.Table()
	if since == nil || t == nil || t.Limits().IdleTimeout <= 0 {
		return time.Time{}
	}
	return since.Add(t.Limits().IdleTimeout)
}

// Read implements net.Conn. The limit may have been raised while the connection was idle.
func (c *idleConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if n > 0 {
			c.since.Store(nil)
		}
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || c.since.Load() == nil {
			return n, err
		}
		end := c.end()
		if !end.IsZero() && !end.After(time.Now()) {
			return n, err
		}
		if err := c.Conn.SetReadDeadline(end); err != nil {
			return n, err
		}
	}
}

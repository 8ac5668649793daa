// Package clientconn limits what the connections of clients take: how many there are, and the memory that
// the heads and the bodies of their requests hold. It is meant for clients that keep to no limits. A
// client inside the configured limits meets these only while others use up the room.
package clientconn

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"hornbeamstep.example/hornbeamd/memory"
)

const (
	// headByteCost and headLineCost are the memory that a byte and a line of a head take, in bytes: as it
	// is read, parsed, and copied for the request to a backend server.
	headByteCost = 3
	headLineCost = 192
	// smallHeadCost is the cost up to which a head is read although there is no room, so that its client
	// gets a response.
	smallHeadCost = 16 << 10
	// shortestLine is the size of the shortest line of a head: a name of one byte, the colon, CR and LF.
	shortestLine = 4
	// logInterval is the time between two log lines about refused connections.
	logInterval = time.Second
)

// noRoomError is the error of reading from a connection whose request is given up. It is a timeout, because
// net/http answers other errors within a head with 400, after which clients do not send a request again.
type noRoomError struct{}

func (noRoomError) Error() string {
	return "the requests of other clients take the memory for requests"
}
func (noRoomError) Timeout() bool   { return true }
func (noRoomError) Temporary() bool { return true }

var _ net.Error = noRoomError{}

// Guard holds the open connections of clients, for all listeners of the process together. The exported
// fields must be set before first use.
type Guard struct {
	// MaxConns is the maximum number of connections. Above it, the connection that has waited longest
	// for a request is closed.
	MaxConns int
	// Account is charged with what the requests hold.
	Account *memory.Account
	Log     *zap.Logger

	mu    sync.Mutex
	conns map[*Conn]struct{}
	// closed counts the connections that were closed because there were too many, and revoked those
	// that were ended for want of memory, both since the latest log line at loggedAt.
	closed, revoked int
	loggedAt        time.Time
	stats           Stats
}

// Stats are the counts of a Guard.
type Stats struct {
	// Open is the number of open connections.
	Open int
	// Closed is the number of connections that were closed because there were too many, and Revoked
	// that of connections that were ended for want of memory.
	Closed, Revoked int
}

// Stats returns the counts.
func (g *Guard) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.stats
	s.Open = len(g.conns)
	return s
}

// Listener returns a listener whose connections the guard holds. isEncrypted is true if TLS goes over them.
// The server must be passed to Watch.
func (g *Guard) Listener(l net.Listener, isEncrypted bool) net.Listener {
	return &listener{Listener: l, guard: g, isEncrypted: isEncrypted}
}

// Watch makes a server report the states of its connections to the guard, and makes them known to its
// handlers. It must be called before Serve.
func (g *Guard) Watch(s *http.Server) {
	next := s.ConnState
	s.ConnState = func(conn net.Conn, state http.ConnState) {
		if c := find(conn); c != nil {
			c.changeState(state)
		}
		if next != nil {
			next(conn, state)
		}
	}
	s.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, contextKey{}, find(conn))
	}
}

type contextKey struct{}

// FromContext returns the connection of a request, or nil if no guard knows it. The methods that a handler
// calls accept nil.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}

// find returns the Conn below conn, which TLS and others may wrap; nil if there is none.
func find(conn net.Conn) *Conn {
	for {
		if c, ok := conn.(*Conn); ok {
			return c
		}
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		conn = wrapper.NetConn()
	}
}

type listener struct {
	net.Listener
	guard       *Guard
	isEncrypted bool
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		netConn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: netConn, guard: l.guard, isEncrypted: l.isEncrypted}
		c.held = memory.Reservation{Account: l.guard.Account, Revoke: c.revoke}
		if l.guard.add(c) {
			return c, nil
		}
		// All connections have a request in progress. The client may try another router.
		_ = netConn.Close()
	}
}

// add adds a connection. If there are too many, it closes the one that has waited longest for a request,
// and returns false if there is none.
func (g *Guard) add(c *Conn) bool {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.conns == nil {
		g.conns = map[*Conn]struct{}{}
	}
	for len(g.conns) >= g.MaxConns {
		g.closed++
		g.stats.Closed++
		g.log(now)
		longest := g.longestWaiting()
		if longest == nil {
			return false
		}
		delete(g.conns, longest)
		// The server notices that when it reads from the connection.
		_ = longest.Close()
	}
	c.waitingSince = now
	g.conns[c] = struct{}{}
	return true
}

// longestWaiting returns the connection without a request in progress that has waited longest for one.
func (g *Guard) longestWaiting() *Conn {
	var longest *Conn
	for c := range g.conns {
		if !c.waitingSince.IsZero() && (longest == nil || c.waitingSince.Before(longest.waitingSince)) {
			longest = c
		}
	}
	return longest
}

// log logs the connections that were closed and revoked. The guard's mutex must be held.
func (g *Guard) log(now time.Time) {
	if now.Sub(g.loggedAt) < logInterval {
		return
	}
	g.Log.Warn("clients exceed the room for connections or requests; closing some of theirs", zap.Int("connections", len(g.conns)),
		zap.Int("limit", g.MaxConns), zap.Int("closed", g.closed), zap.Int("out_of_memory", g.revoked), zap.Int("held_bytes", g.Account.Used()),
		zap.Int("releasing_bytes", g.Account.Releasing()))
	g.loggedAt, g.closed, g.revoked = now, 0, 0
}

func (g *Guard) setWaiting(c *Conn, since time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c.waitingSince = since
}

func (g *Guard) remove(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c)
}

func (g *Guard) countRevoked() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.revoked++
	g.stats.Revoked++
	g.log(time.Now())
}

// Conn is the connection of a client. Its reservation holds the head and the body of the request in
// progress. The goroutine that serves the connection owns all fields but those with another owner.
type Conn struct {
	net.Conn
	guard *Guard
	held  memory.Reservation
	// isEncrypted is true if the lines of heads can't be counted.
	isEncrypted bool
	// inRequest is true from the end of the head of a request until its end.
	inRequest bool
	// headCost is the memory of the head, and headEnded is true once all of it was counted.
	headCost  int
	headEnded bool

	// waitingSince is when the connection began to wait for a request; zero while one is in progress.
	// The mutex of the guard guards it.
	waitingSince time.Time

	// mu guards revoked, which is true once the request must be given up for want of memory.
	mu      sync.Mutex
	revoked bool
}

// NetConn returns the connection below, like that of tls.Conn.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Read implements io.Reader. It counts what it reads of the head of a request.
func (c *Conn) Read(p []byte) (int, error) {
	if c.IsRevoked() {
		return 0, noRoomError{}
	}
	n, err := c.Conn.Read(p)
	switch {
	case n > 0 && !c.inRequest:
		c.countHead(p[:n])
		if !c.held.Grow(c.headCost) && (c.headCost > smallHeadCost || c.IsRevoked()) {
			c.revoke()
			return 0, noRoomError{}
		}
	case err != nil && c.IsRevoked():
		return n, noRoomError{}
	}
	return n, err
}

// countHead adds the next bytes of a connection to the cost of the head, up to the head's end.
func (c *Conn) countHead(p []byte) {
	if c.headEnded {
		return
	}
	lines := len(p) / shortestLine
	if !c.isEncrypted {
		if end := bytes.Index(p, []byte("\r\n\r\n")); end >= 0 {
			p, c.headEnded = p[:end], true
		}
		lines = bytes.Count(p, []byte("\n"))
	}
	c.headCost += headByteCost*len(p) + headLineCost*lines
}

// SetReadDeadline implements net.Conn. Once the request must be given up, the deadline has passed.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.revoked {
		t = time.Unix(1, 0)
	}
	return c.Conn.SetReadDeadline(t)
}

// revoke makes reads fail, so that the request is given up. The account calls it.
func (c *Conn) revoke() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revoked = true
	// An error means that the connection is already closed.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// IsRevoked reports whether the request must be given up for want of memory.
func (c *Conn) IsRevoked() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revoked
}

// GrowBody reserves the memory of the request's body, in bytes. It returns false if there is no room.
func (c *Conn) GrowBody(n int) bool { return c == nil || c.held.Grow(c.headCost+n) }

// Keep prevents that the request is given up, because a backend server gets it. It returns false if that
// has happened already.
func (c *Conn) Keep() bool { return c == nil || c.held.Pin() }

func (c *Conn) changeState(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.inRequest = true
		c.guard.setWaiting(c, time.Time{})
	case http.StateIdle:
		c.inRequest, c.headCost, c.headEnded = false, 0, false
		c.held.Release()
		c.guard.setWaiting(c, time.Now())
	case http.StateClosed, http.StateHijacked:
		c.held.Release()
		if c.IsRevoked() {
			c.guard.countRevoked()
		}
		c.guard.remove(c)
	}
}

package backend

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"hornbeamstep.example/ports/transport"
)

// Timeouts and sizes of a Pool.
const (
	// DefaultDialTimeout is the dial timeout. It is many times the round-trip time between
	// availability zones, but ends before TCP retransmits a lost packet, because the request can be
	// sent to another server sooner than that.
	DefaultDialTimeout = 150 * time.Millisecond
	// DefaultIdleTimeout is the assumed idle timeout of a server that does not announce one, and
	// replaces an announced timeout that is longer.
	DefaultIdleTimeout = 8 * time.Second
	// atMostOnceMaxIdle is the longest idle time after which a connection may carry an at-most-once
	// request. Servers and network devices drop idle connections without notice, and an
	// at-most-once request cannot be resent. If a connection fails after a shorter idle time, the
	// limit is reduced for learnedIdleTTL, but not below atMostOnceMinIdle.
	atMostOnceMaxIdle = 750 * time.Millisecond
	atMostOnceMinIdle = 20 * time.Millisecond
	learnedIdleTTL    = 30 * time.Second
	// idleMargin is how long before the server's idle timeout an idle connection expires, so that
	// the server does not close it first. It is at most half the idle timeout.
	idleMargin = 500 * time.Millisecond
	// readBufferSize is the size of a connection's read buffer in bytes.
	readBufferSize = 2 << 10
	// unackedTimeout is how long sent data may remain unacknowledged before the kernel closes the
	// connection. Keep-alive probes are sent at half this interval.
	unackedTimeout = 2 * time.Second
	// receiveBuffer is the size of a connection's receive buffer in bytes. Otherwise the kernel lets it
	// grow up to tens of megabytes, which count as memory of the router while its client reads slowly.
	receiveBuffer = 64 << 10
)

// Pool manages the connections to all backend servers. The exported fields must be set before first
// use.
type Pool struct {
	Codec Codec
	// DialTimeout limits the time to establish a connection.
	DialTimeout time.Duration
	// OnConnect, if set, is called after each new connection is established.
	OnConnect func(address string)
	// OnDial, if set, is called with the result of each attempt to connect that was not canceled.
	OnDial func(address string, ok bool)

	mu sync.Mutex
	// hosts is keyed by the server's address, as host:port.
	hosts map[string]*hostPool
	// learnedIdle replaces atMostOnceMaxIdle until learnedUntil. recordEarlyClose sets both.
	learnedIdle  time.Duration
	learnedUntil time.Time
}

// hostPool holds the connections to one backend server.
type hostPool struct {
	// idle holds the idle connections, most recently used last.
	idle []*conn
	// openCount is the number of open connections, including idle ones and those being dialed.
	openCount int
}

var errConnectionLimit = eris.New("router has reached its share of the server's connections")

// get returns an idle connection or dials a new one.
func (p *Pool) get(ctx context.Context, r *Request) (*conn, *Error) {
	reserved := r.NewConnection && p.reserveSlot(r)
	if !reserved {
		if c := p.takeIdle(r); c != nil {
			return c, nil
		}
		reserved = p.reserveSlot(r)
	}
	if !reserved {
		return nil, &Error{Kind: ConnectionLimit, Cause: errConnectionLimit}
	}
	return p.open(ctx, r.Address)
}

// open establishes a connection whose slot is reserved, and frees the slot if that fails.
func (p *Pool) open(ctx context.Context, address string) (*conn, *Error) {
	netConn, err := p.dial(ctx, address)
	if err != nil {
		p.releaseSlot(address)
		kind := Unreachable
		if ctx.Err() != nil {
			kind = ContextDone
		}
		return nil, &Error{Kind: kind, Cause: err}
	}
	c := &conn{Conn: netConn, http: transport.NewConn(netConn), headerBytes: -1, release: func() { p.releaseSlot(address) }}
	c.reader = bufio.NewReaderSize(c, readBufferSize)
	return c, nil
}

// dial establishes a connection.
func (p *Pool) dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: p.DialTimeout, KeepAlive: unackedTimeout / 2, Control: setOptions}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if p.OnDial != nil && (err == nil || ctx.Err() == nil) {
		p.OnDial(address, err == nil)
	}
	if err == nil && p.OnConnect != nil {
		p.OnConnect(address)
	}
	return conn, err
}

// Probe finds out whether a server accepts connections, and reports it to OnDial.
func (p *Pool) Probe(ctx context.Context, address string) {
	if conn, err := p.dial(ctx, address); err == nil {
		// The connection carries nothing, so an error while closing it does not matter.
		_ = conn.Close()
	}
}

// Connect establishes a connection to a server and keeps it idle.
func (p *Pool) Connect(ctx context.Context, address string) error {
	p.reserveSlot(&Request{Address: address})
	c, err := p.open(ctx, address)
	if err != nil {
		return err.Cause
	}
	// The server may close it like one that has served a request.
	c.used = true
	p.put(address, c, 0)
	return nil
}

// CheckIdle closes the idle connections to a server that the server has ended. It returns the number of
// those, and that of the connections that remain open, including those in use. It sends nothing.
func (p *Pool) CheckIdle(address string) (ended, open int) {
	p.mu.Lock()
	h := p.hosts[address]
	if h == nil {
		p.mu.Unlock()
		return 0, 0
	}
	var closing, kept []*conn
	for _, c := range h.idle {
		if c.reusable() {
			kept = append(kept, c)
		} else {
			closing = append(closing, c)
		}
	}
	h.idle = kept
	open = h.openCount - len(closing)
	p.mu.Unlock()
	for _, c := range closing {
		c.close()
	}
	return len(closing), open
}

// CloseIdle closes the idle connections to a server.
func (p *Pool) CloseIdle(address string) {
	for c := p.popIdle(address); c != nil; c = p.popIdle(address) {
		c.close()
	}
}

// takeIdle returns the most recently used idle connection that is still reusable, or nil if there
// is none or the request must not use it. It closes the connections that it rejects.
func (p *Pool) takeIdle(r *Request) *conn {
	now := time.Now()
	for {
		c := p.popIdle(r.Address)
		if c == nil {
			return nil
		}
		if !now.Before(c.expiresAt) || !c.reusable() {
			c.close()
			continue
		}
		c.idleTime = now.Sub(c.idleSince)
		if r.AtMostOnce && c.idleTime > p.atMostOnceIdleLimit(now) {
			// The caller dials a new connection. If this one stayed open, connections would
			// accumulate up to the limit.
			c.close()
			return nil
		}
		return c
	}
}

// atMostOnceIdleLimit returns the longest idle time after which a connection may carry an
// at-most-once request.
func (p *Pool) atMostOnceIdleLimit(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.learnedUntil) {
		return p.learnedIdle
	}
	return atMostOnceMaxIdle
}

// recordEarlyClose lowers the idle limit for at-most-once requests after a connection that had been
// idle for the given time failed on its next use.
func (p *Pool) recordEarlyClose(now time.Time, idle time.Duration) {
	if idle > atMostOnceMaxIdle {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := max(atMostOnceMinIdle, idle/2)
	if now.Before(p.learnedUntil) {
		limit = min(limit, p.learnedIdle)
	}
	p.learnedIdle, p.learnedUntil = limit, now.Add(learnedIdleTTL)
}

func (p *Pool) popIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	if h == nil || len(h.idle) == 0 {
		return nil
	}
	last := len(h.idle) - 1
	c := h.idle[last]
	h.idle = h.idle[:last]
	return c
}

func (p *Pool) pushIdle(address string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host(address)
	h.idle = append(h.idle, c)
}

// put returns a connection to the pool after a complete response. idleTimeout is the idle timeout
// that the server announced; 0 if it announced none.
func (p *Pool) put(address string, c *conn, idleTimeout time.Duration) {
	if idleTimeout <= 0 || idleTimeout > DefaultIdleTimeout {
		idleTimeout = DefaultIdleTimeout
	}
	c.idleSince = time.Now()
	c.expiresAt = c.idleSince.Add(idleTimeout - min(idleMargin, idleTimeout/2))
	p.pushIdle(address, c)
}

func (p *Pool) host(address string) *hostPool {
	if p.hosts == nil {
		p.hosts = map[string]*hostPool{}
	}
	h := p.hosts[address]
	if h == nil {
		h = &hostPool{}
		p.hosts[address] = h
	}
	return h
}

// reserveSlot counts a new connection and returns false if the connection limit is reached.
func (p *Pool) reserveSlot(r *Request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host(r.Address)
	if r.MaxConnections > 0 && h.openCount >= r.MaxConnections {
		return false
	}
	h.openCount++
	return true
}

// releaseSlot stops counting a connection that was closed or could not be established.
func (p *Pool) releaseSlot(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host(address)
	if h.openCount--; h.openCount == 0 && len(h.idle) == 0 {
		delete(p.hosts, address)
	}
}

// CloseExpired closes the idle connections that have expired.
func (p *Pool) CloseExpired(now time.Time) {
	var expired []*conn
	p.mu.Lock()
	for _, h := range p.hosts {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if now.Before(c.expiresAt) {
				kept = append(kept, c)
			} else {
				expired = append(expired, c)
			}
		}
		h.idle = kept
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.close()
	}
}

// OpenConnections returns the number of open connections to all servers.
func (p *Pool) OpenConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, h := range p.hosts {
		n += h.openCount
	}
	return n
}

// reusable reports whether the connection is open and has no unread bytes. Unread bytes belong to
// no request in progress, and would be taken for the response to the next one.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	syscallConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = rawConn.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && empty
}

// tcpUserTimeoutOption is the Linux socket option TCP_USER_TIMEOUT (RFC 5482).
const tcpUserTimeoutOption = 18

// setOptions limits the receive buffer of a connection, and makes the kernel close a connection whose
// peer does not acknowledge data within unackedTimeout.
func setOptions(_, _ string, rawConn syscall.RawConn) error {
	var setErr error
	err := rawConn.Control(func(fd uintptr) {
		// The buffer must be set before the connection is established. Without it the connection works too.
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		setErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeoutOption, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}

package backend

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// Defaults of a Pool.
const (
	// DefaultDial is the longest time to connect: many round trips between availability zones. A lost packet is not waited for,
	// since another server can take the request before it would be sent again.
	DefaultDial = 150 * time.Millisecond
	// DefaultIdle is how long a connection is kept without use if the server does not say.
	DefaultIdle = 8 * time.Second
	// onceIdle is how long a connection may have been without use for a request that runs at most once. Servers and what lies
	// between drop idle connections without notice, and such a request cannot be sent again. It is shorter for onceMemory after
	// a connection turned out to be dropped sooner, down to onceIdleLeast.
	onceIdle      = 750 * time.Millisecond
	onceIdleLeast = 20 * time.Millisecond
	onceMemory    = 30 * time.Second
	// idleMargin is how much earlier than the server a connection is given up.
	idleMargin = 500 * time.Millisecond
	// bufferSize is that of the buffer for answers, in bytes.
	bufferSize = 2 << 10
	// silenceLimit is how long sent bytes may stay without an acknowledgement before the connection counts as dead.
	silenceLimit = 2 * time.Second
)

// Pool keeps the connections to all backend servers. Fields are set before use.
type Pool struct {
	Codec Codec
	// Dial is the longest time to connect.
	Dial time.Duration
	// Opened is called after each new connection. Optional.
	Opened func(address string)

	mu    sync.Mutex
	hosts map[string]*host
	// learned replaces onceIdle until learnedUntil.
	learned      time.Duration
	learnedUntil time.Time
}

type host struct {
	// idle holds the connections without a request, the latest used last.
	idle []*conn
	// open counts the connections, the idle ones included.
	open int
}

var errCrowded = eris.New("the router's share of the server's connections is in use")

// get returns a connection for a request.
func (p *Pool) get(ctx context.Context, r *Request) (*conn, *Error) {
	if c := p.reuse(r); c != nil {
		return c, nil
	}
	if !p.reserve(r) {
		return nil, &Error{Kind: Crowded, Cause: errCrowded}
	}
	dialer := net.Dialer{Timeout: p.Dial, KeepAlive: silenceLimit / 2, Control: setSilenceLimit}
	n, err := dialer.DialContext(ctx, "tcp", r.Address)
	if err != nil {
		p.forget(r.Address)
		kind := Unreachable
		if ctx.Err() != nil {
			kind = Ended
		}
		return nil, &Error{Kind: kind, Cause: err}
	}
	if p.Opened != nil {
		p.Opened(r.Address)
	}
	address := r.Address
	return &conn{Conn: n, in: bufio.NewReaderSize(n, bufferSize), release: func() { p.forget(address) }}, nil
}

// reuse returns the connection that was used last, if it is still good for the request.
func (p *Pool) reuse(r *Request) *conn {
	now := time.Now()
	for {
		c := p.pop(r.Address)
		if c == nil {
			return nil
		}
		if !now.Before(c.expires) || !c.quiet() {
			c.close()
			continue
		}
		c.idleFor = now.Sub(c.idle)
		if r.Once && c.idleFor > p.onceIdle(now) {
			// The new connection takes its place; otherwise connections would add up to the server's limit.
			c.close()
			return nil
		}
		return c
	}
}

// onceIdle returns how long a connection may have been without use for a request that runs at most once.
func (p *Pool) onceIdle(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.learnedUntil) {
		return p.learned
	}
	return onceIdle
}

// dropped takes the time for which a connection had been idle that failed on its next use.
func (p *Pool) dropped(now time.Time, idle time.Duration) {
	if idle > onceIdle {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := max(onceIdleLeast, idle/2)
	if now.Before(p.learnedUntil) {
		limit = min(limit, p.learned)
	}
	p.learned, p.learnedUntil = limit, now.Add(onceMemory)
}

func (p *Pool) pop(address string) *conn {
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

func (p *Pool) push(address string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host(address)
	h.idle = append(h.idle, c)
}

// put takes a connection after a whole answer. Idle is how long the server keeps it; 0 if unknown.
func (p *Pool) put(address string, c *conn, idle time.Duration) {
	if idle <= 0 || idle > DefaultIdle {
		idle = DefaultIdle
	}
	c.idle = time.Now()
	c.expires = c.idle.Add(idle - min(idleMargin, idle/2))
	p.push(address, c)
}

func (p *Pool) host(address string) *host {
	if p.hosts == nil {
		p.hosts = map[string]*host{}
	}
	h := p.hosts[address]
	if h == nil {
		h = &host{}
		p.hosts[address] = h
	}
	return h
}

// reserve counts a new connection unless there are too many.
func (p *Pool) reserve(r *Request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host(r.Address)
	if r.Most > 0 && h.open >= r.Most {
		return false
	}
	h.open++
	return true
}

func (p *Pool) forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host(address)
	if h.open--; h.open == 0 && len(h.idle) == 0 {
		delete(p.hosts, address)
	}
}

// Sweep closes the idle connections whose time is up.
func (p *Pool) Sweep(now time.Time) {
	var expired []*conn
	p.mu.Lock()
	for _, h := range p.hosts {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if now.Before(c.expires) {
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

// Open returns the number of connections.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, h := range p.hosts {
		n += h.open
	}
	return n
}

// quiet is true if the connection is open and holds no bytes, which would belong to no request.
func (c *conn) quiet() bool {
	if c.in.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}

// tcpUserTimeout is the socket option of RFC 5482 on Linux.
const tcpUserTimeout = 18

// setSilenceLimit makes the kernel end a connection whose peer acknowledges nothing.
func setSilenceLimit(_, _ string, rc syscall.RawConn) error {
	var failed error
	err := rc.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(silenceLimit.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

package soak

import (
	"net"
	"sync"
	"time"
)

// direction is a direction of a link in which bytes are lost.
type direction uint8

const (
	none direction = iota
	// forth loses what the side that connected sends, back loses the other direction, and both lose everything.
	forth
	back
	both
)

// proxy passes on the connections to one address and injects faults into them.
type proxy struct {
	listener net.Listener

	mu     sync.Mutex
	target string
	lost   direction
	delay  time.Duration
	links  map[*link]struct{}
}

// link is one connection through a proxy.
type link struct {
	near, far net.Conn
	// torn is true once bytes were lost; the connection is closed when the fault ends.
	torn bool
}

// newProxy listens on an address, with port 0 for any.
func newProxy(address, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, links: map[*link]struct{}{}}
	go p.serve()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}

// retarget sends new connections elsewhere.
func (p *proxy) retarget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = address
}

// impair loses bytes in a direction, and delays the others. Without a fault all is passed on again.
func (p *proxy) impair(lost direction, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lost, p.delay = lost, delay
	for l := range p.links {
		if l.torn {
			l.close()
		}
	}
}

// reset ends all connections at once.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		for _, c := range []net.Conn{l.near, l.far} {
			if tcp, ok := c.(*net.TCPConn); ok {
				// The connection is closed with a reset; the error is that of a connection that is closed already.
				_ = tcp.SetLinger(0)
			}
		}
		l.close()
	}
}

func (l *link) close() {
	_ = l.near.Close()
	_ = l.far.Close()
}

func (p *proxy) serve() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.relay(near)
	}
}

func (p *proxy) relay(near net.Conn) {
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	far, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		_ = near.Close()
		return
	}
	l := &link{near: near, far: far}
	p.mu.Lock()
	p.links[l] = struct{}{}
	p.mu.Unlock()
	defer func() {
		l.close()
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.links, l)
	}()
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.copy(l, far, near, forth)
	}()
	p.copy(l, near, far, back)
	<-done
}

// copy passes on one direction until its source ends. The other direction ends with it unless the end is a half-close.
func (p *proxy) copy(l *link, to, from net.Conn, d direction) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.loses(l, d) {
			if _, err := to.Write(buffer[:n]); err != nil {
				l.close()
				return
			}
		}
		if err != nil {
			l.close()
			return
		}
	}
}

// loses waits for the delay in force and is true if the bytes are lost.
func (p *proxy) loses(l *link, d direction) bool {
	p.mu.Lock()
	delay := p.delay
	p.mu.Unlock()
	time.Sleep(delay)
	p.mu.Lock()
	defer p.mu.Unlock()
	lost := p.lost == d || p.lost == both
	l.torn = l.torn || lost
	return lost
}

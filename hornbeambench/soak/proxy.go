package soak

import (
	"net"
	"sync"
	"time"
)

// direction is a direction of the data of a proxied connection. As a fault, it selects which data
// a proxy drops.
type direction uint8

const (
	noDirection direction = iota
	// clientToServer is the direction of the data from the side that opened the connection.
	clientToServer
	serverToClient
	bothDirections
)

// proxy is a TCP proxy for one target address that injects network faults.
type proxy struct {
	// listenAddress stays the same when the proxy refuses connections and accepts them again.
	listenAddress string

	mu       sync.Mutex
	listener net.Listener
	target   string
	dropped  direction
	delay    time.Duration
	conns    map[*proxiedConn]struct{}
}

// proxiedConn is one connection through a proxy.
type proxiedConn struct {
	client, server net.Conn
	// dataDropped is true once the proxy has dropped data of the connection. Such a connection is
	// reset at the next change of the fault because its byte stream has a gap.
	dataDropped bool
}

// newProxy listens on the given address, as ip:port. Port 0 selects any free port.
func newProxy(address, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listenAddress: listener.Addr().String(), listener: listener, target: target, conns: map[*proxiedConn]struct{}{}}
	go p.serve(listener)
	return p, nil
}

func (p *proxy) address() string { return p.listenAddress }

func (p *proxy) close() {
	p.refuse()
	p.reset()
}

// refuse makes the proxy refuse new connections, as a machine does on whose port nothing listens.
func (p *proxy) refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
}

// accept makes the proxy accept connections again.
func (p *proxy) accept() error {
	listener, err := net.Listen("tcp", p.listenAddress)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.listener = listener
	p.mu.Unlock()
	go p.serve(listener)
	return nil
}

// setTarget sets the target address of new connections. With an empty one, connections fail, and
// those in progress are reset when the target closes them.
func (p *proxy) setTarget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = address
}

// setFault drops all data in the given direction and delays data in both directions from now on. It
// resets each connection that has already lost data to an earlier fault. noDirection and a delay of
// 0 end the fault.
func (p *proxy) setFault(dropped direction, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropped, p.delay = dropped, delay
	for conn := range p.conns {
		if conn.dataDropped {
			conn.reset()
		}
	}
}

// reset closes all connections with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		conn.reset()
	}
}

func (conn *proxiedConn) reset() {
	for _, side := range []net.Conn{conn.client, conn.server} {
		if tcp, ok := side.(*net.TCPConn); ok {
			// Close sends a reset if the linger time is 0. SetLinger fails only on a connection that
			// is already closed.
			_ = tcp.SetLinger(0)
		}
	}
	conn.close()
}

// end closes a connection, or resets it if data may be missing at its end. Without a reset, a
// response that ends with its connection would look complete.
func (p *proxy) end(conn *proxiedConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn.dataDropped || p.target == "" {
		conn.reset()
		return
	}
	conn.close()
}

func (conn *proxiedConn) close() {
	_ = conn.client.Close()
	_ = conn.server.Close()
}

func (p *proxy) serve(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		go p.forward(client)
	}
}

// forward connects to the target and forwards data in both directions until the connection ends.
func (p *proxy) forward(client net.Conn) {
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	server, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		_ = client.Close()
		return
	}
	conn := &proxiedConn{client: client, server: server}
	p.mu.Lock()
	p.conns[conn] = struct{}{}
	p.mu.Unlock()
	defer func() {
		p.end(conn)
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.conns, conn)
	}()
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.copyDirection(conn, server, client, clientToServer)
	}()
	p.copyDirection(conn, client, server, serverToClient)
	<-done
}

// copyDirection copies the data of one direction. After an EOF or an error it closes both sides of
// the connection, which also ends the other direction. Half-closed connections are therefore not
// supported.
func (p *proxy) copyDirection(conn *proxiedConn, to, from net.Conn, d direction) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.applyFault(conn, d) {
			if _, err := to.Write(buffer[:n]); err != nil {
				p.end(conn)
				return
			}
		}
		if err != nil {
			p.end(conn)
			return
		}
	}
}

// applyFault waits for the current delay, then reports whether the data must be dropped. If so, it
// sets dataDropped of the connection.
func (p *proxy) applyFault(conn *proxiedConn, d direction) bool {
	p.mu.Lock()
	delay := p.delay
	p.mu.Unlock()
	time.Sleep(delay)
	p.mu.Lock()
	defer p.mu.Unlock()
	drop := p.dropped == d || p.dropped == bothDirections
	conn.dataDropped = conn.dataDropped || drop
	return drop
}

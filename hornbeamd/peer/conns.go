package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"
)

const (
	// idleTimeout is how long an unused connection stays open. It is longer than a router takes to
	// ping each of its peers once.
	idleTimeout = 30 * time.Second
	// receiveTimeout is how long a connection with pending calls may receive no message. After that,
	// the router checks the connection by an echo call with the time limit echoTimeout.
	receiveTimeout = 2 * time.Second
	echoTimeout    = time.Second
	// dialTimeout limits connection setup, including the TLS handshake.
	dialTimeout = 2 * time.Second
	// maxConcurrentRequests limits the requests that are handled at the same time for one
	// connection.
	maxConcurrentRequests = 256
	// DefaultConnections is the default of Node.Connections. At the design size of the fleet, a
	// relay (see owner.Snapshot.IsRelay) is connected to about 49 members of its availability zone,
	// 12 other relays and 18 peers.
	DefaultConnections = 128
)

// peerConn is a connection to another router.
type peerConn struct {
	rpc    *jsonrpc2.Conn
	dialed bool

	// lastRead is the time of the last received message. lastUsed is the time of the last received
	// message or of the last outgoing call or notification. Both are in Unix nanoseconds.
	// pendingCalls counts the outgoing calls that are not answered yet.
	lastUsed, lastRead atomic.Int64
	pendingCalls       atomic.Int32
	// handling is a semaphore that limits the incoming requests in progress.
	handling chan struct{}

	mu sync.Mutex
	// id is the ID of the router at the other end. It is empty on an accepted connection until the
	// hello message, and on a connection that was dialed without a known ID, such as to a seed.
	id string
}

func (pc *peerConn) recordRead() {
	now := time.Now().UnixNano()
	pc.lastRead.Store(now)
	pc.lastUsed.Store(now)
}

func (pc *peerConn) peerID() string {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	return pc.id
}

func (pc *peerConn) setPeerID(id string) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	pc.id = id
}

// connPool holds the connections of a router.
type connPool struct {
	keys     *Keys
	meter    *meter
	logger   *zap.Logger
	maxConns int
	handler  func(context.Context, *peerConn, *jsonrpc2.Request) (any, error)
	// localID returns the ID that is sent in the hello message of a new connection.
	localID func() string

	// mu protects the maps. ctx is the base context of all connections.
	mu     sync.Mutex
	ctx    context.Context
	conns  map[*peerConn]bool
	byAddr map[string]*peerConn
	byID   map[string]*peerConn
	dials  map[string]*pendingDial
}

// pendingDial is a connection attempt that is shared by all callers that wait for the address.
type pendingDial struct {
	done chan struct{}
	conn *peerConn
	err  error
}

// conn returns an open connection to a router or dials a new one. id is empty if it is not known.
func (p *connPool) conn(ctx context.Context, id, address string) (*peerConn, error) {
	p.mu.Lock()
	if pc := p.byID[id]; id != "" && pc != nil {
		p.mu.Unlock()
		return pc, nil
	}
	if pc := p.byAddr[address]; pc != nil {
		p.mu.Unlock()
		return pc, nil
	}
	pending := p.dials[address]
	if pending == nil {
		pending = &pendingDial{done: make(chan struct{})}
		p.dials[address] = pending
		go p.dial(pending, id, address)
	}
	p.mu.Unlock()
	select {
	case <-pending.done:
		return pending.conn, pending.err
	case <-ctx.Done():
		return nil, eris.Wrapf(ctx.Err(), "timed out connecting to router at %s", address)
	}
}

func (p *connPool) dial(pending *pendingDial, id, address string) {
	ctx, cancel := context.WithTimeout(p.ctx, dialTimeout)
	defer cancel()
	nc, err := p.connect(ctx, address)
	p.mu.Lock()
	delete(p.dials, address)
	p.mu.Unlock()
	if err != nil {
		pending.err = eris.Wrapf(err, "cannot connect to router at %s", address)
		close(pending.done)
		return
	}
	pending.conn = p.add(nc, true, id, address)
	_ = pending.conn.rpc.Notify(ctx, "hello", wireHello{ID: p.localID()})
	close(pending.done)
}

func (p *connPool) connect(ctx context.Context, address string) (net.Conn, error) {
	nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p.meter.dialedConns.Add(1)
	metered := meteredConn{nc, p.meter}
	if p.keys == nil {
		return metered, nil
	}
	tlsConn := tls.Client(metered, p.keys.ClientConfig())
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		_ = nc.Close()
		return nil, err
	}
	return tlsConn, nil
}

// accept performs the TLS handshake of an incoming connection and adds it to the pool.
func (p *connPool) accept(nc net.Conn) {
	stream := net.Conn(meteredConn{nc, p.meter})
	if p.keys != nil {
		ctx, cancel := context.WithTimeout(p.ctx, dialTimeout)
		defer cancel()
		tlsConn := tls.Server(stream, p.keys.ServerConfig(RoleRouter))
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			p.logger.Warn("rejected connection: TLS handshake with peer failed", zap.String("address", nc.RemoteAddr().String()), zap.Error(err))
			_ = nc.Close()
			return
		}
		stream = tlsConn
	}
	p.add(stream, false, "", "")
}

func (p *connPool) add(stream net.Conn, dialed bool, id, address string) *peerConn {
	pc := &peerConn{dialed: dialed, id: id, handling: make(chan struct{}, maxConcurrentRequests)}
	pc.recordRead()
	codec := &codec{meter: p.meter, conn: pc, pendingMethods: map[jsonrpc2.ID]string{}}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.evictIdle()
	pc.rpc = jsonrpc2.NewConn(p.ctx, jsonrpc2.NewBufferedStream(stream, codec), handlerFunc(func(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
		p.serve(ctx, pc, conn, r)
	}), jsonrpc2.OnSend(codec.onSend), jsonrpc2.OnRecv(codec.onReceive), jsonrpc2.SetLogger(rpcLogger{p.logger}))
	p.conns[pc] = true
	if address != "" {
		p.byAddr[address] = pc
	}
	if id != "" {
		p.byID[id] = pc
	}
	go p.removeOnClose(pc, address)
	return pc
}

// evictIdle closes the least recently used idle connection if the limit is reached. The caller
// holds the lock.
func (p *connPool) evictIdle() {
	if len(p.conns) < p.maxConns {
		return
	}
	var oldest *peerConn
	for pc := range p.conns {
		if pc.pendingCalls.Load() == 0 && len(pc.handling) == 0 && (oldest == nil || pc.lastUsed.Load() < oldest.lastUsed.Load()) {
			oldest = pc
		}
	}
	if oldest != nil {
		p.remove(oldest)
		go func() { _ = oldest.rpc.Close() }()
	}
}

// identify records the router at the other end of an accepted connection, so that calls to that
// router reuse it.
func (p *connPool) identify(pc *peerConn, id string) {
	pc.setPeerID(id)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[pc] && p.byID[id] == nil {
		p.byID[id] = pc
	}
}

func (p *connPool) removeOnClose(pc *peerConn, address string) {
	<-pc.rpc.DisconnectNotify()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.remove(pc)
	if p.byAddr[address] == pc {
		delete(p.byAddr, address)
	}
}

// remove deletes a connection from the pool without closing it. The caller holds the lock.
func (p *connPool) remove(pc *peerConn) {
	delete(p.conns, pc)
	if id := pc.peerID(); p.byID[id] == pc {
		delete(p.byID, id)
	}
	for address, other := range p.byAddr {
		if other == pc {
			delete(p.byAddr, address)
		}
	}
}

func (p *connPool) discard(pc *peerConn) {
	p.mu.Lock()
	p.remove(pc)
	p.mu.Unlock()
	_ = pc.rpc.Close()
}

// cleanUp closes idle connections. It checks connections that have pending calls but have received
// no message for receiveTimeout.
func (p *connPool) cleanUp(now time.Time) {
	p.mu.Lock()
	var idle, unresponsive []*peerConn
	for pc := range p.conns {
		busy := pc.pendingCalls.Load() > 0 || len(pc.handling) > 0
		switch {
		case !busy && now.Sub(time.Unix(0, pc.lastUsed.Load())) > idleTimeout:
			idle = append(idle, pc)
		case pc.pendingCalls.Load() > 0 && now.Sub(time.Unix(0, pc.lastRead.Load())) > receiveTimeout:
			unresponsive = append(unresponsive, pc)
		}
	}
	for _, pc := range idle {
		p.remove(pc)
	}
	p.mu.Unlock()
	for _, pc := range idle {
		_ = pc.rpc.Close()
	}
	for _, pc := range unresponsive {
		go p.checkAlive(pc)
	}
}

// checkAlive closes a connection that does not answer an echo call in time.
func (p *connPool) checkAlive(pc *peerConn) {
	ctx, cancel := context.WithTimeout(p.ctx, echoTimeout)
	defer cancel()
	if err := pc.rpc.Call(ctx, "echo", nil, nil); err != nil {
		p.discard(pc)
	}
}

func (p *connPool) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// call sends a request and waits for the answer. If the call times out and the connection has
// received nothing since the call started, checkAlive decides whether to close the connection.
// Closing it at once would force slow but working routers to repeat TLS handshakes.
func (p *connPool) call(ctx context.Context, id, address, method string, params, result any) error {
	pc, err := p.conn(ctx, id, address)
	if err != nil {
		return err
	}
	start := time.Now().UnixNano()
	pc.lastUsed.Store(start)
	pc.pendingCalls.Add(1)
	defer pc.pendingCalls.Add(-1)
	err = pc.rpc.Call(ctx, method, params, result)
	if err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) && pc.lastRead.Load() < start {
		go p.checkAlive(pc)
	}
	return decodeError(err)
}

// notify sends a notification, which has no answer.
func (p *connPool) notify(ctx context.Context, id, address, method string, params any) error {
	pc, err := p.conn(ctx, id, address)
	if err != nil {
		return err
	}
	pc.lastUsed.Store(time.Now().UnixNano())
	return pc.rpc.Notify(ctx, method, params)
}

// handlerFunc adapts a function to jsonrpc2.Handler.
type handlerFunc func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request)

// Handle implements jsonrpc2.Handler.
func (f handlerFunc) Handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	f(ctx, conn, r)
}

// serve handles a request in its own goroutine. It blocks while the connection has
// maxConcurrentRequests requests in progress.
func (p *connPool) serve(ctx context.Context, pc *peerConn, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	select {
	case pc.handling <- struct{}{}:
	case <-ctx.Done():
		return
	}
	go func() {
		defer func() { <-pc.handling }()
		result, err := p.handler(ctx, pc, r)
		if r.Notif {
			return
		}
		resp := &jsonrpc2.Response{ID: r.ID, Error: encodeError(err)}
		if err == nil {
			err = resp.SetResult(result)
			resp.Error = encodeError(err)
		}
		_ = conn.SendResponse(ctx, resp)
	}()
}

// rpcLogger logs the messages of the jsonrpc2 library at debug level.
type rpcLogger struct{ *zap.Logger }

// Printf implements jsonrpc2.Logger.
func (l rpcLogger) Printf(format string, args ...any) { l.Sugar().Debugf(format, args...) }

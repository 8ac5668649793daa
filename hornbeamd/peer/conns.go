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
	// idleLimit is how long an unused connection stays open: longer than a full round of pings over the peers of a router.
	idleLimit = 30 * time.Second
	// silentLimit is how long a connection with calls in progress may be silent before it is checked, checkLimit the time
	// for the answer.
	silentLimit = 2 * time.Second
	checkLimit  = time.Second
	// dialLimit bounds connecting, TLS included.
	dialLimit = 2 * time.Second
	// inFlight bounds the requests of one connection that are handled at a time.
	inFlight = 256
	// DefaultConnections bounds the connections of a router. A relay talks to its availability zone of about 49 members, 12
	// other relays and 18 peers at the size to design for.
	DefaultConnections = 128
)

// link is one connection.
type link struct {
	conn   *jsonrpc2.Conn
	dialed bool

	// used is when a call was made or received last and heard when bytes were read last, in nanoseconds; calls counts calls
	// in progress.
	used, heard atomic.Int64
	calls       atomic.Int32
	// slots bounds the requests in progress.
	slots chan struct{}

	mu sync.Mutex
	// id is the router at the other end, empty until it said so.
	id string
}

func (l *link) touch() {
	now := time.Now().UnixNano()
	l.heard.Store(now)
	l.used.Store(now)
}

func (l *link) peer() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.id
}

func (l *link) name(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.id = id
}

// links holds the connections of a router.
type links struct {
	keys    *Keys
	meter   *meter
	logger  *zap.Logger
	limit   int
	handler func(context.Context, *link, *jsonrpc2.Request) (any, error)
	// greet returns the ID to say on a new connection.
	greet func() string

	mu     sync.Mutex
	ctx    context.Context
	all    map[*link]bool
	byAddr map[string]*link
	byID   map[string]*link
	dials  map[string]*dial
}

// dial is a connection being made, shared by all that want it.
type dial struct {
	done chan struct{}
	link *link
	err  error
}

// get returns a connection to a router, made if needed.
func (p *links) get(ctx context.Context, id, address string) (*link, error) {
	p.mu.Lock()
	if l := p.byID[id]; id != "" && l != nil {
		p.mu.Unlock()
		return l, nil
	}
	if l := p.byAddr[address]; l != nil {
		p.mu.Unlock()
		return l, nil
	}
	d := p.dials[address]
	if d == nil {
		d = &dial{done: make(chan struct{})}
		p.dials[address] = d
		go p.dial(d, id, address)
	}
	p.mu.Unlock()
	select {
	case <-d.done:
		return d.link, d.err
	case <-ctx.Done():
		return nil, eris.Wrapf(ctx.Err(), "cannot connect to %s in time", address)
	}
}

func (p *links) dial(d *dial, id, address string) {
	ctx, cancel := context.WithTimeout(p.ctx, dialLimit)
	defer cancel()
	raw, err := p.connect(ctx, address)
	p.mu.Lock()
	delete(p.dials, address)
	p.mu.Unlock()
	if err != nil {
		d.err = eris.Wrapf(err, "cannot connect to %s", address)
		close(d.done)
		return
	}
	d.link = p.add(raw, true, id, address)
	_ = d.link.conn.Notify(ctx, "hello", wireHello{ID: p.greet()})
	close(d.done)
}

func (p *links) connect(ctx context.Context, address string) (net.Conn, error) {
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p.meter.opened.Add(1)
	wire := counted{raw, p.meter}
	if p.keys == nil {
		return wire, nil
	}
	secure := tls.Client(wire, p.keys.Client())
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return secure, nil
}

// accept serves an incoming connection.
func (p *links) accept(raw net.Conn) {
	wire := net.Conn(counted{raw, p.meter})
	if p.keys != nil {
		ctx, cancel := context.WithTimeout(p.ctx, dialLimit)
		defer cancel()
		secure := tls.Server(wire, p.keys.Server(RoleRouter))
		if err := secure.HandshakeContext(ctx); err != nil {
			p.logger.Warn("peer connection refused", zap.String("address", raw.RemoteAddr().String()), zap.Error(err))
			_ = raw.Close()
			return
		}
		wire = secure
	}
	p.add(wire, false, "", "")
}

func (p *links) add(raw net.Conn, dialed bool, id, address string) *link {
	l := &link{dialed: dialed, id: id, slots: make(chan struct{}, inFlight)}
	l.touch()
	c := &codec{meter: p.meter, link: l, asked: map[jsonrpc2.ID]string{}}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.makeRoom()
	l.conn = jsonrpc2.NewConn(p.ctx, jsonrpc2.NewBufferedStream(raw, c), handlerFunc(func(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
		p.serve(ctx, l, conn, r)
	}), jsonrpc2.OnSend(c.sending), jsonrpc2.OnRecv(c.received), jsonrpc2.SetLogger(debugLogger{p.logger}))
	p.all[l] = true
	if address != "" {
		p.byAddr[address] = l
	}
	if id != "" {
		p.byID[id] = l
	}
	go p.wait(l, address)
	return l
}

// makeRoom closes the connection that is unused for longest when there are too many. The caller holds the lock.
func (p *links) makeRoom() {
	if len(p.all) < p.limit {
		return
	}
	var oldest *link
	for l := range p.all {
		if l.calls.Load() == 0 && len(l.slots) == 0 && (oldest == nil || l.used.Load() < oldest.used.Load()) {
			oldest = l
		}
	}
	if oldest != nil {
		p.forget(oldest)
		go func() { _ = oldest.conn.Close() }()
	}
}

// named records which router is at the other end of an accepted connection, so that calls to it use the connection.
func (p *links) named(l *link, id string) {
	l.name(id)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.all[l] && p.byID[id] == nil {
		p.byID[id] = l
	}
}

func (p *links) wait(l *link, address string) {
	<-l.conn.DisconnectNotify()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forget(l)
	if p.byAddr[address] == l {
		delete(p.byAddr, address)
	}
}

// forget takes a connection out of use. The caller holds the lock.
func (p *links) forget(l *link) {
	delete(p.all, l)
	if id := l.peer(); p.byID[id] == l {
		delete(p.byID, id)
	}
	for address, other := range p.byAddr {
		if other == l {
			delete(p.byAddr, address)
		}
	}
}

func (p *links) drop(l *link) {
	p.mu.Lock()
	p.forget(l)
	p.mu.Unlock()
	_ = l.conn.Close()
}

// tidy closes idle connections and checks silent ones.
func (p *links) tidy(now time.Time) {
	p.mu.Lock()
	var idle, silent []*link
	for l := range p.all {
		busy := l.calls.Load() > 0 || len(l.slots) > 0
		switch {
		case !busy && now.Sub(time.Unix(0, l.used.Load())) > idleLimit:
			idle = append(idle, l)
		case l.calls.Load() > 0 && now.Sub(time.Unix(0, l.heard.Load())) > silentLimit:
			silent = append(silent, l)
		}
	}
	for _, l := range idle {
		p.forget(l)
	}
	p.mu.Unlock()
	for _, l := range idle {
		_ = l.conn.Close()
	}
	for _, l := range silent {
		go p.check(l)
	}
}

// check drops a connection that does not answer although calls wait on it.
func (p *links) check(l *link) {
	ctx, cancel := context.WithTimeout(p.ctx, checkLimit)
	defer cancel()
	if err := l.conn.Call(ctx, "echo", nil, nil); err != nil {
		p.drop(l)
	}
}

func (p *links) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.all)
}

// call makes one exchange. A connection that was silent until the exchange timed out is checked, and closed if it stays silent.
// Closing it at once would make routers that are only slow spend their time on TLS handshakes.
func (p *links) call(ctx context.Context, id, address, name string, params, result any) error {
	l, err := p.get(ctx, id, address)
	if err != nil {
		return err
	}
	start := time.Now().UnixNano()
	l.used.Store(start)
	l.calls.Add(1)
	defer l.calls.Add(-1)
	err = l.conn.Call(ctx, name, params, result)
	if err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) && l.heard.Load() < start {
		go p.check(l)
	}
	return decodeError(err)
}

// notify sends a message without an answer.
func (p *links) notify(ctx context.Context, id, address, name string, params any) error {
	l, err := p.get(ctx, id, address)
	if err != nil {
		return err
	}
	l.used.Store(time.Now().UnixNano())
	return l.conn.Notify(ctx, name, params)
}

// handlerFunc is a jsonrpc2.Handler.
type handlerFunc func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request)

// Handle implements jsonrpc2.Handler.
func (f handlerFunc) Handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	f(ctx, conn, r)
}

// serve handles a request in a goroutine of its own; a connection with too many requests waits.
func (p *links) serve(ctx context.Context, l *link, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	select {
	case l.slots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	go func() {
		defer func() { <-l.slots }()
		result, err := p.handler(ctx, l, r)
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

// debugLogger keeps the library's messages out of the log unless it is set to debug.
type debugLogger struct{ *zap.Logger }

// Printf implements jsonrpc2.Logger.
func (l debugLogger) Printf(format string, args ...any) { l.Sugar().Debugf(format, args...) }

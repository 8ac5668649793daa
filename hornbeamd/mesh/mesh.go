// Package mesh is the transport between routers: it sends heartbeats as UDP datagrams, and lets
// routers fetch the configuration and the list of backend servers from each other by JSON-RPC over
// TCP.
package mesh

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"

	"hornbeamstep.example/coord/presence"
	"hornbeamstep.example/routing/roster"
	"hornbeamstep.example/routing/routes"
)

// The JSON-RPC methods.
const (
	methodConfig  = "config"
	methodServers = "servers"
)

// maxDatagramBytes limits the size of a datagram.
const maxDatagramBytes = 60 << 10

// callTimeout limits the time for a call to another router, including the connection setup. The
// transfer of a large configuration on a slow link takes most of this time.
const callTimeout = time.Second

// StateProvider returns the state of this router that others can fetch.
type StateProvider interface {
	// Config returns the newest configuration; false if there is none.
	Config() (routes.Config, bool)
	// Servers returns the newest list of backend servers.
	Servers() roster.Snapshot
}

// dialTimeout limits the time to connect to another router. If that router is unreachable, the
// caller soon gets an error and can ask a different one.
const dialTimeout = 250 * time.Millisecond

// Node sends and receives the messages of this router. Listen and Control must be set before Start
// is called, and State, OnMessage and Log before Run.
type Node struct {
	// Listen is the UDP address for heartbeats and Control the TCP address for calls, as ip:port.
	Listen, Control string
	State           StateProvider
	// OnMessage is called for each message that arrives, with the address that it was sent from, as
	// ip:port. It must not block.
	OnMessage func(m presence.Message, source string)
	Log       *zap.Logger

	udp *net.UDPConn
	tcp net.Listener
	// outgoing is the queue of messages to be sent.
	outgoing chan presence.OutgoingMessage
	// packedConfig and packedServers hold the latest responses by version, because many routers
	// fetch the same version at the same time.
	packedConfig  responseCache[int64]
	packedServers responseCache[roster.Revision]
	// formats holds the formats that the other routers read.
	formats peerFormats
	// unknownFormatAt is when a datagram in an unknown format was last logged.
	unknownFormatAt time.Time
	// Dropped counts the datagrams that could not be sent, received or decoded, and the messages
	// dropped because the queue was full.
	Dropped atomic.Int64
}

// In a large fleet, some routers are hubs: they relay the records of many routers in digest
// messages, and send megabytes in each heartbeat interval. A burst of this size would overflow the
// queues of the links, which would drop the same part of each hub update. A router therefore pauses
// for burstPause after every burstBytes of a message, which limits large messages to about 13 MB/s.
const (
	burstBytes = 64 << 10
	burstPause = 5 * time.Millisecond
	// outgoingQueueSize is the number of messages that can wait to be sent: enough for several
	// intervals of a hub.
	outgoingQueueSize = 64
)

// Limits of the calls between routers. The data is untrusted, because any program can connect to
// the router's port.
const (
	// maxRequestBytes limits the size of a call, which holds little more than the name of a method.
	maxRequestBytes = 4 << 10
	// maxResponseBytes limits the size of a response before decompression.
	maxResponseBytes = maxUnpackedBytes
	// maxCalls is the number of connections that are served at the same time. Further ones are
	// closed. It exceeds the number of routers in an availability zone, which may all fetch a new
	// configuration from one router.
	maxCalls = 256
)

var errTooLarge = eris.New("message exceeds the size limit for calls between routers")

// limitedConn is a connection from which at most remaining bytes can be read.
type limitedConn struct {
	net.Conn
	remaining int
}

// Read implements io.Reader.
func (c *limitedConn) Read(p []byte) (int, error) {
	if c.remaining <= 0 {
		return 0, errTooLarge
	}
	n, err := c.Conn.Read(p[:min(len(p), c.remaining)])
	c.remaining -= n
	return n, err
}

// Start opens the UDP and TCP sockets.
func (n *Node) Start() error {
	address, err := net.ResolveUDPAddr("udp", n.Listen)
	if err != nil {
		return eris.Wrapf(err, "resolve the heartbeat address %q", n.Listen)
	}
	n.outgoing = make(chan presence.OutgoingMessage, outgoingQueueSize)
	if n.udp, err = net.ListenUDP("udp", address); err != nil {
		return eris.Wrapf(err, "listen for heartbeats on %s; check that no other process uses the port", n.Listen)
	}
	if n.tcp, err = net.Listen("tcp", n.Control); err != nil {
		// The error of Listen is the one to report.
		_ = n.udp.Close()
		return eris.Wrapf(err, "listen for other routers on %s; check that no other process uses the port", n.Control)
	}
	return nil
}

// Run receives and sends heartbeats and answers calls until the context is canceled. Start must
// have succeeded.
func (n *Node) Run(ctx context.Context) {
	context.AfterFunc(ctx, func() {
		// The process is about to exit, so errors of Close don't matter.
		_ = n.udp.Close()
		_ = n.tcp.Close()
	})
	go n.accept(ctx)
	go n.sendQueued(ctx)
	buffer := make([]byte, maxDatagramBytes)
	for {
		size, source, err := n.udp.ReadFromUDPAddrPort(buffer)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			n.Dropped.Add(1)
			continue
		}
		m, err := decode(buffer[:size])
		if err != nil {
			n.Dropped.Add(1)
			n.logUnknownFormat(err, source)
			continue
		}
		address := netip.AddrPortFrom(source.Addr().Unmap(), source.Port()).String()
		n.formats.record(time.Now(), address, m.Format)
		n.OnMessage(m, address)
	}
}

// Send queues a message for its addresses without blocking, or drops it if the queue is full. A
// large message is sent in several datagrams. Lost datagrams are not sent again, since the next
// message replaces them.
func (n *Node) Send(s presence.OutgoingMessage) {
	if len(s.To) == 0 {
		return
	}
	select {
	case n.outgoing <- s:
	default:
		n.Dropped.Add(1)
	}
}

// SendNow sends a short message at once, ahead of the queue. It is safe for concurrent use.
func (n *Node) SendNow(s presence.OutgoingMessage) {
	encoded := encodings{message: s.Message}
	for _, address := range s.To {
		for _, format := range n.formats.of(time.Now(), address) {
			data, err := encoded.in(format)
			if err != nil {
				n.dropUnencoded(err, len(data))
				continue
			}
			n.sendDatagram(data, address)
		}
	}
}

// encodings holds a message in the formats of its receivers.
type encodings struct {
	message presence.Message
	data    map[int][]byte
}

// in returns the message in a format.
func (e *encodings) in(format int) ([]byte, error) {
	if data := e.data[format]; data != nil {
		return data, nil
	}
	data, err := encode(e.message, format)
	if err == nil && len(data) > maxDatagramBytes {
		err = errTooLarge
	}
	if err != nil {
		return data, err
	}
	if e.data == nil {
		e.data = map[int][]byte{}
	}
	e.data[format] = data
	return data, nil
}

// dropUnencoded counts a message that can't be sent. One that the format of its receiver lacks is no error.
func (n *Node) dropUnencoded(err error, size int) {
	n.Dropped.Add(1)
	if !errors.Is(err, errNotInFormat) {
		n.Log.Error("message to other routers can't be encoded or is too large", zap.Error(err), zap.Int("bytes", size))
	}
}

// unknownFormatInterval is the time between two log lines on datagrams in a format that is not known.
const unknownFormatInterval = time.Minute

// logUnknownFormat logs that a datagram of another release was dropped, once in a while.
func (n *Node) logUnknownFormat(err error, source netip.AddrPort) {
	if now := time.Now(); errors.Is(err, errUnknownFormat) && now.Sub(n.unknownFormatAt) >= unknownFormatInterval {
		n.unknownFormatAt = now
		n.Log.Warn("dropped a message of another release", zap.Error(err), zap.String("source", source.String()))
	}
}

// sendQueued sends the queued messages until the context is canceled.
func (n *Node) sendQueued(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-n.outgoing:
			n.sendMessage(ctx, s)
		}
	}
}

// sendMessage sends a message to all its addresses, with a pause after each burst.
func (n *Node) sendMessage(ctx context.Context, s presence.OutgoingMessage) {
	sent := 0
	for _, part := range split(s.Message) {
		encoded := encodings{message: part}
		for _, address := range s.To {
			for _, format := range n.formats.of(time.Now(), address) {
				data, err := encoded.in(format)
				if err != nil {
					n.dropUnencoded(err, len(data))
					continue
				}
				n.sendDatagram(data, address)
				sent += len(data)
			}
			if sent < burstBytes {
				continue
			}
			sent = 0
			select {
			case <-ctx.Done():
				return
			case <-time.After(burstPause):
			}
		}
	}
}

// sendDatagram sends one datagram to an address.
func (n *Node) sendDatagram(data []byte, address string) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		n.Dropped.Add(1)
		return
	}
	if _, err := n.udp.WriteToUDPAddrPort(data, to); err != nil {
		n.Dropped.Add(1)
	}
}

// accept serves the connections of other routers until the context is canceled.
func (n *Node) accept(ctx context.Context) {
	calls := make(chan struct{}, maxCalls)
	for {
		conn, err := n.tcp.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			// Accept fails temporarily while the process has no free file descriptors.
			time.Sleep(10 * time.Millisecond)
			continue
		}
		select {
		case calls <- struct{}{}:
		default:
			n.Dropped.Add(1)
			// The other router gets an error and asks again.
			_ = conn.Close()
			continue
		}
		limited := &limitedConn{Conn: conn, remaining: maxRequestBytes}
		peer := jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(limited), jsonrpc2.HandlerWithError(n.handle))
		go func() {
			defer func() { <-calls }()
			select {
			case <-peer.DisconnectNotify():
			// A connection carries one call, which ends within callTimeout on the other side.
			case <-time.After(2 * callTimeout):
			}
			// Close returns an error if the other router has already closed the connection after
			// its call.
			_ = peer.Close()
		}()
	}
}

// handle answers one call of another router.
func (n *Node) handle(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	switch r.Method {
	case methodConfig:
		c, ok := n.State.Config()
		if !ok {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: "this router has no configuration yet"}
		}
		return n.packedConfig.get(c.Version, c)
	case methodServers:
		servers := n.State.Servers()
		return n.packedServers.get(servers.Revision, servers)
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + r.Method}
}

// FetchConfig fetches the configuration from the router at a control address.
func FetchConfig(ctx context.Context, address string) (routes.Config, error) {
	var c routes.Config
	err := call(ctx, address, methodConfig, &c)
	return c, err
}

// FetchServers fetches the list of backend servers from the router at a control address.
func FetchServers(ctx context.Context, address string) (roster.Snapshot, error) {
	var r roster.Snapshot
	err := call(ctx, address, methodServers, &r)
	return r, err
}

// call connects to a router, makes one call and decodes the response.
func call(ctx context.Context, address, method string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return eris.Wrapf(err, "connect to the router at %s", address)
	}
	limited := &limitedConn{Conn: conn, remaining: maxResponseBytes}
	peer := jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(limited), jsonrpc2.HandlerWithError(
		func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "this end only asks"}
		}))
	// Each connection is used for one call, and errors of Close don't matter after it.
	defer func() { _ = peer.Close() }()
	var response packed
	if err := peer.Call(ctx, method, nil, &response); err != nil {
		return eris.Wrapf(err, "call %s on the router at %s", method, address)
	}
	return eris.Wrapf(response.unpack(into), "decode the response to %s from the router at %s", method, address)
}

// Package mesh carries heartbeats between routers in datagrams, and the configuration and the list of backend servers by JSON-RPC.
package mesh

import (
	"context"
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

// The methods of the calls between routers.
const (
	methodConfig  = "config"
	methodServers = "servers"
)

// datagramLimit bounds a message in bytes.
const datagramLimit = 60 << 10

// callTimeout is the longest time for a call to another router, with its connection. A large configuration takes most of it on a
// slow link.
const callTimeout = time.Second

// Knowledge is what this router tells others on request.
type Knowledge interface {
	// Config returns the newest configuration; false if there is none.
	Config() (routes.Config, bool)
	// Registration returns the newest list of backend servers.
	Registration() roster.Snapshot
}

// dialTimeout is the longest time to connect to another router, which may be cut off; a third one is asked then.
const dialTimeout = 250 * time.Millisecond

// Node is this router's end of the mesh. Fields are set before Run.
type Node struct {
	// Listen is the address for datagrams and Control that for calls, as ip:port.
	Listen, Control string
	Knowledge       Knowledge
	// Received is called for each message. It must not block.
	Received func(presence.Message)
	Log      *zap.Logger

	udp *net.UDPConn
	tcp net.Listener
	// outgoing holds the messages that wait to be sent.
	outgoing chan presence.Sending
	// Dropped counts the datagrams that could not be sent or read, and the messages that found too many waiting.
	Dropped atomic.Int64
}

// A hub of a large fleet sends megabytes in each interval. Links drop what exceeds their queues, and would drop the same part of
// each digest, so that burst bytes are followed by a pause: about 13 MB/s at most.
const (
	burst      = 64 << 10
	burstPause = 5 * time.Millisecond
	// outgoingLimit bounds the messages that wait: some intervals of a hub.
	outgoingLimit = 64
)

// Start opens the sockets.
func (n *Node) Start() error {
	address, err := net.ResolveUDPAddr("udp", n.Listen)
	if err != nil {
		return eris.Wrapf(err, "the address for heartbeats %q", n.Listen)
	}
	n.outgoing = make(chan presence.Sending, outgoingLimit)
	if n.udp, err = net.ListenUDP("udp", address); err != nil {
		return eris.Wrapf(err, "listen for heartbeats on %s; check that no other process uses the port", n.Listen)
	}
	if n.tcp, err = net.Listen("tcp", n.Control); err != nil {
		// The start has failed already.
		_ = n.udp.Close()
		return eris.Wrapf(err, "listen for other routers on %s; check that no other process uses the port", n.Control)
	}
	return nil
}

// Run receives heartbeats and answers calls until the context ends.
func (n *Node) Run(ctx context.Context) {
	context.AfterFunc(ctx, func() {
		// The process ends; nothing depends on an orderly close.
		_ = n.udp.Close()
		_ = n.tcp.Close()
	})
	go n.accept(ctx)
	go n.deliver(ctx)
	buffer := make([]byte, datagramLimit)
	for {
		size, _, err := n.udp.ReadFromUDPAddrPort(buffer)
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
			continue
		}
		n.Received(m)
	}
}

// Send sends a message to its addresses without waiting, in as many datagrams as it needs. Lost ones are made good by the next
// message.
func (n *Node) Send(s presence.Sending) {
	if len(s.To) == 0 {
		return
	}
	select {
	case n.outgoing <- s:
	default:
		n.Dropped.Add(1)
	}
}

// deliver sends what waits until the context ends.
func (n *Node) deliver(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-n.outgoing:
			n.deliverOne(ctx, s)
		}
	}
}

func (n *Node) deliverOne(ctx context.Context, s presence.Sending) {
	sent := 0
	for _, part := range split(s.Message) {
		text, err := encode(part)
		if err != nil || len(text) > datagramLimit {
			n.Log.Error("message to other routers cannot be encoded", zap.Error(err), zap.Int("bytes", len(text)))
			return
		}
		for _, address := range s.To {
			n.sendTo(text, address)
			if sent += len(text); sent < burst {
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

func (n *Node) sendTo(text []byte, address string) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		n.Dropped.Add(1)
		return
	}
	if _, err := n.udp.WriteToUDPAddrPort(text, to); err != nil {
		n.Dropped.Add(1)
	}
}

func (n *Node) accept(ctx context.Context) {
	for {
		conn, err := n.tcp.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			// Descriptors may be short for a moment.
			time.Sleep(10 * time.Millisecond)
			continue
		}
		peer := jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(conn), jsonrpc2.HandlerWithError(n.handle))
		time.AfterFunc(2*callTimeout, func() {
			// It is closed already if the other router has its answer.
			_ = peer.Close()
		})
	}
}

func (n *Node) handle(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	switch r.Method {
	case methodConfig:
		c, ok := n.Knowledge.Config()
		if !ok {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: "this router has no configuration yet"}
		}
		return pack(c)
	case methodServers:
		return pack(n.Knowledge.Registration())
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + r.Method}
}

// Config asks another router for its configuration.
func Config(ctx context.Context, address string) (routes.Config, error) {
	var c routes.Config
	err := call(ctx, address, methodConfig, &c)
	return c, err
}

// Registration asks another router for its list of backend servers.
func Registration(ctx context.Context, address string) (roster.Snapshot, error) {
	var r roster.Snapshot
	err := call(ctx, address, methodServers, &r)
	return r, err
}

func call(ctx context.Context, address, method string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return eris.Wrapf(err, "connect to the router at %s", address)
	}
	peer := jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(conn), jsonrpc2.HandlerWithError(
		func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "this end only asks"}
		}))
	// Each connection serves one call.
	defer func() { _ = peer.Close() }()
	var answer packed
	if err := peer.Call(ctx, method, nil, &answer); err != nil {
		return eris.Wrapf(err, "call %s of the router at %s", method, address)
	}
	return eris.Wrapf(answer.unpack(into), "decode the answer to %s of the router at %s", method, address)
}

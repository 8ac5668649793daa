package peer_test

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"hornbeamstep.example/hornbeamd/peer"
)

// stallingProxy forwards connections to a router. After stall, the connections open at that time
// stay open but forward no more data. New connections work.
type stallingProxy struct {
	listener net.Listener
	target   func() string

	mu      sync.Mutex
	stalled []*atomic.Bool
}

func newStallingProxy(c *quicktest.C) *stallingProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	p := &stallingProxy{listener: listener}
	c.Cleanup(func() { listener.Close() })
	return p
}

func (p *stallingProxy) run() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target())
		if err != nil {
			client.Close()
			continue
		}
		stalled := new(atomic.Bool)
		p.mu.Lock()
		p.stalled = append(p.stalled, stalled)
		p.mu.Unlock()
		go forward(client, server, stalled)
		go forward(server, client, stalled)
	}
}

// forward copies data until one end closes. While stalled it reads and discards the data, so that
// the sender notices nothing.
func forward(from, to net.Conn, stalled *atomic.Bool) {
	defer from.Close()
	defer to.Close()
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if stalled.Load() {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (p *stallingProxy) stall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.stalled {
		l.Store(true)
	}
}

// Guards against calls that hang on an established connection that stops delivering data, and
// against removing the router at its other end from the fleet for good.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	c := quicktest.New(t)
	var nodes []*peer.Node
	var proxies []*stallingProxy
	for i, id := range []string{"a", "b"} {
		p := newStallingProxy(c)
		slots := &blockingSlots{started: make(chan struct{}, 8), release: make(chan struct{})}
		node := &peer.Node{ID: id, Zone: "z", Listen: "127.0.0.1:0", Advertise: p.listener.Addr().String(), Slots: slots}
		if i > 0 {
			node.Seeds = []string{nodes[0].Address()}
		}
		p.target = func() string {
			<-node.Ready()
			return node.ListenAddress()
		}
		go p.run()
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- node.Run(ctx) }()
		c.Cleanup(func() { cancel(); <-done })
		<-node.Ready()
		nodes, proxies = append(nodes, node), append(proxies, p)
	}
	joined := func() bool {
		return len(nodes[0].Members().Members) == 2 && len(nodes[1].Members().Members) == 2 && nodes[0].Owners().Trusted
	}
	waitFor(joined)

	slots := nodes[1].Slots.(*blockingSlots)
	callErr := make(chan error, 1)
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	go func() {
		_, err := nodes[0].Take(ctx, "b", peer.SlotRequest{Request: "q"})
		callErr <- err
	}()
	<-slots.started
	for _, p := range proxies {
		p.stall()
	}
	// The call itself times out after an hour, so only the check of the unresponsive connection can
	// end it earlier.
	err := <-callErr
	c.Assert(err, quicktest.IsNotNil)
	c.Assert(errors.Is(err, context.DeadlineExceeded), quicktest.IsFalse)
	close(slots.release)
	waitFor(func() bool {
		tryCtx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		_, err := nodes[0].Take(tryCtx, "b", peer.SlotRequest{Request: "r"})
		return err == nil
	})
	waitFor(joined)
}

// blockingSlots grants slots only after release is closed.
type blockingSlots struct {
	started chan struct{}
	release chan struct{}
}

func (s *blockingSlots) Take(ctx context.Context, _ string, _ peer.SlotRequest) (peer.SlotGrant, error) {
	select {
	case s.started <- struct{}{}:
	default:
	}
	select {
	case <-s.release:
		return peer.SlotGrant{Slot: "s"}, nil
	case <-ctx.Done():
		return peer.SlotGrant{}, ctx.Err()
	}
}

func (s *blockingSlots) Free(context.Context, string, []string, string) error { return nil }
func (s *blockingSlots) Abandon(context.Context, string, []string) error      { return nil }

func (s *blockingSlots) Renew(context.Context, string, []string) ([]string, error) { return nil, nil }

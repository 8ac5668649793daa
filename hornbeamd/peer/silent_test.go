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

// proxy forwards connections to a router until it is told that those open go silent for good. New ones work.
type proxy struct {
	listener net.Listener
	target   func() string

	mu    sync.Mutex
	links []*atomic.Bool
}

func newProxy(c *quicktest.C) *proxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	p := &proxy{listener: listener}
	c.Cleanup(func() { listener.Close() })
	return p
}

func (p *proxy) run() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target())
		if err != nil {
			in.Close()
			continue
		}
		silent := new(atomic.Bool)
		p.mu.Lock()
		p.links = append(p.links, silent)
		p.mu.Unlock()
		go forward(in, out, silent)
		go forward(out, in, silent)
	}
}

// forward copies until an end closes. In silence it goes on reading, so that writers do not notice.
func forward(from, to net.Conn, silent *atomic.Bool) {
	defer from.Close()
	defer to.Close()
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if silent.Load() {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		l.Store(true)
	}
}

// Guards against exchanges that wait on an established connection that went silent, and against removing the router behind it.
func TestEstablishedConnectionGoesSilent(t *testing.T) {
	c := quicktest.New(t)
	var nodes []*peer.Node
	var proxies []*proxy
	for i, id := range []string{"a", "b"} {
		p := newProxy(c)
		h := &slow{started: make(chan struct{}, 8), release: make(chan struct{})}
		x := &peer.Node{ID: id, Zone: "z", Listen: "127.0.0.1:0", Advertise: p.listener.Addr().String(), Slots: h}
		if i > 0 {
			x.Seeds = []string{nodes[0].Address()}
		}
		p.target = func() string {
			<-x.Ready()
			return x.Bound()
		}
		go p.run()
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- x.Run(ctx) }()
		c.Cleanup(func() { cancel(); <-ended })
		<-x.Ready()
		nodes, proxies = append(nodes, x), append(proxies, p)
	}
	joined := func() bool {
		return len(nodes[0].Members().Members) == 2 && len(nodes[1].Members().Members) == 2 && nodes[0].Owners().Trusted
	}
	wait(joined)

	h := nodes[1].Slots.(*slow)
	failed := make(chan error, 1)
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	go func() {
		_, err := nodes[0].Take(ctx, "b", peer.SlotAsk{Request: "q"})
		failed <- err
	}()
	<-h.started
	for _, p := range proxies {
		p.silence()
	}
	// The request's own time limit is an hour: only the check of the silent connection can end it.
	err := <-failed
	c.Assert(err, quicktest.IsNotNil)
	c.Assert(errors.Is(err, context.DeadlineExceeded), quicktest.IsFalse)
	close(h.release)
	wait(func() bool {
		try, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		_, err := nodes[0].Take(try, "b", peer.SlotAsk{Request: "r"})
		return err == nil
	})
	wait(joined)
}

// slow grants slots once it is released.
type slow struct {
	started chan struct{}
	release chan struct{}
}

func (s *slow) Take(ctx context.Context, _ string, _ peer.SlotAsk) (peer.SlotGrant, error) {
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

func (s *slow) Free(context.Context, string, []string, string) error { return nil }
func (s *slow) Abandon(context.Context, string, []string) error      { return nil }

func (s *slow) Renew(context.Context, string, []string) ([]string, error) { return nil, nil }

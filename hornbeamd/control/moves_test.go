package control_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"hornbeamstep.example/coord/owner"
	"hornbeamstep.example/hornbeamd/caller"
	"hornbeamstep.example/hornbeamd/control"
	"hornbeamstep.example/hornbeamd/engine"
	"hornbeamstep.example/hornbeamd/settings"
	"hornbeamstep.example/policy"
	"hornbeamstep.example/policy/history"
	"hornbeamstep.example/timeline"
)

// contextHolder is an engine whose cache events report stored contexts.
type contextHolder struct {
	fakeEngine

	chats int
}

func (h contextHolder) Events(_ context.Context, after int64) (engine.Events, error) {
	out := engine.Events{Boot: "1", Next: int64(h.chats)}
	for i := int(after); i < h.chats; i++ {
		out.Events = append(out.Events, engine.Event{Seq: int64(i + 1), Kind: "stored", Chat: fmt.Sprint("c", i), Tokens: 1000})
	}
	return out, nil
}

// gatedMover blocks each move until the test finishes it, or until its context ends.
type gatedMover struct {
	started chan string
	finish  chan error
}

func (m *gatedMover) Move(ctx context.Context, _, to policy.Backend, _ string) (int64, error) {
	m.started <- to.Name
	select {
	case err := <-m.finish:
		return 1000, err
	case <-ctx.Done():
		return 500, &engine.MoveError{Side: "export", Cause: ctx.Err()}
	}
}

// changingOwner is a fleet of one router that can lose the ownership of its engines.
type changingOwner struct {
	*control.SingleRouter

	lost atomic.Bool
}

func (c *changingOwner) Owners() *owner.Snapshot {
	if c.lost.Load() {
		return owner.Compute(owner.Input{
			Self: "r1", Routers: []owner.Router{{ID: "r2", Zone: "z"}}, Engines: c.Engines, Pools: c.Pools,
		}).WithTrust(true)
	}
	return c.SingleRouter.Owners()
}

func twoEngines(rev int64, first policy.State) history.Snapshot {
	s := configuration(rev, first)
	second := s.Policy.Backends["e1"]
	second.Name, second.State = "e2", policy.InService
	s.Policy.Backends["e2"] = second
	return s
}

// moveTest runs a loop over two engines, of which e1 holds contexts.
type moveTest struct {
	loop     *control.Loop
	inForce  *history.ActiveConfig
	peers    *changingOwner
	mover    *gatedMover
	ring     *timeline.Ring
	registry *prometheus.Registry
}

func newMoveTest(t *testing.T, chats int) *moveTest {
	s, err := settings.Default("r1", "z")
	qt.Assert(t, err, qt.IsNil)
	m := &moveTest{
		inForce: &history.ActiveConfig{}, ring: timeline.NewRing("r1", 0, nil), registry: prometheus.NewRegistry(),
		peers: &changingOwner{SingleRouter: singleRouter(owner.Engine{ID: "e1", Zone: "z"}, owner.Engine{ID: "e2", Zone: "z"})},
		mover: &gatedMover{started: make(chan string, 16), finish: make(chan error)},
	}
	m.inForce.Accept(twoEngines(1, policy.InService))
	m.loop = &control.Loop{
		Settings: s, Peers: m.peers, InForce: m.inForce, Log: zap.NewNop(), Mover: m.mover, Ring: m.ring, Registry: m.registry,
		NewEngine: func(b policy.Backend) control.Engine {
			if b.Name == "e1" {
				return contextHolder{chats: chats}
			}
			return fakeEngine{}
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- m.loop.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	for m.loop.Policy().Revision == 0 {
		time.Sleep(time.Millisecond)
	}
	return m
}

// count returns the number of label sets of a metric.
func (m *moveTest) count(t *testing.T, name string) int {
	families, err := m.registry.Gather()
	qt.Assert(t, err, qt.IsNil)
	for _, f := range families {
		if f.GetName() == name {
			return len(f.GetMetric())
		}
	}
	return 0
}

// Guards against a router that continues to evacuate an engine that another router owns by now, for
// instance after its process was paused.
func TestEvacuationEndsWithOwnership(t *testing.T) {
	m := newMoveTest(t, 5)
	m.inForce.Accept(twoEngines(2, policy.Leaving))
	qt.Assert(t, <-m.mover.started, qt.Equals, "e2")
	m.mover.finish <- nil
	qt.Assert(t, <-m.mover.started, qt.Equals, "e2")
	m.peers.lost.Store(true)
	m.mover.finish <- nil
	// Long enough for two more passes to start.
	time.Sleep(2500 * time.Millisecond)
	qt.Check(t, len(m.mover.started), qt.Equals, 0)
	movedCount := 0
	for _, e := range m.ring.Events(timeline.Filter{}) {
		if e.Kind == timeline.Moved {
			movedCount++
		}
	}
	qt.Check(t, movedCount, qt.Equals, 2)
}

// Guards against a chat whose home computes its context again after a drain, although the second
// home, which served the chat during the drain, holds it.
func TestContextMovesHomeAfterDrain(t *testing.T) {
	m := newMoveTest(t, 0)
	for i, state := range []policy.State{policy.Leaving, policy.InService} {
		m.inForce.Accept(twoEngines(int64(i+2), state))
		for m.loop.Policy().Revision < int64(i+2) {
			time.Sleep(time.Millisecond)
		}
	}
	go func() {
		for t.Context().Err() == nil {
			select {
			case m.mover.finish <- nil:
			case <-t.Context().Done():
			}
		}
	}()
	for i := range 20 {
		q := newSlotRequest(fmt.Sprint("q", i))
		q.Chat, q.ContextTokens = fmt.Sprint("chat", i), 3000
		grant, err := m.loop.Admit(t.Context(), q)
		qt.Assert(t, err, qt.IsNil)
		m.loop.Release(grant, caller.Result{Ending: caller.EndedOK, RequestID: q.RequestID, Fingerprint: q.Fingerprint})
		if len(m.mover.started) > 0 {
			qt.Check(t, <-m.mover.started, qt.Equals, "e1")
			return
		}
	}
	t.Fatal("no context was moved")
}

// Guards against a move that delays its request beyond the time limit, and against one that
// continues after the caller has left.
func TestMoveEndsAtLimitOrWhenCallerLeaves(t *testing.T) {
	for name, leaves := range map[string]bool{"limit": false, "caller leaves": true} {
		t.Run(name, func(t *testing.T) {
			m := newMoveTest(t, 0)
			m.inForce.Accept(twoEngines(2, policy.Leaving))
			for m.loop.Policy().Revision < 2 {
				time.Sleep(time.Millisecond)
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if leaves {
				go func() {
					<-m.mover.started
					cancel()
				}()
			}
			started := 0
			for i := range 20 {
				// The context of a chat whose home was e1 is still there.
				q := newSlotRequest(fmt.Sprint("q", i))
				q.Chat, q.ContextTokens = fmt.Sprint("chat", i), 3000
				grant, err := m.loop.Admit(ctx, q)
				if leaves && ctx.Err() != nil && err != nil {
					break
				}
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, grant.Backend, qt.Equals, "e2")
				m.loop.Release(grant, caller.Result{Ending: caller.EndedOK, RequestID: q.RequestID, Fingerprint: q.Fingerprint})
				if !leaves {
					started += len(m.mover.started)
					for len(m.mover.started) > 0 {
						<-m.mover.started
					}
				}
			}
			qt.Check(t, leaves || started > 0, qt.IsTrue)
			qt.Check(t, m.count(t, "hornbeam_control_move_failures_total"), qt.Equals, 1)
			qt.Check(t, m.count(t, "hornbeam_control_moves_total"), qt.Equals, 0)
		})
	}
}

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

// holder is an engine that tells of contexts.
type holder struct {
	fakeEngine

	chats int
}

func (h holder) Events(_ context.Context, after int64) (engine.Events, error) {
	out := engine.Events{Boot: "1", Next: int64(h.chats)}
	for i := int(after); i < h.chats; i++ {
		out.Events = append(out.Events, engine.Event{Seq: int64(i + 1), Kind: "stored", Chat: fmt.Sprint("c", i), Tokens: 1000})
	}
	return out, nil
}

// gatedMover holds each move until it is let through, or until its context ends.
type gatedMover struct {
	begun   chan string
	through chan error
}

func (m *gatedMover) Move(ctx context.Context, _, to policy.Backend, _ string) (int64, error) {
	m.begun <- to.Name
	select {
	case err := <-m.through:
		return 1000, err
	case <-ctx.Done():
		return 500, &engine.MoveError{Side: "export", Cause: ctx.Err()}
	}
}

// movable is a fleet of one router that can lose its engines.
type movable struct {
	*control.Alone

	lost atomic.Bool
}

func (m *movable) Owners() *owner.Snapshot {
	if m.lost.Load() {
		return owner.Compute(owner.Input{
			Self: "r1", Routers: []owner.Router{{ID: "r2", Zone: "z"}}, Engines: m.Engines, Pools: m.Pools,
		}).WithTrust(true)
	}
	return m.Alone.Owners()
}

func twoEngines(rev int64, first policy.State) history.State {
	s := configuration(rev, first)
	second := s.Policy.Backends["e1"]
	second.Name, second.State = "e2", policy.InService
	s.Policy.Backends["e2"] = second
	return s
}

// moverWorld runs a loop over two engines, of which e1 holds contexts.
type moverWorld struct {
	loop  *control.Loop
	force *history.InForce
	peers *movable
	mover *gatedMover
	ring  *timeline.Ring
	reg   *prometheus.Registry
}

func startMover(t *testing.T, chats int) *moverWorld {
	s, err := settings.Default("r1", "z")
	qt.Assert(t, err, qt.IsNil)
	w := &moverWorld{
		force: &history.InForce{}, ring: timeline.NewRing("r1", 0, nil), reg: prometheus.NewRegistry(),
		peers: &movable{Alone: alone(owner.Engine{ID: "e1", Zone: "z"}, owner.Engine{ID: "e2", Zone: "z"})},
		mover: &gatedMover{begun: make(chan string, 16), through: make(chan error)},
	}
	w.force.Accept(twoEngines(1, policy.InService))
	w.loop = &control.Loop{
		Settings: s, Peers: w.peers, InForce: w.force, Log: zap.NewNop(), Mover: w.mover, Ring: w.ring, Registry: w.reg,
		Engine: func(b policy.Backend) control.Engine {
			if b.Name == "e1" {
				return holder{chats: chats}
			}
			return fakeEngine{}
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- w.loop.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	for w.loop.Policy().Revision == 0 {
		time.Sleep(time.Millisecond)
	}
	return w
}

// count returns the number of label sets of a metric.
func (w *moverWorld) count(t *testing.T, name string) int {
	families, err := w.reg.Gather()
	qt.Assert(t, err, qt.IsNil)
	for _, f := range families {
		if f.GetName() == name {
			return len(f.GetMetric())
		}
	}
	return 0
}

// Guards against a router that goes on moving the contexts of an engine which another router owns by now, as one does that was
// paused and resumes.
func TestEvacuationEndsWithOwnership(t *testing.T) {
	w := startMover(t, 5)
	w.force.Accept(twoEngines(2, policy.Leaving))
	qt.Assert(t, <-w.mover.begun, qt.Equals, "e2")
	w.mover.through <- nil
	qt.Assert(t, <-w.mover.begun, qt.Equals, "e2")
	w.peers.lost.Store(true)
	w.mover.through <- nil
	// Two periods in which a pass would begin.
	time.Sleep(2500 * time.Millisecond)
	qt.Check(t, len(w.mover.begun), qt.Equals, 0)
	moved := 0
	for _, e := range w.ring.Events(timeline.Filter{}) {
		if e.Kind == timeline.Moved {
			moved++
		}
	}
	qt.Check(t, moved, qt.Equals, 2)
}

// Guards against a chat that reads its prompt again on its home after a drain, because what it said meanwhile is on its second home.
func TestContextReturnsHome(t *testing.T) {
	w := startMover(t, 0)
	for i, state := range []policy.State{policy.Leaving, policy.InService} {
		w.force.Accept(twoEngines(int64(i+2), state))
		for w.loop.Policy().Revision < int64(i+2) {
			time.Sleep(time.Millisecond)
		}
	}
	go func() {
		for t.Context().Err() == nil {
			select {
			case w.mover.through <- nil:
			case <-t.Context().Done():
			}
		}
	}()
	for i := range 20 {
		q := ask(fmt.Sprint("q", i))
		q.Chat, q.Context = fmt.Sprint("chat", i), 3000
		grant, err := w.loop.Admit(t.Context(), q)
		qt.Assert(t, err, qt.IsNil)
		w.loop.Release(grant, caller.Result{Ending: caller.EndedOK, Request: q.Request, Fingerprint: q.Fingerprint})
		if len(w.mover.begun) > 0 {
			qt.Check(t, <-w.mover.begun, qt.Equals, "e1")
			return
		}
	}
	t.Fatal("no context was moved")
}

// Guards against a move that holds its request back behind the limit, or that goes on for a request whose caller has left.
func TestMoveEndsWithLimitAndCaller(t *testing.T) {
	for name, leaves := range map[string]bool{"limit": false, "caller leaves": true} {
		t.Run(name, func(t *testing.T) {
			w := startMover(t, 0)
			w.force.Accept(twoEngines(2, policy.Leaving))
			for w.loop.Policy().Revision < 2 {
				time.Sleep(time.Millisecond)
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if leaves {
				go func() {
					<-w.mover.begun
					cancel()
				}()
			}
			moving := 0
			for i := range 20 {
				// A chat whose home was e1 finds its context there.
				q := ask(fmt.Sprint("q", i))
				q.Chat, q.Context = fmt.Sprint("chat", i), 3000
				grant, err := w.loop.Admit(ctx, q)
				if leaves && ctx.Err() != nil && err != nil {
					break
				}
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, grant.Backend, qt.Equals, "e2")
				w.loop.Release(grant, caller.Result{Ending: caller.EndedOK, Request: q.Request, Fingerprint: q.Fingerprint})
				if !leaves {
					moving += len(w.mover.begun)
					for len(w.mover.begun) > 0 {
						<-w.mover.begun
					}
				}
			}
			qt.Check(t, leaves || moving > 0, qt.IsTrue)
			qt.Check(t, w.count(t, "hornbeam_control_move_failures_total"), qt.Equals, 1)
			qt.Check(t, w.count(t, "hornbeam_control_moves_total"), qt.Equals, 0)
		})
	}
}

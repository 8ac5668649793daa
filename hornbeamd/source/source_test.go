package source

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"hornbeamstep.example/platform/metastore"
	"hornbeamstep.example/platform/registry"
	"hornbeamstep.example/routing/roster"
	"hornbeamstep.example/routing/routes"
)

// script answers the calls for backend servers one after another, and those for the configuration with nothing new.
type script struct {
	mu    sync.Mutex
	steps []step
	calls []string
}

type step struct {
	snapshot metastore.Snapshot
	err      error
}

func (s *script) next(ctx context.Context, kind, call string) (metastore.Snapshot, error) {
	if kind != registry.ServersKind {
		<-ctx.Done()
		return metastore.Snapshot{}, ctx.Err()
	}
	s.mu.Lock()
	s.calls = append(s.calls, call)
	if len(s.steps) > 0 {
		defer s.mu.Unlock()
		now := s.steps[0]
		s.steps = s.steps[1:]
		return now.snapshot, now.err
	}
	s.mu.Unlock()
	<-ctx.Done()
	return metastore.Snapshot{}, ctx.Err()
}

func (s *script) List(ctx context.Context, kind string) (metastore.Snapshot, error) {
	return s.next(ctx, kind, "list")
}

func (s *script) Watch(ctx context.Context, kind string, after int64, _ time.Duration) (metastore.Snapshot, error) {
	return s.next(ctx, kind, fmt.Sprint("watch ", after))
}

func entry(name, state string, sequence int) metastore.Object {
	return metastore.Object{Name: name, Spec: fmt.Appendf(nil,
		`{"service":"s","address":"10.0.0.1:80","zone":"z","version":"v","slots":4,"state":%q,"sequence":%d}`, state, sequence)}
}

func at(revision int64, objects ...metastore.Object) step {
	return step{snapshot: metastore.Snapshot{Revision: revision, Objects: objects}}
}

// Guards against changes of servers that are missed when the history is gone or a call fails, and against renewals that count as
// changes.
func TestFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := &script{steps: []step{
			at(5, entry("a", "ready", 1)),
			at(7, entry("a", "ready", 2)),
			{err: errors.New("no answer")},
			at(8, entry("b", "ready", 1)),
			{err: metastore.ErrCompacted},
			at(20, entry("b", "draining", 9)),
		}}
		var got []roster.Snapshot
		var lost atomic.Int64
		w := &Watcher{
			Store: store, Duty: &Duty{}, Log: zap.NewNop(), Contact: func() {}, Lost: func(error) { lost.Add(1) },
			Config: func(routes.Config) {}, Servers: func(r roster.Snapshot) { got = append(got, r) },
		}
		ctx, cancel := context.WithCancel(context.Background())
		go w.Run(ctx)
		time.Sleep(time.Minute)
		c.Assert(store.calls, qt.HasLen, 0, qt.Commentf("calls without duty"))
		c.Assert(w.Duty.Set(true), qt.IsTrue)
		time.Sleep(time.Minute)
		synctest.Wait()
		c.Assert(store.calls, qt.DeepEquals, []string{"list", "watch 5", "watch 7", "watch 7", "watch 8", "list", "watch 20"})
		c.Assert(lost.Load(), qt.Equals, int64(1))
		c.Assert(got, qt.HasLen, 3)
		c.Assert(got[0].Revision, qt.Equals, int64(5))
		c.Assert(got[1].Servers, qt.HasLen, 2)
		c.Assert(got[2].Servers, qt.HasLen, 1)
		c.Assert(got[2].Servers[0].Leaving, qt.IsTrue)
		cancel()
		synctest.Wait()
	})
}

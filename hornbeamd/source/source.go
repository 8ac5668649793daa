// Package source follows the configuration and the backend servers in the platform's metadata store.
package source

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"hornbeamstep.example/platform/metastore"
	"hornbeamstep.example/platform/registry"
	"hornbeamstep.example/routing/roster"
	"hornbeamstep.example/routing/routes"
)

// Store is the part of the metadata store that is used here.
type Store interface {
	List(ctx context.Context, kind string) (metastore.Snapshot, error)
	Watch(ctx context.Context, kind string, after int64, wait time.Duration) (metastore.Snapshot, error)
}

// Times of the watches.
const (
	// watchWait is how long a watch waits for a change. With the timeout of a call it bounds how long a silent connection goes
	// unnoticed, and another router needs as long again to take over and spread the news, within the time in which a
	// configuration applies.
	watchWait = 700 * time.Millisecond
	// serversPause is the least time between two answers about backend servers: each of them renews its entry about once a
	// second, which would end every watch at once.
	serversPause = 600 * time.Millisecond
	// retryFirst and retryMost bound the pause after failed calls, which doubles.
	retryFirst = 150 * time.Millisecond
	retryMost  = time.Second
)

// Watcher follows the store while this router is on duty. Fields are set before Run.
type Watcher struct {
	Store Store
	// Duty says whether this router has to watch.
	Duty *Duty
	// Contact is called after each answer of the store.
	Contact func()
	// Lost is called when a call has failed.
	Lost func(error)
	// Config and Servers take what is new.
	Config  func(routes.Config)
	Servers func(roster.Snapshot)
	Log     *zap.Logger
}

// Run watches until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	go w.follow(ctx, &feed{kind: registry.ConfigKind, apply: w.applyConfig})
	servers := &servers{known: map[string]roster.Server{}, deliver: w.Servers}
	w.follow(ctx, &feed{kind: registry.ServersKind, apply: servers.apply, pause: serversPause})
}

// feed is one kind of objects that is followed.
type feed struct {
	kind  string
	apply func(s metastore.Snapshot, whole bool)
	pause time.Duration
	// revision is that up to which changes were applied; 0 before the first list.
	revision int64
}

func (w *Watcher) follow(ctx context.Context, f *feed) {
	retry := retryFirst
	for ctx.Err() == nil {
		if w.Duty.wait(ctx) != nil {
			return
		}
		err := w.step(ctx, f)
		switch {
		case err == nil:
			retry = retryFirst
			sleep(ctx, f.pause)
		case errors.Is(err, metastore.ErrCompacted):
			w.Log.Info("history of the store is gone; listing again", zap.String("kind", f.kind), zap.Int64("revision", f.revision))
			f.revision = 0
		default:
			w.Lost(err)
			// Jitter keeps the routers from asking at the same moments.
			sleep(ctx, retry/2+rand.N(retry))
			retry = min(2*retry, retryMost)
		}
	}
}

// step makes one call and applies what it brings.
func (w *Watcher) step(ctx context.Context, f *feed) error {
	whole := f.revision == 0
	var s metastore.Snapshot
	var err error
	if whole {
		s, err = w.Store.List(ctx, f.kind)
	} else {
		s, err = w.Store.Watch(ctx, f.kind, f.revision, watchWait)
	}
	if err != nil {
		return err
	}
	w.Contact()
	f.revision = max(f.revision, s.Revision)
	f.apply(s, whole)
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (w *Watcher) applyConfig(s metastore.Snapshot, _ bool) {
	for _, o := range s.Objects {
		if o.Name != registry.ConfigName || o.Deleted {
			continue
		}
		c, err := registry.Config(o)
		if err != nil {
			w.Log.Error("configuration cannot be read; the present one stays in force", zap.Error(err))
			continue
		}
		w.Config(c)
	}
}

// servers gathers the entries of backend servers.
type servers struct {
	known   map[string]roster.Server
	deliver func(roster.Snapshot)
	// delivered is true after the first delivery.
	delivered bool
}

// apply takes a list of all entries or their changes, and delivers the servers if they differ from those before.
func (v *servers) apply(s metastore.Snapshot, whole bool) {
	next := maps.Clone(v.known)
	if whole {
		next = map[string]roster.Server{}
	}
	for _, o := range s.Objects {
		entry, ok := registry.Server(o)
		if o.Deleted || !ok {
			delete(next, o.Name)
			continue
		}
		next[o.Name] = entry
	}
	if v.delivered && maps.Equal(next, v.known) {
		return
	}
	v.known, v.delivered = next, true
	list := slices.Collect(maps.Values(next))
	roster.Sort(list)
	v.deliver(roster.Snapshot{Revision: s.Revision, Servers: list})
}

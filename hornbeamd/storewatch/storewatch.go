// Package storewatch watches the configuration and the list of backend servers in the platform's
// metadata store.
package storewatch

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"hornbeamstep.example/platform/metastore"
	"hornbeamstep.example/platform/registry"
	"hornbeamstep.example/routing/evacuation"
	"hornbeamstep.example/routing/roster"
	"hornbeamstep.example/routing/routes"
)

// Store is the part of the metadata store's client that a Watcher uses.
type Store interface {
	List(ctx context.Context, kind string) (metastore.Snapshot, error)
	Watch(ctx context.Context, kind string, after int64, wait time.Duration) (metastore.Snapshot, error)
	HistoryStore
}

// Timing of the calls to the store.
const (
	// watchShare is the share of Watcher.ApplyWithin after which the store answers a watch even if
	// nothing has changed. A connection without answers is detected when a watch exceeds that time
	// by the margin that the store's client allows. Another router needs the same time again to
	// take over and to distribute a change.
	watchShare = 0.35
	// pauseShare is the share of Watcher.ApplyWithin between an answer with backend servers and the
	// next watch. Each backend server renews its entry about once a second, so that without a pause
	// each watch would return immediately.
	pauseShare = 0.3
	// evacuationWait is the time after which the store answers a watch of evacuations even if nothing
	// has changed. Several routers watch, so that one whose connection has gone silent delays nothing.
	evacuationWait = 10 * time.Second
	// retryInitial and retryMax are the first and the longest delay after a failed call; the delay
	// doubles with each failure.
	retryInitial = 150 * time.Millisecond
	retryMax     = time.Second
)

// errEarlierEra is the error of a response that the store sent before it was restored.
var errEarlierEra = eris.New("metadata store answered from before its latest restore; asking again")

// Watcher watches the store while Active is on. The fields must be set before Run is called.
type Watcher struct {
	Store Store
	// ApplyWithin is the time within which a change in the store has to be in effect on all
	// routers. The store is called less often if it is longer.
	ApplyWithin time.Duration
	// Active is on while this router has to watch the store; the Watcher makes no calls while it is
	// off.
	Active *Switch
	// EvacuateWithin is the time within which the evacuation of an availability zone has to be in
	// effect on all routers; 0 if there are no evacuations.
	EvacuateWithin time.Duration
	// IsFirstStart is true if no router has served before.
	IsFirstStart bool
	// OnSuccess is called after each successful call, before the result is applied.
	OnSuccess func()
	// OnError is called with the error of a failed call, except for metastore.ErrCompacted.
	OnError func(error)
	// OnConfig is called with each configuration that the store returns, which may be one that it
	// returned before. OnServers is called with the first list of backend servers and whenever the
	// list or the history of their versions has changed. The list lacks servers of versions that
	// could not be recorded.
	OnConfig  func(routes.Config)
	OnServers func(roster.Snapshot)
	// OnEvacuations is called with the first list of evacuated zones and whenever it has changed. It
	// is not called if EvacuateWithin is 0.
	OnEvacuations func(evacuation.Zones)
	Log           *zap.Logger
}

// Run watches the store until the context is canceled.
func (w *Watcher) Run(ctx context.Context) {
	go w.watch(ctx, &subscription{kind: registry.ConfigKind, wait: share(w.ApplyWithin, watchShare), apply: w.applyConfig})
	if w.EvacuateWithin > 0 {
		zones := &zoneList{deliver: w.OnEvacuations, log: w.Log}
		go w.watch(ctx, &subscription{kind: registry.EvacuationsKind, wait: evacuationWait, apply: zones.apply})
	}
	servers := &serverList{
		known: map[string]roster.Server{}, deliver: w.OnServers,
		history: &versionHistory{store: w.Store, recorder: roster.Recorder{IsFirstStart: w.IsFirstStart}, log: w.Log},
	}
	w.watch(ctx, &subscription{kind: registry.ServersKind, wait: share(w.ApplyWithin, watchShare), apply: servers.apply, pause: share(w.ApplyWithin, pauseShare)})
}

// subscription is the state of watching one kind of objects.
type subscription struct {
	kind  string
	apply func(ctx context.Context, s metastore.Snapshot, complete bool)
	pause time.Duration
	// wait is the longest time for which the store delays its answer to a watch.
	wait time.Duration
	// revision is the store revision up to which changes were applied; 0 if the objects must be
	// listed. era is the era of that revision.
	revision, era int64
}

// watch lists the objects of one kind and then watches them for changes until the context is
// canceled.
func (w *Watcher) watch(ctx context.Context, sub *subscription) {
	delay := retryInitial
	for ctx.Err() == nil {
		if w.Active.wait(ctx) != nil {
			return
		}
		err := w.poll(ctx, sub)
		switch {
		case err == nil:
			delay = retryInitial
			sleep(ctx, sub.pause)
		case errors.Is(err, metastore.ErrCompacted):
			w.Log.Info("store compacted the watched revision; listing all objects again", zap.String("kind", sub.kind), zap.Int64("revision", sub.revision))
			sub.revision = 0
		default:
			w.OnError(err)
			// Jitter prevents the routers from retrying at the same time.
			sleep(ctx, delay/2+rand.N(delay))
			delay = min(2*delay, retryMax)
		}
	}
}

// poll makes one list or watch call and applies the result.
func (w *Watcher) poll(ctx context.Context, sub *subscription) error {
	complete := sub.revision == 0
	var s metastore.Snapshot
	var err error
	if complete {
		s, err = w.Store.List(ctx, sub.kind)
	} else {
		s, err = w.Store.Watch(ctx, sub.kind, sub.revision, sub.wait)
	}
	if err != nil {
		return err
	}
	w.OnSuccess()
	switch {
	case s.Era < sub.era:
		return errEarlierEra
	case s.Era > sub.era && !complete:
		// The changes belong to another history than the objects that were listed.
		w.Log.Warn("metadata store was restored; listing all objects again", zap.String("kind", sub.kind),
			zap.Int64("era", s.Era), zap.Int64("previous_era", sub.era), zap.Int64("revision", s.Revision), zap.Int64("previous_revision", sub.revision))
		sub.revision, sub.era = 0, s.Era
		return nil
	case s.Era > sub.era:
		sub.revision, sub.era = s.Revision, s.Era
	}
	sub.revision = max(sub.revision, s.Revision)
	sub.apply(ctx, s, complete)
	return nil
}

func share(d time.Duration, share float64) time.Duration { return time.Duration(share * float64(d)) }

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// applyConfig passes the configuration of a snapshot to OnConfig, unless it was deleted or cannot
// be decoded.
func (w *Watcher) applyConfig(_ context.Context, s metastore.Snapshot, _ bool) {
	for _, o := range s.Objects {
		if o.Name != registry.ConfigName || o.Deleted {
			continue
		}
		c, err := registry.DecodeConfig(o)
		if err != nil {
			w.Log.Error("decoding the configuration failed; keeping the current one", zap.Error(err))
			continue
		}
		w.OnConfig(c)
	}
}

// serverList maintains the list of backend servers from their entries in the store.
type serverList struct {
	known   map[string]roster.Server
	history *versionHistory
	deliver func(roster.Snapshot)
	// delivered is the latest list that was delivered; nil before the first one.
	delivered *roster.Snapshot
}

// apply applies a snapshot, which holds all entries if complete is true and the changed ones
// otherwise. It delivers the list if it differs from the previous one. A renewal of an entry alone
// does not count as a change. Before it delivers servers of a new version, it records that in the
// history.
func (l *serverList) apply(ctx context.Context, s metastore.Snapshot, complete bool) {
	next := maps.Clone(l.known)
	if complete {
		next = map[string]roster.Server{}
	}
	for _, o := range s.Objects {
		entry, ok := registry.DecodeServer(o)
		if o.Deleted || !ok {
			delete(next, o.Name)
			continue
		}
		next[o.Name] = entry
	}
	l.known = next
	servers := slices.Collect(maps.Values(next))
	roster.Sort(servers)
	l.history.update(ctx, s.Era, servers)
	list := roster.Snapshot{
		Revision: roster.Revision{Era: s.Era, Number: s.Revision},
		Servers:  l.history.recorder.Allowed(servers), History: l.history.recorder.Confirmed(s.Era),
	}
	if l.delivered != nil && (!list.Revision.After(l.delivered.Revision) || l.delivered.Revision.Era == s.Era && list.Equal(*l.delivered)) {
		// A history that became known at the same revision is delivered with the next one, because
		// routers take a list only if its revision is later.
		return
	}
	l.delivered = &list
	l.deliver(list)
}

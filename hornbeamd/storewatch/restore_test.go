package storewatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"hornbeamstep.example/platform/metastore"
	"hornbeamstep.example/routing/roster"
	"hornbeamstep.example/routing/routes"
)

// Guards against a list of backend servers that mixes the history before the restore of the store
// with that after it: the revisions of both overlap, so that a watch of the restored store succeeds
// from a revision of the former one. Also guards against a response from before the restore that
// arrives late.
func TestWatcherRestoredStore(t *testing.T) {
	for name, test := range map[string]struct {
		results []result
		calls   []string
		want    []roster.Revision
	}{
		"watch continues in the new history": {
			results: []result{
				snapshotAt(5, serverObject("a", "ready", 1)).inEra(1),
				snapshotAt(7, serverObject("b", "ready", 1)).inEra(2),
				snapshotAt(7, serverObject("a", "ready", 2)).inEra(2),
			},
			calls: []string{"list", "watch 5", "list", "watch 7"},
			want:  []roster.Revision{{Era: 1, Number: 5}, {Era: 2, Number: 7}},
		},
		"revisions go back": {
			results: []result{
				snapshotAt(9, serverObject("a", "ready", 1)).inEra(1),
				{err: metastore.ErrCompacted},
				snapshotAt(4, serverObject("a", "ready", 1)).inEra(2),
				snapshotAt(5, serverObject("b", "ready", 1)).inEra(2),
			},
			calls: []string{"list", "watch 9", "list", "watch 4", "watch 5"},
			want:  []roster.Revision{{Era: 1, Number: 9}, {Era: 2, Number: 4}, {Era: 2, Number: 5}},
		},
		"late response": {
			results: []result{
				snapshotAt(4, serverObject("a", "ready", 1)).inEra(2),
				snapshotAt(9, serverObject("b", "ready", 1)).inEra(1),
				snapshotAt(6, serverObject("c", "ready", 1)).inEra(2),
			},
			calls: []string{"list", "watch 4", "watch 4", "watch 6"},
			want:  []roster.Revision{{Era: 2, Number: 4}, {Era: 2, Number: 6}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				store := &fakeStore{results: test.results}
				var delivered []roster.Revision
				w := &Watcher{
					Store: store, ApplyWithin: 2 * time.Second, Active: &Switch{}, Log: zap.NewNop(), OnSuccess: func() {}, OnError: func(error) {},
					OnConfig: func(routes.Config) {}, OnServers: func(s roster.Snapshot) { delivered = append(delivered, s.Revision) },
				}
				w.Active.Set(true)
				ctx, cancel := context.WithCancel(t.Context())
				go w.Run(ctx)
				time.Sleep(10 * time.Second)
				cancel()
				synctest.Wait()
				c.Assert(delivered, qt.DeepEquals, test.want)
				c.Assert(store.calls, qt.DeepEquals, test.calls)
			})
		})
	}
}

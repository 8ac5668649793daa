package edge

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/coord/presence"
	"hornbeamstep.example/routing/routes"
)

// Guards against routes that open to all because a router of an earlier release sends an empty list of
// client accounts like a missing one.
func TestConfigOfEarlierRelease(t *testing.T) {
	accounts := []routes.Account{{Name: "clerks", Keys: []string{"key"}}}
	for name, test := range map[string]struct {
		config  routes.Config
		applied bool
	}{
		"unstated, no accounts": {routes.Config{Version: 8}, false},
		"unstated, accounts":    {routes.Config{Version: 8, Accounts: accounts}, true},
		"no keys needed":        {routes.Config{Version: 8, Keys: routes.KeysOptional}, true},
		"empty list":            {routes.Config{Version: 8, Keys: routes.KeysRequired}, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				loop := newTestLoop(presence.Record{ID: "a", Peer: "10.0.0.1:1"}, func(presence.OutgoingMessage) {})
				loop.applyConfig(routes.Config{Version: 5, Accounts: accounts}, storeSource)
				// Another router watches the store.
				loop.handleMessage(context.Background(), presence.Message{From: "b", Records: []presence.AgedRecord{
					{Record: presence.Record{ID: "b", Peer: "10.0.0.2:1", Boot: 1, Sequence: 1}},
				}}, "10.0.0.2:1")
				time.Sleep(time.Second)
				loop.applyConfig(test.config, "b")
				c.Assert(loop.gateway.Table().Version() == 8, qt.Equals, test.applied)
				if !test.applied {
					c.Assert(loop.watching.On(), qt.IsTrue)
					loop.applyConfig(routes.Config{Version: 8, Keys: routes.KeysRequired}, storeSource)
					c.Assert(loop.gateway.Table().RequiresKey(), qt.IsTrue)
					c.Assert(loop.isConfigUnclear(), qt.IsFalse)
				}
			})
		})
	}
}

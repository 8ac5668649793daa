package edge

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/coord/presence"
	"hornbeamstep.example/routing/evacuation"
	"hornbeamstep.example/routing/roster"
	"hornbeamstep.example/routing/routes"
)

// Guards against reports of other routers that are not put into effect while something else makes this router
// send heartbeats more often than regularly.
func TestReportsAreAppliedDuringChanges(t *testing.T) {
	for name, change := range map[string]func(*controlLoop, int64){
		"configurations": func(loop *controlLoop, number int64) {
			loop.applyConfig(routes.Config{Version: number}, "store")
		},
		"servers": func(loop *controlLoop, number int64) {
			loop.applyServers(roster.Snapshot{Revision: roster.Revision{Number: number}, Servers: []roster.Server{{ID: "s", Service: "pool"}}}, "store")
		},
		"evacuations": func(loop *controlLoop, number int64) {
			loop.applyEvacuations(evacuation.Zones{Revision: roster.Revision{Number: number}}, "store")
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				loop := newTestLoop(presence.Record{ID: "a", Peer: "10.0.0.1:1"}, func(presence.OutgoingMessage) {})
				interval := loop.presence.Interval()
				loop.tick(context.Background(), time.Now())
				for number := range int64(100) {
					change(loop, number+1)
					time.Sleep(tickInterval)
					loop.tick(context.Background(), time.Now())
					c.Assert(loop.upstreams.ReportsAge(time.Now()) <= interval, qt.IsTrue,
						qt.Commentf("%v old after %d changes", loop.upstreams.ReportsAge(time.Now()), number+1))
				}
			})
		})
	}
}

// Guards against a router that takes limits of the whole fleet for its own because it started while the
// configuration changed often.
func TestRouterStartedDuringChangesSharesLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const peer = "10.0.0.2:1"
		loop := newTestLoop(presence.Record{ID: "a", Peer: "10.0.0.1:1"}, func(presence.OutgoingMessage) {})
		alone := loop.upstreams.ConnectionShare(100)
		for number := range 20 {
			loop.applyConfig(routes.Config{Version: int64(number + 1)}, "store")
			loop.handleMessage(context.Background(), presence.Message{From: "b", Records: []presence.AgedRecord{
				{Record: presence.Record{ID: "b", Peer: peer, Boot: 1, Sequence: uint64(number + 1)}},
			}}, peer)
			time.Sleep(tickInterval)
			loop.tick(context.Background(), time.Now())
		}
		c.Assert(loop.upstreams.ConnectionShare(100), qt.Equals, alone/2)
	})
}

package edge

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"hornbeamstep.example/coord/presence"
	"hornbeamstep.example/hornbeamd/backend"
	"hornbeamstep.example/hornbeamd/gateway"
	"hornbeamstep.example/routing/balance"
	"hornbeamstep.example/routing/roster"
)

// Guards against routing by loads that were reported long before they are used.
func TestReportedLoadsAreAppliedOnArrival(t *testing.T) {
	const peer = "10.0.0.2:1"
	key := presence.ServerKeyOf("s")
	for name, message := range map[string]presence.Message{
		"heartbeat":   {Records: []presence.AgedRecord{{Record: presence.Record{ID: "b", Peer: peer, Boot: 1, Sequence: 1, Loads: map[presence.ServerKey]int{key: 5}}}}},
		"hub update ": {Kind: presence.HubUpdate, Records: []presence.AgedRecord{{Record: presence.Record{ID: "b", Peer: peer, Boot: 1, Sequence: 1, Loads: map[presence.ServerKey]int{key: 5}}}}, ZoneLoads: []presence.ZoneLoad{{Zone: "z"}}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			self := presence.Record{ID: "a", Peer: "10.0.0.1:1"}
			upstreams := &gateway.Upstreams{Balancer: balance.New(balance.DefaultSettings(), "a")}
			loop := &controlLoop{
				self: self, presence: presence.New(presence.DefaultSettings(), self), roster: roster.New(roster.DefaultSettings(time.Second)), upstreams: upstreams,
				gateway: &gateway.Server{Upstreams: upstreams, Crashes: gateway.NewCrashTracker(), Permits: gateway.NewPermits(), Origins: gateway.NewOrigins(), Paths: gateway.NewPaths(&backend.Pool{}), Relays: gateway.NewRelays(&backend.Pool{})},
				send:    func(presence.OutgoingMessage) {}, log: zap.NewNop(), tasks: make(chan func(), taskQueueSize), fetching: map[string]bool{},
			}
			loop.applyServers(roster.Snapshot{Revision: roster.Revision{Number: 1}, Servers: []roster.Server{{ID: "s", Service: "pool"}}}, "store")
			message.From = "b"
			loop.handleMessage(context.Background(), message, peer)
			states := upstreams.States(time.Now())
			c.Assert(states, qt.HasLen, 1)
			c.Assert(states[0].Others, qt.Equals, 5)
		})
	}
}

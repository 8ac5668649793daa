package edge

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"hornbeamstep.example/coord/presence"
	"hornbeamstep.example/hornbeamd/backend"
	"hornbeamstep.example/hornbeamd/gateway"
	"hornbeamstep.example/routing/balance"
	"hornbeamstep.example/routing/roster"
	"hornbeamstep.example/routing/routes"
)

// newTestLoop returns the control loop of a router that knows no others and sends its messages to send.
func newTestLoop(self presence.Record, send func(presence.OutgoingMessage)) *controlLoop {
	upstreams := &gateway.Upstreams{Balancer: balance.New(balance.DefaultSettings(), self.ID)}
	loop := &controlLoop{
		self: self, presence: presence.New(presence.DefaultSettings(), self), roster: roster.New(roster.DefaultSettings(time.Second)), upstreams: upstreams,
		gateway: &gateway.Server{Upstreams: upstreams, Crashes: gateway.NewCrashTracker(), Permits: gateway.NewPermits(), Origins: gateway.NewOrigins(), Paths: gateway.NewPaths(&backend.Pool{}), Relays: gateway.NewRelays(&backend.Pool{})},
		send:    send, log: zap.NewNop(), tasks: make(chan func(), taskQueueSize), fetching: map[string]bool{}, started: time.Now(),
	}
	loop.gateway.Init()
	return loop
}

// loopFleet simulates the control loops of routers before the servers of one service, in steps of one
// millisecond. Messages arrive one step after they were sent.
type loopFleet struct {
	loops   []*controlLoop
	peers   map[string]*controlLoop
	servers []roster.Server
	// messages holds the messages that arrive in the next step.
	messages []sentMessage
	// queues holds the requests at each server by its ID, in the order of their arrival.
	queues map[string][]*loopRequest
	random *rand.Rand
	// sent counts the requests, and overLimit those to a server whose load was then above 2 times the
	// mean plus 3.
	sent, overLimit int
}

type sentMessage struct {
	from string
	presence.OutgoingMessage
}

// loopRequest is a request at a server. finishAt is zero while it waits for a slot.
type loopRequest struct {
	balancer          *balance.Balancer
	arrived, finishAt time.Time
}

func newLoopFleet(routers int, servers []roster.Server) *loopFleet {
	f := &loopFleet{peers: map[string]*controlLoop{}, servers: servers, queues: map[string][]*loopRequest{}, random: rand.New(rand.NewPCG(1, 1))}
	for i := range routers {
		address := fmt.Sprintf("10.0.0.%d:1", i+1)
		seed := i == 0
		loop := newTestLoop(presence.Record{
			ID: fmt.Sprint("r", i), Zone: fmt.Sprint("z", i%3), Boot: 1, Peer: address, Control: address, Front: address, Capacity: 1,
		}, func(m presence.OutgoingMessage) { f.messages = append(f.messages, sentMessage{address, m}) })
		if !seed {
			loop.seeds = []string{"10.0.0.1:1"}
		}
		// All loops get their data from the store.
		loop.fetching[configKind], loop.fetching[serversKind] = true, true
		loop.applyServers(roster.Snapshot{Revision: roster.Revision{Number: 1}, Servers: servers}, "store")
		f.loops = append(f.loops, loop)
		f.peers[address] = loop
	}
	return f
}

// step simulates one millisecond.
func (f *loopFleet) step(number int) {
	messages := f.messages
	f.messages = nil
	for _, m := range messages {
		for _, to := range m.To {
			if loop := f.peers[to]; loop != nil && to != m.from {
				loop.handleMessage(context.Background(), m.Message, m.from)
			}
		}
	}
	now := time.Now()
	for i, loop := range f.loops {
		if (number+i)%int(tickInterval.Milliseconds()) == 0 {
			loop.storeContact = now
			loop.tick(context.Background(), now)
		}
	}
	for _, s := range f.servers {
		f.serve(now, s)
	}
	time.Sleep(time.Millisecond)
}

// serve finishes and starts requests at a server.
func (f *loopFleet) serve(now time.Time, s roster.Server) {
	const duration = 60 * time.Millisecond
	running := 0
	kept := f.queues[s.ID][:0]
	for _, r := range f.queues[s.ID] {
		if !r.finishAt.IsZero() && !r.finishAt.After(now) {
			r.balancer.Finish(now, s.ID, balance.Answered, now.Sub(r.arrived))
			continue
		}
		if r.finishAt.IsZero() && running < s.Slots {
			r.finishAt = now.Add(duration)
		}
		running++
		kept = append(kept, r)
	}
	f.queues[s.ID] = kept
}

// arrive sends, on average, perSecond requests per second. The given share of them comes to the routers of
// the second availability zone.
func (f *loopFleet) arrive(perSecond, share float64) {
	if f.random.Float64() >= perSecond/1000 {
		return
	}
	i := f.random.IntN(len(f.loops))
	if f.random.Float64() < share {
		i = i/3*3 + 1
	}
	b, now := f.loops[i].upstreams.Balancer, time.Now()
	choice := b.Choose(now, balance.Request{Service: "desk", Zone: f.loops[i].self.Zone, Draw: f.random.Float64()})
	f.sent++
	id := choice.Server.ID
	if id == "" {
		return
	}
	total := 0
	for _, q := range f.queues {
		total += len(q)
	}
	if float64(len(f.queues[id])+1) > 2*float64(total)/float64(len(f.servers))+3 {
		f.overLimit++
	}
	b.Start(now, id)
	f.queues[id] = append(f.queues[id], &loopRequest{balancer: b, arrived: now})
}

// Guards against servers above the load limit of 2 times the mean plus 3 when the traffic of a zone grows
// while new versions of the configuration follow each other faster than heartbeats.
func TestLoadLimitDuringConfigurationChanges(t *testing.T) {
	for name, versionEvery := range map[string]int{"no changes": 0, "a version each 100 ms": 100} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				var servers []roster.Server
				for i, zone := range []string{"z0", "z0", "z1", "z2"} {
					servers = append(servers, roster.Server{ID: fmt.Sprint("s", i), Service: "desk", Zone: zone, Address: fmt.Sprintf("10.1.0.%d:1", i), Slots: 6})
				}
				f := newLoopFleet(48, servers)
				const quiet, length = 5_000, 15_000
				for number := range length {
					if versionEvery > 0 && number >= quiet/2 && number%versionEvery == 0 {
						for _, loop := range f.loops {
							loop.applyConfig(routes.Config{Version: int64(number)}, "store")
						}
					}
					rate, share := 40.0, 0.0
					if number >= quiet {
						rate, share = 300, 0.4
					}
					f.arrive(rate, share)
					f.step(number)
				}
				c.Assert(f.loops[0].presence.LiveCount(time.Now()), qt.Equals, len(f.loops)-1)
				c.Logf("%d of %d requests above the limit", f.overLimit, f.sent)
				c.Assert(f.overLimit*100 <= 3*f.sent, qt.IsTrue, qt.Commentf("%d of %d requests above the limit", f.overLimit, f.sent))
			})
		})
	}
}

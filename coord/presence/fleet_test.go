package presence_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/coord/presence"
)

// fleet is a set of routers whose messages arrive at once.
type fleet struct {
	states map[string]*presence.State
	selves map[string]presence.Record
	order  []string
	dead   map[string]bool
	now    time.Time
	// sent and records count messages and the records in them by sender.
	sent, records map[string]int
	due           map[string]time.Time
	// cut is true for messages that are lost; nil loses none.
	cut func(from, to string) bool
}

func newFleet(n int) *fleet {
	f := &fleet{
		states: map[string]*presence.State{}, selves: map[string]presence.Record{}, dead: map[string]bool{}, now: start,
		sent: map[string]int{}, records: map[string]int{}, due: map[string]time.Time{},
	}
	for i := range n {
		id := fmt.Sprint("r", i)
		r := presence.Record{
			ID: id, Zone: fmt.Sprint("z", i%3), Boot: 1, Peer: id, Control: id, Front: id, Ready: true, Contact: -1, Capacity: 0.4,
			Loads: map[presence.ServerKey]int{presence.ServerKey(i % 5): i%3 + 1},
		}
		f.order = append(f.order, id)
		f.selves[id] = r
		f.states[id] = presence.New(presence.DefaultSettings(), r)
	}
	return f
}

func (f *fleet) deliver(from string, s presence.Sending) {
	for _, to := range s.To {
		f.sent[from]++
		f.records[from] += len(s.Message.Records)
		state := f.states[to]
		if f.dead[to] || state == nil || to == from {
			continue
		}
		if f.cut != nil && f.cut(from, to) {
			continue
		}
		_, introduce := state.Receive(f.now, s.Message)
		for _, id := range introduce {
			f.deliver(to, state.Introduce(f.now, f.selves[to], id))
		}
	}
}

// run plays time in steps of 50 ms; each router sends when its interval has passed.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(50 * time.Millisecond) {
		for i, id := range f.order {
			if f.dead[id] || f.now.Before(f.due[id]) {
				continue
			}
			state, self := f.states[id], f.selves[id]
			state.Tick(f.now)
			self.Sequence++
			f.selves[id] = self
			for _, s := range state.Heartbeat(f.now, self) {
				f.deliver(id, s)
			}
			for _, seed := range f.order[:min(3, len(f.order))] {
				if seed != id && !state.Hears(f.now, seed) {
					f.deliver(id, presence.Sending{To: []string{seed}, Message: presence.Message{From: id, Records: []presence.Aged{{Record: self}}}})
				}
			}
			f.due[id] = f.now.Add(state.Interval() + time.Duration(i%4)*time.Millisecond)
		}
	}
}

// check asserts that each router knows the others and the sum of their loads.
func (f *fleet) check(c *qt.C) {
	live := 0
	total := map[presence.ServerKey]int{}
	for _, id := range f.order {
		if !f.dead[id] {
			live++
			for server, n := range f.selves[id].Loads {
				total[server] += n
			}
		}
	}
	for _, id := range f.order {
		if f.dead[id] {
			continue
		}
		self := f.selves[id]
		c.Assert(f.states[id].Live(f.now)+1, qt.Equals, live, qt.Commentf("routers known to %s", id))
		loads, _ := f.states[id].Load(f.now, self)
		for server, n := range total {
			c.Assert(loads[server]+self.Loads[server], qt.Equals, n, qt.Commentf("load of %d at %s", server, id))
		}
	}
}

// Guards against routers that know only some of the others and their load, when all start at once and know three seeds.
func TestFleet(t *testing.T) {
	for _, n := range []int{2, 8, 12, 13, 60, 100} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(n)
			f.run(6 * time.Second)
			f.check(c)
		})
	}
}

// Guards against a fleet that loses its view when the router of an availability zone that relays for the others dies, or all
// seeds do.
func TestFleetLosses(t *testing.T) {
	c := qt.New(t)
	f := newFleet(60)
	f.run(4 * time.Second)
	for _, id := range f.order[:20] {
		f.dead[id] = true
	}
	f.run(4 * time.Second)
	f.check(c)
}

// Guards against messages that grow with the square of the fleet: at 200 routers one sends on average at most as many records a
// second as in a mesh of 30.
func TestFleetTraffic(t *testing.T) {
	c := qt.New(t)
	f := newFleet(200)
	f.run(8 * time.Second)
	clear(f.sent)
	f.run(10 * time.Second)
	sum := 0
	for _, n := range f.sent {
		sum += n
	}
	perSecond := float64(sum) / 10 / 200
	c.Assert(perSecond <= 30, qt.IsTrue, qt.Commentf("%.1f messages a second and router", perSecond))
}

// Guards against availability zones that do not find each other again after they were cut off from each other, also when all seeds
// are gone by then.
func TestFleetZonesMeetAgain(t *testing.T) {
	for name, seedsGone := range map[string]bool{"with seeds": false, "without seeds": true} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(60)
			f.run(3 * time.Second)
			f.cut = func(from, to string) bool { return f.selves[from].Zone != f.selves[to].Zone }
			f.run(8 * time.Second)
			f.cut = nil
			for _, id := range f.order[:3] {
				f.dead[id] = seedsGone
			}
			f.run(6 * time.Second)
			f.check(c)
		})
	}
}

// Guards against a fleet that stays apart because the first messages after the start were lost.
func TestFleetLossyStart(t *testing.T) {
	c := qt.New(t)
	f := newFleet(60)
	random := rand.New(rand.NewPCG(1, 2))
	f.cut = func(string, string) bool { return random.Float64() < 0.5 }
	f.run(2 * time.Second)
	f.cut = nil
	f.run(6 * time.Second)
	f.check(c)
}

// Guards against news that waits until a lost hub is noticed: a router that was cut off with a part of the fleet, hubs among them,
// leaves the others with fresh records. News may take three seconds in all, and a second of it is the store's.
func TestFleetNewsWithLostHubs(t *testing.T) {
	for zone := range 3 {
		c := qt.New(t)
		f := newFleet(30)
		f.run(4 * time.Second)
		// The strongest routers of a zone are equal here; the first by hash is its hub.
		for lost := range 10 {
			id := fmt.Sprint("r", lost*3+zone)
			f.dead[id] = true
			news := fmt.Sprint("r", (zone+1)%3)
			self := f.selves[news]
			self.Config++
			f.selves[news] = self
			f.run(2 * time.Second)
			for _, at := range f.order {
				if f.dead[at] || at == news {
					continue
				}
				for _, m := range f.states[at].Members(f.now) {
					if m.ID == news {
						c.Assert(m.Config, qt.Equals, self.Config, qt.Commentf("at %s after the loss of %s", at, id))
					}
				}
			}
			f.dead[id] = false
			f.run(2 * time.Second)
		}
	}
}

// Guards against routers that stay unknown because they sent many heartbeats in their first second, as each change makes them do, and
// tell little in later ones.
func TestFleetStartsBusy(t *testing.T) {
	c := qt.New(t)
	f := newFleet(300)
	for _, id := range f.order {
		self := f.selves[id]
		self.Sequence = 41
		f.selves[id] = self
	}
	f.run(6 * time.Second)
	f.check(c)
}

// Guards against routers that take each other for lost again and again although no more than one in 50 messages is, in a fleet whose
// records pass two hubs.
func TestFleetSettles(t *testing.T) {
	for _, n := range []int{60, 300} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(n)
			f.run(8 * time.Second)
			random := rand.New(rand.NewPCG(1, 3))
			f.cut = func(string, string) bool { return random.IntN(50) == 0 }
			lost := 0
			for range 20 {
				f.run(500 * time.Millisecond)
				for _, id := range f.order[:20] {
					lost += n - 1 - f.states[id].Live(f.now)
				}
			}
			c.Assert(lost, qt.Equals, 0, qt.Commentf("routers that 20 others took for lost, in 20 looks"))
		})
	}
}

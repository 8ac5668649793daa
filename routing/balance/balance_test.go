package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/routing/balance"
	"hornbeamstep.example/routing/roster"
)

var start = time.Unix(1000, 0)

func servers(n, slots int) []roster.Server {
	var out []roster.Server
	for i := range n {
		out = append(out, roster.Server{ID: fmt.Sprint("s", i), Service: "pool", Address: fmt.Sprint("10.0.0.", i, ":1"), Slots: slots})
	}
	return out
}

func newBalancer(n, slots int) *balance.Balancer {
	b := balance.New(balance.DefaultSettings(), "r")
	b.SetServers(start, servers(n, slots))
	return b
}

// Guards against prompts that lose their cache: the same shared part has the same home on every router.
func TestHome(t *testing.T) {
	c := qt.New(t)
	x, y := newBalancer(9, 64), newBalancer(9, 64)
	for i := range 50 {
		a := balance.Ask{Service: "pool", Prompt: balance.Prompt("m", []string{"system", fmt.Sprint("doc", i), "own"})}
		c.Assert(x.Choose(start, a).Server.ID, qt.Equals, y.Choose(start, a).Server.ID)
	}
	same := balance.Prompt("m", []string{"a", "b", "x"})
	c.Assert(balance.Prompt("m", []string{"a", "b", "y"}), qt.DeepEquals, same)
	other := balance.Prompt("m", []string{"a", "c", "y"})
	c.Assert(other[0], qt.Not(qt.Equals), same[0])
	c.Assert(other[1], qt.Equals, same[1])
}

// Guards against an engine that carries more than the limit of 2 times the mean plus 3 because all requests share one prompt,
// with eight routers whose reports of each other are 300 ms old. The platform allows 3 in 100 requests above it.
func TestHotPrompt(t *testing.T) {
	c := qt.New(t)
	const routers, engines, rate, length = 8, 9, 110, 700
	fleet := make([]*balance.Balancer, routers)
	for i := range fleet {
		fleet[i] = balance.New(balance.DefaultSettings(), fmt.Sprint("r", i))
		fleet[i].SetServers(start, servers(engines, 64))
	}
	type running struct {
		router int
		server string
		until  time.Time
	}
	var requests []running
	loads := map[string]int{}
	random := rand.New(rand.NewPCG(1, 1))
	over, sent := 0, 0
	for ms := range 20_000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		kept := requests[:0]
		for _, r := range requests {
			if r.until.After(now) {
				kept = append(kept, r)
				continue
			}
			fleet[r.router].Finish(now, r.server, balance.Answered, length*time.Millisecond)
			loads[r.server]--
		}
		requests = kept
		if ms%300 == 0 {
			for i, b := range fleet {
				others := map[string]int{}
				for j, o := range fleet {
					if i != j {
						for id, n := range o.Own() {
							others[id] += n
						}
					}
				}
				b.SetOthers(others, routers, 300*time.Millisecond)
			}
		}
		if random.Float64() >= rate/1000.0 {
			continue
		}
		i := random.IntN(routers)
		choice := fleet[i].Choose(now, balance.Ask{Service: "pool", Prompt: []uint64{77}, Draw: random.Float64()})
		id := choice.Server.ID
		limit := 2*float64(len(requests))/engines + 3
		if sent++; float64(loads[id]+1) > limit {
			over++
		}
		fleet[i].Start(now, id)
		loads[id]++
		requests = append(requests, running{i, id, now.Add(length * time.Millisecond)})
	}
	c.Assert(over*100 <= 3*sent, qt.IsTrue, qt.Commentf("%d of %d requests above the limit", over, sent))
}

// Guards against a server above the load bound when one router sees all requests of one prompt.
func TestBound(t *testing.T) {
	c := qt.New(t)
	b := newBalancer(9, 64)
	for i := range 200 {
		choice := b.Choose(start, balance.Ask{Service: "pool", Prompt: []uint64{77}})
		c.Assert(float64(choice.Load+1) <= 2*float64(i)/9+3, qt.IsTrue, qt.Commentf("request %d at a load of %d", i, choice.Load))
		b.Start(start, choice.Server.ID)
	}
}

// Guards against a prompt that is computed again although a server that leaves has it.
func TestHolderSpilledAndLeaves(t *testing.T) {
	c := qt.New(t)
	b := newBalancer(3, 64)
	ask := balance.Ask{Service: "pool", Prompt: []uint64{77}}
	home := newBalancer(3, 64).Choose(start, ask).Server.ID
	for range 8 {
		b.Start(start, home)
	}
	spilled := b.Choose(start, ask)
	c.Assert(spilled.Server.ID, qt.Not(qt.Equals), home)
	for range 8 {
		b.Finish(start, home, balance.Answered, time.Second)
	}
	next := servers(3, 64)
	for i := range next {
		next[i].Leaving = next[i].ID == spilled.Server.ID
	}
	b.SetServers(start.Add(time.Minute), next)
	choice := b.Choose(start.Add(time.Minute), ask)
	c.Assert(choice.Server.ID, qt.Equals, home)
	c.Assert(choice.Holder.ID, qt.Equals, spilled.Server.ID)
}

// Guards against operators who are told that a server is used although it gets no requests.
func TestStates(t *testing.T) {
	c := qt.New(t)
	b := newBalancer(6, 6)
	b.Start(start, "s0")
	b.Failure(start, "s1", balance.Unreachable)
	b.Report(start.Add(time.Second), map[string]int{"s2": 2})
	for range 12 {
		b.Failure(start, "s3", balance.Failed)
	}
	next := servers(6, 6)
	next[4].Leaving = true
	b.SetServers(start, next)
	conditions := func(now time.Time) (out []balance.Condition) {
		for _, s := range b.States(now) {
			out = append(out, s.Condition)
		}
		return out
	}
	c.Assert(conditions(start), qt.DeepEquals, []balance.Condition{
		balance.Used, balance.Paused, balance.Reported, balance.Failing, balance.Leaving, balance.Used,
	})
	c.Assert(conditions(start.Add(2 * time.Second))[1:3], qt.DeepEquals, []balance.Condition{balance.OnTrial, balance.Used})
	c.Assert(b.States(start)[0].Own, qt.Equals, 1)
}

// Guards against requests that go on to a server which accepts no connection, and against its loss for good.
func TestUnreachable(t *testing.T) {
	c := qt.New(t)
	b := newBalancer(3, 6)
	b.Failure(start, "s0", balance.Unreachable)
	for i := range 20 {
		choice := b.Choose(start.Add(time.Duration(i)*time.Millisecond), balance.Ask{Service: "pool"})
		c.Assert(choice.Server.ID, qt.Not(qt.Equals), "s0")
		b.Start(start, choice.Server.ID)
	}
	later := start.Add(600 * time.Millisecond)
	c.Assert(b.Choose(later, balance.Ask{Service: "pool"}).Server.ID, qt.Equals, "s0")
	c.Assert(b.Choose(later, balance.Ask{Service: "pool"}).Server.ID, qt.Not(qt.Equals), "s0")
	b.Start(start, "s0")
	b.Finish(later, "s0", balance.Answered, time.Millisecond)
	c.Assert(b.Choose(later, balance.Ask{Service: "pool"}).Server.ID, qt.Equals, "s0")
}

// Guards against a service that is given up because every server failed once.
func TestAllPaused(t *testing.T) {
	c := qt.New(t)
	b := newBalancer(3, 6)
	for i := range 3 {
		b.Failure(start, fmt.Sprint("s", i), balance.Unreachable)
	}
	c.Assert(b.Choose(start, balance.Ask{Service: "pool"}).Reason, qt.Equals, balance.Least)
	c.Assert(b.Choose(start, balance.Ask{Service: "pool", Avoid: []string{"s0", "s1", "s2"}}).Reason, qt.Equals, balance.Nothing)
}

// Guards against a server that fails many requests and gets most of them because it is quick.
func TestFailing(t *testing.T) {
	c := qt.New(t)
	b := newBalancer(3, 6)
	for range 12 {
		b.Start(start, "s0")
		b.Finish(start, "s0", balance.Failed, time.Millisecond)
	}
	counts := map[string]int{}
	for range 12 {
		id := b.Choose(start, balance.Ask{Service: "pool"}).Server.ID
		b.Start(start, id)
		counts[id]++
	}
	c.Assert(2*counts["s0"] < min(counts["s1"], counts["s2"]), qt.IsTrue, qt.Commentf("%v", counts))
}

// Guards against new work for a server that leaves, and against state that outlives a restart under the same ID.
func TestLeavingAndRestart(t *testing.T) {
	c := qt.New(t)
	b := newBalancer(2, 6)
	list := servers(2, 6)
	list[0].Leaving = true
	b.SetServers(start, list)
	c.Assert(b.Choose(start, balance.Ask{Service: "pool"}).Server.ID, qt.Equals, "s1")
	b.Failure(start, "s1", balance.Unreachable)
	list[1].Born = 99
	b.SetServers(start, list)
	c.Assert(b.Paused(start), qt.HasLen, 0)
}

// Guards against requests that wait at a full service until their deadline instead of being refused at once.
func TestFull(t *testing.T) {
	c := qt.New(t)
	b := newBalancer(1, 2)
	b.Start(start, "s0")
	b.Finish(start, "s0", balance.Answered, 100*time.Millisecond)
	for range 12 {
		b.Start(start, "s0")
	}
	choice := b.Choose(start, balance.Ask{Service: "pool", Left: 300 * time.Millisecond})
	c.Assert(choice.Reason, qt.Equals, balance.Full)
	c.Assert(choice.Wait, qt.Equals, 550*time.Millisecond)
	c.Assert(choice.RetryAfter(), qt.Equals, 0.55)
	c.Assert(b.Choose(start, balance.Ask{Service: "pool", Left: time.Second}).Server.ID, qt.Equals, "s0")
}

// Guards against a shared prompt that is computed again on a server which joins or takes what its home cannot.
func TestHolder(t *testing.T) {
	c := qt.New(t)
	b := newBalancer(8, 64)
	home := map[uint64]string{}
	for i := range 100 {
		a := balance.Ask{Service: "pool", Prompt: balance.Prompt("m", []string{fmt.Sprint("doc", i), "own"})}
		choice := b.Choose(start, a)
		c.Assert(choice.Holder.ID, qt.Equals, "")
		home[a.Prompt[0]] = choice.Server.ID
	}
	later := start.Add(time.Minute)
	b.SetServers(later, servers(9, 64))
	moved := 0
	for affinity, old := range home {
		a := balance.Ask{Service: "pool", Prompt: []uint64{affinity}}
		choice := b.Choose(later, a)
		if choice.Server.ID != "s8" {
			c.Assert(choice.Holder.ID, qt.Equals, "")
			continue
		}
		moved++
		c.Assert(choice.Holder.ID, qt.Equals, old)
		c.Assert(b.Choose(later, a).Holder.ID, qt.Equals, "", qt.Commentf("the second request of the prompt"))
		a.Avoid = []string{"s8"}
		c.Assert(b.Choose(later, a).Holder.ID, qt.Equals, "", qt.Commentf("the earlier home still has it"))
	}
	c.Assert(moved > 0, qt.IsTrue)
	for affinity, old := range home {
		for range 10 {
			b.Start(start, old)
		}
		choice := b.Choose(later, balance.Ask{Service: "pool", Prompt: []uint64{affinity}, Avoid: []string{"s8"}})
		c.Assert(choice.Reason, qt.Equals, balance.Spilled)
		c.Assert(choice.Holder.ID, qt.Equals, old)
		break
	}
}

// Guards against shared prompts that are computed again when their home leaves.
func TestHolderLeaves(t *testing.T) {
	c := qt.New(t)
	b := newBalancer(8, 64)
	list := servers(8, 64)
	list[3].Leaving = true
	homes := newBalancer(8, 64)
	b.SetServers(start, list)
	moved := 0
	for i := range 100 {
		a := balance.Ask{Service: "pool", Prompt: balance.Prompt("m", []string{fmt.Sprint("doc", i), "own"})}
		choice := b.Choose(start, a)
		c.Assert(choice.Server.ID, qt.Not(qt.Equals), "s3")
		if homes.Choose(start, a).Server.ID == "s3" {
			moved++
			c.Assert(choice.Holder.ID, qt.Equals, "s3")
		} else {
			c.Assert(choice.Holder.ID, qt.Equals, "")
		}
	}
	c.Assert(moved > 0, qt.IsTrue)
}

// Guards against routers that all send short requests to the server which had the least load when they last heard of it: 60 routers
// with reports 600 ms old and servers that refuse beyond 30 requests. The load is 0.56 of what the servers can do.
func TestShortRequests(t *testing.T) {
	c := qt.New(t)
	const routers, rate, length, slots, queue = 60, 335, 30, 6, 24
	fleet := make([]*balance.Balancer, routers)
	for i := range fleet {
		fleet[i] = balance.New(balance.DefaultSettings(), fmt.Sprint("r", i))
		list := servers(3, slots)
		for j := range list {
			list[j].Zone = fmt.Sprint("z", j)
		}
		fleet[i].SetServers(start, list)
	}
	type running struct {
		router int
		server string
		until  time.Time
	}
	var requests []running
	loads := map[string]int{}
	random := rand.New(rand.NewPCG(1, 1))
	refused, sent := 0, 0
	reports := make([]map[string]int, routers)
	for ms := range 10_000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		kept := requests[:0]
		for _, r := range requests {
			if r.until.After(now) {
				kept = append(kept, r)
				continue
			}
			fleet[r.router].Finish(now, r.server, balance.Answered, length*time.Millisecond)
			loads[r.server]--
		}
		requests = kept
		if ms%300 == 0 {
			for i, b := range fleet {
				if reports[i] != nil {
					b.SetOthers(reports[i], routers, 600*time.Millisecond)
				}
				reports[i] = map[string]int{}
				for j, o := range fleet {
					if i != j {
						for id, n := range o.Own() {
							reports[i][id] += n
						}
					}
				}
			}
		}
		if random.Float64() >= rate/1000.0 {
			continue
		}
		i := random.IntN(routers)
		id := fleet[i].Choose(now, balance.Ask{Service: "pool", Zone: fmt.Sprint("z", i%3), Draw: random.Float64()}).Server.ID
		fleet[i].Start(now, id)
		if sent++; loads[id] >= slots+queue {
			refused++
			fleet[i].Finish(now, id, balance.Refused, 0)
			continue
		}
		// Requests beyond the slots wait their turn.
		wait := time.Duration(max(0, loads[id]-slots+1)*length/slots) * time.Millisecond
		loads[id]++
		requests = append(requests, running{i, id, now.Add(wait + length*time.Millisecond)})
	}
	c.Assert(refused, qt.Equals, 0, qt.Commentf("of %d", sent))
}

// Guards against shared prompts that are computed again because several servers joined one after another: the last home is asked for
// them, by a router that did not send it any.
func TestHolderChain(t *testing.T) {
	c := qt.New(t)
	b, steps := newBalancer(8, 64), newBalancer(8, 64)
	ask := func(i int) balance.Ask {
		return balance.Ask{Service: "pool", Prompt: balance.Prompt("m", []string{fmt.Sprint("doc", i), "own"})}
	}
	last := map[int]string{}
	for n := 8; n <= 11; n++ {
		now := start.Add(time.Duration(n) * 3 * time.Second)
		b.SetServers(now, servers(n, 64))
		steps.SetServers(now, servers(n, 64))
		if n < 11 {
			for i := range 200 {
				last[i] = steps.Choose(now.Add(2*time.Second), ask(i)).Server.ID
			}
		}
	}
	moved := 0
	for i, home := range last {
		choice := b.Choose(start.Add(35*time.Second), ask(i))
		if choice.Server.ID == "s10" {
			moved++
			c.Assert(choice.Holder.ID, qt.Equals, home)
		}
	}
	c.Assert(moved > 0, qt.IsTrue)
}

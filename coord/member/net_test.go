package member_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"hornbeamstep.example/coord/member"
)

// network simulates a network of routers in virtual time.
type network struct {
	now   time.Time
	start time.Time
	// bootSkew is the error of the clocks from which new processes take their boot IDs.
	bootSkew time.Duration
	rnd      *rand.Rand
	events   events
	lastSeq  int
	nodes    []*node
	byAddr   map[string]*node
	// drops reports whether a message from one node to another is lost.
	drops func(from, to *node) bool
}

type node struct {
	*member.State
	self   member.Member
	dead   bool
	paused bool
	// superseded is true once the node reported that a newer process has its ID.
	superseded bool
	// removed counts, for each member, how often this node set its status to removed.
	removed map[string]int
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || (e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	popped := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return popped
}

func newNetwork(seed uint64) *network {
	start := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	return &network{
		now: start, start: start, rnd: rand.New(rand.NewPCG(seed, 1)), byAddr: map[string]*node{},
		drops: func(_, _ *node) bool { return false },
	}
}

func (n *network) schedule(d time.Duration, run func()) {
	n.lastSeq++
	heap.Push(&n.events, event{n.now.Add(d), n.lastSeq, run})
}

// latency returns a random latency of 1 to 5 ms, and 20 ms more between regions.
func (n *network) latency(a, b *node) time.Duration {
	d := time.Millisecond + time.Duration(n.rnd.Int64N(int64(4*time.Millisecond)))
	if a.self.Region != b.self.Region {
		d += 20 * time.Millisecond
	}
	return d
}

func (n *network) run(d time.Duration) {
	end := n.now.Add(d)
	for len(n.events) > 0 && !n.events[0].at.After(end) {
		e := heap.Pop(&n.events).(event)
		n.now = e.at
		e.run()
	}
	n.now = end
}

// add starts a router that knows the given instance list.
func (n *network) add(i int, list []member.Instance) *node {
	zone := i % 7
	x := &node{removed: map[string]int{}, self: member.Member{
		ID: fmt.Sprintf("r%03d", i), Boot: uint64(n.now.Add(n.bootSkew).UnixMilli()), Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
		Zone: fmt.Sprint("z", zone), Region: fmt.Sprint("g", zone%3),
	}}
	x.State = member.New(member.Config{Self: x.self}, n.now, rand.New(rand.NewPCG(uint64(i), n.rnd.Uint64())))
	x.UpdateInstances(n.now, list)
	n.nodes = append(n.nodes, x)
	n.byAddr[x.self.Address] = x
	n.tick(x)
	return x
}

func (n *network) addFleet(size int) []member.Instance {
	var list []member.Instance
	for i := range size {
		list = append(list, member.Instance{Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250)})
	}
	for i := range size {
		n.add(i, list)
	}
	return list
}

func (n *network) tick(x *node) {
	if x.dead {
		return
	}
	if !x.paused {
		n.perform(x, x.Tick(n.now))
	}
	n.schedule(100*time.Millisecond, func() { n.tick(x) })
}

// call sends a request to the node at an address. handle runs when the request arrives and returns
// the function that runs when the response arrives at the sender. A lost message ends the call. If
// no router is running at the address, refused runs instead.
func (n *network) call(from *node, address string, handle func(to *node) (back func()), refused func()) {
	to := n.byAddr[address]
	if to == nil || to.dead {
		n.schedule(5*time.Millisecond, refused)
		return
	}
	if n.drops(from, to) {
		return
	}
	n.schedule(n.latency(from, to), func() {
		if to.dead || to.paused {
			return
		}
		back := handle(to)
		if n.drops(to, from) {
			return
		}
		n.schedule(n.latency(to, from), func() {
			if !from.dead && !from.paused {
				back()
			}
		})
	})
}

func (n *network) perform(x *node, actions []member.Action) {
	for _, a := range actions {
		switch a.Kind {
		case member.SendPing:
			n.ping(x, a.To.Address, a.Ping, func(ack member.Ack) { n.perform(x, x.HandleAck(n.now, a.Seq, ack)) },
				func() { n.perform(x, x.HandlePingFailure(n.now, a.Seq)) })
		case member.SendProbe:
			n.call(x, a.To.Address, func(helper *node) func() {
				// The helper responds at once that it has not reached the target, and reports a
				// success later. So reached stays false.
				reached := false
				n.ping(helper, a.Target.Address, helper.ProbePing(n.now, a.Target), func(ack member.Ack) {
					if ack.From.ID == a.Target.ID && ack.From.Boot == a.Target.Boot && !n.drops(helper, x) {
						n.schedule(n.latency(helper, x), func() { x.HandleProbeResult(n.now, a.Seq, true) })
					}
				}, func() {})
				return func() { x.HandleProbeResult(n.now, a.Seq, reached) }
			}, func() {})
		case member.SendSync:
			n.call(x, a.To.Address, func(to *node) func() {
				reply, more := to.HandleSync(n.now, a.Sync)
				n.perform(to, more)
				return func() {
					if len(a.Sync.Digests) > 0 {
						n.perform(x, x.HandleSyncReply(n.now, a.To, reply))
					}
				}
			}, func() {})
		case member.StatusChanged:
			if a.To.Status == member.Removed {
				x.removed[a.To.ID]++
			}
		case member.Superseded:
			x.superseded = true
		}
	}
}

func (n *network) ping(x *node, address string, p member.Ping, acked func(member.Ack), refused func()) {
	n.call(x, address, func(to *node) func() {
		ack, more := to.HandlePing(n.now, p)
		n.perform(to, more)
		return func() { acked(ack) }
	}, refused)
}

// runUntil runs the network until all nodes that are neither dead nor paused meet a condition. It
// returns the virtual time that this took, or -1 if the limit is reached.
func (n *network) runUntil(limit time.Duration, condition func(x *node, v *member.View) bool) time.Duration {
	start := n.now
	for n.now.Sub(start) < limit {
		n.run(100 * time.Millisecond)
		all := true
		for _, x := range n.nodes {
			if !x.dead && !x.paused && !condition(x, x.View(n.now)) {
				all = false
				break
			}
		}
		if all {
			return n.now.Sub(start)
		}
	}
	return -1
}

// aliveNodes returns the number of nodes that are not dead. Paused nodes count.
func (n *network) aliveNodes() int {
	count := 0
	for _, x := range n.nodes {
		if !x.dead {
			count++
		}
	}
	return count
}

// converged reports whether a view is trusted, has as many members as there are alive nodes, and
// contains no suspect members.
func (n *network) converged(_ *node, v *member.View) bool {
	return v.Trusted && len(v.Members) == n.aliveNodes() && !hasSuspect(v)
}

func hasSuspect(v *member.View) bool {
	for _, m := range v.Members {
		if m.Status == member.Suspect {
			return true
		}
	}
	return false
}

package member_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"hornbeamstep.example/coord/member"
)

// network delivers the messages of many states in virtual time.
type network struct {
	now   time.Time
	start time.Time
	// skew is how far the clocks are off by which processes take their boot ids.
	skew   time.Duration
	rnd    *rand.Rand
	events events
	count  int
	nodes  []*node
	byAddr map[string]*node
	// down says whether a message between two nodes is lost.
	down func(from, to *node) bool
}

type node struct {
	*member.State
	self   member.Member
	dead   bool
	paused bool
	gone   bool
	// changes counts status changes to removed that this node saw.
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
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newNetwork(seed uint64) *network {
	start := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	return &network{
		now: start, start: start, rnd: rand.New(rand.NewPCG(seed, 1)), byAddr: map[string]*node{},
		down: func(_, _ *node) bool { return false },
	}
}

func (n *network) at(d time.Duration, run func()) {
	n.count++
	heap.Push(&n.events, event{n.now.Add(d), n.count, run})
}

// latency is 1 to 5 ms, and 20 ms more between regions.
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

// start adds a router that knows the given instance list.
func (n *network) add(i int, list []member.Instance) *node {
	zone := i % 7
	x := &node{removed: map[string]int{}, self: member.Member{
		ID: fmt.Sprintf("r%03d", i), Boot: uint64(n.now.Add(n.skew).UnixMilli()), Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
		Zone: fmt.Sprint("z", zone), Region: fmt.Sprint("g", zone%3),
	}}
	x.State = member.New(member.Config{Self: x.self}, n.now, rand.New(rand.NewPCG(uint64(i), n.rnd.Uint64())))
	x.Listed(n.now, list)
	n.nodes = append(n.nodes, x)
	n.byAddr[x.self.Address] = x
	n.tick(x)
	return x
}

func (n *network) fleet(size int) []member.Instance {
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
		n.do(x, x.Tick(n.now))
	}
	n.at(100*time.Millisecond, func() { n.tick(x) })
}

// call runs handle at the receiver and back at the sender unless a message is lost; refused runs where nobody listens.
func (n *network) call(from *node, address string, handle func(to *node) (back func()), refused func()) {
	to := n.byAddr[address]
	if to == nil || to.dead {
		n.at(5*time.Millisecond, refused)
		return
	}
	if n.down(from, to) {
		return
	}
	n.at(n.latency(from, to), func() {
		if to.dead || to.paused {
			return
		}
		back := handle(to)
		if n.down(to, from) {
			return
		}
		n.at(n.latency(to, from), func() {
			if !from.dead && !from.paused {
				back()
			}
		})
	})
}

func (n *network) do(x *node, actions []member.Action) {
	for _, a := range actions {
		switch a.Kind {
		case member.SendPing:
			n.ping(x, a.To.Address, a.Ping, func(k member.Ack) { n.do(x, x.Acked(n.now, a.Seq, k)) },
				func() { n.do(x, x.Failed(n.now, a.Seq)) })
		case member.SendProbe:
			n.call(x, a.To.Address, func(helper *node) func() {
				reached := false
				n.ping(helper, a.Target.Address, helper.Relay(n.now, a.Target), func(k member.Ack) {
					if k.From.ID == a.Target.ID && k.From.Boot == a.Target.Boot && !n.down(helper, x) {
						n.at(n.latency(helper, x), func() { x.Probed(n.now, a.Seq, true) })
					}
				}, func() {})
				return func() { x.Probed(n.now, a.Seq, reached) }
			}, func() {})
		case member.SendSync:
			n.call(x, a.To.Address, func(to *node) func() {
				reply, more := to.HandleSync(n.now, a.Sync)
				n.do(to, more)
				return func() {
					if len(a.Sync.Digests) > 0 {
						n.do(x, x.Synced(n.now, a.To, reply))
					}
				}
			}, func() {})
		case member.Changed:
			if a.To.Status == member.Removed {
				x.removed[a.To.ID]++
			}
		case member.Superseded:
			x.gone = true
		}
	}
}

func (n *network) ping(x *node, address string, p member.Ping, acked func(member.Ack), refused func()) {
	n.call(x, address, func(to *node) func() {
		ack, more := to.HandlePing(n.now, p)
		n.do(to, more)
		return func() { acked(ack) }
	}, refused)
}

// until runs until every running node meets a condition and returns how long that took, or -1 after the limit.
func (n *network) until(limit time.Duration, met func(x *node, v *member.View) bool) time.Duration {
	start := n.now
	for n.now.Sub(start) < limit {
		n.run(100 * time.Millisecond)
		all := true
		for _, x := range n.nodes {
			if !x.dead && !x.paused && !met(x, x.View(n.now)) {
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

func (n *network) live() int {
	live := 0
	for _, x := range n.nodes {
		if !x.dead {
			live++
		}
	}
	return live
}

// complete is true for a trusted view of exactly the running nodes.
func (n *network) complete(_ *node, v *member.View) bool {
	return v.Trusted && len(v.Members) == n.live() && !hasSuspect(v)
}

func hasSuspect(v *member.View) bool {
	for _, m := range v.Members {
		if m.Status == member.Suspect {
			return true
		}
	}
	return false
}

package control

import (
	"slices"
	"time"

	"hornbeamstep.example/coord/decision"
	"hornbeamstep.example/coord/member"
)

// Leaving follows an operator's order to drain a backend server through a fleet in virtual time, while messages are lost, an
// availability zone is cut off from the others but not from the object API, one router's process is paused and three routers restart.
// The members, the merge, the digests and the gate are those of the daemon; the spread of notices and the looks at the object API are
// modelled after hornbeamd/peer and hornbeamd/daemon.
type Leaving struct {
	Routers int
	Seed    uint64
	// Loss is the share of the messages between routers, and of the calls to the object API, that are lost.
	Loss float64
	// NoDigests, NoObjects and NoGate take a part away: the pull of what differs, the looks at the object API, and the check
	// after a pause.
	NoDigests, NoObjects, NoGate bool
}

// LeavingResult is what became of the order.
type LeavingResult struct {
	// Late are the routers that were ready to give new work to the leaving backend server 5 s after the order or later, in order.
	Late []string
	// Last is the time from the order to the last moment at which a router was ready to give it new work.
	Last time.Duration
	// Known is the number of routers that know the order at the end.
	Known int
}

const (
	leavingServer = "worker-7"
	// leavingLimit is invariant 5 of the design page.
	leavingLimit = 5 * time.Second
	// settle is the time before the order, and watched the time after it.
	settle, watched = 20 * time.Second, 25 * time.Second
	// pausedFor starts 1 s before the order, so that the process misses every message about it.
	pausedFor = 20 * time.Second
	cutZone   = "zone-2"
	// told bounds the routers that are told directly, as in hornbeamd/peer; asked are those that are asked at once.
	told, asked = 64, 3
	// again is how often a relay tells a router of its availability zone that does not answer.
	again = 3
	// retry is the time between two tries to write or read an object.
	retry = 200 * time.Millisecond
	// restoreWait is how long a starting router waits for what was agreed on before.
	restoreWait = 5 * time.Second
)

// leaving is the state of the run.
type leaving struct {
	*Leaving
	ordered time.Time
	// faulty is true once messages are lost.
	faulty bool
	stored *decision.Set
	result LeavingResult
}

// orderNode is what one router knows.
type orderNode struct {
	set  *decision.Set
	gate *decision.PauseDetector
	// ready is true once the router takes requests.
	ready bool
	// told is true once the router has passed the notice on.
	told bool
	// look is when a relay looks at the object API next.
	look time.Time
	// pulling and asking are true while an exchange runs.
	pulling, asking bool
}

func newOrderNode(ready bool) orderNode {
	return orderNode{set: decision.NewSet(), gate: &decision.PauseDetector{Gap: member.DefaultPauseThreshold}, ready: ready}
}

// Run follows the order. The result depends on the fields only.
func (l *Leaving) Run() (LeavingResult, error) {
	w := newWorld(&Virtual{Routers: l.Routers, Seed: l.Seed})
	for _, n := range w.nodes {
		n.order = newOrderNode(true)
	}
	s := &leaving{Leaving: l, stored: decision.NewSet()}
	w.leaving, w.engines, w.pools = s, nil, nil
	w.run(settle)
	s.ordered, s.faulty = w.now.Add(time.Second), true
	paused := w.nodes[zones]
	paused.resumes = w.now.Add(pausedFor)
	w.later(pausedFor, func() { s.check(w) })
	w.run(time.Second)
	s.order(w, w.nodes[1])
	for i := range 3 {
		n := w.nodes[3*zones+i]
		w.restart(3*zones + i)
		n.order = newOrderNode(false)
		s.restore(w, n, w.now.Add(restoreWait))
	}
	for at := time.Duration(0); at < watched; at += 100 * time.Millisecond {
		w.later(at, func() { s.check(w) })
	}
	w.run(watched)
	for _, n := range w.nodes {
		if n.drained() {
			s.result.Known++
		}
	}
	return s.result, w.err
}

func (n *virtualNode) drained() bool {
	r, _ := n.order.set.Get(decision.Drain, leavingServer)
	return r.InForce()
}

// order takes the operator's order at a router.
func (s *leaving) order(w *world, n *virtualNode) {
	r := n.order.set.Decide(w.now, decision.Drain, leavingServer, true, "fan")
	for i, m := range n.view.Members {
		if to := w.byAddress[m.Address]; i < told && to != n {
			w.carry(n, to, func() { s.notice(w, to, r) })
		}
	}
	s.notice(w, n, r)
	s.write(w, n)
}

// notice passes the order on to the peers once.
func (s *leaving) notice(w *world, n *virtualNode, r decision.Record) {
	n.order.set.Merge(w.now, []decision.Record{r})
	if n.order.told {
		return
	}
	n.order.told = true
	for _, id := range n.members.Peers() {
		if m, ok := n.members.View(w.now).Find(id); ok {
			to := w.byAddress[m.Address]
			w.carry(n, to, func() { s.notice(w, to, r) })
		}
	}
}

// call makes a call to the object API, which reaches every zone.
func (s *leaving) call(w *world, n *virtualNode, then func()) bool {
	if s.NoObjects || s.faulty && w.rnd.Float64() < s.Loss {
		return false
	}
	w.later(5*time.Millisecond, func() { w.awake(n, then) })
	return true
}

func (s *leaving) write(w *world, n *virtualNode) {
	if !s.call(w, n, func() { s.stored.Merge(w.now, n.order.set.Records(decision.Drain)) }) {
		w.later(retry, func() { s.write(w, n) })
	}
}

// tick is the part of a router that runs every 100 ms.
func (s *leaving) tick(w *world, n *virtualNode) {
	n.order.gate.Beat(w.now)
	if n.owners.IsRelay() && !w.now.Before(n.order.look) {
		n.order.look = w.now.Add(decision.DrainPollInterval/2 + time.Duration(w.rnd.Int64N(int64(decision.DrainPollInterval))))
		s.call(w, n, func() { s.looked(w, n) })
	}
	if !n.order.gate.Fresh(w.now) && !n.order.asking {
		s.confirm(w, n)
	}
}

// looked takes what a relay read, and tells its availability zone of what is new.
func (s *leaving) looked(w *world, n *virtualNode) {
	for _, c := range n.order.set.Merge(w.now, s.stored.Records(decision.Drain)) {
		for _, m := range n.members.View(w.now).Members {
			if to := w.byAddress[m.Address]; m.Zone == n.self.Zone && to != n {
				s.tell(w, n, to, c.Record, again)
			}
		}
	}
}

// tell sends a notice until it is answered.
func (s *leaving) tell(w *world, n, to *virtualNode, r decision.Record, tries int) {
	answered := false
	w.carry(n, to, func() {
		s.notice(w, to, r)
		w.carry(to, n, func() { answered = true })
	})
	w.later(2*retry, func() {
		if !answered && tries > 1 {
			s.tell(w, n, to, r, tries-1)
		}
	})
}

// confirm asks the object API and a few routers what was decided during a pause.
func (s *leaving) confirm(w *world, n *virtualNode) {
	n.order.asking = true
	begun := w.now
	heard := func() { n.order.gate.MarkFresh(begun) }
	s.call(w, n, func() {
		n.order.set.Merge(w.now, s.stored.Records(decision.Drain))
		heard()
	})
	for range asked {
		s.pull(w, n, s.other(w, n), heard)
	}
	w.later(retry, func() { n.order.asking = false })
}

// restore takes over what was agreed on before a start.
func (s *leaving) restore(w *world, n *virtualNode, end time.Time) {
	if n.order.ready {
		return
	}
	if !w.now.Before(end) {
		n.order.ready = true
		return
	}
	s.call(w, n, func() {
		n.order.set.Merge(w.now, s.stored.Records(decision.Drain))
		n.order.ready = true
	})
	if to := s.other(w, n); to != nil && to.order.ready {
		s.pull(w, n, to, func() { n.order.ready = true })
	}
	w.later(retry, func() { s.restore(w, n, end) })
}

func (s *leaving) other(w *world, n *virtualNode) *virtualNode {
	members := n.members.View(w.now).Members
	to := w.byAddress[members[w.rnd.IntN(len(members))].Address]
	if to == n {
		return nil
	}
	return to
}

// pull takes over what another router knows.
func (s *leaving) pull(w *world, n, to *virtualNode, then func()) {
	if to == nil {
		return
	}
	digests := n.order.set.Digests()
	w.carry(n, to, func() {
		records := to.order.set.Differing(digests[:])
		w.carry(to, n, func() {
			n.order.set.Merge(w.now, records)
			then()
		})
	})
}

func (w *world) digest(n *virtualNode) uint64 {
	if w.leaving == nil {
		return 0
	}
	return n.order.set.Digest()
}

// differs pulls from a router whose ping had another digest.
func (w *world) differs(n, from *virtualNode, digest uint64) {
	s := w.leaving
	if s == nil || s.NoDigests || n.order.pulling || digest == n.order.set.Digest() {
		return
	}
	n.order.pulling = true
	s.pull(w, n, from, func() {})
	w.later(2*retry, func() { n.order.pulling = false })
}

// probe asks a helper to ping a member.
func (w *world) probe(n, helper *virtualNode, a member.Action) {
	members := n.members
	target := w.byAddress[a.Target.Address]
	w.carry(n, helper, func() {
		w.carry(helper, target, func() {
			w.carry(target, helper, func() {
				w.carry(helper, n, func() {
					if n.members == members {
						n.members.HandleProbeResult(w.now, a.Seq, target.self.Boot == a.Target.Boot)
					}
				})
			})
		})
	})
}

// lost decides on a message.
func (s *leaving) lost(w *world, from, to *virtualNode) bool {
	if !s.faulty {
		return false
	}
	cut := (from.self.Zone == cutZone) != (to.self.Zone == cutZone)
	return cut || w.rnd.Float64() < s.Loss
}

// check finds the routers that would give new work to the leaving backend server now.
func (s *leaving) check(w *world) {
	age := w.now.Sub(s.ordered)
	for _, n := range w.nodes {
		paused := n.resumes.After(w.now)
		stale := !s.NoGate && !n.order.gate.Fresh(w.now)
		if age < 0 || paused || !n.order.ready || stale || n.drained() {
			continue
		}
		s.result.Last = max(s.result.Last, age)
		if age >= leavingLimit && !slices.Contains(s.result.Late, n.self.ID) {
			s.result.Late = append(s.result.Late, n.self.ID)
		}
	}
}

// pingWithOrders sends a ping and its answer with the digests of the orders, and fails it if the answer is late.
func (w *world) pingWithOrders(n, to *virtualNode, a member.Action) {
	answered, members := false, n.members
	digest := w.digest(n)
	w.send(n, to, a.Ping, func() {
		ack, more := to.members.HandlePing(w.now, a.Ping)
		w.do(to, more)
		w.differs(to, n, digest)
		own := w.digest(to)
		w.send(to, n, ack, func() {
			if n.members != members || answered {
				return
			}
			answered = true
			w.do(n, n.members.HandleAck(w.now, a.Seq, ack))
			w.differs(n, to, own)
		})
	})
	w.later(member.DefaultPingTimeout, func() {
		w.awake(n, func() {
			if n.members == members && !answered {
				answered = true
				w.do(n, n.members.HandlePingFailure(w.now, a.Seq))
			}
		})
	})
}

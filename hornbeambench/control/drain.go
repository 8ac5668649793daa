package control

import (
	"slices"
	"time"

	"hornbeamstep.example/coord/decision"
	"hornbeamstep.example/coord/member"
)

// DrainSimulation simulates in virtual time how an operator's decision to drain a backend server
// spreads through a fleet. Meanwhile, messages are lost, an availability zone is cut off from the
// others but not from the object API, the process of one router is paused, and three routers
// restart.
//
// The membership, the pause detector, and the record set with its merge and digests are those of
// the daemon. The forwarding of notices and the polling of the object API are modelled after
// hornbeamd/peer and hornbeamd/daemon.
type DrainSimulation struct {
	Routers int
	Seed    uint64
	// LossRatio is the probability that a message between routers or a call to the object API is lost.
	LossRatio float64
	// NoDigests, NoObjectAPI and NoPauseCheck each disable one mechanism. Without digests, a router
	// does not pull records from a peer whose digest differs. Without the object API, all calls to it
	// fail. Without the pause check, a router sends new work after a pause before it has refreshed its
	// records.
	NoDigests, NoObjectAPI, NoPauseCheck bool
}

// DrainResult is the result of a DrainSimulation.
type DrainResult struct {
	// LateRouters holds the IDs of the routers that would have sent new work to the drained backend
	// server at least drainLimit after the decision, in the order of detection.
	LateRouters []string
	// MaxDelay is the time from the decision to the last check in which a router would have sent new
	// work to the backend server.
	MaxDelay time.Duration
	// InformedRouters is the number of routers that know of the decision at the end.
	InformedRouters int
}

const (
	drainedServer = "worker-7"
	// drainLimit is the maximum time until no router sends new work to a drained backend server
	// (invariant 5 of docs/design.md).
	drainLimit = 5 * time.Second
	// settleDuration is simulated before the faults begin, 1 s before the decision. observedDuration
	// is simulated after the decision.
	settleDuration, observedDuration = 20 * time.Second, 25 * time.Second
	// pauseDuration is the length of the pause of one router, which begins 1 s before the decision.
	// The router handles no message about the decision until its process resumes.
	pauseDuration = 20 * time.Second
	isolatedZone  = "zone-2"
	// maxDirectNotices is the maximum number of routers that the deciding router notifies directly; it
	// equals maxDirectCalls in hornbeamd/peer. refreshSources is the number of routers that a router
	// queries in parallel after a pause.
	maxDirectNotices, refreshSources = 64, 3
	// maxZoneNoticeAttempts is the maximum number of times that a relay sends a notice to a router of
	// its availability zone.
	maxZoneNoticeAttempts = 3
	// retryInterval is the interval between attempts to write or read an object.
	retryInterval = 200 * time.Millisecond
	// restoreTimeout is how long a starting router waits for the decisions that were made before its
	// start. It accepts requests afterwards even if it has received none.
	restoreTimeout = 5 * time.Second
)

// drainRun is the state of a run of a DrainSimulation.
type drainRun struct {
	*DrainSimulation
	decidedAt time.Time
	// faultsActive is true once messages can be lost and isolatedZone is cut off.
	faultsActive bool
	// stored holds the records in the object API.
	stored *decision.Set
	result DrainResult
}

// drainState is what one router knows of the decision.
type drainState struct {
	records       *decision.Set
	pauseDetector *decision.PauseDetector
	// ready is true once the router accepts requests.
	ready bool
	// forwarded is true once the router has forwarded the notice of the decision to its peers.
	forwarded bool
	// nextPoll is when a relay next polls the object API.
	nextPoll time.Time
	// pulling and refreshing are true for a time after such an exchange has begun, so that the router
	// does not begin another one.
	pulling, refreshing bool
}

func newDrainState(ready bool) drainState {
	return drainState{records: decision.NewSet(), pauseDetector: &decision.PauseDetector{MaxGap: member.DefaultPauseThreshold}, ready: ready}
}

// Run runs the simulation. The same fields give the same result.
func (d *DrainSimulation) Run() (DrainResult, error) {
	sim := newSimulation(&TrafficSimulation{Routers: d.Routers, Seed: d.Seed})
	for _, n := range sim.nodes {
		n.drain = newDrainState(true)
	}
	run := &drainRun{DrainSimulation: d, stored: decision.NewSet()}
	// Only the relays matter here, so there are no engines and pools to assign.
	sim.drainRun, sim.engines, sim.pools = run, nil, nil
	sim.run(settleDuration)
	run.decidedAt, run.faultsActive = sim.now.Add(time.Second), true
	// Router i is in zone i%zones (see zoneName): the paused router is in zone-0, the deciding router
	// in zone-1, and the restarted routers are in zone-0, zone-1 and the isolated zone-2.
	paused := sim.nodes[zones]
	paused.pausedUntil = sim.now.Add(pauseDuration)
	// This check runs when the paused router resumes, before it handles the waiting messages.
	sim.after(pauseDuration, func() { run.check(sim) })
	sim.run(time.Second)
	run.decide(sim, sim.nodes[1])
	for i := range 3 {
		n := sim.nodes[3*zones+i]
		sim.restart(3*zones + i)
		n.drain = newDrainState(false)
		run.restore(sim, n, sim.now.Add(restoreTimeout))
	}
	for at := time.Duration(0); at < observedDuration; at += 100 * time.Millisecond {
		sim.after(at, func() { run.check(sim) })
	}
	sim.run(observedDuration)
	for _, n := range sim.nodes {
		if n.knowsDecision() {
			run.result.InformedRouters++
		}
	}
	return run.result, sim.err
}

func (n *virtualNode) knowsDecision() bool {
	record, _ := n.drain.records.Get(decision.Drain, drainedServer)
	return record.IsActive()
}

// decide makes a router record the operator's decision, notify other routers, and write the
// decision to the object API.
func (r *drainRun) decide(sim *simulation, n *virtualNode) {
	record := n.drain.records.Decide(sim.now, decision.Drain, drainedServer, true, "fan")
	for i, m := range n.view.Members {
		if to := sim.byAddress[m.Address]; i < maxDirectNotices && to != n {
			sim.transmit(n, to, func() { r.handleNotice(sim, to, record) })
		}
	}
	r.handleNotice(sim, n, record)
	r.write(sim, n)
}

// handleNotice merges the record of a notice. A router forwards only the first notice to its peers.
func (r *drainRun) handleNotice(sim *simulation, n *virtualNode, record decision.Record) {
	n.drain.records.Merge(sim.now, []decision.Record{record})
	if n.drain.forwarded {
		return
	}
	n.drain.forwarded = true
	for _, id := range n.members.PingTargets() {
		if m, ok := n.members.View(sim.now).Find(id); ok {
			to := sim.byAddress[m.Address]
			sim.transmit(n, to, func() { r.handleNotice(sim, to, record) })
		}
	}
}

// callStore calls the object API, which every zone can reach, and runs done after 5 ms. It returns
// false if the call is lost; done is then not run.
func (r *drainRun) callStore(sim *simulation, n *virtualNode, done func()) bool {
	if r.NoObjectAPI || r.faultsActive && sim.rnd.Float64() < r.LossRatio {
		return false
	}
	sim.after(5*time.Millisecond, func() { sim.runWhenResumed(n, done) })
	return true
}

// write writes the records of a router to the object API and retries until the call succeeds.
func (r *drainRun) write(sim *simulation, n *virtualNode) {
	if !r.callStore(sim, n, func() { r.stored.Merge(sim.now, n.drain.records.Records(decision.Drain)) }) {
		sim.after(retryInterval, func() { r.write(sim, n) })
	}
}

// tick runs on each router every 100 ms.
func (r *drainRun) tick(sim *simulation, n *virtualNode) {
	n.drain.pauseDetector.Heartbeat(sim.now)
	if n.owners.IsRelay() && !sim.now.Before(n.drain.nextPoll) {
		n.drain.nextPoll = sim.now.Add(decision.DrainPollInterval/2 + time.Duration(sim.rnd.Int64N(int64(decision.DrainPollInterval))))
		r.callStore(sim, n, func() { r.handlePoll(sim, n) })
	}
	if !n.drain.pauseDetector.Fresh(sim.now) && !n.drain.refreshing {
		r.refresh(sim, n)
	}
}

// handlePoll merges the records that relay n has read from the object API, and sends each changed
// record to the other routers of the relay's availability zone.
func (r *drainRun) handlePoll(sim *simulation, n *virtualNode) {
	for _, c := range n.drain.records.Merge(sim.now, r.stored.Records(decision.Drain)) {
		for _, m := range n.members.View(sim.now).Members {
			if to := sim.byAddress[m.Address]; m.Zone == n.self.Zone && to != n {
				r.notify(sim, n, to, c.Record, maxZoneNoticeAttempts)
			}
		}
	}
}

// notify sends a notice and repeats it until the receiver confirms it, at most attempts times.
func (r *drainRun) notify(sim *simulation, n, to *virtualNode, record decision.Record, attempts int) {
	confirmed := false
	sim.transmit(n, to, func() {
		r.handleNotice(sim, to, record)
		sim.transmit(to, n, func() { confirmed = true })
	})
	sim.after(2*retryInterval, func() {
		if !confirmed && attempts > 1 {
			r.notify(sim, n, to, record, attempts-1)
		}
	})
}

// refresh reads the current decisions after a pause, from the object API and from refreshSources
// routers. The first response marks the records as fresh.
func (r *drainRun) refresh(sim *simulation, n *virtualNode) {
	n.drain.refreshing = true
	started := sim.now
	markFresh := func() { n.drain.pauseDetector.MarkFresh(started) }
	r.callStore(sim, n, func() {
		n.drain.records.Merge(sim.now, r.stored.Records(decision.Drain))
		markFresh()
	})
	for range refreshSources {
		r.pull(sim, n, r.randomOther(sim, n), markFresh)
	}
	sim.after(retryInterval, func() { n.drain.refreshing = false })
}

// restore makes a starting router read the decisions that were made before its start. It retries
// until a response arrives or the deadline has passed, and the router then becomes ready.
func (r *drainRun) restore(sim *simulation, n *virtualNode, deadline time.Time) {
	if n.drain.ready {
		return
	}
	if !sim.now.Before(deadline) {
		n.drain.ready = true
		return
	}
	r.callStore(sim, n, func() {
		n.drain.records.Merge(sim.now, r.stored.Records(decision.Drain))
		n.drain.ready = true
	})
	if to := r.randomOther(sim, n); to != nil && to.drain.ready {
		r.pull(sim, n, to, func() { n.drain.ready = true })
	}
	sim.after(retryInterval, func() { r.restore(sim, n, deadline) })
}

// randomOther returns a random member. It returns nil if the choice falls on router n itself.
func (r *drainRun) randomOther(sim *simulation, n *virtualNode) *virtualNode {
	members := n.members.View(sim.now).Members
	to := sim.byAddress[members[sim.rnd.IntN(len(members))].Address]
	if to == n {
		return nil
	}
	return to
}

// pull makes router n request the records of another router that differ from its own, merge them,
// and run done. It does nothing if to is nil.
func (r *drainRun) pull(sim *simulation, n, to *virtualNode, done func()) {
	if to == nil {
		return
	}
	digests := n.drain.records.Digests()
	sim.transmit(n, to, func() {
		records := to.drain.records.Differing(digests[:])
		sim.transmit(to, n, func() {
			n.drain.records.Merge(sim.now, records)
			done()
		})
	})
}

// recordsDigest returns the digest that a router sends in its heartbeats. It returns 0 outside a
// DrainSimulation.
func (sim *simulation) recordsDigest(n *virtualNode) uint64 {
	if sim.drainRun == nil {
		return 0
	}
	return n.drain.records.Digest()
}

// pullIfDigestDiffers makes router n pull records from the sender of a ping or ack if the digest in
// this message differs from that of n.
func (sim *simulation) pullIfDigestDiffers(n, from *virtualNode, digest uint64) {
	run := sim.drainRun
	if run == nil || run.NoDigests || n.drain.pulling || digest == n.drain.records.Digest() {
		return
	}
	n.drain.pulling = true
	run.pull(sim, n, from, func() {})
	sim.after(2*retryInterval, func() { n.drain.pulling = false })
}

// probe makes a helper ping the target of action a on behalf of router n. The helper reports a
// failure to n if the target has restarted, and n receives nothing if a message is lost.
func (sim *simulation) probe(n, helper *virtualNode, a member.Action) {
	members := n.members
	target := sim.byAddress[a.Target.Address]
	sim.transmit(n, helper, func() {
		sim.transmit(helper, target, func() {
			sim.transmit(target, helper, func() {
				sim.transmit(helper, n, func() {
					if n.members == members {
						n.members.HandleProbeResult(sim.now, a.Seq, target.self.Boot == a.Target.Boot)
					}
				})
			})
		})
	})
}

// losesMessage decides whether a message between two routers is lost. Messages into and out of the
// isolated zone are always lost, the others with the probability LossRatio.
func (r *drainRun) losesMessage(sim *simulation, from, to *virtualNode) bool {
	if !r.faultsActive {
		return false
	}
	cut := (from.self.Zone == isolatedZone) != (to.self.Zone == isolatedZone)
	return cut || sim.rnd.Float64() < r.LossRatio
}

// check records in the result which routers would send new work to the drained backend server now,
// and the time since the decision.
func (r *drainRun) check(sim *simulation) {
	age := sim.now.Sub(r.decidedAt)
	for _, n := range sim.nodes {
		paused := n.pausedUntil.After(sim.now)
		stale := !r.NoPauseCheck && !n.drain.pauseDetector.Fresh(sim.now)
		if age < 0 || paused || !n.drain.ready || stale || n.knowsDecision() {
			continue
		}
		r.result.MaxDelay = max(r.result.MaxDelay, age)
		if age >= drainLimit && !slices.Contains(r.result.LateRouters, n.self.ID) {
			r.result.LateRouters = append(r.result.LateRouters, n.self.ID)
		}
	}
}

// pingWithDigests sends a ping and its ack, both with the digest of the sender's records. The ping
// fails if the ack does not arrive within the timeout.
func (sim *simulation) pingWithDigests(n, to *virtualNode, a member.Action) {
	finished, members := false, n.members
	digest := sim.recordsDigest(n)
	sim.send(n, to, a.Ping, func() {
		ack, actions := to.members.HandlePing(sim.now, a.Ping)
		sim.perform(to, actions)
		sim.pullIfDigestDiffers(to, n, digest)
		ackDigest := sim.recordsDigest(to)
		sim.send(to, n, ack, func() {
			if n.members != members || finished {
				return
			}
			finished = true
			sim.perform(n, n.members.HandleAck(sim.now, a.Seq, ack))
			sim.pullIfDigestDiffers(n, to, ackDigest)
		})
	})
	sim.after(member.DefaultPingTimeout, func() {
		sim.runWhenResumed(n, func() {
			if n.members == members && !finished {
				finished = true
				sim.perform(n, n.members.HandlePingFailure(sim.now, a.Seq))
			}
		})
	})
}

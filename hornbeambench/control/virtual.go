package control

import (
	"container/heap"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"hornbeamstep.example/coord/loadsum"
	"hornbeamstep.example/coord/member"
	"hornbeamstep.example/coord/owner"
	"hornbeamstep.example/coord/revision"
	"hornbeamstep.example/hornbeamd/peer"
)

// TrafficSimulation counts the encoded bytes of the heartbeats, syncs and load reports of a fleet
// in virtual time, without connections.
type TrafficSimulation struct {
	Routers      int           `help:"Number of routers." default:"340"`
	Settle       time.Duration `help:"Virtual time between the start and the count." default:"60s"`
	Window       time.Duration `help:"Virtual time during which bytes are counted." default:"60s"`
	RestartCount int           `name:"restart" help:"Number of routers that restart while bytes are counted." default:"0"`
	Seed         uint64        `help:"Seed of the fleet." default:"1"`
}

// Run counts the bytes and prints them by method.
func (v *TrafficSimulation) Run(context.Context) error { return v.Write(os.Stdout) }

// Write counts the bytes and prints them by method.
func (v *TrafficSimulation) Write(out io.Writer) error {
	sim := newSimulation(v)
	sim.run(v.Settle)
	sim.bytesByMethod = map[string]int{}
	for i := range v.RestartCount {
		sim.after(time.Duration(i)*v.Window/time.Duration(v.RestartCount), func() { sim.restart(i) })
	}
	sim.run(v.Window)
	if sim.err != nil {
		return sim.err
	}
	total := 0
	for _, method := range slices.Sorted(maps.Keys(sim.bytesByMethod)) {
		total += sim.bytesByMethod[method]
		// Each message is sent by one router and received by another.
		_, _ = fmt.Fprintf(out, "%s: %.0f bytes/s sent and as much received by each router\n", method, sim.bytesPerSecond(sim.bytesByMethod[method]))
	}
	complete := 0
	for _, n := range sim.nodes {
		if view := n.members.View(sim.now); view.Trusted && len(view.Members) == v.Routers {
			complete++
		}
	}
	_, err := fmt.Fprintf(out, "all: %.0f bytes/s sent, without TLS; %d of %d routers know all others\n", sim.bytesPerSecond(total), complete, v.Routers)
	return err
}

// simulation is a fleet in virtual time.
type simulation struct {
	*TrafficSimulation
	now, start time.Time
	rnd        *rand.Rand
	nodes      []*virtualNode
	byAddress  map[string]*virtualNode
	events     eventQueue
	eventCount int
	// bytesByMethod is the number of encoded bytes sent, by the method of the message.
	bytesByMethod map[string]int
	engines       []owner.Engine
	pools         []string
	err           error
	// drill injects faults and distributes revisions. It is nil unless a Drill runs.
	drill *drill
	// drainRun injects faults and distributes a drain decision. It is nil unless a DrainSimulation
	// runs.
	drainRun *drainRun
}

// virtualNode is a router of a simulation.
type virtualNode struct {
	self    member.Member
	members *member.State
	loads   *loadsum.State
	view    *member.View
	owners  *owner.Snapshot
	// nextSecondTick is when tickSecond runs next.
	nextSecondTick time.Time
	// processNumber counts the processes of the router. In a drill, messages from or to an earlier
	// process are dropped, and a dead router receives no messages.
	processNumber int
	dead          bool
	startedAt     time.Time
	// clockSkew is the error of the router's wall clock. It affects the boot ID, which is the start
	// time of the process.
	clockSkew time.Duration
	// revisions is set in drills only.
	revisions *revision.State
	// topologyOwners is the value of owners when the topology of revisions was last set.
	topologyOwners *owner.Snapshot
	// drain is what the router knows of the drain decision. pausedUntil is when the paused process
	// resumes. Both are used in a DrainSimulation only.
	drain       drainState
	pausedUntil time.Time
}

// event is a function that runs at a virtual time. Events with the same time run in the order of
// their scheduling.
type event struct {
	at    time.Time
	order int
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || (q[i].at.Equal(q[j].at) && q[i].order < q[j].order)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newSimulation(v *TrafficSimulation) *simulation {
	start := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	sim := &simulation{
		TrafficSimulation: v, now: start, start: start, rnd: rand.New(rand.NewPCG(v.Seed, 3)), byAddress: map[string]*virtualNode{},
		bytesByMethod: map[string]int{},
	}
	for i := range max(1, engines*v.Routers/designRouters) {
		sim.engines = append(sim.engines, owner.Engine{ID: fmt.Sprintf("engine-%03d", i), Zone: zoneName(i), Region: regionName(i)})
	}
	for i := range pools {
		sim.pools = append(sim.pools, fmt.Sprintf("pool-%d", i))
	}
	for i := range v.Routers {
		n := &virtualNode{self: member.Member{
			ID: fmt.Sprintf("router-%03d", i), Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
			Zone: zoneName(i), Region: regionName(i),
		}}
		sim.nodes = append(sim.nodes, n)
		sim.byAddress[n.self.Address] = n
		sim.restart(i)
		sim.tick(n)
	}
	return sim
}

// restart starts a new process of a router.
func (sim *simulation) restart(i int) {
	n := sim.nodes[i]
	n.processNumber++
	n.startedAt = sim.now
	n.self.Boot = uint64(sim.now.Add(n.clockSkew).UnixMilli())
	n.members = member.New(member.Config{Self: n.self}, sim.now, rand.New(rand.NewPCG(sim.Seed, sim.rnd.Uint64())))
	var seeds []member.Instance
	for j := range min(5, len(sim.nodes)) {
		seeds = append(seeds, member.Instance{Address: sim.nodes[j].self.Address})
	}
	n.members.UpdateInstances(sim.now, seeds)
	n.loads = loadsum.New()
	n.view, n.nextSecondTick = nil, sim.now
}

// after schedules a function to run after a duration.
func (sim *simulation) after(d time.Duration, run func()) {
	sim.eventCount++
	heap.Push(&sim.events, event{sim.now.Add(d), sim.eventCount, run})
}

// run advances the virtual time by a duration and runs the events that fall due.
func (sim *simulation) run(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.events) > 0 && !sim.events[0].at.After(end) {
		next := heap.Pop(&sim.events).(event)
		sim.now = next.at
		next.run()
	}
	sim.now = end
}

// bytesPerSecond converts a number of bytes in the window to bytes/s for each router.
func (sim *simulation) bytesPerSecond(bytes int) float64 {
	return float64(bytes) / sim.Window.Seconds() / float64(sim.Routers)
}

// send counts the bytes of a message and transmits it.
func (sim *simulation) send(from, to *virtualNode, message any, deliver func()) {
	method, size, err := peer.EncodedSize(message)
	if err != nil {
		sim.err = err
		return
	}
	sim.bytesByMethod[method] += size
	sim.transmit(from, to, deliver)
}

// transmit delivers a message after 1 to 5 ms. If the receiver's process is paused at that time,
// the message waits until it resumes. The message is lost if the link is cut or, in a
// DrainSimulation, at random. In a drill, it is also lost if the sender or the receiver has
// restarted in the meantime or if the receiver is dead.
func (sim *simulation) transmit(from, to *virtualNode, deliver func()) {
	if sim.drill != nil && !sim.drill.reachable(from, to) || sim.drainRun != nil && sim.drainRun.losesMessage(sim, from, to) {
		return
	}
	fromProcess, toProcess := from.processNumber, to.processNumber
	sim.after(time.Millisecond+time.Duration(sim.rnd.Int64N(int64(4*time.Millisecond))), func() {
		sim.runWhenResumed(to, func() {
			if sim.drill == nil || (from.processNumber == fromProcess && to.processNumber == toProcess && !to.dead) {
				deliver()
			}
		})
	})
}

// runWhenResumed runs a function at once or, if the router's process is paused, when it resumes.
func (sim *simulation) runWhenResumed(n *virtualNode, run func()) {
	if remaining := n.pausedUntil.Sub(sim.now); remaining > 0 {
		sim.after(remaining, func() { sim.runWhenResumed(n, run) })
		return
	}
	run()
}

// tick runs the periodic work of a router and schedules itself again after 100 ms.
func (sim *simulation) tick(n *virtualNode) {
	if n.dead {
		sim.after(100*time.Millisecond, func() { sim.tick(n) })
		return
	}
	sim.perform(n, n.members.Tick(sim.now))
	if sim.drainRun == nil {
		sim.updateOwners(n)
	}
	if !sim.now.Before(n.nextSecondTick) {
		n.nextSecondTick = sim.now.Add(time.Second)
		sim.tickSecond(n)
	}
	if sim.drill != nil {
		sim.drill.tick(n)
	}
	if sim.drainRun != nil {
		sim.drainRun.tick(sim, n)
	}
	sim.after(100*time.Millisecond, func() { sim.runWhenResumed(n, func() { sim.tick(n) }) })
}

// tickSecond runs every second and reports loads. In a DrainSimulation, it computes the ownership
// instead. Message loss changes the view all the time there, but only the relays are needed, so
// computing the ownership once a second is enough.
func (sim *simulation) tickSecond(n *virtualNode) {
	if sim.drainRun != nil {
		sim.updateOwners(n)
		return
	}
	sim.reportLoads(n)
}

// updateOwners computes the ownership from the view of a router if this view has changed.
func (sim *simulation) updateOwners(n *virtualNode) {
	view := n.members.View(sim.now)
	if view == n.view {
		return
	}
	n.view = view
	in := owner.Input{Self: n.self.ID, Engines: sim.engines, Pools: sim.pools}
	for _, m := range view.Members {
		if m.Eligible() {
			in.Routers = append(in.Routers, owner.Router{ID: m.ID, Zone: m.Zone, Region: m.Region})
		}
	}
	n.owners = owner.Compute(in).WithTrust(view.Trusted)
	n.loads.SetRoles(loadsum.Roles{Self: n.self.ID, Zone: n.self.Zone, Aggregator: n.owners.Aggregator, Zones: n.owners.Zones()})
}

// reportLoads sets random loads for the engines of a router and sends the load reports that are
// due. An aggregator replies to reports of owners, but not to the zone reports of other
// aggregators.
func (sim *simulation) reportLoads(n *virtualNode) {
	sums := map[string]loadsum.Sum{}
	for _, id := range n.owners.OwnedEngines() {
		pool := sim.pools[slices.IndexFunc(sim.engines, func(e owner.Engine) bool { return e.ID == id })%pools]
		s := sums[pool]
		sums[pool] = loadsum.Sum{Load: s.Load + float64(sim.rnd.IntN(40)), Count: s.Count + 1}
	}
	n.loads.SetOwnSums(sim.now, sums)
	for _, send := range n.loads.Tick(sim.now) {
		m, ok := n.view.Find(send.To)
		if !ok {
			continue
		}
		to := sim.byAddress[m.Address]
		sim.send(n, to, send.Report, func() {
			reply := to.loads.HandleReport(sim.now, send.Report)
			if send.Report.Zone == "" {
				sim.send(to, n, reply, func() { n.loads.HandleReply(sim.now, reply) })
			}
		})
	}
}

// perform carries out the actions that the membership state of a router returned. In a drill
// without Rejoin, it sends nothing to removed members or to addresses of the instance list whose
// router is not known.
func (sim *simulation) perform(n *virtualNode, actions []member.Action) {
	for _, a := range actions {
		to := sim.byAddress[a.To.Address]
		switch {
		case a.Kind == member.StatusChanged && sim.drill != nil:
			sim.drill.checkRemoval(n, a.To)
		case to == nil, sim.drill != nil && sim.drill.without == Rejoin && (a.To.Status == member.Removed || a.To.ID == ""):
		case a.Kind == member.SendPing:
			if sim.drainRun != nil {
				sim.pingWithDigests(n, to, a)
				break
			}
			sim.ping(n, to, a.Ping, func(ack member.Ack) { sim.perform(n, n.members.HandleAck(sim.now, a.Seq, ack)) })
		case a.Kind == member.SendProbe && sim.drill != nil:
			sim.drill.probe(n, to, a)
		case a.Kind == member.SendProbe && sim.drainRun != nil:
			sim.probe(n, to, a)
		case a.Kind == member.SendSync:
			sim.send(n, to, a.Sync, func() {
				reply, actions := to.members.HandleSync(sim.now, a.Sync)
				sim.perform(to, actions)
				sim.send(to, n, reply, func() {
					if len(a.Sync.Digests) > 0 {
						sim.perform(n, n.members.HandleSyncReply(sim.now, a.To, reply))
					}
				})
			})
		}
	}
}

// ping sends a ping and calls handleAck with the ack. In a drill, the ping and the ack carry the
// active revision of their sender.
func (sim *simulation) ping(n, to *virtualNode, p member.Ping, handleAck func(member.Ack)) {
	rev := sim.drill.heartbeatRevision(n)
	sim.send(n, to, p, func() {
		sim.drill.handlePeerRevision(to, n, rev)
		p.Updates = sim.drill.filterUpdates(to, p.Updates)
		ack, actions := to.members.HandlePing(sim.now, p)
		sim.perform(to, actions)
		rev := sim.drill.heartbeatRevision(to)
		sim.send(to, n, ack, func() {
			sim.drill.handlePeerRevision(n, to, rev)
			ack.Updates = sim.drill.filterUpdates(n, ack.Updates)
			handleAck(ack)
		})
	})
}

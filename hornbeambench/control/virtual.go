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

// Virtual counts the encoded bytes of the heartbeats, syncs and load reports of a fleet in virtual time, without connections.
type Virtual struct {
	Routers int           `help:"Number of routers." default:"340"`
	Settle  time.Duration `help:"Virtual time between the start and the count." default:"60s"`
	Window  time.Duration `help:"Virtual time that is counted." default:"60s"`
	Restart int           `help:"Number of routers that restart in the counted time." default:"0"`
	Seed    uint64        `help:"Seed of the fleet." default:"1"`
}

// Run counts and prints.
func (v *Virtual) Run(context.Context) error { return v.Write(os.Stdout) }

// Write counts and prints the bytes by method.
func (v *Virtual) Write(out io.Writer) error {
	w := newWorld(v)
	w.run(v.Settle)
	w.bytes = map[string]int{}
	for i := range v.Restart {
		w.later(time.Duration(i)*v.Window/time.Duration(v.Restart), func() { w.restart(i) })
	}
	w.run(v.Window)
	if w.err != nil {
		return w.err
	}
	total := 0
	for _, kind := range slices.Sorted(maps.Keys(w.bytes)) {
		total += w.bytes[kind]
		// Each message is sent by one router and received by another.
		_, _ = fmt.Fprintf(out, "%s: %.0f bytes/s sent and as much received by each router\n", kind, w.rate(w.bytes[kind]))
	}
	complete := 0
	for _, n := range w.nodes {
		if view := n.members.View(w.now); view.Trusted && len(view.Members) == v.Routers {
			complete++
		}
	}
	_, err := fmt.Fprintf(out, "all: %.0f bytes/s sent, without TLS; %d of %d routers know all others\n", w.rate(total), complete, v.Routers)
	return err
}

// world is a fleet in virtual time.
type world struct {
	*Virtual
	now, start time.Time
	rnd        *rand.Rand
	nodes      []*virtualNode
	byAddress  map[string]*virtualNode
	queue      deliveries
	count      int
	bytes      map[string]int
	engines    []owner.Engine
	pools      []string
	err        error
	// drill is nil unless faults are injected and revisions are spread.
	drill *drill
	// leaving adds faults and the spread of an operator's order; nil without.
	leaving *leaving
}

type virtualNode struct {
	self    member.Member
	members *member.State
	loads   *loadsum.State
	view    *member.View
	owners  *owner.Snapshot
	next    time.Time
	// life counts the processes of the router, so that the events of an earlier one are dropped. dead ones take no message.
	life int
	dead bool
	born time.Time
	// skew is how far the wall clock is off, which gives the boot id.
	skew time.Duration
	// revisions is set in drills.
	revisions *revision.State
	// placed is the ownership that revisions know.
	placed *owner.Snapshot
	// order is what the router knows of operators' orders, and resumes is when its process goes on after a pause; both are for
	// leaving only.
	order   orderNode
	resumes time.Time
}

type delivery struct {
	at    time.Time
	order int
	run   func()
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	return d[i].at.Before(d[j].at) || (d[i].at.Equal(d[j].at) && d[i].order < d[j].order)
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

func newWorld(v *Virtual) *world {
	start := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	w := &world{
		Virtual: v, now: start, start: start, rnd: rand.New(rand.NewPCG(v.Seed, 3)), byAddress: map[string]*virtualNode{},
		bytes: map[string]int{},
	}
	for i := range max(1, engines*v.Routers/designSize) {
		w.engines = append(w.engines, owner.Engine{ID: fmt.Sprintf("engine-%03d", i), Zone: zoneName(i), Region: regionName(i)})
	}
	for i := range pools {
		w.pools = append(w.pools, fmt.Sprintf("pool-%d", i))
	}
	for i := range v.Routers {
		n := &virtualNode{self: member.Member{
			ID: fmt.Sprintf("router-%03d", i), Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
			Zone: zoneName(i), Region: regionName(i),
		}}
		w.nodes = append(w.nodes, n)
		w.byAddress[n.self.Address] = n
		w.restart(i)
		w.tick(n)
	}
	return w
}

// restart gives a router a new process.
func (w *world) restart(i int) {
	n := w.nodes[i]
	n.life++
	n.born = w.now
	n.self.Boot = uint64(w.now.Add(n.skew).UnixMilli())
	n.members = member.New(member.Config{Self: n.self}, w.now, rand.New(rand.NewPCG(w.Seed, w.rnd.Uint64())))
	var seeds []member.Instance
	for j := range min(5, len(w.nodes)) {
		seeds = append(seeds, member.Instance{Address: w.nodes[j].self.Address})
	}
	n.members.UpdateInstances(w.now, seeds)
	n.loads = loadsum.New()
	n.view, n.next = nil, w.now
}

func (w *world) later(d time.Duration, run func()) {
	w.count++
	heap.Push(&w.queue, delivery{w.now.Add(d), w.count, run})
}

func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		next := heap.Pop(&w.queue).(delivery)
		w.now = next.at
		next.run()
	}
	w.now = end
}

func (w *world) rate(bytes int) float64 {
	return float64(bytes) / w.Window.Seconds() / float64(w.Routers)
}

// send counts a message and delivers it after 1 to 5 ms, unless faults lose it.
func (w *world) send(from, to *virtualNode, message any, deliver func()) {
	kind, size, err := peer.EncodedSize(message)
	if err != nil {
		w.err = err
		return
	}
	w.bytes[kind] += size
	w.carry(from, to, deliver)
}

// carry delivers a message after 1 to 5 ms. Faults lose it if the link is cut or an end dies meanwhile.
func (w *world) carry(from, to *virtualNode, deliver func()) {
	if w.drill != nil && !w.drill.reaches(from, to) || w.leaving != nil && w.leaving.lost(w, from, to) {
		return
	}
	start, life := from.life, to.life
	w.later(time.Millisecond+time.Duration(w.rnd.Int64N(int64(4*time.Millisecond))), func() {
		w.awake(to, func() {
			if w.drill == nil || (from.life == start && to.life == life && !to.dead) {
				deliver()
			}
		})
	})
}

// awake runs an event of a router once its process is not paused.
func (w *world) awake(n *virtualNode, run func()) {
	if rest := n.resumes.Sub(w.now); rest > 0 {
		w.later(rest, func() { w.awake(n, run) })
		return
	}
	run()
}

func (w *world) tick(n *virtualNode) {
	if n.dead {
		w.later(100*time.Millisecond, func() { w.tick(n) })
		return
	}
	w.do(n, n.members.Tick(w.now))
	if w.leaving == nil {
		w.assign(n)
	}
	if !w.now.Before(n.next) {
		n.next = w.now.Add(time.Second)
		w.second(n)
	}
	if w.drill != nil {
		w.drill.tick(n)
	}
	if w.leaving != nil {
		w.leaving.tick(w, n)
	}
	w.later(100*time.Millisecond, func() { w.awake(n, func() { w.tick(n) }) })
}

// second runs every second. With lost messages the view changes all the time, and only the relays matter there: the ownership is then
// computed no more often.
func (w *world) second(n *virtualNode) {
	if w.leaving != nil {
		w.assign(n)
		return
	}
	w.report(n)
}

// assign computes the ownership of a router for a new view.
func (w *world) assign(n *virtualNode) {
	view := n.members.View(w.now)
	if view == n.view {
		return
	}
	n.view = view
	in := owner.Input{Self: n.self.ID, Engines: w.engines, Pools: w.pools}
	for _, m := range view.Members {
		if m.Eligible() {
			in.Routers = append(in.Routers, owner.Router{ID: m.ID, Zone: m.Zone, Region: m.Region})
		}
	}
	n.owners = owner.Compute(in).WithTrust(view.Trusted)
	n.loads.SetRoles(loadsum.Roles{Self: n.self.ID, Zone: n.self.Zone, Aggregator: n.owners.Aggregator, Zones: n.owners.Zones()})
}

func (w *world) report(n *virtualNode) {
	sums := map[string]loadsum.Sum{}
	for _, id := range n.owners.OwnedEngines() {
		pool := w.pools[slices.IndexFunc(w.engines, func(e owner.Engine) bool { return e.ID == id })%pools]
		s := sums[pool]
		sums[pool] = loadsum.Sum{Load: s.Load + float64(w.rnd.IntN(40)), Count: s.Count + 1}
	}
	n.loads.SetOwnSums(w.now, sums)
	for _, send := range n.loads.Tick(w.now) {
		m, ok := n.view.Find(send.To)
		if !ok {
			continue
		}
		to := w.byAddress[m.Address]
		w.send(n, to, send.Report, func() {
			reply := to.loads.HandleReport(w.now, send.Report)
			if send.Report.Zone == "" {
				w.send(to, n, reply, func() { n.loads.HandleReply(w.now, reply) })
			}
		})
	}
}

func (w *world) do(n *virtualNode, actions []member.Action) {
	for _, a := range actions {
		to := w.byAddress[a.To.Address]
		switch {
		case a.Kind == member.StatusChanged && w.drill != nil:
			w.drill.lost(n, a.To)
		case to == nil, w.drill != nil && w.drill.without == Rejoin && (a.To.Status == member.Removed || a.To.ID == ""):
		case a.Kind == member.SendPing:
			if w.leaving != nil {
				w.pingWithOrders(n, to, a)
				break
			}
			w.ping(n, to, a.Ping, func(ack member.Ack) { w.do(n, n.members.HandleAck(w.now, a.Seq, ack)) })
		case a.Kind == member.SendProbe && w.drill != nil:
			w.drill.probe(n, to, a)
		case a.Kind == member.SendProbe && w.leaving != nil:
			w.probe(n, to, a)
		case a.Kind == member.SendSync:
			w.send(n, to, a.Sync, func() {
				reply, more := to.members.HandleSync(w.now, a.Sync)
				w.do(to, more)
				w.send(to, n, reply, func() {
					if len(a.Sync.Digests) > 0 {
						w.do(n, n.members.HandleSyncReply(w.now, a.To, reply))
					}
				})
			})
		}
	}
}

// ping sends a ping and hands its answer over. In drills both carry the revision in force.
func (w *world) ping(n, to *virtualNode, p member.Ping, acked func(member.Ack)) {
	rev := w.drill.revision(n)
	w.send(n, to, p, func() {
		w.drill.heard(to, n, rev)
		p.Updates = w.drill.news(to, p.Updates)
		ack, more := to.members.HandlePing(w.now, p)
		w.do(to, more)
		rev := w.drill.revision(to)
		w.send(to, n, ack, func() {
			w.drill.heard(n, to, rev)
			ack.Updates = w.drill.news(n, ack.Updates)
			acked(ack)
		})
	})
}

package control

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"hornbeamstep.example/coord/member"
	"hornbeamstep.example/coord/revision"
	"hornbeamstep.example/hornbeambench/trace"
	"hornbeamstep.example/policy/history"
	"hornbeamstep.example/ports/objectapi"
)

// Drill simulates a fleet in virtual time, injects the faults of fault files (see package trace)
// while operators push configuration revisions, and checks the revisions, the membership and the
// ownership. In the fault files, r1, r2 and so on are routers; z1, z2 and z3 are regions here, not
// availability zones.
type Drill struct {
	Faults  []string `arg:"" help:"Fault files, replayed together." placeholder:"FILE"`
	Routers int      `help:"Number of routers." default:"14"`
	Seed    uint64   `help:"Seed of the simulation." default:"1"`

	// Without disables a mechanism, to prove that the check of an outcome can fail.
	Without Mechanism `kong:"-"`
}

// Mechanism is a protection that Drill.Without can disable.
type Mechanism string

// The mechanisms.
const (
	// ConditionalUpdate writes the head only if it is unchanged since the read, so that only one of
	// several concurrent pushes succeeds.
	ConditionalUpdate Mechanism = "conditional update"
	// ReadBack reads the head again if the reply to a write is lost, to find out whether the write
	// took effect.
	ReadBack Mechanism = "read back"
	// MonotonicRevisions keeps a router from replacing its active revision by a lower one.
	MonotonicRevisions Mechanism = "growing revisions"
	// RevisionSpread distributes a revision to other routers by announcements and heartbeats.
	RevisionSpread Mechanism = "spread"
	// IndirectProbes lets other routers probe a router that does not answer. It also covers sending
	// a router the updates about itself, so that it can refute a suspicion.
	IndirectProbes Mechanism = "helpers"
	// Rejoin pings removed members and the addresses of the instance list.
	Rejoin Mechanism = "rejoin"
)

// ErrOutcomeFailed is returned if the check of an outcome fails.
var ErrOutcomeFailed = eris.New("an outcome check failed; the lines that start with \"short\" give the counts")

const (
	// activationLimit is the maximum time until a new revision is active on every router that can
	// learn of it (invariant 7).
	activationLimit = 7 * time.Second
	// convergenceTimeout is the maximum time until the members agree again after a fault, as in the
	// tests of package member.
	convergenceTimeout = time.Minute
)

// Verdict is the result of checking one outcome.
type Verdict struct {
	Outcome  string
	Passed   bool
	Observed string
}

// drill is the part of a simulation that injects faults and distributes revisions.
type drill struct {
	sim     *simulation
	without Mechanism
	rnd     *rand.Rand
	store   *objectapi.Memory
	// history reads the object API on behalf of the relays.
	history *history.History
	storeUp bool
	// isolatedRegion is the region that is cut off, or "". linkCuts counts the active cuts of each
	// link. Its key is the pair of sender and receiver.
	isolatedRegion string
	linkCuts       map[[2]string]int
	races          []race
	// heads are the revisions that won the races. Relays read the head as it was headLag changes
	// ago.
	heads     []int64
	headLag   int
	pushCount int
	// maxActivated is the highest revision that was ever active on each router, including in its
	// earlier processes.
	maxActivated map[string]int64
	// falseRemovals counts removals of running routers by routers in the same part of the network.
	// activations counts all activations, rollbacks those of a revision below maxActivated, and
	// missedDeadlines the deadlines that passed before the activation.
	falseRemovals, rollbacks, missedDeadlines, activations int
	// deadlines are the activations that routers still have to make.
	deadlines []activationDeadline
}

// activationDeadline is the time by which a revision must be active on a router.
type activationDeadline struct {
	router   *virtualNode
	revision int64
	at       time.Time
	// deferred is true if the router was cut off at the push and cannot have learned of the
	// revision yet. Meanwhile at has no effect; it is set once the router can learn of it.
	deferred bool
}

// Run runs the drill and prints the verdicts.
func (d *Drill) Run(ctx context.Context) error { return d.Write(ctx, os.Stdout) }

// Write runs the drill and prints the verdicts. It returns ErrOutcomeFailed if the check of an
// outcome fails.
func (d *Drill) Write(ctx context.Context, out io.Writer) error {
	var faults []trace.Fault
	for _, name := range d.Faults {
		file, err := os.Open(name)
		if err != nil {
			return eris.Wrap(err, "open the fault file")
		}
		list, err := trace.ReadFaults(file)
		_ = file.Close()
		if err != nil {
			return err
		}
		faults = trace.MergeFaults(faults, list)
	}
	verdicts, err := d.Simulate(ctx, faults)
	if err != nil {
		return err
	}
	failed := false
	for _, v := range verdicts {
		mark := "holds"
		if !v.Passed {
			mark, failed = "short", true
		}
		if _, err := fmt.Fprintf(out, "%s: %s: %s\n", mark, v.Outcome, v.Observed); err != nil {
			return eris.Wrap(err, "print the verdicts")
		}
	}
	if failed {
		return ErrOutcomeFailed
	}
	return nil
}

// Simulate runs the drill with the given faults. The same arguments give the same verdicts.
func (d *Drill) Simulate(ctx context.Context, faults []trace.Fault) ([]Verdict, error) {
	sim := newSimulation(&TrafficSimulation{Routers: d.Routers, Seed: d.Seed, Window: time.Second})
	store := &objectapi.Memory{}
	run := &drill{
		sim: sim, without: d.Without, rnd: rand.New(rand.NewPCG(d.Seed, 9)), store: store, history: &history.History{Store: store, Now: sim.clock},
		storeUp: true, linkCuts: map[[2]string]int{}, maxActivated: map[string]int64{},
	}
	for _, n := range sim.nodes {
		run.resetRevisions(n, revision.Config{})
	}
	sim.drill = run
	sim.run(convergenceTimeout)
	end := time.Duration(0)
	for _, f := range faults {
		if err := run.schedule(ctx, f); err != nil {
			return nil, err
		}
		end = max(end, duration(f.At+f.DurationSeconds))
	}
	sim.run(end + convergenceTimeout + activationLimit)
	return run.verdicts(), sim.err
}

func (sim *simulation) clock() time.Time { return sim.now }

func duration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// resetRevisions replaces the revision state of a router by an empty one.
func (d *drill) resetRevisions(n *virtualNode, cfg revision.Config) {
	n.revisions = revision.New(cfg, d.sim.now, rand.New(rand.NewPCG(d.sim.Seed, d.rnd.Uint64())))
}

// reachable reports whether the network delivers messages from one router to another.
func (d *drill) reachable(from, to *virtualNode) bool {
	if d.linkCuts[[2]string{from.self.ID, to.self.ID}] > 0 {
		return false
	}
	return d.isolatedRegion == "" || (from.self.Region == d.isolatedRegion) == (to.self.Region == d.isolatedRegion)
}

// heartbeatRevision returns the revision that a router sends in its heartbeats. It returns 0 if
// the simulation has no drill.
func (d *drill) heartbeatRevision(n *virtualNode) int64 {
	if d == nil {
		return 0
	}
	return n.revisions.Revision()
}

// handlePeerRevision handles the revision that a router received in a heartbeat or an announcement.
func (d *drill) handlePeerRevision(n, from *virtualNode, rev int64) {
	if d == nil {
		return
	}
	d.startDeferredDeadlines(n, from)
	if d.without == RevisionSpread {
		return
	}
	d.perform(n, n.revisions.HandlePeerRevision(d.sim.now, from.self.ID, rev))
}

// startDeferredDeadlines starts the deferred deadlines of router n when it receives a message from
// a router on which the revision, or a higher one, has been active.
func (d *drill) startDeferredDeadlines(n, from *virtualNode) {
	for i, o := range d.deadlines {
		if o.deferred && o.router == n && d.maxActivated[from.self.ID] >= o.revision {
			d.deadlines[i].deferred, d.deadlines[i].at = false, d.sim.now.Add(activationLimit)
		}
	}
}

// tick runs on each router every 100 ms. It advances the revision state and checks the deadlines. A
// relay also reads the head from the object API once a second.
func (d *drill) tick(n *virtualNode) {
	d.perform(n, n.revisions.Tick(d.sim.now))
	if n.owners == nil {
		return
	}
	if n.topologyOwners != n.owners {
		n.topologyOwners = n.owners
		d.perform(n, n.revisions.SetTopology(d.topology(n)))
	}
	if d.storeReachable(n) && n.owners.IsRelay() && d.sim.now.Sub(d.sim.start)%time.Second < 100*time.Millisecond {
		d.loadHead(n)
	}
	if len(d.deadlines) > 0 {
		d.checkDeadlines()
	}
}

// storeReachable reports whether a router reaches the object API. Routers of a region that is cut
// off do not.
func (d *drill) storeReachable(n *virtualNode) bool {
	return d.storeUp && (d.isolatedRegion == "" || n.self.Region != d.isolatedRegion)
}

// topology returns the routers to which a relay forwards announcements: those of its availability
// zone and the relays of the other zones. It is empty for other routers.
func (d *drill) topology(n *virtualNode) revision.Topology {
	t := revision.Topology{Relay: n.owners.IsRelay()}
	if !t.Relay {
		return t
	}
	for _, m := range n.view.Members {
		if m.Zone == n.self.Zone && m.ID != n.self.ID {
			t.Zone = append(t.Zone, m.ID)
		}
	}
	for _, zone := range n.owners.Zones() {
		if zone != n.self.Zone {
			t.Relays = append(t.Relays, n.owners.Relays(zone)...)
		}
	}
	return t
}

// loadHead reads the head revision on behalf of a relay and activates it.
func (d *drill) loadHead(n *virtualNode) {
	if len(d.heads) == 0 {
		return
	}
	r, err := d.history.Revision(context.Background(), d.heads[max(0, len(d.heads)-1-d.headLag)])
	if d.without == MonotonicRevisions && r.Number < n.revisions.Revision() {
		// The settle time of 1 ns lets the new state activate the lower revision at once.
		d.resetRevisions(n, revision.Config{SettleTimeout: 1})
		d.perform(n, n.revisions.Tick(d.sim.now.Add(time.Second)))
	}
	m := manifest(r)
	var contents [][]byte
	for _, f := range n.revisions.MissingFiles(m) {
		data, readErr := d.history.Blob(context.Background(), history.FileRef{Name: f.Name, Digest: f.Digest, Size: int(f.Size)})
		err = errors.Join(err, readErr)
		contents = append(contents, data)
	}
	if err != nil {
		d.sim.err = err
		return
	}
	d.perform(n, n.revisions.Load(d.sim.now, m, contents))
}

func manifest(r history.Revision) revision.Manifest {
	m := revision.Manifest{Revision: r.Number}
	for _, f := range r.Files {
		m.Files = append(m.Files, revision.File{Name: f.Name, Digest: f.Digest, Size: int64(f.Size)})
	}
	return m
}

// perform carries out the actions that the revision state of a router returned.
func (d *drill) perform(n *virtualNode, actions []revision.Action) {
	for _, a := range actions {
		switch a.Kind {
		case revision.Activated:
			d.recordActivation(n, a.Manifest.Revision)
		case revision.SendAnnouncement:
			for _, id := range a.To {
				if to := d.findNode(id); to != nil {
					d.sim.transmit(n, to, func() { d.handlePeerRevision(to, n, a.Announcement.Revision) })
				}
			}
		case revision.SendFetch:
			d.fetch(n, d.findNode(a.To[0]), a.Fetch)
		}
	}
}

func (d *drill) fetch(n, to *virtualNode, f revision.Fetch) {
	d.sim.transmit(n, to, func() {
		reply := to.revisions.HandleFetch(d.sim.now, f)
		d.sim.transmit(to, n, func() { d.perform(n, n.revisions.HandleReply(d.sim.now, to.self.ID, reply)) })
	})
}

func (d *drill) recordActivation(n *virtualNode, number int64) {
	d.activations++
	if number < d.maxActivated[n.self.ID] {
		d.rollbacks++
	}
	d.maxActivated[n.self.ID] = max(d.maxActivated[n.self.ID], number)
}

// checkDeadlines drops the deadlines that were met and those of dead routers. It also drops those
// that have passed and counts them as missed.
func (d *drill) checkDeadlines() {
	d.deadlines = slices.DeleteFunc(d.deadlines, func(o activationDeadline) bool {
		switch {
		case d.maxActivated[o.router.self.ID] >= o.revision, o.router.dead:
			return true
		case o.deferred || d.sim.now.Before(o.at):
			return false
		}
		d.missedDeadlines++
		return true
	})
}

// findNode returns the router with the given ID, or nil.
func (d *drill) findNode(id string) *virtualNode {
	for _, n := range d.sim.nodes {
		if n.self.ID == id {
			return n
		}
	}
	return nil
}

// filterUpdates returns the membership updates that are delivered to the receiver of a message.
// Without IndirectProbes, updates about the receiver itself are dropped.
func (d *drill) filterUpdates(to *virtualNode, updates []member.Member) []member.Member {
	if d == nil || d.without != IndirectProbes {
		return updates
	}
	return slices.DeleteFunc(slices.Clone(updates), func(m member.Member) bool { return m.ID == to.self.ID })
}

// probe makes a helper ping a router that does not answer n. The helper reports a success to n.
func (d *drill) probe(n, helper *virtualNode, a member.Action) {
	target := d.findNode(a.Target.ID)
	if target == nil || d.without == IndirectProbes {
		return
	}
	d.sim.transmit(n, helper, func() {
		d.sim.ping(helper, target, helper.members.ProbePing(d.sim.now, a.Target), func(ack member.Ack) {
			if ack.From.ID != a.Target.ID || ack.From.Boot != a.Target.Boot {
				return
			}
			d.sim.transmit(helper, n, func() { n.members.HandleProbeResult(d.sim.now, a.Seq, true) })
		})
	})
}

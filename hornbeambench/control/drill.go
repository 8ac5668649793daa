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

// Drill injects the faults of files of package trace into a fleet in virtual time, in which operators push revisions, and judges what
// becomes of revisions, membership and ownership. Routers are named r1, r2 and so on, and the regions z1, z2 and z3.
type Drill struct {
	Faults  []string `arg:"" help:"Files of faults, replayed together." placeholder:"FILE"`
	Routers int      `help:"Number of routers." default:"14"`
	Seed    uint64   `help:"Seed of the fleet." default:"1"`

	// Without takes a mechanism out, for the proof that an outcome can fall short.
	Without Mechanism `kong:"-"`
}

// Mechanism is a protection that Drill.Without takes out.
type Mechanism string

// The mechanisms.
const (
	// Conditional updates of the head let one operator win.
	Conditional Mechanism = "conditional update"
	// ReadBack settles lost replies.
	ReadBack Mechanism = "read back"
	// Growing keeps the revision in force from going back.
	Growing Mechanism = "growing revisions"
	// Spread tells other routers of a revision, by announcements and heartbeats.
	Spread Mechanism = "spread"
	// Helpers probe a router for one that it does not answer, and bring it what is said about it so that it can refute.
	Helpers Mechanism = "helpers"
	// Rejoin pings members that were removed, and the instance list.
	Rejoin Mechanism = "rejoin"
)

// ErrShort is returned if an outcome falls short.
var ErrShort = eris.New("an outcome falls short; the lines marked \"short\" say what was seen")

const (
	// force is the time of invariant 7 within which a revision is in force on every router that can learn of it.
	force = 7 * time.Second
	// agree is the time that members take to find each other again after a fault, as in the tests of package member.
	agree = time.Minute
)

// Verdict is the judgement of one outcome.
type Verdict struct {
	Outcome string
	Held    bool
	Seen    string
}

// drill is the part of a world that concerns faults and revisions.
type drill struct {
	w       *world
	without Mechanism
	rnd     *rand.Rand
	store   *objectapi.Memory
	// history reads the object API on behalf of the relays.
	history *history.History
	up      bool
	// parted is the region that is cut off, and cuts counts the cuts of each link.
	parted string
	cuts   map[[2]string]int
	races  []race
	// heads are the winners of the races. Reads of the object API see the one that was the head so many changes ago as behind says.
	heads  []int64
	behind int
	pushes int
	// forced is the highest revision that each router had in force, also in an earlier process.
	forced map[string]int64
	// removed counts running routers that others took for lost, reverted the revisions that went back, late the routers that had
	// a revision in force too late, and changes the revisions that were put in force.
	removed, reverted, late, changes int
	// owed are the revisions that routers have to have in force.
	owed []owed
}

// owed is a revision that a router has to have in force by a time.
type owed struct {
	router   *virtualNode
	revision int64
	by       time.Time
	// after is true while the time has not begun, because the router is cut off.
	after bool
}

// Run carries out the drill and prints the verdicts.
func (d *Drill) Run(ctx context.Context) error { return d.Write(ctx, os.Stdout) }

// Write carries out the drill and prints the verdicts. It returns ErrShort if an outcome falls short.
func (d *Drill) Write(ctx context.Context, out io.Writer) error {
	var faults []trace.Fault
	for _, name := range d.Faults {
		file, err := os.Open(name)
		if err != nil {
			return eris.Wrap(err, "open the faults")
		}
		list, err := trace.ReadFaults(file)
		_ = file.Close()
		if err != nil {
			return err
		}
		faults = trace.Merge(faults, list)
	}
	verdicts, err := d.Judge(ctx, faults)
	if err != nil {
		return err
	}
	short := false
	for _, v := range verdicts {
		mark := "holds"
		if !v.Held {
			mark, short = "short", true
		}
		if _, err := fmt.Fprintf(out, "%s: %s: %s\n", mark, v.Outcome, v.Seen); err != nil {
			return eris.Wrap(err, "print the verdicts")
		}
	}
	if short {
		return ErrShort
	}
	return nil
}

// Judge carries out a drill with given faults. The same arguments give the same verdicts.
func (d *Drill) Judge(ctx context.Context, faults []trace.Fault) ([]Verdict, error) {
	w := newWorld(&Virtual{Routers: d.Routers, Seed: d.Seed, Window: time.Second})
	store := &objectapi.Memory{}
	r := &drill{
		w: w, without: d.Without, rnd: rand.New(rand.NewPCG(d.Seed, 9)), store: store, history: &history.History{Store: store, Now: w.clock},
		up: true, cuts: map[[2]string]int{}, forced: map[string]int64{},
	}
	for _, n := range w.nodes {
		r.begin(n, revision.Config{})
	}
	w.drill = r
	w.run(agree)
	end := time.Duration(0)
	for _, f := range faults {
		if err := r.schedule(ctx, f); err != nil {
			return nil, err
		}
		end = max(end, duration(f.At+f.For))
	}
	w.run(end + agree + force)
	return r.verdicts(), w.err
}

func (w *world) clock() time.Time { return w.now }

func duration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// begin gives a router an empty state of revisions.
func (d *drill) begin(n *virtualNode, cfg revision.Config) {
	n.revisions = revision.New(cfg, d.w.now, rand.New(rand.NewPCG(d.w.Seed, d.rnd.Uint64())))
}

// reaches says whether what one router sends arrives at another.
func (d *drill) reaches(from, to *virtualNode) bool {
	if d.cuts[[2]string{from.self.ID, to.self.ID}] > 0 {
		return false
	}
	return d.parted == "" || (from.self.Region == d.parted) == (to.self.Region == d.parted)
}

// revision returns what a router's heartbeat carries; nil drills carry nothing.
func (d *drill) revision(n *virtualNode) int64 {
	if d == nil {
		return 0
	}
	return n.revisions.Revision()
}

// heard takes the revision of a heartbeat.
func (d *drill) heard(n, from *virtualNode, rev int64) {
	if d == nil {
		return
	}
	d.met(n, from)
	if d.without == Spread {
		return
	}
	d.spread(n, n.revisions.HandlePeerRevision(d.w.now, from.self.ID, rev))
}

// met starts the time of what a router that was cut off owes, once it hears from one that has it.
func (d *drill) met(n, from *virtualNode) {
	for i, o := range d.owed {
		if o.after && o.router == n && d.forced[from.self.ID] >= o.revision {
			d.owed[i].after, d.owed[i].by = false, d.w.now.Add(force)
		}
	}
}

// tick advances the revisions of a router, and lets relays read the object API.
func (d *drill) tick(n *virtualNode) {
	d.spread(n, n.revisions.Tick(d.w.now))
	if n.owners == nil {
		return
	}
	if n.placed != n.owners {
		n.placed = n.owners
		d.spread(n, n.revisions.SetTopology(d.place(n)))
	}
	if d.platform(n) && n.owners.IsRelay() && d.w.now.Sub(d.w.start)%time.Second < 100*time.Millisecond {
		d.load(n)
	}
	if len(d.owed) > 0 {
		d.check()
	}
}

// platform says whether a router reaches the object API, which is on the greater side of parted regions.
func (d *drill) platform(n *virtualNode) bool {
	return d.up && (d.parted == "" || n.self.Region != d.parted)
}

func (d *drill) place(n *virtualNode) revision.Topology {
	p := revision.Topology{Relay: n.owners.IsRelay()}
	if !p.Relay {
		return p
	}
	for _, m := range n.view.Members {
		if m.Zone == n.self.Zone && m.ID != n.self.ID {
			p.Zone = append(p.Zone, m.ID)
		}
	}
	for _, zone := range n.owners.Zones() {
		if zone != n.self.Zone {
			p.Relays = append(p.Relays, n.owners.Relays(zone)...)
		}
	}
	return p
}

// load reads the head for a relay.
func (d *drill) load(n *virtualNode) {
	if len(d.heads) == 0 {
		return
	}
	r, err := d.history.Revision(context.Background(), d.heads[max(0, len(d.heads)-1-d.behind)])
	if d.without == Growing && r.Number < n.revisions.Revision() {
		d.begin(n, revision.Config{Settle: 1})
		d.spread(n, n.revisions.Tick(d.w.now.Add(time.Second)))
	}
	m := manifest(r)
	var contents [][]byte
	for _, f := range n.revisions.MissingFiles(m) {
		data, readErr := d.history.Blob(context.Background(), history.FileRef{Name: f.Name, Digest: f.Digest, Size: int(f.Size)})
		err = errors.Join(err, readErr)
		contents = append(contents, data)
	}
	if err != nil {
		d.w.err = err
		return
	}
	d.spread(n, n.revisions.Load(d.w.now, m, contents))
}

func manifest(r history.Revision) revision.Manifest {
	m := revision.Manifest{Revision: r.Number}
	for _, f := range r.Files {
		m.Files = append(m.Files, revision.File{Name: f.Name, Digest: f.Digest, Size: int64(f.Size)})
	}
	return m
}

// spread carries out the actions of a router's revisions.
func (d *drill) spread(n *virtualNode, actions []revision.Action) {
	for _, a := range actions {
		switch a.Kind {
		case revision.Activated:
			d.applied(n, a.Manifest.Revision)
		case revision.SendAnnouncement:
			for _, id := range a.To {
				if to := d.node(id); to != nil {
					d.w.carry(n, to, func() { d.heard(to, n, a.Announcement.Revision) })
				}
			}
		case revision.SendFetch:
			d.fetch(n, d.node(a.To[0]), a.Fetch)
		}
	}
}

func (d *drill) fetch(n, to *virtualNode, f revision.Fetch) {
	d.w.carry(n, to, func() {
		reply := to.revisions.HandleFetch(d.w.now, f)
		d.w.carry(to, n, func() { d.spread(n, n.revisions.HandleReply(d.w.now, to.self.ID, reply)) })
	})
}

// applied records a revision in force.
func (d *drill) applied(n *virtualNode, number int64) {
	d.changes++
	if number < d.forced[n.self.ID] {
		d.reverted++
	}
	d.forced[n.self.ID] = max(d.forced[n.self.ID], number)
}

// check counts the routers that do not have a revision in force in time.
func (d *drill) check() {
	d.owed = slices.DeleteFunc(d.owed, func(o owed) bool {
		switch {
		case d.forced[o.router.self.ID] >= o.revision, o.router.dead:
			return true
		case o.after || d.w.now.Before(o.by):
			return false
		}
		d.late++
		return true
	})
}

func (d *drill) node(id string) *virtualNode {
	for _, n := range d.w.nodes {
		if n.self.ID == id {
			return n
		}
	}
	return nil
}

// news returns what reaches a router of the news of a message.
func (d *drill) news(to *virtualNode, updates []member.Member) []member.Member {
	if d == nil || d.without != Helpers {
		return updates
	}
	return slices.DeleteFunc(slices.Clone(updates), func(m member.Member) bool { return m.ID == to.self.ID })
}

// probe lets another router ping one that does not answer.
func (d *drill) probe(n, helper *virtualNode, a member.Action) {
	target := d.node(a.Target.ID)
	if target == nil || d.without == Helpers {
		return
	}
	d.w.carry(n, helper, func() {
		d.w.ping(helper, target, helper.members.ProbePing(d.w.now, a.Target), func(k member.Ack) {
			if k.From.ID != a.Target.ID || k.From.Boot != a.Target.Boot {
				return
			}
			d.w.carry(helper, n, func() { n.members.HandleProbeResult(d.w.now, a.Seq, true) })
		})
	})
}

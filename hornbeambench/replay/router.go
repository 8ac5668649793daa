package replay

import (
	"slices"
	"strings"
	"time"

	"hornbeamstep.example/routing/admission"
	"hornbeamstep.example/routing/limit"
	"hornbeamstep.example/routing/placement"
	"hornbeamstep.example/routing/quarantine"
	"hornbeamstep.example/routing/retry"
)

// router is the fake of a router: it runs the decision packages on its own view of engines and members.
type router struct {
	fleet *fleet
	index int
	name  string
	zone  string
	up    bool
	// paused routers keep what arrives in backlog.
	paused  bool
	backlog []func()
	// isolated is set after a gap in the router's own clock: it owns nothing until it has heard from its peers.
	isolated bool
	view     placement.View
	// listedState is the state by the instance list; suspect the time until which a local observation counts.
	listedState map[string]placement.State
	suspect     map[string]time.Duration
	members     []string
	gates       map[string]*admission.Gate
	shares      map[string]*admission.FallbackGate
	exceptions  *placement.RelocationTable
	rule        placement.Rule
	placer      placement.Placer
	// loads and sent are for baselines: the last report, and the requests sent since.
	loads, sent map[string]float64
	lastMean    admission.Mean
	quarantine  *quarantine.Tracker
	surges      *limit.SurgeDetector
	// health judges the owned engines, pace the answers that this router relayed, and budget allows its retries.
	health *retry.Health
	pace   *retry.Pace
	budget *retry.Budget
	// slots are those held by this router, for renewal.
	slots map[string]*call
	// skew is how far the wall clock is off, and apart are the engines out of reach.
	skew  time.Duration
	apart []string
}

func newRouter(s *fleet, i int, list []placement.Engine) *router {
	r := &router{
		fleet: s, index: i, name: "r" + string(rune('1'+i)), zone: s.engines[i%s.Zones].zone, up: true,
		view: placement.NewView(list), rule: placement.New(s.Placement), placer: s.newPlacer(i),
	}
	r.reset()
	return r
}

// reset forgets all state, as a replaced process does.
func (r *router) reset() {
	r.listedState = map[string]placement.State{}
	r.suspect = map[string]time.Duration{}
	r.gates = map[string]*admission.Gate{}
	r.shares = map[string]*admission.FallbackGate{}
	r.exceptions = placement.NewRelocationTable(1 << 16)
	r.loads, r.sent = map[string]float64{}, map[string]float64{}
	r.slots = map[string]*call{}
	r.quarantine = quarantine.New(quarantine.Defaults())
	r.surges = limit.NewSurgeDetector(limit.DefaultSurgeSettings())
	r.backlog = nil
	r.resetHealth()
}

// do runs an event at the router, now or when it resumes.
func (r *router) do(f func()) {
	switch {
	case !r.up:
	case r.paused:
		r.backlog = append(r.backlog, f)
	default:
		f()
	}
}

// send runs an event at another router after the network latency.
func (r *router) send(to *router, f func()) {
	if to == r {
		r.do(f)
		return
	}
	if r.fleet.reaches(r.name, to.name) {
		r.fleet.after(r.fleet.net(r.zone, to.zone), func() { to.do(f) })
	}
}

// owner returns the owner of an engine by this router's view of the members.
func (r *router) owner(id string) *router {
	best, high := "", -1.0
	for _, m := range r.members {
		if x := (&fleet{seed: 1}).chance("owner", id, m); x > high {
			best, high = m, x
		}
	}
	return r.fleet.router(best)
}

// takeOver makes gates for engines that the router owns now and closes those of others.
func (r *router) takeOver(first bool) {
	now := r.fleet.wall()
	for _, e := range r.fleet.engines {
		owns := !r.isolated && len(r.members) > 0 && r.owner(e.id) == r
		g, had := r.gates[e.id]
		switch {
		case owns && !had && first:
			r.gates[e.id] = admission.New(now, r.fleet.Admission)
		case owns && !had:
			r.gates[e.id] = admission.NewAfterTakeover(now, r.fleet.Admission)
			r.gates[e.id].SetMean(now, r.lastMean)
		case !owns && had:
			r.deliver(e.id, g.Close(now))
			delete(r.gates, e.id)
		}
	}
}

func (r *router) setMembers(names []string) {
	r.members = names
	r.isolated = false
	r.takeOver(false)
}

func (r *router) report(id string, at time.Duration, load float64) {
	r.loads[id], r.sent[id] = load, 0
	if g := r.gates[id]; g != nil {
		r.deliver(id, g.SetReport(r.fleet.wall(), admission.Report{At: epoch.Add(at), Load: load}))
	}
}

func (r *router) mean(m admission.Mean, evicted map[string]float64) {
	r.lastMean = m
	status := map[string]placement.Status{}
	for id, at := range evicted {
		status[id] = placement.Status{EvictedBefore: epoch.Add(seconds(at))}
	}
	r.view = r.view.WithStatuses(status)
	for _, id := range r.owned() {
		r.deliver(id, r.gates[id].SetMean(r.fleet.wall(), m))
	}
}

// owned returns the engines with a gate, in a fixed order.
func (r *router) owned() []string {
	var ids []string
	for _, e := range r.fleet.engines {
		if r.gates[e.id] != nil {
			ids = append(ids, e.id)
		}
	}
	return ids
}

func (r *router) tick() {
	now := r.fleet.wall()
	for _, id := range r.owned() {
		r.deliver(id, r.gates[id].Tick(now))
	}
	for _, e := range r.fleet.engines {
		if until, ok := r.suspect[e.id]; ok && r.fleet.now >= until {
			delete(r.suspect, e.id)
			r.view = r.view.WithState(e.id, r.listedState[e.id])
		}
	}
	r.renew(now)
}

// renew extends the slots that are about to expire, in one message to each owner.
func (r *router) renew(now time.Time) {
	var due []*call
	for _, q := range r.slots {
		if q.expires.Sub(now) < r.fleet.Admission.Lease/2 {
			due = append(due, q)
		}
	}
	slices.SortFunc(due, func(a, b *call) int { return strings.Compare(a.attempt, b.attempt) })
	for _, q := range due {
		owner, id, engine := q.owner, q.slot, q.engine
		q.expires = now.Add(r.fleet.Admission.Lease)
		r.send(owner, func() {
			if g := owner.gates[engine]; g != nil {
				g.Renew(r.fleet.wall(), []uint64{id})
			}
		})
	}
}

// listed takes a state from the instance list.
func (r *router) listed(id string, st placement.State) {
	was := r.listedState[id]
	r.listedState[id] = st
	if _, ok := r.suspect[id]; ok && st == placement.InService {
		return
	}
	delete(r.suspect, id)
	r.view = r.view.WithState(id, st)
	g := r.gates[id]
	switch st {
	case placement.Suspect, placement.Gone, placement.Leaving:
		if g != nil {
			r.deliver(id, g.Close(r.fleet.wall()))
		}
	case placement.Joining:
		if g != nil && was != placement.Joining {
			r.gates[id] = admission.NewAfterTakeover(r.fleet.wall(), r.fleet.Admission)
			r.health.RecordRestart(r.fleet.wall(), id)
			r.gates[id].SetMean(r.fleet.wall(), r.lastMean)
		}
	}
	if r.placer == nil {
		r.moveContexts(id, was, st)
	}
}

// moveContexts exports KV caches when an engine leaves and brings them to one that joins. The owner of the source knows
// the contexts by cache events, of which one in twenty is lost.
func (r *router) moveContexts(id string, was, st placement.State) {
	budget := 200000
	switch {
	case st == placement.Leaving && r.gates[id] != nil:
		e := r.fleet.byID[id]
		r.fleet.move(r, r.rule.Evacuate(r.fleet.wall(), id, r.contexts(e), budget, r.view))
	case st == placement.Joining && was != placement.Joining:
		for _, from := range r.owned() {
			share := budget / len(r.fleet.engines)
			r.fleet.move(r, r.rule.WarmUp(r.fleet.wall(), from, id, r.contexts(r.fleet.byID[from]), share, r.view))
		}
	}
}

func (r *router) contexts(e *engine) []placement.ChatContext {
	var out []placement.ChatContext
	for _, c := range e.cache.chats() {
		if r.fleet.chance("event", e.id, c.chat) < 0.05 {
			continue
		}
		out = append(out, placement.ChatContext{Chat: c.chat, Model: "m", Tokens: c.tokens, LastUsed: epoch.Add(seconds(c.last))})
	}
	return out
}

// observe takes an engine out of use after a failure that the router saw itself.
func (r *router) observe(id string) {
	r.suspect[id] = r.fleet.now + 2*time.Second
	if r.listedState[id] == placement.InService || r.listedState[id] == placement.Joining {
		r.view = r.view.WithState(id, placement.Suspect)
	}
	if g := r.gates[id]; g != nil {
		r.deliver(id, g.Close(r.fleet.wall()))
	}
}

// deliver sends the answers of a gate to the routers that asked.
func (r *router) deliver(engine string, actions []admission.Action) {
	for _, a := range actions {
		q := r.fleet.calls[a.Request.RequestID]
		if q == nil {
			continue
		}
		if a.Kind == admission.Refused || a.Kind == admission.Expired {
			r.quarantine.End(q.fingerprint(), engine, false)
		}
		if a.Kind == admission.Expired {
			continue
		}
		to := r.fleet.router(a.Request.Router)
		r.send(to, func() { to.answered(q, engine, a, r) })
	}
}

// crashed is called at the owner of an engine that has crashed, with the requests in flight. The other routers learn of
// the suspects by gossip; those that hold a suspect learn of it with the broken stream.
func (r *router) crashed(c quarantine.Crash, calls []*call) {
	s := r.fleet
	var fingerprints []string
	for _, q := range calls {
		fingerprints = append(fingerprints, q.fingerprint())
	}
	entries := r.quarantine.RecordCrash(r.wallClock(), c, fingerprints)
	for _, q := range calls {
		for _, e := range entries {
			if e.Fingerprint == q.fingerprint() {
				q.suspect = e
			}
		}
	}
	for _, o := range s.routers {
		if o != r && s.reaches(r.name, o.name) {
			s.after(time.Duration((0.5+0.5*s.chance("gossip", o.name))*float64(time.Second)), func() {
				o.do(func() { o.learn(slices.Clone(entries)) })
			})
		}
	}
}

// learn takes the crash suspects that another router spread.
func (r *router) learn(entries []quarantine.Entry) {
	now := r.wallClock()
	if r.fleet.has(OwnClock) {
		for i := range entries {
			entries[i].At = quarantine.CorrectClockSkew(now, entries[i].At)
		}
	}
	r.quarantine.Merge(now, entries)
}

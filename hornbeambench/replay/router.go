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

// router simulates a router. It runs the decision packages on its own view of engines and members.
type router struct {
	fleet *fleet
	index int
	name  string
	zone  string
	up    bool
	// A paused router defers its events until it resumes.
	paused   bool
	deferred []func()
	// isolated is set after a gap in the router's own clock. The router owns no engine until it
	// receives a new member list.
	isolated bool
	view     placement.View
	// listedState is the state of an engine in the instance list. suspectUntil is how long an
	// engine stays suspect after a failure that the router observed itself.
	listedState   map[string]placement.State
	suspectUntil  map[string]time.Duration
	members       []string
	gates         map[string]*admission.Gate
	fallbackGates map[string]*admission.FallbackGate
	relocations   *placement.RelocationTable
	rule          placement.Rule
	placer        placement.Placer
	// Only baselines use the last reported load and the number of requests sent since then.
	reportedLoads, sentSinceReport map[string]float64
	lastMean                       admission.Mean
	quarantine                     *quarantine.Tracker
	surges                         *limit.SurgeDetector
	// health holds the health records of the owned engines. pace tracks the token gaps and failures
	// of this router's attempts, and budget limits its retries.
	health *retry.Health
	pace   *retry.OutlierDetector
	budget *retry.Budget
	// callsWithSlot are the calls of this router that hold a slot, by attempt. Their slots are
	// renewed.
	callsWithSlot map[string]*call
	// clockSkew is the error of the router's wall clock. unreachable lists the engines beyond a
	// partition.
	clockSkew   time.Duration
	unreachable []string
}

func newRouter(f *fleet, index int, engines []placement.Engine) *router {
	r := &router{
		fleet: f, index: index, name: "r" + string(rune('1'+index)), zone: f.engines[index%f.Zones].zone, up: true,
		view: placement.NewView(engines), rule: placement.New(f.Placement), placer: f.newPlacer(index),
	}
	r.reset()
	return r
}

// reset clears all state, as a replaced process does.
func (r *router) reset() {
	r.listedState = map[string]placement.State{}
	r.suspectUntil = map[string]time.Duration{}
	r.gates = map[string]*admission.Gate{}
	r.fallbackGates = map[string]*admission.FallbackGate{}
	r.relocations = placement.NewRelocationTable(1 << 16)
	r.reportedLoads, r.sentSinceReport = map[string]float64{}, map[string]float64{}
	r.callsWithSlot = map[string]*call{}
	r.quarantine = quarantine.New(quarantine.Defaults())
	r.surges = limit.NewSurgeDetector(limit.DefaultSurgeSettings())
	r.deferred = nil
	r.resetHealth()
}

// runOrDefer runs an event at the router. A paused router runs it when it resumes, and a stopped
// router drops it.
func (r *router) runOrDefer(event func()) {
	switch {
	case !r.up:
	case r.paused:
		r.deferred = append(r.deferred, event)
	default:
		event()
	}
}

// sendTo runs an event at another router after the network latency.
func (r *router) sendTo(to *router, event func()) {
	if to == r {
		r.runOrDefer(event)
		return
	}
	if r.fleet.canReach(r.name, to.name) {
		r.fleet.after(r.fleet.latency(r.zone, to.zone), func() { to.runOrDefer(event) })
	}
}

// ownerOf returns the owner of an engine by rendezvous hashing over the members that this router
// knows.
func (r *router) ownerOf(id string) *router {
	best, bestScore := "", -1.0
	for _, name := range r.members {
		if score := (&fleet{seed: 1}).hashFraction("owner", id, name); score > bestScore {
			best, bestScore = name, score
		}
	}
	return r.fleet.routerByName(best)
}

// updateOwnership creates gates for engines that the router now owns and closes the gates of
// engines that it no longer owns.
func (r *router) updateOwnership(initial bool) {
	now := r.fleet.wall()
	for _, e := range r.fleet.engines {
		owned := !r.isolated && len(r.members) > 0 && r.ownerOf(e.id) == r
		gate, hasGate := r.gates[e.id]
		switch {
		case owned && !hasGate && initial:
			r.gates[e.id] = admission.New(now, r.fleet.Admission)
		case owned && !hasGate:
			r.gates[e.id] = admission.NewAfterTakeover(now, r.fleet.Admission)
			r.gates[e.id].SetMean(now, r.lastMean)
		case !owned && hasGate:
			r.sendGateActions(e.id, gate.Close(now))
			delete(r.gates, e.id)
		}
	}
}

func (r *router) setMembers(names []string) {
	r.members = names
	r.isolated = false
	r.updateOwnership(false)
}

func (r *router) recordLoadReport(id string, measuredAt time.Duration, load float64) {
	r.reportedLoads[id], r.sentSinceReport[id] = load, 0
	if gate := r.gates[id]; gate != nil {
		r.sendGateActions(id, gate.SetReport(r.fleet.wall(), admission.Report{At: epoch.Add(measuredAt), Load: load}))
	}
}

func (r *router) recordMeanLoad(mean admission.Mean, evicted map[string]float64) {
	r.lastMean = mean
	status := map[string]placement.Status{}
	for id, at := range evicted {
		status[id] = placement.Status{EvictedBefore: epoch.Add(seconds(at))}
	}
	r.view = r.view.WithStatuses(status)
	for _, id := range r.ownedEngines() {
		r.sendGateActions(id, r.gates[id].SetMean(r.fleet.wall(), mean))
	}
}

// ownedEngines returns the engines with a gate, in a fixed order.
func (r *router) ownedEngines() []string {
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
	for _, id := range r.ownedEngines() {
		r.sendGateActions(id, r.gates[id].Tick(now))
	}
	for _, e := range r.fleet.engines {
		if until, ok := r.suspectUntil[e.id]; ok && r.fleet.now >= until {
			delete(r.suspectUntil, e.id)
			r.view = r.view.WithState(e.id, r.listedState[e.id])
		}
	}
	r.renewSlots(now)
}

// renewSlots extends the slots that are about to expire.
func (r *router) renewSlots(now time.Time) {
	var due []*call
	for _, c := range r.callsWithSlot {
		if c.slotExpiry.Sub(now) < r.fleet.Admission.Lease/2 {
			due = append(due, c)
		}
	}
	slices.SortFunc(due, func(a, b *call) int { return strings.Compare(a.attemptID, b.attemptID) })
	for _, c := range due {
		owner, id, engine := c.owner, c.slotID, c.engineID
		c.slotExpiry = now.Add(r.fleet.Admission.Lease)
		r.sendTo(owner, func() {
			if gate := owner.gates[engine]; gate != nil {
				gate.Renew(r.fleet.wall(), []uint64{id})
			}
		})
	}
}

// applyListedState applies the state of an engine from the instance list.
func (r *router) applyListedState(id string, state placement.State) {
	previous := r.listedState[id]
	r.listedState[id] = state
	if _, ok := r.suspectUntil[id]; ok && state == placement.InService {
		return
	}
	delete(r.suspectUntil, id)
	r.view = r.view.WithState(id, state)
	gate := r.gates[id]
	switch state {
	case placement.Suspect, placement.Gone, placement.Leaving:
		if gate != nil {
			r.sendGateActions(id, gate.Close(r.fleet.wall()))
		}
	case placement.Joining:
		if gate != nil && previous != placement.Joining {
			r.gates[id] = admission.NewAfterTakeover(r.fleet.wall(), r.fleet.Admission)
			r.health.RecordRestart(r.fleet.wall(), id)
			r.gates[id].SetMean(r.fleet.wall(), r.lastMean)
		}
	}
	if r.placer == nil {
		r.moveContexts(id, previous, state)
	}
}

// moveContexts moves KV caches away from an engine that is leaving, and to one that is joining. The
// owner of the source engine knows the contexts from cache events, of which one in twenty is lost.
func (r *router) moveContexts(id string, previous, state placement.State) {
	tokenBudget := 200000
	switch {
	case state == placement.Leaving && r.gates[id] != nil:
		e := r.fleet.engineByID[id]
		r.fleet.scheduleMoves(r, r.rule.Evacuate(r.fleet.wall(), id, r.knownContexts(e), tokenBudget, r.view))
	case state == placement.Joining && previous != placement.Joining:
		for _, from := range r.ownedEngines() {
			engineBudget := tokenBudget / len(r.fleet.engines)
			r.fleet.scheduleMoves(r, r.rule.WarmUp(r.fleet.wall(), from, id, r.knownContexts(r.fleet.engineByID[from]), engineBudget, r.view))
		}
	}
}

func (r *router) knownContexts(e *engine) []placement.ChatContext {
	var out []placement.ChatContext
	for _, entry := range e.cache.chats() {
		if r.fleet.hashFraction("event", e.id, entry.chat) < 0.05 {
			continue
		}
		out = append(out, placement.ChatContext{Chat: entry.chat, Model: "m", Tokens: entry.tokens, LastUsed: epoch.Add(seconds(entry.lastUsed))})
	}
	return out
}

// suspectEngine takes an engine out of use after a failure that the router observed itself.
func (r *router) suspectEngine(id string) {
	r.suspectUntil[id] = r.fleet.now + 2*time.Second
	if r.listedState[id] == placement.InService || r.listedState[id] == placement.Joining {
		r.view = r.view.WithState(id, placement.Suspect)
	}
	if gate := r.gates[id]; gate != nil {
		r.sendGateActions(id, gate.Close(r.fleet.wall()))
	}
}

// sendGateActions sends the replies of a gate to the routers that requested the slots.
func (r *router) sendGateActions(engine string, actions []admission.Action) {
	for _, action := range actions {
		c := r.fleet.callsByAttempt[action.Request.RequestID]
		if c == nil {
			continue
		}
		if action.Kind == admission.Refused || action.Kind == admission.Expired {
			r.quarantine.End(c.fingerprint(), engine, false)
		}
		if action.Kind == admission.Expired {
			continue
		}
		to := r.fleet.routerByName(action.Request.Router)
		r.sendTo(to, func() { to.handleSlotReply(c, engine, action, r) })
	}
}

// recordCrash records the crash of an engine and the requests that ran on it. It runs at the owner
// of the engine, if that is available. The other routers get the quarantine entries by gossip, and
// the routers whose streams broke get them together with the failure.
func (r *router) recordCrash(crash quarantine.Crash, calls []*call) {
	f := r.fleet
	var fingerprints []string
	for _, c := range calls {
		fingerprints = append(fingerprints, c.fingerprint())
	}
	entries := r.quarantine.RecordCrash(r.wallClock(), crash, fingerprints)
	for _, c := range calls {
		for _, entry := range entries {
			if entry.Fingerprint == c.fingerprint() {
				c.crashEntry = entry
			}
		}
	}
	for _, other := range f.routers {
		if other != r && f.canReach(r.name, other.name) {
			f.after(time.Duration((0.5+0.5*f.hashFraction("gossip", other.name))*float64(time.Second)), func() {
				other.runOrDefer(func() { other.mergeCrashEntries(slices.Clone(entries)) })
			})
		}
	}
}

// mergeCrashEntries merges the quarantine entries received from another router.
func (r *router) mergeCrashEntries(entries []quarantine.Entry) {
	now := r.wallClock()
	if r.fleet.enabled(ClockCorrection) {
		for i := range entries {
			entries[i].At = quarantine.CorrectClockSkew(now, entries[i].At)
		}
	}
	r.quarantine.Merge(now, entries)
}

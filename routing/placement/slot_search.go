package placement

import (
	"slices"
	"time"
)

// SlotSearch searches for a slot for one request: it names the engines to ask, one after the other,
// until one grants a slot or the request should queue. It is not safe for concurrent use.
type SlotSearch struct {
	rule    Rule
	view    View
	request Request
	// first is the result of Place, which does not consider refusals.
	first Decision
	// preferences holds the engines to ask, in order; nil until it is needed.
	preferences []string
	// refusals holds the engines that refused the request.
	refusals []refusal
	// maxAsked is the number of engines to ask before the request queues at one of them.
	maxAsked int
}

// refusal is a refusal by an engine's admission gate, with the wait that the gate expects.
type refusal struct {
	engine string
	wait   time.Duration
}

// Step is the next engine to ask for a slot.
type Step struct {
	// Engine is empty if no engine can serve the request.
	Engine string
	// From and FallbackFrom are as in Decision.
	From, FallbackFrom string
	Home               string
	Reason             Reason
	// Queue tells the admission gate what to do if no slot is free: to queue the request if true,
	// and to refuse it if false.
	Queue bool
}

// Search starts a search for a slot at the engine that Place chooses. At most maxAsked engines are
// asked before the request queues at one of them.
func (p Rule) Search(now time.Time, r Request, v View, maxAsked int) *SlotSearch {
	return &SlotSearch{rule: p, view: v, request: r, first: p.Place(now, r, v), maxAsked: max(1, maxAsked)}
}

// SetHolder repeats the placement with the engine that holds the chat's context, as reported by the
// router that owns the home engine. Recorded refusals are kept.
func (ss *SlotSearch) SetHolder(now time.Time, engine string) {
	ss.request.Holder = engine
	ss.first = ss.rule.Place(now, ss.request, ss.view)
}

// RecordRefusal records that an engine's admission gate refused the request, and the wait that the
// gate expects.
func (ss *SlotSearch) RecordRefusal(engine string, wait time.Duration) {
	ss.refusals = append(ss.refusals, refusal{engine, wait})
}

// Reset clears the refusals after a wait at one engine, because other engines may have free slots
// by now.
func (ss *SlotSearch) Reset() { ss.refusals = ss.refusals[:0] }

// Refusals returns the number of engines that have refused the request since the start or the last
// call of Reset.
func (ss *SlotSearch) Refusals() int { return len(ss.refusals) }

// Exclude excludes an engine from the search because it cannot be reached.
func (ss *SlotSearch) Exclude(now time.Time, engine string) {
	ss.view = ss.view.WithState(engine, Suspect)
	ss.refusals = slices.DeleteFunc(ss.refusals, func(r refusal) bool { return r.engine == engine })
	ss.preferences = nil
	ss.first = ss.rule.Place(now, ss.request, ss.view)
}

// Next returns the next engine to ask.
func (ss *SlotSearch) Next(now time.Time) Step {
	if ss.first.Engine == "" {
		return Step{Home: ss.first.Home}
	}
	if !ss.refused(ss.first.Engine) {
		return ss.step(now, ss.first.Engine, ss.first.Reason, false)
	}
	cheapest := ss.cheapest(now)
	next := ss.nextUnasked()
	if next == "" || len(ss.refusals) >= ss.maxAsked {
		return ss.step(now, cheapest.engine, ss.reason(cheapest.engine), true)
	}
	// The wait at an engine that was not asked yet is unknown, so that its cost is at least
	// contextCost. Queue at the cheapest engine that refused the request if its cost is at most
	// that plus the margin.
	if cheapest.wait <= ss.contextCost(now, next)+ss.margin(now) && cheapest.wait > 0 {
		return ss.step(now, cheapest.engine, ss.reason(cheapest.engine), true)
	}
	return ss.step(now, next, Spilled, false)
}

// reason returns the reason for asking an engine.
func (ss *SlotSearch) reason(engine string) Reason {
	if engine == ss.first.Engine {
		return ss.first.Reason
	}
	return Spilled
}

// step returns the step that asks an engine, with the engines from which to import the KV cache.
func (ss *SlotSearch) step(now time.Time, engine string, reason Reason, queue bool) Step {
	s := Step{Engine: engine, Home: ss.first.Home, Reason: reason, Queue: queue}
	position, holder := ss.view.index[engine], ss.contextHolder(now)
	d := Decision{Home: ss.first.Home, SecondHome: ss.first.SecondHome}
	d = ss.rule.complete(d, ss.request, ss.view, position, reason, holder)
	s.From, s.FallbackFrom = d.From, d.FallbackFrom
	return s
}

// refused reports whether an engine has refused the request.
func (ss *SlotSearch) refused(engine string) bool {
	return slices.ContainsFunc(ss.refusals, func(r refusal) bool { return r.engine == engine })
}

// cheapest returns the refusal with the lowest cost, which is the sum of the expected wait and
// contextCost. The wait of the result holds that cost.
func (ss *SlotSearch) cheapest(now time.Time) refusal {
	var best refusal
	for _, r := range ss.refusals {
		r.wait += ss.contextCost(now, r.engine)
		if best.engine == "" || r.wait < best.wait {
			best = r
		}
	}
	return best
}

// nextUnasked returns the first engine in order of preference that accepts work and has not refused
// the request, or "".
func (ss *SlotSearch) nextUnasked() string {
	if ss.preferences == nil {
		ss.preferences = ss.view.PreferenceList(nil, ss.request, len(ss.view.engines))
	}
	for _, id := range ss.preferences {
		if !ss.refused(id) && ss.view.acceptsWork(ss.view.index[id]) {
			return id
		}
	}
	return ""
}

// contextHolder returns the position of the engine that should hold the context of the chat, or
// noIndex.
func (ss *SlotSearch) contextHolder(now time.Time) int32 {
	s := ss.view.candidates(ss.request.Model, ss.request.Adapter)
	key := Key(ss.request.Model, ss.request.Adapter, ss.request.Chat)
	first, second := firstTwo(s.groups, key)
	return ss.rule.contextHolder(now, ss.request, ss.view, s, key, first, second)
}

// contextCost returns the time to compute the chat's context anew on an engine or to move its KV
// cache there, whichever is shorter. It is 0 if the engine holds the context, or if none does.
func (ss *SlotSearch) contextCost(now time.Time, engine string) time.Duration {
	holder := ss.contextHolder(now)
	position := ss.view.index[engine]
	return ss.rule.cost(ss.request, ss.view, position, holder) - ss.view.status[position].Wait
}

// margin returns Settings.Margin if an engine should hold the context of the chat, and 0 otherwise.
func (ss *SlotSearch) margin(now time.Time) time.Duration {
	if ss.contextHolder(now) == noIndex {
		return 0
	}
	return ss.rule.Settings.Margin
}

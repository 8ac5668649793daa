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
	// first is the placement decision before any refusal.
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
	// Queue is true if the request should wait in the queue of the engine if no slot is free.
	// Otherwise the admission gate is asked to refuse it instead.
	Queue bool
}

// Search starts a search for a slot at the engine that Place chooses. At most maxAsked engines are
// asked before the request queues at one of them.
func (p Rule) Search(now time.Time, r Request, v View, maxAsked int) *SlotSearch {
	return &SlotSearch{rule: p, view: v, request: r, first: p.Place(now, r, v), maxAsked: max(1, maxAsked)}
}

// SetHolder restarts the search at the engine that holds the chat's context, according to the
// router that owns the home engine.
func (w *SlotSearch) SetHolder(now time.Time, engine string) {
	w.request.Holder = engine
	w.first = w.rule.Place(now, w.request, w.view)
}

// RecordRefusal records that an engine's admission gate refused the request, and the wait that the
// gate expects.
func (w *SlotSearch) RecordRefusal(engine string, wait time.Duration) {
	w.refusals = append(w.refusals, refusal{engine, wait})
}

// Reset clears the refusals after a wait at one engine, because other engines may have free slots
// by now.
func (w *SlotSearch) Reset() { w.refusals = w.refusals[:0] }

// Refusals returns the number of engines that have refused the request since the start or the last
// call of Reset.
func (w *SlotSearch) Refusals() int { return len(w.refusals) }

// Exclude excludes an engine from the search because it cannot be reached.
func (w *SlotSearch) Exclude(now time.Time, engine string) {
	w.view = w.view.WithState(engine, Suspect)
	w.refusals = slices.DeleteFunc(w.refusals, func(r refusal) bool { return r.engine == engine })
	w.preferences = nil
	w.first = w.rule.Place(now, w.request, w.view)
}

// Next returns the next engine to ask.
func (w *SlotSearch) Next(now time.Time) Step {
	if w.first.Engine == "" {
		return Step{Home: w.first.Home}
	}
	if !w.refused(w.first.Engine) {
		return w.step(now, w.first.Engine, w.first.Reason, false)
	}
	cheapest := w.cheapest(now)
	next := w.nextUnasked()
	if next == "" || len(w.refusals) >= w.maxAsked {
		return w.step(now, cheapest.engine, w.reason(cheapest.engine), true)
	}
	// An engine that was not asked yet costs at least a cache miss. Queue if the wait at a known
	// engine is no longer than that.
	if cheapest.wait <= w.missCost(now, next)+w.margin(now) && cheapest.wait > 0 {
		return w.step(now, cheapest.engine, w.reason(cheapest.engine), true)
	}
	return w.step(now, next, Spilled, false)
}

// reason returns the reason for asking an engine.
func (w *SlotSearch) reason(engine string) Reason {
	if engine == w.first.Engine {
		return w.first.Reason
	}
	return Spilled
}

// step returns the step that asks an engine, with the engines from which to import the KV cache.
func (w *SlotSearch) step(now time.Time, engine string, reason Reason, queue bool) Step {
	s := Step{Engine: engine, Home: w.first.Home, Reason: reason, Queue: queue}
	position, holder := w.view.index[engine], w.contextHolder(now)
	d := Decision{Home: w.first.Home, SecondHome: w.first.SecondHome}
	d = w.rule.complete(d, w.request, w.view, position, reason, holder)
	s.From, s.FallbackFrom = d.From, d.FallbackFrom
	return s
}

// refused reports whether an engine has refused the request.
func (w *SlotSearch) refused(engine string) bool {
	return slices.ContainsFunc(w.refusals, func(r refusal) bool { return r.engine == engine })
}

// cheapest returns the engine that refused the request and has the lowest sum of expected wait and
// cost of a cache miss, with that sum as its wait.
func (w *SlotSearch) cheapest(now time.Time) refusal {
	var best refusal
	for _, r := range w.refusals {
		r.wait += w.missCost(now, r.engine)
		if best.engine == "" || r.wait < best.wait {
			best = r
		}
	}
	return best
}

// nextUnasked returns the first engine in order of preference that accepts work and has not refused
// the request, or "".
func (w *SlotSearch) nextUnasked() string {
	if w.preferences == nil {
		w.preferences = w.view.PreferenceList(nil, w.request, len(w.view.engines))
	}
	for _, id := range w.preferences {
		if !w.refused(id) && w.view.acceptsWork(w.view.index[id]) {
			return id
		}
	}
	return ""
}

// contextHolder returns the position of the engine that should hold the context of the chat, or
// noIndex.
func (w *SlotSearch) contextHolder(now time.Time) int32 {
	s := w.view.candidates(w.request.Model, w.request.Adapter)
	key := Key(w.request.Model, w.request.Adapter, w.request.Chat)
	first, second := firstTwo(s.groups, key)
	return w.rule.contextHolder(now, w.request, w.view, s, key, first, second)
}

// missCost returns what a cache miss on an engine adds to its wait, which is 0 if the engine holds
// the context.
func (w *SlotSearch) missCost(now time.Time, engine string) time.Duration {
	holder := w.contextHolder(now)
	position := w.view.index[engine]
	return w.rule.cost(w.request, w.view, position, holder) - w.view.status[position].Wait
}

// margin returns Settings.Margin if an engine should hold the context of the chat, and 0 otherwise.
func (w *SlotSearch) margin(now time.Time) time.Duration {
	if w.contextHolder(now) == noIndex {
		return 0
	}
	return w.rule.Settings.Margin
}

package placement

import (
	"slices"
	"time"
)

// Walk follows one request from engine to engine until one grants it a slot. It is not safe for concurrent use.
type Walk struct {
	rule    Rule
	view    View
	request Request
	// first is the decision before any refusal.
	first Decision
	// chain holds the engines to try, in order; tried those that were asked, with their expected waits.
	chain []string
	tried []attempt
	most  int
}

type attempt struct {
	engine string
	wait   time.Duration
}

// Step is the next engine to ask for a slot.
type Step struct {
	// Engine is empty if no engine can take the request.
	Engine string
	// From and Else are those of Decision.
	From, Else string
	Home       string
	Reason     Reason
	// Queue is true if the request should wait there; otherwise the gate is asked not to queue it.
	Queue bool
}

// Walk starts at the decision of Place and asks at most tries engines before the request waits at one of them.
func (p Rule) Walk(now time.Time, r Request, v View, tries int) *Walk {
	return &Walk{rule: p, view: v, request: r, first: p.Place(now, r, v), most: max(1, tries)}
}

// Held restarts the walk at the engine that holds the chat's context, as the owner of the home has answered.
func (w *Walk) Held(now time.Time, engine string) {
	w.request.Held = engine
	w.first = w.rule.Place(now, w.request, w.view)
}

// Full records that an engine's gate refused the request, with the wait that it expects.
func (w *Walk) Full(engine string, wait time.Duration) {
	w.tried = append(w.tried, attempt{engine, wait})
}

// Again starts over after a wait at one engine, since another may have room by now.
func (w *Walk) Again() { w.tried = w.tried[:0] }

// Asked returns the number of engines that refused the request since the start or the last call of Again.
func (w *Walk) Asked() int { return len(w.tried) }

// Avoid removes an engine from the walk because it cannot be reached.
func (w *Walk) Avoid(now time.Time, engine string) {
	w.view = w.view.WithState(engine, Suspect)
	w.tried = slices.DeleteFunc(w.tried, func(a attempt) bool { return a.engine == engine })
	w.chain = nil
	w.first = w.rule.Place(now, w.request, w.view)
}

// Next returns the engine to ask now.
func (w *Walk) Next(now time.Time) Step {
	if w.first.Engine == "" {
		return Step{Home: w.first.Home}
	}
	if !w.asked(w.first.Engine) {
		return w.step(now, w.first.Engine, w.first.Reason, false)
	}
	best := w.cheapest(now)
	next := w.untried()
	if next == "" || len(w.tried) >= w.most {
		return w.step(now, best.engine, w.reason(best.engine), true)
	}
	// An engine not yet asked costs at least the miss. Staying is right if the wait is shorter than that.
	if best.wait <= w.miss(now, next)+w.margin(now) && best.wait > 0 {
		return w.step(now, best.engine, w.reason(best.engine), true)
	}
	return w.step(now, next, Spilled, false)
}

func (w *Walk) reason(engine string) Reason {
	if engine == w.first.Engine {
		return w.first.Reason
	}
	return Spilled
}

func (w *Walk) step(now time.Time, engine string, reason Reason, queue bool) Step {
	s := Step{Engine: engine, Home: w.first.Home, Reason: reason, Queue: queue}
	at, source := w.view.index[engine], w.source(now)
	d := Decision{Home: w.first.Home, Second: w.first.Second}
	d = w.rule.finish(d, w.request, w.view, at, reason, source)
	s.From, s.Else = d.From, d.Else
	return s
}

func (w *Walk) asked(engine string) bool {
	return slices.ContainsFunc(w.tried, func(a attempt) bool { return a.engine == engine })
}

// cheapest returns the engine asked before that has the lowest wait plus miss, with that sum.
func (w *Walk) cheapest(now time.Time) attempt {
	var best attempt
	for _, a := range w.tried {
		a.wait += w.miss(now, a.engine)
		if best.engine == "" || a.wait < best.wait {
			best = a
		}
	}
	return best
}

func (w *Walk) untried() string {
	if w.chain == nil {
		w.chain = w.view.Chain(nil, w.request, len(w.view.engines))
	}
	for _, id := range w.chain {
		if !w.asked(id) && w.view.takes(w.view.index[id]) {
			return id
		}
	}
	return ""
}

func (w *Walk) source(now time.Time) int32 {
	s := w.view.candidates(w.request.Model, w.request.Adapter)
	key := Key(w.request.Model, w.request.Adapter, w.request.Chat)
	first, second := top(s.groups, key)
	return w.rule.source(now, w.request, w.view, s, key, first, second)
}

func (w *Walk) miss(now time.Time, engine string) time.Duration {
	source := w.source(now)
	at := w.view.index[engine]
	return w.rule.cost(w.request, w.view, at, source) - w.view.status[at].Wait
}

func (w *Walk) margin(now time.Time) time.Duration {
	if w.source(now) == none {
		return 0
	}
	return w.rule.Settings.Margin
}

package replay

import (
	"math"
	"slices"
	"time"

	"hornbeamstep.example/routing/admission"
)

// engine is the fake of a model engine: continuous batching in steps, a limited prefix cache, crashes and hangs. In each
// step every request of the batch that is past its prompt gets one token, and the first of the others gets a chunk of
// its prompt computed. Steps are computed in one go up to the next change.
type engine struct {
	clock *clock
	id    string
	zone  string
	step  time.Duration
	chunk int
	batch int
	// boot counts the starts.
	boot int
	// up is false after a crash; hung engines accept work and make no progress.
	up, hung bool
	leaving  bool
	slow     float64
	cache    *prefixCache
	cacheMax int
	running  []*run
	// coming counts requests placed here that have not arrived yet; only the omniscient placer knows it.
	coming  int
	waiting []*run
	// last is the end of the last computed step.
	last time.Duration
	// timer invalidates scheduled changes that were overtaken.
	timer int
	// changed is called when the load may have changed.
	changed func()
}

// run is one attempt on an engine.
type run struct {
	call     *call
	attempt  string
	class    admission.Class
	prompt   int
	answer   int
	tokens   int
	hit      int
	started  bool
	silent   bool
	finished bool
	// first, done and broken are called at most once each; done and broken exclude each other.
	first, done, broken func()
}

func (e *engine) load() float64 { return float64(len(e.running) + len(e.waiting)) }

// start accepts a run; false means that the connection was refused.
func (e *engine) start(r *run) bool {
	if !e.up {
		return false
	}
	e.settle()
	if len(e.running) == 0 {
		e.last = e.clock.now
	}
	e.waiting = append(e.waiting, r)
	e.fill()
	e.schedule()
	e.changed()
	return true
}

// fill moves waiting requests into the batch by class, then arrival.
func (e *engine) fill() {
	for len(e.running) < e.batch && len(e.waiting) > 0 {
		at := 0
		for i, r := range e.waiting {
			if r.class < e.waiting[at].class {
				at = i
			}
		}
		r := e.waiting[at]
		e.waiting = slices.Delete(e.waiting, at, at+1)
		e.admit(r)
	}
}

func (e *engine) admit(r *run) {
	q := r.call
	r.started = true
	q.started++
	r.hit = min(e.cache.tokens(q.req.Chat), q.context)
	q.fleet.measure.missed(q, e, r.hit)
	shared := 0
	if r.hit < q.req.Prefix {
		shared = min(e.cache.tokens("prefix/"+q.req.Account), q.req.Prefix)
	}
	total := q.req.Prompt + q.context
	if q.context == 0 {
		total += q.req.Prefix
	}
	r.prompt = max(1, total-max(r.hit, shared))
	e.running = append(e.running, r)
	q.fleet.ran(r)
}

// prefilling returns the request whose prompt is computed next: the best class, then the earliest.
func (e *engine) prefilling() *run {
	var best *run
	for _, r := range e.running {
		if r.prompt > 0 && (best == nil || r.class < best.class) {
			best = r
		}
	}
	return best
}

func (e *engine) stepTime() time.Duration { return time.Duration(float64(e.step) * e.slow) }

// schedule sets the timer for the next change.
func (e *engine) schedule() {
	e.timer++
	if len(e.running) == 0 || e.hung || !e.up {
		return
	}
	steps := math.MaxInt
	if r := e.prefilling(); r != nil {
		steps = (r.prompt + e.chunk - 1) / e.chunk
	}
	for _, r := range e.running {
		if r.prompt == 0 {
			steps = min(steps, r.answer-r.tokens)
		}
	}
	timer := e.timer
	e.clock.after(e.last+time.Duration(max(1, steps))*e.stepTime()-e.clock.now, func() {
		if e.timer == timer {
			e.settle()
			e.schedule()
		}
	})
}

// settle computes the steps up to now and reports first tokens and ends.
func (e *engine) settle() {
	if len(e.running) == 0 || e.hung || !e.up {
		return
	}
	steps := int((e.clock.now - e.last) / e.stepTime())
	if steps <= 0 {
		return
	}
	e.last += time.Duration(steps) * e.stepTime()
	head := e.prefilling()
	for _, r := range e.running {
		if r.prompt == 0 {
			r.tokens = min(r.answer, r.tokens+steps)
		}
	}
	if head != nil {
		head.prompt = max(0, head.prompt-steps*e.chunk)
		if head.prompt == 0 {
			head.tokens = 1
			head.call.fleet.computed(e, head)
			if head.first != nil && !head.silent {
				head.first()
			}
		}
	}
	e.finish()
}

func (e *engine) finish() {
	var ended []*run
	e.running = slices.DeleteFunc(e.running, func(r *run) bool {
		if r.prompt > 0 || r.tokens < r.answer {
			return false
		}
		r.finished = true
		ended = append(ended, r)
		return true
	})
	if len(ended) == 0 {
		return
	}
	e.fill()
	e.changed()
	for _, r := range ended {
		q := r.call
		size := q.context + q.req.Prompt + q.req.Answer
		e.cache.put(cached{name: q.req.Chat, chat: q.req.Chat, account: q.req.Account, tokens: size, last: e.clock.now.Seconds()})
		if !r.silent {
			r.done()
		}
	}
}

// cancel removes a run.
func (e *engine) cancel(r *run) {
	e.settle()
	out := func(x *run) bool { return x == r }
	e.running = slices.DeleteFunc(e.running, out)
	e.waiting = slices.DeleteFunc(e.waiting, out)
	e.fill()
	e.schedule()
	e.changed()
}

// crash breaks all runs and empties the cache.
func (e *engine) crash() {
	e.settle()
	broken := append(slices.Clone(e.running), e.waiting...)
	e.running, e.waiting = nil, nil
	e.up, e.hung, e.slow = false, false, 1
	e.cache = newCache(e.cacheMax)
	e.schedule()
	e.changed()
	for _, r := range broken {
		if !r.silent {
			r.broken()
		}
	}
}

func (e *engine) restart() {
	e.up, e.leaving = true, false
	e.boot++
	e.changed()
}

// pace changes the speed; a hung engine makes no progress.
func (e *engine) pace(slow float64, hung bool) {
	e.settle()
	e.slow, e.hung = slow, hung
	e.last = e.clock.now
	e.schedule()
}

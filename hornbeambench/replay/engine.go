package replay

import (
	"math"
	"slices"
	"time"

	"hornbeamstep.example/routing/admission"
)

// engine simulates a model engine with continuous batching, a limited prefix cache, crashes and
// hangs. In each step, one request of the batch has a chunk of its prompt computed (see
// nextPrefill), and each request whose prompt is complete generates one token. To save events, the
// simulation computes all steps up to the end of the next prompt or answer at once.
type engine struct {
	clock        *clock
	id           string
	zone         string
	baseStepTime time.Duration
	chunkTokens  int
	maxBatch     int
	// bootCount counts the restarts.
	bootCount int
	// up is false after a crash. A hung engine accepts requests and makes no progress.
	up, hung bool
	draining bool
	// slowdown is the factor by which a step takes longer than baseStepTime.
	slowdown   float64
	cache      *prefixCache
	cacheLimit int
	running    []*engineRun
	// inFlight counts the requests that were sent to the engine and have not arrived yet. Only the
	// omniscient placer knows it.
	inFlight int
	waiting  []*engineRun
	// lastStepEnd is the end of the last computed step.
	lastStepEnd time.Duration
	// timerVersion is incremented by each scheduling of the timer; a timer of an earlier version is
	// ignored.
	timerVersion int
	// onLoadChange is called when the load may have changed.
	onLoadChange func()
}

// engineRun is one attempt on an engine.
type engineRun struct {
	call             *call
	attemptID        string
	class            admission.Class
	promptTokensLeft int
	answerTokens     int
	generatedTokens  int
	cachedTokens     int
	started          bool
	// silent is true if the open connection transmits no data any more, although it is not closed.
	silent   bool
	finished bool
	// Each callback is called at most once, except onFirstToken, which is called again when a
	// stream is resumed. At most one of onDone and onBroken is called, and none of the two after
	// the run is cancelled.
	onFirstToken, onDone, onBroken func()
}

func (e *engine) load() float64 { return float64(len(e.running) + len(e.waiting)) }

// accept queues a run. It returns false if the engine is down and refuses the connection.
func (e *engine) accept(run *engineRun) bool {
	if !e.up {
		return false
	}
	e.advance()
	if len(e.running) == 0 {
		e.lastStepEnd = e.clock.now
	}
	e.waiting = append(e.waiting, run)
	e.fillBatch()
	e.scheduleNextChange()
	e.onLoadChange()
	return true
}

// fillBatch moves waiting requests into the batch, by class and then by arrival.
func (e *engine) fillBatch() {
	for len(e.running) < e.maxBatch && len(e.waiting) > 0 {
		first := 0
		for i, run := range e.waiting {
			if run.class < e.waiting[first].class {
				first = i
			}
		}
		run := e.waiting[first]
		e.waiting = slices.Delete(e.waiting, first, first+1)
		e.startRun(run)
	}
}

func (e *engine) startRun(run *engineRun) {
	c := run.call
	run.started = true
	c.runCount++
	run.cachedTokens = min(e.cache.tokens(c.req.Chat), c.contextTokens)
	c.fleet.stats.countTokensElsewhere(c, e, run.cachedTokens)
	sharedTokens := 0
	if run.cachedTokens < c.req.SharedPrefixTokens {
		sharedTokens = min(e.cache.tokens("prefix/"+c.req.Account), c.req.SharedPrefixTokens)
	}
	totalTokens := c.req.PromptTokens + c.contextTokens
	if c.contextTokens == 0 {
		totalTokens += c.req.SharedPrefixTokens
	}
	run.promptTokensLeft = max(1, totalTokens-max(run.cachedTokens, sharedTokens))
	e.running = append(e.running, run)
	c.fleet.countEngineRun(run)
}

// nextPrefill returns the run whose prompt is computed next: the one with the highest priority
// class and, within the class, the earliest in the batch. It returns nil if all prompts are
// complete.
func (e *engine) nextPrefill() *engineRun {
	var best *engineRun
	for _, run := range e.running {
		if run.promptTokensLeft > 0 && (best == nil || run.class < best.class) {
			best = run
		}
	}
	return best
}

func (e *engine) stepTime() time.Duration { return time.Duration(float64(e.baseStepTime) * e.slowdown) }

// scheduleNextChange schedules a call of advance for the time when the next prompt or answer is
// complete. It replaces the previous timer.
func (e *engine) scheduleNextChange() {
	e.timerVersion++
	if len(e.running) == 0 || e.hung || !e.up {
		return
	}
	steps := math.MaxInt
	if run := e.nextPrefill(); run != nil {
		steps = (run.promptTokensLeft + e.chunkTokens - 1) / e.chunkTokens
	}
	for _, run := range e.running {
		if run.promptTokensLeft == 0 {
			steps = min(steps, run.answerTokens-run.generatedTokens)
		}
	}
	timer := e.timerVersion
	e.clock.after(e.lastStepEnd+time.Duration(max(1, steps))*e.stepTime()-e.clock.now, func() {
		if e.timerVersion == timer {
			e.advance()
			e.scheduleNextChange()
		}
	})
}

// advance computes the steps up to now and reports first tokens and complete answers.
func (e *engine) advance() {
	if len(e.running) == 0 || e.hung || !e.up {
		return
	}
	steps := int((e.clock.now - e.lastStepEnd) / e.stepTime())
	if steps <= 0 {
		return
	}
	e.lastStepEnd += time.Duration(steps) * e.stepTime()
	prefill := e.nextPrefill()
	for _, run := range e.running {
		if run.promptTokensLeft == 0 {
			run.generatedTokens = min(run.answerTokens, run.generatedTokens+steps)
		}
	}
	if prefill != nil {
		prefill.promptTokensLeft = max(0, prefill.promptTokensLeft-steps*e.chunkTokens)
		if prefill.promptTokensLeft == 0 {
			prefill.generatedTokens = 1
			prefill.call.fleet.promptComputed(e, prefill)
			if prefill.onFirstToken != nil && !prefill.silent {
				prefill.onFirstToken()
			}
		}
	}
	e.removeFinished()
}

func (e *engine) removeFinished() {
	var finished []*engineRun
	e.running = slices.DeleteFunc(e.running, func(run *engineRun) bool {
		if run.promptTokensLeft > 0 || run.generatedTokens < run.answerTokens {
			return false
		}
		run.finished = true
		finished = append(finished, run)
		return true
	})
	if len(finished) == 0 {
		return
	}
	e.fillBatch()
	e.onLoadChange()
	for _, run := range finished {
		c := run.call
		contextTokens := c.contextTokens + c.req.PromptTokens + c.req.CompletionTokens
		e.cache.put(cacheEntry{name: c.req.Chat, chat: c.req.Chat, account: c.req.Account, tokens: contextTokens, lastUsed: e.clock.now.Seconds()})
		if !run.silent {
			run.onDone()
		}
	}
}

// cancel removes a run from the batch or the queue.
func (e *engine) cancel(run *engineRun) {
	e.advance()
	isRun := func(other *engineRun) bool { return other == run }
	e.running = slices.DeleteFunc(e.running, isRun)
	e.waiting = slices.DeleteFunc(e.waiting, isRun)
	e.fillBatch()
	e.scheduleNextChange()
	e.onLoadChange()
}

// crash breaks all runs and empties the cache.
func (e *engine) crash() {
	e.advance()
	broken := append(slices.Clone(e.running), e.waiting...)
	e.running, e.waiting = nil, nil
	e.up, e.hung, e.slowdown = false, false, 1
	e.cache = newCache(e.cacheLimit)
	e.scheduleNextChange()
	e.onLoadChange()
	for _, run := range broken {
		if !run.silent {
			run.onBroken()
		}
	}
}

func (e *engine) restart() {
	e.up, e.draining = true, false
	e.bootCount++
	e.onLoadChange()
}

// setSlowdown sets the factor of the step time and whether the engine hangs. The current step
// starts again.
func (e *engine) setSlowdown(slowdown float64, hung bool) {
	e.advance()
	e.slowdown, e.hung = slowdown, hung
	e.lastStepEnd = e.clock.now
	e.scheduleNextChange()
}

package modelengine

import (
	"slices"
	"time"
)

// ending says how a run ended.
type ending string

const (
	endNone      ending = ""
	endComplete  ending = "complete"
	endCancelled ending = "cancelled"
	endCrashed   ending = "crashed"
)

// run is one attempt. Its fields are guarded by the engine's mutex.
type run struct {
	attempt, chat, prompt, model string
	priority                     int
	prefix                       []block
	// limit is the number of tokens of the answer, and produced how many there are.
	limit, produced int
	// prefill is the number of prompt tokens still to read, and cached the number that was in the cache.
	prefill, cached, promptTokens int
	ending                        ending
	// burst is true if one step yields the whole answer.
	burst bool
	// changed is closed and replaced when produced or ending change.
	changed chan struct{}
}

func (r *run) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *run) end(how ending) {
	if r.ending == endNone {
		r.ending = how
		r.notify()
	}
}

// admit takes a run into the batch or the queue. It returns false if both are full or the attempt is known.
func (e *Engine) admit(r *run) (full, known bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.runs[r.attempt]; ok {
		return false, true
	}
	if e.server == nil || e.orders.draining || len(e.running)+len(e.queued) >= e.config.Running+e.config.Queue {
		return true, false
	}
	e.started[r.prompt]++
	e.runs[r.attempt] = r
	e.queued = append(e.queued, r)
	slices.SortStableFunc(e.queued, func(a, b *run) int { return a.priority - b.priority })
	e.fillLocked()
	poke(e.wake)
	return false, false
}

// fillLocked moves waiting runs into the batch.
func (e *Engine) fillLocked() {
	for len(e.running) < e.config.Running && len(e.queued) > 0 {
		r := e.queued[0]
		e.queued = e.queued[1:]
		r.cached = e.cache.lookup(r.prefix)
		r.prefill = r.promptTokens - r.cached
		e.running = append(e.running, r)
	}
}

// batch steps the runs of one life. It stands still while there is nothing to do.
func (e *Engine) batch(boot string, wake chan struct{}) {
	ticker := time.NewTicker(e.config.Step)
	defer ticker.Stop()
	for {
		e.mu.Lock()
		dead := e.boot != boot
		idle := len(e.running) == 0
		frozen := e.frozen
		e.mu.Unlock()
		switch {
		case dead:
			return
		case idle:
			<-wake
			ticker.Reset(e.config.Step)
		case frozen != nil:
			<-frozen
		}
		<-ticker.C
		e.step(boot)
	}
}

// step gives each running request one token, or reads a part of its prompt.
func (e *Engine) step(boot string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.boot != boot || e.frozen != nil {
		return
	}
	budget := e.config.Prefill
	for _, r := range e.running {
		switch {
		case r.ending != endNone:
		case r.prefill > 0:
			part := min(budget, r.prefill)
			r.prefill -= part
			budget -= part
		default:
			r.produced++
			if r.burst {
				r.produced = r.limit
			}
			r.notify()
			if r.produced == r.limit {
				e.finishLocked(r)
			}
		}
	}
	e.running = slices.DeleteFunc(e.running, func(r *run) bool { return r.ending != endNone })
	e.fillLocked()
}

// finishLocked completes a run and caches its prompt and answer.
func (e *Engine) finishLocked(r *run) {
	r.end(endComplete)
	at := time.Now()
	e.cache.store(r.chat, extend(r.prefix, Answer(r.prompt, r.limit), r.limit), at)
	e.forgetLater(r.attempt)
}

func (e *Engine) forgetLater(attempt string) {
	boot := e.boot
	time.AfterFunc(e.config.Retain, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.boot == boot {
			delete(e.runs, attempt)
		}
	})
}

// cancel ends a run. It reports whether the attempt is known.
func (e *Engine) cancel(attempt string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.runs[attempt]
	if !ok {
		return false
	}
	r.end(endCancelled)
	gone := func(r *run) bool { return r.ending != endNone }
	e.running = slices.DeleteFunc(e.running, gone)
	e.queued = slices.DeleteFunc(e.queued, gone)
	e.fillLocked()
	e.forgetLater(attempt)
	return true
}

// look returns the progress of a run and a channel that is closed at the next change.
func (e *Engine) look(r *run) (produced int, how ending, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return r.produced, r.ending, r.changed
}

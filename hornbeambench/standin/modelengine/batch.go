package modelengine

import (
	"slices"
	"time"
)

// endReason is the reason why a generation ended.
type endReason string

const (
	notEnded     endReason = ""
	endCompleted endReason = "complete"
	endCancelled endReason = "cancelled"
	endCrashed   endReason = "crashed"
)

// generation is the execution of one attempt by the engine. Its fields are guarded by Engine.mu.
type generation struct {
	attemptID, chatID, prompt, model string
	priority                         int
	// prefixes are the prefixes of the prompt, one for each message.
	prefixes []chatPrefix
	// responseTokens is the number of tokens of the complete response, and produced the number of
	// tokens generated so far.
	responseTokens, produced int
	// promptTokens is the number of tokens of the prompt. cachedTokens is the number of them that
	// the prefix cache contained, and prefillLeft the number that still have to be processed.
	prefillLeft, cachedTokens, promptTokens int
	endReason                               endReason
	// burst is true if one step generates the whole response.
	burst bool
	// changed is closed and replaced when produced or endReason changes.
	changed chan struct{}
}

func (g *generation) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *generation) end(reason endReason) {
	if g.endReason == notEnded {
		g.endReason = reason
		g.notify()
	}
}

// admit adds a generation to the batch or the queue. It returns duplicate without adding it if the
// attempt ID is already in use. It returns refused without adding it if the engine is stopped or
// draining, or if batch and queue are full.
func (e *Engine) admit(g *generation) (full, duplicate bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.generations[g.attemptID]; ok {
		return false, true
	}
	if e.server == nil || e.state.draining || len(e.running)+len(e.queued) >= e.config.MaxRunning+e.config.MaxQueued {
		return true, false
	}
	e.attemptCounts[g.prompt]++
	e.generations[g.attemptID] = g
	e.queued = append(e.queued, g)
	slices.SortStableFunc(e.queued, func(a, b *generation) int { return a.priority - b.priority })
	e.fillBatchLocked()
	signal(e.wake)
	return false, false
}

// fillBatchLocked moves queued generations into the batch until the batch is full. It looks up the
// prompt of each in the prefix cache, because cached tokens need no prefill.
func (e *Engine) fillBatchLocked() {
	for len(e.running) < e.config.MaxRunning && len(e.queued) > 0 {
		g := e.queued[0]
		e.queued = e.queued[1:]
		g.cachedTokens = e.cache.lookup(g.prefixes)
		g.prefillLeft = g.promptTokens - g.cachedTokens
		e.running = append(e.running, g)
	}
}

// runBatch executes the steps of the batch until the engine with this boot identifier has stopped.
// It blocks while the batch is empty or the engine hangs.
func (e *Engine) runBatch(bootID string, wake chan struct{}) {
	ticker := time.NewTicker(e.config.StepInterval)
	defer ticker.Stop()
	for {
		e.mu.Lock()
		stopped := e.bootID != bootID
		idle := len(e.running) == 0
		hangEnd := e.hangEnd
		e.mu.Unlock()
		switch {
		case stopped:
			return
		case idle:
			<-wake
			ticker.Reset(e.config.StepInterval)
		case hangEnd != nil:
			<-hangEnd
		}
		<-ticker.C
		e.step(bootID)
	}
}

// step generates one token for each running generation whose prompt has been processed, or the
// whole response if burst is set. Generations with unprocessed prompt tokens share the prefill
// budget of the step, in the order in which they joined the batch.
func (e *Engine) step(bootID string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.bootID != bootID || e.hangEnd != nil {
		return
	}
	prefillBudget := e.config.PrefillTokensPerStep
	for _, g := range e.running {
		switch {
		case g.endReason != notEnded:
		case g.prefillLeft > 0:
			processed := min(prefillBudget, g.prefillLeft)
			g.prefillLeft -= processed
			prefillBudget -= processed
		default:
			g.produced++
			if g.burst {
				g.produced = g.responseTokens
			}
			g.notify()
			if g.produced == g.responseTokens {
				e.completeLocked(g)
			}
		}
	}
	e.running = slices.DeleteFunc(e.running, func(g *generation) bool { return g.endReason != notEnded })
	e.fillBatchLocked()
}

// completeLocked ends a generation and adds its prompt and response to the prefix cache.
func (e *Engine) completeLocked(g *generation) {
	g.end(endCompleted)
	now := time.Now()
	e.cache.store(g.chatID, appendMessage(g.prefixes, CompletionText(g.prompt, g.responseTokens), g.responseTokens), now)
	e.scheduleRemovalLocked(g.attemptID)
}

// scheduleRemovalLocked removes an ended generation after Config.StreamRetention. Until then the
// stream can be resumed and the attempt ID stays in use.
func (e *Engine) scheduleRemovalLocked(attemptID string) {
	bootID := e.bootID
	time.AfterFunc(e.config.StreamRetention, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.bootID == bootID {
			delete(e.generations, attemptID)
		}
	})
}

// cancel ends a generation and reports whether the attempt ID is known.
func (e *Engine) cancel(attemptID string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	g, ok := e.generations[attemptID]
	if !ok {
		return false
	}
	g.end(endCancelled)
	ended := func(g *generation) bool { return g.endReason != notEnded }
	e.running = slices.DeleteFunc(e.running, ended)
	e.queued = slices.DeleteFunc(e.queued, ended)
	e.fillBatchLocked()
	e.scheduleRemovalLocked(attemptID)
	return true
}

// progress returns the number of generated tokens, the end reason, and a channel that is closed
// when either of them changes.
func (e *Engine) progress(g *generation) (produced int, reason endReason, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return g.produced, g.endReason, g.changed
}

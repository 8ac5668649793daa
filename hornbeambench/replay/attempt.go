package replay

import (
	"time"

	"hornbeamstep.example/routing/placement"
)

// nextTokenTimeout limits the time without a new token after the first token of an attempt, or
// after a stream was resumed.
const nextTokenTimeout = time.Second

// startAttempt sends the request to the chosen engine. If the context of the chat (its KV cache) is
// imported from another engine, the request is sent after the transfer. The omniscient placer pays
// no network latency here.
func (r *router) startAttempt(c *call) {
	f := r.fleet
	attempt, e := c.attemptID, f.engineByID[c.engineID]
	delay := f.latency(r.zone, e.zone)
	if f.placer == Omniscient {
		delay = 0
	}
	delay += f.importContext(c, e)
	e.inFlight++
	f.after(delay, func() {
		e.inFlight--
		r.connectToEngine(c, attempt, e)
	})
}

// importContext moves the context of a chat from one of its two source engines to the given engine,
// and returns how long that takes. A source whose context is not longer than the one on the engine
// is skipped, after one round trip.
func (f *fleet) importContext(c *call, to *engine) time.Duration {
	delay := time.Duration(0)
	for _, id := range []string{c.contextSource, c.fallbackSource} {
		from := f.engineByID[id]
		if id == "" || !from.up || from.hung {
			continue
		}
		tokens := from.cache.tokens(c.req.Chat)
		if tokens == 0 || tokens <= to.cache.tokens(c.req.Chat) {
			delay += f.InterZoneLatency * 2
			continue
		}
		f.transferContext(c.req.Chat, c.req.Account, from, to, tokens)
		f.stats.movedTokens += tokens
		return delay + f.Placement.TransferBase + time.Duration(tokens)*f.Placement.TransferPerToken
	}
	return delay
}

func (f *fleet) transferContext(chat, account string, from, to *engine, tokens int) {
	from.cache.drop(chat)
	to.cache.put(cacheEntry{name: chat, chat: chat, account: account, tokens: tokens, lastUsed: f.now.Seconds()})
}

// scheduleMoves runs the moves one after another at the KV transfer rate. After each move,
// sourceOwner, the router that owns the source engine, reports the new holder of the context. The
// omniscient placer passes nil, because it needs no reports.
func (f *fleet) scheduleMoves(sourceOwner *router, moves []placement.Move) {
	delay := time.Duration(0)
	for _, move := range moves {
		delay += f.Placement.TransferBase + time.Duration(move.Tokens)*f.Placement.TransferPerToken
		f.after(delay, func() {
			from, to := f.engineByID[move.From], f.engineByID[move.To]
			tokens := from.cache.tokens(move.Chat)
			if tokens == 0 || !from.up || !to.up {
				return
			}
			f.transferContext(move.Chat, "", from, to, tokens)
			f.stats.movedTokens += tokens
			if sourceOwner != nil {
				sourceOwner.runOrDefer(func() { sourceOwner.sendContextHolder("m", "", move.Chat, move.To) })
			}
		})
	}
}

// connectToEngine starts the attempt on the engine, or handles the failure to connect. It does
// nothing if the call has ended or another attempt has replaced this one.
func (r *router) connectToEngine(c *call, attempt string, e *engine) {
	f := r.fleet
	if c.attemptID != attempt || c.state != callOpen {
		return
	}
	run := &engineRun{call: c, attemptID: attempt, class: c.class(), answerTokens: c.req.CompletionTokens}
	if !f.canReach(r.name, e.id) {
		f.after(connectTimeout, func() {
			r.runOrDefer(func() {
				if c.attemptID == attempt && c.state == callOpen {
					r.handleConnectFailure(c, e)
				}
			})
		})
		return
	}
	// ifCurrent delivers an event of the engine to the router after the network latency. The event
	// is dropped if the router is unreachable or the attempt is no longer the current one.
	ifCurrent := func(event func()) func() {
		return func() {
			if !f.canReach(e.id, r.name) {
				return
			}
			f.after(f.latency(r.zone, e.zone), func() {
				r.runOrDefer(func() {
					if c.attemptID == attempt && c.state == callOpen {
						event()
					}
				})
			})
		}
	}
	run.onFirstToken = ifCurrent(func() { r.recordFirstToken(c) })
	run.onDone = ifCurrent(func() { r.completeAttempt(c, run) })
	run.onBroken = ifCurrent(func() { r.handleBrokenStream(c, e) })
	c.run = run
	if !e.accept(run) {
		c.run = nil
		r.handleConnectFailure(c, e)
		return
	}
	if c.timeToEngine == 0 {
		c.timeToEngine = f.now - c.arrivedAt
	}
	r.reportContextHolder(c, e)
	r.watchProgress(c, attempt, e, run, -1, f.FirstTokenTimeout)
}

// reportContextHolder reports the engine of the attempt as the holder of the chat's context.
func (r *router) reportContextHolder(c *call, e *engine) {
	if r.placer != nil || c.homeID == "" {
		return
	}
	r.sendContextHolder(c.req.Model, c.req.Adapter, c.req.Chat, e.id)
}

// sendContextHolder tells the owner of the chat's home engine which engine holds the context of the
// chat.
func (r *router) sendContextHolder(model, adapter, chat, engine string) {
	key := placement.Key(model, adapter, chat)
	home, _ := r.view.Homes(model, adapter, key)
	if home == "" {
		return
	}
	owner, now := r.ownerOf(home), r.fleet.wall()
	r.sendTo(owner, func() {
		if engine == home {
			owner.relocations.Delete(key)
			return
		}
		owner.relocations.Put(now, key, engine)
	})
}

// handleConnectFailure handles a connection that the engine refused or that timed out. The request
// has not run, so it can be placed again or refused as not run.
func (r *router) handleConnectFailure(c *call, e *engine) {
	r.releaseSlot(c, noSample)
	r.suspectEngine(e.id)
	if !r.allowRetry(c) {
		r.releaseClaim(c)
		r.refuseCall(c, time.Second, callNotRun)
		return
	}
	r.place(c)
}

func (r *router) recordFirstToken(c *call) {
	if c.firstTokenAt == 0 {
		c.firstTokenAt = r.fleet.now
		c.cachedTokens = c.run.cachedTokens
	}
}

func (r *router) completeAttempt(c *call, run *engineRun) {
	f := r.fleet
	if run.call != c || run.attemptID != c.attemptID {
		f.stats.misdeliveredAnswers++
	}
	r.recordFirstToken(c)
	r.releaseSlot(c, r.sampleAnswer(c))
	c.attemptID = ""
	if !c.req.Retryable && f.reachesClaimLog(r) {
		if claim := f.claims[c.fingerprint()]; claim != nil {
			claim.done = true
		}
	}
	f.after(f.CallerLatency, func() { f.endCall(c, callAnswered) })
}

// handleBrokenStream handles a stream that ended before the answer was complete.
func (r *router) handleBrokenStream(c *call, e *engine) {
	r.suspectEngine(e.id)
	r.failAttempt(c)
}

// failAttempt handles an attempt that may have run and has no complete answer.
func (r *router) failAttempt(c *call) {
	r.releaseSlot(c, r.sampleFailedAttempt())
	c.run = nil
	switch {
	case !c.req.Retryable:
		r.refuseCall(c, 0, callUnknown)
	case c.firstTokenAt == 0 && r.allowRetry(c):
		r.place(c)
	default:
		// The caller gets an error and sends the request again. If it has received no tokens and
		// does not ignore retry times, it first waits for the retry time of one second; otherwise
		// it sends the request at once.
		wait := 2 * r.fleet.CallerLatency
		if c.firstTokenAt == 0 && !r.fleet.IgnoreRetryAfter {
			wait += time.Second
		}
		c.attemptID, c.firstTokenAt = "", 0
		r.fleet.stats.failedSends++
		sendNumber := c.sendCount
		r.fleet.after(wait, func() {
			if c.sendCount == sendNumber {
				r.fleet.resendOrEnd(c, callInterrupted)
			}
		})
	}
}

// resendOrEnd sends the request again, or ends the call with the given state if the send limit is
// reached.
func (f *fleet) resendOrEnd(c *call, state callState) {
	if c.sendCount >= f.MaxSends {
		f.endCall(c, state)
		return
	}
	f.sendCall(c)
}

// watchProgress checks after the timeout whether the router received new tokens of the run, and
// repeats the check while it does. Without new tokens, a silent connection is replaced by a new
// one. On any other connection, the run is cancelled and the attempt fails, or the stream is
// treated as broken if the router cannot reach the engine. previousTokens is the number of tokens
// at the last check, or -1 if any token counts as progress.
func (r *router) watchProgress(c *call, attempt string, e *engine, run *engineRun, previousTokens int, timeout time.Duration) {
	f := r.fleet
	if !f.enabled(ProgressTimeouts) {
		return
	}
	f.after(timeout, func() {
		r.runOrDefer(func() {
			if c.attemptID != attempt || c.state != callOpen || c.run != run {
				return
			}
			e.advance()
			tokens := run.generatedTokens
			if run.silent {
				tokens = previousTokens
			}
			if !f.canReach(e.id, r.name) {
				tokens = previousTokens
			}
			if tokens != previousTokens && tokens > 0 {
				r.watchProgress(c, attempt, e, run, tokens, nextTokenTimeout)
				return
			}
			if run.silent {
				r.resumeStream(c, e, run)
				r.watchProgress(c, attempt, e, run, -1, nextTokenTimeout)
				return
			}
			if !f.canReach(r.name, e.id) {
				r.handleBrokenStream(c, e)
				return
			}
			// The engine is not marked as suspect: its health record decides whether it is ejected.
			e.cancel(run)
			r.failAttempt(c)
		})
	})
}

// resumeStream opens a new connection to the engine and continues the stream after the last token.
// It does nothing if the router and the engine cannot exchange messages in both directions.
func (r *router) resumeStream(c *call, e *engine, run *engineRun) {
	if !r.fleet.connected(r.name, e.id) {
		return
	}
	run.silent = false
	switch {
	case !e.up:
		run.onBroken()
	case run.finished:
		run.onDone()
	case run.generatedTokens > 0:
		run.onFirstToken()
	}
}

// abandonAttempt cancels the current attempt of the call after its caller has given up waiting. It
// also removes the attempt from the queue of the engine.
func (r *router) abandonAttempt(c *call) {
	if c.run != nil && c.run.call == c && c.attemptID != "" {
		r.fleet.engineByID[c.engineID].cancel(c.run)
	}
	for _, other := range r.fleet.routers {
		if gate := other.gates[c.engineID]; gate != nil {
			gate.Abandon(c.attemptID)
		}
	}
	r.releaseSlot(c, noSample)
	c.attemptID = ""
}

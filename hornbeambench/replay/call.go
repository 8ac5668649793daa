package replay

import (
	"fmt"
	"time"

	"hornbeamstep.example/hornbeambench/trace"
	"hornbeamstep.example/routing/admission"
	"hornbeamstep.example/routing/placement"
	"hornbeamstep.example/routing/quarantine"
)

// call is one request of the trace, from its arrival to the final answer.
type call struct {
	fleet           *fleet
	id              int
	req             trace.Request
	contextTokens   int
	previousTurnEnd time.Duration
	arrivedAt       time.Duration
	// sendCount counts how often the caller sent the request, and is the number of the current
	// send. Events of earlier sends are ignored.
	sendCount int
	// attemptID identifies the current attempt; events of other attempts are ignored.
	attemptID    string
	attemptCount int
	// slotRequestCount counts the slot requests, so that the timeout of an earlier one is ignored.
	slotRequestCount int
	// unansweredCount counts the slot requests of this attempt that got no reply in time.
	unansweredCount int
	// failedAttemptCount counts the failed attempts of this send.
	failedAttemptCount int
	// waitCount counts the waits in an engine's queue that ended without a slot in this send.
	waitCount int
	// router is the router that received the current send.
	router *router
	search *placement.SlotSearch
	// holderQueried is true once the owner of the home engine was queried separately for the holder
	// of the context, or has named another engine as the holder.
	holderQueried bool
	engineID      string
	homeID        string
	// contextSource and fallbackSource are the engines from which the context is imported, or
	// empty. The second is tried if the first no longer has the context.
	contextSource  string
	fallbackSource string
	// owner is the router that was asked for the slot or granted it. It is nil if the router's own
	// fallback gate granted the slot.
	owner      *router
	slotID     uint64
	slotExpiry time.Time
	hasSlot    bool
	run        *engineRun
	// firstHandledAt is when a router first received the request.
	firstHandledAt time.Duration
	// timeToEngine is the time from arrivedAt until an engine first accepted the request.
	timeToEngine time.Duration
	// runCount counts how often an engine began to run the request.
	runCount     int
	cachedTokens int
	firstTokenAt time.Duration
	endedAt      time.Duration
	state        callState
	// surging is true if the router's own traffic sample shows a surge of the client account.
	surging bool
	// crashEntry is the quarantine entry that an engine crash created for the request. Later slot
	// requests carry it to the owners.
	crashEntry quarantine.Entry
}

// callState is the final result of a call as the caller sees it, or callOpen.
type callState string

const (
	callOpen     callState = ""
	callAnswered callState = "answered"
	// callNotRun means that the request was refused and that the caller was told that it did not
	// run.
	callNotRun callState = "not run"
	// callInterrupted means that the last send failed after the request may have run.
	callInterrupted callState = "interrupted"
	// callUnknown means that a request that may not be repeated has no answer but may have run.
	callUnknown callState = "unknown"
	// callQuarantined means that the request was refused because it is quarantined.
	callQuarantined callState = "quarantined"
	// callLost means that the caller reached the send limit without a final answer.
	callLost callState = "lost"
)

// claimRecord is the entry of a request in the claim log. done is true once the request is
// answered.
type claimRecord struct {
	call *call
	done bool
}

var classByName = map[string]admission.Class{"urgent": admission.Urgent, "normal": admission.Normal, "batch": admission.Batch}

// class is the priority class at the engine. Requests of a surging client account come after all
// other classes.
func (c *call) class() admission.Class {
	if c.surging {
		return admission.Batch + 1
	}
	return classByName[c.req.Class]
}

// fingerprint identifies the request and is the same for every send.
func (c *call) fingerprint() string { return fmt.Sprintf("%s/%d", c.req.Chat, c.req.Turn) }

// slotWaitLimit is how long the request waits in the queue of one engine. It doubles with each
// wait, up to a factor of 32, so that requests do not query all engines over and over during an
// overload.
func (c *call) slotWaitLimit() time.Duration { return c.fleet.RequeueTimeout << min(c.waitCount, 5) }

// nextContextTokens is the length of the chat's context after this turn.
func (c *call) nextContextTokens() int {
	tokens := c.contextTokens + c.req.PromptTokens + c.req.CompletionTokens
	if c.contextTokens == 0 {
		tokens += c.req.SharedPrefixTokens
	}
	return tokens
}

// startTurn creates the call for a turn of a chat and sends it.
func (f *fleet) startTurn(req trace.Request, contextTokens int, previousTurnEnd time.Duration) {
	c := &call{fleet: f, id: f.stats.nextCallID(), req: req, contextTokens: contextTokens, previousTurnEnd: previousTurnEnd, arrivedAt: f.now}
	f.stats.calls = append(f.stats.calls, c)
	f.activeCalls++
	f.startPeriodicWork()
	f.sendCall(c)
}

// sendCall sends the request from the caller to a router that accepts connections. If there is
// none, it retries after one second.
func (f *fleet) sendCall(c *call) {
	if c.state != callOpen {
		return
	}
	if c.sendCount >= f.MaxSends {
		f.endCall(c, callLost)
		return
	}
	c.sendCount++
	c.waitCount, c.failedAttemptCount = 0, 0
	sendNumber := c.sendCount
	offset := int(f.hashFraction("route", c.req.Chat, fmt.Sprint(c.req.Turn), fmt.Sprint(sendNumber)) * float64(len(f.routers)))
	for i := range f.routers {
		r := f.routers[(offset+i)%len(f.routers)]
		if !r.up {
			continue
		}
		c.router = r
		f.after(f.CallerLatency, func() { r.runOrDefer(func() { r.handleCall(c, sendNumber) }) })
		f.scheduleCallerTimeout(c, sendNumber)
		return
	}
	c.sendCount--
	f.after(time.Second, func() { f.sendCall(c) })
}

// scheduleCallerTimeout makes the caller abandon the given send, and send the request again, if no
// token arrives in time.
func (f *fleet) scheduleCallerTimeout(c *call, sendNumber int) {
	f.after(f.CallerTimeout, func() {
		if c.state == callOpen && c.sendCount == sendNumber && c.firstTokenAt == 0 {
			r := c.router
			f.stats.callerTimeouts++
			f.after(f.CallerLatency, func() { r.runOrDefer(func() { r.abandonAttempt(c) }) })
			f.sendCall(c)
		}
	})
}

// endCall records the final result and schedules the next turn of the chat.
func (f *fleet) endCall(c *call, state callState) {
	if c.state != callOpen {
		return
	}
	c.state, c.endedAt = state, f.now
	f.activeCalls--
	contextTokens, previousTurnEnd := c.contextTokens, c.previousTurnEnd
	if state == callAnswered {
		contextTokens, previousTurnEnd = c.nextContextTokens(), f.now
	}
	remaining := f.remainingTurns[c.req.Chat]
	if len(remaining) == 0 {
		return
	}
	next := remaining[0]
	f.remainingTurns[c.req.Chat] = remaining[1:]
	f.after(seconds(next.ThinkSeconds), func() { f.startTurn(next, contextTokens, previousTurnEnd) })
}

// refuseCall answers the current send with a refusal. The caller sends the request again after
// retryAfter. If that is 0 or the send limit is reached, the call ends with the given state
// instead.
func (r *router) refuseCall(c *call, retryAfter time.Duration, state callState) {
	f := r.fleet
	if c.state != callOpen {
		return
	}
	c.attemptID = ""
	if retryAfter <= 0 || c.sendCount >= f.MaxSends {
		f.after(f.CallerLatency, func() { f.endCall(c, state) })
		return
	}
	if f.IgnoreRetryAfter {
		retryAfter = 10 * time.Millisecond
	}
	sendNumber := c.sendCount
	f.after(f.CallerLatency+retryAfter, func() {
		if c.sendCount == sendNumber {
			f.sendCall(c)
		}
	})
}

// handleCall is the entry point of a request at a router.
func (r *router) handleCall(c *call, sendNumber int) {
	f := r.fleet
	if c.state != callOpen || c.sendCount != sendNumber {
		return
	}
	if c.firstHandledAt == 0 {
		c.firstHandledAt = f.now
	}
	r.budget.CountRequest()
	c.surging = r.surges.Observe(c.req.Account)
	if r.placer == nil && r.quarantine.State(r.wallClock(), c.fingerprint()) == quarantine.Quarantined {
		r.refuseCall(c, time.Second, callQuarantined)
		return
	}
	if c.req.Retryable {
		r.place(c)
		return
	}
	r.claim(c)
}

// claim records a request that may not be repeated in the claim log, so that it runs only once, and
// places it. A claim takes as long as one conditional update.
func (r *router) claim(c *call) {
	f := r.fleet
	const updateLatency = 8 * time.Millisecond
	if f.enabled(RequireClaims) && !f.reachesClaimLog(r) {
		r.refuseCall(c, time.Second, callNotRun)
		return
	}
	f.after(updateLatency, func() {
		r.runOrDefer(func() {
			key := c.fingerprint()
			switch claim := f.claims[key]; {
			case !f.reachesClaimLog(r):
				// The request runs without a claim. This happens if RequireClaims is disabled, or
				// if the claim log became unreachable during the update.
				r.place(c)
			case claim == nil:
				f.claims[key] = &claimRecord{call: c}
				r.place(c)
			case claim.done:
				f.endCall(c, callAnswered)
			default:
				// An earlier send holds the claim, so the request may have run.
				r.refuseCall(c, 0, callUnknown)
			}
		})
	})
}

// releaseClaim deletes the claim of a request that is known not to have run.
func (r *router) releaseClaim(c *call) {
	if !c.req.Retryable && r.fleet.reachesClaimLog(r) {
		delete(r.fleet.claims, c.fingerprint())
	}
}

func (r *router) placementRequest(c *call) placement.Request {
	request := placement.Request{
		Account: c.req.Account, Chat: c.req.Chat, Model: c.req.Model, Adapter: c.req.Adapter,
		ContextTokens: c.contextTokens, Prefix: "prefix/" + c.req.Account, PrefixTokens: c.req.SharedPrefixTokens,
	}
	if c.previousTurnEnd > 0 {
		request.Last = epoch.Add(c.previousTurnEnd)
	}
	return request
}

func (r *router) newAttempt(c *call) {
	c.attemptCount++
	c.unansweredCount = 0
	c.attemptID = fmt.Sprintf("%d.%d", c.id, c.attemptCount)
	r.fleet.callsByAttempt[c.attemptID] = c
}

// place starts an attempt. The project's placement requests slots from the engines in search order;
// a baseline chooses the engine itself.
func (r *router) place(c *call) {
	r.newAttempt(c)
	if r.placer != nil {
		r.placeBaseline(c)
		return
	}
	c.search = r.rule.Search(r.fleet.wall(), r.placementRequest(c), r.view, r.fleet.MaxEnginesTried)
	c.holderQueried = false
	r.requestSlot(c)
}

func (r *router) placeBaseline(c *call) {
	f := r.fleet
	view := f.trueView
	if f.placer != Omniscient {
		view = r.view
		status := map[string]placement.Status{}
		for _, e := range f.engines {
			status[e.id] = placement.Status{Load: r.reportedLoads[e.id] + r.sentSinceReport[e.id]}
		}
		view = view.WithStatuses(status)
	}
	decision := r.placer.Place(f.wall(), r.placementRequest(c), view)
	if decision.Engine == "" {
		r.releaseClaim(c)
		r.refuseCall(c, time.Second, callNotRun)
		return
	}
	r.sentSinceReport[decision.Engine]++
	c.engineID, c.contextSource, c.fallbackSource = decision.Engine, "", ""
	if f.placer == Omniscient {
		c.contextSource = f.longestContextSource(c, decision.Engine)
	}
	r.startAttempt(c)
}

// longestContextSource returns the engine with the longest cached context of the chat, or "" if the
// target's context is as long. The omniscient placer imports the context from the returned engine.
func (f *fleet) longestContextSource(c *call, to string) string {
	best, maxTokens := "", f.engineByID[to].cache.tokens(c.req.Chat)
	for _, e := range f.engines {
		if tokens := e.cache.tokens(c.req.Chat); tokens > maxTokens {
			best, maxTokens = e.id, tokens
		}
	}
	return best
}

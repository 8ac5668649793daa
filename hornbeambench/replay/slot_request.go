package replay

import (
	"time"

	"hornbeamstep.example/routing/admission"
	"hornbeamstep.example/routing/outcome"
	"hornbeamstep.example/routing/placement"
	"hornbeamstep.example/routing/quarantine"
)

// requestSlot requests a slot from the owner of the next engine of the search.
func (r *router) requestSlot(c *call) {
	f := r.fleet
	step := c.search.Next(f.wall())
	if step.Engine == "" {
		r.releaseClaim(c)
		r.refuseCall(c, time.Second, callNotRun)
		return
	}
	c.engineID, c.homeID, c.contextSource, c.fallbackSource = step.Engine, step.Home, step.From, step.FallbackFrom
	owner, attempt := r.ownerOf(step.Engine), c.attemptID
	if step.Engine != step.Home && !c.holderQueried && c.contextTokens > 0 {
		c.holderQueried = true
		r.queryContextHolder(c, r.ownerOf(step.Home))
		return
	}
	c.owner = owner
	c.slotRequestCount++
	queryHolder := step.Engine == step.Home && !c.holderQueried && c.contextTokens > 0
	req := admission.SlotRequest{
		RequestID: attempt, Router: r.name, Account: c.req.Account, Class: classByName[c.req.Class], Surging: c.surging, Cost: 1, NoQueue: !step.Queue,
		Since: epoch.Add(c.firstHandledAt),
	}
	if step.Queue && f.RequeueTimeout > 0 {
		req.Deadline = f.wall().Add(c.slotWaitLimit())
	}
	r.watchSlotRequest(c, req, attempt, c.slotRequestCount)
	reached := false
	r.sendTo(owner, func() {
		reached = true
		owner.handleSlotRequest(r, c, step, req, queryHolder)
	})
	if owner != r && f.enabled(FallbackAdmission) {
		f.after(200*time.Millisecond, func() {
			if !reached && c.attemptID == attempt {
				r.runOrDefer(func() { r.admitWithoutOwner(c, req) })
			}
		})
	}
}

// watchSlotRequest restarts the search if a slot request gets no reply, for example because the
// owner of the engine crashed and lost its queue. The second time in an attempt, the router admits
// the request without the owner, unless it is the owner itself.
func (r *router) watchSlotRequest(c *call, req admission.SlotRequest, attempt string, requestCount int) {
	r.fleet.after(c.slotWaitLimit()+500*time.Millisecond, func() {
		r.runOrDefer(func() {
			if c.attemptID != attempt || c.slotRequestCount != requestCount || c.hasSlot || c.state != callOpen || c.run != nil {
				return
			}
			c.unansweredCount++
			if c.unansweredCount > 1 && c.owner != r && r.fleet.enabled(FallbackAdmission) {
				r.admitWithoutOwner(c, req)
				return
			}
			c.search.Reset()
			r.requestSlot(c)
		})
	})
}

// queryContextHolder asks the owner of the home engine which engine holds the context, and then
// requests a slot. It continues without an answer after 200 ms. It is used when the search starts
// at an engine other than the home engine; otherwise the slot request itself asks the owner.
func (r *router) queryContextHolder(c *call, owner *router) {
	f, attempt, answered := r.fleet, c.attemptID, false
	next := func(holder string) {
		if answered || c.attemptID != attempt || c.state != callOpen {
			return
		}
		answered = true
		if holder != "" {
			c.search.SetHolder(f.wall(), holder)
		}
		r.requestSlot(c)
	}
	r.sendTo(owner, func() {
		holder, _ := owner.relocations.Find(placement.Key(c.req.Model, c.req.Adapter, c.req.Chat))
		owner.sendTo(r, func() { next(holder) })
	})
	f.after(200*time.Millisecond, func() {
		r.runOrDefer(func() { next("") })
	})
}

// handleSlotRequest handles a slot request at the owner of the engine. If queryHolder is set and
// another engine holds the context, the owner replies with that engine instead of offering a slot.
func (r *router) handleSlotRequest(requester *router, c *call, step placement.Step, req admission.SlotRequest, queryHolder bool) {
	f := r.fleet
	if c.crashEntry.Fingerprint != "" {
		r.mergeCrashEntries([]quarantine.Entry{c.crashEntry})
	}
	if queryHolder {
		holder, _ := r.relocations.Find(placement.Key(c.req.Model, c.req.Adapter, c.req.Chat))
		if holder != "" && holder != step.Engine {
			r.sendTo(requester, func() {
				if c.attemptID == req.RequestID {
					c.holderQueried = true
					c.search.SetHolder(f.wall(), holder)
					requester.requestSlot(c)
				}
			})
			return
		}
	}
	gate := r.gates[step.Engine]
	if gate == nil {
		r.sendTo(requester, func() { requester.admitWithoutOwner(c, req) })
		return
	}
	if r.rejectsForHealth(step.Engine, gate) {
		r.sendTo(requester, func() {
			if c.attemptID == req.RequestID && c.state == callOpen && !c.hasSlot {
				requester.avoidEngine(c, step.Engine)
			}
		})
		return
	}
	if !r.quarantine.Start(r.wallClock(), c.fingerprint(), step.Engine) {
		r.sendTo(requester, func() { requester.handleQuarantineRefusal(c, req, step.Engine, r) })
		return
	}
	var action admission.Action
	if req.NoQueue && r.rejectsForSlowStart(step.Engine, gate) {
		action = admission.Action{Kind: admission.Refused, Request: req, Code: outcome.Overloaded}
	} else {
		action = gate.Offer(f.wall(), req)
	}
	if action.Kind == admission.Refused {
		r.quarantine.End(c.fingerprint(), step.Engine, false)
	}
	if action.Kind == admission.Queued {
		r.sendGateActions(step.Engine, gate.Tick(f.wall()))
		return
	}
	wait := gate.ExpectedWait(f.wall())
	r.sendTo(requester, func() {
		if action.Kind == admission.Refused && action.Code == outcome.Overloaded && c.attemptID == req.RequestID {
			c.search.RecordRefusal(step.Engine, max(wait, time.Millisecond))
			requester.requestSlot(c)
			return
		}
		requester.handleSlotReply(c, step.Engine, action, r)
	})
}

// handleQuarantineRefusal refuses a quarantined request. A request that is only suspected of
// crashing engines and was not allowed on this one tries the next engine after 10 ms.
func (r *router) handleQuarantineRefusal(c *call, req admission.SlotRequest, engine string, owner *router) {
	if c.attemptID != req.RequestID || c.state != callOpen {
		return
	}
	if owner.quarantine.State(owner.wallClock(), c.fingerprint()) == quarantine.Quarantined {
		r.releaseClaim(c)
		r.refuseCall(c, time.Second, callQuarantined)
		return
	}
	c.search.RecordRefusal(engine, time.Second)
	r.fleet.after(10*time.Millisecond, func() {
		if len(r.fleet.engines) <= c.search.Refusals() {
			c.search.Reset()
		}
		r.runOrDefer(func() {
			if c.attemptID == req.RequestID && c.state == callOpen {
				r.requestSlot(c)
			}
		})
	})
}

// admitWithoutOwner admits the request without the owner of the engine. In this way, each router
// admits at most one request at a time for each engine. Otherwise the request tries another engine.
func (r *router) admitWithoutOwner(c *call, req admission.SlotRequest) {
	if c.attemptID != req.RequestID || c.hasSlot || c.state != callOpen {
		return
	}
	if r.fallbackGates[c.engineID] == nil {
		r.fallbackGates[c.engineID] = admission.NewFallbackGate(r.fleet.Admission)
	}
	if action := r.fallbackGates[c.engineID].Offer(r.fleet.wall(), req); action.Kind == admission.Granted {
		r.handleSlotReply(c, c.engineID, action, nil)
		return
	}
	c.search.Exclude(r.fleet.wall(), c.engineID)
	r.requestSlot(c)
}

// handleSlotReply handles a grant, a refusal after a wait in a queue, and a refusal with a code
// other than Overloaded.
func (r *router) handleSlotReply(c *call, engine string, action admission.Action, owner *router) {
	stale := c.attemptID != action.Request.RequestID || c.state != callOpen || c.hasSlot
	switch {
	case stale && action.Kind == admission.Granted:
		// A repeated reply with the slot that the call already has does not release it.
		if c.attemptID == action.Request.RequestID && c.slotID == action.Slot.ID && c.owner == owner {
			return
		}
		r.sendSlotRelease(engine, owner, action.Slot.ID, c.fingerprint(), noSample)
	case stale:
	case action.Kind == admission.Refused && action.Code == outcome.NoBackend:
		r.place(c)
	case action.Kind == admission.Refused && action.Code == outcome.Overloaded && r.fleet.now-c.firstHandledAt < r.fleet.Admission.MaxWait:
		c.search.Reset()
		c.waitCount++
		r.requestSlot(c)
	case action.Kind == admission.Refused:
		r.releaseClaim(c)
		r.refuseCall(c, action.RetryAfter, callNotRun)
	case action.Kind == admission.Granted:
		c.owner, c.slotID, c.slotExpiry, c.hasSlot = owner, action.Slot.ID, action.Slot.Expires, true
		if owner != nil {
			r.callsWithSlot[c.attemptID] = c
		}
		r.startAttempt(c)
	}
}

// sendSlotRelease releases a slot at the owner of the engine, or at the router's own fallback gate
// if owner is nil. The owner also records the health sample and the end of the run.
func (r *router) sendSlotRelease(engine string, owner *router, slotID uint64, fingerprint string, sample healthSample) {
	f := r.fleet
	if owner == nil {
		if gate := r.fallbackGates[engine]; gate != nil {
			gate.Release(slotID)
		}
		return
	}
	r.sendTo(owner, func() {
		owner.quarantine.End(fingerprint, engine, sample == healthySample)
		owner.recordHealthSample(engine, sample)
		if gate := owner.gates[engine]; gate != nil {
			owner.sendGateActions(engine, gate.Release(f.wall(), slotID))
		}
	})
}

// releaseSlot releases the slot of the current attempt.
func (r *router) releaseSlot(c *call, sample healthSample) {
	if !c.hasSlot {
		return
	}
	c.hasSlot = false
	delete(r.callsWithSlot, c.attemptID)
	r.sendSlotRelease(c.engineID, c.owner, c.slotID, c.fingerprint(), sample)
}

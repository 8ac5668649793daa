package control

import (
	"context"
	"time"

	"hornbeamstep.example/routing/admission"
	"hornbeamstep.example/routing/outcome"
	"hornbeamstep.example/routing/quarantine"
)

// notOwner is the code with which a router refuses a slot on an engine that it does not own. It
// never reaches a caller.
const notOwner outcome.Code = "not_owner"

// contextElsewhere is the code with which the owner of a chat's home engine names another engine
// that holds the context.
const contextElsewhere outcome.Code = "elsewhere"

// callerGone is the code for a request whose caller left while the request waited.
const callerGone outcome.Code = "gone"

// EngineSlotRequest is a request for a slot on an engine.
type EngineSlotRequest struct {
	admission.SlotRequest
	// Fingerprint identifies equal requests. Suspect is set if a request with this fingerprint was
	// in flight on an engine that crashed; it is one of these crashes.
	Fingerprint string
	Suspect     *quarantine.Crash
	// Chat is the hash that selects the chat's home engine. Home is true if the slot is requested
	// on the home and its owner should look up the holder of the chat's context. If another engine
	// holds the context, the owner refuses the slot and names that engine.
	Chat uint64
	Home bool
	// Fallback asks a router that does not own the engine to grant a slot in place of the owner,
	// which does not answer.
	Fallback bool
}

// Answer is an owner's answer to an EngineSlotRequest.
type Answer struct {
	admission.Action
	// Boot is the boot identifier of the engine process; empty while the owner has no load report.
	Boot string
	// Wait is the expected wait at an engine whose admission gate refused the request.
	Wait time.Duration
	// ContextHolder is the engine that holds the chat's context. It is set only in a refusal with
	// the code contextElsewhere.
	ContextHolder string
	// Warm is true if the engine has run the chat recently, or the chat's context was moved there.
	Warm bool
}

// refuse returns a refusal for a reason outside of the admission gate.
func refuse(slotRequest EngineSlotRequest, code outcome.Code) Answer {
	return Answer{Action: admission.Action{Kind: admission.Refused, Request: slotRequest.SlotRequest, Code: code, RetryAfter: retryAfterRefusal}}
}

// Take asks the admission gate of an engine for a slot, and waits for the answer, also while the
// request is in the engine's queue. This router must own the engine, unless slotRequest.Fallback is
// set.
func (l *Loop) Take(ctx context.Context, name string, slotRequest EngineSlotRequest) Answer {
	answer := make(chan Answer, 1)
	if !l.send(func(now time.Time) { l.offer(name, slotRequest, answer, now) }) {
		return refuse(slotRequest, outcome.Draining)
	}
	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
		l.send(func(now time.Time) { l.abandonQueued(name, slotRequest.RequestID, answer, now) })
		return refuse(slotRequest, callerGone)
	case <-l.stopped:
		return refuse(slotRequest, outcome.Draining)
	}
}

// offer sends the answer to a slot request, or queues the request at the engine's gate.
func (l *Loop) offer(name string, slotRequest EngineSlotRequest, answer chan<- Answer, now time.Time) {
	e, ok := l.state.engines[name]
	switch {
	case l.state.removeAbandoned(name, slotRequest.RequestID):
		answer <- refuse(slotRequest, callerGone)
		return
	case ok && e.gate == nil && slotRequest.Fallback:
		answer <- l.takeFallback(e, slotRequest, now)
		return
	case !ok || e.gate == nil:
		answer <- refuse(slotRequest, notOwner)
		return
	case !l.acceptsRequests(e):
		answer <- refuse(slotRequest, outcome.NoBackend)
		return
	}
	if slotRequest.Home {
		if held := l.ContextHolder(slotRequest.Chat); held != "" && held != name {
			a := refuse(slotRequest, contextElsewhere)
			a.ContextHolder = held
			answer <- a
			return
		}
	}
	if a, refused := l.refuseRecovering(e, slotRequest, now); refused {
		answer <- a
		return
	}
	if code := l.trackStart(now, name, slotRequest); code != "" {
		answer <- refuse(slotRequest, code)
		return
	}
	// A suspect does not wait in the queue, because no other suspect could run on the engine while
	// it waits.
	slotRequest.NoQueue = slotRequest.NoQueue || slotRequest.Suspect != nil || l.onTrial(e, now)
	a := e.gate.Offer(now, slotRequest.SlotRequest)
	if a.Kind == admission.Queued {
		e.waiters[slotRequest.RequestID] = waiter{answer: answer, slotRequest: slotRequest}
		return
	}
	l.reply(e, waiter{answer: answer, slotRequest: slotRequest}, a)
}

// fallbackBit is set in the IDs of slots that a fallback gate granted, to tell them from slots of
// the owner's gate.
const fallbackBit = 1 << 63

// takeFallback grants or refuses a slot in place of an owner that does not answer. It refuses crash
// suspects, since only the owner can keep two suspects from running on the same engine.
func (l *Loop) takeFallback(e *engineState, slotRequest EngineSlotRequest, now time.Time) Answer {
	if slotRequest.Suspect != nil {
		return refuse(slotRequest, suspectBusy)
	}
	if !l.acceptsRequests(e) {
		return refuse(slotRequest, outcome.NoBackend)
	}
	if e.fallback == nil {
		e.fallback = admission.NewFallbackGate(gateSettings(e.pool))
	}
	a := e.fallback.Offer(now, slotRequest.SlotRequest)
	if a.Kind == admission.Granted {
		l.metrics.fallbackSlots.Inc()
		a.Slot.ID |= fallbackBit
	}
	return Answer{Action: a}
}

// renew extends slots and returns those that are unknown or have expired.
func (e *engineState) renew(now time.Time, slots []uint64) (lost []uint64) {
	for _, id := range slots {
		held := false
		switch {
		case id&fallbackBit != 0:
			held = e.fallback != nil && e.fallback.Renew(now, id&^fallbackBit)
		case e.gate != nil:
			held = len(e.gate.Renew(now, []uint64{id})) == 0
		}
		if !held {
			lost = append(lost, id)
		}
	}
	return lost
}

// waiter is a request in the queue of an engine.
type waiter struct {
	answer      chan<- Answer
	slotRequest EngineSlotRequest
}

// reply sends the decision of the gate to a waiting request. It stores a granted slot, and ends the
// crash tracking of a request that was not granted one.
func (l *Loop) reply(e *engineState, w waiter, a admission.Action) {
	answer := Answer{Action: a, Boot: e.boot}
	if a.Kind == admission.Granted {
		e.granted[a.Slot.ID] = w.slotRequest
		answer.Warm = e.recordChat(l.Now(), w.slotRequest.Chat)
		// The context will be on the home, so the record of another holder is deleted. A record that
		// names the home itself stays: it shows that the context was moved off a leaving engine.
		if w.slotRequest.Home && l.ContextHolder(w.slotRequest.Chat) != e.backend.Name {
			l.SetContextHolder(w.slotRequest.Chat, "")
		}
	} else {
		l.trackEnd(w.slotRequest.Fingerprint, e.backend.Name, false)
	}
	if a.Kind == admission.Refused && e.gate != nil {
		answer.Wait = e.gate.ExpectedWait(l.Now())
	}
	w.answer <- answer
}

// abandonQueued removes a request from the engine's queue. If the request was granted a slot in the
// meantime, it frees the slot.
func (l *Loop) abandonQueued(name, request string, answer <-chan Answer, now time.Time) {
	select {
	case a := <-answer:
		if a.Kind == admission.Granted {
			l.free(name, a.Slot.ID, "", now)
		}
		return
	default:
	}
	e, ok := l.state.engines[name]
	if !ok || e.gate == nil {
		return
	}
	e.gate.Abandon(request)
	if w, ok := e.waiters[request]; ok {
		delete(e.waiters, request)
		l.trackEnd(w.slotRequest.Fingerprint, name, false)
	}
}

// Free releases a slot that this router granted as owner or fallback owner. For a slot of an owned
// engine it also applies the verdict of the request to the health of the engine.
func (l *Loop) Free(name string, slot uint64, v Verdict) {
	l.send(func(now time.Time) { l.free(name, slot, v, now) })
}

func (l *Loop) free(name string, slot uint64, v Verdict, now time.Time) {
	e, ok := l.state.engines[name]
	if ok && slot&fallbackBit != 0 && e.fallback != nil {
		e.fallback.Release(slot &^ fallbackBit)
		return
	}
	if !ok || e.gate == nil {
		return
	}
	l.forgetGrant(e, slot)
	l.applyVerdict(e, v, now)
	l.applyActions(e, e.gate.Release(now, slot))
}

// forgetGrant deletes the record of the request that holds a slot, and ends its crash tracking.
func (l *Loop) forgetGrant(e *engineState, slot uint64) {
	if slotRequest, ok := e.granted[slot]; ok {
		delete(e.granted, slot)
		l.trackEnd(slotRequest.Fingerprint, e.backend.Name, false)
	}
}

// Renew extends slots that this router granted as owner or fallback owner, and returns those that
// are unknown or have expired. It returns all of them if the control loop has stopped, and none if
// ctx ends first.
func (l *Loop) Renew(ctx context.Context, name string, slots []uint64) []uint64 {
	lostSlots := make(chan []uint64, 1)
	sent := l.send(func(now time.Time) {
		e, ok := l.state.engines[name]
		if !ok {
			lostSlots <- slots
			return
		}
		lostSlots <- e.renew(now, slots)
	})
	if !sent {
		return slots
	}
	select {
	case lost := <-lostSlots:
		return lost
	case <-ctx.Done():
		return nil
	case <-l.stopped:
		return slots
	}
}

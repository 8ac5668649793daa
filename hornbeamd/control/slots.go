package control

import (
	"context"
	"time"

	"hornbeamstep.example/routing/admission"
	"hornbeamstep.example/routing/outcome"
	"hornbeamstep.example/routing/quarantine"
)

// notOwner is the code with which a router refuses a slot of an engine that another one owns. It never reaches a caller.
const notOwner outcome.Code = "not_owner"

// elsewhere is the code with which the owner of a chat's home names the engine that holds the context.
const elsewhere outcome.Code = "elsewhere"

// gone is the code for a request whose caller left while it waited.
const gone outcome.Code = "gone"

// SlotAsk is a request for a slot on an engine.
type SlotAsk struct {
	admission.SlotRequest
	// Fingerprint identifies the request. Suspect is set if it was in flight on an engine that crashed.
	Fingerprint string
	Suspect     *quarantine.Crash
	// Chat is the hash of what decides the chat's home. With Home the engine is that home, and the owner answers with the
	// engine that holds the chat's context in place of a slot when that is another one.
	Chat uint64
	Home bool
	// Share asks a router that does not own the engine to stand in for its owner.
	Share bool
}

// Answer is an owner's answer to a SlotAsk.
type Answer struct {
	admission.Action
	// Boot is the engine's present life; empty while the owner has no report.
	Boot string
	// Wait is the expected wait at an engine that refused for want of room.
	Wait time.Duration
	// Held is set in place of a slot: the engine that holds the chat's context.
	Held string
	// Warm is true if the engine had run the chat before, or got its context.
	Warm bool
}

// refuse returns a refusal that the gate did not make.
func refuse(ask SlotAsk, code outcome.Code) Answer {
	return Answer{Action: admission.Action{Kind: admission.Refused, Request: ask.SlotRequest, Code: code, RetryAfter: comeBack}}
}

// Take asks the gate of an engine that this router owns, and waits in its queue.
func (l *Loop) Take(ctx context.Context, name string, ask SlotAsk) Answer {
	answer := make(chan Answer, 1)
	if !l.send(func(now time.Time) { l.offered(name, ask, answer, now) }) {
		return refuse(ask, outcome.Draining)
	}
	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
		l.send(func(now time.Time) { l.abandon(name, ask.RequestID, answer, now) })
		return refuse(ask, gone)
	case <-l.stopped:
		return refuse(ask, outcome.Draining)
	}
}

func (l *Loop) offered(name string, ask SlotAsk, answer chan<- Answer, now time.Time) {
	e, ok := l.state.engines[name]
	switch {
	case l.state.left(name, ask.RequestID):
		answer <- refuse(ask, gone)
		return
	case ok && e.gate == nil && ask.Share:
		answer <- l.standIn(e, ask, now)
		return
	case !ok || e.gate == nil:
		answer <- refuse(ask, notOwner)
		return
	case !l.takesWork(e):
		answer <- refuse(ask, outcome.NoBackend)
		return
	}
	if ask.Home {
		if held := l.Held(ask.Chat); held != "" && held != name {
			a := refuse(ask, elsewhere)
			a.Held = held
			answer <- a
			return
		}
	}
	if a, spared := l.spare(e, ask, now); spared {
		answer <- a
		return
	}
	if code := l.mayStart(now, name, ask); code != "" {
		answer <- refuse(ask, code)
		return
	}
	// A suspect does not wait: while it did, no other suspect could use the engine.
	ask.NoQueue = ask.NoQueue || ask.Suspect != nil || l.trial(e, now)
	a := e.gate.Offer(now, ask.SlotRequest)
	if a.Kind == admission.Queued {
		e.waiters[ask.RequestID] = waiter{answer: answer, ask: ask}
		return
	}
	l.answer(e, waiter{answer: answer, ask: ask}, a)
}

// shareBit marks the slots of a share among those of a gate.
const shareBit = 1 << 63

// standIn grants a slot in place of an owner that does not answer. Suspects wait for the owner, who alone can keep them apart.
func (l *Loop) standIn(e *engineState, ask SlotAsk, now time.Time) Answer {
	if ask.Suspect != nil {
		return refuse(ask, apart)
	}
	if !l.takesWork(e) {
		return refuse(ask, outcome.NoBackend)
	}
	if e.share == nil {
		e.share = admission.NewFallbackGate(gateSettings(e.pool))
	}
	a := e.share.Offer(now, ask.SlotRequest)
	if a.Kind == admission.Granted {
		l.metrics.shares.Inc()
		a.Slot.ID |= shareBit
	}
	return Answer{Action: a}
}

// renew extends slots and returns those that are no longer held.
func (e *engineState) renew(now time.Time, slots []uint64) (lost []uint64) {
	for _, id := range slots {
		held := false
		switch {
		case id&shareBit != 0:
			held = e.share != nil && e.share.Renew(now, id&^shareBit)
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
	answer chan<- Answer
	ask    SlotAsk
}

// answer gives a request the decision of the gate, and remembers its slot.
func (l *Loop) answer(e *engineState, w waiter, a admission.Action) {
	reply := Answer{Action: a, Boot: e.boot}
	if a.Kind == admission.Granted {
		e.granted[a.Slot.ID] = w.ask
		reply.Warm = e.ran(l.Now(), w.ask.Chat)
		// An entry that names the home stays: it says that the context is not on an engine that left.
		if w.ask.Home && l.Held(w.ask.Chat) != e.backend.Name {
			l.Note(w.ask.Chat, "")
		}
	} else {
		l.over(w.ask.Fingerprint, e.backend.Name, false)
	}
	if a.Kind == admission.Refused && e.gate != nil {
		reply.Wait = e.gate.ExpectedWait(l.Now())
	}
	w.answer <- reply
}

// abandon takes a request out of the queue. If it was granted meanwhile, its slot is freed.
func (l *Loop) abandon(name, request string, answer <-chan Answer, now time.Time) {
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
		l.over(w.ask.Fingerprint, name, false)
	}
}

// Free returns a slot on an engine that this router owns, with what its request showed of the engine.
func (l *Loop) Free(name string, slot uint64, v Verdict) {
	l.send(func(now time.Time) { l.free(name, slot, v, now) })
}

func (l *Loop) free(name string, slot uint64, v Verdict, now time.Time) {
	e, ok := l.state.engines[name]
	if ok && slot&shareBit != 0 && e.share != nil {
		e.share.Release(slot &^ shareBit)
		return
	}
	if !ok || e.gate == nil {
		return
	}
	l.forget(e, slot)
	l.judge(e, v, now)
	l.carryOut(e, e.gate.Release(now, slot))
}

// forget ends what a slot's request was remembered for.
func (l *Loop) forget(e *engineState, slot uint64) {
	if ask, ok := e.granted[slot]; ok {
		delete(e.granted, slot)
		l.over(ask.Fingerprint, e.backend.Name, false)
	}
}

// Renew extends slots on an engine that this router owns, and returns those that are no longer held.
func (l *Loop) Renew(ctx context.Context, name string, slots []uint64) []uint64 {
	answer := make(chan []uint64, 1)
	sent := l.send(func(now time.Time) {
		e, ok := l.state.engines[name]
		if !ok {
			answer <- slots
			return
		}
		answer <- e.renew(now, slots)
	})
	if !sent {
		return slots
	}
	select {
	case lost := <-answer:
		return lost
	case <-ctx.Done():
		return nil
	case <-l.stopped:
		return slots
	}
}

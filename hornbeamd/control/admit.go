package control

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"hornbeamstep.example/hornbeamd/caller"
	"hornbeamstep.example/routing/admission"
	"hornbeamstep.example/routing/outcome"
	"hornbeamstep.example/routing/placement"
	"hornbeamstep.example/timeline"
)

const (
	// placements bounds how often one request is placed anew because the chosen engine had no room or changed its owner.
	placements = 6
	// turnWait is the time after which a request asks again that has to wait for another one or for a new owner, and
	// mostMoves bounds the wait for an owner to the 5 s in which a lost router is suspected.
	turnWait  = 50 * time.Millisecond
	mostMoves = 100
	// comeBack is the time after which a caller is asked to repeat a request that met no engine in service.
	comeBack = 2 * time.Second
)

// Admit implements caller.Dispatcher.
func (l *Loop) Admit(ctx context.Context, a caller.Ask) (caller.Grant, error) {
	if e := l.admissible(a); e != nil {
		return caller.Grant{}, e
	}
	l.retries.request(a)
	admit := l.admitEngine
	if a.Service != "" {
		admit = l.admitService
	}
	g, err := admit(ctx, a)
	if err != nil {
		l.limits.finished(l.Now(), a.Request, 0)
	}
	return g, err
}

// admitEngine places a request until an engine grants it a slot.
func (l *Loop) admitEngine(ctx context.Context, a caller.Ask) (caller.Grant, error) {
	p := l.begin(a)
	for p.tries < placements {
		engine, wait := p.next()
		if engine == "" {
			return caller.Grant{}, noEngine(a)
		}
		answer := l.slot(ctx, p, engine, !wait)
		switch {
		case answer.Kind == admission.Granted:
			return l.admitted(p, engine, answer), nil
		case ctx.Err() != nil || answer.Code == gone:
			return caller.Grant{}, leftQueue(ctx)
		case answer.Code == apart || answer.Code == notOwner:
			if !l.waitTurn(ctx, p, answer.Code) {
				return caller.Grant{}, leftQueue(ctx)
			}
		case !p.refused(engine, answer):
			return caller.Grant{}, l.refusal(a, answer)
		}
	}
	return caller.Grant{}, noEngine(a)
}

// attempt is one search for a slot.
type attempt struct {
	ask caller.Ask
	// id is unique for each attempt of a request.
	id       string
	now      time.Time
	request  placement.Request
	snap     *snapshot
	view     placement.View
	decision placement.Decision
	// full counts the refusals of each engine for want of room.
	full map[string]int
	// tries counts the refusals; moves those because ownership moved.
	tries, moves int
}

func (l *Loop) begin(a caller.Ask) *attempt {
	p := &attempt{ask: a, id: a.Request + "/" + strconv.Itoa(a.Attempt), now: l.Now(), full: map[string]int{}}
	p.request = l.memory.request(p.now, a)
	p.look(l.snap.Load())
	return p
}

// look takes a snapshot, without the engines on which the request failed before.
func (p *attempt) look(s *snapshot) {
	p.snap, p.view = s, s.view
	for _, name := range p.ask.Avoid {
		p.view = p.view.WithState(name, placement.Suspect)
	}
}

// next returns the engine to ask, and whether the request should wait there if there is no room.
func (p *attempt) next() (engine string, wait bool) {
	p.decision = p.snap.rule.Place(p.now, p.request, p.view)
	engine = p.decision.Engine
	return engine, p.full[engine] > 0
}

// refused takes a refusal into account and returns false if it is final.
func (p *attempt) refused(engine string, a Answer) bool {
	p.tries++
	switch a.Code {
	case outcome.Overloaded:
		if p.full[engine] > 0 {
			return false
		}
		p.full[engine]++
		p.view = p.view.WithStatus(engine, placement.Status{Wait: max(a.Waited, minWait), Full: true})
		return true
	case outcome.NoBackend:
		p.view = p.view.WithState(engine, placement.Suspect)
		return true
	default:
		return false
	}
}

// minWait is the wait that a refusal without a figure stands for: about one request's time in a running batch.
const minWait = 50 * time.Millisecond

// slot asks the owner of an engine. With noQueue the answer comes at once.
func (l *Loop) slot(ctx context.Context, p *attempt, engine string, noQueue bool) Answer {
	ask := SlotAsk{
		Ask: admission.Ask{
			Request: p.id, Router: l.Settings.ID, Account: p.ask.Account, Class: admission.Class(p.ask.Class),
			Weight: p.ask.Weight, Cost: 1, Deadline: p.ask.Deadline, NoQueue: noQueue,
		},
		Fingerprint: p.ask.Fingerprint,
		Suspect:     l.suspicion(p.ask.Fingerprint),
	}
	if l.snap.Load().owned[engine] {
		return l.owned(ctx, engine, ask)
	}
	return l.remote(ctx, engine, ask)
}

// waitTurn waits until a suspect, or a request whose engine changes its owner, may ask again. It returns false if the
// request has to give up.
func (l *Loop) waitTurn(ctx context.Context, p *attempt, code outcome.Code) bool {
	if code == notOwner {
		p.moves++
		if p.moves > mostMoves {
			return false
		}
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(turnWait):
		p.look(l.snap.Load())
		return true
	}
}

// admitted records a grant.
func (l *Loop) admitted(p *attempt, engine string, a Answer) caller.Grant {
	l.boots.put(p.id, a.Boot)
	b := p.snap.policy.Backends[engine]
	d := p.decision
	l.memory.placed(p.now, p.ask, d)
	l.record(timeline.Event{
		Kind: timeline.Placed, Request: p.ask.Request, Chat: p.ask.Chat, Backend: engine,
		Text: fmt.Sprintf("%s, home %s, second %s", d.Reason, d.Home, d.Second),
	})
	l.record(timeline.Event{
		Kind: timeline.Admitted, Request: p.ask.Request, Chat: p.ask.Chat, Backend: engine,
		Text: fmt.Sprintf("slot %d after %s", a.Slot.ID, a.Waited.Round(time.Millisecond)),
	})
	return caller.Grant{Backend: engine, Address: b.Address, Slot: p.id, Pool: b.Pool}
}

// admissible refuses requests that no engine may get.
func (l *Loop) admissible(a caller.Ask) *outcome.Error {
	if err := l.isolated(); err != nil {
		return err
	}
	if e := l.quarantined(a); e != nil {
		return e
	}
	if a.Attempt > 1 {
		return nil
	}
	return l.limits.take(l.Now(), a)
}

// Release implements caller.Dispatcher.
func (l *Loop) Release(g caller.Grant, r caller.Result) {
	if g.Pool == "" {
		l.services.release(l.Now(), g.Backend, r.Ending)
		return
	}
	boot := l.boots.take(g.Slot)
	if r.Ending == caller.EndedCrashed {
		l.broke(g, r, boot)
	}
	if r.Ending == caller.EndedOK {
		l.over(r.Fingerprint, g.Backend, true)
	}
	l.limits.finished(l.Now(), r.Request, int64(r.Prompt-r.Cached+r.Tokens))
	l.send(func(now time.Time) {
		l.freed(g.Slot, now)
		switch r.Ending {
		case caller.EndedUnreachable, caller.EndedTimedOut:
			l.failed(g.Backend, now)
		}
	})
}

func noEngine(a caller.Ask) *outcome.Error {
	return &outcome.Error{
		Code: outcome.NoBackend, Outcome: outcome.NotRun, Status: http.StatusServiceUnavailable, Retry: comeBack,
		Message: fmt.Sprintf("no engine in service takes requests for model %s", a.Model),
		Remedy:  "send the request again after the time given; operators see the engines with hornbeamctl status",
	}
}

// refusal is the final answer for an owner's refusal.
func (l *Loop) refusal(a caller.Ask, answer Answer) error {
	if answer.Code == outcome.Quarantined {
		if e := l.quarantined(a); e != nil {
			return e
		}
	}
	return answer.Err()
}

func leftQueue(ctx context.Context) *outcome.Error {
	return &outcome.Error{
		Code: outcome.Deadline, Outcome: outcome.NotRun, Status: http.StatusServiceUnavailable, Retry: comeBack,
		Message: "the request was given up while it waited for an engine",
		Remedy:  "send the request again after the time given",
		Cause:   context.Cause(ctx),
	}
}

package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"hornbeamstep.example/coord/pause"
	"hornbeamstep.example/hornbeamd/caller"
	"hornbeamstep.example/policy"
	"hornbeamstep.example/routing/admission"
	"hornbeamstep.example/routing/outcome"
	"hornbeamstep.example/routing/placement"
	"hornbeamstep.example/routing/retry"
	"hornbeamstep.example/timeline"
)

const (
	// engines is the number of engines that a request asks before it waits at one of them.
	engines = 9
	// requeue is how long a request waits at one engine before it asks the others again. It doubles up to mostDoubled times,
	// so that requests which wait long do not fill the links with questions.
	requeue     = 30 * time.Millisecond
	mostDoubled = 5
	// moveWait is how long a request waits for a new owner: the time in which a lost router is suspected.
	moveWait = 5 * time.Second
	// outageWait is how long a request waits while no engine takes work; suspicion by hearsay ends sooner.
	outageWait = 3 * time.Second
	// comeBack is the time after which a caller is asked to repeat a request that met no engine in service.
	comeBack = 2 * time.Second
)

// turnWait is the wait before a request asks again that has to wait for another one, for room or for a new owner. Its jitter
// keeps requests that were refused together from asking together.
var turnWait = retry.Backoff{Base: 80 * time.Millisecond, Max: 400 * time.Millisecond}

// Admit implements caller.Dispatcher.
func (l *Loop) Admit(ctx context.Context, a caller.Ask) (caller.Grant, error) {
	if e := l.admissible(a); e != nil {
		return caller.Grant{}, e
	}
	l.retries.request(a)
	l.demand.request(l.Now(), a)
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

// admitEngine asks engines in the order of the placement's walk until one grants a slot.
func (l *Loop) admitEngine(ctx context.Context, a caller.Ask) (caller.Grant, error) {
	p := l.begin(a)
	for {
		step := p.walk.Next(l.Now())
		if step.Engine == "" {
			if !l.waitEngine(ctx, p) {
				return caller.Grant{}, noEngine(a)
			}
			continue
		}
		if l.lookup(ctx, p, step) {
			continue
		}
		answer := l.slot(ctx, p, step)
		switch {
		case answer.Kind == admission.Granted:
			grant := l.admitted(p, step, answer)
			l.fetch(ctx, p, step, answer)
			return grant, nil
		case ctx.Err() != nil || answer.Code == gone:
			return caller.Grant{}, leftQueue(ctx)
		case l.mayWait(p, step, answer):
			p.waits++
			p.walk.Reset()
			if answer.Waited < requeue/2 && !l.waitTurn(ctx, p, answer.Code) {
				return caller.Grant{}, leftQueue(ctx)
			}
		case answer.Code == apart || answer.Code == notOwner:
			if !l.waitTurn(ctx, p, answer.Code) {
				return caller.Grant{}, leftQueue(ctx)
			}
		case !p.refused(l.Now(), step, answer):
			return caller.Grant{}, l.refusal(a, answer)
		}
	}
}

// mayWait is true for a request that found no room in a queue but has time left: a suspect is never queued, and a share
// without the engine's owner has no queue.
func (l *Loop) mayWait(p *attempt, step placement.Step, a Answer) bool {
	if a.Code != outcome.Overloaded || !step.Queue {
		return false
	}
	wait := p.snap.policy.Pools[p.snap.policy.Backends[step.Engine].Pool].Wait
	if wait <= 0 {
		wait = policy.DefaultWait
	}
	return l.Now().Sub(p.asked) < wait
}

// attempt is one search for a slot.
type attempt struct {
	ask caller.Ask
	// id is unique for each attempt of a request.
	id string
	// asked is when the search began.
	asked   time.Time
	request placement.Request
	key     uint64
	// over is true if the client account surges.
	over bool
	snap *snapshot
	walk *placement.SlotSearch
	// found is true once the owner of the home was asked where the context is.
	found bool
	// held is the engine that the owner of the home named as the one with the context; empty for none.
	held string
	// turns counts the waits before asking again, and waits the refusals after a wait in a queue.
	turns, waits int
	// moved is when the owner was first found to have changed; zero if it was not.
	moved time.Time
}

func (l *Loop) begin(a caller.Ask) *attempt {
	p := &attempt{ask: a, id: a.Request + "/" + strconv.Itoa(a.Attempt), asked: l.Now()}
	p.request, p.over = l.memory.request(p.asked, a)
	p.key = placement.Key(a.Model, a.Adapter, a.Chat)
	l.look(p)
	return p
}

// look starts the walk with the present snapshot, without the engines on which the request failed before.
func (l *Loop) look(p *attempt) {
	p.snap = l.snap.Load()
	view := p.snap.view
	for _, name := range p.ask.Avoid {
		view = view.WithState(name, placement.Suspect)
	}
	p.walk = p.snap.rule.Search(l.Now(), p.request, view, engines)
}

// lookup asks the owner of the home where the chat's context is, if the first engine to ask is not the home. It reports
// whether the walk has changed. At the home itself the request for a slot brings the answer.
func (l *Loop) lookup(ctx context.Context, p *attempt, step placement.Step) bool {
	if p.found || p.request.ContextTokens == 0 || step.Engine == step.Home || step.Home == "" {
		return false
	}
	p.found = true
	owner := l.Peers.Owners().EngineOwner(step.Home)
	// A silent owner is not asked: the lookup saves a cache miss at most, and would cost its time limit.
	if slices.Contains(l.silent.list(l.Now()), owner) {
		return false
	}
	held, err := l.Peers.Held(ctx, owner, p.key)
	if err != nil && ctx.Err() == nil && owner != l.Settings.ID {
		l.silent.add(l.Now(), owner)
	}
	if err != nil || held == "" {
		return false
	}
	p.held = held
	p.walk.SetHolder(l.Now(), held)
	return true
}

// refused takes a refusal into account and returns false if it is final.
func (p *attempt) refused(now time.Time, step placement.Step, a Answer) bool {
	switch {
	case a.Held != "":
		p.found = true
		p.held = a.Held
		p.walk.SetHolder(now, a.Held)
	case a.Code == outcome.Overloaded && !step.Queue:
		p.walk.RecordRefusal(step.Engine, max(a.Wait, time.Millisecond))
	case a.Code == outcome.NoBackend:
		p.walk.Exclude(now, step.Engine)
	default:
		return false
	}
	return true
}

// slot asks the owner of an engine.
func (l *Loop) slot(ctx context.Context, p *attempt, step placement.Step) Answer {
	ask := SlotAsk{
		SlotRequest: admission.SlotRequest{
			RequestID: p.id, Router: l.Settings.ID, Account: p.ask.Account, Class: admission.Class(p.ask.Class), Surging: p.over,
			Weight: p.ask.Weight, Cost: 1, Deadline: p.ask.Deadline, NoQueue: !step.Queue, Since: p.asked,
		},
		Fingerprint: p.ask.Fingerprint,
		Suspect:     l.suspicion(p.ask.Fingerprint),
		Chat:        p.key,
		Home:        step.Engine == step.Home && !p.found && p.request.ContextTokens > 0,
	}
	if step.Queue {
		ask.Deadline = earlier(ask.Deadline, l.Now().Add(requeue<<min(p.waits, mostDoubled)))
	}
	if l.snap.Load().owned[step.Engine] {
		return l.owned(ctx, step.Engine, ask)
	}
	return l.remote(ctx, step.Engine, ask)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// waitTurn waits until a suspect, or a request whose engine changes its owner, may ask again. It returns false if the
// request has to give up.
func (l *Loop) waitTurn(ctx context.Context, p *attempt, code outcome.Code) bool {
	if code == notOwner {
		if p.moved.IsZero() {
			p.moved = l.Now()
		}
		if l.Now().Sub(p.moved) > moveWait {
			return false
		}
	}
	p.turns++
	if pause.For(ctx, turnWait.Delay(p.turns, rand.Float64())) != nil {
		return false
	}
	l.look(p)
	return true
}

// waitEngine waits for an engine to come back into service: after a crash several may be suspect until their next report.
// It returns false if the request has to give up.
func (l *Loop) waitEngine(ctx context.Context, p *attempt) bool {
	if l.Now().Sub(p.asked) > outageWait {
		return false
	}
	return l.waitTurn(ctx, p, outcome.NoBackend)
}

// admitted records a grant.
func (l *Loop) admitted(p *attempt, step placement.Step, a Answer) caller.Grant {
	l.boots.put(p.id, a.Boot)
	b := p.snap.policy.Backends[step.Engine]
	l.remember(p, step)
	l.record(timeline.Event{
		Kind: timeline.Placed, Request: p.ask.Request, Chat: p.ask.Chat, Backend: step.Engine,
		Text: fmt.Sprintf("%s, home %s", step.Reason, step.Home),
	})
	l.record(timeline.Event{
		Kind: timeline.Admitted, Request: p.ask.Request, Chat: p.ask.Chat, Backend: step.Engine,
		Text: fmt.Sprintf("slot %d after %s", a.Slot.ID, l.Now().Sub(p.asked).Round(time.Millisecond)),
	})
	return caller.Grant{Backend: step.Engine, Address: b.Address, Slot: p.id, Pool: b.Pool}
}

// remember tells the owner of the home where the context will be. If the engine is the home, its owner granted the slot and
// knows already.
func (l *Loop) remember(p *attempt, step placement.Step) {
	if step.Engine == step.Home || step.Home == "" {
		return
	}
	owner := l.Peers.Owners().EngineOwner(step.Home)
	go l.Peers.Note(owner, p.key, step.Engine)
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
	boot := l.boots.take(g.Slot)
	switch r.Ending {
	case caller.EndedCrashed, caller.EndedFailed, caller.EndedMalformed:
		// An engine that crashes may still end its streams with an error.
		l.broke(g, r, boot)
	case caller.EndedOK:
		l.over(r.Fingerprint, g.Backend, true)
	}
	l.limits.finished(l.Now(), r.Request, int64(r.Prompt-r.Cached+r.Tokens))
	if g.Pool == "" {
		l.called(g, r)
		return
	}
	v := l.verdict(g.Pool, r)
	l.send(func(now time.Time) {
		l.freed(g.Slot, v, now)
		// No connection is a sign that the engine is gone; time-outs are left to its health.
		if r.Ending == caller.EndedUnreachable {
			l.failed(g.Backend, now)
		}
	})
}

func noEngine(a caller.Ask) *outcome.Error {
	return &outcome.Error{
		Code: outcome.NoBackend, Outcome: outcome.NotRun, Status: http.StatusServiceUnavailable, RetryAfter: comeBack,
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
		Code: outcome.Deadline, Outcome: outcome.NotRun, Status: http.StatusServiceUnavailable, RetryAfter: comeBack,
		Message: "the request was given up while it waited for an engine",
		Remedy:  "send the request again after the time given",
		Cause:   context.Cause(ctx),
	}
}

package control

import (
	"context"
	"time"

	"go.uber.org/zap"

	"hornbeamstep.example/coord/loadsum"
	"hornbeamstep.example/hornbeamd/engine"
	"hornbeamstep.example/policy"
	"hornbeamstep.example/routing/admission"
	"hornbeamstep.example/routing/outcome"
	"hornbeamstep.example/routing/placement"
	"hornbeamstep.example/timeline"
)

const (
	// suspectAfter is the number of failed polls in a row after which an engine is suspect.
	suspectAfter = 2
	// pollLimit is the longest time for one poll.
	pollLimit = time.Second
	// eventsEvery is the number of load reports for each read of cache events, and mostStored bounds the chats remembered of
	// one engine.
	eventsEvery = 5
	mostStored  = 1 << 15
	// hearsay is how long a router that does not own an engine keeps requests away from it after a failure.
	hearsay = 2 * time.Second
)

// reconcile takes over and gives up engines as ownership changes.
func (l *Loop) reconcile(ctx context.Context, now time.Time) {
	owners := l.Peers.Owners()
	for _, name := range l.state.order {
		e := l.state.engines[name]
		switch owns := owners.OwnsEngine(name); {
		case owns && e.gate == nil:
			l.own(e, now)
		case !owns && e.gate != nil:
			l.disown(e, "owned by "+owners.EngineOwner(name)+" now")
		}
		if e.gate != nil && e.stopPoll == nil {
			l.startPoll(ctx, e)
		}
		l.refreshHealth(e, now)
		if e.gate == nil && e.health == placement.Suspect && !now.Before(e.until) {
			l.setHealth(e, placement.InService, "time of suspicion is over")
		}
	}
}

// own begins the admission of an engine. Its load is unknown, so the gate starts from the engine's own report.
func (l *Loop) own(e *engineState, now time.Time) {
	e.gate = admission.NewAfterTakeover(now, gateSettings(e.pool))
	e.mean = loadsum.Sum{}
	e.failures = 0
	l.record(timeline.Event{Kind: timeline.Owner, Backend: e.backend.Name, Text: "this router owns the engine"})
}

// disown ends the admission of an engine. Requests that wait are answered, so that they ask the next owner.
func (l *Loop) disown(e *engineState, why string) {
	if e.stopPoll != nil {
		e.stopPoll()
		e.stopPoll = nil
	}
	if e.gate == nil {
		return
	}
	e.gate = nil
	l.empty(e)
	l.record(timeline.Event{Kind: timeline.Owner, Backend: e.backend.Name, Text: why})
}

// turnAway answers the requests that wait, so that they are placed anew.
func (l *Loop) turnAway(e *engineState) {
	for request, w := range e.waiters {
		delete(e.waiters, request)
		if e.gate != nil {
			e.gate.Abandon(request)
		}
		l.answer(e, w, admission.Action{Kind: admission.Refused, Request: w.ask.SlotRequest, Code: outcome.NoBackend})
	}
}

// empty ends everything that the gate of an engine had granted or queued.
func (l *Loop) empty(e *engineState) {
	l.turnAway(e)
	for slot := range e.granted {
		l.forget(e, slot)
	}
}

// startPoll reads the engine's load report and cache events until it is stopped.
func (l *Loop) startPoll(ctx context.Context, e *engineState) {
	ctx, e.stopPoll = context.WithCancel(ctx)
	p := &poll{loop: l, name: e.backend.Name, client: l.Engine(e.backend)}
	go p.run(ctx)
}

// poll reads from one engine. It belongs to its own goroutine.
type poll struct {
	loop   *Loop
	name   string
	client Engine
	// boot and after say up to where the cache events of the engine's present life were read.
	boot  string
	after int64
}

func (p *poll) run(ctx context.Context) {
	defer p.client.Close()
	for turn := 0; ctx.Err() == nil; turn++ {
		p.load(ctx)
		if turn%eventsEvery == 0 {
			p.events(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(p.loop.Settings.Engine.Poll):
		}
	}
}

func (p *poll) load(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, pollLimit)
	defer cancel()
	asked := p.loop.Now()
	report, err := p.client.Load(call)
	p.loop.send(func(now time.Time) {
		if ctx.Err() == nil {
			p.loop.reported(p.name, report, err, asked, now)
		}
	})
}

// events reads cache events. A failure is left to the load report to find.
func (p *poll) events(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, pollLimit)
	defer cancel()
	got, err := p.client.Events(call, p.after)
	if err != nil {
		return
	}
	if got.Boot != p.boot {
		p.boot, p.after = got.Boot, 0
	} else {
		p.after = got.Next
	}
	p.loop.send(func(now time.Time) { p.loop.cached(p.name, got.Events, now) })
}

// cached takes cache events. They tell which contexts the engine has surely evicted: those last used before one that it did
// evict, since the cache drops the longest unused first.
func (l *Loop) cached(name string, events []engine.Event, now time.Time) {
	e, ok := l.state.engines[name]
	if !ok || e.gate == nil {
		return
	}
	for _, event := range events {
		e.contexts.take(event, now)
		if event.Chat == "" {
			continue
		}
		switch event.Kind {
		case "stored":
			if len(e.stored) < mostStored {
				e.stored[event.Chat] = now.Unix()
			}
		case "evicted":
			if used := time.Unix(e.stored[event.Chat], 0); used.After(e.evicted) {
				e.evicted = used
			}
			delete(e.stored, event.Chat)
		}
	}
}

func (l *Loop) stopPolls() {
	for _, e := range l.state.engines {
		if e.stopPoll != nil {
			e.stopPoll()
		}
	}
}

// reported takes a load report, or the failure to get one. The report counts as measured when it was asked for: the engine's
// clock is another one.
func (l *Loop) reported(name string, report engine.Report, err error, asked, now time.Time) {
	e, ok := l.state.engines[name]
	if !ok || e.gate == nil {
		return
	}
	if err != nil {
		e.failures++
		if e.failures == suspectAfter {
			l.setHealth(e, placement.Suspect, "load report failed: "+err.Error())
		}
		return
	}
	e.failures = 0
	if e.boot != "" && e.boot != report.Boot {
		l.restarted(e, now)
	}
	e.boot = report.Boot
	e.report, e.reported = report, asked
	if e.health == placement.Suspect {
		l.setHealth(e, placement.InService, "load reports again")
	}
	l.carryOut(e, e.gate.SetReport(now, admission.Report{At: asked, Load: report.Load}))
}

// restarted begins anew with an engine that lost its requests and its cache: the gate ramps up, which is the slow start.
func (l *Loop) restarted(e *engineState, now time.Time) {
	l.empty(e)
	clear(e.stored)
	e.warm, e.contexts = newWarm(), newContexts()
	e.evicted = time.Time{}
	e.mean = loadsum.Sum{}
	e.gate = admission.NewAfterTakeover(now, gateSettings(e.pool))
	l.memory.drop(e.backend.Name)
	if h := l.state.health[e.backend.Pool]; h != nil {
		h.RecordRestart(now, e.backend.Name)
	}
	l.record(timeline.Event{Kind: timeline.Member, Backend: e.backend.Name, Text: "engine restarted"})
}

func (l *Loop) setHealth(e *engineState, health placement.State, why string) {
	if e.health == health {
		return
	}
	e.health = health
	l.state.dirty = true
	if health == placement.Suspect {
		l.turnAway(e)
	}
	text := "in service: " + why
	if health == placement.Suspect {
		text = "suspect: " + why
	}
	l.record(timeline.Event{Kind: timeline.Member, Backend: e.backend.Name, Text: text})
	l.Log.Info("state of engine changed", zap.String("engine", e.backend.Name), zap.String("state", text))
}

// failed takes a failure that a request met on an engine. A poll by the owner decides soon; until then requests go elsewhere.
func (l *Loop) failed(name string, now time.Time) {
	if e, ok := l.state.engines[name]; ok {
		l.suspect(e, now, "a request failed")
	}
}

func (l *Loop) suspect(e *engineState, now time.Time, why string) {
	e.until = now.Add(hearsay)
	l.setHealth(e, placement.Suspect, why)
}

// carryOut answers the requests that a gate has decided about.
func (l *Loop) carryOut(e *engineState, actions []admission.Action) {
	for _, a := range actions {
		if a.Kind == admission.Expired {
			l.forget(e, a.Slot.ID)
			l.metrics.expired.Inc()
			continue
		}
		w, ok := e.waiters[a.Request.RequestID]
		if !ok {
			// The request left the queue just before it was granted.
			if a.Kind == admission.Granted && e.gate != nil {
				l.carryOut(e, e.gate.Release(l.Now(), a.Slot.ID))
			}
			continue
		}
		delete(e.waiters, a.Request.RequestID)
		l.answer(e, w, a)
	}
}

// takesWork is false for engines that get no new request from their owner.
func (l *Loop) takesWork(e *engineState) bool {
	return e.health == placement.InService && !e.ejected && e.backend.State != policy.Leaving && !l.state.drained[e.backend.Name]
}

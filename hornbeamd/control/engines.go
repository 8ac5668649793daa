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
	// suspectAfterFailures is the number of consecutive failed polls after which an engine is
	// suspect.
	suspectAfterFailures = 2
	// pollTimeout limits one request of a poll.
	pollTimeout = time.Second
	// pollsPerEventRead is the number of load reports per read of the cache events.
	pollsPerEventRead = 5
	// maxStoredChats bounds the chats remembered for each engine.
	maxStoredChats = 1 << 15
	// localSuspicionTTL is how long an engine stays suspect at a router that does not own it, after
	// a request failed or the owner answered that the engine takes none.
	localSuspicionTTL = 2 * time.Second
)

// reconcile takes over and gives up engines as their ownership changes, and ends suspicions that
// have expired.
func (l *Loop) reconcile(ctx context.Context, now time.Time) {
	owners := l.Peers.Owners()
	for _, name := range l.state.order {
		e := l.state.engines[name]
		switch owns := owners.OwnsEngine(name); {
		case owns && e.gate == nil:
			l.takeOver(e, now)
		case !owns && e.gate != nil:
			l.endAdmission(e, "owned by "+owners.EngineOwner(name)+" now")
		}
		if e.gate != nil && e.stopPoll == nil {
			l.startPoll(ctx, e)
		}
		l.updateEjection(e, now)
		if e.gate == nil && e.health == placement.Suspect && !now.Before(e.suspectUntil) {
			l.setHealth(e, placement.InService, "time of suspicion is over")
		}
	}
}

// takeOver starts admission for an engine. Its load is not known yet, so the gate grants only one
// slot until the first load report.
func (l *Loop) takeOver(e *engineState, now time.Time) {
	e.gate = admission.NewAfterTakeover(now, gateSettings(e.pool))
	e.poolSum = loadsum.Sum{}
	e.failures = 0
	l.record(timeline.Event{Kind: timeline.Owner, Backend: e.backend.Name, Text: "this router owns the engine"})
}

// endAdmission stops polling an engine and admitting requests to it. It refuses the queued
// requests, so that they look for a slot on another engine.
func (l *Loop) endAdmission(e *engineState, reason string) {
	if e.stopPoll != nil {
		e.stopPoll()
		e.stopPoll = nil
	}
	if e.gate == nil {
		return
	}
	e.gate = nil
	l.endAllRequests(e)
	l.record(timeline.Event{Kind: timeline.Owner, Backend: e.backend.Name, Text: reason})
}

// refuseWaiters refuses the queued requests of an engine, so that they are placed on another one.
func (l *Loop) refuseWaiters(e *engineState) {
	for request, w := range e.waiters {
		delete(e.waiters, request)
		if e.gate != nil {
			e.gate.Abandon(request)
		}
		l.reply(e, w, admission.Action{Kind: admission.Refused, Request: w.slotRequest.SlotRequest, Code: outcome.NoBackend})
	}
}

// endAllRequests refuses the queued requests of an engine and forgets those that were granted a
// slot.
func (l *Loop) endAllRequests(e *engineState) {
	l.refuseWaiters(e)
	for slot := range e.granted {
		l.forgetGrant(e, slot)
	}
}

// startPoll starts to read the engine's load report and cache events until stopPoll is called.
func (l *Loop) startPoll(ctx context.Context, e *engineState) {
	ctx, e.stopPoll = context.WithCancel(ctx)
	p := &poller{loop: l, engine: e.backend.Name, client: l.NewEngine(e.backend)}
	go p.run(ctx)
}

// poller reads load reports and cache events from one engine. It is accessed only by its own
// goroutine.
type poller struct {
	loop   *Loop
	engine string
	client Engine
	// boot is the boot identifier of the engine process, and after the position up to which its
	// cache events were read.
	boot  string
	after int64
}

func (p *poller) run(ctx context.Context) {
	defer p.client.Close()
	for turn := 0; ctx.Err() == nil; turn++ {
		p.load(ctx)
		if turn%pollsPerEventRead == 0 {
			p.events(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(p.loop.Settings.Engine.Poll):
		}
	}
}

func (p *poller) load(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	askedAt := p.loop.Now()
	report, err := p.client.Load(callCtx)
	p.loop.send(func(now time.Time) {
		if ctx.Err() == nil {
			p.loop.applyReport(p.engine, report, err, askedAt, now)
		}
	})
}

// events reads cache events. It ignores failures, because the load report detects an engine that is
// down.
func (p *poller) events(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	got, err := p.client.Events(callCtx, p.after)
	if err != nil {
		return
	}
	// The events of a new process are read from its first one.
	if got.Boot != p.boot {
		p.boot, p.after = got.Boot, 0
	} else {
		p.after = got.Next
	}
	p.loop.send(func(now time.Time) { p.loop.applyCacheEvents(p.engine, got.Events, now) })
}

// applyCacheEvents processes cache events. A cache evicts the least recently used context first, so
// an eviction shows that all contexts that were last used earlier have been evicted as well.
func (l *Loop) applyCacheEvents(name string, events []engine.Event, now time.Time) {
	e, ok := l.state.engines[name]
	if !ok || e.gate == nil {
		return
	}
	for _, event := range events {
		e.contexts.apply(event, now)
		if event.Chat == "" {
			continue
		}
		switch event.Kind {
		case "stored":
			if _, known := e.lastUsed[event.Chat]; known || len(e.lastUsed) < maxStoredChats {
				e.lastUsed[event.Chat] = now.Unix()
			}
		case "evicted":
			if used := time.Unix(e.lastUsed[event.Chat], 0); used.After(e.evictedBefore) {
				e.evictedBefore = used
			}
			delete(e.lastUsed, event.Chat)
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

// applyReport processes a load report, or the failure to get one. The report is dated by the time
// it was requested, because the clock of the engine may differ.
func (l *Loop) applyReport(name string, report engine.Report, err error, askedAt, now time.Time) {
	e, ok := l.state.engines[name]
	if !ok || e.gate == nil {
		return
	}
	if err != nil {
		e.failures++
		if e.failures == suspectAfterFailures {
			l.setHealth(e, placement.Suspect, "load report failed: "+err.Error())
		}
		return
	}
	e.failures = 0
	if e.boot != "" && e.boot != report.Boot {
		l.handleRestart(e, now)
	}
	e.boot = report.Boot
	e.report, e.reportRequestedAt = report, askedAt
	if e.health == placement.Suspect {
		l.setHealth(e, placement.InService, "load reports again")
	}
	l.applyActions(e, e.gate.SetReport(now, admission.Report{At: askedAt, Load: report.Load}))
}

// handleRestart resets the state of an engine that has lost its requests and its cache in a
// restart. The new gate raises its limit gradually, so that the engine needs no other slow start.
func (l *Loop) handleRestart(e *engineState, now time.Time) {
	l.endAllRequests(e)
	clear(e.lastUsed)
	e.recentChats, e.contexts = newRecentChats(), newContexts()
	e.evictedBefore = time.Time{}
	e.poolSum = loadsum.Sum{}
	e.gate = admission.NewAfterTakeover(now, gateSettings(e.pool))
	l.chats.dropEngine(e.backend.Name)
	if h := l.state.health[e.backend.Pool]; h != nil {
		h.RecordRestart(now, e.backend.Name)
	}
	l.record(timeline.Event{Kind: timeline.Member, Backend: e.backend.Name, Text: "engine restarted"})
}

func (l *Loop) setHealth(e *engineState, health placement.State, reason string) {
	if e.health == health {
		return
	}
	e.health = health
	l.state.enginesChanged = true
	if health == placement.Suspect {
		l.refuseWaiters(e)
	}
	text := "in service: " + reason
	if health == placement.Suspect {
		text = "suspect: " + reason
	}
	l.record(timeline.Event{Kind: timeline.Member, Backend: e.backend.Name, Text: text})
	l.Log.Info("state of engine changed", zap.String("engine", e.backend.Name), zap.String("state", text))
}

// handleRequestFailure marks an engine as suspect after a request failed on it, so that this router
// sends its requests elsewhere. The suspicion ends with the next successful poll if this router
// owns the engine, and after localSuspicionTTL otherwise.
func (l *Loop) handleRequestFailure(name string, now time.Time) {
	if e, ok := l.state.engines[name]; ok {
		l.markSuspect(e, now, "a request failed")
	}
}

func (l *Loop) markSuspect(e *engineState, now time.Time, reason string) {
	e.suspectUntil = now.Add(localSuspicionTTL)
	l.setHealth(e, placement.Suspect, reason)
}

// applyActions replies to the requests that a gate has decided on.
func (l *Loop) applyActions(e *engineState, actions []admission.Action) {
	for _, a := range actions {
		if a.Kind == admission.Expired {
			l.forgetGrant(e, a.Slot.ID)
			l.metrics.expired.Inc()
			continue
		}
		w, ok := e.waiters[a.Request.RequestID]
		if !ok {
			// The request left the queue just before it was granted.
			if a.Kind == admission.Granted && e.gate != nil {
				l.applyActions(e, e.gate.Release(l.Now(), a.Slot.ID))
			}
			continue
		}
		delete(e.waiters, a.Request.RequestID)
		l.reply(e, w, a)
	}
}

// acceptsRequests reports whether an engine may get new requests.
func (l *Loop) acceptsRequests(e *engineState) bool {
	return e.health == placement.InService && !e.ejected && e.backend.State != policy.Leaving && !l.state.drained[e.backend.Name]
}

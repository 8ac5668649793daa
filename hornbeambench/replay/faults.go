package replay

import (
	"fmt"
	"slices"
	"time"

	"hornbeamstep.example/hornbeambench/trace"
	"hornbeamstep.example/routing/placement"
	"hornbeamstep.example/routing/quarantine"
)

// goneTimeout is how long an engine stays suspect before its chats get another home engine.
const goneTimeout = 30 * time.Second

// scheduleFaults schedules the faults of a scenario.
func (f *fleet) scheduleFaults(faults []trace.Fault) {
	for _, fault := range faults {
		f.after(seconds(fault.At), func() { f.injectFault(fault) })
	}
}

func (f *fleet) injectFault(fault trace.Fault) {
	duration := seconds(fault.DurationSeconds)
	e := f.engineByID[fault.Target]
	switch fault.Kind {
	case trace.Crash:
		f.crashEngine(e, duration)
	case trace.Flap:
		crashes := max(1, int(fault.Value))
		for i := range crashes {
			f.after(duration/time.Duration(crashes)*time.Duration(i), func() { f.crashEngine(e, duration/time.Duration(2*crashes)) })
		}
	case trace.Leave:
		f.drainEngine(e, duration)
	case trace.Slow:
		e.setSpeed(fault.Value, false)
		f.after(duration, func() { e.setSpeed(1, false) })
	case trace.Hang:
		e.setSpeed(e.slowdown, true)
		f.after(duration, func() { e.setSpeed(e.slowdown, false) })
	case trace.Silent:
		for _, run := range e.running {
			run.silent = true
		}
	case trace.Pause:
		f.pauseRouter(f.routerByName(fault.Target), duration)
	case trace.Kill:
		f.killRouter(f.routerByName(fault.Target), duration)
	case trace.Lag:
		f.extraListLag[fault.Target] = seconds(fault.Value)
		f.after(duration, func() { delete(f.extraListLag, fault.Target) })
	case trace.ZoneOutage:
		f.failZone(fault.Target, duration)
	case trace.Poison:
		f.poisonCalls[fault.Target+"/1"] = true
	case trace.Cut:
		f.cutLink(fault)
	case trace.ClockStep:
		f.stepClock(fault)
	case trace.Partition:
		f.partitionZone(fault.Target, duration)
	case trace.StoreOutage:
		f.objectAPIUp = false
		f.after(duration, func() { f.objectAPIUp = true })
	}
}

func (f *fleet) crashEngine(e *engine, duration time.Duration) {
	if !e.up {
		return
	}
	var calls []*call
	for _, run := range append(slices.Clone(e.running), e.waiting...) {
		calls = append(calls, run.call)
	}
	crash := quarantine.Crash{Engine: e.id, Boot: fmt.Sprint(e.bootCount)}
	recorded := false
	for _, r := range f.routers {
		if r.gates[e.id] != nil && f.connected(r.name, e.id) {
			r.runOrDefer(func() { r.recordCrash(crash, calls) })
			recorded = !r.paused
			break
		}
	}
	if !recorded {
		f.recordCrashAtCallRouters(crash, calls)
	}
	e.crash()
	f.announceState(e, placement.Suspect)
	f.after(goneTimeout, func() {
		if !e.up {
			f.announceState(e, placement.Gone)
		}
	})
	f.after(duration, func() { f.restartEngine(e) })
}

// recordCrashAtCallRouters records the crash of an engine whose owner is paused or unknown. As in
// the daemon, the routers whose streams broke detect the crash and record it, because their callers
// may send the requests again before the owner resumes.
func (f *fleet) recordCrashAtCallRouters(crash quarantine.Crash, calls []*call) {
	callsByRouter := map[*router][]*call{}
	for _, c := range calls {
		callsByRouter[c.router] = append(callsByRouter[c.router], c)
	}
	for _, r := range f.routers {
		if len(callsByRouter[r]) > 0 {
			r.runOrDefer(func() { r.recordCrash(crash, callsByRouter[r]) })
		}
	}
}

// restartEngine restarts an engine with an empty cache. It is in service 10 s later.
func (f *fleet) restartEngine(e *engine) {
	e.restart()
	f.announceState(e, placement.Joining)
	f.after(10*time.Second, func() {
		if e.up && !e.draining {
			f.announceState(e, placement.InService)
		}
	})
}

// drainEngine takes an engine out of service with notice. Contexts are exported and running
// requests may finish until the engine stops after 30 s.
func (f *fleet) drainEngine(e *engine, duration time.Duration) {
	f.announceState(e, placement.Leaving)
	f.after(f.MinListLag, func() {
		e.draining = true
		e.onLoadChange()
	})
	if f.placer == Omniscient {
		f.evacuateAll(e)
	}
	f.after(goneTimeout, func() {
		e.crash()
		f.announceState(e, placement.Gone)
	})
	f.after(max(duration, goneTimeout+time.Second), func() { f.restartEngine(e) })
}

// evacuateAll moves every cached context to another engine, for the omniscient placer.
func (f *fleet) evacuateAll(e *engine) {
	var moves []placement.Move
	for i, entry := range e.cache.chats() {
		to := f.engines[i%len(f.engines)]
		if to != e && to.up && !to.draining {
			moves = append(moves, placement.Move{Chat: entry.chat, From: e.id, To: to.id, Tokens: entry.tokens})
		}
	}
	f.scheduleMoves(nil, moves)
}

// failureDetectionDelay is the time until a router notices that another router does not respond. It
// differs between the routers.
func (f *fleet) failureDetectionDelay(router *router) time.Duration {
	return time.Duration((1.5 + 1.5*f.hashFraction("suspicion", router.name)) * float64(time.Second))
}

func (f *fleet) updateMembers() {
	if f.partitionedZone != "" && !f.enabled(Takeover) {
		return
	}
	for _, r := range f.routers {
		f.after(f.failureDetectionDelay(r), func() {
			if r.up && !r.paused {
				r.setMembers(f.reachableRouters(r))
			}
		})
	}
}

// respondingRouters lists the routers that are up and not paused.
func (f *fleet) respondingRouters() []string {
	var names []string
	for _, r := range f.routers {
		if r.up && !r.paused {
			names = append(names, r.name)
		}
	}
	return names
}

func (f *fleet) pauseRouter(r *router, duration time.Duration) {
	r.paused = true
	f.updateMembers()
	f.after(duration, func() {
		r.paused = false
		// The router sees a gap in its own clock and drops its ownership before it handles any
		// event.
		r.isolated = true
		r.updateOwnership(false)
		backlog := r.deferred
		r.deferred = nil
		for _, event := range backlog {
			r.runOrDefer(event)
		}
		f.updateMembers()
	})
}

// killRouter stops a router. Its callers see their connections break and send their requests again.
// The replacement starts after the duration.
func (f *fleet) killRouter(r *router, duration time.Duration) {
	if !r.up {
		return
	}
	r.up = false
	r.reset()
	for _, c := range f.stats.calls {
		if c.router != r || c.state != callOpen {
			continue
		}
		if c.run != nil && c.attemptID != "" {
			// The engine detects the closed connection and cancels the run.
			run, e := c.run, f.engineByID[c.engineID]
			f.after(f.InterZoneLatency, func() { e.cancel(run) })
		}
		c.hasSlot, c.attemptID = false, ""
		c.firstTokenAt = 0
		f.after(2*f.CallerLatency, func() { f.resendOrEnd(c, callInterrupted) })
	}
	f.updateMembers()
	f.after(duration, func() {
		r.up = true
		r.view = f.trueView
		for _, e := range f.trueView.Engines() {
			r.listedState[e.ID] = e.State
		}
		r.unreachable = nil
		if f.partitionedZone != "" {
			f.markUnreachable(r)
		}
		r.isolated = true
		f.updateMembers()
	})
}

func (f *fleet) failZone(zone string, duration time.Duration) {
	for _, e := range f.engines {
		if e.zone == zone {
			f.crashEngine(e, duration)
		}
	}
	for _, r := range f.routers {
		if r.zone == zone {
			f.killRouter(r, duration)
		}
	}
}

// promptComputed is called when an engine has computed a prompt. The first request of a poison chat
// then crashes the engine, also when the request is sent again.
func (f *fleet) promptComputed(e *engine, run *engineRun) {
	c := run.call
	if c.req.SharedPrefixTokens > 0 {
		e.cache.put(cacheEntry{name: "prefix/" + c.req.Account, tokens: c.req.SharedPrefixTokens})
	}
	if f.poisonCalls[c.fingerprint()] {
		f.after(0, func() {
			if e.up {
				f.stats.poisonCrashesByCall[c.fingerprint()]++
				f.crashEngine(e, 20*time.Second)
			}
		})
	}
}

package replay

import (
	"fmt"
	"slices"
	"time"

	"hornbeamstep.example/hornbeambench/trace"
	"hornbeamstep.example/routing/placement"
	"hornbeamstep.example/routing/quarantine"
)

// goneTimeout is how long a crashed engine stays suspect before its chats get another home engine.
// It is also how long a draining engine may finish its requests.
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
		e.setSlowdown(fault.Value, false)
		f.after(duration, func() { e.setSlowdown(1, false) })
	case trace.Hang:
		e.setSlowdown(e.slowdown, true)
		f.after(duration, func() { e.setSlowdown(e.slowdown, false) })
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
		f.recordCrashWithoutOwner(crash, calls)
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

// recordCrashWithoutOwner records the crash of an engine whose owner is paused or unreachable. As
// in hornbeamd, each router whose streams broke records the crash itself. It cannot wait for the
// owner: its callers may send the requests again before the owner resumes.
func (f *fleet) recordCrashWithoutOwner(crash quarantine.Crash, calls []*call) {
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

// restartEngine restarts an engine with an empty cache. The engine joins for 10 s and is in service
// after that.
func (f *fleet) restartEngine(e *engine) {
	e.restart()
	f.announceState(e, placement.Joining)
	f.after(10*time.Second, func() {
		if e.up && !e.draining {
			f.announceState(e, placement.InService)
		}
	})
}

// drainEngine takes an engine out of service gracefully. Until the engine stops after goneTimeout,
// its contexts are moved to other engines and its running requests may finish. The engine restarts
// after the given duration, or 1 s after the stop if that is later.
func (f *fleet) drainEngine(e *engine, duration time.Duration) {
	f.announceState(e, placement.Leaving)
	f.after(f.MinListLag, func() {
		e.draining = true
		e.onLoadChange()
	})
	if f.placer == Omniscient {
		f.evacuateContexts(e)
	}
	f.after(goneTimeout, func() {
		e.crash()
		f.announceState(e, placement.Gone)
	})
	f.after(max(duration, goneTimeout+time.Second), func() { f.restartEngine(e) })
}

// evacuateContexts moves the cached contexts of an engine to the others in turn, for the omniscient
// placer. A context whose turn falls on the engine itself, or on an engine that is down or
// draining, is not moved.
func (f *fleet) evacuateContexts(e *engine) {
	var moves []placement.Move
	for i, entry := range e.cache.chats() {
		to := f.engines[i%len(f.engines)]
		if to != e && to.up && !to.draining {
			moves = append(moves, placement.Move{Chat: entry.chat, From: e.id, To: to.id, Tokens: entry.tokens})
		}
	}
	f.scheduleMoves(nil, moves)
}

// failureDetectionDelay returns the time until a router detects that others stopped or resumed
// responding. It is between 1.5 s and 3 s and differs between the routers.
func (f *fleet) failureDetectionDelay(router *router) time.Duration {
	return time.Duration((1.5 + 1.5*f.hashFraction("suspicion", router.name)) * float64(time.Second))
}

// updateMembers gives each router a new member list after its failure detection delay. During a
// partition, the lists stay unchanged if Takeover is disabled.
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
		// The router detects the gap in its own clock. It gives up the ownership of all engines
		// before it handles the deferred events.
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

// killRouter stops a router. Its callers detect the closed connections and send their requests
// again. A replacement with the same name starts after the duration.
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

// promptComputed is called when an engine has computed a prompt. It stores the shared prefix in the
// cache. If the request is a poison request, it crashes the engine, also when the request was sent
// again.
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

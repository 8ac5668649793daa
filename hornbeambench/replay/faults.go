package replay

import (
	"fmt"
	"slices"
	"time"

	"hornbeamstep.example/hornbeambench/trace"
	"hornbeamstep.example/routing/placement"
	"hornbeamstep.example/routing/quarantine"
)

// gone is how long an engine stays suspect before its chats get another home.
const gone = 30 * time.Second

// inject schedules the faults of a scenario.
func (s *fleet) inject(faults []trace.Fault) {
	for _, f := range faults {
		s.after(seconds(f.At), func() { s.fault(f) })
	}
}

func (s *fleet) fault(f trace.Fault) {
	duration := seconds(f.For)
	e := s.byID[f.Target]
	switch f.Kind {
	case trace.Crash:
		s.crash(e, duration)
	case trace.Flap:
		n := max(1, int(f.Value))
		for i := range n {
			s.after(duration/time.Duration(n)*time.Duration(i), func() { s.crash(e, duration/time.Duration(2*n)) })
		}
	case trace.Leave:
		s.leave(e, duration)
	case trace.Slow:
		e.pace(f.Value, false)
		s.after(duration, func() { e.pace(1, false) })
	case trace.Hang:
		e.pace(e.slow, true)
		s.after(duration, func() { e.pace(e.slow, false) })
	case trace.Silent:
		for _, r := range e.running {
			r.silent = true
		}
	case trace.Pause:
		s.pause(s.router(f.Target), duration)
	case trace.Kill:
		s.kill(s.router(f.Target), duration)
	case trace.Lag:
		s.listLag[f.Target] = seconds(f.Value)
		s.after(duration, func() { delete(s.listLag, f.Target) })
	case trace.Zone:
		s.zone(f.Target, duration)
	case trace.Poison:
		s.poison[f.Target+"/1"] = true
	case trace.Cut:
		s.cut(f)
	case trace.Clock:
		s.step(f)
	case trace.Part:
		s.part(f.Target, duration)
	case trace.Store:
		s.storeUp = false
		s.after(duration, func() { s.storeUp = true })
	}
}

func (s *fleet) crash(e *engine, d time.Duration) {
	if !e.up {
		return
	}
	var calls []*call
	for _, r := range append(slices.Clone(e.running), e.waiting...) {
		calls = append(calls, r.call)
	}
	c := quarantine.Crash{Engine: e.id, Boot: fmt.Sprint(e.boot)}
	told := false
	for _, r := range s.routers {
		if r.gates[e.id] != nil && s.meets(r.name, e.id) {
			r.do(func() { r.crashed(c, calls) })
			told = !r.paused
			break
		}
	}
	if !told {
		s.broken(c, calls)
	}
	e.crash()
	s.state(e, placement.Suspect)
	s.after(gone, func() {
		if !e.up {
			s.state(e, placement.Gone)
		}
	})
	s.after(d, func() { s.join(e) })
}

// broken is for a crash of an engine whose owner is paused or not known yet: the routers whose streams broke find the engine dead, as the daemon does, because
// their callers may send the requests again before the owner goes on.
func (s *fleet) broken(c quarantine.Crash, calls []*call) {
	held := map[*router][]*call{}
	for _, q := range calls {
		held[q.router] = append(held[q.router], q)
	}
	for _, r := range s.routers {
		if len(held[r]) > 0 {
			r.do(func() { r.crashed(c, held[r]) })
		}
	}
}

// join brings an engine back with an empty cache.
func (s *fleet) join(e *engine) {
	e.restart()
	s.state(e, placement.Joining)
	s.after(10*time.Second, func() {
		if e.up && !e.leaving {
			s.state(e, placement.InService)
		}
	})
}

// leave takes an engine out with notice. It exports its caches, ends its runs and stops after 30 s at the latest.
func (s *fleet) leave(e *engine, d time.Duration) {
	s.state(e, placement.Leaving)
	s.after(s.List, func() {
		e.leaving = true
		e.changed()
	})
	if s.placer == Omniscient {
		s.evacuate(e)
	}
	s.after(gone, func() {
		e.crash()
		s.state(e, placement.Gone)
	})
	s.after(max(d, gone+time.Second), func() { s.join(e) })
}

// evacuate lets the omniscient placer save every context.
func (s *fleet) evacuate(e *engine) {
	var moves []placement.Move
	for i, c := range e.cache.chats() {
		to := s.engines[i%len(s.engines)]
		if to != e && to.up && !to.leaving {
			moves = append(moves, placement.Move{Chat: c.chat, From: e.id, To: to.id, Tokens: c.tokens})
		}
	}
	s.move(nil, moves)
}

// suspicion is the time in which the other routers notice that one does not answer; each notices at another moment.
func (s *fleet) suspicion(r *router) time.Duration {
	return time.Duration((1.5 + 1.5*s.chance("suspicion", r.name)) * float64(time.Second))
}

func (s *fleet) membersChanged() {
	if s.parted != "" && !s.has(Takeover) {
		return
	}
	for _, r := range s.routers {
		s.after(s.suspicion(r), func() {
			if r.up && !r.paused {
				r.setMembers(s.reachable(r))
			}
		})
	}
}

// live lists the routers that answer.
func (s *fleet) live() []string {
	var names []string
	for _, r := range s.routers {
		if r.up && !r.paused {
			names = append(names, r.name)
		}
	}
	return names
}

func (s *fleet) pause(r *router, d time.Duration) {
	r.paused = true
	s.membersChanged()
	s.after(d, func() {
		r.paused = false
		// The gap in its own clock makes the router drop its ownership before it handles anything.
		r.isolated = true
		r.takeOver(false)
		backlog := r.backlog
		r.backlog = nil
		for _, f := range backlog {
			r.do(f)
		}
		s.membersChanged()
	})
}

// kill ends a router. Its callers see their connections break and send again; its replacement starts later.
func (s *fleet) kill(r *router, d time.Duration) {
	if !r.up {
		return
	}
	r.up = false
	r.reset()
	for _, q := range s.measure.calls {
		if q.router != r || q.state != open {
			continue
		}
		if q.run != nil && q.attempt != "" {
			// The engine sees its client gone and cancels.
			run, e := q.run, s.byID[q.engine]
			s.after(s.Between, func() { e.cancel(run) })
		}
		q.holding, q.attempt = false, ""
		q.first = 0
		s.after(2*s.Client, func() { s.sendOr(q, interrupted) })
	}
	s.membersChanged()
	s.after(d, func() {
		r.up = true
		r.view = s.central
		for _, e := range s.central.Engines() {
			r.listedState[e.ID] = e.State
		}
		r.apart = nil
		if s.parted != "" {
			s.lose(r)
		}
		r.isolated = true
		s.membersChanged()
	})
}

func (s *fleet) zone(zone string, d time.Duration) {
	for _, e := range s.engines {
		if e.zone == zone {
			s.crash(e, d)
		}
	}
	for _, r := range s.routers {
		if r.zone == zone {
			s.kill(r, d)
		}
	}
}

// computed is called when an engine has computed a prompt. The first request of a poison chat crashes the engine
// then, whenever it is sent.
func (s *fleet) computed(e *engine, r *run) {
	q := r.call
	if q.req.Prefix > 0 {
		e.cache.put(cached{name: "prefix/" + q.req.Account, tokens: q.req.Prefix})
	}
	if s.poison[q.fingerprint()] {
		s.after(0, func() {
			if e.up {
				s.measure.lostTo[q.fingerprint()]++
				s.crash(e, 20*time.Second)
			}
		})
	}
}

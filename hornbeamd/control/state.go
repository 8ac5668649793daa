package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"hornbeamstep.example/coord/loadsum"
	"hornbeamstep.example/hornbeamd/engine"
	"hornbeamstep.example/policy"
	"hornbeamstep.example/routing/admission"
	"hornbeamstep.example/routing/placement"
	"hornbeamstep.example/routing/retry"
)

// state is the control state. Only the goroutine of Loop.Run touches it.
type state struct {
	revision int64
	policy   policy.Policy
	engines  map[string]*engineState
	// order holds the keys of engines, sorted, so that runs do not depend on the order of a map.
	order []string
	// health judges the owned engines, by pool; the others of a pool count for the cap on ejections.
	health map[string]*retry.Health
	// local and remote hold the slots that requests of this router have here and of other routers, by attempt.
	local, remote map[string]slotRef
	// drained are the backend servers that an operator took out of service, whether or not the configuration names them.
	drained map[string]bool
	// gone are requests whose callers left before their questions for a slot arrived here, with the times to forget them.
	gone map[string]time.Time
	// exchanged is when slots were last renewed and loads last sent.
	exchanged time.Time
	// view is the last one published; dirty is set if its engines have changed.
	view  placement.View
	dirty bool
	// started is true once the engines of a first configuration are known.
	started bool
	// serving holds what the plan says that each engine serves.
	serving map[string][]string
}

// engineState is what the loop knows of one engine.
type engineState struct {
	backend policy.Backend
	pool    policy.Pool
	// health is InService or Suspect, by the owner's polls and by what requests met.
	health placement.State
	// ejected is true while the health of an owned engine keeps all requests away from it.
	ejected bool
	// until is when a suspicion that this router learned from requests alone ends; zero for none.
	until time.Time
	// failures counts the polls that failed in a row.
	failures int
	boot     string
	report   engine.Report
	// reported is when report was asked for.
	reported time.Time
	// gate is nil unless this router owns the engine. waiters holds the requests in its queue.
	gate    *admission.Gate
	waiters map[string]waiter
	// share is used while this router stands in for an owner that cannot be reached; nil before the first use.
	share    *admission.FallbackGate
	stopPoll context.CancelFunc
	// mean is the last sum over the pool that the gate was given.
	mean loadsum.Sum
	// stored holds when each chat's context was last used, in seconds, as cache events tell; evicted is the latest such time
	// of a context that is gone.
	stored  map[string]int64
	evicted time.Time
	// granted holds the requests that have a slot of gate, by slot.
	granted map[uint64]SlotAsk
	// joined is when the engine came into service, zero if that is long ago; left and seen tell whether it was leaving at the last
	// look, and whether there was one.
	joined     time.Time
	left, seen bool
	// warm and contexts tell which chats have their context here.
	warm     warm
	contexts contexts
}

func newState() state {
	return state{
		engines: map[string]*engineState{},
		health:  map[string]*retry.Health{},
		local:   map[string]slotRef{},
		remote:  map[string]slotRef{},
		drained: map[string]bool{},
		gone:    map[string]time.Time{},
	}
}

// applyPolicy takes over a configuration that is newer than the one in force.
func (l *Loop) applyPolicy() {
	current, ok := l.InForce.Current()
	if !ok || current.Revision.Number <= l.state.revision {
		return
	}
	l.state.revision = current.Revision.Number
	l.state.policy = current.Policy
	l.state.dirty = true
	for name, b := range current.Policy.Backends {
		if b.Pool != "" {
			l.state.update(name, b, current.Policy.Pools[b.Pool])
		}
	}
	for name, e := range l.state.engines {
		if _, ok := current.Policy.Backends[name]; !ok {
			l.disown(e, "removed from the configuration")
			delete(l.state.engines, name)
		}
	}
	l.state.order = slices.Sorted(maps.Keys(l.state.engines))
	l.setServers(l.Now(), current.Policy)
	l.services.apply(l.Now(), current.Policy)
	l.limits.apply(current.Policy)
	l.enterForce(current)
}

// update takes over an engine's entry in the configuration.
func (s *state) update(name string, b policy.Backend, pool policy.Pool) {
	e, ok := s.engines[name]
	if !ok {
		e = &engineState{waiters: map[string]waiter{}, granted: map[uint64]SlotAsk{}, stored: map[string]int64{}, warm: newWarm(), contexts: newContexts()}
		s.engines[name] = e
	}
	if ok && e.backend.Address != b.Address && e.stopPoll != nil {
		// The poll of the old address must not report for the new one.
		e.stopPoll()
		e.stopPoll = nil
	}
	e.backend = b
	e.pool = pool
}

// placed is the state of an engine for placement.
func (s *state) placed(e *engineState) placement.State {
	if e.backend.State == policy.Leaving || s.drained[e.backend.Name] {
		return placement.Leaving
	}
	if e.ejected {
		return placement.Suspect
	}
	if e.health == placement.InService && !e.joined.IsZero() {
		return placement.Joining
	}
	return e.health
}

// models returns the models and adapters that the engines of a pool serve.
func (s *state) models(pool string) (models, adapters []string) {
	for _, name := range slices.Sorted(maps.Keys(s.policy.Models)) {
		m := s.policy.Models[name]
		if m.Pool != pool {
			continue
		}
		models = append(models, name)
		adapters = append(adapters, m.Adapters...)
	}
	return models, adapters
}

// publish makes the present state visible to traffic.
func (l *Loop) publish(now time.Time) {
	if l.state.dirty {
		l.state.dirty = false
		l.state.view = l.state.view.WithEngines(l.placedEngines())
	}
	status := map[string]placement.Status{}
	owned := map[string]bool{}
	for _, name := range l.state.order {
		e := l.state.engines[name]
		if e.gate == nil {
			continue
		}
		owned[name] = true
		wait := e.gate.ExpectedWait(now)
		status[name] = placement.Status{Load: e.gate.Load(), Wait: wait, Full: wait > 0, EvictedBefore: e.evicted}
	}
	l.state.view = l.state.view.WithStatuses(status)
	old := l.snap.Load()
	l.snap.Store(&snapshot{policy: l.state.policy, view: l.state.view, owned: owned, rule: old.rule})
}

func (l *Loop) placedEngines() []placement.Engine {
	var engines []placement.Engine
	models := map[string][2][]string{}
	anywhere := l.state.anywhere()
	for _, name := range l.state.order {
		e := l.state.engines[name]
		pool := e.backend.Pool
		if _, ok := models[pool]; !ok {
			m, a := l.state.models(pool)
			models[pool] = [2][]string{m, a}
		}
		served := models[pool]
		m, a := l.state.served(name, served[0], served[1], anywhere)
		if len(m) == 0 {
			continue
		}
		engines = append(engines, placement.Engine{
			ID: name, Zone: e.backend.Zone, Pool: pool, Weight: e.backend.Weight,
			State: l.state.placed(e), Models: m, Adapters: a,
		})
	}
	return engines
}

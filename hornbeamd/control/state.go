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

// state is the control state. Only the goroutine of Loop.Run accesses it.
type state struct {
	revision int64
	policy   policy.Policy
	engines  map[string]*engineState
	// order holds the sorted keys of engines, so that the loop handles them in a deterministic
	// order.
	order []string
	// health tracks the health of the owned engines, by pool. The other engines of a pool count
	// only for the limit on ejections.
	health map[string]*retry.Health
	// localSlots and remoteSlots hold the slots of this router's requests that this router and
	// other routers granted, by attempt.
	localSlots, remoteSlots map[string]slotRef
	// drained are the backend servers that an operator took out of service, whether or not the
	// configuration names them.
	drained map[string]bool
	// abandoned holds the requests that were abandoned before their slot requests arrived here,
	// with the times to forget them.
	abandoned map[string]time.Time
	// slotsRenewedAt is when slots were last renewed.
	slotsRenewedAt time.Time
	// view is the last published view; enginesChanged is set if its engines have changed since.
	view           placement.View
	enginesChanged bool
	// initialized is true once the engines of the first configuration are known.
	initialized bool
	// serving holds the models and adapters that each engine should serve according to the
	// placement plan.
	serving map[string][]string
}

// engineState is the state of one engine.
type engineState struct {
	backend policy.Backend
	pool    policy.Pool
	// health is InService or Suspect, depending on the owner's polls and on failed requests.
	health placement.State
	// ejected is true while an owned engine gets no requests because of its health record.
	ejected bool
	// suspectUntil is when a suspicion ends that is based on this router's requests alone; zero if
	// there is none.
	suspectUntil time.Time
	// failures counts consecutive failed polls.
	failures int
	boot     string
	report   engine.Report
	// reportedAt is when report was requested.
	reportedAt time.Time
	// gate is nil unless this router owns the engine. waiters holds the requests in its queue.
	gate    *admission.Gate
	waiters map[string]waiter
	// fallback is used while this router stands in for an owner that does not answer; nil before
	// the first use.
	fallback *admission.FallbackGate
	stopPoll context.CancelFunc
	// poolSum is the last load sum over the pool that was passed to the gate.
	poolSum loadsum.Sum
	// lastUsed holds when each chat's context was last used according to cache events, in Unix
	// seconds. evictedBefore is the latest such time of an evicted context.
	lastUsed      map[string]int64
	evictedBefore time.Time
	// granted holds the requests to which gate granted a slot, by slot.
	granted map[uint64]SlotAsk
	// joinedAt is when the engine came into service; zero if that was more than joiningPeriod ago.
	// wasLeaving is whether it was leaving when updateJoining last ran, and seen whether
	// updateJoining has seen it before.
	joinedAt         time.Time
	wasLeaving, seen bool
	// recentChats and contexts hold the chats whose context the engine has.
	recentChats recentChats
	contexts    contexts
}

func newState() state {
	return state{
		engines:     map[string]*engineState{},
		health:      map[string]*retry.Health{},
		localSlots:  map[string]slotRef{},
		remoteSlots: map[string]slotRef{},
		drained:     map[string]bool{},
		abandoned:   map[string]time.Time{},
	}
}

// applyPolicy applies the configuration if it is newer than the one in force.
func (l *Loop) applyPolicy() {
	current, ok := l.InForce.Current()
	if !ok || current.Revision.Number <= l.state.revision {
		return
	}
	l.state.revision = current.Revision.Number
	l.state.policy = current.Policy
	l.state.enginesChanged = true
	for name, b := range current.Policy.Backends {
		if b.Pool != "" {
			l.state.updateEngine(name, b, current.Policy.Pools[b.Pool])
		}
	}
	for name, e := range l.state.engines {
		if _, ok := current.Policy.Backends[name]; !ok {
			l.giveUp(e, "removed from the configuration")
			delete(l.state.engines, name)
		}
	}
	l.state.order = slices.Sorted(maps.Keys(l.state.engines))
	l.setServers(l.Now(), current.Policy)
	l.services.apply(l.Now(), current.Policy)
	l.limits.apply(current.Policy)
	l.recordRevision(current)
}

// updateEngine applies an engine's entry in the configuration.
func (s *state) updateEngine(name string, b policy.Backend, pool policy.Pool) {
	e, ok := s.engines[name]
	if !ok {
		e = &engineState{waiters: map[string]waiter{}, granted: map[uint64]SlotAsk{}, lastUsed: map[string]int64{}, recentChats: newRecentChats(), contexts: newContexts()}
		s.engines[name] = e
	}
	if ok && e.backend.Address != b.Address && e.stopPoll != nil {
		// The poller of the old address must not report for the new one.
		e.stopPoll()
		e.stopPoll = nil
	}
	e.backend = b
	e.pool = pool
}

// placementState returns the state of an engine as placement should see it.
func (s *state) placementState(e *engineState) placement.State {
	if e.backend.State == policy.Leaving || s.drained[e.backend.Name] {
		return placement.Leaving
	}
	if e.ejected {
		return placement.Suspect
	}
	if e.health == placement.InService && !e.joinedAt.IsZero() {
		return placement.Joining
	}
	return e.health
}

// models returns the models and adapters that the configuration assigns to a pool.
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

// publish updates the snapshot that request goroutines read.
func (l *Loop) publish(now time.Time) {
	if l.state.enginesChanged {
		l.state.enginesChanged = false
		l.state.view = l.state.view.WithEngines(l.placementEngines())
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
		status[name] = placement.Status{Load: e.gate.Load(), Wait: wait, Full: wait > 0, EvictedBefore: e.evictedBefore}
	}
	l.state.view = l.state.view.WithStatuses(status)
	old := l.snapshot.Load()
	l.snapshot.Store(&snapshot{policy: l.state.policy, view: l.state.view, owned: owned, rule: old.rule})
}

func (l *Loop) placementEngines() []placement.Engine {
	var engines []placement.Engine
	models := map[string][2][]string{}
	servedAnywhere := l.state.servedAnywhere()
	for _, name := range l.state.order {
		e := l.state.engines[name]
		pool := e.backend.Pool
		if _, ok := models[pool]; !ok {
			m, a := l.state.models(pool)
			models[pool] = [2][]string{m, a}
		}
		poolModels := models[pool]
		m, a := l.state.servedModels(name, poolModels[0], poolModels[1], servedAnywhere)
		if len(m) == 0 {
			continue
		}
		engines = append(engines, placement.Engine{
			ID: name, Zone: e.backend.Zone, Pool: pool, Weight: e.backend.Weight,
			State: l.state.placementState(e), Models: m, Adapters: a,
		})
	}
	return engines
}

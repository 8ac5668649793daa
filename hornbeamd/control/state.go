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
	// health holds, by pool, the health records of the engines. Only those of engines that this
	// router owns are updated. The other engines of a pool only count towards its maximum share of
	// ejected engines.
	health map[string]*retry.Health
	// localSlots holds the slots that this router granted to its own requests, and remoteSlots
	// those that other routers granted to them. Both are keyed by the ID of the attempt.
	localSlots, remoteSlots map[string]slotRef
	// drained holds the backend servers that an operator took out of service, including any that
	// are not in the configuration.
	drained map[string]bool
	// abandoned holds the requests whose cancellation arrived before their slot request, with the
	// times at which the entries expire.
	abandoned map[string]time.Time
	// slotsRenewedAt is when slots were last renewed, and partsAnnouncedAt when prompt parts were last
	// announced.
	slotsRenewedAt, partsAnnouncedAt time.Time
	// view is the last published view. enginesChanged is set if engines have changed since it was
	// published.
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
	// health is InService or Suspect. The owner of the engine sets it according to its polls. Any
	// router sets Suspect after a failed request, and other routers also after a refusal by the
	// owner.
	health placement.State
	// ejected is true while this router, as the owner, sends the engine no requests because of its
	// health record.
	ejected bool
	// suspectUntil is when the engine stops being Suspect at a router that does not own it.
	suspectUntil time.Time
	// failures counts consecutive failed polls.
	failures int
	// boot identifies the engine's process, and report is the last load report.
	boot   string
	report engine.Report
	// reportRequestedAt is when this router requested report.
	reportRequestedAt time.Time
	// gate is nil unless this router owns the engine. waiters holds the requests in its queue.
	gate    *admission.Gate
	waiters map[string]waiter
	// fallback is used while this router stands in for an owner that does not answer; nil before
	// the first use.
	fallback *admission.FallbackGate
	stopPoll context.CancelFunc
	// poolSum is the load sum of the pool that was last passed to the gate.
	poolSum loadsum.Sum
	// lastUsed holds the time at which each chat's context was last used, in Unix seconds,
	// according to cache events. evictedBefore is the latest time of last use among the contexts
	// that were evicted.
	lastUsed      map[string]int64
	evictedBefore time.Time
	// granted holds the requests to which gate granted a slot, by slot.
	granted map[uint64]EngineSlotRequest
	// joinedAt is when the engine came into service; zero if that was more than joiningPeriod ago.
	// wasLeaving and seen are for updateJoining: whether the engine was leaving at its last run,
	// and whether a run has processed the engine.
	joinedAt         time.Time
	wasLeaving, seen bool
	// recentChats holds the chats that the engine has run recently, and contexts the chat contexts
	// in its cache according to cache events.
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
			l.endAdmission(e, "removed from the configuration")
			delete(l.state.engines, name)
		}
	}
	l.state.order = slices.Sorted(maps.Keys(l.state.engines))
	l.setTrackedEngines(l.Now(), current.Policy)
	l.services.apply(l.Now(), current.Policy)
	l.limits.apply(current.Policy)
	l.recordRevision(current)
}

// updateEngine applies an engine's entry in the configuration.
func (s *state) updateEngine(name string, b policy.Backend, pool policy.Pool) {
	e, ok := s.engines[name]
	if !ok {
		e = &engineState{waiters: map[string]waiter{}, granted: map[uint64]EngineSlotRequest{}, lastUsed: map[string]int64{}, recentChats: newRecentChats(), contexts: newContexts()}
		s.engines[name] = e
	}
	if ok && e.backend.Address != b.Address && e.stopPoll != nil {
		// Load reports from the old address must not be applied to the new one.
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

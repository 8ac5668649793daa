package control

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"hornbeamstep.example/hornbeamd/caller"
	"hornbeamstep.example/policy"
	"hornbeamstep.example/routing/outcome"
	"hornbeamstep.example/routing/retry"
	"hornbeamstep.example/timeline"
)

// spillThreshold is the number of calls in progress at a replica at which it is no longer preferred
// for its availability zone.
const spillThreshold = 64

// serviceHealthSettings returns settings that eject a replica after two consecutive failures. A
// router sees few calls to each replica, and retries a failed call on another one. With a higher
// threshold, each router would spend more of its retry budget on a replica that is down.
func serviceHealthSettings() retry.HealthSettings {
	s := retry.DefaultHealth()
	s.ConsecutiveFailures, s.MinOutcomes = 2, 6
	s.BaseEjection, s.MaxEjection = 2*time.Second, 30*time.Second
	// The number of replicas that may be ejected is rounded down. With a share below a third, no
	// replica of three could be ejected; with half, one can.
	s.MaxEjectedShare = 0.5
	return s
}

// newServiceLimit returns a concurrency limit that tolerates calls of different durations: only a
// moving average of the delay above four times its minimum counts as overload.
func newServiceLimit() *retry.ConcurrencyLimit {
	s := retry.DefaultConcurrency()
	s.MinLimit, s.DelayTolerance, s.Smoothing = 4, 4, 1.0/32
	return retry.NewConcurrencyLimit(s, spillThreshold)
}

// services selects replicas of plain services by the number of calls that this router has in
// progress.
type services struct {
	mu sync.Mutex
	// replicas are sorted by name within a service.
	replicas map[string][]*replica
	byName   map[string]*replica
	// drained are the backend servers that an operator took out of service, whether or not the
	// configuration names them.
	drained map[string]bool
	// health tracks the replicas of each service by the outcomes of this router's calls.
	health map[string]*retry.Health
	// picks counts the calls that were started.
	picks uint64
}

type replica struct {
	backend policy.Backend
	// calls is the number of calls in progress through this router. At least 0.
	calls int
	// lastPick is the value of services.picks at the replica's last call, so that replicas with equal
	// load take turns.
	lastPick uint64
	// limit adapts to the replica's delay.
	limit *retry.ConcurrencyLimit
}

func (s *services) init() {
	s.replicas = map[string][]*replica{}
	s.byName = map[string]*replica{}
	s.health = map[string]*retry.Health{}
}

// apply sets the replicas of a configuration, and keeps the state of those that remain.
func (s *services) apply(now time.Time, p policy.Policy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, health := s.byName, s.health
	s.init()
	inService := map[string][]string{}
	for _, name := range slices.Sorted(maps.Keys(p.Backends)) {
		b := p.Backends[name]
		if b.Service == "" {
			continue
		}
		r, ok := old[name]
		if !ok || r.backend.Address != b.Address {
			r = &replica{limit: newServiceLimit()}
		}
		r.backend = b
		s.byName[name] = r
		s.replicas[b.Service] = append(s.replicas[b.Service], r)
		if b.State != policy.Leaving {
			inService[b.Service] = append(inService[b.Service], name)
		}
	}
	for service := range s.replicas {
		h, ok := health[service]
		if !ok {
			h = retry.NewHealth(serviceHealthSettings())
		}
		h.SetServers(now, inService[service])
		s.health[service] = h
	}
}

// pick starts a call at the replica with the lowest load, and skips replicas at their limit. It
// prefers the given availability zone, which is the router's own. A replica on trial comes before
// the others, because only a successful call can end its ejection. If none can
// start the call, atLimit is true if there were candidates and all were at their limit.
func (s *services) pick(now time.Time, zone string, request caller.SlotRequest) (b policy.Backend, atLimit, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	health := s.health[request.Service]
	var candidates []*replica
	for _, r := range s.replicas[request.Service] {
		name := r.backend.Name
		if r.backend.State == policy.Leaving || s.drained[name] || slices.Contains(request.ExcludedBackends, name) {
			continue
		}
		switch health.Circuit(now, name) {
		case retry.Closed:
			candidates = append(candidates, r)
		case retry.HalfOpen:
			if r.calls == 0 && health.Allow(now, name) && s.tryStart(r, request) {
				return r.backend, false, true
			}
		}
	}
	slices.SortFunc(candidates, func(a, b *replica) int {
		near, otherNear := a.isNear(zone), b.isNear(zone)
		return cmp.Or(trueFirst(near, otherNear), cmp.Compare(a.relativeLoad(now, health), b.relativeLoad(now, health)), cmp.Compare(a.lastPick, b.lastPick))
	})
	for _, r := range candidates {
		if s.tryStart(r, request) {
			return r.backend, false, true
		}
	}
	return policy.Backend{}, len(candidates) > 0, false
}

// tryStart counts a call to a replica, or returns false if the replica is at its limit.
func (s *services) tryStart(r *replica, request caller.SlotRequest) bool {
	if !r.limit.Acquire(int(request.Class)) {
		return false
	}
	s.picks++
	r.lastPick = s.picks
	r.calls++
	return true
}

// setDrained takes a replica out of service or returns it to service. A replica
// stays drained when its address changes.
func (s *services) setDrained(name string, drained bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !drained {
		delete(s.drained, name)
		return
	}
	if s.drained == nil {
		s.drained = map[string]bool{}
	}
	s.drained[name] = true
}

// isNear reports whether a replica is in the given availability zone and has fewer calls than
// spillThreshold.
func (r *replica) isNear(zone string) bool { return r.backend.Zone == zone && r.calls < spillThreshold }

// relativeLoad is the number of calls including the next one, divided by the replica's weight.
func (r *replica) relativeLoad(now time.Time, h *retry.Health) float64 {
	return float64(r.calls+1) / (r.backend.Weight * h.Weight(now, r.backend.Name))
}

// release ends a call and records its outcome. It reports whether the call ejected the replica or
// ended its ejection.
func (s *services) release(now time.Time, name string, result caller.Result) (ejected, returned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.byName[name]
	if !ok {
		return false, false
	}
	r.calls = max(0, r.calls-1)
	// The limit compares the time to the response header, which does not depend on the size of the
	// response, so it gets a start time that is this long ago.
	delayStart := now.Add(-result.TimeToFirstToken)
	health := s.health[r.backend.Service]
	closed := health.Circuit(now, name) == retry.Closed
	switch result.Ending {
	case caller.EndedOK:
		r.limit.Release(now, delayStart, true)
		health.Record(now, name, true)
		return false, !closed && health.Circuit(now, name) == retry.Closed
	case caller.EndedRefused:
		// A refusal before the start indicates load, not a failure.
		r.limit.Release(now, delayStart, false)
	case caller.EndedTimedOut, caller.EndedFailed:
		r.limit.Release(now, delayStart, false)
		return health.Record(now, name, false), false
	case caller.EndedUnreachable, caller.EndedCrashed, caller.EndedMalformed:
		r.limit.ReleaseWithoutOutcome()
		return health.Record(now, name, false), false
	default:
		r.limit.ReleaseWithoutOutcome()
	}
	return false, false
}

// admitService grants a call of a plain service to one of its replicas. A call never queues.
func (l *Loop) admitService(_ context.Context, request caller.SlotRequest) (caller.Grant, error) {
	b, atLimit, ok := l.services.pick(l.Now(), l.Settings.Zone, request)
	switch {
	case atLimit:
		l.metrics.limited.Inc()
		return caller.Grant{}, &outcome.Error{
			Code: outcome.Overloaded, Outcome: outcome.NotRun, Status: http.StatusServiceUnavailable, RetryAfter: retryAfterRefusal,
			Message: fmt.Sprintf("every replica of service %s is at its limit of calls", request.Service),
			Remedy:  "send the request again after the time given, or add replicas",
		}
	case !ok:
		return caller.Grant{}, &outcome.Error{
			Code: outcome.NoBackend, Outcome: outcome.NotRun, Status: http.StatusServiceUnavailable, RetryAfter: retryAfterRefusal,
			Message: fmt.Sprintf("no replica of service %s takes calls", request.Service),
			Remedy:  "send the request again after the time given; operators see the replicas with hornbeamctl status",
		}
	}
	l.record(timeline.Event{Kind: timeline.Placed, Request: request.RequestID, Backend: b.Name, Text: "service " + request.Service})
	return caller.Grant{Backend: b.Name, Address: b.Address, Slot: request.RequestID}, nil
}

// finishCall ends a call of a plain service, and records whether it changed an ejection.
func (l *Loop) finishCall(g caller.Grant, r caller.Result) {
	ejected, returned := l.services.release(l.Now(), g.Backend, r)
	l.recordEjectionChange(g.Backend, "service", ejected, returned)
}

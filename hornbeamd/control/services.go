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

// spillAt is the number of calls in progress above which calls leave the availability zone.
const spillAt = 64

// serviceHealth ejects a replica after two failures in a row. A router sees few calls of each replica, and a call that failed
// is tried on another one; with a longer row, each router would spend more of its retry budget on a replica that is down.
func serviceHealth() retry.HealthSettings {
	s := retry.DefaultHealth()
	s.ConsecutiveFailures, s.MinOutcomes = 2, 6
	s.BaseEjection, s.MaxEjection = 2*time.Second, 30*time.Second
	// Half of three replicas is one, a third of them none.
	s.MaxEjectedShare = 0.5
	return s
}

// serviceLimit lets calls of different kinds differ in their delay: only a mean that is four times the best one is an overload.
func serviceLimit() *retry.ConcurrencyLimit {
	s := retry.DefaultConcurrency()
	s.MinLimit, s.DelayTolerance, s.Smoothing = 4, 4, 1.0/32
	return retry.NewConcurrencyLimit(s, spillAt)
}

// services chooses replicas of plain services by the calls that this router has in progress.
type services struct {
	mu sync.Mutex
	// replicas are sorted by name within a service.
	replicas map[string][]*replica
	byName   map[string]*replica
	// drained are the backend servers that an operator took out of service, whether or not the configuration names them.
	drained map[string]bool
	// health judges the replicas of each service by the calls of this router.
	health map[string]*retry.Health
	// picks counts the calls.
	picks uint64
}

type replica struct {
	backend policy.Backend
	// calls is the number in progress. At least 0.
	calls int
	// picked orders the replicas by their last call, so that those with equal use take turns on every router.
	picked uint64
	// limit follows the replica's delay.
	limit *retry.ConcurrencyLimit
}

func (s *services) init() {
	s.replicas = map[string][]*replica{}
	s.byName = map[string]*replica{}
	s.health = map[string]*retry.Health{}
}

// apply takes over the replicas of a configuration and keeps what is known of those that remain.
func (s *services) apply(now time.Time, p policy.Policy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, health := s.byName, s.health
	s.init()
	fit := map[string][]string{}
	for _, name := range slices.Sorted(maps.Keys(p.Backends)) {
		b := p.Backends[name]
		if b.Service == "" {
			continue
		}
		r, ok := old[name]
		if !ok || r.backend.Address != b.Address {
			r = &replica{limit: serviceLimit()}
		}
		r.backend = b
		s.byName[name] = r
		s.replicas[b.Service] = append(s.replicas[b.Service], r)
		if b.State != policy.Leaving {
			fit[b.Service] = append(fit[b.Service], name)
		}
	}
	for service := range s.replicas {
		h, ok := health[service]
		if !ok {
			h = retry.NewHealth(serviceHealth())
		}
		h.SetServers(now, fit[service])
		s.health[service] = h
	}
}

// pick takes the replica with the fewest calls, in the own availability zone first, and passes over those at their limit. A
// replica on trial comes before the others, because only a call can end its ejection.
func (s *services) pick(now time.Time, zone string, a caller.Ask) (b policy.Backend, limited, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	health := s.health[a.Service]
	var fit []*replica
	for _, r := range s.replicas[a.Service] {
		name := r.backend.Name
		if r.backend.State == policy.Leaving || s.drained[name] || slices.Contains(a.Avoid, name) {
			continue
		}
		switch health.Circuit(now, name) {
		case retry.Closed:
			fit = append(fit, r)
		case retry.HalfOpen:
			if r.calls == 0 && health.Allow(now, name) && s.start(r, a) {
				return r.backend, false, true
			}
		}
	}
	slices.SortFunc(fit, func(a, b *replica) int {
		near, otherNear := a.near(zone), b.near(zone)
		return cmp.Or(before(near, otherNear), cmp.Compare(a.use(now, health), b.use(now, health)), cmp.Compare(a.picked, b.picked))
	})
	for _, r := range fit {
		if s.start(r, a) {
			return r.backend, false, true
		}
	}
	return policy.Backend{}, len(fit) > 0, false
}

// start counts a call that its replica's limit allows.
func (s *services) start(r *replica, a caller.Ask) bool {
	if !r.limit.Acquire(int(a.Class)) {
		return false
	}
	s.picks++
	r.picked = s.picks
	r.calls++
	return true
}

// drain takes a replica out of service, or back. It holds over a change of the replica's address.
func (s *services) drain(name string, drained bool) {
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

// near is true for replicas of the own availability zone below spillAt calls, which come first.
func (r *replica) near(zone string) bool { return r.backend.Zone == zone && r.calls < spillAt }

// use is the number of calls with a further one, in relation to what the replica should get.
func (r *replica) use(now time.Time, h *retry.Health) float64 {
	return float64(r.calls+1) / (r.backend.Weight * h.Weight(now, r.backend.Name))
}

// release ends a call and judges the replica by it. It reports whether the call ejected the replica or ended its ejection.
func (s *services) release(now time.Time, name string, result caller.Result) (ejected, returned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.byName[name]
	if !ok {
		return false, false
	}
	r.calls = max(0, r.calls-1)
	started := now.Add(-result.First)
	health := s.health[r.backend.Service]
	closed := health.Circuit(now, name) == retry.Closed
	switch result.Ending {
	case caller.EndedOK:
		r.limit.Release(now, started, true)
		health.Record(now, name, true)
		return false, !closed && health.Circuit(now, name) == retry.Closed
	case caller.EndedRefused:
		// A refusal before the start tells of the load, not of a fault.
		r.limit.Release(now, started, false)
	case caller.EndedTimedOut, caller.EndedFailed:
		r.limit.Release(now, started, false)
		return health.Record(now, name, false), false
	case caller.EndedUnreachable, caller.EndedCrashed, caller.EndedMalformed:
		r.limit.ReleaseIgnored()
		return health.Record(now, name, false), false
	default:
		r.limit.ReleaseIgnored()
	}
	return false, false
}

func (l *Loop) admitService(_ context.Context, a caller.Ask) (caller.Grant, error) {
	b, limited, ok := l.services.pick(l.Now(), l.Settings.Zone, a)
	switch {
	case limited:
		l.metrics.limited.Inc()
		return caller.Grant{}, &outcome.Error{
			Code: outcome.Overloaded, Outcome: outcome.NotRun, Status: http.StatusServiceUnavailable, RetryAfter: comeBack,
			Message: fmt.Sprintf("every replica of service %s is at its limit of calls", a.Service),
			Remedy:  "send the request again after the time given, or add replicas",
		}
	case !ok:
		return caller.Grant{}, &outcome.Error{
			Code: outcome.NoBackend, Outcome: outcome.NotRun, Status: http.StatusServiceUnavailable, RetryAfter: comeBack,
			Message: fmt.Sprintf("no replica of service %s takes calls", a.Service),
			Remedy:  "send the request again after the time given; operators see the replicas with hornbeamctl status",
		}
	}
	l.record(timeline.Event{Kind: timeline.Placed, Request: a.Request, Backend: b.Name, Text: "service " + a.Service})
	return caller.Grant{Backend: b.Name, Address: b.Address, Slot: a.Request}, nil
}

// called ends a call of a plain service.
func (l *Loop) called(g caller.Grant, r caller.Result) {
	ejected, returned := l.services.release(l.Now(), g.Backend, r)
	l.judged(g.Backend, "service", ejected, returned)
}

package control

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"hornbeamstep.example/hornbeamd/caller"
	"hornbeamstep.example/policy"
	"hornbeamstep.example/routing/outcome"
	"hornbeamstep.example/timeline"
)

const (
	// ejection is how long a replica gets no call after it failed one, unless too many are ejected.
	ejection = 2 * time.Second
	// spillAt is the number of calls in progress above which calls leave the availability zone.
	spillAt = 64
	// mostEjected is the share of a service's replicas that may be ejected at once.
	mostEjected = 0.5
)

// services chooses replicas of plain services by the calls that this router has in progress.
type services struct {
	mu sync.Mutex
	// replicas are sorted by name within a service.
	replicas map[string][]*replica
	byName   map[string]*replica
	// drained are the backend servers that an operator took out of service, whether or not the configuration names them.
	drained map[string]bool
}

type replica struct {
	backend policy.Backend
	// calls is the number in progress. At least 0.
	calls int
	// until is when an ejection ends.
	until time.Time
}

func (s *services) init() {
	s.replicas = map[string][]*replica{}
	s.byName = map[string]*replica{}
}

// apply takes over the replicas of a configuration and keeps the counts of those that remain.
func (s *services) apply(p policy.Policy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.byName
	s.init()
	for _, name := range slices.Sorted(maps.Keys(p.Backends)) {
		b := p.Backends[name]
		if b.Service == "" {
			continue
		}
		r, ok := old[name]
		if !ok || r.backend.Address != b.Address {
			r = &replica{}
		}
		r.backend = b
		s.byName[name] = r
		s.replicas[b.Service] = append(s.replicas[b.Service], r)
	}
}

// pick takes the replica with the fewest calls, in the own availability zone first.
func (s *services) pick(now time.Time, zone, service string, avoid []string) (policy.Backend, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.replicas[service]
	ejected := 0
	for _, r := range all {
		if now.Before(r.until) {
			ejected++
		}
	}
	ignoreEjection := float64(ejected) > mostEjected*float64(len(all))
	var best *replica
	for _, r := range all {
		if r.backend.State == policy.Leaving || s.drained[r.backend.Name] || slices.Contains(avoid, r.backend.Name) {
			continue
		}
		if now.Before(r.until) && !ignoreEjection {
			continue
		}
		if best == nil || r.before(best, zone) {
			best = r
		}
	}
	if best == nil {
		return policy.Backend{}, false
	}
	best.calls++
	return best.backend, true
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

// before orders replicas: below spillAt calls those of the own availability zone come first.
func (r *replica) before(other *replica, zone string) bool {
	near := r.backend.Zone == zone && r.calls < spillAt
	otherNear := other.backend.Zone == zone && other.calls < spillAt
	if near != otherNear {
		return near
	}
	a, b := float64(r.calls)/r.backend.Weight, float64(other.calls)/other.backend.Weight
	if a != b {
		return a < b
	}
	return strings.Compare(r.backend.Name, other.backend.Name) < 0
}

// release ends a call and ejects the replica if it failed.
func (s *services) release(now time.Time, name string, ending caller.Ending) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.byName[name]
	if !ok {
		return
	}
	r.calls = max(0, r.calls-1)
	switch ending {
	case caller.EndedUnreachable, caller.EndedCrashed, caller.EndedTimedOut, caller.EndedMalformed:
		r.until = now.Add(ejection)
	}
}

func (l *Loop) admitService(_ context.Context, a caller.Ask) (caller.Grant, error) {
	b, ok := l.services.pick(l.Now(), l.Settings.Zone, a.Service, a.Avoid)
	if !ok {
		return caller.Grant{}, &outcome.Error{
			Code: outcome.NoBackend, Outcome: outcome.NotRun, Status: http.StatusServiceUnavailable, Retry: comeBack,
			Message: fmt.Sprintf("no replica of service %s takes calls", a.Service),
			Remedy:  "send the request again after the time given; operators see the replicas with hornbeamctl status",
		}
	}
	l.record(timeline.Event{Kind: timeline.Placed, Request: a.Request, Backend: b.Name, Text: "service " + a.Service})
	return caller.Grant{Backend: b.Name, Address: b.Address, Slot: a.Request}, nil
}

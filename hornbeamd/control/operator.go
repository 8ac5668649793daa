package control

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"hornbeamstep.example/hornbeamd/operator"
	"hornbeamstep.example/policy"
	"hornbeamstep.example/routing/placement"
	"hornbeamstep.example/routing/quarantine"
)

// queryTimeout limits how long an operator's query waits for the control loop.
const queryTimeout = time.Second

// query runs a function on the control loop and returns its result. It returns the zero value if
// the loop has stopped or does not run the function within queryTimeout. In the latter case the
// function may still run later.
func query[T any](l *Loop, read func(now time.Time) T) T {
	answer := make(chan T, 1)
	var zero T
	if !l.send(func(now time.Time) { answer <- read(now) }) {
		return zero
	}
	select {
	case value := <-answer:
		return value
	case <-time.After(queryTimeout):
		return zero
	}
}

// Backends returns the backend servers of the configuration, with loads for the engines that this
// router owns.
func (l *Loop) Backends() []operator.Backend {
	return query(l, func(now time.Time) []operator.Backend {
		owners := l.Peers.Owners()
		var out []operator.Backend
		for name, b := range l.state.policy.Backends {
			view := operator.Backend{Name: name, Pool: b.Pool, Service: b.Service, Zone: b.Zone, Address: b.Address, State: string(b.State)}
			if e, ok := l.state.engines[name]; ok {
				l.setEngineFields(&view, e, now)
				view.Owner = owners.EngineOwner(name)
			}
			if l.state.drained[name] {
				view.State = "draining"
			}
			out = append(out, view)
		}
		slices.SortFunc(out, func(a, b operator.Backend) int { return strings.Compare(a.Name, b.Name) })
		return out
	})
}

// setEngineFields sets the health state of an engine, and its load if this router owns it.
func (l *Loop) setEngineFields(view *operator.Backend, e *engineState, now time.Time) {
	if e.health == placement.Suspect && e.backend.State != policy.Leaving {
		view.State = "suspect"
	}
	if e.ejected {
		view.State = "ejected"
	}
	if e.gate == nil {
		return
	}
	view.Load = e.gate.Load()
	view.Bound = e.gate.Limit(now)
	view.Running, view.Queued = e.report.Running, e.report.Queued
	view.Reported = e.reportRequestedAt
	if sum, ok := l.Peers.PoolSum(e.backend.Pool); ok {
		view.Mean = sum.Mean()
	}
}

// SetDrained takes a backend server out of service on this router or returns it to service. The
// backend server need not be in the configuration, because a router that starts may learn of drains
// before it has one. It returns true if the configuration names the backend server, and false also
// if the control loop does not answer in time.
func (l *Loop) SetDrained(name string, drained bool) bool {
	return query(l, func(time.Time) bool {
		_, ok := l.state.policy.Backends[name]
		if drained {
			l.state.drained[name] = true
		} else {
			delete(l.state.drained, name)
		}
		l.state.enginesChanged = true
		l.services.setDrained(name, drained)
		return ok
	})
}

// PlaceChat returns the engine on which the next request of a chat would be placed, and the reason.
func (l *Loop) PlaceChat(account, model, adapter, chat string) placement.Decision {
	s := l.snapshot.Load()
	return s.rule.Place(l.Now(), placement.Request{Account: account, Chat: chat, Model: model, Adapter: adapter}, s.view)
}

// Accounts returns the client accounts with the most requests through this router, busiest first.
func (l *Loop) Accounts(maxAccounts int) []operator.AccountUse {
	l.init()
	usage := l.limits.rates(l.Now())
	slices.SortFunc(usage, func(a, b operator.AccountUse) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), strings.Compare(a.Name, b.Name))
	})
	return usage[:min(maxAccounts, len(usage))]
}

// Quarantine returns the quarantined fingerprints.
func (l *Loop) Quarantine() []operator.Quarantined {
	l.init()
	l.trackerMu.Lock()
	defer l.trackerMu.Unlock()
	var out []operator.Quarantined
	for _, e := range l.tracker.List(l.Now()) {
		if !e.Quarantined {
			continue
		}
		q := operator.Quarantined{Fingerprint: e.Fingerprint, Since: e.At, Until: e.At.Add(quarantine.Defaults().QuarantineTTL)}
		for _, c := range e.Crashes {
			q.Engines = append(q.Engines, c.Engine)
		}
		q.Engines = slices.Compact(q.Engines)
		out = append(out, q)
	}
	return out
}

// IsQuarantined reports whether requests with the given fingerprint are refused.
func (l *Loop) IsQuarantined(fingerprint string) bool {
	l.init()
	l.trackerMu.Lock()
	defer l.trackerMu.Unlock()
	return l.tracker.State(l.Now(), fingerprint) == quarantine.Quarantined
}

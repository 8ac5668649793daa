package balance

import (
	"slices"
	"time"
)

// Outcome is the outcome of a request to a server.
type Outcome uint8

// The outcomes of a request.
const (
	// Answered: the server sent a complete answer.
	Answered Outcome = iota
	// Failed: the server answered with a server error.
	Failed
	// Refused: the server rejected the request without running it.
	Refused
	// Broken: the answer was missing, incomplete or invalid.
	Broken
	// Silent: the server did not answer, or stopped sending, within the time allowed.
	Silent
	// Unreachable: the server accepted no connection, or is otherwise known not to serve requests.
	// One such outcome is enough to pause it.
	Unreachable
	// Abandoned: the request ended for a reason that says nothing about the server. For example,
	// the caller cancelled it, or its own time limit expired.
	Abandoned
)

// String returns the outcome in lower case.
func (o Outcome) String() string {
	return [...]string{"answered", "failed", "refused", "broken", "silent", "unreachable", "abandoned"}[o]
}

// Finish records the end of a request that was counted by Start. took is the time from its start to
// its end.
func (b *Balancer) Finish(now time.Time, id string, outcome Outcome, took time.Duration) {
	e := b.servers[id]
	if e == nil {
		return
	}
	waited := e.load() > e.Slots && e.Slots > 0
	e.own = max(0, e.own-1)
	if outcome == Answered && !waited {
		b.observeDuration(e.Service, took)
	}
	b.recordOutcome(now, e, outcome)
}

// observeDuration updates the moving average of the duration of a service's requests.
func (b *Balancer) observeDuration(service string, took time.Duration) {
	const samples = 16
	if p := b.pools[service]; p != nil {
		if p.meanDuration == 0 {
			p.meanDuration = took
		}
		p.meanDuration += (took - p.meanDuration) / samples
	}
}

// RecordFailure records an attempt that failed before Start counted it, such as a connection that
// was not accepted.
func (b *Balancer) RecordFailure(now time.Time, id string, outcome Outcome) {
	if e := b.servers[id]; e != nil {
		b.recordOutcome(now, e, outcome)
	}
}

func (b *Balancer) recordOutcome(now time.Time, e *entry, outcome Outcome) {
	switch outcome {
	case Abandoned:
		return
	case Answered:
		e.consecutiveFailures, e.pauseCount, e.pausedUntil = 0, 0, time.Time{}
		e.failureRate -= e.failureRate / b.settings.FailureSamples
		return
	}
	e.failureRate += (1 - e.failureRate) / b.settings.FailureSamples
	switch outcome {
	case Failed, Refused:
		// The server is reachable: it gets fewer requests according to its failure rate, but is not
		// paused.
		e.consecutiveFailures = 0
		return
	case Unreachable:
		e.unreachableAt = now
		e.consecutiveFailures = max(e.consecutiveFailures+1, b.settings.MaxConsecutiveFailures)
	default:
		e.consecutiveFailures++
	}
	if e.consecutiveFailures >= b.settings.MaxConsecutiveFailures && !now.Before(e.pausedUntil) {
		pause := min(b.settings.InitialPause<<min(e.pauseCount, 8), b.settings.MaxPause)
		e.pauseCount++
		e.pausedUntil = now.Add(pause)
	}
}

// IsPaused reports whether a server gets no requests because the latest ones got no response.
func (b *Balancer) IsPaused(now time.Time, id string) bool {
	e := b.servers[id]
	return e != nil && now.Before(e.pausedUntil)
}

// IsInService reports whether a process of a server, which started at the given time, is listed and not
// leaving.
func (b *Balancer) IsInService(id string, born int64) bool {
	e := b.servers[id]
	return e != nil && e.Born == born && !e.isLeaving()
}

// Paused returns the sorted IDs of the servers that this router has paused because it got no answer
// from them.
func (b *Balancer) Paused(now time.Time) []string {
	var ids []string
	for id, e := range b.servers {
		if now.Before(e.pausedUntil) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// EndPauses ends the pauses of the servers of a service, which the loss of the path from this router
// has caused.
func (b *Balancer) EndPauses(service string) {
	for _, e := range b.servers {
		if e.Service == service {
			e.consecutiveFailures, e.pauseCount, e.pausedUntil, e.reportedUntil = 0, 0, time.Time{}, time.Time{}
		}
	}
}

// ReportUnreachable records how many other routers could not reach each server, by server ID. A
// server that at least two of them could not reach gets no requests until the given time. Servers
// with requests of this router in progress are excluded, as are servers whose latest request of
// this router got no response: there the results of this router's own requests decide.
func (b *Balancer) ReportUnreachable(until time.Time, count map[string]int) {
	const minReporters = 2
	for id, n := range count {
		if e := b.servers[id]; e != nil && n >= minReporters && e.consecutiveFailures == 0 && e.own == 0 {
			e.reportedUntil = until
		}
	}
}

// excessFailureRate returns by how much the failure rate of a server exceeds the lowest one among
// the usable servers, minus a margin and at most 0.9. Failures that occur on all servers alike are
// caused by the requests.
func excessFailureRate(usable []*entry, e *entry) float64 {
	lowest := 1.0
	for _, o := range usable {
		lowest = min(lowest, o.failureRate)
	}
	const margin = 0.2
	return min(0.9, max(0, e.failureRate-lowest-margin))
}

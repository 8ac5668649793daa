package balance

import (
	"slices"
	"time"
)

// Ending is how a request to a server ended.
type Ending uint8

// The endings of a request.
const (
	// Answered requests were answered in full.
	Answered Ending = iota
	// Failed requests were answered with an error of the server.
	Failed
	// Refused requests were rejected before they ran.
	Refused
	// Broken requests ended without a whole answer.
	Broken
	// Silent requests got no answer in the time in which one was due.
	Silent
	// Unreachable servers accepted no connection.
	Unreachable
	// Abandoned requests were ended by the caller or a time limit of its own, which tells nothing of the server.
	Abandoned
)

// String returns the ending in lower case.
func (e Ending) String() string {
	return [...]string{"answered", "failed", "refused", "broken", "silent", "unreachable", "abandoned"}[e]
}

// Finish counts the end of a request after Start. Took is the time that the server took.
func (b *Balancer) Finish(now time.Time, id string, ending Ending, took time.Duration) {
	e := b.servers[id]
	if e == nil {
		return
	}
	waited := e.load() > e.Slots && e.Slots > 0
	e.own = max(0, e.own-1)
	if ending == Answered && !waited {
		b.observe(e.Service, took)
	}
	b.judge(now, e, ending)
}

// observe updates the mean time of a service's requests.
func (b *Balancer) observe(service string, took time.Duration) {
	const weight = 16
	if p := b.pools[service]; p != nil {
		if p.work == 0 {
			p.work = took
		}
		p.work += (took - p.work) / weight
	}
}

// Failure takes an attempt that failed before it was counted, such as a connection that was not accepted.
func (b *Balancer) Failure(now time.Time, id string, ending Ending) {
	if e := b.servers[id]; e != nil {
		b.judge(now, e, ending)
	}
}

func (b *Balancer) judge(now time.Time, e *entry, ending Ending) {
	switch ending {
	case Abandoned:
		return
	case Answered:
		e.strikes, e.pauses, e.paused = 0, 0, time.Time{}
		e.failing -= e.failing / b.settings.Memory
		return
	}
	e.failing += (1 - e.failing) / b.settings.Memory
	switch ending {
	case Failed, Refused:
		// The server answers: it is avoided by its share of failures, not paused.
		e.strikes = 0
		return
	case Unreachable:
		e.strikes = max(e.strikes+1, b.settings.Strikes)
	default:
		e.strikes++
	}
	if e.strikes >= b.settings.Strikes && !now.Before(e.paused) {
		pause := min(b.settings.Pause<<min(e.pauses, 8), b.settings.PauseMost)
		e.pauses++
		e.paused = now.Add(pause)
	}
}

// Paused returns the IDs of the servers that this router could not reach, sorted.
func (b *Balancer) Paused(now time.Time) []string {
	var ids []string
	for id, e := range b.servers {
		if now.Before(e.paused) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Report takes the number of other routers that could not reach each server. A server that several could not reach gets no
// requests until the time given, unless it answers this router.
func (b *Balancer) Report(until time.Time, count map[string]int) {
	const several = 2
	for id, n := range count {
		if e := b.servers[id]; e != nil && n >= several && e.strikes == 0 && e.own == 0 {
			e.reported = until
		}
	}
}

// excess is the share of failures by which a server is worse than the best of the others, below 1. Failures that all servers
// share come from the requests.
func excess(usable []*entry, e *entry) float64 {
	least := 1.0
	for _, o := range usable {
		least = min(least, o.failing)
	}
	const margin = 0.2
	return min(0.9, max(0, e.failing-least-margin))
}

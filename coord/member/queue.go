package member

import (
	"math/bits"
	"slices"
)

// queue holds the updates to piggyback. Updates that were sent least come first.
type queue struct {
	items []queued
}

type queued struct {
	update Member
	sent   int
}

// put replaces an older update about the same member.
func (q *queue) put(m Member) {
	m.Damped = false
	q.items = slices.DeleteFunc(q.items, func(i queued) bool { return i.update.ID == m.ID })
	q.items = append(q.items, queued{update: m})
}

// take returns up to limit updates for a fleet of n members and drops those that were sent often enough to reach everyone.
func (q *queue) take(limit, n int) []Member {
	if len(q.items) == 0 || limit <= 0 {
		return nil
	}
	slices.SortStableFunc(q.items, func(a, b queued) int { return a.sent - b.sent })
	count := min(limit, len(q.items))
	out := make([]Member, count)
	for i := range count {
		out[i] = q.items[i].update
		q.items[i].sent++
	}
	// Three times the logarithm of the fleet's size reaches every member with high probability; sync covers the rest.
	enough := 3 * bits.Len(uint(n))
	q.items = slices.DeleteFunc(q.items, func(i queued) bool { return i.sent >= enough })
	return out
}

// waiting counts the updates that were sent too few times to have spread.
func (q *queue) waiting() int {
	n := 0
	for _, i := range q.items {
		if i.sent < MaxUpdates {
			n++
		}
	}
	return n
}

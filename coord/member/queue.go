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
	if len(q.items) <= queueLimit {
		return
	}
	most := 0
	for i, item := range q.items {
		if item.sent > q.items[most].sent {
			most = i
		}
	}
	q.items = slices.Delete(q.items, most, most+1)
}

// queueLimit bounds the queue: when more changes at once, such as at a common start, sync spreads it in fewer bytes. Without the
// limit, 340 members that started together sent old news for minutes.
const queueLimit = 64

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
	// Each member passes an update on a few times more often than the fleet's size can be halved, so that about one in e^12
	// misses it at 340 members; sync covers the rest.
	enough := bits.Len(uint(n)) + 3
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

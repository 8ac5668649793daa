package member

import (
	"math/bits"
	"slices"
)

// queue holds the updates to piggyback on messages. Those sent the fewest times come first.
type queue struct {
	items []queuedUpdate
}

type queuedUpdate struct {
	update Member
	sent   int
}

// put adds an update and replaces an older one about the same member. A full queue drops the update
// sent most often.
func (q *queue) put(m Member) {
	m.Damped = false
	q.items = slices.DeleteFunc(q.items, func(i queuedUpdate) bool { return i.update.ID == m.ID })
	q.items = append(q.items, queuedUpdate{update: m})
	if len(q.items) <= maxQueuedUpdates {
		return
	}
	mostSent := 0
	for i, item := range q.items {
		if item.sent > q.items[mostSent].sent {
			mostSent = i
		}
	}
	q.items = slices.Delete(q.items, mostSent, mostSent+1)
}

// maxQueuedUpdates limits the queue. If more members change at once, such as when all routers start
// together, syncs spread the changes in fewer bytes. Without the limit, 340 members that started
// together sent outdated updates for minutes.
const maxQueuedUpdates = 64

// take returns up to limit updates and drops those that were sent often enough to reach nearly all
// members of a fleet of fleetSize.
func (q *queue) take(limit, fleetSize int) []Member {
	if len(q.items) == 0 || limit <= 0 {
		return nil
	}
	slices.SortStableFunc(q.items, func(a, b queuedUpdate) int { return a.sent - b.sent })
	count := min(limit, len(q.items))
	out := make([]Member, count)
	for i := range count {
		out[i] = q.items[i].update
		q.items[i].sent++
	}
	// The number of sends grows with the binary logarithm of the fleet size. In a fleet of 340,
	// each member sends an update 12 times. About one in e^12 members then misses the update and
	// gets it by a sync.
	maxSends := bits.Len(uint(fleetSize)) + 3
	q.items = slices.DeleteFunc(q.items, func(i queuedUpdate) bool { return i.sent >= maxSends })
	return out
}

// countRarelySent counts the updates that were sent fewer than MaxUpdates times and may not have
// reached all members yet. MaxUpdates, the limit of updates per message, also serves as this number
// of sends.
func (q *queue) countRarelySent() int {
	n := 0
	for _, i := range q.items {
		if i.sent < MaxUpdates {
			n++
		}
	}
	return n
}

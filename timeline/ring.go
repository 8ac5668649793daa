package timeline

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"
)

// DefaultSize is the capacity of a ring, in events, if no other is given.
const DefaultSize = 4096

// Ring is a lock-free ring buffer of the latest events of one daemon. Its methods are safe for
// concurrent use.
type Ring struct {
	daemon string
	clock  *Clock
	// slots has a fixed length. The sequence number in a slot only increases.
	slots []atomic.Pointer[slotEntry]
	next  atomic.Uint64
}

// slotEntry is immutable once it is stored in a slot.
type slotEntry struct {
	sequence uint64
	event    Event
}

// NewRing returns an empty ring of a daemon. A size of 0 or less stands for DefaultSize; a nil
// clock for a new one.
func NewRing(daemon string, size int, clock *Clock) *Ring {
	if size <= 0 {
		size = DefaultSize
	}
	if clock == nil {
		clock = new(Clock)
	}
	return &Ring{daemon: daemon, clock: clock, slots: make([]atomic.Pointer[slotEntry], size)}
}

// Clock returns the clock that stamps the events.
func (r *Ring) Clock() *Clock { return r.clock }

// Add stamps an event, stores it in place of the oldest one if the ring is full, and returns its
// stamp. Stamp and Daemon of e are replaced.
func (r *Ring) Add(e Event) Stamp {
	e.Stamp = r.clock.Stamp()
	e.Daemon = r.daemon
	added := &slotEntry{sequence: r.next.Add(1) - 1, event: e}
	slot := &r.slots[added.sequence%uint64(len(r.slots))]
	for {
		old := slot.Load()
		// A writer that other writers have overtaken by a full turn of the ring must not replace a
		// newer event.
		if old != nil && old.sequence > added.sequence {
			return e.Stamp
		}
		if slot.CompareAndSwap(old, added) {
			return e.Stamp
		}
	}
}

// Dropped returns how many events have been replaced by newer ones.
func (r *Ring) Dropped() uint64 {
	return r.next.Load() - min(r.next.Load(), uint64(len(r.slots)))
}

// Events returns the recorded events that match a filter, oldest first.
func (r *Ring) Events(f Filter) []Event {
	var found []Event
	for i := range r.slots {
		e := r.slots[i].Load()
		if e != nil && f.Match(e.event) {
			found = append(found, e.event)
		}
	}
	return f.latest(Merge(found))
}

// Filter selects events. The zero value selects all.
type Filter struct {
	// Request and Chat select events of one request or chat if they are not empty.
	Request, Chat string
	// Since selects events whose wall time is not before it, if it is not zero.
	Since time.Time
	// Limit keeps only the latest events; 0 keeps all.
	Limit int
}

// Match reports whether an event passes the filter. It ignores Limit.
func (f Filter) Match(e Event) bool {
	if f.Request != "" && f.Request != e.Request {
		return false
	}
	if f.Chat != "" && f.Chat != e.Chat {
		return false
	}
	return f.Since.IsZero() || !e.Stamp.Wall.Before(f.Since)
}

func (f Filter) latest(events []Event) []Event {
	if f.Limit > 0 && len(events) > f.Limit {
		return events[len(events)-f.Limit:]
	}
	return events
}

// Merge returns the events of several daemons in causal order: an event precedes those that follow
// from it through messages, because receivers merge the sender's stamp. Duplicate events are
// returned once.
func Merge(rings ...[]Event) []Event {
	all := slices.Concat(rings...)
	slices.SortStableFunc(all, func(a, b Event) int {
		return cmp.Or(a.Stamp.Compare(b.Stamp), cmp.Compare(a.Daemon, b.Daemon))
	})
	return slices.CompactFunc(all, isDuplicate)
}

// isDuplicate relies on stamps being unique within a daemon.
func isDuplicate(a, b Event) bool {
	return a.Daemon == b.Daemon && a.Stamp.Compare(b.Stamp) == 0 && a.Kind == b.Kind && a.Text == b.Text
}

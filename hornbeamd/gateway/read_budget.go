package gateway

import (
	"sync"

	"github.com/rotisserie/eris"
)

const (
	// maxHeldEventBytes limits the sum of the events that are held in memory for all requests, and
	// maxHeldBodyBytes that of the responses which are not streams. The limits on a single event and
	// response don't bound the memory of many concurrent requests.
	maxHeldEventBytes = 16 << 20
	maxHeldBodyBytes  = 16 << 20
	// uncountedBytes is the size up to which an event or a response is not counted.
	uncountedBytes = 4 << 10
)

var (
	// errRevoked is the cancellation cause of an attempt whose event must make room for a smaller one.
	errRevoked      = eris.New("events of other requests need the memory that the event takes")
	errNoReadBudget = eris.New("events of other requests take the memory for events")
)

// readBudget limits the sum of the bytes that are held for the responses of backend servers.
type readBudget struct {
	limit int

	mu      sync.Mutex
	used    int
	holders map[*reservation]struct{}
}

func newReadBudget(limit int) *readBudget {
	return &readBudget{limit: limit, holders: map[*reservation]struct{}{}}
}

// reservation is a part of a readBudget. Only one goroutine at a time may call its methods.
type reservation struct {
	budget *readBudget
	// revoke is called when a smaller reservation needs the room; nil if that is not possible. It
	// must not block.
	revoke func()
	// counted is true while the reservation is one of the holders of the budget, or was revoked.
	counted bool

	// size, pinned and revoked are guarded by the mutex of the budget. A pinned reservation is not
	// revoked.
	size            int
	pinned, revoked bool
}

// grow raises the size of the reservation to n bytes. If there is no room, it revokes the largest
// reservations above this size. It returns false if that is not enough, or if the reservation itself
// was revoked.
func (r *reservation) grow(n int) bool {
	if r == nil || n <= uncountedBytes {
		return true
	}
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	r.counted = true
	for !r.revoked && b.used-r.size+n > b.limit {
		largest := b.largestAbove(n)
		if largest == nil {
			return false
		}
		b.remove(largest)
		largest.revoked = true
		largest.revoke()
	}
	if r.revoked {
		return false
	}
	b.used += n - r.size
	r.size = n
	b.holders[r] = struct{}{}
	return true
}

// largestAbove returns the largest reservation above n bytes that can be revoked, or nil.
func (b *readBudget) largestAbove(n int) *reservation {
	var largest *reservation
	for r := range b.holders {
		if r.size > n && !r.pinned && r.revoke != nil {
			largest, n = r, r.size
		}
	}
	return largest
}

// remove removes a holder.
func (b *readBudget) remove(r *reservation) {
	delete(b.holders, r)
	b.used -= r.size
	r.size = 0
}

// pin keeps the reservation from being revoked. It returns false if that has happened already.
func (r *reservation) pin() bool {
	if r == nil || !r.counted {
		return true
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.pinned = true
	return !r.revoked
}

// release returns the reserved bytes to the budget. The reservation can be used again unless it was
// revoked.
func (r *reservation) release() {
	if r == nil || !r.counted {
		return
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.budget.remove(r)
	r.pinned, r.counted = false, false
}

// moveTo makes another reservation, which must be released, hold the bytes instead.
func (r *reservation) moveTo(other *reservation) {
	if !r.counted {
		return
	}
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.holders, r)
	b.holders[other] = struct{}{}
	other.budget, other.size, other.counted = b, r.size, true
	r.size, r.counted = 0, false
}

// append appends data to a buffer and reserves its capacity.
func (r *reservation) append(buffer, data []byte) ([]byte, bool) {
	needed := len(buffer) + len(data)
	if needed <= cap(buffer) {
		return append(buffer, data...), true
	}
	capacity := max(needed, 2*cap(buffer))
	if !r.grow(capacity) {
		return buffer, false
	}
	grown := make([]byte, len(buffer), capacity)
	copy(grown, buffer)
	return append(grown, data...), true
}

// Package memory accounts for the memory that a router holds for its clients and backend servers, and makes
// room by revoking the largest reservations.
package memory

import (
	"sync"
	"time"
)

// Uncounted is the size up to which a reservation is not counted.
const Uncounted = 4 << 10

// stalledAfter is the time without growth after which a reservation that is not pinned may be revoked for
// one of any size. A sender that takes longer for its next bytes is not one that makes progress.
const stalledAfter = 5 * time.Second

// Account limits the sum of its reservations. It is safe for concurrent use.
type Account struct {
	limit int

	mu   sync.Mutex
	used int
	// releasing is the size of the reservations that were revoked and not released yet. Their holders have
	// the memory until they notice, which takes longest while many clients come at once.
	releasing int
	holders   map[*Reservation]struct{}
}

// maxReleasingPercent is the part of the limit up to which reservations are revoked for others while earlier
// ones are not released. Without this bound, requests that revoke each other would hold any amount.
const maxReleasingPercent = 50

// New returns an account with a limit in bytes.
func New(limit int) *Account {
	return &Account{limit: limit, holders: map[*Reservation]struct{}{}}
}

// Reservation is a part of an Account. Only one goroutine at a time may call its methods.
type Reservation struct {
	Account *Account
	// Revoke is called when another reservation needs the room; nil if that is not possible. It must
	// not block, nor call methods of the Account.
	Revoke func()
	// counted is true while the reservation is one of the holders of the budget, or was revoked.
	counted bool

	// size, grownAt, pinned and revoked are guarded by the mutex of the account. A pinned reservation is not
	// revoked. The size of a revoked one counts as Account.releasing.
	size            int
	grownAt         time.Time
	pinned, revoked bool
}

// Grow raises the size of the reservation to n bytes. If there is no room, it revokes the largest
// reservations above this size, and then those that have stalled, unless too many revoked ones are not
// released yet. It returns false if that is not enough, or if the reservation itself was revoked.
func (r *Reservation) Grow(n int) bool {
	if r == nil || n <= Uncounted {
		return true
	}
	b := r.Account
	b.mu.Lock()
	defer b.mu.Unlock()
	r.counted = true
	for !r.revoked && b.used-r.size+n > b.limit {
		if b.releasing > b.limit/100*maxReleasingPercent {
			return false
		}
		victim := b.largestAbove(n)
		if victim == nil {
			victim = b.stalled(r, time.Now().Add(-stalledAfter))
		}
		if victim == nil {
			return false
		}
		delete(b.holders, victim)
		b.used -= victim.size
		b.releasing += victim.size
		victim.revoked = true
		victim.Revoke()
	}
	if r.revoked {
		return false
	}
	b.used += n - r.size
	r.size, r.grownAt = n, time.Now()
	b.holders[r] = struct{}{}
	return true
}

// stalled returns the reservation other than r that has not grown for the longest time, or nil if all have
// grown since the given time or can't be revoked.
func (b *Account) stalled(r *Reservation, since time.Time) *Reservation {
	var oldest *Reservation
	for h := range b.holders {
		if h != r && !h.pinned && h.Revoke != nil && h.grownAt.Before(since) {
			oldest, since = h, h.grownAt
		}
	}
	return oldest
}

// Limit returns the limit in bytes.
func (b *Account) Limit() int { return b.limit }

// Used returns the sum of the reservations in bytes, without those that were revoked.
func (b *Account) Used() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Releasing returns the sum of the reservations in bytes that were revoked and not released yet.
func (b *Account) Releasing() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.releasing
}

// largestAbove returns the largest reservation above n bytes that can be revoked, or nil.
func (b *Account) largestAbove(n int) *Reservation {
	var largest *Reservation
	for r := range b.holders {
		if r.size > n && !r.pinned && r.Revoke != nil {
			largest, n = r, r.size
		}
	}
	return largest
}

// remove removes a holder, or one whose reservation was revoked.
func (b *Account) remove(r *Reservation) {
	if r.revoked {
		b.releasing -= r.size
	} else {
		delete(b.holders, r)
		b.used -= r.size
	}
	r.size = 0
}

// Pin keeps the reservation from being revoked. It returns false if that has happened already.
func (r *Reservation) Pin() bool {
	if r == nil || !r.counted {
		return true
	}
	r.Account.mu.Lock()
	defer r.Account.mu.Unlock()
	r.pinned = true
	return !r.revoked
}

// Release returns the reserved bytes to the account. The reservation can be used again unless it was
// revoked.
func (r *Reservation) Release() {
	if r == nil || !r.counted {
		return
	}
	r.Account.mu.Lock()
	defer r.Account.mu.Unlock()
	r.Account.remove(r)
	r.pinned, r.counted = false, false
}

// MoveTo makes another reservation, which must be released, hold the bytes instead.
func (r *Reservation) MoveTo(other *Reservation) {
	if !r.counted {
		return
	}
	b := r.Account
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.revoked {
		b.remove(r)
	}
	delete(b.holders, r)
	b.holders[other] = struct{}{}
	other.Account, other.size, other.counted = b, r.size, true
	r.size, r.counted = 0, false
}

// Append appends data to a buffer and reserves its capacity.
func (r *Reservation) Append(buffer, data []byte) ([]byte, bool) {
	needed := len(buffer) + len(data)
	if needed <= cap(buffer) {
		return append(buffer, data...), true
	}
	capacity := max(needed, 2*cap(buffer))
	if !r.Grow(capacity) {
		return buffer, false
	}
	grown := make([]byte, len(buffer), capacity)
	copy(grown, buffer)
	return append(grown, data...), true
}

package permit

import (
	"maps"
	"time"
)

const (
	// burstTime is the time in which the permits that a server has not used accumulate, up to the
	// number issued in that time. minBurst is the lowest such number for servers that take minBurst
	// requests per second or more. Both are small because a new issuer knows nothing of what the
	// previous one has issued, and the servers take no more than their limit for long.
	burstTime = 500 * time.Millisecond
	minBurst  = 3
	// recentPriority is how long after the last request for a permit of a priority some permits are
	// kept for it.
	recentPriority = 2 * time.Second
	// bucketTTL is how long a bucket is kept that is not used.
	bucketTTL = time.Minute
)

// Ask is a request for a permit.
type Ask struct {
	Server string
	// Priority is lower for more urgent requests, from 0 to 9.
	Priority int
	// MaxDelay is how long the request may wait for the permit.
	MaxDelay time.Duration
	// PerSecond is the rate that the router estimates which asks, if the server's service is overloaded;
	// see Capacity. 0 otherwise.
	PerSecond float64
	// MaxBurst is the number of permits that may accumulate; 0 for the default.
	MaxBurst float64
	// IsCold is true if the router that asks takes the server for cold; see Cold.
	IsCold bool
	// Slot is set if the router that asks takes the server for brittle, so that the request needs one of
	// its slots; see Slots.
	Slot *SlotAsk
}

// Issuer issues the permits for the servers of which a router is the issuer. Each server has a
// token bucket that is empty at first, so that a change of the issuer adds no burst. It is not safe
// for concurrent use.
type Issuer struct {
	buckets map[string]*bucket
	// sweptAt is when unused buckets were last removed.
	sweptAt time.Time
}

// bucket holds the permits that can be issued for a server.
type bucket struct {
	// permits is the number of permits at updatedAt. It is negative while permits are issued in
	// advance.
	permits   float64
	updatedAt time.Time
	// lastAsk is when a permit of each priority was last requested.
	lastAsk [lowestPriority + 1]time.Time
}

// NewIssuer returns an issuer that has issued no permits.
func NewIssuer() *Issuer { return &Issuer{buckets: map[string]*bucket{}} }

// Issue answers a request for a permit. perSecond is the rate at which this issuer may issue
// permits for the server.
func (i *Issuer) Issue(now time.Time, ask Ask, perSecond float64) Answer {
	i.sweep(now)
	b := i.buckets[ask.Server]
	if b == nil {
		b = &bucket{updatedAt: now}
		i.buckets[ask.Server] = b
	}
	rate := max(perSecond, minPerSecond)
	burst := max(1, min(minBurst, rate), rate*burstTime.Seconds())
	if ask.MaxBurst > 0 {
		burst = min(burst, ask.MaxBurst)
	}
	if elapsed := now.Sub(b.updatedAt).Seconds(); elapsed > 0 {
		b.permits, b.updatedAt = min(burst, b.permits+rate*elapsed), now
	}
	priority := clampPriority(ask.Priority)
	b.lastAsk[priority] = now
	needed := 1 + min(b.reserve(now, priority), burst-1)
	wait := time.Duration(0)
	if missing := needed - b.permits; missing > 0 {
		wait = time.Duration(missing / rate * float64(time.Second))
	}
	if wait > ask.MaxDelay {
		return Answer{Wait: wait}
	}
	b.permits--
	return Answer{Granted: true, Wait: wait}
}

// reserve returns the number of permits that are kept for more urgent requests: one for each more
// urgent priority of which permits were requested recently. So less urgent requests get what the
// others leave.
func (b *bucket) reserve(now time.Time, priority int) float64 {
	n := 0.0
	for _, at := range b.lastAsk[:priority] {
		if !at.IsZero() && now.Sub(at) < recentPriority {
			n++
		}
	}
	return n
}

// sweep removes the buckets that are not used any more.
func (i *Issuer) sweep(now time.Time) {
	if now.Sub(i.sweptAt) < bucketTTL {
		return
	}
	i.sweptAt = now
	maps.DeleteFunc(i.buckets, func(_ string, b *bucket) bool { return now.Sub(b.updatedAt) > bucketTTL })
}

// Package retry decides when a failed request is sent again and which backend servers are fit for work.
package retry

import (
	"math"
	"time"
)

// Budget allows retries as a share of the traffic, so that retries cannot multiply an overload. It is not safe for
// concurrent use.
type Budget struct {
	share, most, tokens float64
}

// NewBudget returns a budget of a share of the requests, such as 0.1, with at most burst retries at once.
func NewBudget(share float64, burst int) *Budget {
	return &Budget{share: max(0, share), most: float64(max(0, burst)), tokens: float64(max(0, burst))}
}

// Request counts a first attempt.
func (b *Budget) Request() { b.tokens = min(b.most, b.tokens+b.share) }

// Retry is true if a retry is allowed, and counts it.
func (b *Budget) Retry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff is exponential with full jitter.
type Backoff struct {
	// Base is the greatest delay of the first retry and Most that of any.
	Base, Most time.Duration
}

// Delay returns the delay before a retry, counted from 1, for a random number in [0,1).
func (b Backoff) Delay(retry int, random float64) time.Duration {
	limit := float64(b.Base) * math.Pow(2, float64(max(1, retry)-1))
	return time.Duration(min(limit, float64(b.Most)) * random)
}

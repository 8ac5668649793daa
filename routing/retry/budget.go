// Package retry limits retries and concurrency, and ejects unhealthy backend servers from a pool.
package retry

import (
	"math"
	"time"
)

// Budget limits retries to a share of the requests, so that retries cannot amplify an overload. It
// is a token bucket: each request adds a share of a token and each retry takes one. It is not safe
// for concurrent use.
type Budget struct {
	share, burst, tokens float64
}

// NewBudget returns a budget that allows retries for a share of the requests, such as 0.1, and at
// most burst retries at once. The bucket is full at the start.
func NewBudget(share float64, burst int) *Budget {
	return &Budget{share: max(0, share), burst: float64(max(0, burst)), tokens: float64(max(0, burst))}
}

// CountRequest counts the first attempt of a request.
func (b *Budget) CountRequest() { b.tokens = min(b.burst, b.tokens+b.share) }

// AllowRetry reports whether a retry is allowed and, if so, counts it.
func (b *Budget) AllowRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff is an exponential backoff with full jitter.
type Backoff struct {
	// Base is the maximum delay before the first retry, and Max the maximum delay before any retry.
	Base, Max time.Duration
}

// Delay returns the delay before a retry. Retries are counted from 1, and random is a random number
// in [0,1).
func (b Backoff) Delay(retry int, random float64) time.Duration {
	maxDelay := float64(b.Base) * math.Pow(2, float64(max(1, retry)-1))
	return time.Duration(min(maxDelay, float64(b.Max)) * random)
}

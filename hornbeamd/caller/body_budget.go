package caller

import "sync/atomic"

// bodyBudget limits the total size of the request bodies in memory. The limit on a single body,
// Options.MaxBodyBytes, does not bound the memory of many concurrent requests.
type bodyBudget struct {
	// available is the number of bytes that can still be reserved. It is negative only while a
	// failing call of reserve has not yet undone its subtraction.
	available atomic.Int64
}

func newBodyBudget(maxBytes int) *bodyBudget {
	b := &bodyBudget{}
	b.available.Store(int64(maxBytes))
	return b
}

// reserve reserves n bytes. It reserves nothing and returns false if fewer than n are available,
// where bytes that a concurrent failing call has subtracted for a moment count as not available.
func (b *bodyBudget) reserve(n int64) bool {
	if b.available.Add(-n) >= 0 {
		return true
	}
	b.available.Add(n)
	return false
}

func (b *bodyBudget) release(n int64) { b.available.Add(n) }

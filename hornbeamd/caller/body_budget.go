package caller

import "sync/atomic"

// budget bounds the bytes of all bodies that the router holds, since each request alone may be as large as Options.Body.
type budget struct {
	// left is at least 0 after each take.
	left atomic.Int64
}

func newBudget(limit int) *budget {
	b := &budget{}
	b.left.Store(int64(limit))
	return b
}

// take reserves n bytes. It returns false, and reserves nothing, if they are not there.
func (b *budget) take(n int64) bool {
	if b.left.Add(-n) >= 0 {
		return true
	}
	b.left.Add(n)
	return false
}

func (b *budget) give(n int64) { b.left.Add(n) }

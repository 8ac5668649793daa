package timeline

import (
	"cmp"
	"sync/atomic"
	"time"
)

const (
	// logicalBits is the width of the logical counter in the low bits of a packed stamp. The other
	// 52 bits hold Unix time in microseconds and overflow in the year 2112.
	logicalBits = 12
	logicalMask = 1<<logicalBits - 1
	// DefaultMaxAhead is the default of Clock.MaxAhead.
	DefaultMaxAhead = time.Minute
)

// Clock is a hybrid logical clock. Its stamps increase strictly even when the wall clock steps
// back. After Merge accepts a stamp, all new stamps are greater than the merged one. The zero value
// is ready for use. A Clock must not be copied after its first use.
type Clock struct {
	// Now is the wall clock; nil stands for time.Now. Set before the first use.
	Now func() time.Time
	// MaxAhead is how far the wall time of a received stamp may be ahead of Now; 0 stands for
	// DefaultMaxAhead. Stamps further ahead are not merged, because one router with a wrong clock
	// would otherwise move the clocks of all routers.
	MaxAhead time.Duration

	// last is the greatest packed stamp that was issued or merged.
	last     atomic.Uint64
	rejected atomic.Uint64
}

// Stamp returns a stamp greater than every stamp issued or merged before.
func (c *Clock) Stamp() Stamp {
	wall := pack(Stamp{Wall: c.now()})
	for {
		last := c.last.Load()
		next := max(wall, last+1)
		if c.last.CompareAndSwap(last, next) {
			return unpack(next)
		}
	}
}

// Merge advances the clock to a stamp received from another router, unless the clock is already
// past it, and reports whether the stamp was accepted. A stamp further ahead than MaxAhead is
// rejected.
func (c *Clock) Merge(remote Stamp) bool {
	limit := c.MaxAhead
	if limit == 0 {
		limit = DefaultMaxAhead
	}
	if remote.Wall.Sub(c.now()) > limit {
		c.rejected.Add(1)
		return false
	}
	packed := pack(remote)
	for {
		last := c.last.Load()
		if packed <= last || c.last.CompareAndSwap(last, packed) {
			return true
		}
	}
}

// Rejected returns the number of received stamps that were rejected because they were too far
// ahead.
func (c *Clock) Rejected() uint64 { return c.rejected.Load() }

func (c *Clock) now() time.Time {
	if c.Now == nil {
		return time.Now()
	}
	return c.Now()
}

// pack encodes a stamp as an integer that keeps the order of stamps, with microsecond precision. A
// counter above logicalMask carries into the microseconds. A time before 1970 counts as 1970.
func pack(s Stamp) uint64 {
	micros := max(s.Wall.UnixMicro(), 0)
	return uint64(micros)<<logicalBits + uint64(s.Logical)
}

func unpack(p uint64) Stamp {
	return Stamp{Wall: time.UnixMicro(int64(p >> logicalBits)).UTC(), Logical: uint32(p & logicalMask)}
}

// Compare returns -1 if s is before other, 0 if they are equal, and 1 if s is after other.
func (s Stamp) Compare(other Stamp) int {
	if order := s.Wall.Compare(other.Wall); order != 0 {
		return order
	}
	return cmp.Compare(s.Logical, other.Logical)
}

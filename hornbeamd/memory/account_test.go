package memory

import (
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against large events that keep the events of other requests from being read, and against
// ending a request whose event is complete.
func TestSmallerEventRevokesLargest(t *testing.T) {
	c := qt.New(t)
	b := New(100 << 10)
	var revoked []string
	hold := func(name string) *Reservation {
		return &Reservation{Account: b, Revoke: func() { revoked = append(revoked, name) }}
	}
	complete, larger, large, small, fixed := hold("complete"), hold("larger"), hold("large"), hold("small"), &Reservation{Account: b}
	c.Assert(complete.Grow(35<<10), qt.IsTrue)
	c.Assert(complete.Pin(), qt.IsTrue)
	c.Assert(larger.Grow(33<<10), qt.IsTrue)
	c.Assert(large.Grow(32<<10), qt.IsTrue)
	c.Assert(large.Grow(40<<10), qt.IsFalse, qt.Commentf("no larger one can be revoked"))
	c.Assert(large.Grow(32<<10), qt.IsTrue)
	c.Assert(fixed.Grow(16<<10), qt.IsTrue)
	c.Assert(revoked, qt.DeepEquals, []string{"larger"})
	c.Assert(larger.Grow(8<<10), qt.IsFalse)
	c.Assert(larger.Pin(), qt.IsFalse)
	c.Assert(small.Grow(20<<10), qt.IsTrue)
	c.Assert(revoked, qt.DeepEquals, []string{"larger", "large"})
	c.Assert(small.Grow(60<<10), qt.IsFalse)
	for _, r := range []*Reservation{complete, larger, large, small, fixed} {
		r.Release()
	}
	c.Assert(b.used, qt.Equals, 0)
	c.Assert(b.holders, qt.HasLen, 0)
}

// Guards against losing bytes or the end of a response when there is no room for it.
func TestReadUpTo(t *testing.T) {
	const limit = 64 << 10
	for name, test := range map[string]struct {
		size      int
		length    int64
		room      int
		wantRead  int
		wantWhole bool
	}{
		"empty":            {0, 0, 0, 0, true},
		"small":            {100, -1, 0, 100, true},
		"with length":      {20_000, 20_000, limit, 20_000, true},
		"without length":   {20_000, -1, limit, 20_000, true},
		"at the limit":     {limit - 1, -1, limit, limit - 1, true},
		"above the limit":  {limit + 1, -1, limit, limit, false},
		"length too great": {100, 1 << 60, 0, 100, true},
		"no room":          {20_000, 20_000, 0, Uncounted, false},
		"little room":      {20_000, -1, 3 * Uncounted, 2 * Uncounted, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			text := strings.Repeat("x", test.size)
			reader := strings.NewReader(text)
			body, isWhole, err := ReadUpTo(reader, limit, test.length, (&Reservation{Account: New(test.room)}).Grow)
			c.Assert(err, qt.IsNil)
			c.Check(len(body), qt.Equals, test.wantRead)
			c.Check(isWhole, qt.Equals, test.wantWhole)
			rest, err := io.ReadAll(reader)
			c.Assert(err, qt.IsNil)
			c.Check(string(body)+string(rest) == text, qt.IsTrue)
		})
	}
}

// Guards against requests that are given up for each other and hold any amount of memory together, until they
// notice.
func TestRevokedReservationsAreBounded(t *testing.T) {
	const size, limit = 10 << 10, 100 << 10
	c := qt.New(t)
	b := New(limit)
	var all []*Reservation
	held := func() (sum int) {
		for _, r := range all {
			sum += r.size
		}
		return sum
	}
	// Each newcomer is smaller than those before, so that it may revoke them.
	for i := range 2000 {
		r := &Reservation{Account: b, Revoke: func() {}}
		r.Grow(size - i)
		all = append(all, r)
		c.Assert(held() <= limit+limit/100*maxReleasingPercent+size, qt.IsTrue, qt.Commentf("%d bytes are held after %d requests", held(), i))
	}
	newcomer := &Reservation{Account: b, Revoke: func() {}}
	c.Assert(newcomer.Grow(Uncounted+1), qt.IsFalse)
	// There is room again once those that were given up have noticed.
	for _, r := range all {
		if r.revoked {
			r.Release()
		}
	}
	c.Assert(newcomer.Grow(Uncounted+1), qt.IsTrue)
	for _, r := range append(all, newcomer) {
		r.Release()
	}
	c.Assert(b.used, qt.Equals, 0)
	c.Assert(b.releasing, qt.Equals, 0)
	c.Assert(b.holders, qt.HasLen, 0)
}

package retry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/routing/retry"
)

// Guards against retries that multiply an overload: in no window are there more than the share and the fixed number.
func TestWindow(t *testing.T) {
	c := qt.New(t)
	w := retry.Window{Length: 10 * time.Second, Share: 0.2, Extra: 5}
	now := time.Unix(1000, 0)
	var taken []time.Time
	for range 2000 {
		now = now.Add(25 * time.Millisecond)
		w.Request(now)
		if w.Retry(now) {
			taken = append(taken, now)
		}
	}
	c.Assert(len(taken) > 300, qt.IsTrue)
	for i, from := range taken {
		n := 0
		for _, at := range taken[i:] {
			if at.Sub(from) < 10*time.Second {
				n++
			}
		}
		// 400 requests lie in each window; one part more may be counted at its edge.
		c.Assert(n <= 5+80+4, qt.IsTrue, qt.Commentf("%d retries in a window", n))
	}
	now = now.Add(time.Minute)
	for range 5 {
		c.Assert(w.Retry(now), qt.IsTrue)
	}
	c.Assert(w.Retry(now), qt.IsFalse)
}

// Guards against a budget that grows with requests of long ago.
func TestWindowSlides(t *testing.T) {
	c := qt.New(t)
	w := retry.Window{Length: 10 * time.Second, Share: 0.2, Extra: 5}
	now := time.Unix(1000, 0)
	for range 200 {
		w.Request(now)
	}
	for range 15 {
		now = now.Add(time.Second)
		w.Request(now)
	}
	allowed := 0
	for w.Retry(now) {
		allowed++
	}
	c.Assert(allowed, qt.Equals, 7, qt.Commentf("10 requests within the window"))
}

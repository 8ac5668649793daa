package retry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/routing/retry"
)

// Guards against retries that amplify an overload: no window contains more retries than the share
// and the fixed number allow.
func TestWindow(t *testing.T) {
	c := qt.New(t)
	w := retry.WindowBudget{Length: 10 * time.Second, Share: 0.2, Extra: 5}
	now := time.Unix(1000, 0)
	var retries []time.Time
	for range 2000 {
		now = now.Add(25 * time.Millisecond)
		w.CountRequest(now)
		if w.AllowRetry(now) {
			retries = append(retries, now)
		}
	}
	c.Assert(len(retries) > 300, qt.IsTrue)
	for i, from := range retries {
		n := 0
		for _, at := range retries[i:] {
			if at.Sub(from) < 10*time.Second {
				n++
			}
		}
		// Each window contains 400 requests. One more bucket may be counted at its edge.
		c.Assert(n <= 5+80+4, qt.IsTrue, qt.Commentf("%d retries within a window", n))
	}
	now = now.Add(time.Minute)
	for range 5 {
		c.Assert(w.AllowRetry(now), qt.IsTrue)
	}
	c.Assert(w.AllowRetry(now), qt.IsFalse)
}

// Guards against a budget that counts requests from before the window.
func TestWindowSlides(t *testing.T) {
	c := qt.New(t)
	w := retry.WindowBudget{Length: 10 * time.Second, Share: 0.2, Extra: 5}
	now := time.Unix(1000, 0)
	for range 200 {
		w.CountRequest(now)
	}
	for range 15 {
		now = now.Add(time.Second)
		w.CountRequest(now)
	}
	allowed := 0
	for w.AllowRetry(now) {
		allowed++
	}
	c.Assert(allowed, qt.Equals, 7, qt.Commentf("10 requests within the window"))
}

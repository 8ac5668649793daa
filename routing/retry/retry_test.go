package retry_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/routing/retry"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// at returns the time that is the given number of seconds after start.
func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// Guards against retries above their share of the requests, and against a backoff that grows
// without limit or has no jitter.
func TestBudgetAndBackoff(t *testing.T) {
	b := retry.NewBudget(0.1, 5)
	allowed := 0
	for range 1000 {
		b.CountRequest()
		if b.AllowRetry() {
			allowed++
		}
	}
	qt.Assert(t, allowed >= 100 && allowed <= 105, qt.IsTrue, qt.Commentf("%d retries allowed", allowed))
	backoff := retry.Backoff{Base: 100 * time.Millisecond, Max: time.Second}
	qt.Assert(t, backoff.Delay(1, 0.5), qt.Equals, 50*time.Millisecond)
	qt.Assert(t, backoff.Delay(99, 0.5), qt.Equals, 500*time.Millisecond)
	qt.Assert(t, backoff.Delay(3, 0), qt.Equals, time.Duration(0))
}

// pool returns a pool of n servers with default settings, and the IDs of the servers.
func pool(n int) (*retry.Health, []string) {
	h := retry.NewHealth(retry.DefaultHealth())
	var ids []string
	for i := range n {
		ids = append(ids, fmt.Sprint("s", i))
	}
	h.SetServers(start, ids)
	return h, ids
}

// Guards against a circuit that never opens, never closes again, or lets more than one request pass
// while half-open.
func TestCircuit(t *testing.T) {
	h, _ := pool(10)
	// The fifth consecutive failure ejects the server for 5 s, and a failed trial for another 10 s.
	for i := range 5 {
		qt.Assert(t, h.Record(at(0), "s0", false), qt.Equals, i == 4)
	}
	qt.Assert(t, h.Allow(at(4), "s0"), qt.IsFalse)
	qt.Assert(t, h.Allow(at(5), "s0"), qt.IsTrue)
	qt.Assert(t, h.Allow(at(5), "s0"), qt.IsFalse)
	qt.Assert(t, h.Record(at(6), "s0", false), qt.IsTrue)
	qt.Assert(t, h.Circuit(at(15), "s0"), qt.Equals, retry.Open)
	qt.Assert(t, h.Allow(at(16), "s0"), qt.IsTrue)
	h.Record(at(16), "s0", true)
	qt.Assert(t, h.Circuit(at(16), "s0"), qt.Equals, retry.Closed)
	// The slow start takes 10 s.
	qt.Assert(t, h.Weight(at(16), "s0"), qt.Equals, 0.1)
	qt.Assert(t, h.Weight(at(26), "s0"), qt.Equals, 1.0)
}

// Guards against the ejection of a whole pool because of a fault that all servers share.
func TestEjectionIsCapped(t *testing.T) {
	h, ids := pool(10)
	for range 50 {
		for _, id := range ids {
			h.Record(at(1), id, false)
		}
	}
	// At most 30% of the servers may be ejected.
	qt.Assert(t, h.Ejected(), qt.HasLen, 3)
}

// Guards against ejections above the cap when several routers eject servers of a pool. It also
// guards against closing the circuit for the success of a request that was sent before the
// ejection, and against effects of earlier failures after a minute without an ejection or after a
// restart.
func TestEjectionBySeveralRouters(t *testing.T) {
	h, _ := pool(10)
	fail := func(now time.Time, id string) (ejected bool) {
		for range 5 {
			ejected = h.Record(now, id, false)
		}
		return ejected
	}
	h.SetOutOfServiceElsewhere(3)
	qt.Assert(t, fail(at(0), "s0"), qt.IsFalse)
	h.SetOutOfServiceElsewhere(2)
	qt.Assert(t, h.Record(at(0), "s0", false), qt.IsTrue)
	h.Record(at(6), "s0", true)
	qt.Assert(t, h.Circuit(at(6), "s0"), qt.Equals, retry.HalfOpen)
	h.Allow(at(6), "s0")
	h.Record(at(6), "s0", true)
	qt.Assert(t, h.Circuit(at(6), "s0"), qt.Equals, retry.Closed)
	// After a minute without an ejection, the next one is as short as the first one.
	h.Record(at(70), "s0", true)
	qt.Assert(t, fail(at(70), "s0"), qt.IsTrue)
	qt.Assert(t, h.Circuit(at(75), "s0"), qt.Equals, retry.HalfOpen)
	// A restarted server is no longer ejected for its earlier failures.
	h.RecordRestart(at(75), "s0")
	qt.Assert(t, h.Circuit(at(75), "s0"), qt.Equals, retry.Closed)
}

// Guards against the ejection of single servers while the whole pool is slow or fails, such as
// during an overload: the responses then do not show a fault of one server.
func TestPoolWideFaultsAreNotOutliers(t *testing.T) {
	p := retry.NewOutlierDetector(retry.DefaultOutlierSettings())
	for i := range 200 {
		p.RecordTokenGap(3 + 0.01*float64(i%3))
		p.RecordAttempt(false)
	}
	qt.Assert(t, p.RecordTokenGap(8), qt.IsFalse)
	qt.Assert(t, p.RecordTokenGap(12), qt.IsTrue)
	qt.Assert(t, p.RecordAttempt(true), qt.IsTrue)
	outliers := 0
	for range 200 {
		p.RecordTokenGap(12)
		if p.RecordAttempt(true) {
			outliers++
		}
	}
	qt.Assert(t, p.RecordTokenGap(12), qt.IsFalse)
	qt.Assert(t, outliers < 20, qt.IsTrue, qt.Commentf("%d outliers", outliers))
}

// Guards against a concurrency limit that decreases because some kinds of requests take longer than
// others. Without smoothing the limit does decrease, which shows that the test can fail.
func TestConcurrencyOfMixedRequests(t *testing.T) {
	limit := func(smoothing float64) float64 {
		s := retry.DefaultConcurrency()
		s.Smoothing, s.DelayTolerance = smoothing, 4
		c := retry.NewConcurrencyLimit(s, 20)
		for i := range 2000 {
			c.Acquire(0)
			delay := 0.002
			if i%10 == 0 {
				delay = 0.05
			}
			c.Release(at(float64(i)+delay), at(float64(i)), true)
		}
		return c.Limit()
	}
	qt.Assert(t, limit(1.0/32), qt.Equals, 20.0)
	qt.Assert(t, limit(1) < 5, qt.IsTrue)
}

// Guards against a limit that does not decrease when the delay grows, and against refusing an
// urgent request before a less urgent one.
func TestConcurrencyFollowsDelay(t *testing.T) {
	c := retry.NewConcurrencyLimit(retry.DefaultConcurrency(), 20)
	for i := range 300 {
		c.Acquire(0)
		c.Release(at(float64(i)+0.1), at(float64(i)), true)
	}
	qt.Assert(t, c.Limit(), qt.Equals, 20.0)
	for range 10 {
		c.Acquire(0)
	}
	for i := range 60 {
		c.Acquire(0)
		c.Release(at(400+float64(i)+0.5), at(400+float64(i)), true)
	}
	qt.Assert(t, c.Limit() < 11, qt.IsTrue, qt.Commentf("limit %v", c.Limit()))
	// Of the limit of 10, batch requests (class 2) may use 8, normal ones (1) 9, and urgent ones
	// (0) all.
	c = retry.NewConcurrencyLimit(retry.DefaultConcurrency(), 10)
	for range 8 {
		c.Acquire(2)
	}
	qt.Assert(t, c.Acquire(2), qt.IsFalse)
	qt.Assert(t, c.Acquire(1), qt.IsTrue)
	qt.Assert(t, c.Acquire(1), qt.IsFalse)
	qt.Assert(t, c.Acquire(0), qt.IsTrue)
	qt.Assert(t, c.Acquire(0), qt.IsFalse)
}

// overload simulates a server with 10 slots and 100 ms of work per request, clients that time out
// after 1 s and retry up to 8 times, and an arrival rate that doubles for 10 s. It returns the
// goodput in requests per second in the 10 s that begin 30 s after the arrival rate has returned to
// normal.
func overload(budget *retry.Budget, limit *retry.ConcurrencyLimit) float64 {
	type job struct{ sent, retries int }
	var queue []job
	inTime := 0
	// One tick is 100 ms: the server finishes up to 10 requests in each.
	for tick := range 600 {
		arrivals := 8
		if tick >= 100 && tick < 200 {
			arrivals = 16
		}
		accept := func(j job) {
			if limit == nil || limit.Acquire(1) {
				queue = append(queue, j)
			}
		}
		for range arrivals {
			if budget != nil {
				budget.CountRequest()
			}
			accept(job{sent: tick})
		}
		now := start.Add(time.Duration(tick) * 100 * time.Millisecond)
		for range min(10, len(queue)) {
			j := queue[0]
			queue = queue[1:]
			late := tick-j.sent > 10
			if limit != nil {
				limit.Release(now, now.Add(-time.Duration(tick-j.sent+1)*100*time.Millisecond), !late)
			}
			switch {
			case !late && tick >= 500:
				inTime++
			case late && j.retries < 8 && (budget == nil || budget.AllowRetry()):
				accept(job{sent: tick, retries: j.retries + 1})
			}
		}
	}
	return float64(inTime) / 10
}

// Guards against retries that keep a service overloaded after the arrival rate has returned to
// normal. With a retry budget and a concurrency limit, the goodput returns to 80 requests per
// second. Without them the same simulation stays overloaded, which shows that the test can fail.
func TestGoodputReturnsAfterOverload(t *testing.T) {
	with := overload(retry.NewBudget(0.1, 10), retry.NewConcurrencyLimit(retry.DefaultConcurrency(), 20))
	qt.Assert(t, with >= 0.95*80, qt.IsTrue, qt.Commentf("goodput %v with budget and limit", with))
	without := overload(nil, nil)
	qt.Assert(t, without < 0.5*80, qt.IsTrue, qt.Commentf("goodput %v without budget and limit", without))
}

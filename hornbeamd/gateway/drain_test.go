package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against accepting a request that the router may have to abort although its client could
// have been sent to another router, and against rejecting one that ends in time.
func TestDrainPlan(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	plan := DrainPlan{LeftAt: at(3), RejectAt: at(4.4), CloseAt: at(7.6)}
	for name, test := range map[string]struct {
		now, deadline time.Time
		accepted      bool
	}{
		"address cached, long":            {at(2.9), at(17.9), true},
		"address cached, no deadline":     {at(2.9), time.Time{}, true},
		"address expired, short":          {at(3), at(4), true},
		"address expired, long":           {at(3), at(18), false},
		"address expired, no deadline":    {at(3), time.Time{}, false},
		"address expired, ends too late":  {at(4), at(7.6), false},
		"late in the grace period, short": {at(4.4), at(5), false},
	} {
		t.Run(name, func(t *testing.T) {
			qt.New(t).Assert(plan.accepts(test.now, test.deadline), qt.Equals, test.accepted)
		})
	}
}

// Guards against sending a request to a server whose connection net/http closes as idle, at the early
// end of a shutdown.
func TestRejectAll(t *testing.T) {
	c := qt.New(t)
	s := &Server{}
	s.Init()
	now := time.Now()
	s.Drain(DrainPlan{LeftAt: now.Add(-time.Second), RejectAt: now.Add(time.Hour), CloseAt: now.Add(2 * time.Hour)})
	request := &clientRequest{server: s, deadline: now.Add(time.Second)}
	c.Assert(request.isTooLate(), qt.IsFalse)
	s.RejectAll(now)
	c.Assert(request.isTooLate(), qt.IsTrue)
}

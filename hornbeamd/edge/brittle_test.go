package edge_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/platform/standin"
)

// Guards against brittle servers that fail because several routers together send them more than they can
// run, and against rejections while they have room; of two servers, two may fail.
func TestBrittleServers(t *testing.T) {
	const work, slots, contact, d = 40 * time.Millisecond, 8, 3 * time.Second, 5 * time.Second
	for name, test := range map[string]struct {
		interval      time.Duration
		maxRejections int
	}{
		"room for all":                        {15 * time.Millisecond, 5},
		"twice as much as they can run":       {4 * time.Millisecond, 5},
		"twice as much, no rejection allowed": {4 * time.Millisecond, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := newTestPlatform(c, 3)
			servers := []*standin.Server{p.servers["plain-0"], p.servers["plain-1"]}
			for _, s := range servers {
				s.OnStart = func(standin.Run) { time.Sleep(work) }
				s.SetBrittle(slots, test.maxRejections, contact)
			}
			p.sendToAll("/again/x", 10*time.Millisecond, contact-time.Second)
			p.sendToAll("/again/x", test.interval, time.Second)
			since := time.Now()
			responses := p.sendToAll("/again/x", test.interval, d)
			served := 0
			for _, r := range responses {
				if r.Status == 200 {
					served++
				}
			}
			failed := 0
			for _, s := range servers {
				rejections, failures := s.Failures()
				t.Logf("%s rejected %d and failed %d times", s.ID, rejections, failures)
				failed += failures
			}
			c.Check(failed <= 2, qt.IsTrue, qt.Commentf("servers failed %d times", failed))
			possible := min(float64(len(responses)), time.Since(since).Seconds()*float64(slots*len(servers))/work.Seconds())
			c.Check(float64(served) >= 0.6*possible, qt.IsTrue, qt.Commentf("%d of %.0f possible served", served, possible))
		})
	}
}

// Guards against slots that stay taken after callers have left, servers have broken off, or responses have
// failed.
func TestSlotsOfFailedRequestsAreReleased(t *testing.T) {
	const slots, contact = 8, time.Second
	c := qt.New(t)
	p := newTestPlatform(c, 3)
	servers := []*standin.Server{p.servers["plain-0"], p.servers["plain-1"]}
	for _, s := range servers {
		s.OnStart = func(standin.Run) { time.Sleep(50 * time.Millisecond) }
		s.SetBrittle(slots, 5, contact)
	}
	p.sendToAll("/again/x", 50*time.Millisecond, contact)
	for _, fault := range []standin.Fault{standin.Fail, standin.DropResponse, standin.TruncateResponse, standin.Hang} {
		for _, s := range servers {
			s.SetFault(fault)
		}
		for i := range 10 * slots {
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
			_, _ = standin.Do(ctx, standin.Request{Address: p.frontAddr(i % 3), Path: "/again/x", Key: "key", Body: "body", Attempt: p.nextAttempt()})
			cancel()
		}
	}
	for _, s := range servers {
		s.SetFault(standin.NoFault)
	}
	time.Sleep(5 * time.Second)
	for _, r := range p.sendToAll("/again/x", 25*time.Millisecond, 2*time.Second) {
		c.Assert(r.Status, qt.Equals, 200, qt.Commentf("%v", r))
	}
	for _, s := range servers {
		rejections, failures := s.Failures()
		c.Check(rejections <= 1 && failures == 0, qt.IsTrue, qt.Commentf("%s rejected %d requests and failed %d times", s.ID, rejections, failures))
	}
}

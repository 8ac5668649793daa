package edge_test

import (
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/platform/standin"
)

// sendToAll sends a request to each of the routers at an interval, each without waiting for the one
// before, and returns the responses.
func (p *testPlatform) sendToAll(path string, interval, d time.Duration) []standin.Response {
	var mu sync.Mutex
	var responses []standin.Response
	var wait sync.WaitGroup
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(interval) {
		for i := range p.ips {
			wait.Go(func() {
				r := p.send(i, path)
				mu.Lock()
				defer mu.Unlock()
				responses = append(responses, r)
			})
		}
	}
	wait.Wait()
	return responses
}

// busiestWindow returns the greatest number of requests that arrived at a server within a window.
func busiestWindow(s *standin.Server, since time.Time, window time.Duration) int {
	arrivals := slices.DeleteFunc(s.Arrivals(), func(at time.Time) bool { return at.Before(since) })
	busiest := 0
	for i, at := range arrivals {
		end, _ := slices.BinarySearchFunc(arrivals, at.Add(window), time.Time.Compare)
		busiest = max(busiest, end-i)
	}
	return busiest
}

// Guards against a server that gets more requests from all routers together than it states.
func TestServerLimit(t *testing.T) {
	const limit, window = 6, 4 * time.Second
	const allowed = limit*3/2*4 + 5
	c := qt.New(t)
	p := newTestPlatform(c, 3)
	first, second := p.servers["plain-0"], p.servers["plain-1"]

	first.SetLimit(strconv.Itoa(limit))
	p.sendToAll("/again/x", 50*time.Millisecond, time.Second)
	since := time.Now()
	for _, r := range p.sendToAll("/again/x", 50*time.Millisecond, window+time.Second) {
		c.Assert(r.Status, qt.Equals, 200, qt.Commentf("%v", r))
	}
	got := busiestWindow(first, since, window)
	c.Check(got <= allowed && got >= limit*4*3/4, qt.IsTrue, qt.Commentf("one server limited: it got %d in %s", got, window))

	second.SetLimit(strconv.Itoa(limit))
	p.sendToAll("/again/x", 50*time.Millisecond, time.Second)
	since = time.Now()
	served, rejected := 0, 0
	for _, r := range p.sendToAll("/again/x", 50*time.Millisecond, window) {
		switch r.Status {
		case 200:
			served++
		case 503:
			rejected++
			c.Check(r.RetryAfter, qt.Not(qt.Equals), "")
		default:
			c.Errorf("unexpected response %v", r)
		}
	}
	for _, s := range []*standin.Server{first, second} {
		got := busiestWindow(s, since, window)
		c.Check(got <= allowed, qt.IsTrue, qt.Commentf("all servers limited: %s got %d in %s", s.ID, got, window))
	}
	c.Check(served >= 2*limit*4*3/4 && rejected > 0, qt.IsTrue, qt.Commentf("all servers limited: %d served, %d rejected", served, rejected))

	first.SetLimit("")
	second.SetLimit("")
	p.sendToAll("/again/x", 100*time.Millisecond, 2*time.Second)
	for _, r := range p.sendToAll("/again/x", 50*time.Millisecond, time.Second) {
		c.Assert(r.Status, qt.Equals, 200, qt.Commentf("no server is limited any more"))
	}
}

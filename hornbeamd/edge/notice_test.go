package edge_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/platform/standin"
)

// Guards against requests to a backend server that states in its answers that it is leaving, while
// its entry in the store still says that it is ready: from the router that passed on the answer,
// and from the others that only hear of it. drain_ms is 2 s.
func TestLeavingServer(t *testing.T) {
	const drainTimeout = 2 * time.Second
	c := qt.New(t)
	p := newTestPlatform(c, 2)
	p.servers["plain-0"].SetLeaving(true)
	until := time.Now().Add(drainTimeout)
	for time.Now().Before(until) {
		c.Assert(p.send(0, "/once/x").Status, qt.Equals, 200)
	}
	before := len(p.servers["plain-0"].Arrivals())
	for range 40 {
		c.Assert(p.send(0, "/once/x").Status, qt.Equals, 200)
		c.Assert(p.send(1, "/once/x").Status, qt.Equals, 200)
	}
	c.Assert(len(p.servers["plain-0"].Arrivals()), qt.Equals, before)
}

// Guards against requests to a backend server within the time for which it wants none. From half a
// second after the answer until the end of that time, a router may send at most two. If all servers
// want none, callers are refused at once and told when to come back.
func TestRetryAfterOfServer(t *testing.T) {
	const wanted = 3 * time.Second
	c := qt.New(t)
	p := newTestPlatform(c, 1)
	p.setFault("plain", standin.Shed)
	for id, s := range p.servers {
		if s.Service == "plain" {
			s.SetRetryAfter("3")
			c.Logf("%s rejects requests for %s", id, wanted)
		}
	}
	first := p.send(0, "/again/x")
	c.Assert(first.Status, qt.Equals, 503)
	rejectedAt := time.Now()
	for time.Since(rejectedAt) < wanted-500*time.Millisecond {
		sentAt := time.Now()
		response := p.send(0, "/again/x")
		c.Assert(response.Status, qt.Equals, 503)
		c.Assert(response.RetryAfter, qt.Not(qt.Equals), "")
		c.Assert(time.Since(sentAt) < time.Second, qt.IsTrue, qt.Commentf("refused at once"))
		time.Sleep(20 * time.Millisecond)
	}
	p.setFault("plain", standin.NoFault)
	for id, s := range p.servers {
		late := 0
		for _, at := range s.Arrivals() {
			if at.After(rejectedAt.Add(500*time.Millisecond)) && at.Before(rejectedAt.Add(wanted)) {
				late++
			}
		}
		c.Check(late <= 2, qt.IsTrue, qt.Commentf("%d requests to %s within its time", late, id))
	}
	p.waitFor(func() bool { return p.send(0, "/again/x").Status == 200 })
}

// Guards against a fleet that holds on to the history of a store that was restored from a copy some
// seconds old. The copy has an older configuration with a key that was revoked since, lists a
// server that drains as ready, and lacks a server that registered since. What is written after the
// restore has lower revisions than what the routers have seen.
func TestRestoredStore(t *testing.T) {
	c := qt.New(t)
	p := newTestPlatform(c, 3)
	draining, late := p.servers["plain-0"], standin.NewServer("plain-9", "plain")
	c.Cleanup(late.CloseClientConnections)
	p.servers[late.ID] = late
	backup := p.store.Backup()
	p.store.Put("config", "main", standin.Config(9, "key"))
	p.store.Put("servers", draining.ID, draining.Entry("draining"))
	p.store.Put("servers", late.ID, late.Entry("ready"))
	for range 50 {
		p.store.Put("servers", "pool-2", p.servers["pool-2"].Entry("ready"))
	}
	isRevoked := func(i int) bool {
		return p.sendRequest(standin.Request{Address: p.frontAddr(i), Path: "/once/x", Key: "revoked"}).Status == 401
	}
	for i := range 3 {
		p.waitFor(func() bool { return isRevoked(i) })
	}
	p.waitFor(func() bool { return p.send(0, "/once/x").Body == "body by plain-9" })
	time.Sleep(2 * time.Second)
	drained := len(draining.Arrivals())
	for restore := range 2 {
		p.store.Restore(backup)
		for range 40 {
			for i := range 3 {
				c.Assert(isRevoked(i), qt.IsTrue, qt.Commentf("restore %d: revoked key at router %d", restore, i))
				c.Assert(p.send(i, "/once/x").Status, qt.Equals, 200)
			}
		}
		p.store.Put("servers", late.ID, late.Entry("ready"))
	}
	c.Assert(len(draining.Arrivals()), qt.Equals, drained, qt.Commentf("requests to the draining server"))
	// The revision of this configuration is lower than that of the previous one.
	p.store.Put("config", "main", standin.Config(11, "key", "added"))
	for i := range 3 {
		p.waitFor(func() bool {
			return p.sendRequest(standin.Request{Address: p.frontAddr(i), Path: "/once/x", Key: "added"}).Status == 200
		})
	}
	p.waitFor(func() bool { return p.send(0, "/once/x").Body == "body by plain-9" })
	// The routers registered after the backup of the first era, or register again.
	p.waitFor(func() bool { return len(p.store.Names("routers")) == 3 })
}

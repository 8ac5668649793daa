package edge_test

import (
	"maps"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/platform/standin"
)

// signal sends a signal to the processes of routers.
func (p *testPlatform) signal(s syscall.Signal, routers ...int) {
	for _, i := range routers {
		p.c.Assert(p.routers[i].process.Process.Signal(s), qt.IsNil)
	}
}

// Guards against a stream that changes its version at a router that was paused while servers of a new version joined.
func TestStreamKeepsVersionAtRouterThatMissedIt(t *testing.T) {
	for name, test := range map[string]struct {
		// storeAnswers and routersAnswer say whether the router reaches the store and the other routers when it wakes.
		storeAnswers, routersAnswer bool
	}{
		"no store, no routers": {false, false},
		"store, no routers":    {true, false},
		"no store, routers":    {false, true},
		"store and routers":    {true, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := newTestPlatform(c, 3)
			const paused = 2
			p.addPoolServers("v1")
			p.signal(syscall.SIGSTOP, paused)
			p.joinPoolServers("v2")
			streams := map[string]string{}
			for range 12 {
				attempt, version, cancel := p.begin(0)
				defer cancel()
				streams[attempt] = version
			}
			if !test.storeAnswers {
				p.store.SetUnresponsive(p.ips[paused])
			}
			if !test.routersAnswer {
				p.signal(syscall.SIGSTOP, 0, 1)
			}
			p.resumeAll(paused, streams)
			p.signal(syscall.SIGCONT, 0, 1)
		})
	}
}

// resumeAll resumes streams at a router that is paused, continues it, and checks that none has changed its version.
func (p *testPlatform) resumeAll(paused int, streams map[string]string) {
	var wg sync.WaitGroup
	for stream, began := range streams {
		wg.Go(func() {
			response, version := p.resumeOnce(paused, stream)
			if response.Status != 200 {
				p.c.Check(response.Status, qt.Equals, 503)
				return
			}
			p.c.Check(version, qt.Equals, began)
		})
	}
	p.signal(syscall.SIGCONT, paused)
	wg.Wait()
}

// Guards against a stream that begins at a version which the history lacks, and is resumed at another one.
func TestNoStreamBeginsAtUnrecordedVersion(t *testing.T) {
	c := qt.New(t)
	p := newTestPlatform(c, 3)
	const paused = 2
	p.addPoolServers("v1")
	p.signal(syscall.SIGSTOP, paused)
	p.store.RefuseWrites(true)
	former := maps.Clone(p.servers)
	p.addPoolServers("v2")
	// The former servers go on serving.
	maps.Copy(p.servers, former)
	c.Assert(p.send(0, "/stream/x").Status, qt.Equals, 200)
	streams := map[string]string{}
	for range 4 {
		attempt := p.nextAttempt()
		response, err := standin.Do(c.Context(), standin.Request{Address: p.frontAddr(0), Path: streamPath, Key: "key", Attempt: attempt})
		c.Assert(err, qt.IsNil)
		if response.Status != 200 {
			c.Check(response.Status, qt.Equals, 503)
			continue
		}
		streams[attempt] = p.versionOf(attempt)
	}
	p.signal(syscall.SIGSTOP, 0, 1)
	p.resumeAll(paused, streams)
	p.signal(syscall.SIGCONT, 0, 1)
	p.store.RefuseWrites(false)
	p.waitFor(func() bool {
		return p.sendRequest(standin.Request{Address: p.frontAddr(0), Path: streamPath, Key: "key"}).Status == 200
	})
}

// Guards against a stream that changes its version at a router which has not heard that the servers have restarted with another one.
func TestStreamKeepsVersionAfterRestartOfServers(t *testing.T) {
	if os.Getenv("KNOWN_RED") == "" {
		t.Skip("listed in KNOWN-RED.txt; set KNOWN_RED=1 to run it")
	}
	for name, isStoreReachable := range map[string]bool{"cut off": false, "store answers": true} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := newTestPlatform(c, 3)
			const paused = 2
			p.addPoolServers("v1")
			streams := map[string]string{}
			for range 12 {
				attempt, version, cancel := p.begin(paused)
				defer cancel()
				streams[attempt] = version
			}
			p.signal(syscall.SIGSTOP, paused)
			if !isStoreReachable {
				p.store.SetUnresponsive(p.ips[paused])
			}
			for _, s := range p.servers {
				if s.Service == "pool" {
					s.CloseClientConnections()
					s.Version = "v2"
					p.store.Put("servers", s.ID, s.Entry("ready"))
				}
			}
			time.Sleep(time.Second)
			p.signal(syscall.SIGSTOP, 0, 1)
			defer p.signal(syscall.SIGCONT, 0, 1)
			p.resumeAll(paused, streams)
		})
	}
}

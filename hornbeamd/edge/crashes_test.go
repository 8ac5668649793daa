package edge_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/platform/standin"
)

// replacePlainServers replaces the servers of the service "plain" by eight that crash on any
// request.
func (p *testPlatform) replacePlainServers() {
	for _, id := range []string{"plain-0", "plain-1"} {
		p.store.Delete("servers", id)
	}
	for i := range 8 {
		p.addPlainServer(fmt.Sprint("plain-crash-", i), standin.Crash)
	}
	time.Sleep(time.Second)
}

// addPlainServer adds a server to the service "plain".
func (p *testPlatform) addPlainServer(id string, fault standin.Fault) {
	s := standin.NewServer(id, "plain")
	p.c.Cleanup(s.CloseClientConnections)
	s.SetFault(fault)
	p.servers[s.ID] = s
	p.store.Put("servers", s.ID, s.Entry("ready"))
}

// Guards against a request that crashes one backend server after another because its caller retries
// it at other routers. It must be rejected with status 503 after it has crashed three servers.
func TestCrashingRequest(t *testing.T) {
	c := qt.New(t)
	p := newTestPlatform(c, 3)
	p.replacePlainServers()
	for i := range 8 {
		p.send(i%3, "/once/poison")
		time.Sleep(600 * time.Millisecond)
	}
	c.Assert(p.runs("plain-crash"), qt.HasLen, 3)
	c.Assert(p.send(0, "/once/poison").Status, qt.Equals, 503)
}

// Guards against a request that crashes three more servers at each router that restarts.
func TestCrashingRequestAfterRestart(t *testing.T) {
	c := qt.New(t)
	p := newTestPlatform(c, 3)
	p.replacePlainServers()
	p.waitFor(func() bool { return p.send(0, "/once/poison").Status == 503 })
	time.Sleep(3 * time.Second)
	p.addPlainServer("plain-sound", standin.NoFault)
	p.restart(1)
	time.Sleep(2 * time.Second)
	for i := range 3 {
		c.Assert(p.send(i, "/once/poison").Status, qt.Equals, 503)
	}
}

// Guards against requests that crash one backend server after another because no two of them are
// alike and only a part of their prompts is the same. All routers must reject them, and no others.
func TestCrashingPromptPart(t *testing.T) {
	c := qt.New(t)
	p := newTestPlatform(c, 3)
	p.replacePlainServers()
	number := 0
	send := func(i int, path, parts string) standin.Response {
		number++
		return p.sendRequest(standin.Request{
			Address: p.frontAddr(i), Path: path, Key: "key", Body: fmt.Sprint("body ", number), PromptPrefix: fmt.Sprintf("%s,%x:10", parts, number),
		})
	}
	for i := range 8 {
		send(i%3, "/once/x", "a1:800,bad:100")
		for range 3 {
			c.Assert(send(i%3, "/stream/x", "a1:800,c3:100").Status, qt.Equals, 200)
		}
		time.Sleep(600 * time.Millisecond)
	}
	crashes := len(p.runs("plain-crash"))
	c.Assert(crashes >= 3 && crashes <= 5, qt.IsTrue, qt.Commentf("%d crashes", crashes))
	for i := range 3 {
		c.Assert(send(i, "/stream/x", "b2:700,bad:100").Status, qt.Equals, 503)
		c.Assert(send(i, "/stream/x", "a1:800,c3:100").Status, qt.Equals, 200)
	}
}

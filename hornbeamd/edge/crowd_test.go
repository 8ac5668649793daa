//go:build crowd

// These tests measure the memory of a process. CI runs them one at a time and apart from other load.

package edge_test

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/platform/standin"
)

// The limits that the settings of the router state.
const (
	crowdMemoryMB = 96
	crowdMaxFDs   = 600
	// crowdSettle is the time between the last byte of a crowd and the measurement.
	crowdSettle = time.Second
)

// newCrowdPlatform starts a platform with one router that has little memory and few descriptors, and a
// configuration with the limits on requests that operators use.
func newCrowdPlatform(c *qt.C) *testPlatform {
	p := newTestPlatformWith(c, 1, func(p *testPlatform) {
		p.memoryMB, p.maxFDs = crowdMemoryMB, crowdMaxFDs
		config := strings.Replace(standin.Config(3, "key"), `"max_body_bytes":100000`,
			`"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000`, 1)
		p.store.Put("config", "main", config)
	})
	return p
}

// checkLimits checks that the router lives within its limits and answers an ordinary request.
func (p *testPlatform) checkLimits(when string) {
	p.c.Helper()
	p.sendOrdinary()
	// Until then the router reads what the sockets hold.
	time.Sleep(crowdSettle)
	p.sendOrdinary()
	select {
	case err := <-p.routers[0].done:
		p.c.Fatalf("%s: the router has ended: %v", when, err)
	default:
	}
	usage, err := standin.UsageOf(p.routers[0].process.Process.Pid)
	p.c.Assert(err, qt.IsNil)
	p.c.Logf("%s: at most %d MB resident, %d descriptors", when, usage.PeakMB, usage.Descriptors)
	p.c.Check(usage.PeakMB <= crowdMemoryMB, qt.IsTrue, qt.Commentf("%s: %d MB were resident", when, usage.PeakMB))
	p.c.Check(usage.Descriptors <= crowdMaxFDs, qt.IsTrue, qt.Commentf("%s: %d descriptors are open", when, usage.Descriptors))
}

// sendOrdinary sends an ordinary request until it is answered.
func (p *testPlatform) sendOrdinary() {
	p.c.Helper()
	body := strings.Repeat("x", 12_000)
	p.waitFor(func() bool {
		return p.sendRequest(standin.Request{Address: p.frontAddr(0), Path: "/once/x", Key: "key", Body: body}).Status == 200
	})
}

// Guards against clients that end a router, make it exceed its memory or its descriptors, or keep it from
// answering others.
func TestCrowd(t *testing.T) {
	const (
		head   = "POST /once/x HTTP/1.1\r\nHost: " + standin.Host + "\r\nAttempt-Id: a1\r\nApi-Key: key\r\n"
		mib    = 1 << 20
		almost = 2000
	)
	headers := map[string]string{"short lines": standin.ShortLines(), "odd names": standin.OddNames()}
	crowds := map[string]standin.Crowd{
		"uploads that stop short of their end": {Size: 60, Send: standin.SendUpload(head, 4*mib, almost)},
		"whole uploads":                        {Size: 60, Send: standin.SendUpload(head, 4*mib, 0)},
		"uploads in chunks of one byte":        {Size: 100, Send: standin.SendChunks(head, mib)},
		"heads over the limit":                 {Size: 500, Send: standin.SendText(head + strings.Repeat("a:\r\n", mib/4))},
		"one line over the limit":              {Size: 500, Send: standin.SendText(head + "a: " + strings.Repeat("x", mib))},
		"empty lines":                          {Size: 500, Send: standin.SendText(strings.Repeat("\r\n", mib/2))},
		"nothing":                              {Size: 900, Send: standin.SendText("")},
	}
	for name, lines := range headers {
		crowds[name+" that do not end"] = standin.Crowd{Size: 500, Send: standin.SendText(head + lines)}
		crowds[name+", and a body that stops short"] = standin.Crowd{Size: 500, Send: standin.SendUpload(head+lines, 10, 1)}
		crowds[name+", and an upload that stops short"] = standin.Crowd{Size: 100, Send: standin.SendUpload(head+lines, mib, almost)}
	}
	for name, crowd := range crowds {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := newCrowdPlatform(c)
			crowd.Address = p.frontAddr(0)
			closeAll := crowd.Run()
			p.checkLimits("with the crowd")
			closeAll()
			p.checkLimits("after the crowd")
		})
	}
}

// Guards against clients that end a router through a listener that is not for requests.
func TestCrowdAtOtherListeners(t *testing.T) {
	for name, port := range map[string]func(p *testPlatform) int{
		"readiness": func(p *testPlatform) int { return p.ports[1] },
		"control":   func(p *testPlatform) int { return p.ports[2] },
		"directory": func(p *testPlatform) int { return p.ports[3] },
		"relay":     func(p *testPlatform) int { return p.ports[4] },
		"metrics":   func(p *testPlatform) int { return p.metricsPort },
	} {
		for kind, send := range map[string]func(io.Writer) error{
			"short lines":     standin.SendText("GET /readyz HTTP/1.1\r\nHost: h\r\n" + standin.ShortLines()),
			"odd names":       standin.SendText("GET /readyz HTTP/1.1\r\nHost: h\r\n" + standin.OddNames()),
			"uploads":         standin.SendUpload("POST /readyz HTTP/1.1\r\nHost: h\r\n", 4<<20, 2000),
			"nothing at all":  standin.SendText(""),
			"a relayed crowd": standin.SendUpload("POST /once/x HTTP/1.1\r\nHost: "+standin.Host+"\r\nAttempt-Id: a1\r\nApi-Key: key\r\nHornbeam-Relayed-By: r9\r\nHornbeam-Service: plain\r\n", 4<<20, 2000),
		} {
			if kind == "a relayed crowd" && name != "relay" {
				continue
			}
			t.Run(name+", "+kind, func(t *testing.T) {
				c := qt.New(t)
				p := newCrowdPlatform(c)
				size := 500
				if kind == "nothing at all" {
					size = 900
				}
				if kind == "uploads" || kind == "a relayed crowd" {
					size = 60
				}
				closeAll := standin.Crowd{Address: fmt.Sprintf("%s:%d", p.ips[0], port(p)), Size: size, Send: send}.Run()
				p.checkLimits("with the crowd")
				closeAll()
				p.checkLimits("after the crowd")
			})
		}
	}
}

// Guards against a limit that refuses a single request inside the configured limits.
func TestLegalRequestsInCalm(t *testing.T) {
	c := qt.New(t)
	p := newCrowdPlatform(c)
	for name, request := range map[string]struct {
		lines string
		body  int
	}{
		"short lines":     {standin.ShortLines(), 10},
		"odd names":       {standin.OddNames(), 10},
		"largest body":    {"", 4 << 20},
		"lines and body":  {standin.ShortLines(), 4 << 20},
		"ordinary":        {"", 12_000},
		"names, and body": {standin.OddNames(), 4 << 20},
	} {
		for range 3 {
			response, err := standin.SendRaw(p.frontAddr(0), fmt.Sprintf("POST /once/x HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nApi-Key: key\r\nConnection: close\r\n%sContent-Length: %d\r\n\r\n%s",
				standin.Host, p.nextAttempt(), request.lines, request.body, strings.Repeat("x", request.body)))
			c.Assert(err, qt.IsNil, qt.Commentf("%s", name))
			c.Assert(response, qt.Equals, 200, qt.Commentf("%s", name))
		}
	}
}

package edge_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/platform/standin"
)

// Guards against a request whose body arrives late in a graceful shutdown and that is then sent to a
// backend server, although it can't be answered by the end of the grace period.
func TestShutdownRejectsLateBody(t *testing.T) {
	c := qt.New(t)
	p := newTestPlatform(c, 1)
	p.setFault("plain", standin.Hang)
	conn, err := net.Dial("tcp", p.frontAddr(0))
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { conn.Close() })
	c.Assert(p.routers[0].process.Process.Signal(syscall.SIGTERM), qt.IsNil)
	stoppedAt := time.Now()
	_, err = fmt.Fprintf(conn, "POST /once/x HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nApi-Key: key\r\nContent-Length: 4\r\n\r\nbo", standin.Host, p.nextAttempt())
	c.Assert(err, qt.IsNil)
	// The router rejects all requests that arrive after 2.2 s of the grace period of 4 s.
	time.Sleep(time.Until(stoppedAt.Add(2600 * time.Millisecond)))
	_, err = io.WriteString(conn, "dy")
	c.Assert(err, qt.IsNil)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(response.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
	c.Assert(p.runs("plain"), qt.HasLen, 0)
	c.Assert(<-p.routers[0].done, qt.IsNil)
}

// Guards against a request that a backend server rejects late in a graceful shutdown and that is then
// sent to another one, although it can't be answered by the end of the grace period.
func TestShutdownRejectsLateRetry(t *testing.T) {
	c := qt.New(t)
	p := newTestPlatform(c, 1)
	p.setFault("plain", standin.Shed)
	for _, s := range p.servers {
		s.SetSilence(2700 * time.Millisecond)
	}
	c.Assert(p.routers[0].process.Process.Signal(syscall.SIGTERM), qt.IsNil)
	rejected := make(chan standin.Response, 1)
	go func() { rejected <- p.send(0, "/once/x") }()
	arrivals := func() (n int) {
		for _, s := range p.servers {
			n += len(s.Arrivals())
		}
		return n
	}
	p.waitFor(func() bool { return arrivals() == 1 })
	p.setFault("plain", standin.Hang)
	response := <-rejected
	c.Assert(response.Err, qt.IsNil)
	c.Assert(response.Status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(response.RetryAfter, qt.Not(qt.Equals), "")
	c.Assert(arrivals(), qt.Equals, 1)
	c.Assert(<-p.routers[0].done, qt.IsNil)
}

// Guards against a request that was sent to a backend server and whose connection a graceful
// shutdown closes without a response.
func TestShutdownAnswersUnfinishedRequests(t *testing.T) {
	for name, test := range map[string]struct {
		path    string
		maxRuns int
	}{
		"at most once": {"/once/x", 1},
		"repeatable":   {"/again/x", 2},
		"stream":       {"/stream/x", 1},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := newTestPlatform(c, 1)
			p.setFault("p", standin.Hang)
			c.Assert(p.routers[0].process.Process.Signal(syscall.SIGTERM), qt.IsNil)
			// The timeout of the route ends after the grace period of 4 s.
			time.Sleep(500 * time.Millisecond)
			response := p.send(0, test.path)
			c.Assert(response.Err, qt.IsNil)
			c.Assert(response.Status, qt.Equals, http.StatusGatewayTimeout)
			runs := len(p.runs("p"))
			c.Assert(runs >= 1 && runs <= test.maxRuns, qt.IsTrue, qt.Commentf("%d runs", runs))
			c.Assert(<-p.routers[0].done, qt.IsNil)
		})
	}
}

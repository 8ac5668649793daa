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

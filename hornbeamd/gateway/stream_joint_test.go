package gateway

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// dialSlowly connects to a gateway with small buffers and packets, and sends a request for a stream.
func dialSlowly(c *qt.C, url string) net.Conn {
	const receiveBuffer, packet = 8 << 10, 1400
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var setErr error
		err := raw.Control(func(fd uintptr) {
			setErr = errors.Join(
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer),
				syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, packet))
		})
		return errors.Join(err, setErr)
	}}
	conn, err := dialer.Dial("tcp", strings.TrimPrefix(url, "http://"))
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { conn.Close() })
	_, err = fmt.Fprintf(conn, "POST /stream/ HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\nContent-Length: 4\r\n\r\nbody")
	c.Assert(err, qt.IsNil)
	return conn
}

// largeEvent returns an event of a run, of which many exceed the buffers between server and client.
func largeEvent(run, number int) string {
	return fmt.Sprintf("id: %d\ndata: %d %s\n\n", number, run, strings.Repeat("x", 2<<10))
}

// Guards against a second run of a stream whose client reads slowly, as if its server were silent.
func TestSlowClientIsNoSilentServer(t *testing.T) {
	const count = 400
	c := qt.New(t)
	var runs atomic.Int32
	handler := func(w http.ResponseWriter, r *http.Request) {
		run := int(runs.Add(1))
		w.Header().Set("Content-Type", "text/event-stream")
		for i := 1; i <= count; i++ {
			if _, err := fmt.Fprint(w, largeEvent(run, i)); err != nil {
				return
			}
		}
	}
	url, upstreams := startGateway(c, setup{limits: unlimited, attempts: 3, timeout: 20 * time.Second, target: 100 * time.Millisecond}, handler, handler, handler)
	conn := dialSlowly(c, url)
	// The client stops longer than any timeout for silent servers.
	time.Sleep(3 * pause / 2)
	c.Assert(upstreams.LocalReport(time.Now()).Down, qt.HasLen, 0)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	events := 0
	for reader := bufio.NewReader(response.Body); ; events++ {
		if _, err := readEvent(reader, nil); err != nil {
			break
		}
	}
	c.Assert(events, qt.Equals, count)
	c.Assert(runs.Load(), qt.Equals, int32(1))
}

// Guards against an event that the client gets from a buffer although a standby has replaced the attempt, and
// goes on after an earlier event.
func TestReplacedAttemptSendsNoEvent(t *testing.T) {
	c := &clientRequest{}
	second := &attempt{request: c}
	c.standby.attempt = second
	qt.Assert(t, c.commitEvent(event{id: "7"}), qt.IsTrue)
	qt.Assert(t, c.lastEventID, qt.Equals, "7")
	second.ready = true
	qt.Assert(t, c.commitEvent(event{id: "8"}), qt.IsFalse)
	qt.Assert(t, c.lastEventID, qt.Equals, "7")
	c.standby.promote()
	qt.Assert(t, c.commitEvent(event{id: "8"}), qt.IsTrue)
}

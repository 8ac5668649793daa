package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// upload sends a request with a body of the given size in the background.
func (cl *client) upload(path string, size int) {
	go func() {
		// The router may answer before it has read all of it.
		_, _ = fmt.Fprintf(cl.conn, "POST %s HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\nContent-Length: %d\r\n\r\n%s", path, size, strings.Repeat("x", size))
	}()
}

// Guards against a part of a response that looks whole, because the server has reset the connection while
// the request was being written, and the write got the error.
func TestEarlyResponseEndsWithConnection(t *testing.T) {
	const (
		runs  = 6
		event = "id: 1\ndata: a\n\n"
	)
	large := strings.Repeat("y", 1<<20)
	reset := func(conn net.Conn, after time.Duration) {
		time.Sleep(after)
		conn.(*net.TCPConn).SetLinger(0)
	}
	for name, test := range map[string]struct {
		path, part string
		end        func(conn net.Conn)
		// status is that of the response to the client, whose body is whole if isWhole is true.
		status  int
		isWhole bool
	}{
		"reset at once":            {"/once/", "part", func(conn net.Conn) { reset(conn, 0) }, 502, true},
		"reset after 30 ms":        {"/once/", "part", func(conn net.Conn) { reset(conn, 30*time.Millisecond) }, 502, true},
		"reset after 500 ms":       {"/once/", "part", func(conn net.Conn) { reset(conn, 500*time.Millisecond) }, 502, true},
		"20,000 bytes, reset":      {"/once/", large[:20_000], func(conn net.Conn) { reset(conn, 30*time.Millisecond) }, 502, true},
		"closed with unread data":  {"/once/", "part", func(net.Conn) {}, 502, true},
		"large response, reset":    {"/once/", large, func(conn net.Conn) { reset(conn, 100*time.Millisecond) }, 200, false},
		"stream, reset":            {"/stream/", event, func(conn net.Conn) { reset(conn, 30*time.Millisecond) }, 200, false},
		"stream, reset, resumable": {"/resume/", event, func(conn net.Conn) { reset(conn, 30*time.Millisecond) }, 200, false},
		"ended, then read to its end": {"/once/", "all of it", func(conn net.Conn) {
			conn.(*net.TCPConn).CloseWrite()
			io.Copy(io.Discard, conn)
		}, 200, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			_, address := startGateway(c, func(conn net.Conn, r *http.Request) {
				io.WriteString(conn, responseHead(r, "HTTP/1.1")+"\r\n"+test.part)
				test.end(conn)
			})
			for range runs {
				cl := dial(c, address)
				cl.upload(test.path, 4_000_000)
				response, body, err := cl.receive()
				c.Assert(response, qt.IsNotNil)
				c.Assert(response.StatusCode, qt.Equals, test.status, qt.Commentf("%.40q", body))
				c.Assert(err == nil, qt.Equals, test.isWhole, qt.Commentf("%d bytes, %v", len(body), err))
				if test.status == 200 && test.isWhole {
					c.Assert(body, qt.Equals, test.part)
				}
			}
		})
	}
}

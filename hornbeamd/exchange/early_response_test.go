package exchange

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// startResponder starts a server that reads the head of each request, and sends the response that respond
// writes, before it closes the connection.
func startResponder(c *qt.C, respond func(conn *net.TCPConn)) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					respond(conn.(*net.TCPConn))
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// Guards against a part of a response that looks whole, because the server has reset the connection while
// the request was being written, and the write got the error.
func TestEarlyResponseEndsWithConnection(t *testing.T) {
	for name, test := range map[string]struct {
		end     func(conn *net.TCPConn)
		isWhole bool
	}{
		"reset": {func(conn *net.TCPConn) {
			time.Sleep(30 * time.Millisecond)
			conn.SetLinger(0)
		}, false},
		"closed with unread data": {func(*net.TCPConn) {}, false},
		"ended, then read to its end": {func(conn *net.TCPConn) {
			conn.CloseWrite()
			io.Copy(io.Discard, conn)
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			address := startResponder(c, func(conn *net.TCPConn) {
				io.WriteString(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: a-1\r\n\r\npart")
				test.end(conn)
			})
			for _, noRetry := range []bool{false, true} {
				failure := send(New("x", address, Options{}), http.MethodPost, strings.Repeat("x", 4<<20), noRetry)
				c.Assert(failure == nil, qt.Equals, test.isWhole, qt.Commentf("%v", failure))
			}
		})
	}
}

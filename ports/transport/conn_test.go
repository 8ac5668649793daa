package transport_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/ports/transport"
)

const partOfResponse = "HTTP/1.1 200 OK\r\n\r\npart"

// startResponder starts a server that reads the head of one request, sends a part of a response and then
// calls end, before it closes the connection.
func startResponder(c *qt.C, end func(conn *net.TCPConn)) (address string) {
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
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, _ = io.WriteString(conn, partOfResponse)
				end(conn.(*net.TCPConn))
			}()
		}
	}()
	return listener.Addr().String()
}

func resetAfterWrite(conn *net.TCPConn) {
	time.Sleep(30 * time.Millisecond)
	conn.SetLinger(0)
}

// upload writes a request with a long body to w, and returns the error.
func upload(w io.Writer) error {
	const size = 4 << 20
	_, err := fmt.Fprintf(w, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
	return err
}

// Shows why Conn is needed: the kernel reports a reset once, here to the write, and the read then gets the
// regular end of the connection.
func TestResetIsReportedOnce(t *testing.T) {
	c := qt.New(t)
	conn, err := net.Dial("tcp", startResponder(c, resetAfterWrite))
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	writeErr := upload(conn)
	// The buffers of the sockets may have taken all of it.
	for more := make([]byte, 1<<20); writeErr == nil; {
		_, writeErr = conn.Write(more)
	}
	body, err := io.ReadAll(conn)
	c.Assert(errors.Is(writeErr, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%v", writeErr))
	c.Assert(err, qt.IsNil)
	c.Assert(string(body), qt.Equals, partOfResponse)
}

// Guards against a part of a response that looks whole, since it has no length and the connection ends.
func TestEndOfConnection(t *testing.T) {
	for name, test := range map[string]struct {
		end     func(conn *net.TCPConn)
		isWhole bool
	}{
		"reset":                  {resetAfterWrite, false},
		"closed, unread request": {func(*net.TCPConn) {}, false},
		"ended, then read to its end": {func(conn *net.TCPConn) {
			conn.CloseWrite()
			io.Copy(io.Discard, conn)
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			netConn, err := net.Dial("tcp", startResponder(c, test.end))
			c.Assert(err, qt.IsNil)
			defer netConn.Close()
			conn := transport.NewConn(netConn)
			x := conn.Begin()
			go func() { x.EndRequest(upload(conn)) }()
			body, err := io.ReadAll(conn)
			c.Assert(string(body), qt.Equals, partOfResponse)
			c.Assert(err == nil, qt.Equals, test.isWhole, qt.Commentf("%v", err))
			if err != nil && !errors.Is(err, syscall.ECONNRESET) {
				c.Assert(errors.Is(err, io.ErrUnexpectedEOF), qt.IsTrue)
			}
		})
	}
}

// Guards against a reader that waits without end for the rest of a request to be written.
func TestRequestNeverWritten(t *testing.T) {
	c := qt.New(t)
	netConn, err := net.Dial("tcp", startResponder(c, func(conn *net.TCPConn) { io.Copy(io.Discard, conn) }))
	c.Assert(err, qt.IsNil)
	conn := transport.NewConn(netConn)
	conn.Begin()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	c.Assert(err, qt.IsNil)
	c.Assert(netConn.(*net.TCPConn).CloseWrite(), qt.IsNil)
	body, err := io.ReadAll(conn)
	c.Assert(string(body), qt.Equals, partOfResponse)
	c.Assert(errors.Is(err, transport.ErrRequestUnfinished), qt.IsTrue, qt.Commentf("%v", err))
}

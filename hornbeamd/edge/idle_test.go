package edge

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/hornbeamd/gateway"
	"hornbeamstep.example/routing/routes"
)

// setIdle puts a version of the configuration in force that allows idle connections for a time.
func setIdle(c *qt.C, s *gateway.Server, version int64, idle time.Duration) {
	table, err := routes.New(routes.Config{Version: version, Limits: routes.Limits{IdleTimeout: idle}})
	c.Assert(err, qt.IsNil)
	c.Assert(s.SetTable(table), qt.IsTrue)
}

// serveIdle starts a server that answers after a moment and counts the requests that it has begun.
func serveIdle(c *qt.C, s *gateway.Server) (address string, begun *atomic.Int64) {
	begun = &atomic.Int64{}
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		begun.Add(1)
		time.Sleep(5 * time.Millisecond)
	})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	go server.Serve(limitIdle(server, listener, s))
	c.Cleanup(func() { server.Close() })
	return listener.Addr().String(), begun
}

// ask sends one request on a connection and is true if it is answered.
func ask(conn net.Conn, in *bufio.Reader) bool {
	if _, err := fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		return false
	}
	answer, err := http.ReadResponse(in, nil)
	if err != nil {
		return false
	}
	answer.Body.Close()
	return true
}

// Guards against a connection that is closed for being idle while its next request is already served.
func TestIdleRace(t *testing.T) {
	c := qt.New(t)
	const idle = 60 * time.Millisecond
	s := &gateway.Server{}
	setIdle(c, s, 1, idle)
	address, begun := serveIdle(c, s)
	var answered atomic.Int64
	var callers sync.WaitGroup
	for i := range 300 {
		callers.Go(func() {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				return
			}
			defer conn.Close()
			in := bufio.NewReader(conn)
			for range 5 {
				if !ask(conn, in) {
					return
				}
				answered.Add(1)
				time.Sleep(idle - 2*time.Millisecond + time.Duration(i%40)*100*time.Microsecond)
			}
		})
	}
	callers.Wait()
	c.Assert(answered.Load(), qt.Equals, begun.Load())
}

// Guards against connections that outlive their limit, and against those that are closed early after the limit was raised.
func TestIdleLimit(t *testing.T) {
	c := qt.New(t)
	s := &gateway.Server{}
	setIdle(c, s, 1, 100*time.Millisecond)
	address, _ := serveIdle(c, s)
	open := func() (net.Conn, *bufio.Reader) {
		conn, err := net.Dial("tcp", address)
		c.Assert(err, qt.IsNil)
		in := bufio.NewReader(conn)
		c.Assert(ask(conn, in), qt.IsTrue)
		return conn, in
	}
	conn, in := open()
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err := in.ReadByte()
	c.Assert(err, qt.ErrorMatches, "EOF")
	conn, in = open()
	setIdle(c, s, 2, time.Minute)
	time.Sleep(300 * time.Millisecond)
	c.Assert(ask(conn, in), qt.IsTrue)
}

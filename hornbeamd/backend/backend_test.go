package backend_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/hornbeamd/backend"
	"hornbeamstep.example/routing/metadata"
)

type testCodec struct{}

func (testCodec) ParseResponse(_ int, h http.Header) metadata.Answer {
	return metadata.Answer{Attempt: h.Get("Id"), NotRun: h.Get("Refused") != "", Misdirected: h.Get("Misdirected") != ""}
}

const okResponse = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"

// startServer starts a server that answers each request with the next of the given raw responses,
// and returns its address. A response that ends in "close" makes the server close the connection
// after it.
func startServer(c *qt.C, responses ...string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err == nil, qt.IsTrue)
	c.Cleanup(func() { listener.Close() })
	next := make(chan string, len(responses))
	for _, response := range responses {
		next <- response
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					io.Copy(io.Discard, r.Body)
					response := <-next
					io.WriteString(conn, strings.TrimSuffix(response, "close"))
					if strings.HasSuffix(response, "close") {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// newPool returns a pool that counts new connections in opened.
func newPool(opened *int) *backend.Pool {
	return &backend.Pool{Codec: testCodec{}, DialTimeout: time.Second, OnConnect: func(string) { *opened++ }}
}

// sendRequest sends a request and returns the body of its response.
func sendRequest(c *qt.C, p *backend.Pool, address string) (string, *backend.Error) {
	response, err := p.Do(context.Background(), &backend.Request{
		Address: address, Method: "POST", Target: "/a/?q=1", Host: "h", Header: http.Header{}, Attempt: "1", HasBody: true,
	})
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, readErr := io.ReadAll(response)
	if readErr != nil {
		return string(body), &backend.Error{Kind: backend.Broken, Sent: true, Cause: readErr}
	}
	return string(body), nil
}

// Guards against returning the response of another request, which happens when a late or extra
// response arrives on a connection, and against reusing a connection that still holds unread bytes.
func TestMismatchedResponses(t *testing.T) {
	otherResponse := "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 5\r\n\r\nother"
	for name, test := range map[string]struct {
		responses []string
		opened    int
	}{
		"reused":               {[]string{okResponse, okResponse}, 1},
		"late response first":  {[]string{otherResponse + okResponse, okResponse}, 1},
		"extra response after": {[]string{okResponse + otherResponse, okResponse}, 2},
		"closed by server":     {[]string{okResponse + "close", okResponse}, 2},
		"chunked":              {[]string{"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", okResponse}, 1},
		"body ends at close":   {[]string{"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nokclose", okResponse}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			opened := 0
			p := newPool(&opened)
			address := startServer(c, test.responses...)
			for range 2 {
				body, err := sendRequest(c, p, address)
				c.Assert(err == nil, qt.IsTrue)
				c.Assert(body, qt.Equals, "ok")
				time.Sleep(20 * time.Millisecond)
			}
			c.Assert(opened, qt.Equals, test.opened)
		})
	}
}

// Guards against a rejection that a server writes once more on a connection that is in use again, and that
// is taken for the rejection of a request which the server runs.
func TestCopiedRejection(t *testing.T) {
	const (
		otherRejected = "HTTP/1.1 503 Service Unavailable\r\nId: 0\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n"
		unnamed       = "HTTP/1.1 503 Service Unavailable\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n"
		misdirected   = "HTTP/1.1 421 Misdirected Request\r\nMisdirected: 1\r\nContent-Length: 0\r\n\r\n"
	)
	for name, test := range map[string]struct {
		second string
		// answered is true if the answer to the second request can be told from the copy.
		answered bool
	}{
		"of a named request":      {otherRejected + okResponse, true},
		"written twice more":      {otherRejected + otherRejected + okResponse, true},
		"written again and again": {strings.Repeat(otherRejected, 5) + okResponse, false},
		"without a name":          {unnamed + okResponse, false},
		"misdirected, no name":    {misdirected + okResponse, false},
		"only the copy":           {unnamed, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			opened := 0
			p := newPool(&opened)
			address := startServer(c, okResponse, test.second)
			_, err := sendRequest(c, p, address)
			c.Assert(err == nil, qt.IsTrue)
			response, err := p.Do(context.Background(), &backend.Request{
				Address: address, Method: "POST", Target: "/a/", Host: "h", Header: http.Header{}, Attempt: "1", HasBody: true,
			})
			c.Assert(opened, qt.Equals, 1)
			if !test.answered {
				c.Assert(err, qt.IsNotNil)
				c.Assert(err.Kind, qt.Equals, backend.Mismatched)
				c.Assert(err.Sent, qt.IsTrue)
				return
			}
			c.Assert(err == nil, qt.IsTrue)
			defer response.Close()
			c.Assert(response.Status, qt.Equals, http.StatusOK)
		})
	}
}

// Guards against a rejection without the ID of a request that is not believed on a new connection, where
// it can't be that of an earlier one.
func TestUnnamedRejectionOnNewConnection(t *testing.T) {
	c := qt.New(t)
	opened := 0
	address := startServer(c, "HTTP/1.1 503 Service Unavailable\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n")
	response, err := newPool(&opened).Do(context.Background(), &backend.Request{Address: address, Method: "GET", Target: "/", Host: "h", Header: http.Header{}, Attempt: "1"})
	c.Assert(err == nil, qt.IsTrue)
	defer response.Close()
	c.Assert(response.NotRun, qt.IsTrue)
}

// Guards against a server whose response headers take the memory of the router, and against headers
// of usual size that are rejected.
func TestResponseHeaderLimit(t *testing.T) {
	line := "X: " + strings.Repeat("x", 1000) + "\r\n"
	for name, test := range map[string]struct {
		lines int
		ok    bool
	}{
		"usual":     {20, true},
		"too large": {200, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			opened := 0
			response := "HTTP/1.1 200 OK\r\nId: 1\r\n" + strings.Repeat(line, test.lines) + "Content-Length: 2\r\n\r\nok"
			_, err := sendRequest(c, newPool(&opened), startServer(c, response))
			c.Assert(err == nil, qt.Equals, test.ok)
		})
	}
}

// Guards against an error that reports a request as not sent although the server received it.
func TestErrorKinds(t *testing.T) {
	for name, test := range map[string]struct {
		response string
		kind     backend.ErrorKind
	}{
		"no response":              {"close", backend.Broken},
		"not HTTP":                 {"hello\r\n\r\nclose", backend.Broken},
		"truncated body":           {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nokclose", backend.Broken},
		"truncated chunk":          {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nokclose", backend.Broken},
		"only mismatched response": {"HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 2\r\n\r\nokclose", backend.Broken},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			opened := 0
			_, err := sendRequest(c, newPool(&opened), startServer(c, test.response))
			c.Assert(err, qt.IsNotNil)
			c.Assert(err.Kind, qt.Equals, test.kind)
			c.Assert(err.Sent, qt.IsTrue)
		})
	}
	c := qt.New(t)
	opened := 0
	_, err := sendRequest(c, newPool(&opened), "127.0.0.1:1")
	c.Assert(err.Kind, qt.Equals, backend.Unreachable)
	c.Assert(err.Sent, qt.IsFalse)
}

// Guards against a server that keeps working on a request after the client has disconnected:
// canceling the context must close the connection to the server.
func TestCancelClosesConnection(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err == nil, qt.IsTrue)
	defer listener.Close()
	readResult := make(chan error, 1)
	received := make(chan struct{})
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		http.ReadRequest(bufio.NewReader(conn))
		close(received)
		_, err = conn.Read(make([]byte, 1))
		readResult <- err
	}()
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-received; cancel() }()
	opened := 0
	_, doErr := newPool(&opened).Do(ctx, &backend.Request{Address: listener.Addr().String(), Method: "GET", Target: "/", Host: "h", Attempt: "1"})
	c.Assert(doErr.Kind, qt.Equals, backend.ContextDone)
	c.Assert(<-readResult, qt.IsNotNil)
}

// Guards against sending the next request in the middle of a large body. This happens if the server
// responds before it has read the whole body and the connection is then reused.
func TestEarlyResponse(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err == nil, qt.IsTrue)
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			http.ReadRequest(bufio.NewReader(conn))
			io.WriteString(conn, okResponse)
		}
	}()
	opened := 0
	p := newPool(&opened)
	for range 2 {
		response, doErr := p.Do(context.Background(), &backend.Request{
			Address: listener.Addr().String(), Method: "POST", Target: "/", Host: "h", Header: http.Header{}, Attempt: "1",
			Body: make([]byte, 32<<20), HasBody: true,
		})
		c.Assert(doErr == nil, qt.IsTrue)
		io.Copy(io.Discard, response)
		response.Close()
	}
	c.Assert(opened, qt.Equals, 2)
}

// Guards against opening more connections than the router's share of a server's connections.
func TestConnectionLimit(t *testing.T) {
	c := qt.New(t)
	opened := 0
	p := newPool(&opened)
	address := startServer(c, okResponse, okResponse)
	r := &backend.Request{Address: address, Method: "GET", Target: "/", Host: "h", Header: http.Header{}, Attempt: "1", MaxConnections: 1}
	response, err := p.Do(context.Background(), r)
	c.Assert(err == nil, qt.IsTrue)
	_, err = p.Do(context.Background(), r)
	c.Assert(err.Kind, qt.Equals, backend.ConnectionLimit)
	c.Assert(err.Sent, qt.IsFalse)
	io.Copy(io.Discard, response)
	response.Close()
	response, err = p.Do(context.Background(), r)
	c.Assert(err == nil, qt.IsTrue)
	response.Close()
	c.Assert(opened, qt.Equals, 1)
}

// Guards against failing one at-most-once request after another because the server closes idle
// connections sooner than the pool expects.
func TestEarlyServerClose(t *testing.T) {
	c := qt.New(t)
	opened := 0
	p := newPool(&opened)
	// The server reads the second request and closes the connection without a response.
	address := startServer(c, okResponse, "close", okResponse, okResponse, okResponse)
	send := func() *backend.Error {
		response, err := p.Do(context.Background(), &backend.Request{
			Address: address, Method: "POST", Target: "/", Host: "h", Header: http.Header{}, Attempt: "1", HasBody: true, AtMostOnce: true,
		})
		if err == nil {
			io.Copy(io.Discard, response)
			response.Close()
		}
		return err
	}
	c.Assert(send() == nil, qt.IsTrue)
	idleSince := time.Now()
	time.Sleep(100 * time.Millisecond)
	c.Assert(send() != nil, qt.IsTrue)
	// On a busy machine the connection was idle for longer than the sleep. The pool derives its
	// limit from the actual idle time.
	idle := time.Since(idleSince)
	for range 3 {
		time.Sleep(idle)
		c.Assert(send() == nil, qt.IsTrue)
	}
	c.Assert(opened, qt.Equals, 4)
}

// Guards against accumulating idle connections. At-most-once requests open a new connection if the
// existing one has been idle for too long, and the old one must then be closed.
func TestAtMostOnceConnections(t *testing.T) {
	c := qt.New(t)
	opened := 0
	p := newPool(&opened)
	address := startServer(c, okResponse, okResponse, okResponse)
	for range 3 {
		response, err := p.Do(context.Background(), &backend.Request{
			Address: address, Method: "POST", Target: "/", Host: "h", Header: http.Header{}, Attempt: "1", HasBody: true, AtMostOnce: true,
		})
		c.Assert(err == nil, qt.IsTrue)
		io.Copy(io.Discard, response)
		response.Close()
		time.Sleep(800 * time.Millisecond)
	}
	c.Assert(opened, qt.Equals, 3)
	c.Assert(p.OpenConnections(), qt.Equals, 1)
}

// Guards against a retry on an idle connection that has failed with the first, or at the limit.
func TestNewConnection(t *testing.T) {
	for name, test := range map[string]struct {
		limit, wantOpened int
	}{
		"unlimited":     {0, 2},
		"limit reached": {1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			opened := 0
			pool, address := newPool(&opened), startServer(c, okResponse, okResponse)
			_, err := sendRequest(c, pool, address)
			c.Assert(err == nil, qt.IsTrue)
			response, err := pool.Do(context.Background(), &backend.Request{
				Address: address, Method: "POST", Target: "/a/", Host: "h", Header: http.Header{}, Attempt: "1", NewConnection: true, MaxConnections: test.limit,
			})
			c.Assert(err == nil, qt.IsTrue)
			response.Close()
			c.Assert(opened, qt.Equals, test.wantOpened)
		})
	}
}

// Guards against idle connections that the server has ended and that count as open, and against a check
// that closes sound ones or opens others.
func TestCheckIdle(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	accepted := make(chan net.Conn, 10)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	opened := 0
	p, address := newPool(&opened), listener.Addr().String()
	check := func(wantEnded, wantOpen int) {
		ended, open := p.CheckIdle(address)
		c.Assert(ended, qt.Equals, wantEnded)
		c.Assert(open, qt.Equals, wantOpen)
	}
	check(0, 0)
	for range 3 {
		c.Assert(p.Connect(context.Background(), address), qt.IsNil)
	}
	check(0, 3)
	(<-accepted).Close()
	reset := <-accepted
	reset.(*net.TCPConn).SetLinger(0)
	reset.Close()
	time.Sleep(50 * time.Millisecond)
	check(2, 1)
	check(0, 1)
	c.Assert(opened, qt.Equals, 3)
	listener.Close()
	c.Assert(errors.Is(p.Connect(context.Background(), address), syscall.ECONNREFUSED), qt.IsTrue)
	check(0, 1)
}

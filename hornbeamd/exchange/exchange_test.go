package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/zeromicro/go-zero/core/logx"

	"hornbeamstep.example/routing/outcome"
)

// startServer starts a server that responds to requests with the given replies in turn. For an
// empty reply it reads the request and closes the connection. The channel receives the method of
// each request.
func startServer(t *testing.T, replies ...string) (address string, requests chan string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { listener.Close() })
	requests = make(chan string, 16)
	pending := make(chan string, len(replies))
	for _, reply := range replies {
		pending <- reply
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveConn(conn, pending, requests)
		}
	}()
	return listener.Addr().String(), requests
}

func serveConn(conn net.Conn, pending, requests chan string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		io.Copy(io.Discard, r.Body)
		requests <- r.Method
		reply := <-pending
		io.WriteString(conn, reply)
		if !strings.Contains(reply, "Content-Length") || strings.Contains(reply, "close") {
			return
		}
	}
}

func send(c *Client, method, body string, noRetry bool) *Error {
	r, _ := http.NewRequestWithContext(context.Background(), method, c.URL("/"), strings.NewReader(body))
	r.Header.Set("Idempotency-Key", "ticket-7")
	resp, failure := c.Do(r, "a-1", noRetry)
	if failure != nil {
		return failure
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return NewError(r.Context(), err, true)
	}
	return nil
}

const (
	okReply           = "HTTP/1.1 200 OK\r\nAttempt-Id: a-1\r\nContent-Length: 0\r\n\r\n"
	refusedReply      = "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	otherAttemptReply = "HTTP/1.1 503 X\r\nAttempt-Id: a-2\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	errorReply        = "HTTP/1.1 500 X\r\nAttempt-Id: a-1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	noAttemptReply    = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	truncatedReply    = "HTTP/1.1 200 OK\r\nAttempt-Id: a-1\r\nContent-Length: 9\r\nConnection: close\r\n\r\nabc"
)

func TestMain(m *testing.M) {
	logx.Disable()
	m.Run()
}

// Guards against failures that are classified wrongly, above all as "not run" when the request may
// have been executed.
func TestFailureClassification(t *testing.T) {
	tests := map[string]struct {
		reply string
		// kind is empty if the response must be returned without an error.
		kind    Kind
		outcome outcome.Outcome
	}{
		"closed":                     {"", Broken, outcome.Unknown},
		"refused":                    {refusedReply, Refused, outcome.NotRun},
		"refusal of another attempt": {otherAttemptReply, Protocol, outcome.Unknown},
		"error status with Not-Run":  {errorReply, "", ""},
		"no attempt ID":              {noAttemptReply, Protocol, outcome.Unknown},
		"garbage":                    {"garbage\r\n\r\n", Broken, outcome.Unknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			address, _ := startServer(t, test.reply)
			failure := send(New("x", address, Options{}), http.MethodPost, "body", false)
			if test.kind == "" {
				c.Assert(failure == nil, qt.IsTrue)
				return
			}
			c.Assert(failure.Kind, qt.Equals, test.kind)
			c.Assert(failure.Outcome(), qt.Equals, test.outcome)
		})
	}
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	listener.Close()
	failure := send(New("x", listener.Addr().String(), Options{}), http.MethodPost, "body", false)
	c.Assert(failure.Kind, qt.Equals, Unreachable)
	c.Assert(failure.Outcome(), qt.Equals, outcome.NotRun)
}

// Guards against a request that is executed twice. When a reused connection closes, net/http
// retries a request with an idempotency key or an idempotent method; with noRetry set, Do must not
// let it.
func TestNoRetryOnReusedConnection(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		t.Run(method, func(t *testing.T) {
			c := qt.New(t)
			address, requests := startServer(t, okReply, "", okReply, okReply)
			client := New("x", address, Options{})
			c.Assert(send(client, method, "", false) == nil, qt.IsTrue)
			<-requests
			failure := send(client, method, "", true)
			c.Assert(failure != nil, qt.IsTrue)
			c.Assert(failure.Outcome(), qt.Equals, outcome.Unknown)
			c.Assert(len(requests), qt.Equals, 1)
		})
	}
}

// Guards against a truncated response that is accepted as complete.
func TestTruncatedBody(t *testing.T) {
	address, _ := startServer(t, truncatedReply)
	failure := send(New("x", address, Options{}), http.MethodPost, "body", false)
	qt.Assert(t, failure.Kind, qt.Equals, Broken)
}

// Guards against an expired progress deadline that is reported as a cancellation by the caller.
func TestProgressDeadline(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	client := New("x", listener.Addr().String(), Options{})
	ctx, cancel := context.WithCancelCause(context.Background())
	time.AfterFunc(10*time.Millisecond, func() { cancel(ErrNoProgress) })
	r, _ := http.NewRequestWithContext(ctx, http.MethodGet, client.URL("/"), nil)
	_, failure := client.Do(r, "a-1", false)
	c.Assert(failure.Kind, qt.Equals, TimedOut)
	c.Assert(failure.Sent, qt.IsTrue)
}

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

// answering accepts connections and answers each with the next reply; an empty reply closes the connection once the
// request is read. It counts the requests.
func answering(t *testing.T, replies ...string) (address string, requests chan string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { listener.Close() })
	requests = make(chan string, 16)
	left := make(chan string, len(replies))
	for _, reply := range replies {
		left <- reply
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answer(conn, left, requests)
		}
	}()
	return listener.Addr().String(), requests
}

func answer(conn net.Conn, left, requests chan string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		io.Copy(io.Discard, r.Body)
		requests <- r.Method
		reply := <-left
		io.WriteString(conn, reply)
		if !strings.Contains(reply, "Content-Length") || strings.Contains(reply, "close") {
			return
		}
	}
}

func do(c *Client, method, body string, once bool) *Error {
	r, _ := http.NewRequestWithContext(context.Background(), method, c.URL("/"), strings.NewReader(body))
	r.Header.Set("Idempotency-Key", "ticket-7")
	resp, failure := c.Do(r, "a-1", once)
	if failure != nil {
		return failure
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return Failure(r.Context(), err, true)
	}
	return nil
}

const (
	good    = "HTTP/1.1 200 OK\r\nAttempt-Id: a-1\r\nContent-Length: 0\r\n\r\n"
	refused = "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	other   = "HTTP/1.1 503 X\r\nAttempt-Id: a-2\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	failed  = "HTTP/1.1 500 X\r\nAttempt-Id: a-1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	silent  = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	short   = "HTTP/1.1 200 OK\r\nAttempt-Id: a-1\r\nContent-Length: 9\r\nConnection: close\r\n\r\nabc"
)

func TestMain(m *testing.M) {
	logx.Disable()
	m.Run()
}

// Guards against failures that are told apart wrongly, above all against "not run" without proof.
func TestFailures(t *testing.T) {
	tests := map[string]struct {
		reply   string
		kind    Kind
		outcome outcome.Outcome
	}{
		"closed":             {"", Broken, outcome.Unknown},
		"refused":            {refused, Refused, outcome.NotRun},
		"another's refusal":  {other, Protocol, outcome.Unknown},
		"error, not refusal": {failed, "", ""},
		"no echo":            {silent, Protocol, outcome.Unknown},
		"garbage":            {"garbage\r\n\r\n", Broken, outcome.Unknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			address, _ := answering(t, test.reply)
			failure := do(New("x", address, Options{}), http.MethodPost, "body", false)
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
	failure := do(New("x", listener.Addr().String(), Options{}), http.MethodPost, "body", false)
	c.Assert(failure.Kind, qt.Equals, Unreachable)
	c.Assert(failure.Outcome(), qt.Equals, outcome.NotRun)
}

// Guards against the library's own repetition of a request that carries an idempotency key, or has a method that counts as
// idempotent, when a reused connection closes: the call would run twice.
func TestOnceIsSentOnce(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		t.Run(method, func(t *testing.T) {
			c := qt.New(t)
			address, requests := answering(t, good, "", good, good)
			client := New("x", address, Options{})
			c.Assert(do(client, method, "", false) == nil, qt.IsTrue)
			<-requests
			failure := do(client, method, "", true)
			c.Assert(failure != nil, qt.IsTrue)
			c.Assert(failure.Outcome(), qt.Equals, outcome.Unknown)
			c.Assert(len(requests), qt.Equals, 1)
		})
	}
}

// Guards against a truncated answer that reads as a whole one.
func TestShortBody(t *testing.T) {
	address, _ := answering(t, short)
	failure := do(New("x", address, Options{}), http.MethodPost, "body", false)
	qt.Assert(t, failure.Kind, qt.Equals, Broken)
}

// Guards against a deadline that is taken for the caller's departure.
func TestDeadline(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	client := New("x", listener.Addr().String(), Options{})
	ctx, cancel := context.WithCancelCause(context.Background())
	time.AfterFunc(10*time.Millisecond, func() { cancel(ErrDeadline) })
	r, _ := http.NewRequestWithContext(ctx, http.MethodGet, client.URL("/"), nil)
	_, failure := client.Do(r, "a-1", false)
	c.Assert(failure.Kind, qt.Equals, TimedOut)
	c.Assert(failure.Sent, qt.IsTrue)
}

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// request is a request of a client.
type request struct {
	id, method, host, path, key, body, lastEvent string
	deadline                                     time.Duration
	header                                       map[string]string
}

// result is what the client has received.
type result struct {
	status     int
	signed     bool
	retryAfter string
	body       string
	err        error
	took       time.Duration
}

func (r result) String() string {
	if r.err != nil && r.status == 0 {
		return fmt.Sprintf("no answer (%v) after %d ms", r.err, r.took.Milliseconds())
	}
	end := ""
	if r.err != nil {
		end = fmt.Sprintf(", broken off: %v", r.err)
	}
	return fmt.Sprintf("status %d, signed %t, %d bytes after %d ms%s", r.status, r.signed, len(r.body), r.took.Milliseconds(), end)
}

// channel is a channel of a client to a router.
type channel struct {
	net.Conn
	reader *bufio.Reader
}

func dial(address string) (*channel, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{c, bufio.NewReader(c)}, nil
}

// do sends a request on the channel and waits for its answer.
func (c *channel) do(q request) result {
	began := time.Now()
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", q.method, q.path, q.host, q.id, q.deadline.Milliseconds())
	if q.key != "" {
		fmt.Fprintf(&b, "Api-Key: %s\r\n", q.key)
	}
	if q.lastEvent != "" {
		fmt.Fprintf(&b, "Last-Event-Id: %s\r\n", q.lastEvent)
	}
	for name, value := range q.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if q.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n" + q.body)
	_ = c.SetDeadline(began.Add(q.deadline + 500*time.Millisecond))
	if _, err := io.WriteString(c, b.String()); err != nil {
		return result{err: err, took: time.Since(began)}
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		return result{err: err, took: time.Since(began)}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return result{
		status: response.StatusCode, signed: response.Header.Get("Response-Signature") != "", retryAfter: response.Header.Get("Retry-After"),
		body: string(body), err: err, took: time.Since(began),
	}
}

// send sends a request to a router on a channel of its own.
func (r *router) send(q request) result {
	c, err := dial(r.front())
	if err != nil {
		return result{err: err}
	}
	defer c.Close()
	x := c.do(q)
	r.bed.note("client: %s %s (key %q) to %s: %s", q.method, q.id, q.key, r.name, x)
	return x
}

// isReady asks the readiness address.
func (r *router) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.readiness()+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(q)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all routers say that they are ready.
func (b *bed) awaitReady() error {
	end := time.Now().Add(15 * time.Second)
	for _, r := range b.routers {
		for !r.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("router %s is not ready", r.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	b.note("all routers are ready")
	return nil
}

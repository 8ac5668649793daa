package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var attempts atomic.Int64

// newAttempt returns the ID of a client attempt.
func newAttempt() string { return fmt.Sprintf("a%07d", attempts.Add(1)) }

// client keeps one channel to a router.
type client struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

type result struct {
	status    int
	header    http.Header
	body      string
	err       error
	closeTold bool
}

func (r result) String() string {
	if r.err != nil && r.status == 0 {
		return "no answer: " + r.err.Error()
	}
	text := fmt.Sprintf("%d, signature %q, %d bytes", r.status, r.header.Get("Response-Signature"), len(r.body))
	if r.err != nil {
		text += ", incomplete: " + r.err.Error()
	}
	return text
}

func (c *client) drop() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// send sends a request on the kept channel, or on a new one, and waits for its answer.
func (c *client) send(method, host, path, attempt string, headers []string, body string, limit time.Duration) result {
	return c.sendUntil(method, host, path, attempt, headers, body, limit, limit)
}

// sendUntil sends a request with a time budget, and closes the channel if there is no answer after leave.
func (c *client) sendUntil(method, host, path, attempt string, headers []string, body string, limit, leave time.Duration) result {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return result{err: err}
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	c.conn.SetDeadline(time.Now().Add(leave))
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", method, path, host, attempt, limit.Milliseconds())
	for _, h := range headers {
		text.WriteString(h + "\r\n")
	}
	if method == "POST" {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(body))
	}
	text.WriteString("\r\n" + body)
	if _, err := io.WriteString(c.conn, text.String()); err != nil {
		c.drop()
		return result{err: err}
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		c.drop()
		return result{err: err}
	}
	answer, err := io.ReadAll(resp.Body)
	r := result{status: resp.StatusCode, header: resp.Header, body: string(answer), err: err, closeTold: resp.Close}
	if err != nil || resp.Close {
		c.drop()
	}
	return r
}

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// sent is a request of a client and how it ended.
type sent struct {
	attempt, kind, router, order string
	at, ended                    time.Time
	// kept is true if the channel had carried an answer before.
	kept bool
	// status is 0 if no answer came; how says why.
	status    int
	signature bool
	how       string
}

type sentList struct {
	mu   sync.Mutex
	list []sent
}

var requests sentList

func (l *sentList) add(s sent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, s)
}

func (l *sentList) all() []sent {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]sent(nil), l.list...)
}

func newAttempt() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// channel is a client's channel to a router, which it keeps for many requests.
type channel struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
	answers int
}

func (c *channel) open() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.reader, c.answers = conn, bufio.NewReader(conn), 0
	return nil
}

func (c *channel) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// request describes a request to send.
type request struct {
	kind, method, path, key string
	// order identifies what the client wants done, over its retries.
	order  string
	budget time.Duration
	body   int
	// upload is how long the client takes to send the body; 0 sends it at once.
	upload time.Duration
}

const host = "ficu95.example"

// do sends a request and waits for its answer until the time budget has passed.
func (c *channel) do(q request) sent {
	s := sent{attempt: newAttempt(), kind: q.kind, router: c.address, order: q.order, at: time.Now()}
	defer func() {
		s.ended = time.Now()
		requests.add(s)
	}()
	if err := c.open(); err != nil {
		s.how = "no connection"
		return s
	}
	s.kept = c.answers > 0
	_ = c.conn.SetDeadline(s.at.Add(q.budget))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nApi-Key: %s\r\n", q.method, q.path, host, s.attempt, q.budget.Milliseconds(), q.key)
	if q.order != "" {
		head += "Order: " + q.order + "\r\n"
	}
	if q.method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", q.body)
	}
	_, err := io.WriteString(c.conn, head+"\r\n")
	if err == nil && q.body > 0 {
		err = c.sendBody(q)
	}
	var response *http.Response
	if err == nil {
		response, err = http.ReadResponse(c.reader, &http.Request{Method: q.method})
	}
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	if err != nil {
		s.how = "channel ended without an answer: " + err.Error()
		if e, ok := err.(net.Error); ok && e.Timeout() {
			s.how = "the client's time budget passed"
		}
		c.close()
		return s
	}
	s.status, s.how, s.signature = response.StatusCode, "answered", response.Header.Get("Response-Signature") != ""
	c.answers++
	if response.Close {
		c.close()
	}
	return s
}

func (c *channel) sendBody(q request) error {
	const pieces = 128
	piece := make([]byte, q.body/pieces+1)
	left := q.body
	for left > 0 {
		n := min(left, len(piece))
		if _, err := c.conn.Write(piece[:n]); err != nil {
			return err
		}
		left -= n
		if q.upload > 0 {
			time.Sleep(q.upload / pieces)
		}
	}
	return nil
}

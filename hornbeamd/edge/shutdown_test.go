package edge_test

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/platform/standin"
)

// Guards against a request whose body arrives late in a graceful shutdown and that is then sent to a
// backend server, although it can't be answered by the end of the grace period.
func TestShutdownRejectsLateBody(t *testing.T) {
	c := qt.New(t)
	p := newTestPlatform(c, 1)
	p.setFault("plain", standin.Hang)
	conn, err := net.Dial("tcp", p.frontAddr(0))
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { conn.Close() })
	c.Assert(p.routers[0].process.Process.Signal(syscall.SIGTERM), qt.IsNil)
	stoppedAt := time.Now()
	_, err = fmt.Fprintf(conn, "POST /once/x HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nApi-Key: key\r\nContent-Length: 4\r\n\r\nbo", standin.Host, p.nextAttempt())
	c.Assert(err, qt.IsNil)
	// The router rejects all requests that arrive after 2.2 s of the grace period of 4 s.
	time.Sleep(time.Until(stoppedAt.Add(2600 * time.Millisecond)))
	_, err = io.WriteString(conn, "dy")
	c.Assert(err, qt.IsNil)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(response.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
	c.Assert(p.runs("plain"), qt.HasLen, 0)
	c.Assert(<-p.routers[0].done, qt.IsNil)
}

// Guards against a request that a backend server rejects late in a graceful shutdown and that is then
// sent to another one, although it can't be answered by the end of the grace period.
func TestShutdownRejectsLateRetry(t *testing.T) {
	c := qt.New(t)
	p := newTestPlatform(c, 1)
	p.setFault("plain", standin.Shed)
	for _, s := range p.servers {
		s.SetSilence(2700 * time.Millisecond)
	}
	c.Assert(p.routers[0].process.Process.Signal(syscall.SIGTERM), qt.IsNil)
	rejected := make(chan standin.Response, 1)
	go func() { rejected <- p.send(0, "/once/x") }()
	arrivals := func() (n int) {
		for _, s := range p.servers {
			n += len(s.Arrivals())
		}
		return n
	}
	p.waitFor(func() bool { return arrivals() == 1 })
	p.setFault("plain", standin.Hang)
	response := <-rejected
	c.Assert(response.Err, qt.IsNil)
	c.Assert(response.Status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(response.RetryAfter, qt.Not(qt.Equals), "")
	c.Assert(arrivals(), qt.Equals, 1)
	c.Assert(<-p.routers[0].done, qt.IsNil)
}

// Guards against a request that was sent to a backend server and whose connection a graceful
// shutdown closes without a response.
func TestShutdownAnswersUnfinishedRequests(t *testing.T) {
	for name, test := range map[string]struct {
		path    string
		maxRuns int
	}{
		"at most once": {"/once/x", 1},
		"repeatable":   {"/again/x", 2},
		"stream":       {"/stream/x", 1},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := newTestPlatform(c, 1)
			p.setFault("p", standin.Hang)
			c.Assert(p.routers[0].process.Process.Signal(syscall.SIGTERM), qt.IsNil)
			// The timeout of the route ends after the grace period of 4 s.
			time.Sleep(500 * time.Millisecond)
			response := p.send(0, test.path)
			c.Assert(response.Err, qt.IsNil)
			c.Assert(response.Status, qt.Equals, http.StatusGatewayTimeout)
			runs := len(p.runs("p"))
			c.Assert(runs >= 1 && runs <= test.maxRuns, qt.IsTrue, qt.Commentf("%d runs", runs))
			c.Assert(<-p.routers[0].done, qt.IsNil)
		})
	}
}

// addressCacheTime is how long clients use the address of a router after it began to stop.
const addressCacheTime = 3 * time.Second

// lossSlack is the time after the last byte of a request in which its connection may end without an
// answer, if the request was not sent to a server (bounds.loss_slack_ms).
const lossSlack = 200 * time.Millisecond

// shutdownRequest is a request of TestShutdownUnderLoad, and what became of it.
type shutdownRequest struct {
	attempt, path string
	// isKept is true if another request is sent on the connection first.
	isKept bool
	// limit is the time limit in the header; 0 if there is none.
	limit time.Duration
	// headAt and lastByteAt are when the head and the last byte were sent, and endedAt is when the
	// response was complete or the connection ended.
	headAt, lastByteAt, endedAt time.Time
	status                      int
	retryAfter                  string
	err                         error
}

// Guards against requests that are sent to a backend server during a graceful shutdown and get no
// complete response, and against requests that run although they were rejected or more than once.
func TestShutdownUnderLoad(t *testing.T) {
	c := qt.New(t)
	seed := uint64(1)
	if text := os.Getenv("SHUTDOWN_SEED"); text != "" {
		var err error
		seed, err = strconv.ParseUint(text, 10, 64)
		c.Assert(err, qt.IsNil)
	}
	p := newTestPlatform(c, 1)
	p.grace = 6 * time.Second
	p.restart(0)
	random := rand.New(rand.NewPCG(seed, 0))
	var requests []*shutdownRequest
	var done sync.WaitGroup
	pause := time.Duration(10+random.IntN(1500)) * time.Millisecond
	// The servers of the pool pause before each of five events; those of the other service answer
	// once their silence is over.
	for _, id := range slices.Sorted(maps.Keys(p.servers)) {
		s := p.servers[id]
		if strings.HasPrefix(id, "pool") {
			s.Pause = pause
		} else {
			s.SetSilence(time.Duration(random.IntN(6500)) * time.Millisecond)
		}
	}
	stoppedAt := time.Now().Add(400 * time.Millisecond)
	paths := []string{"/once/x", "/again/x", "/stream/x", "/resume/stream/x", "/long/stream/x"}
	for i := range 150 {
		r := &shutdownRequest{attempt: p.nextAttempt(), path: paths[random.IntN(len(paths))]}
		requests = append(requests, r)
		connectAt := stoppedAt.Add(time.Duration(random.IntN(6300)-300) * time.Millisecond)
		headDelay, bodyDelay := time.Duration(0), time.Duration(0)
		switch random.IntN(4) {
		case 0:
			headDelay = time.Duration(random.IntN(3000)) * time.Millisecond
		case 1:
			bodyDelay = time.Duration(random.IntN(3000)) * time.Millisecond
		case 2:
			// The connection has served a request before the shutdown.
			r.isKept, connectAt, headDelay = true, stoppedAt.Add(-300*time.Millisecond), connectAt.Sub(stoppedAt)+300*time.Millisecond
		}
		if i%5 == 0 {
			// Many requests arrive when clients stop using the address.
			connectAt = stoppedAt.Add(addressCacheTime + time.Duration(random.IntN(40)-20)*time.Millisecond)
			r.isKept, headDelay, bodyDelay = false, 0, 0
		}
		if random.IntN(2) == 0 {
			r.limit = time.Duration(100+random.IntN(6000)) * time.Millisecond
		}
		done.Go(func() {
			time.Sleep(time.Until(connectAt))
			r.send(p.frontAddr(0), headDelay, bodyDelay)
		})
	}
	time.Sleep(time.Until(stoppedAt))
	stoppedAt = time.Now()
	c.Assert(p.routers[0].process.Process.Signal(syscall.SIGTERM), qt.IsNil)
	c.Assert(<-p.routers[0].done, qt.IsNil)
	done.Wait()
	runs := map[string][]standin.Run{}
	for _, run := range p.runs("p") {
		runs[run.Attempt] = append(runs[run.Attempt], run)
	}
	outcomes := map[string]int{}
	defer func() { t.Log("seed", seed, outcomes) }()
	for _, r := range requests {
		outcomes[fmt.Sprintf("status %d, ran %t, failed %t", r.status, len(runs[r.attempt]) > 0, r.err != nil)]++
		text := fmt.Sprintf("seed %d: %s, last byte after %s, end after %s, status %d, %v, %d runs", seed, r.path, r.lastByteAt.Sub(stoppedAt), r.endedAt.Sub(stoppedAt),
			r.status, r.err, len(runs[r.attempt]))
		isOnce := r.path != "/again/x" && r.path != "/resume/stream/x"
		switch ran := runs[r.attempt]; {
		case r.status == http.StatusServiceUnavailable:
			c.Check(ran, qt.HasLen, 0, qt.Commentf("%s", text))
			c.Check(r.retryAfter, qt.Not(qt.Equals), "", qt.Commentf("%s", text))
		case len(ran) > 1 && isOnce:
			c.Errorf("ran more than once: %s", text)
		case len(ran) == 0 && r.err != nil && !r.lastByteAt.IsZero():
			// The request has crossed the end of the connection.
			c.Check(r.endedAt.Sub(r.lastByteAt) <= lossSlack, qt.IsTrue, qt.Commentf("%s", text))
		case len(ran) > 0 && r.err != nil:
			// A stream that has begun can't get another response. It may end once its time is over, or in
			// the last sixth of the grace period if it was sent while clients still used the address.
			isOver := !r.endedAt.Before(r.deadline()) || r.lastByteAt.Before(stoppedAt.Add(addressCacheTime)) && r.endedAt.After(stoppedAt.Add(p.grace*5/6))
			c.Check(r.status == http.StatusOK && isOver, qt.IsTrue, qt.Commentf("%s", text))
		}
	}
}

// deadline returns the end of the time of the request or of its route; see standin.Config.
func (r *shutdownRequest) deadline() time.Time {
	limit := 4 * time.Second
	if r.path == "/long/stream/x" {
		limit = 20 * time.Second
	}
	if r.limit > 0 {
		limit = min(limit, r.limit)
	}
	return r.headAt.Add(limit)
}

// send sends the request on a connection that stays open for headDelay before, and sends the end of
// the body bodyDelay after the rest.
func (r *shutdownRequest) send(address string, headDelay, bodyDelay time.Duration) {
	defer func() { r.endedAt = time.Now() }()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		r.err = err
		return
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	if r.isKept {
		if r.err = sendFirst(conn, reader); r.err != nil {
			return
		}
	}
	time.Sleep(headDelay)
	deadline := ""
	if r.limit > 0 {
		deadline = fmt.Sprintf("Deadline-Ms: %d\r\n", r.limit.Milliseconds())
	}
	r.headAt = time.Now()
	if _, r.err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nApi-Key: key\r\n%sContent-Length: 4\r\n\r\nbo", r.path, standin.Host, r.attempt, deadline); r.err != nil {
		return
	}
	time.Sleep(bodyDelay)
	// An error shows when the response is read; the router may have rejected the request.
	_, _ = io.WriteString(conn, "dy")
	r.lastByteAt = time.Now()
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		r.err = err
		return
	}
	r.status, r.retryAfter = response.StatusCode, response.Header.Get("Retry-After")
	_, r.err = io.ReadAll(response.Body)
}

// sendFirst sends a request for which there is no route, and reads the response.
func sendFirst(conn net.Conn, reader *bufio.Reader) error {
	if _, err := fmt.Fprintf(conn, "GET /none/x HTTP/1.1\r\nHost: %s\r\nAttempt-Id: first\r\nApi-Key: key\r\n\r\n", standin.Host); err != nil {
		return err
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

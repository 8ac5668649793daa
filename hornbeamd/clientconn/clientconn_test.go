package clientconn

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"hornbeamstep.example/hornbeamd/memory"
)

// startServer starts a server with a guard. It reads the body of each request, and answers 503 if there is
// no room for it. A request for /wait is kept and waits for release.
func startServer(c *qt.C, maxConns, room int) (g *Guard, address string, arrived, release chan struct{}) {
	g = &Guard{MaxConns: maxConns, Account: memory.New(room), Log: zap.NewNop()}
	arrived, release = make(chan struct{}, 16), make(chan struct{})
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := FromContext(r.Context())
		body, isWhole, err := memory.ReadUpTo(r.Body, 1<<20, r.ContentLength, conn.GrowBody)
		if err != nil || !isWhole || !conn.Keep() {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if r.URL.Path == "/wait" {
			arrived <- struct{}{}
			<-release
		}
		fmt.Fprint(w, len(body))
	})}
	g.Watch(s)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	go s.Serve(g.Listener(l, false))
	c.Cleanup(func() { s.Close() })
	return g, l.Addr().String(), arrived, release
}

// open opens a connection and sends a text.
func open(c *qt.C, address, text string) net.Conn {
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { conn.Close() })
	// Ends a test that would hang.
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	_, err = io.WriteString(conn, text)
	c.Assert(err, qt.IsNil)
	return conn
}

func request(path string, size, missing int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, size, strings.Repeat("x", size-missing))
}

// status returns the status of the next response, or 0 if the connection ends.
func status(conn net.Conn) int {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

func waitFor(c *qt.C, condition func() bool) {
	c.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	c.Fatal("timed out waiting for the condition")
}

// Guards against a request that finds no room because others hold it that do not arrive in full, and against
// memory that stays reserved when their connections end.
func TestRoomOfUnfinishedRequests(t *testing.T) {
	const room = 512 << 10
	lines := strings.Repeat("a:\r\n", 2000)
	for name, unfinished := range map[string]string{
		"head":                "GET / HTTP/1.1\r\nHost: h\r\n" + lines,
		"body":                request("/", 400<<10, 1),
		"head, and then body": strings.Replace(request("/", 10, 1), "\r\n\r\n", "\r\n"+lines+"\r\n", 1),
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			g, address, _, _ := startServer(c, 100, room)
			first := open(c, address, unfinished)
			waitFor(c, func() bool { return g.Account.Used() > room/2 })
			c.Assert(status(open(c, address, request("/", 200<<10, 0))), qt.Equals, 200)
			waitFor(c, func() bool { return g.Stats().Revoked == 1 })
			answered := status(first)
			c.Assert(answered == 0 || answered == 503, qt.IsTrue, qt.Commentf("%d", answered))
			waitFor(c, func() bool { return g.Account.Used() == 0 })
		})
	}
}

// Guards against giving up a request that a backend server has, and against requests that wait without end
// for the room that it holds.
func TestKeptRequestHoldsItsRoom(t *testing.T) {
	c := qt.New(t)
	g, address, arrived, release := startServer(c, 100, 512<<10)
	kept := open(c, address, request("/wait", 400<<10, 0))
	<-arrived
	c.Assert(status(open(c, address, request("/", 200<<10, 0))), qt.Equals, 503)
	c.Assert(status(open(c, address, request("/", 100, 0))), qt.Equals, 200)
	close(release)
	c.Assert(status(kept), qt.Equals, 200)
	waitFor(c, func() bool { return g.Account.Used() == 0 })
	c.Assert(status(open(c, address, request("/", 200<<10, 0))), qt.Equals, 200)
}

// Guards against clients that keep others away by connections that they do not use, and against closing one
// with a request in progress for a new one.
func TestTooManyConnections(t *testing.T) {
	c := qt.New(t)
	g, address, arrived, release := startServer(c, 3, 1<<20)
	busy := []net.Conn{open(c, address, request("/wait", 10, 0))}
	<-arrived
	idle := open(c, address, request("/", 10, 0))
	c.Assert(status(idle), qt.Equals, 200)
	open(c, address, "")
	waitFor(c, func() bool { return g.Stats().Open == 3 })
	for range 2 {
		busy = append(busy, open(c, address, request("/wait", 10, 0)))
		<-arrived
	}
	c.Assert(status(idle), qt.Equals, 0)
	c.Assert(g.Stats(), qt.Equals, Stats{Open: 3, Closed: 2})
	refused, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	defer refused.Close()
	c.Assert(status(refused), qt.Equals, 0)
	close(release)
	for _, conn := range busy {
		c.Assert(status(conn), qt.Equals, 200)
	}
}

// Guards against limits that a platform with little memory exceeds, or that leave no room for one request
// of the largest size.
func TestLimits(t *testing.T) {
	for name, test := range map[string]struct {
		limits         Limits
		conns, account int
	}{
		"smallest machine":   {Limits{MemoryBytes: 184 << 20, Descriptors: 4100}, 1570, 184 << 20 / 100 * 20},
		"usual machine":      {Limits{MemoryBytes: 284 << 20, Descriptors: 4100}, 2423, 284 << 20 / 100 * 20},
		"many descriptors":   {Limits{MemoryBytes: 8 << 30, Descriptors: 8192}, 5994, 8 << 30 / 100 * 20},
		"unusually little":   {Limits{MemoryBytes: 1 << 20, Descriptors: 10}, minConns, minRequestBytes},
		"little descriptors": {Limits{MemoryBytes: 284 << 20, Descriptors: 600}, 300, 284 << 20 / 100 * 20},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			g := New(test.limits, zap.NewNop())
			c.Check(g.MaxConns, qt.Equals, test.conns)
			c.Check(g.Account.Limit(), qt.Equals, test.account)
		})
	}
	unstated := Limits{}.WithDefaults()
	qt.Check(t, unstated.MemoryBytes > 0 && unstated.Descriptors > 0, qt.IsTrue)
}

package gateway_test

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/routing/roster"
)

// crashingServer is a backend server that ends as a killed process does.
type crashingServer struct {
	// onAccept is called for each connection; optional.
	onAccept func()

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]struct{}
}

// crash ends all connections and accepts no new ones.
func (s *crashingServer) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener.Close()
	for conn := range s.conns {
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
}

// run serves connections until the server crashes.
func (s *crashingServer) run(respond func(s *crashingServer, conn net.Conn, r *http.Request)) {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = struct{}{}
		onAccept := s.onAccept
		s.mu.Unlock()
		if onAccept != nil {
			onAccept()
		}
		go func() {
			defer conn.Close()
			in := bufio.NewReader(conn)
			for {
				r, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				if _, err := io.Copy(io.Discard, r.Body); err != nil {
					return
				}
				respond(s, conn, r)
			}
		}()
	}
}

// startCrashingServers starts a gateway before n servers, and returns its address and the servers.
func startCrashingServers(c *qt.C, n int, respond func(s *crashingServer, conn net.Conn, r *http.Request)) (string, []*crashingServer) {
	gateway, address := startGateway(c, func(net.Conn, *http.Request) {})
	var started []*crashingServer
	var servers []roster.Server
	for i := range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		s := &crashingServer{listener: listener, conns: map[net.Conn]struct{}{}}
		c.Cleanup(s.crash)
		go s.run(respond)
		started = append(started, s)
		servers = append(servers, roster.Server{ID: fmt.Sprint("crashing-", i), Service: "pool", Address: listener.Addr().String(), Slots: 8, Born: 1})
	}
	gateway.Upstreams.SetServers(servers, roster.Revision{Era: 1, Number: 2})
	return address, started
}

// Guards against a request that crashes one server after another because the way in which its attempts
// end keeps the router from looking at their servers.
func TestCrashIsSeenHoweverAttemptEnds(t *testing.T) {
	const largest = 256 << 10
	stream := func(conn net.Conn, r *http.Request) {
		fmt.Fprintf(conn, "%sContent-Type: text/event-stream\r\n\r\nid: 1\ndata: 1\n\nid: 2", responseHead(r, "HTTP/1.1"))
	}
	large := func(conn net.Conn, r *http.Request) {
		fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", responseHead(r, "HTTP/1.1"), 3*largest, strings.Repeat("x", 2*largest))
	}
	silent := func(net.Conn, *http.Request) {}
	for name, test := range map[string]struct {
		path string
		// run is what a server does before it crashes, which it does later by crashAfter.
		run        func(conn net.Conn, r *http.Request)
		crashAfter time.Duration
		// leaveAfter is when the client leaves, and deadline what it states; 0 means that it waits.
		leaveAfter, deadline time.Duration
	}{
		"no response": {path: "/again/", run: silent},
		"response broken off": {path: "/again/", run: func(conn net.Conn, r *http.Request) {
			fmt.Fprintf(conn, "%sContent-Length: 10\r\n\r\nxx", responseHead(r, "HTTP/1.1"))
		}},
		"large response broken off":             {path: "/again/", run: large},
		"stream broken off":                     {path: "/stream/", run: stream},
		"client left before":                    {path: "/again/", run: silent, crashAfter: 150 * time.Millisecond, leaveAfter: 50 * time.Millisecond},
		"client left long before":               {path: "/again/", run: silent, crashAfter: 900 * time.Millisecond, leaveAfter: 50 * time.Millisecond, deadline: 3 * time.Second},
		"client left at once":                   {path: "/again/", run: silent, crashAfter: 150 * time.Millisecond, leaveAfter: time.Millisecond},
		"client of at-most-once request left":   {path: "/once/", run: silent, crashAfter: 150 * time.Millisecond, leaveAfter: 50 * time.Millisecond},
		"client left during a stream":           {path: "/stream/", run: stream, crashAfter: 150 * time.Millisecond, leaveAfter: 100 * time.Millisecond},
		"client left during a large response":   {path: "/again/", run: large, crashAfter: 150 * time.Millisecond, leaveAfter: 50 * time.Millisecond},
		"client left during a resumable stream": {path: "/resume/", run: stream, crashAfter: 150 * time.Millisecond, leaveAfter: 100 * time.Millisecond},
		"deadline passed before":                {path: "/once/", run: silent, crashAfter: 250 * time.Millisecond, deadline: 100 * time.Millisecond},
		"deadline passed during a stream":       {path: "/stream/", run: stream, crashAfter: 250 * time.Millisecond, deadline: 100 * time.Millisecond},
		"connection reset before": {path: "/once/", run: func(conn net.Conn, _ *http.Request) {
			conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}, crashAfter: 150 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			var crashes atomic.Int32
			address, _ := startCrashingServers(c, 8, func(s *crashingServer, conn net.Conn, r *http.Request) {
				test.run(conn, r)
				time.Sleep(20*time.Millisecond + test.crashAfter)
				crashes.Add(1)
				s.crash()
			})
			isRejected := func(leaveAfter time.Duration) bool {
				cl := dial(c, address)
				defer cl.conn.Close()
				if leaveAfter > 0 {
					cl.conn.SetReadDeadline(time.Now().Add(leaveAfter))
				}
				cl.send(test.path, cmp.Or(test.deadline, relayTimeout))
				response, _, _ := cl.receive()
				return response != nil && response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") == "10"
			}
			for tries := 0; tries < 8 && !isRejected(test.leaveAfter); tries++ {
				time.Sleep(test.crashAfter + 800*time.Millisecond)
			}
			n := crashes.Load()
			// A retry may be sent before the third crash is confirmed.
			c.Assert(n == 3 || n == 4, qt.IsTrue, qt.Commentf("%d crashes", n))
			c.Assert(isRejected(0), qt.IsTrue)
			c.Assert(crashes.Load(), qt.Equals, n)
		})
	}
}

// Guards against a sound request that is refused because its clients always leave, and servers crash for
// another reason where it was.
func TestLeavingClientsBesideCrashes(t *testing.T) {
	const interval, workTime = 20 * time.Millisecond, 100 * time.Millisecond
	for name, test := range map[string]struct {
		// gap is the time between two crashes, and leaveAfter that until each client leaves.
		gap, leaveAfter time.Duration
	}{
		"one after the other":               {700 * time.Millisecond, 60 * time.Millisecond},
		"one after the other, left at once": {700 * time.Millisecond, 5 * time.Millisecond},
		"in short order":                    {250 * time.Millisecond, 60 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			address, servers := startCrashingServers(c, 9, func(s *crashingServer, conn net.Conn, r *http.Request) {
				time.Sleep(workTime)
				fmt.Fprintf(conn, "%sContent-Length: 2\r\n\r\nok", responseHead(r, "HTTP/1.1"))
			})
			send := func(leaveAfter time.Duration) (status int) {
				cl := dial(c, address)
				defer cl.conn.Close()
				if leaveAfter > 0 {
					cl.conn.SetReadDeadline(time.Now().Add(leaveAfter))
				}
				cl.send("/again/", relayTimeout)
				if response, _, _ := cl.receive(); response != nil {
					status = response.StatusCode
				}
				return status
			}
			stop := make(chan struct{})
			var clients sync.WaitGroup
			for range 6 {
				clients.Go(func() {
					for {
						select {
						case <-stop:
							return
						case <-time.After(interval):
							send(test.leaveAfter)
						}
					}
				})
			}
			time.Sleep(200 * time.Millisecond)
			for _, s := range servers[:6] {
				s.crash()
				time.Sleep(test.gap)
			}
			time.Sleep(time.Second)
			close(stop)
			clients.Wait()
			c.Assert(send(0), qt.Equals, http.StatusOK)
		})
	}
}

// Guards against a connection, or several, for each client that leaves: one shows whether the server runs.
func TestLeavingClientsCostNoConnections(t *testing.T) {
	const clients = 60
	c := qt.New(t)
	var opened, running atomic.Int32
	address, servers := startCrashingServers(c, 1, func(_ *crashingServer, conn net.Conn, r *http.Request) {
		running.Add(1)
		time.Sleep(2 * time.Second)
		fmt.Fprintf(conn, "%sContent-Length: 2\r\n\r\nok", responseHead(r, "HTTP/1.1"))
	})
	servers[0].mu.Lock()
	servers[0].onAccept = func() { opened.Add(1) }
	servers[0].mu.Unlock()
	var group sync.WaitGroup
	for range clients {
		group.Go(func() {
			cl := dial(c, address)
			defer cl.conn.Close()
			cl.send("/again/", relayTimeout)
			for running.Load() < clients {
				time.Sleep(time.Millisecond)
			}
		})
	}
	group.Wait()
	sent := opened.Load()
	time.Sleep(1500 * time.Millisecond)
	c.Assert(sent, qt.Equals, int32(clients))
	c.Assert(opened.Load()-sent <= 1, qt.IsTrue, qt.Commentf("%d connections more", opened.Load()-sent))
}

// Guards against a request that is never refused because several copies of it always crash their servers at
// the same time, which looks like the failure of a rack.
func TestCrashesOfCopiesAreSeen(t *testing.T) {
	const copies, servers, bursts, contact, maxLate = 3, 21, 6, 3 * time.Second, 3
	c := qt.New(t)
	var mu sync.Mutex
	var crashes []time.Time
	address, _ := startCrashingServers(c, servers, func(s *crashingServer, _ net.Conn, _ *http.Request) {
		time.Sleep(150 * time.Millisecond)
		mu.Lock()
		crashes = append(crashes, time.Now())
		mu.Unlock()
		s.crash()
	})
	for range bursts {
		var group sync.WaitGroup
		for range copies {
			group.Go(func() {
				cl := dial(c, address)
				defer cl.conn.Close()
				cl.send("/again/", relayTimeout)
				time.Sleep(50 * time.Millisecond)
			})
		}
		group.Wait()
		time.Sleep(time.Second)
	}
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for _, at := range crashes {
		if at.Sub(crashes[2]) > contact {
			late++
		}
	}
	c.Assert(late <= maxLate, qt.IsTrue, qt.Commentf("%d of %d crashes are late", late, len(crashes)))
}

package edge_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/hornbeamd/edge"
	"hornbeamstep.example/hornbeamd/inspect"
	"hornbeamstep.example/hornbeamd/logs"
	"hornbeamstep.example/hornbeamd/shutdown"
	"hornbeamstep.example/platform/bootfile"
	"hornbeamstep.example/platform/standin"
)

// metricsPortVariable names the environment variable that makes the test binary run as a router;
// its value is the metrics port.
const metricsPortVariable = "EDGE_TEST_METRICS"

func TestMain(m *testing.M) {
	if port := os.Getenv(metricsPortVariable); port != "" {
		runRouter(port)
		return
	}
	os.Exit(m.Run())
}

func runRouter(port string) {
	metrics, err := strconv.Atoi(port)
	if err != nil {
		panic(err)
	}
	log, err := logs.NewNonBlocking("info")
	if err != nil {
		panic(err)
	}
	if err := (&edge.Router{SettingsPath: bootfile.Path(), MetricsPort: metrics, Log: log}).Run(shutdown.Context()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	_ = log.Sync()
}

// testPlatform is a platform with routers in separate processes.
type testPlatform struct {
	c       *qt.C
	store   *standin.Store
	servers map[string]*standin.Server
	// ports and metricsPort are the ports of every router; each router has its own IP address. See
	// standin.RouterSettings for the order of ports.
	ports       [5]int
	metricsPort int
	ips         []string
	routers     []*router
	// grace is the grace period of routers that are started from now on; see
	// standin.RouterSettings for the default.
	grace time.Duration
	// attempt is the number of requests sent so far. The attempt ID of a request is its number.
	attempt int
	mu      sync.Mutex
	// memoryMB and maxFDs are limits of routers that are started from now on; see
	// standin.RouterSettings.
	memoryMB, maxFDs int
	// output receives the logs of the routers; optional.
	output io.Writer
}

type router struct {
	ip      string
	process *exec.Cmd
	// done receives the result of waiting for the process to exit.
	done chan error
}

// newTestPlatform starts a store, two backend servers for each service, and routers. It returns
// when the service discovery endpoint of the last router lists all routers.
func newTestPlatform(c *qt.C, routers int) *testPlatform {
	return newTestPlatformWithOutput(c, routers, nil)
}

// newTestPlatformWithOutput also copies the logs of the routers to output, unless it is nil.
func newTestPlatformWithOutput(c *qt.C, routers int, output io.Writer) *testPlatform {
	return newTestPlatformWith(c, routers, func(p *testPlatform) { p.output = output })
}

// newTestPlatformWith calls adjust before it starts the routers.
func newTestPlatformWith(c *qt.C, routers int, adjust func(*testPlatform)) *testPlatform {
	p := &testPlatform{c: c, store: standin.NewStore(), servers: map[string]*standin.Server{}}
	c.Cleanup(p.store.CloseClientConnections)
	p.store.Put("config", "main", standin.Config(3, "key", "revoked"))
	adjust(p)
	for i, service := range []string{"plain", "plain", "pool", "pool"} {
		s := standin.NewServer(fmt.Sprintf("%s-%d", service, i), service)
		c.Cleanup(s.CloseClientConnections)
		p.servers[s.ID] = s
		p.store.Put("servers", s.ID, s.Entry("ready"))
	}
	for i := range routers {
		// The addresses depend on the process ID, so that test processes running at the same time
		// use different addresses.
		p.ips = append(p.ips, fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, os.Getpid()/128%250, i+1))
	}
	p.findPorts()
	for i := range routers {
		p.start(i)
	}
	p.waitFor(func() bool {
		addresses, err := standin.Resolve(context.Background(), p.directoryAddr(routers-1), "z1")
		return err == nil && len(addresses) == routers
	})
	return p
}

// findPorts picks ports that are free on the first address. It doesn't check the other addresses,
// because only this test process uses them.
func (p *testPlatform) findPorts() {
	var listeners []net.Listener
	for i := range 6 {
		l, err := net.Listen("tcp", p.ips[0]+":0")
		p.c.Assert(err, qt.IsNil)
		listeners = append(listeners, l)
		port := l.Addr().(*net.TCPAddr).Port
		if i < 5 {
			p.ports[i] = port
		} else {
			p.metricsPort = port
		}
	}
	for _, l := range listeners {
		l.Close()
	}
}

// start runs router i in a separate process. The first two routers are the seeds of all routers.
func (p *testPlatform) start(i int) {
	var seeds []string
	for _, ip := range p.ips[:min(2, len(p.ips))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip, p.ports[2]))
	}
	path := filepath.Join(p.c.TempDir(), "settings.conf")
	settings := standin.RouterSettings{
		Name: fmt.Sprint("router-", i), IP: p.ips[i], Zone: "z1", Store: p.store.AddressFor(p.ips[i]), Ports: p.ports, Seeds: seeds,
		Grace: p.grace, MemoryMB: p.memoryMB, MaxFDs: p.maxFDs,
	}
	p.c.Assert(os.WriteFile(path, []byte(settings.FileContent()), 0o600), qt.IsNil)
	process := exec.Command(os.Args[0])
	// By default, the race detector keeps a process for one more second when it exits.
	race := "GORACE=" + os.Getenv("GORACE") + " atexit_sleep_ms=0"
	process.Env = append(os.Environ(), metricsPortVariable+"="+strconv.Itoa(p.metricsPort), bootfile.PathEnv+"="+path, race)
	process.Stdout = p.output
	if testing.Verbose() && p.output == nil {
		process.Stdout = os.Stdout
	}
	process.Stderr = os.Stderr
	p.c.Assert(process.Start(), qt.IsNil)
	r := &router{ip: p.ips[i], process: process, done: make(chan error, 1)}
	go func() { r.done <- process.Wait() }()
	p.c.Cleanup(func() { process.Process.Kill() })
	if i < len(p.routers) {
		p.routers[i] = r
	} else {
		p.routers = append(p.routers, r)
	}
}

// restart kills a router, starts it again and waits until it serves requests.
func (p *testPlatform) restart(i int) {
	p.c.Assert(p.routers[i].process.Process.Kill(), qt.IsNil)
	<-p.routers[i].done
	p.start(i)
	p.waitFor(func() bool { return p.send(i, "/once/x").Status == 200 })
}

func (p *testPlatform) frontAddr(i int) string { return fmt.Sprintf("%s:%d", p.ips[i], p.ports[0]) }

func (p *testPlatform) directoryAddr(i int) string { return fmt.Sprintf("%s:%d", p.ips[i], p.ports[3]) }

// waitFor waits until the condition holds. The timeout only stops a test that would hang; tests
// check their own time limits.
func (p *testPlatform) waitFor(condition func() bool) {
	p.c.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	p.c.Fatal("timed out waiting for the condition")
}

// send sends a request to router i with the API key of the client account.
func (p *testPlatform) send(i int, path string) standin.Response {
	return p.sendRequest(standin.Request{Address: p.frontAddr(i), Path: path, Key: "key", Body: "body"})
}

// sendRequest sends a request with a unique attempt ID.
func (p *testPlatform) sendRequest(request standin.Request) standin.Response {
	request.Attempt = p.nextAttempt()
	response, err := standin.Do(context.Background(), request)
	if err != nil {
		return standin.Response{Err: err}
	}
	return response
}

// nextAttempt returns a unique attempt ID.
func (p *testPlatform) nextAttempt() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.attempt++
	return fmt.Sprintf("%016x", p.attempt)
}

// setFault injects a fault into the backend servers whose ID has a prefix.
func (p *testPlatform) setFault(prefix string, fault standin.Fault) {
	for id, s := range p.servers {
		if strings.HasPrefix(id, prefix) {
			s.SetFault(fault)
		}
	}
}

// runs returns the requests that the backend servers whose ID has a prefix have started to run.
func (p *testPlatform) runs(prefix string) []standin.Run {
	var all []standin.Run
	for id, s := range p.servers {
		if strings.HasPrefix(id, prefix) {
			all = append(all, s.Runs()...)
		}
	}
	return all
}

// completeStream is the body of a complete response of the service "pool".
const completeStream = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\nid: 5\ndata: piece 5\n\n"

// Guards against requests that are lost or altered, and against requests that are admitted without
// a valid key.
func TestServeRequests(t *testing.T) {
	c := qt.New(t)
	p := newTestPlatform(c, 1)
	response := p.send(0, "/once/x?q=1")
	c.Assert(response.Status, qt.Equals, 200)
	c.Assert(strings.HasPrefix(response.Body, "body by plain-"), qt.IsTrue)
	c.Assert(response.Signature, qt.Equals, standin.Signature(strings.TrimPrefix(response.Body, "body by "), fmt.Sprintf("%016x", p.attempt)))
	run := p.runs("plain")[0]
	c.Assert(run.Account, qt.Equals, "clerks")
	c.Assert(run.HasKey, qt.IsFalse)
	c.Assert(run.Left > 3*time.Second && run.Left <= 4*time.Second, qt.IsTrue, qt.Commentf("the time left follows from the timeout of the route (4 s), which is shorter than that of the caller (5 s): %v", run.Left))
	c.Assert(p.send(0, "/stream/x").Body, qt.Equals, completeStream)
	c.Assert(p.send(0, "/none/x").Status, qt.Equals, 404)
	c.Assert(p.sendRequest(standin.Request{Address: p.frontAddr(0), Path: "/once/x", Key: "other"}).Status, qt.Equals, 401)
	c.Assert(p.sendRequest(standin.Request{Address: p.frontAddr(0), Path: "/once/x", Key: "key", Body: strings.Repeat("x", 100_001)}).Status, qt.Equals, 413)
	c.Assert(p.runs("plain"), qt.HasLen, 1)
}

// Guards against wrong handling of a failing backend server: a non-idempotent request that runs
// twice, a response which says that the request did not run although it did, and a stream with
// missing, repeated or truncated events.
func TestServerFaults(t *testing.T) {
	c := qt.New(t)
	p := newTestPlatform(c, 1)
	for name, test := range map[string]struct {
		path   string
		fault  standin.Fault
		status int
		// minRuns and maxRuns limit how often the backend servers run the request.
		minRuns, maxRuns int
		wantErr          bool
	}{
		"response lost, at most once":      {"/once/x", standin.DropResponse, 502, 1, 1, false},
		"response lost, repeatable":        {"/again/x", standin.DropResponse, 502, 2, 2, false},
		"response truncated, at most once": {"/once/x", standin.TruncateResponse, 502, 1, 1, false},
		"response truncated, repeatable":   {"/again/x", standin.TruncateResponse, 502, 2, 2, false},
		"server error, at most once":       {"/once/x", standin.Fail, 500, 1, 1, false},
		"server error, repeatable":         {"/again/x", standin.Fail, 500, 2, 2, false},
		"request rejected, at most once":   {"/once/x", standin.Shed, 503, 0, 0, false},
		"request rejected, repeatable":     {"/again/x", standin.Shed, 503, 0, 0, false},
		"stream interrupted":               {"/stream/x", standin.TruncateResponse, 200, 1, 1, true},
		"stream interrupted, resumable":    {"/resume/stream/x", standin.TruncateResponse, 200, 2, 2, false},
		"stream stops in an event":         {"/stream/x", standin.StopInEvent, 200, 1, 1, true},
		"stops in an event, resumable":     {"/resume/stream/x", standin.StopInEvent, 200, 2, 2, false},
		"stream stalled, at most once":     {"/stream/x", standin.Hang, 504, 1, 1, false},
	} {
		c.Run(name, func(c *qt.C) {
			// The prefix "p" selects the servers of both services, "plain" and "pool".
			before := len(p.runs("p"))
			p.setFault("p", test.fault)
			defer p.setFault("p", standin.NoFault)
			response := p.send(0, test.path)
			runs := len(p.runs("p")) - before
			c.Assert(response.Status, qt.Equals, test.status)
			c.Assert(runs >= test.minRuns && runs <= test.maxRuns, qt.IsTrue, qt.Commentf("%d runs", runs))
			c.Assert(response.Err != nil, qt.Equals, test.wantErr)
			if test.status == 503 {
				c.Assert(response.RetryAfter, qt.Not(qt.Equals), "")
			}
			if strings.HasPrefix(test.path, "/resume/") {
				// The first server sends two events before the stream is interrupted or stops, and the
				// second sends the rest.
				c.Assert(response.Body, qt.Equals, completeStream)
			}
		})
	}
}

// Guards against a router that keeps an old configuration because the store rejects its calls, and
// against a router that can't serve requests while the store is unavailable. The store rejects the
// calls of routers 0 and 1, so they must get the configuration from router 2.
func TestConfigFromPeers(t *testing.T) {
	c := qt.New(t)
	p := newTestPlatform(c, 3)
	p.store.Refuse(p.ips[0], p.ips[1])
	p.store.Put("config", "main", standin.Config(9, "key"))
	storedAt := time.Now()
	for i := range 3 {
		p.waitFor(func() bool {
			return p.sendRequest(standin.Request{Address: p.frontAddr(i), Path: "/once/x", Key: "revoked"}).Status == 401
		})
	}
	c.Assert(time.Since(storedAt) < 2*time.Second, qt.IsTrue)
	p.store.SetAllUnresponsive(true)
	for i := range 3 {
		c.Assert(p.send(i, "/once/x").Status, qt.Equals, 200)
	}
}

// Guards against new requests to a backend server more than 2 s (bounds.drain_ms) after it started
// to drain, even if the store has compacted the change to draining.
func TestDrainingServer(t *testing.T) {
	c := qt.New(t)
	p := newTestPlatform(c, 2)
	draining := p.servers["plain-0"]
	p.store.Put("servers", draining.ID, draining.Entry("draining"))
	p.store.Compact()
	deadline := time.Now().Add(2 * time.Second)
	for time.Now().Before(deadline.Add(500 * time.Millisecond)) {
		c.Assert(p.send(0, "/once/x").Status, qt.Equals, 200)
		c.Assert(p.send(1, "/once/x").Status, qt.Equals, 200)
	}
	for _, run := range draining.Runs() {
		c.Assert(run.At.Before(deadline), qt.IsTrue)
	}
}

// Guards against malformed server entries, which other programs may write to the store: they must
// not make routers lose the valid entries.
func TestMalformedServerEntries(t *testing.T) {
	c := qt.New(t)
	p := newTestPlatform(c, 1)
	for name, spec := range map[string]string{
		"text": `"text"`, "list": `[1]`, "types": `{"service":5,"address":true}`, "state": `{"service":"plain","address":"127.0.0.1:1","state":"odd"}`,
		"address": `{"service":"plain","address":"nowhere","state":"ready"}`, "null": `null`,
	} {
		p.store.Put("servers", name, spec)
	}
	time.Sleep(time.Second)
	for range 20 {
		c.Assert(p.send(0, "/once/x").Status, qt.Equals, 200)
	}
}

// Guards against a stream that is aborted by a graceful shutdown, against callers that are still
// directed to the router more than 2 s after SIGTERM, and against a shutdown that takes longer than
// the grace period of 4 s.
func TestGracefulShutdown(t *testing.T) {
	c := qt.New(t)
	p := newTestPlatform(c, 2)
	for _, s := range p.servers {
		s.Pause = 500 * time.Millisecond
	}
	streamed := make(chan standin.Response, 1)
	go func() { streamed <- p.send(0, "/stream/x") }()
	p.waitFor(func() bool { return len(p.runs("pool")) == 1 })
	c.Assert(p.routers[0].process.Process.Signal(syscall.SIGTERM), qt.IsNil)
	stopped := time.Now()
	p.waitFor(func() bool {
		addresses, err := standin.Resolve(context.Background(), p.directoryAddr(1), "z1")
		return err == nil && len(addresses) == 1 && addresses[0] == p.frontAddr(1)
	})
	c.Assert(time.Since(stopped) < 2*time.Second, qt.IsTrue)
	late := p.send(0, "/once/x")
	c.Assert(late.Status, qt.Equals, 200, qt.Commentf("requests of callers that do not know of the shutdown yet are served"))
	c.Assert(late.Close, qt.IsTrue)
	response := <-streamed
	c.Assert(response.Err, qt.IsNil)
	c.Assert(response.Body, qt.Equals, completeStream)
	c.Assert(<-p.routers[0].done, qt.IsNil)
	c.Assert(time.Since(stopped) < 4*time.Second, qt.IsTrue)
}

// Guards against a router without requests in progress that exits on SIGTERM at once, while callers
// still have its address cached.
func TestShutdownServesLateCallers(t *testing.T) {
	c := qt.New(t)
	p := newTestPlatform(c, 2)
	c.Assert(p.routers[0].process.Process.Signal(syscall.SIGTERM), qt.IsNil)
	time.Sleep(1200 * time.Millisecond)
	c.Assert(p.send(0, "/once/x").Status, qt.Equals, 200)
	c.Assert(<-p.routers[0].done, qt.IsNil)
}

// Guards against a stream that is aborted during a graceful shutdown because go-zero, by default,
// kills the process 5.5 s after SIGTERM.
func TestShutdownWithLongGrace(t *testing.T) {
	c := qt.New(t)
	p := newTestPlatform(c, 1)
	p.grace = 9 * time.Second
	p.restart(0)
	for _, s := range p.servers {
		s.Pause = 1500 * time.Millisecond
	}
	streamed := make(chan standin.Response, 1)
	go func() {
		streamed <- p.sendRequest(standin.Request{Address: p.frontAddr(0), Path: "/long/stream/x", Key: "key", Timeout: 20 * time.Second})
	}()
	p.waitFor(func() bool { return len(p.runs("pool")) == 1 })
	c.Assert(p.routers[0].process.Process.Signal(syscall.SIGTERM), qt.IsNil)
	stopped := time.Now()
	response := <-streamed
	c.Assert(response.Err, qt.IsNil)
	c.Assert(response.Body, qt.Equals, completeStream)
	c.Assert(time.Since(stopped) > 6*time.Second, qt.IsTrue)
	c.Assert(<-p.routers[0].done, qt.IsNil)
	c.Assert(time.Since(stopped) < p.grace, qt.IsTrue)
}

// Guards against callers that ask again and again while all routers restart, because they are told
// to come back before one of them can be back.
func TestShutdownOfLastRouter(t *testing.T) {
	c := qt.New(t)
	p := newTestPlatform(c, 1)
	for _, s := range p.servers {
		s.Pause = time.Second
	}
	// The stream keeps the router from stopping early.
	go p.send(0, "/stream/x")
	p.waitFor(func() bool { return len(p.runs("pool")) == 1 })
	stoppedAt := time.Now()
	c.Assert(p.routers[0].process.Process.Signal(syscall.SIGTERM), qt.IsNil)
	var rejected standin.Response
	p.waitFor(func() bool {
		rejected = p.send(0, "/once/x")
		return rejected.Status == 503
	})
	// No restart was seen, so the router may be back when its grace period has passed.
	grace := 4*time.Second - time.Since(stoppedAt)
	retryAfter, err := strconv.ParseFloat(rejected.RetryAfter, 64)
	c.Assert(err, qt.IsNil)
	c.Assert(time.Duration(retryAfter*float64(time.Second)) >= grace, qt.IsTrue, qt.Commentf("%s, %s left", rejected.RetryAfter, grace))
	c.Assert(retryAfter <= 4, qt.IsTrue, qt.Commentf("%s", rejected.RetryAfter))
}

// inspect returns the status report of router i.
func (p *testPlatform) inspect(i int) inspect.Report {
	r, err := inspect.Client{Timeout: time.Second}.Fetch(context.Background(), fmt.Sprintf("%s:%d", p.ips[i], p.metricsPort))
	p.c.Assert(err, qt.IsNil)
	return r
}

// Guards against a status report that does not match the state of the router.
func TestStatusReport(t *testing.T) {
	c := qt.New(t)
	p := newTestPlatform(c, 2)
	report := func() inspect.Report { return p.inspect(0) }
	c.Assert(p.send(0, "/once/x").Status, qt.Equals, 200)
	c.Assert(p.send(0, "/nowhere").Status, qt.Equals, 404)
	draining := p.servers["pool-2"]
	p.store.Put("servers", draining.ID, draining.Entry("draining"))
	p.waitFor(func() bool {
		for _, s := range report().Servers {
			if s.ID == draining.ID {
				return s.State == "leaving"
			}
		}
		return false
	})
	r := report()
	c.Assert(r.Router, qt.Equals, "router-0")
	c.Assert(r.Ready, qt.IsTrue)
	c.Assert(r.Config.Version, qt.Equals, int64(3))
	c.Assert(r.Config.Routes, qt.Equals, 5)
	c.Assert(r.Routers, qt.HasLen, 1)
	c.Assert(r.Routers[0].ID, qt.Equals, "router-1")
	c.Assert(r.Servers, qt.HasLen, 4)
	c.Assert(r.Outcomes["served"], qt.Equals, 1)
	c.Assert(r.Outcomes["no_route"], qt.Equals, 1)
	_, err := inspect.Client{Timeout: time.Second}.Fetch(context.Background(), p.directoryAddr(0))
	c.Assert(err, qt.ErrorMatches, "the router at .* answered with status 404; give its metrics address", qt.Commentf("the report is not served at the address for callers"))
}

// Guards against callers that are directed to a killed router more than 2 s after it was killed,
// and against a restarted router that the other routers don't accept again.
func TestKilledRouter(t *testing.T) {
	c := qt.New(t)
	p := newTestPlatform(c, 3)
	c.Assert(p.routers[0].process.Process.Kill(), qt.IsNil)
	killed := time.Now()
	resolved := func() int {
		addresses, err := standin.Resolve(context.Background(), p.directoryAddr(2), "z1")
		c.Assert(err, qt.IsNil)
		return len(addresses)
	}
	p.waitFor(func() bool { return resolved() == 2 })
	c.Assert(time.Since(killed) < 2*time.Second, qt.IsTrue)
	<-p.routers[0].done
	p.start(0)
	p.waitFor(func() bool { return resolved() == 3 })
	c.Assert(p.send(0, "/once/x").Status, qt.Equals, 200)
}

// Guards against a backend server that goes on processing a request after its caller has
// disconnected.
func TestCallerDisconnects(t *testing.T) {
	c := qt.New(t)
	p := newTestPlatform(c, 1)
	for _, s := range p.servers {
		s.Pause = 300 * time.Millisecond
	}
	p.sendRequest(standin.Request{Address: p.frontAddr(0), Path: "/stream/x", Key: "key", Timeout: 400 * time.Millisecond})
	p.waitFor(func() bool { return p.servers["pool-2"].Disconnects()+p.servers["pool-3"].Disconnects() == 1 })
}

// Guards against a router that answers 401 or 404 before it has a configuration: it doesn't know
// the keys and routes yet, so it must answer 503.
func TestStartWithoutStore(t *testing.T) {
	c := qt.New(t)
	p := newTestPlatform(c, 1)
	c.Assert(p.routers[0].process.Process.Kill(), qt.IsNil)
	<-p.routers[0].done
	p.store.SetAllUnresponsive(true)
	p.start(0)
	p.waitFor(func() bool { return p.send(0, "/once/x").Status == 503 })
	c.Assert(p.send(0, "/none/x").Status, qt.Equals, 503)
	p.store.SetAllUnresponsive(false)
	p.waitFor(func() bool { return p.send(0, "/once/x").Status == 200 })
}

// Guards against routers that keep an old configuration because the store accepts the calls of the
// routers that watch it but does not respond, so that these routers see no error. In each round,
// the store responds to one router only, a different one each time. All routers must get the new
// configuration within 2 s.
func TestWatchersLoseStore(t *testing.T) {
	c := qt.New(t)
	p := newTestPlatform(c, 3)
	for connected := range 3 {
		p.store.SetUnresponsive(p.ips[(connected+1)%3], p.ips[(connected+2)%3])
		time.Sleep(300 * time.Millisecond)
		p.store.Put("config", "main", standin.Config(10+2*connected, "key"))
		storedAt := time.Now()
		for i := range 3 {
			p.waitFor(func() bool {
				return p.sendRequest(standin.Request{Address: p.frontAddr(i), Path: "/once/x", Key: "revoked"}).Status == 401
			})
		}
		took := time.Since(storedAt)
		c.Assert(took < 2*time.Second, qt.IsTrue, qt.Commentf("%v while the store responded only to router %d", took, connected))
		p.store.SetUnresponsive()
		p.store.Put("config", "main", standin.Config(11+2*connected, "key", "revoked"))
		for i := range 3 {
			p.waitFor(func() bool {
				return p.sendRequest(standin.Request{Address: p.frontAddr(i), Path: "/once/x", Key: "revoked"}).Status == 200
			})
		}
	}
}

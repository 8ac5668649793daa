package edge_test

import (
	"context"
	"fmt"
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

// metricsVariable makes the test binary act as a router; its value is the port for metrics.
const metricsVariable = "EDGE_TEST_METRICS"

func TestMain(m *testing.M) {
	if port := os.Getenv(metricsVariable); port != "" {
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
	log, err := logs.NewBounded("info")
	if err != nil {
		panic(err)
	}
	if err := (&edge.Edge{Path: bootfile.Path(), Metrics: metrics, Log: log}).Run(shutdown.Context()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	_ = log.Sync()
}

// world is a platform with routers in processes of their own.
type world struct {
	c       *qt.C
	store   *standin.Store
	servers map[string]*standin.Server
	ports   [5]int
	metrics int
	ips     []string
	routers []*router
	grace   time.Duration
	attempt int
	mu      sync.Mutex
}

type router struct {
	ip      string
	process *exec.Cmd
	done    chan error
}

// newWorld starts a store, two servers of each service, and routers.
func newWorld(c *qt.C, routers int) *world {
	w := &world{c: c, store: standin.NewStore(), servers: map[string]*standin.Server{}}
	c.Cleanup(w.store.Close)
	w.store.Put("config", "main", standin.Config(3, "key", "revoked"))
	for i, service := range []string{"plain", "plain", "pool", "pool"} {
		s := standin.NewServer(fmt.Sprintf("%s-%d", service, i), service)
		c.Cleanup(s.CloseClientConnections)
		w.servers[s.ID] = s
		w.store.Put("servers", s.ID, s.Entry("ready"))
	}
	for i := range routers {
		// Each process of the tests has routers at addresses of its own.
		w.ips = append(w.ips, fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, os.Getpid()/128%250, i+1))
	}
	w.findPorts()
	for i := range routers {
		w.start(i)
	}
	w.await(func() bool {
		addresses, err := standin.Resolve(context.Background(), w.directory(routers-1), "z1")
		return err == nil && len(addresses) == routers
	})
	return w
}

// findPorts takes ports that are free on the first address; the others are used by this test alone.
func (w *world) findPorts() {
	var taken []net.Listener
	for i := range 6 {
		l, err := net.Listen("tcp", w.ips[0]+":0")
		w.c.Assert(err, qt.IsNil)
		taken = append(taken, l)
		port := l.Addr().(*net.TCPAddr).Port
		if i < 5 {
			w.ports[i] = port
		} else {
			w.metrics = port
		}
	}
	for _, l := range taken {
		l.Close()
	}
}

func (w *world) start(i int) {
	var seeds []string
	for _, ip := range w.ips[:min(2, len(w.ips))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip, w.ports[2]))
	}
	path := filepath.Join(w.c.TempDir(), "settings.conf")
	settings := standin.Router{
		Name: fmt.Sprint("router-", i), IP: w.ips[i], Zone: "z1", Store: w.store.Address(w.ips[i]), Ports: w.ports, Seeds: seeds,
		Grace: w.grace,
	}
	w.c.Assert(os.WriteFile(path, []byte(settings.Settings()), 0o600), qt.IsNil)
	process := exec.Command(os.Args[0])
	process.Env = append(os.Environ(), metricsVariable+"="+strconv.Itoa(w.metrics), bootfile.Variable+"="+path)
	if testing.Verbose() {
		process.Stdout = os.Stdout
	}
	process.Stderr = os.Stderr
	w.c.Assert(process.Start(), qt.IsNil)
	r := &router{ip: w.ips[i], process: process, done: make(chan error, 1)}
	go func() { r.done <- process.Wait() }()
	w.c.Cleanup(func() { process.Process.Kill() })
	if i < len(w.routers) {
		w.routers[i] = r
	} else {
		w.routers = append(w.routers, r)
	}
}

// restart kills a router and starts it again.
func (w *world) restart(i int) {
	w.c.Assert(w.routers[i].process.Process.Kill(), qt.IsNil)
	<-w.routers[i].done
	w.start(i)
	w.await(func() bool { return w.do(i, "/once/x").Status == 200 })
}

func (w *world) front(i int) string     { return fmt.Sprintf("%s:%d", w.ips[i], w.ports[0]) }
func (w *world) directory(i int) string { return fmt.Sprintf("%s:%d", w.ips[i], w.ports[3]) }

// await fails if a state does not come about. The limit only ends a test that hangs.
func (w *world) await(state func() bool) {
	w.c.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if state() {
			return
		}
	}
	w.c.Fatal("the awaited state did not come about")
}

// do sends a request to a router with the key of the client account.
func (w *world) do(i int, path string) standin.Answer {
	return w.request(standin.Request{Address: w.front(i), Path: path, Key: "key", Body: "body"})
}

func (w *world) request(q standin.Request) standin.Answer {
	w.mu.Lock()
	w.attempt++
	q.Attempt = fmt.Sprintf("%016x", w.attempt)
	w.mu.Unlock()
	a, err := standin.Do(context.Background(), q)
	if err != nil {
		return standin.Answer{Err: err}
	}
	return a
}

func (w *world) setFault(service string, f standin.Fault) {
	for id, s := range w.servers {
		if strings.HasPrefix(id, service) {
			s.SetFault(f)
		}
	}
}

func (w *world) runs(service string) []standin.Run {
	var all []standin.Run
	for id, s := range w.servers {
		if strings.HasPrefix(id, service) {
			all = append(all, s.Runs()...)
		}
	}
	return all
}

const wholeStream = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\nid: 5\ndata: piece 5\n\n"

// Guards against requests that are lost, changed, or let in without a key.
func TestServe(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c, 1)
	a := w.do(0, "/once/x?q=1")
	c.Assert(a.Status, qt.Equals, 200)
	c.Assert(strings.HasPrefix(a.Body, "body by plain-"), qt.IsTrue)
	c.Assert(a.Signature, qt.Equals, standin.Signature(strings.TrimPrefix(a.Body, "body by "), fmt.Sprintf("%016x", w.attempt)))
	run := w.runs("plain")[0]
	c.Assert(run.Account, qt.Equals, "clerks")
	c.Assert(run.HasKey, qt.IsFalse)
	c.Assert(run.Left > 3*time.Second && run.Left <= 4*time.Second, qt.IsTrue, qt.Commentf("the route's time limit is shorter: %v", run.Left))
	c.Assert(w.do(0, "/stream/x").Body, qt.Equals, wholeStream)
	c.Assert(w.do(0, "/none/x").Status, qt.Equals, 404)
	c.Assert(w.request(standin.Request{Address: w.front(0), Path: "/once/x", Key: "other"}).Status, qt.Equals, 401)
	c.Assert(w.request(standin.Request{Address: w.front(0), Path: "/once/x", Key: "key", Body: strings.Repeat("x", 100_001)}).Status, qt.Equals, 413)
	c.Assert(w.runs("plain"), qt.HasLen, 1)
}

// Guards against what a failing backend server can lead to: a second run of a request that may run once, a false promise that it
// did not run, a stream with missing, repeated or torn events.
func TestServerFaults(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c, 1)
	for name, test := range map[string]struct {
		path   string
		fault  standin.Fault
		status int
		// least and most bound the number of runs.
		least, most int
		broken      bool
	}{
		"lost answer, at most once":   {"/once/x", standin.Lose, 502, 1, 1, false},
		"lost answer, repeatable":     {"/again/x", standin.Lose, 502, 2, 2, false},
		"cut answer, at most once":    {"/once/x", standin.Cut, 502, 1, 1, false},
		"cut answer, repeatable":      {"/again/x", standin.Cut, 502, 2, 2, false},
		"failure, at most once":       {"/once/x", standin.Fail, 500, 1, 1, false},
		"failure, repeatable":         {"/again/x", standin.Fail, 500, 2, 2, false},
		"refused, at most once":       {"/once/x", standin.Shed, 503, 0, 0, false},
		"refused, repeatable":         {"/again/x", standin.Shed, 503, 0, 0, false},
		"cut stream":                  {"/stream/x", standin.Cut, 200, 1, 1, true},
		"cut stream that may go on":   {"/resume/stream/x", standin.Cut, 200, 2, 2, false},
		"silent stream, at most once": {"/stream/x", standin.Mute, 504, 1, 1, false},
	} {
		c.Run(name, func(c *qt.C) {
			before := len(w.runs("p"))
			w.setFault("p", test.fault)
			defer w.setFault("p", standin.None)
			a := w.do(0, test.path)
			runs := len(w.runs("p")) - before
			c.Assert(a.Status, qt.Equals, test.status)
			c.Assert(runs >= test.least && runs <= test.most, qt.IsTrue, qt.Commentf("%d runs", runs))
			c.Assert(a.Err != nil, qt.Equals, test.broken)
			if test.status == 503 {
				c.Assert(a.RetryAfter, qt.Not(qt.Equals), "")
			}
			if name == "cut stream that may go on" {
				// The first server sends two events before it is cut, and the second the rest.
				c.Assert(a.Body, qt.Equals, wholeStream)
			}
		})
	}
}

// Guards against a router that goes on with an old configuration because the store turns it away, and one that needs the store to
// serve at all.
func TestConfigThroughPeers(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c, 3)
	w.store.Refuse(w.ips[0], w.ips[1])
	w.store.Put("config", "main", standin.Config(9, "key"))
	acknowledged := time.Now()
	for i := range 3 {
		w.await(func() bool {
			return w.request(standin.Request{Address: w.front(i), Path: "/once/x", Key: "revoked"}).Status == 401
		})
	}
	c.Assert(time.Since(acknowledged) < 2*time.Second, qt.IsTrue)
	w.store.Silence(true)
	for i := range 3 {
		c.Assert(w.do(i, "/once/x").Status, qt.Equals, 200)
	}
}

// Guards against new work for a backend server that leaves, also when the history of the store is gone.
func TestLeavingServer(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c, 2)
	leaving := w.servers["plain-0"]
	w.store.Put("servers", leaving.ID, leaving.Entry("draining"))
	w.store.Compact()
	left := time.Now().Add(2 * time.Second)
	for time.Now().Before(left.Add(500 * time.Millisecond)) {
		c.Assert(w.do(0, "/once/x").Status, qt.Equals, 200)
		c.Assert(w.do(1, "/once/x").Status, qt.Equals, 200)
	}
	for _, run := range leaving.Runs() {
		c.Assert(run.At.Before(left), qt.IsTrue)
	}
}

// Guards against entries of other programs that hide the backend servers.
func TestForeignEntries(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c, 1)
	for name, spec := range map[string]string{
		"text": `"text"`, "list": `[1]`, "types": `{"service":5,"address":true}`, "state": `{"service":"plain","address":"127.0.0.1:1","state":"odd"}`,
		"address": `{"service":"plain","address":"nowhere","state":"ready"}`, "null": `null`,
	} {
		w.store.Put("servers", name, spec)
	}
	time.Sleep(time.Second)
	for range 20 {
		c.Assert(w.do(0, "/once/x").Status, qt.Equals, 200)
	}
}

// Guards against a stream that is cut by a planned stop, and against callers that are still sent to the router that stops.
func TestStop(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c, 2)
	for _, s := range w.servers {
		s.Pause = 500 * time.Millisecond
	}
	answer := make(chan standin.Answer, 1)
	go func() { answer <- w.do(0, "/stream/x") }()
	w.await(func() bool { return len(w.runs("pool")) == 1 })
	c.Assert(w.routers[0].process.Process.Signal(syscall.SIGTERM), qt.IsNil)
	stopped := time.Now()
	w.await(func() bool {
		addresses, err := standin.Resolve(context.Background(), w.directory(1), "z1")
		return err == nil && len(addresses) == 1 && addresses[0] == w.front(1)
	})
	c.Assert(time.Since(stopped) < 2*time.Second, qt.IsTrue)
	late := w.do(0, "/once/x")
	c.Assert(late.Status, qt.Equals, 200, qt.Commentf("callers that have not learned of the stop are served"))
	c.Assert(late.Close, qt.IsTrue)
	a := <-answer
	c.Assert(a.Err, qt.IsNil)
	c.Assert(a.Body, qt.Equals, wholeStream)
	c.Assert(<-w.routers[0].done, qt.IsNil)
	c.Assert(time.Since(stopped) < 4*time.Second, qt.IsTrue)
}

// Guards against a router without work that stops while callers still keep its address.
func TestStopServesLateCallers(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c, 2)
	c.Assert(w.routers[0].process.Process.Signal(syscall.SIGTERM), qt.IsNil)
	time.Sleep(1200 * time.Millisecond)
	c.Assert(w.do(0, "/once/x").Status, qt.Equals, 200)
	c.Assert(<-w.routers[0].done, qt.IsNil)
}

// Guards against a stream that is cut at a planned stop by the HTTP library, which ends the process 5.5 s after SIGTERM by itself.
func TestLongStop(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c, 1)
	w.grace = 9 * time.Second
	w.restart(0)
	for _, s := range w.servers {
		s.Pause = 1500 * time.Millisecond
	}
	answer := make(chan standin.Answer, 1)
	go func() {
		answer <- w.request(standin.Request{Address: w.front(0), Path: "/long/stream/x", Key: "key", Left: 20 * time.Second})
	}()
	w.await(func() bool { return len(w.runs("pool")) == 1 })
	c.Assert(w.routers[0].process.Process.Signal(syscall.SIGTERM), qt.IsNil)
	stopped := time.Now()
	a := <-answer
	c.Assert(a.Err, qt.IsNil)
	c.Assert(a.Body, qt.Equals, wholeStream)
	c.Assert(time.Since(stopped) > 6*time.Second, qt.IsTrue)
	c.Assert(<-w.routers[0].done, qt.IsNil)
	c.Assert(time.Since(stopped) < w.grace, qt.IsTrue)
}

// Guards against a report to operators that differs from what the router does.
func TestInspect(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c, 2)
	report := func() inspect.Report {
		r, err := inspect.Client{Timeout: time.Second}.Fetch(context.Background(), fmt.Sprintf("%s:%d", w.ips[0], w.metrics))
		c.Assert(err, qt.IsNil)
		return r
	}
	c.Assert(w.do(0, "/once/x").Status, qt.Equals, 200)
	c.Assert(w.do(0, "/nowhere").Status, qt.Equals, 404)
	leaving := w.servers["pool-2"]
	w.store.Put("servers", leaving.ID, leaving.Entry("draining"))
	w.await(func() bool {
		for _, s := range report().Servers {
			if s.ID == leaving.ID {
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
	_, err := inspect.Client{Timeout: time.Second}.Fetch(context.Background(), w.directory(0))
	c.Assert(err, qt.ErrorMatches, "the router at .* answered with status 404; give its metrics address", qt.Commentf("callers get no report"))
}

// Guards against callers that are sent to a router that was killed, and a fleet that does not take it back.
func TestKill(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c, 3)
	c.Assert(w.routers[0].process.Process.Kill(), qt.IsNil)
	killed := time.Now()
	known := func() int {
		addresses, err := standin.Resolve(context.Background(), w.directory(2), "z1")
		c.Assert(err, qt.IsNil)
		return len(addresses)
	}
	w.await(func() bool { return known() == 2 })
	c.Assert(time.Since(killed) < 2*time.Second, qt.IsTrue)
	<-w.routers[0].done
	w.start(0)
	w.await(func() bool { return known() == 3 })
	c.Assert(w.do(0, "/once/x").Status, qt.Equals, 200)
}

// Guards against a backend server that works on a request after its caller has left.
func TestCallerLeaves(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c, 1)
	for _, s := range w.servers {
		s.Pause = 300 * time.Millisecond
	}
	w.request(standin.Request{Address: w.front(0), Path: "/stream/x", Key: "key", Left: 400 * time.Millisecond})
	w.await(func() bool { return w.servers["pool-2"].Left()+w.servers["pool-3"].Left() == 1 })
}

// Guards against a router that refuses keys and routes for good reasons it cannot know, because it has not read the configuration.
func TestStartWithoutStore(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c, 1)
	c.Assert(w.routers[0].process.Process.Kill(), qt.IsNil)
	<-w.routers[0].done
	w.store.Silence(true)
	w.start(0)
	w.await(func() bool { return w.do(0, "/once/x").Status == 503 })
	c.Assert(w.do(0, "/none/x").Status, qt.Equals, 503)
	w.store.Silence(false)
	w.await(func() bool { return w.do(0, "/once/x").Status == 200 })
}

// Guards against a request that takes down one backend server after another, when its caller sends it again to other routers.
func TestCrashingRequest(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c, 3)
	crash := func(i int) {
		s := standin.NewServer(fmt.Sprint("plain-crash-", i), "plain")
		c.Cleanup(s.CloseClientConnections)
		s.SetFault(standin.Crash)
		w.servers[s.ID] = s
		w.store.Put("servers", s.ID, s.Entry("ready"))
	}
	for _, id := range []string{"plain-0", "plain-1"} {
		w.store.Delete("servers", id)
	}
	for i := range 6 {
		crash(i)
	}
	time.Sleep(time.Second)
	for i := range 8 {
		w.do(i%3, "/once/poison")
		time.Sleep(600 * time.Millisecond)
	}
	c.Assert(w.runs("plain-crash"), qt.HasLen, 3)
	c.Assert(w.do(0, "/once/poison").Status, qt.Equals, 503)
}

// Guards against routers that go on with an old configuration because those that watch the store are cut off from it without notice.
func TestWatchersCutOff(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c, 3)
	for spared := range 3 {
		w.store.Mute(w.ips[(spared+1)%3], w.ips[(spared+2)%3])
		time.Sleep(300 * time.Millisecond)
		w.store.Put("config", "main", standin.Config(10+2*spared, "key"))
		acknowledged := time.Now()
		for i := range 3 {
			w.await(func() bool {
				return w.request(standin.Request{Address: w.front(i), Path: "/once/x", Key: "revoked"}).Status == 401
			})
		}
		took := time.Since(acknowledged)
		c.Assert(took < 2*time.Second, qt.IsTrue, qt.Commentf("%v with router %d spared", took, spared))
		w.store.Mute()
		w.store.Put("config", "main", standin.Config(11+2*spared, "key", "revoked"))
		for i := range 3 {
			w.await(func() bool {
				return w.request(standin.Request{Address: w.front(i), Path: "/once/x", Key: "revoked"}).Status == 200
			})
		}
	}
}

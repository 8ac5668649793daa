package soak

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"hornbeamstep.example/platform/bootfile"
	"hornbeamstep.example/platform/standin"
)

// testbed is a deployment of a fake metadata store, fake backend servers and real routers, each in
// a process of its own. Proxies for fault injection are between callers and routers, routers and
// the store, and routers and backend servers.
type testbed struct {
	routerPrograms routerPrograms
	// benchProgram is the path of this program.
	benchProgram string
	outputFolder string
	observations *observations
	routers      []*router
	// routerByAddress holds the routers by the address on which they listen for callers.
	routerByAddress map[string]*router
	// ports holds the ports for callers, readiness checks, control calls of other routers, service
	// discovery and heartbeats, in this order, as in standin.RouterSettings. All routers use the
	// same ports and the same metricsPort; each has its own IP address.
	ports       [5]int
	metricsPort int
	// onlyRouter is the router that callers choose while all others are paused; nil at other times.
	onlyRouter atomic.Pointer[router]
	// streams is the number of streams that breakStreams has begun.
	streams atomic.Int64

	mu    sync.Mutex
	store *child
	// acks receives a notification when the store has applied an instruction.
	acks    chan notification
	servers []*server
	// serverCount is the number of servers added so far, including removed ones. It is part of the
	// ID of the next server.
	serverCount int
	// releases is the number of software versions released so far.
	releases int
	// latestVersion is the number of the latest version of the configuration. apiKeys holds the API
	// keys of the next version.
	latestVersion int
	apiKeys       []string
	// timeouts holds the timeouts of the next version.
	timeouts standin.Timeouts
	// latestConfig is the content of the latest version, as JSON.
	latestConfig string
}

// noLengthRatio is the ratio of all backend servers to those whose responses end with their
// connection. At the start, each service has one of these.
const noLengthRatio = 3

// routerPrograms holds the paths of the router's program and of an earlier release of it, which is empty
// unless routers switch between both.
type routerPrograms struct{ current, previous string }

// of returns the program for a start of a router. Every second router starts with the previous one, and
// each start switches between both.
func (p routerPrograms) of(r *router) string {
	if p.previous != "" && (r.number+r.starts)%2 == 0 {
		return p.previous
	}
	return p.current
}

type router struct {
	// number is the position of the router in testbed.routers, and starts the number of times that its
	// process was started.
	number, starts int
	// discoveryAddress is the address of the router's service discovery endpoint.
	id, ip, discoveryAddress string
	settingsFile             string
	// storeProxy forwards connections from the router to the store, and callerProxy those from
	// callers to the router.
	storeProxy, callerProxy *proxy
	logFile                 *os.File
	// restarting is true while the soak ends the process by a signal and starts a new one.
	restarting atomic.Bool

	mu      sync.Mutex
	process *child
	// program is the path of the program that the process runs.
	program string
}

type server struct {
	id, service, zone string
	// version is the software version that the server registers.
	version string
	// proxy forwards connections from routers to the server.
	proxy   *proxy
	process *child
	// noLength is true if the server sends responses that end with their connection.
	noLength bool
	// removing is true once the removal of the server has started. From then on no new faults are
	// injected into the server, and its process is not restarted after a kill.
	removing bool
	// draining is true once the store was told that the server is draining.
	draining bool
}

// newTestbed starts a testbed with the given number of routers. subnet is the second byte of the
// routers' IP addresses; no other testbed may use it at the same time.
func newTestbed(programs routerPrograms, benchProgram, outputFolder string, subnet, routerCount int) (*testbed, error) {
	tb := &testbed{
		routerPrograms: programs, benchProgram: benchProgram, outputFolder: outputFolder,
		observations: &observations{runs: map[string][]run{}}, routerByAddress: map[string]*router{},
		acks: make(chan notification, 1), apiKeys: []string{permanentKey, toggledKey},
	}
	if err := os.MkdirAll(outputFolder, 0o755); err != nil {
		return nil, err
	}
	var ids []string
	for i := range routerCount {
		ids = append(ids, fmt.Sprint("r", i))
	}
	storeAddresses, err := tb.startStore(ids)
	if err != nil {
		return nil, err
	}
	if err := tb.writeConfig(); err != nil {
		return nil, err
	}
	for _, service := range []string{"plain", "plain", "plain", "pool", "pool", "pool"} {
		if err := tb.addServer(service); err != nil {
			return nil, err
		}
	}
	if err := tb.choosePorts(fmt.Sprintf("127.%d.0.1", subnet)); err != nil {
		return nil, err
	}
	for i, id := range ids {
		if err := tb.addRouter(id, fmt.Sprintf("127.%d.0.%d", subnet, i+1), storeAddresses[id]); err != nil {
			return nil, err
		}
	}
	return tb, nil
}

// startStore starts the fake metadata store and returns its address for each router.
func (tb *testbed) startStore(routerIDs []string) (map[string]string, error) {
	addresses := make(chan map[string]string, 1)
	arguments := []string{tb.benchProgram, "soak", "store"}
	for _, id := range routerIDs {
		arguments = append(arguments, "--callers", id)
	}
	var err error
	tb.store, err = startChild(os.Stderr, nil, func(line []byte) {
		var n notification
		switch {
		case json.Unmarshal(line, &n) != nil:
		case n.StoreAddresses != nil:
			addresses <- n.StoreAddresses
		case n.Done:
			tb.acks <- n
		}
	}, arguments...)
	if err != nil {
		return nil, err
	}
	select {
	case byRouter := <-addresses:
		return byRouter, nil
	case <-time.After(10 * time.Second):
		return nil, fmt.Errorf("the fake metadata store did not report its addresses in time")
	}
}

// instructStore sends an instruction to the store and returns the time at which the store applied
// it. The caller must hold tb.mu, so that only one instruction at a time waits for its
// acknowledgment.
func (tb *testbed) instructStore(i instruction) (time.Time, error) {
	if err := tb.store.send(i); err != nil {
		return time.Time{}, err
	}
	select {
	case ack := <-tb.acks:
		return ack.At, nil
	case <-time.After(20 * time.Second):
		return time.Time{}, fmt.Errorf("the fake metadata store did not apply an instruction in time")
	}
}

// writeConfig writes a new version of the configuration with the current API keys to the store.
func (tb *testbed) writeConfig() error {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	// Consecutive numbers differ by 1 or 2 to test that routers accept gaps between versions.
	tb.latestVersion += 1 + tb.latestVersion%3
	v := version{Number: tb.latestVersion, Keys: append([]string(nil), tb.apiKeys...), Sent: time.Now(), RouteTimeout: cmp.Or(tb.timeouts.Route, routeTimeout)}
	timeouts := tb.timeouts
	timeouts.ColdRate = coldRate
	tb.latestConfig = timeouts.Config(tb.latestVersion, tb.apiKeys...)
	acked, err := tb.instructStore(instruction{Put: "config/main", Spec: tb.latestConfig})
	if err != nil {
		return err
	}
	v.Acked = acked
	tb.observations.mu.Lock()
	defer tb.observations.mu.Unlock()
	tb.observations.versions = append(tb.observations.versions, v)
	return nil
}

// addServer starts a backend server with a new ID and registers it in the store.
func (tb *testbed) addServer(service string) error {
	s, err := tb.newServer(service)
	if err != nil {
		return err
	}
	return tb.register(s)
}

// newServer starts a backend server with a new ID.
func (tb *testbed) newServer(service string) (*server, error) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.serverCount++
	s := &server{id: fmt.Sprintf("%s-%d", service, tb.serverCount), service: service, zone: zoneOf(tb.serverCount), version: tb.version(service), noLength: tb.serverCount%noLengthRatio == 0}
	var err error
	if s.proxy, err = newProxy("127.0.0.1:0", ""); err != nil {
		return nil, err
	}
	return s, tb.startServer(s)
}

func (tb *testbed) register(s *server) error {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if _, err := tb.instructStore(instruction{Put: "servers/" + s.id, Spec: s.entry("ready")}); err != nil {
		return err
	}
	tb.servers = append(tb.servers, s)
	tb.observations.beginServing(s)
	return nil
}

// version returns the software version of a new server. The caller must hold tb.mu.
func (tb *testbed) version(service string) string {
	number := firstVersion
	if service == releasedService {
		number += tb.releases
	}
	return fmt.Sprint("v", number)
}

// entry returns the server's entry in the store as JSON.
func (s *server) entry(state string) string {
	return standin.Entry(s.service, s.proxy.address(), s.zone, s.version, state)
}

// startServer starts or restarts the process of a server and sets it as the target of the proxy.
func (tb *testbed) startServer(s *server) error {
	addresses := make(chan string, 1)
	arguments := []string{tb.benchProgram, "soak", "server", "--id", s.id, "--service", s.service}
	if s.noLength {
		arguments = append(arguments, "--no-length")
	}
	process, err := startChild(os.Stderr, nil, func(line []byte) {
		var n notification
		switch {
		case json.Unmarshal(line, &n) != nil:
		case n.Address != "":
			addresses <- n.Address
		case n.Began != nil:
			tb.observations.addRun(run{Run: *n.Began, Server: s.id, Service: s.service, Zone: s.zone, Version: s.version})
		case n.Ended != nil:
			tb.observations.endRun(s.id, *n.Ended, n.At, n.Complete)
		case n.TurnedAway != "":
			tb.observations.addTurnedAway(rejection{Attempt: n.TurnedAway, Server: s.id, At: n.At})
		case n.Rejected != nil:
			r := n.Rejected
			tb.observations.addRejection(rejection{Attempt: r.Attempt, Server: s.id, Arrived: r.Arrived, Abandoned: r.Abandoned, At: n.At})
		}
	}, arguments...)
	if err != nil {
		return err
	}
	select {
	case address := <-addresses:
		s.proxy.setTarget(address)
	case <-time.After(10 * time.Second):
		return fmt.Errorf("backend server %s did not report its address in time", s.id)
	}
	s.process = process
	return nil
}

// kill kills the server's process.
func (s *server) kill() {
	if s.noLength {
		// A response that ends with its connection would look complete unless this is reset.
		s.proxy.setTarget("")
	}
	s.process.kill()
}

// choosePorts chooses ports that are free on the IP address of the first router. They are free on
// those of the other routers too because only this testbed uses the subnet.
func (tb *testbed) choosePorts(ip string) error {
	// All listeners stay open until the end so that no port is chosen twice.
	var listeners []net.Listener
	defer func() {
		for _, l := range listeners {
			_ = l.Close()
		}
	}()
	for i := range len(tb.ports) + 1 {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return err
		}
		listeners = append(listeners, l)
		port := l.Addr().(*net.TCPAddr).Port
		if i < len(tb.ports) {
			tb.ports[i] = port
		} else {
			tb.metricsPort = port
		}
	}
	return nil
}

// addRouter starts a router and its proxies. The router connects to the store at the given address
// through a proxy.
func (tb *testbed) addRouter(id, ip, storeAddress string) error {
	r := &router{
		id: id, ip: ip, number: len(tb.routers), discoveryAddress: fmt.Sprintf("%s:%d", ip, tb.ports[3]), settingsFile: filepath.Join(tb.outputFolder, id+".conf"),
	}
	var err error
	if r.logFile, err = os.Create(filepath.Join(tb.outputFolder, id+".log")); err != nil {
		return err
	}
	if r.storeProxy, err = newProxy("127.0.0.1:0", storeAddress); err != nil {
		return err
	}
	callerAddress := fmt.Sprintf("%s:%d", ip, tb.ports[0])
	if r.callerProxy, err = newProxy("127.0.0.1:0", callerAddress); err != nil {
		return err
	}
	tb.routers = append(tb.routers, r)
	tb.routerByAddress[callerAddress] = r
	if err := tb.writeSettings(r); err != nil {
		return err
	}
	return tb.startRouter(r)
}

// writeSettings writes the settings file of a router. Its seeds are the first two routers that have
// been added, which may include the router itself.
func (tb *testbed) writeSettings(r *router) error {
	var seeds []string
	for _, seed := range tb.routers[:min(2, len(tb.routers))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", seed.ip, tb.ports[2]))
	}
	settings := standin.RouterSettings{
		Name: r.id, IP: r.ip, Zone: "z1", Store: r.storeProxy.address(), Ports: tb.ports, Seeds: seeds, Grace: gracePeriod,
	}
	return os.WriteFile(r.settingsFile, []byte(settings.FileContent()), 0o600)
}

// startRouter starts the process of a router. If the process exits unexpectedly, the exit is
// recorded in the observations.
func (tb *testbed) startRouter(r *router) error {
	program := tb.routerPrograms.of(r)
	process, err := startChild(r.logFile, []string{bootfile.PathEnv + "=" + r.settingsFile}, func(line []byte) {
		// Write errors are ignored: the log only helps to explain violations and is not checked
		// itself.
		_, _ = r.logFile.Write(append(line, '\n'))
	}, program, "edge", "--metrics", fmt.Sprint(tb.metricsPort))
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.process, r.program = process, program
	r.starts++
	r.mu.Unlock()
	go func() {
		<-process.exited
		if !process.isExitExpected() {
			tb.observations.addExit(r.id)
		}
	}()
	return nil
}

// chooseCurrent returns a router that runs the current program, if there is one.
func (tb *testbed) chooseCurrent(target int) *router {
	for i := range tb.routers {
		r := tb.routers[(target+i)%len(tb.routers)]
		r.mu.Lock()
		isCurrent := r.program == tb.routerPrograms.current
		r.mu.Unlock()
		if isCurrent {
			return r
		}
	}
	return tb.routers[target%len(tb.routers)]
}

func (r *router) currentProcess() *child {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.process
}

// close kills all processes and closes all proxies and log files.
func (tb *testbed) close() {
	for _, r := range tb.routers {
		if p := r.currentProcess(); p != nil {
			p.signal(syscall.SIGCONT)
			p.kill()
		}
		r.storeProxy.close()
		r.callerProxy.close()
		_ = r.logFile.Close()
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, s := range tb.servers {
		s.process.kill()
		s.proxy.close()
	}
	if tb.store != nil {
		tb.store.kill()
	}
}

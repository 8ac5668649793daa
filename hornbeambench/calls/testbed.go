package calls

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"hornbeamstep.example/hornbeambench/standin/modelengine"
	"hornbeamstep.example/hornbeambench/standin/platformapi"
	"hornbeamstep.example/hornbeamd/daemon"
	"hornbeamstep.example/hornbeamd/settings"
	"hornbeamstep.example/policy"
	"hornbeamstep.example/policy/configfile"
	"hornbeamstep.example/policy/history"
	"hornbeamstep.example/ports/instancelist"
)

const (
	zoneCount = 7
	// Each daemon listens for peers on its own loopback address. The second byte of the addresses is
	// one of networkCount from firstNetwork on and depends on the process, so that processes that
	// run at the same time use different ones. Every /24 network holds daemonsPerNetwork addresses.
	firstNetwork      = 2
	networkCount      = 60
	daemonsPerNetwork = 250
	peerPort          = 7400
	// readyPollInterval is the interval at which the state of the daemons is checked.
	readyPollInterval = 20 * time.Millisecond
	// maxDaemons is the maximum number of daemons that run at once. It determines the capacity of
	// runResults.
	maxDaemons = 1000
)

// testbed is the simulated platform, the simulated engines and the router daemons.
type testbed struct {
	platform *platformapi.Server
	server   *http.Server
	address  string
	engines  []*modelengine.Engine
	// proxies forward connections from routers to engines and count the bytes.
	proxies                          []net.Listener
	bytesToEngines, bytesFromEngines atomic.Int64
	daemons                          []*daemon.Daemon
	stopFuncs                        []context.CancelFunc
	runResults                       chan error
}

func startTestbed(routers, engines int) (*testbed, error) {
	tb, err := startWithoutDaemons(engines)
	if err != nil {
		return nil, err
	}
	return tb, tb.startDaemons(routers)
}

// startWithoutDaemons starts the platform and the engines and pushes the configuration.
func startWithoutDaemons(engines int) (*testbed, error) {
	tb := &testbed{platform: platformapi.New(), runResults: make(chan error, 2*maxDaemons)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	tb.address = "http://" + listener.Addr().String()
	tb.server = &http.Server{Handler: tb.platform.Handler(), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = tb.server.Serve(listener) }()
	if err := tb.startEngines(engines); err != nil {
		return nil, err
	}
	if err := tb.pushConfig(); err != nil {
		return nil, err
	}
	return tb, nil
}

func (tb *testbed) startEngines(n int) error {
	for i := range n {
		engine, err := modelengine.Start(modelengine.Config{Name: fmt.Sprintf("worker-%d", i+1), Models: []string{"m"}})
		if err != nil {
			return err
		}
		tb.engines = append(tb.engines, engine)
		proxy, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		tb.proxies = append(tb.proxies, proxy)
		go tb.serveProxy(proxy, engine.Address())
	}
	return nil
}

// serveProxy forwards each connection to an engine and counts the bytes of both directions.
func (tb *testbed) serveProxy(listener net.Listener, address string) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		engine, err := net.Dial("tcp", address)
		if err != nil {
			_ = client.Close()
			continue
		}
		go copyAndCount(engine, client, &tb.bytesToEngines)
		go copyAndCount(client, engine, &tb.bytesFromEngines)
	}
}

func copyAndCount(to, from net.Conn, count *atomic.Int64) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		count.Add(int64(n))
		if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

func (tb *testbed) pushConfig() error {
	var config strings.Builder
	config.WriteString("pools:\n  p: {wait: 10s}\nmodels:\n  m: {pool: p}\n")
	fmt.Fprintf(&config, "accounts:\n  a: {keys: [%s], models: [\"*\"]}\nbackends:\n", policy.Digest("key"))
	for i, proxy := range tb.proxies {
		fmt.Fprintf(&config, "  worker-%d: {pool: p, address: %q, zone: z%d, fence: true}\n", i+1, proxy.Addr(), i%zoneCount)
	}
	configHistory := &history.History{Store: tb.platform.Store}
	_, err := configHistory.Push(context.Background(), history.Change{
		Base: history.AnyBase, Author: "bench", Push: "1", Files: []configfile.File{{Name: "10.yaml", Data: []byte(config.String())}},
	})
	return err
}

func (tb *testbed) startDaemons(n int) error {
	var instances []instancelist.Instance
	for i := range n {
		d, err := tb.openDaemon(i)
		if err != nil {
			return err
		}
		cfg := d.Settings
		tb.daemons = append(tb.daemons, d)
		instances = append(instances, instancelist.Instance{ID: cfg.ID, Address: cfg.Peer.Listen, Zone: cfg.Zone, Role: "router", State: instancelist.Live})
	}
	tb.platform.SetInstances(instances)
	tb.stopFuncs = nil
	for _, d := range tb.daemons {
		tb.stopFuncs = append(tb.stopFuncs, tb.runDaemon(d))
	}
	return nil
}

// runDaemon runs a daemon in the background and returns a function that stops it. The result of Run
// is sent to runResults.
func (tb *testbed) runDaemon(d *daemon.Daemon) context.CancelFunc {
	ctx, stop := context.WithCancel(context.Background())
	go func() { tb.runResults <- d.Run(ctx) }()
	return stop
}

// openDaemon creates a daemon and binds its address for callers without running it.
func (tb *testbed) openDaemon(i int) (*daemon.Daemon, error) {
	cfg, err := settings.Default(fmt.Sprintf("r%03d", i+1), fmt.Sprintf("z%d", i%zoneCount))
	if err != nil {
		return nil, err
	}
	cfg.Caller.Listen, cfg.Operator.Listen, cfg.Caller.Lifetime = "127.0.0.1:0", "127.0.0.1:0", time.Millisecond
	// Separate addresses prevent port conflicts between daemons.
	cfg.Peer.Listen = fmt.Sprintf("127.%d.%d.%d:%d", firstNetwork+os.Getpid()%networkCount, i/daemonsPerNetwork, 1+i%daemonsPerNetwork, peerPort)
	cfg.Platform.Objects, cfg.Platform.Instances = tb.address, tb.address
	d := &daemon.Daemon{Settings: cfg}
	return d, d.Open()
}

// waitReady waits until every daemon has a configuration and knows all other daemons. It returns an
// error if a daemon exits before that.
func (tb *testbed) waitReady(ctx context.Context) error {
	for {
		readyCount := 0
		for _, d := range tb.daemons {
			if d.Revision() > 0 && d.MemberCount() == len(tb.daemons) {
				readyCount++
			}
		}
		if readyCount == len(tb.daemons) {
			return nil
		}
		if err := tb.exitError(); err != nil {
			return err
		}
		if err := sleep(ctx, readyPollInterval); err != nil {
			return err
		}
	}
}

// exitError returns an error if a daemon has exited.
func (tb *testbed) exitError() error {
	select {
	case err := <-tb.runResults:
		tb.runResults <- err
		return fmt.Errorf("a daemon exited before all daemons were ready: %w", err)
	default:
		return nil
	}
}

// stopDaemons stops all daemons at once and waits until they have exited.
func (tb *testbed) stopDaemons() {
	for _, stop := range tb.stopFuncs {
		stop()
	}
	for range tb.daemons {
		if err := <-tb.runResults; err != nil {
			_, _ = fmt.Fprintln(os.Stderr, "a daemon exited with an error:", err)
		}
	}
	tb.daemons, tb.stopFuncs = nil, nil
}

func (tb *testbed) close() {
	tb.stopDaemons()
	for _, proxy := range tb.proxies {
		_ = proxy.Close()
	}
	for _, engine := range tb.engines {
		engine.Close()
	}
	_ = tb.server.Close()
}

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
	zones = 7
	// Daemons listen for their peers on addresses of their own, perNet of them in each network of loopback.
	perNet   = 250
	peerPort = 7400
	// poll is the time between looks whether all daemons are ready.
	poll = 20 * time.Millisecond
	// maxDaemons bounds the daemons that run at once.
	maxDaemons = 1000
)

// world is everything that runs.
type world struct {
	platform *platformapi.Server
	server   *http.Server
	address  string
	engines  []*modelengine.Engine
	// relays stand between routers and engines and count the bytes.
	relays   []net.Listener
	up, down atomic.Int64
	daemons  []*daemon.Daemon
	stops    []context.CancelFunc
	ended    chan error
}

func start(routers, engines int) (*world, error) {
	w, err := prepare(engines)
	if err != nil {
		return nil, err
	}
	return w, w.startDaemons(routers)
}

// prepare starts everything but the daemons.
func prepare(engines int) (*world, error) {
	w := &world{platform: platformapi.New(), ended: make(chan error, 2*maxDaemons)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.address = "http://" + listener.Addr().String()
	w.server = &http.Server{Handler: w.platform.Handler(), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = w.server.Serve(listener) }()
	if err := w.startEngines(engines); err != nil {
		return nil, err
	}
	if err := w.push(); err != nil {
		return nil, err
	}
	return w, nil
}

func (w *world) startEngines(n int) error {
	for i := range n {
		engine, err := modelengine.Start(modelengine.Config{Name: fmt.Sprintf("worker-%d", i+1), Models: []string{"m"}})
		if err != nil {
			return err
		}
		w.engines = append(w.engines, engine)
		relay, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		w.relays = append(w.relays, relay)
		go w.relay(relay, engine.Address())
	}
	return nil
}

// relay passes on connections and counts the bytes.
func (w *world) relay(listener net.Listener, address string) {
	for {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", address)
		if err != nil {
			_ = near.Close()
			continue
		}
		go pass(far, near, &w.up)
		go pass(near, far, &w.down)
	}
}

func pass(to, from net.Conn, count *atomic.Int64) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		count.Add(int64(n))
		if _, broken := to.Write(buffer[:n]); err != nil || broken != nil {
			return
		}
	}
}

func (w *world) push() error {
	var b strings.Builder
	b.WriteString("pools:\n  p: {wait: 10s}\nmodels:\n  m: {pool: p}\n")
	fmt.Fprintf(&b, "accounts:\n  a: {keys: [%s], models: [\"*\"]}\nbackends:\n", policy.Digest("key"))
	for i, relay := range w.relays {
		fmt.Fprintf(&b, "  worker-%d: {pool: p, address: %q, zone: z%d, fence: true}\n", i+1, relay.Addr(), i%zones)
	}
	h := &history.History{Store: w.platform.Store}
	_, err := h.Push(context.Background(), history.Change{
		Base: history.AnyBase, Author: "bench", Push: "1", Files: []configfile.File{{Name: "10.yaml", Data: []byte(b.String())}},
	})
	return err
}

func (w *world) startDaemons(n int) error {
	var list []instancelist.Instance
	for i := range n {
		d, err := w.open(i)
		if err != nil {
			return err
		}
		s := d.Settings
		w.daemons = append(w.daemons, d)
		list = append(list, instancelist.Instance{ID: s.ID, Address: s.Peer.Listen, Zone: s.Zone, Role: "router", State: instancelist.Live})
	}
	w.platform.SetInstances(list)
	w.stops = nil
	for _, d := range w.daemons {
		w.stops = append(w.stops, w.run(d))
	}
	return nil
}

// run returns a function that ends the daemon.
func (w *world) run(d *daemon.Daemon) context.CancelFunc {
	ctx, stop := context.WithCancel(context.Background())
	go func() { w.ended <- d.Run(ctx) }()
	return stop
}

// open makes a daemon that does not run yet.
func (w *world) open(i int) (*daemon.Daemon, error) {
	s, err := settings.Default(fmt.Sprintf("r%03d", i+1), fmt.Sprintf("z%d", i%zones))
	if err != nil {
		return nil, err
	}
	s.Caller.Listen, s.Operator.Listen, s.Caller.Lifetime = "127.0.0.1:0", "127.0.0.1:0", time.Millisecond
	// Addresses of their own keep daemons from taking each other's ports.
	s.Peer.Listen = fmt.Sprintf("127.1.%d.%d:%d", i/perNet, 1+i%perNet, peerPort)
	s.Platform.Objects, s.Platform.Instances = w.address, w.address
	d := &daemon.Daemon{Settings: s}
	return d, d.Open()
}

// ready waits until every daemon takes callers and knows all others.
func (w *world) ready(ctx context.Context) error {
	for {
		have := 0
		for _, d := range w.daemons {
			if d.Revision() > 0 && d.MemberCount() == len(w.daemons) {
				have++
			}
		}
		if have == len(w.daemons) {
			return nil
		}
		select {
		case err := <-w.ended:
			w.ended <- err
			return fmt.Errorf("a daemon ended early: %w", err)
		default:
		}
		if err := sleep(ctx, poll); err != nil {
			return err
		}
	}
}

// stopDaemons ends all daemons at once.
func (w *world) stopDaemons() {
	for _, stop := range w.stops {
		stop()
	}
	for range w.daemons {
		if err := <-w.ended; err != nil {
			_, _ = fmt.Fprintln(os.Stderr, "a daemon ended with an error:", err)
		}
	}
	w.daemons, w.stops = nil, nil
}

func (w *world) close() {
	w.stopDaemons()
	for _, relay := range w.relays {
		_ = relay.Close()
	}
	for _, engine := range w.engines {
		engine.Close()
	}
	_ = w.server.Close()
}

package soak

import (
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

// world is a deployment: a store, backend servers and routers in processes of their own, and the proxies between them.
type world struct {
	daemon, bench string
	out           string
	evidence      *evidence
	routers       []*router
	byFront       map[string]*router
	ports         [5]int
	metrics       int

	mu      sync.Mutex
	store   *child
	done    chan note
	servers []*server
	// number counts all servers ever started, and latest is the number of the latest configuration.
	number, latest int
	keys           []string
}

type router struct {
	id, ip, directory string
	settings          string
	// store and callers are the proxies to the store and from callers.
	store, callers *proxy
	log            *os.File
	// restarting is true from a signal that ends the process until it has been started again.
	restarting atomic.Bool

	mu      sync.Mutex
	process *child
}

type server struct {
	id, service string
	link        *proxy
	process     *child
	// leaving servers are not disturbed.
	leaving bool
}

// newWorld starts everything. Network is the second byte of the routers' addresses, which no other world uses.
func newWorld(daemon, bench, out string, network, routers int) (*world, error) {
	w := &world{
		daemon: daemon, bench: bench, out: out, evidence: &evidence{runs: map[string][]run{}}, byFront: map[string]*router{},
		done: make(chan note, 1), keys: []string{lastingKey, changingKey},
	}
	if err := os.MkdirAll(out, 0o755); err != nil {
		return nil, err
	}
	var names []string
	for i := range routers {
		names = append(names, fmt.Sprint("r", i))
	}
	doors, err := w.startStore(names)
	if err != nil {
		return nil, err
	}
	if err := w.configure(); err != nil {
		return nil, err
	}
	for _, service := range []string{"plain", "plain", "plain", "pool", "pool", "pool"} {
		if err := w.addServer(service); err != nil {
			return nil, err
		}
	}
	if err := w.findPorts(fmt.Sprintf("127.%d.0.1", network)); err != nil {
		return nil, err
	}
	for i, name := range names {
		if err := w.addRouter(name, fmt.Sprintf("127.%d.0.%d", network, i+1), doors[name]); err != nil {
			return nil, err
		}
	}
	return w, nil
}

func (w *world) startStore(callers []string) (map[string]string, error) {
	doors := make(chan map[string]string, 1)
	arguments := []string{w.bench, "soak", "store"}
	for _, c := range callers {
		arguments = append(arguments, "--callers", c)
	}
	var err error
	w.store, err = start(os.Stderr, nil, func(line []byte) {
		var n note
		switch {
		case json.Unmarshal(line, &n) != nil:
		case n.Doors != nil:
			doors <- n.Doors
		case n.Done:
			w.done <- n
		}
	}, arguments...)
	if err != nil {
		return nil, err
	}
	select {
	case found := <-doors:
		return found, nil
	case <-time.After(10 * time.Second):
		return nil, fmt.Errorf("the store did not start")
	}
}

// order has the store carry out an order and returns when it did. The caller holds the lock or is alone.
func (w *world) order(o order) (time.Time, error) {
	if err := w.store.send(o); err != nil {
		return time.Time{}, err
	}
	select {
	case n := <-w.done:
		return n.At, nil
	case <-time.After(20 * time.Second):
		return time.Time{}, fmt.Errorf("the store did not carry out an order")
	}
}

// configure writes a new version of the configuration with the present keys.
func (w *world) configure() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	// Versions grow in uneven steps.
	w.latest += 1 + w.latest%3
	v := version{Number: w.latest, Keys: append([]string(nil), w.keys...), Sent: time.Now()}
	acked, err := w.order(order{Put: "config/main", Spec: standin.Config(w.latest, w.keys...)})
	if err != nil {
		return err
	}
	v.Acked = acked
	w.evidence.mu.Lock()
	defer w.evidence.mu.Unlock()
	w.evidence.versions = append(w.evidence.versions, v)
	return nil
}

// addServer starts a backend server with a new ID and registers it.
func (w *world) addServer(service string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.number++
	s := &server{id: fmt.Sprintf("%s-%d", service, w.number), service: service}
	var err error
	if s.link, err = newProxy("127.0.0.1:0", ""); err != nil {
		return err
	}
	if err := w.startServer(s); err != nil {
		return err
	}
	if _, err := w.order(order{Put: "servers/" + s.id, Spec: s.entry("ready")}); err != nil {
		return err
	}
	w.servers = append(w.servers, s)
	return nil
}

func (s *server) entry(state string) string {
	return standin.Entry(s.service, s.link.address(), "z1", state)
}

// startServer starts the process of a server, again if it has ended.
func (w *world) startServer(s *server) error {
	address := make(chan string, 1)
	process, err := start(os.Stderr, nil, func(line []byte) {
		var n note
		switch {
		case json.Unmarshal(line, &n) != nil:
		case n.Address != "":
			address <- n.Address
		case n.Began != nil:
			w.evidence.began(run{Run: *n.Began, Server: s.id, Service: s.service})
		case n.Ended != nil:
			w.evidence.ended(s.id, *n.Ended, n.At, n.Whole)
		}
	}, w.bench, "soak", "server", "--id", s.id, "--service", s.service)
	if err != nil {
		return err
	}
	select {
	case found := <-address:
		s.link.retarget(found)
	case <-time.After(10 * time.Second):
		return fmt.Errorf("server %s did not start", s.id)
	}
	s.process = process
	return nil
}

// findPorts takes ports that are free on an address; the addresses of other routers are used by this world alone.
func (w *world) findPorts(ip string) error {
	var taken []net.Listener
	defer func() {
		for _, l := range taken {
			_ = l.Close()
		}
	}()
	for i := range len(w.ports) + 1 {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return err
		}
		taken = append(taken, l)
		port := l.Addr().(*net.TCPAddr).Port
		if i < len(w.ports) {
			w.ports[i] = port
		} else {
			w.metrics = port
		}
	}
	return nil
}

func (w *world) addRouter(id, ip, store string) error {
	r := &router{id: id, ip: ip, directory: fmt.Sprintf("%s:%d", ip, w.ports[3]), settings: filepath.Join(w.out, id+".conf")}
	var err error
	if r.log, err = os.Create(filepath.Join(w.out, id+".log")); err != nil {
		return err
	}
	if r.store, err = newProxy("127.0.0.1:0", store); err != nil {
		return err
	}
	front := fmt.Sprintf("%s:%d", ip, w.ports[0])
	if r.callers, err = newProxy("127.0.0.1:0", front); err != nil {
		return err
	}
	w.routers = append(w.routers, r)
	w.byFront[front] = r
	if err := w.writeSettings(r); err != nil {
		return err
	}
	return w.startRouter(r)
}

func (w *world) writeSettings(r *router) error {
	var seeds []string
	for _, other := range w.routers[:min(2, len(w.routers))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", other.ip, w.ports[2]))
	}
	s := standin.Router{Name: r.id, IP: r.ip, Zone: "z1", Store: r.store.address(), Ports: w.ports, Seeds: seeds, Grace: graceBound}
	return os.WriteFile(r.settings, []byte(s.Settings()), 0o600)
}

// startRouter starts the process of a router. If it ends by itself, that is noted.
func (w *world) startRouter(r *router) error {
	process, err := start(r.log, []string{bootfile.PathEnv + "=" + r.settings}, func(line []byte) {
		// The log is for whoever explains a violation; a lost line does not change the verdict.
		_, _ = r.log.Write(append(line, '\n'))
	}, w.daemon, "edge", "--metrics", fmt.Sprint(w.metrics))
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.process = process
	r.mu.Unlock()
	go func() {
		<-process.ended
		if !process.endWanted() {
			w.evidence.exit(r.id)
		}
	}()
	return nil
}

func (r *router) current() *child {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.process
}

// end kills everything that was started.
func (w *world) end() {
	for _, r := range w.routers {
		if p := r.current(); p != nil {
			p.signal(syscall.SIGCONT)
			p.kill()
		}
		r.store.close()
		r.callers.close()
		_ = r.log.Close()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.servers {
		s.process.kill()
		s.link.close()
	}
	if w.store != nil {
		w.store.kill()
	}
}

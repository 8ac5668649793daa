package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"sync"
	"time"
)

// RelayCommand runs one relay in front of each daemon's address for its peers. A daemon is told the relay's address as its own
// (--peer-address), so that all messages between daemons pass through a relay.
type RelayCommand struct {
	Listen string   `help:"Address for POST /fault, as ip:port. {\"apart\":[\"r1\",\"r2\"]} parts these daemons from the others; {} ends that." required:"" placeholder:"IP:PORT"`
	Relays []string `help:"Relays, as daemon=ip:port=ip:port of the relay and of the daemon." required:"" placeholder:"NAME=RELAY=DAEMON"`
}

// Run runs the command until ctx ends.
func (c *RelayCommand) Run(ctx context.Context) error {
	r := &relays{}
	for _, relay := range c.Relays {
		parts := strings.Split(relay, "=")
		if len(parts) != 3 {
			return fmt.Errorf("relay %q must be daemon=ip:port=ip:port", relay)
		}
		listener, err := net.Listen("tcp", parts[1])
		if err != nil {
			return err
		}
		defer func() { _ = listener.Close() }()
		go r.serve(listener, parts[0], parts[2])
	}
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(r.fault), ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// relays passes on the connections between daemons.
type relays struct {
	mu sync.Mutex
	// apart are the daemons on one side; empty if all reach each other.
	apart []string
	links []*relayed
}

// relayed is a connection between two daemons.
type relayed struct {
	from, to  string
	near, far net.Conn
	// torn is true once bytes were dropped, after which the connection is of no use.
	torn bool
}

type wireApart struct {
	Apart []string `json:"apart"`
}

// fault parts the daemons or ends that. Connections that lost bytes are closed in the end, as the kernel would do after its
// repetitions.
func (r *relays) fault(w http.ResponseWriter, q *http.Request) {
	if q.Method == http.MethodGet {
		return
	}
	var body wireApart
	if err := json.NewDecoder(http.MaxBytesReader(w, q.Body, 1<<16)).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.apart = body.Apart
	for _, l := range r.links {
		if l.torn && !r.between(l) {
			l.close()
		}
	}
}

func (l *relayed) close() {
	_ = l.near.Close()
	_ = l.far.Close()
}

// between is true for a connection between the two sides. The caller holds the lock.
func (r *relays) between(l *relayed) bool {
	return slices.Contains(r.apart, l.from) != slices.Contains(r.apart, l.to) && len(r.apart) > 0
}

// lost reports whether bytes of a connection are dropped now.
func (r *relays) lost(l *relayed) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.between(l) {
		l.torn = true
	}
	return l.torn
}

func (r *relays) serve(listener net.Listener, to, address string) {
	for {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		go r.relay(near, to, address)
	}
}

// hello finds the name of the daemon that connects, in the first message of its connection.
var hello = regexp.MustCompile(`"id":"([^"]+)"`)

// relay passes on one connection.
func (r *relays) relay(near net.Conn, to, address string) {
	defer func() { _ = near.Close() }()
	buffer := make([]byte, 16<<10)
	n := 0
	var name [][]byte
	for name == nil {
		more, err := near.Read(buffer[n:])
		n += more
		if err != nil || n == len(buffer) {
			return
		}
		name = hello.FindSubmatch(buffer[:n])
	}
	far, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	l := &relayed{from: string(name[1]), to: to, near: near, far: far}
	r.mu.Lock()
	r.links = append(r.links, l)
	r.mu.Unlock()
	defer r.forget(l)
	if !r.lost(l) {
		if _, err := far.Write(buffer[:n]); err != nil {
			return
		}
	}
	go r.pass(l, near, far)
	r.pass(l, far, near)
}

func (r *relays) forget(l *relayed) {
	l.close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.links = slices.DeleteFunc(r.links, func(x *relayed) bool { return x == l })
}

// pass copies one direction. Dropped bytes leave the connection open, as a network that loses all packets does.
func (r *relays) pass(l *relayed, to, from net.Conn) {
	defer l.close()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !r.lost(l) {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

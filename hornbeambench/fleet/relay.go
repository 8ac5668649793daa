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

// RelayCommand runs one TCP relay in front of the peer address of each daemon. The daemons
// advertise the relays' addresses as their own (--peer-address), so that all messages between
// daemons pass through a relay.
type RelayCommand struct {
	Listen string   `help:"Address for POST /fault, as ip:port. {\"apart\":[\"r1\",\"r2\"]} partitions these daemons from the others; {} ends the partition." required:"" placeholder:"IP:PORT"`
	Relays []string `help:"Relays, as daemon=ip:port=ip:port with the addresses of the relay and of the daemon." required:"" placeholder:"NAME=RELAY=DAEMON"`
}

// Run relays connections until ctx is canceled.
func (c *RelayCommand) Run(ctx context.Context) error {
	r := &relayServer{}
	for _, relay := range c.Relays {
		parts := strings.Split(relay, "=")
		if len(parts) != 3 {
			return fmt.Errorf("relay %q does not have the form daemon=ip:port=ip:port", relay)
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
	server := &http.Server{Handler: http.HandlerFunc(r.handleFault), ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// relayServer relays the connections between daemons and drops their bytes during a partition.
type relayServer struct {
	mu sync.Mutex
	// isolated holds the daemons on one side of the partition; it is empty if there is no
	// partition.
	isolated    []string
	connections []*connection
}

// connection is a relayed connection between two daemons.
type connection struct {
	// from is the daemon that opened the connection, and to the one that the relay forwards it to.
	from, to         string
	fromConn, toConn net.Conn
	// lossy is true once bytes were dropped. All later bytes are dropped too, because the stream
	// cannot recover.
	lossy bool
}

type wireApart struct {
	Apart []string `json:"apart"`
}

// handleFault starts or ends a partition. At its end, connections that lost bytes are closed, as
// the kernel would do after its last retransmission.
func (r *relayServer) handleFault(w http.ResponseWriter, request *http.Request) {
	if request.Method == http.MethodGet {
		return
	}
	var body wireApart
	if err := json.NewDecoder(http.MaxBytesReader(w, request.Body, 1<<16)).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isolated = body.Apart
	for _, c := range r.connections {
		if c.lossy && !r.crossesPartition(c) {
			c.close()
		}
	}
}

func (c *connection) close() {
	_ = c.fromConn.Close()
	_ = c.toConn.Close()
}

// crossesPartition reports whether the daemons of a connection are on different sides of the
// partition. The caller must hold r.mu.
func (r *relayServer) crossesPartition(c *connection) bool {
	return slices.Contains(r.isolated, c.from) != slices.Contains(r.isolated, c.to) && len(r.isolated) > 0
}

// mustDrop reports whether the next bytes of a connection must be dropped, and marks the connection
// as lossy if so.
func (r *relayServer) mustDrop(c *connection) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.crossesPartition(c) {
		c.lossy = true
	}
	return c.lossy
}

// serve relays the connections that listener accepts to the daemon with the given name and address.
func (r *relayServer) serve(listener net.Listener, to, address string) {
	for {
		fromConn, err := listener.Accept()
		if err != nil {
			return
		}
		go r.relay(fromConn, to, address)
	}
}

// helloID matches the name of the connecting daemon in the first message of its connection.
var helloID = regexp.MustCompile(`"id":"([^"]+)"`)

// relay forwards one connection in both directions until either side closes it.
func (r *relayServer) relay(fromConn net.Conn, to, address string) {
	defer func() { _ = fromConn.Close() }()
	buffer := make([]byte, 16<<10)
	n := 0
	var name [][]byte
	for name == nil {
		count, err := fromConn.Read(buffer[n:])
		n += count
		if err != nil || n == len(buffer) {
			return
		}
		name = helloID.FindSubmatch(buffer[:n])
	}
	toConn, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	c := &connection{from: string(name[1]), to: to, fromConn: fromConn, toConn: toConn}
	r.mu.Lock()
	r.connections = append(r.connections, c)
	r.mu.Unlock()
	defer r.remove(c)
	if !r.mustDrop(c) {
		if _, err := toConn.Write(buffer[:n]); err != nil {
			return
		}
	}
	go r.copyOneWay(c, fromConn, toConn)
	r.copyOneWay(c, toConn, fromConn)
}

func (r *relayServer) remove(c *connection) {
	c.close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.connections = slices.DeleteFunc(r.connections, func(other *connection) bool { return other == c })
}

// copyOneWay copies one direction of a connection. Dropping bytes does not close the connection, as
// in a network that loses all packets.
func (r *relayServer) copyOneWay(c *connection, destination, source net.Conn) {
	defer c.close()
	buffer := make([]byte, 16<<10)
	for {
		n, err := source.Read(buffer)
		if n > 0 && !r.mustDrop(c) {
			if _, err := destination.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

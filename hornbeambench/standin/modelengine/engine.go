// Package modelengine is a stand-in for a model engine: the HTTP of the design page, a simple model of batching and of a
// prefix cache, and faults to order.
package modelengine

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Config are the settings of a stand-in.
type Config struct {
	// Name is the name in reports and boot identifiers.
	Name string
	// Address is the ip:port to listen on; port 0 takes any free port.
	Address string
	// Step is the time in which each running request yields one token. Default 3 ms.
	Step time.Duration
	// Running and Queue bound the requests that run and wait. Defaults 16 and 32.
	Running, Queue int
	// Tokens is the length of an answer whose request states none. Default 16.
	Tokens int
	// Prefill is the number of prompt tokens that one step reads. Default 256.
	Prefill int
	// Cache is the memory for cached prefixes, in tokens. Default 65536.
	Cache int
	// KV is the size of an exported KV cache in bytes for each token; 0 exports the names of the prefixes alone.
	KV int
	// Models are the models loaded at the start.
	Models []string
	// Fence is true if orders with an old fencing number are refused.
	Fence bool
	// Lag is the age of load reports and the delay of cache events.
	Lag time.Duration
	// Gap loses every n-th cache event; 0 loses none.
	Gap int
	// LoadTime is how long an order takes to load a model.
	LoadTime time.Duration
	// Retain is how long a finished stream can be resumed. Default 30 s.
	Retain time.Duration
}

func (c Config) withDefaults() Config {
	c.Step = or(c.Step, 3*time.Millisecond)
	c.Running = or(c.Running, 16)
	c.Queue = or(c.Queue, 32)
	c.Tokens = or(c.Tokens, 16)
	c.Prefill = or(c.Prefill, 256)
	c.Cache = or(c.Cache, 1<<16)
	c.Retain = or(c.Retain, 30*time.Second)
	c.Address = or(c.Address, "127.0.0.1:0")
	c.Name = or(c.Name, "engine")
	return c
}

func or[T comparable](value, standard T) T {
	var zero T
	if value == zero {
		return standard
	}
	return value
}

// Engine is a running stand-in.
type Engine struct {
	config Config

	mu sync.Mutex
	// address is fixed by the first start, so that a restart listens on the same port.
	address string
	server  *http.Server
	boots   int
	boot    string
	fault   Fault
	// left is the number of requests that the fault still acts on; negative for no limit.
	left int
	// frozen is closed when a hang ends; nil if there is none.
	frozen chan struct{}

	runs    map[string]*run
	running []*run
	queued  []*run
	wake    chan struct{}
	cache   *prefixCache
	orders  orderState
	reports []report
	started map[string]int
	// imports counts the KV caches taken by chat, over all lives.
	imports map[string]int
	conns   map[net.Conn]*connection
	opened  int
	closed  bool
}

// Start starts a stand-in.
func Start(c Config) (*Engine, error) {
	c = c.withDefaults()
	e := &Engine{config: c, address: c.Address, started: map[string]int{}, imports: map[string]int{}}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e, e.startLocked()
}

// startLocked begins a new life with empty memory.
func (e *Engine) startLocked() error {
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return eris.Wrapf(err, "listen on %s: choose a free address", e.address)
	}
	e.address = listener.Addr().String()
	e.boots++
	e.boot = e.config.Name + "-" + strconv.Itoa(e.boots)
	e.runs = map[string]*run{}
	e.running, e.queued = nil, nil
	e.cache = newPrefixCache(e.config.Cache, e.config.Gap)
	e.orders = newOrderState(e.config.Models)
	e.reports = nil
	e.conns = map[net.Conn]*connection{}
	e.opened = 0
	e.wake = make(chan struct{}, 1)
	e.server = &http.Server{
		Handler:           e.routes(),
		ConnContext:       e.connContext,
		ConnState:         e.connState,
		ReadHeaderTimeout: 10 * time.Second,
	}
	go e.server.Serve(listener) //nolint:errcheck // Serve always returns an error after Close.
	go e.batch(e.boot, e.wake)
	return nil
}

// Address returns the ip:port on which the stand-in listens.
func (e *Engine) Address() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.address
}

// Boot returns the identifier of the present life.
func (e *Engine) Boot() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.boot
}

// Started returns how many times a prompt was started, over all lives.
func (e *Engine) Started(prompt string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.started[prompt]
}

// Active returns the number of requests that run or wait.
func (e *Engine) Active() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running) + len(e.queued)
}

// Connections returns the number of connections that were opened in the present life.
func (e *Engine) Connections() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.opened
}

// Crash breaks every connection, forgets everything and stops listening. Restart begins the next life.
func (e *Engine) Crash() {
	if server := e.die(); server != nil {
		// The mutex must be free: closing waits for the accept loop, which may be in connContext.
		_ = server.Close()
	}
}

// die ends the life and returns its server; nil if there was none.
func (e *Engine) die() *http.Server {
	e.mu.Lock()
	defer e.mu.Unlock()
	server := e.server
	if server == nil {
		return nil
	}
	e.server = nil
	e.boot = ""
	for _, r := range e.runs {
		r.end(endCrashed)
	}
	e.running, e.queued = nil, nil
	poke(e.wake)
	return server
}

// Restart begins a new life after a crash, on the same address.
func (e *Engine) Restart() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed || e.server != nil {
		return nil
	}
	return e.startLocked()
}

// Close stops the stand-in for good.
func (e *Engine) Close() {
	e.mu.Lock()
	e.closed = true
	e.thawLocked()
	e.mu.Unlock()
	e.Crash()
}

// connection is an accepted connection; a silent one stays open and yields nothing more.
type connection struct {
	mu     sync.Mutex
	silent bool
}

func (c *connection) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

type connectionKey struct{}

func (e *Engine) connContext(ctx context.Context, conn net.Conn) context.Context {
	c := &connection{}
	e.mu.Lock()
	e.conns[conn] = c
	e.opened++
	e.mu.Unlock()
	return context.WithValue(ctx, connectionKey{}, c)
}

func (e *Engine) connState(conn net.Conn, state http.ConnState) {
	if state != http.StateClosed && state != http.StateHijacked {
		return
	}
	e.mu.Lock()
	delete(e.conns, conn)
	e.mu.Unlock()
}

func connectionOf(r *http.Request) *connection {
	c, ok := r.Context().Value(connectionKey{}).(*connection)
	if !ok {
		return &connection{}
	}
	return c
}

func poke(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

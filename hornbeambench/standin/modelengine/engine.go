// Package modelengine provides a simulated model engine for tests and experiments. It serves the
// HTTP API that docs/design.md specifies for model engines (Engine.handler lists its routes),
// simulates batching and a prefix cache, and injects faults on request.
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

// Config configures a simulated engine.
type Config struct {
	// Name is the prefix of the boot identifiers. Default: "engine".
	Name string
	// Address is the listen address (ip:port); port 0 selects a free port. Default: "127.0.0.1:0".
	Address string
	// StepInterval is the interval at which each running request generates one token. Default: 3 ms.
	StepInterval time.Duration
	// MaxRunning and MaxQueued are the maximum numbers of running and of queued requests.
	// Defaults: 16 and 32.
	MaxRunning, MaxQueued int
	// DefaultMaxTokens is the number of response tokens for a request without a token limit.
	// Default: 16.
	DefaultMaxTokens int
	// PrefillTokensPerStep is the maximum number of prompt tokens that one step processes, over all
	// requests. Default: 256.
	PrefillTokensPerStep int
	// CacheTokens is the capacity of the prefix cache in tokens. Default: 65536.
	CacheTokens int
	// KVBytesPerToken is the size of an exported KV cache in bytes per token. With 0, an export
	// contains only the keys and lengths of the prefixes.
	KVBytesPerToken int
	// Models are the models that are loaded at startup.
	Models []string
	// CheckFencingTokens enables the rejection of orders whose fencing token is below the highest
	// accepted one.
	CheckFencingTokens bool
	// ReportDelay is the delay of load reports and cache events.
	ReportDelay time.Duration
	// EventDropInterval drops every n-th cache event; 0 drops none.
	EventDropInterval int
	// ModelLoadTime is the time that an order takes to load a model.
	ModelLoadTime time.Duration
	// StreamRetention is the time for which the stream of an ended request can be resumed.
	// Default: 30 s.
	StreamRetention time.Duration
}

func (c Config) withDefaults() Config {
	c.StepInterval = valueOrDefault(c.StepInterval, 3*time.Millisecond)
	c.MaxRunning = valueOrDefault(c.MaxRunning, 16)
	c.MaxQueued = valueOrDefault(c.MaxQueued, 32)
	c.DefaultMaxTokens = valueOrDefault(c.DefaultMaxTokens, 16)
	c.PrefillTokensPerStep = valueOrDefault(c.PrefillTokensPerStep, 256)
	c.CacheTokens = valueOrDefault(c.CacheTokens, 1<<16)
	c.StreamRetention = valueOrDefault(c.StreamRetention, 30*time.Second)
	c.Address = valueOrDefault(c.Address, "127.0.0.1:0")
	c.Name = valueOrDefault(c.Name, "engine")
	return c
}

func valueOrDefault[T comparable](value, defaultValue T) T {
	var zero T
	if value == zero {
		return defaultValue
	}
	return value
}

// Engine is a simulated engine. A restart keeps its configuration, address, fault, boot count,
// attempt counts and import counts, and resets all other state.
type Engine struct {
	config Config

	mu sync.Mutex
	// address is the address that the first start bound, so that a restart uses the same port.
	address string
	server  *http.Server
	// listener is the listener of server.
	listener net.Listener
	// bootCount is the number of starts of the engine. It is the last part of the boot identifier.
	bootCount int
	// bootID changes with each start; empty while the engine is stopped.
	bootID string
	fault  Fault
	// faultsLeft is the number of requests that the fault still affects; negative if unlimited.
	faultsLeft int
	// hangEnd is closed when the current hang ends; nil if the engine does not hang.
	hangEnd chan struct{}

	// generations contains the running, the queued and the recently ended generations by attempt ID.
	generations map[string]*generation
	running     []*generation
	queued      []*generation
	// wake resumes the idle batch loop when a request arrives or the engine stops.
	wake    chan struct{}
	cache   *prefixCache
	state   engineState
	reports []loadReport
	// attemptCounts is the number of accepted attempts by prompt, including those before restarts.
	attemptCounts map[string]int
	// importCounts is the number of imported KV caches by chat, including those before restarts.
	importCounts map[string]int
	conns        map[net.Conn]*connection
	// acceptedConns is the number of connections accepted since the last start.
	acceptedConns int
	closed        bool
}

// Start starts a simulated engine.
func Start(c Config) (*Engine, error) {
	c = c.withDefaults()
	e := &Engine{config: c, address: c.Address, attemptCounts: map[string]int{}, importCounts: map[string]int{}}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e, e.startLocked()
}

// startLocked starts the engine with a new boot identifier and resets the state that does not
// survive a restart.
func (e *Engine) startLocked() error {
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return eris.Wrapf(err, "listen on %s: choose a free address", e.address)
	}
	e.address = listener.Addr().String()
	e.bootCount++
	e.bootID = e.config.Name + "-" + strconv.Itoa(e.bootCount)
	e.generations = map[string]*generation{}
	e.running, e.queued = nil, nil
	e.cache = newPrefixCache(e.config.CacheTokens, e.config.EventDropInterval)
	e.state = newEngineState(e.config.Models)
	e.reports = nil
	e.conns = map[net.Conn]*connection{}
	e.acceptedConns = 0
	e.wake = make(chan struct{}, 1)
	e.server = &http.Server{
		Handler:           e.handler(),
		ConnContext:       e.connContext,
		ConnState:         e.connState,
		ReadHeaderTimeout: 10 * time.Second,
	}
	e.listener = listener
	go e.server.Serve(listener) //nolint:errcheck // Serve always returns an error after Close.
	go e.runBatch(e.bootID, e.wake)
	return nil
}

// Address returns the listen address (ip:port).
func (e *Engine) Address() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.address
}

// BootID returns the current boot identifier; empty while the engine is stopped.
func (e *Engine) BootID() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.bootID
}

// AttemptCount returns how many attempts with the prompt were accepted, including those before
// restarts.
func (e *Engine) AttemptCount(prompt string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.attemptCounts[prompt]
}

// ActiveCount returns the number of running and queued requests.
func (e *Engine) ActiveCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running) + len(e.queued)
}

// ConnectionCount returns the number of connections that were accepted since the last start.
func (e *Engine) ConnectionCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.acceptedConns
}

// Crash simulates the end of the process: it closes the listener and all connections and fails all
// requests. Restart starts the engine again, without its earlier state.
func (e *Engine) Crash() {
	if server, listener := e.stop(); server != nil {
		// The server does not know the listener before it has begun to serve.
		_ = listener.Close()
		// The mutex must not be held here: Close waits for the accept loop, which may be blocked in
		// connContext on the mutex.
		_ = server.Close()
	}
}

// stop fails all requests and returns the HTTP server and its listener, which the caller must
// close; nil if the engine is already stopped.
func (e *Engine) stop() (*http.Server, net.Listener) {
	e.mu.Lock()
	defer e.mu.Unlock()
	server := e.server
	if server == nil {
		return nil, nil
	}
	e.server = nil
	e.bootID = ""
	for _, g := range e.generations {
		g.end(endCrashed)
	}
	e.running, e.queued = nil, nil
	signal(e.wake)
	return server, e.listener
}

// Restart starts a crashed engine again on the same address. It does nothing if the engine is
// running or closed.
func (e *Engine) Restart() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed || e.server != nil {
		return nil
	}
	return e.startLocked()
}

// Close ends a hang and stops the engine permanently.
func (e *Engine) Close() {
	e.mu.Lock()
	e.closed = true
	e.endHangLocked()
	e.mu.Unlock()
	e.Crash()
}

// connection is an accepted connection. A silent connection stays open, but the engine sends no
// more data on it.
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
	e.acceptedConns++
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

// signal sends to a buffered channel unless a signal is already pending.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Package routes finds the route, the client account and the service of an HTTP request in one version of the configuration.
package routes

import (
	"fmt"
	"strings"
	"time"
)

// Kind says how often a request of a route may run.
type Kind uint8

// The kinds of routes.
const (
	// Once requests run at most once.
	Once Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered with a series of events. They run at most once unless the route is Resumable.
	Streaming
)

// String returns the kind in lower case.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Streaming:
		return "streaming"
	default:
		return "once"
	}
}

// Share is a service that gets a part of a route's requests.
type Share struct {
	Service string
	// Weight is relative to the other shares of the route. At least 0.
	Weight int
}

// Route leads requests to a service by host and path.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Resumable streams can go on at another backend server after their last event.
	Resumable bool
	// Timeout is the longest time until the whole answer. 0 means none.
	Timeout time.Duration
	// Target is the time to the answer, or to the first event of a stream, within which callers are served well.
	Target time.Duration
	// Gap is the longest pause between two events with which a stream is served well; 0 for other kinds.
	Gap time.Duration
	// Priority is the urgency; 0 is the most urgent.
	Priority int
	// Attempts is the greatest number of backend servers that one request may be sent to. At least 1.
	Attempts int
	// Public routes need no key.
	Public bool
	// Sticky requests name the parts of their prompt, which backend servers cache.
	Sticky bool
	// Shares holds at least one service.
	Shares []Share
}

// Repeatable is true if a request may be sent again although it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Service returns the service of a request. Draw is a random number in [0,1).
func (r *Route) Service(draw float64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	at := draw * float64(total)
	for _, s := range r.Shares {
		at -= float64(s.Weight)
		if at < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Service is a group of backend servers that do the same work.
type Service struct {
	Name string
	// Health is the path of the health check; empty if there is none.
	Health string
	// Connections is the greatest number of connections that one backend server accepts from all routers; 0 if unknown.
	Connections int
	// Engine is true for services whose backend servers are model engines.
	Engine bool
	// Slots is the number of requests that one engine runs at once; 0 if unknown.
	Slots int
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority replaces that of the route if HasPriority is true.
	Priority    int
	HasPriority bool
}

// Limits bound what a caller may send and how long it may take. 0 means none.
type Limits struct {
	Header, Body               int64
	HeaderTimeout, IdleTimeout time.Duration
}

// Config is one version of the configuration.
type Config struct {
	// Version grows with each change.
	Version  int64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// InvalidError is a configuration that cannot be used.
type InvalidError struct {
	Version int64
	Route   string
	Problem string
}

func (e *InvalidError) Error() string {
	return fmt.Sprintf("version %d of the configuration, route %q: %s", e.Version, e.Route, e.Problem)
}

// Table is an immutable index of one version of the configuration.
type Table struct {
	config   Config
	hosts    map[string]map[string]*Route
	accounts map[string]*Account
	services map[string]*Service
}

// New returns the table of a configuration, which must not be changed afterwards. Errors are *InvalidError.
func New(c Config) (*Table, error) {
	t := &Table{
		config: c, hosts: map[string]map[string]*Route{}, accounts: map[string]*Account{}, services: map[string]*Service{},
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Accounts {
		for _, key := range c.Accounts[i].Keys {
			t.accounts[key] = &c.Accounts[i]
		}
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		if problem := check(r); problem != "" {
			return nil, &InvalidError{Version: c.Version, Route: r.Name, Problem: problem}
		}
		host := strings.ToLower(r.Host)
		if t.hosts[host] == nil {
			t.hosts[host] = map[string]*Route{}
		}
		t.hosts[host][r.Prefix] = r
	}
	return t, nil
}

func check(r *Route) string {
	switch {
	case len(r.Shares) == 0:
		return "it names no service"
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Sprintf("the prefix %q does not begin and end with a slash", r.Prefix)
	case r.Attempts < 1:
		return "it allows no attempt"
	}
	return ""
}

// Version returns the version of the configuration.
func (t *Table) Version() int64 { return t.config.Version }

// Limits returns the limits of callers.
func (t *Table) Limits() Limits { return t.config.Limits }

// Routes returns the number of routes.
func (t *Table) Routes() int { return len(t.config.Routes) }

// Config returns the configuration, which must not be changed.
func (t *Table) Config() Config { return t.config }

// Find returns the route of a host with the longest prefix of the path.
func (t *Table) Find(host, path string) (*Route, bool) {
	routes := t.hosts[strings.ToLower(host)]
	if routes == nil {
		return nil, false
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := routes[path[:end+1]]; r != nil {
			return r, true
		}
	}
	return nil, false
}

// HasAccounts is true if requests need a key of a client account.
func (t *Table) HasAccounts() bool { return len(t.config.Accounts) > 0 }

// Account returns the client account that holds a key.
func (t *Table) Account(key string) (*Account, bool) {
	a, ok := t.accounts[key]
	return a, ok
}

// Service returns a service. Unknown ones are returned with their name alone.
func (t *Table) Service(name string) Service {
	if s := t.services[name]; s != nil {
		return *s
	}
	return Service{Name: name}
}

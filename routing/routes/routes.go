// Package routes looks up the route, the client account and the service of an HTTP request in one
// version of the configuration.
package routes

import (
	"fmt"
	"strings"
	"time"
)

// Kind says whether the requests of a route may run more than once, and whether the response is a
// stream.
type Kind uint8

// Route.Retryable reports whether the requests of a route may be sent to a second backend server
// although the first one may have run them.
const (
	// Once: requests run at most once.
	Once Kind = iota
	// Idempotent: requests may run more than once.
	Idempotent
	// Streaming: the response is a stream of events. Requests run at most once unless the route is
	// Resumable.
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

// WeightedService is a service that gets a share of a route's requests.
type WeightedService struct {
	Service string
	// Weight is relative to the weights of the route's other services. It must not be negative.
	Weight int
}

// Route maps requests to services by host and path prefix.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Resumable is true if a stream can be resumed on another backend server after its last event.
	Resumable bool
	// Timeout is the time limit for the complete response. 0 means no limit.
	Timeout time.Duration
	// Target is the latency target for the response, or for the first event of a stream.
	Target time.Duration
	// Gap is the target for the time between two events of a stream; 0 for other kinds.
	Gap time.Duration
	// Priority is the priority of the requests; 0 is the most urgent.
	Priority int
	// Attempts is the maximum number of backend servers that one request may be sent to. At least 1.
	Attempts int
	// Public is true if requests need no API key.
	Public bool
	// Sticky is true if each request lists the IDs of its prompt parts, so that it can be sent to a
	// backend server that has these parts in its cache.
	Sticky bool
	// Shares are the services that get the requests. At least one.
	Shares []WeightedService
	// Regions are the only regions in which requests may be processed; empty allows all.
	Regions []string
}

// Retryable reports whether a request may be retried although it may already have run.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Service returns the service for a request, chosen by weight. draw is a random number in [0,1).
func (r *Route) Service(draw float64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	remaining := draw * float64(total)
	for _, s := range r.Shares {
		remaining -= float64(s.Weight)
		if remaining < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name string
	// Health is the path of the health check; empty if there is none.
	Health string
	// Connections is the maximum number of connections that one backend server accepts from all
	// routers together; 0 if unknown.
	Connections int
	// Engine is true for services whose backend servers are model engines.
	Engine bool
	// Slots is the number of requests that one engine runs concurrently; 0 if unknown.
	Slots int
	// ColdRate is the number of requests per second, from all routers together, that a cold backend
	// server withstands; 0 if it has no such limit.
	ColdRate float64
}

// KeyPolicy says whether requests on routes that are not public need an API key. It goes between
// routers as a number.
type KeyPolicy uint8

const (
	// KeysUnstated is the policy of a configuration from a release that did not send it. Keys are
	// needed if there are accounts; without accounts the policy is unknown.
	KeysUnstated KeyPolicy = iota
	// KeysOptional means that no key is needed, because client accounts are not configured.
	KeysOptional
	// KeysRequired means that a key is needed, also if the list of client accounts is empty.
	KeysRequired
)

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route if HasPriority is true.
	Priority    int
	HasPriority bool
	// Regions are the only regions in which requests of the account may be processed; empty allows
	// all. Those of the route apply too.
	Regions []string
}

// Limits are the limits on requests from callers and on their connections. 0 means no limit.
type Limits struct {
	// Header and Body are the maximum sizes in bytes of the header and of the body of a request.
	Header, Body int64
	// HeaderTimeout is the time limit for sending the header of a request. IdleTimeout is the time
	// after which an idle connection is closed.
	HeaderTimeout, IdleTimeout time.Duration
}

// Config is one version of the configuration. Routers send it to each other as JSON, so the names
// of its fields, and of the fields of the types in it, are part of the wire format.
type Config struct {
	// Version increases with each change.
	Version  int64
	Routes   []Route
	Services []Service
	Accounts []Account
	Keys     KeyPolicy
	Limits   Limits
}

// RequiresKey reports whether requests on routes that are not public need an API key. known is false
// if the configuration does not say so, because a router of an earlier release sent it.
func (c Config) RequiresKey() (required, known bool) {
	if c.Keys == KeysUnstated {
		return len(c.Accounts) > 0, len(c.Accounts) > 0
	}
	return c.Keys == KeysRequired, true
}

// InvalidError reports an invalid configuration.
type InvalidError struct {
	Version int64
	Route   string
	Problem string
}

func (e *InvalidError) Error() string {
	return fmt.Sprintf("invalid configuration version %d: route %q: %s", e.Version, e.Route, e.Problem)
}

// Table is an immutable lookup table for one version of the configuration.
type Table struct {
	config Config
	// hosts holds the routes by lower-case host and by prefix.
	hosts map[string]map[string]*Route
	// accounts holds the client accounts by API key, and services the services by name.
	accounts map[string]*Account
	services map[string]*Service
	// regions holds the regions of hosts whose routes allow only some.
	regions map[string]Regions
}

// New returns the lookup table for a configuration, which must not be changed afterwards. Errors
// are of type *InvalidError.
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
		if problem := validate(r); problem != "" {
			return nil, &InvalidError{Version: c.Version, Route: r.Name, Problem: problem}
		}
		host := strings.ToLower(r.Host)
		if t.hosts[host] == nil {
			t.hosts[host] = map[string]*Route{}
		}
		t.hosts[host][r.Prefix] = r
	}
	t.regions = regionsByHost(t.hosts)
	return t, nil
}

func validate(r *Route) string {
	switch {
	case len(r.Shares) == 0:
		return "no service is configured"
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Sprintf("prefix %q must begin and end with a slash", r.Prefix)
	case r.Attempts < 1:
		return "the number of attempts must be at least 1"
	}
	return ""
}

// Version returns the version of the configuration.
func (t *Table) Version() int64 { return t.config.Version }

// Limits returns the limits that apply to callers.
func (t *Table) Limits() Limits { return t.config.Limits }

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int { return len(t.config.Routes) }

// Config returns the configuration, which must not be changed.
func (t *Table) Config() Config { return t.config }

// Find returns the route of a host whose prefix is the longest match for the path.
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

// HostRegions returns the regions that all routes of a host allow.
func (t *Table) HostRegions(host string) Regions { return t.regions[strings.ToLower(host)] }

// RequiresKey reports whether requests need an API key unless their route is public.
func (t *Table) RequiresKey() bool {
	required, _ := t.config.RequiresKey()
	return required
}

// Account returns the client account to which an API key belongs.
func (t *Table) Account(key string) (*Account, bool) {
	a, ok := t.accounts[key]
	return a, ok
}

// Service returns a service by name. For an unknown name, only the name is set in the result.
func (t *Table) Service(name string) Service {
	if s := t.services[name]; s != nil {
		return *s
	}
	return Service{Name: name}
}

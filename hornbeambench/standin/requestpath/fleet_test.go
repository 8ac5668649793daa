package requestpath

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/hornbeambench/standin/modelengine"
	"hornbeamstep.example/hornbeambench/standin/plainservice"
	"hornbeamstep.example/hornbeamd/caller"
	"hornbeamstep.example/policy"
	"hornbeamstep.example/routing/outcome"
	"hornbeamstep.example/timeline"
)

const key = "key-of-kariakoo"

// dispatcher grants the first backend server that is not to be avoided, and keeps claims in memory.
type dispatcher struct {
	mu       sync.Mutex
	policy   policy.Policy
	engines  []caller.Grant
	services []caller.Grant
	budget   int
	draining bool
	claimErr error
	held     int
	results  []caller.Result
	asks     []caller.SlotRequest
	claims   map[caller.ClaimKey]caller.Claim
	finished chan struct{}
}

func (d *dispatcher) Policy() policy.Policy { return d.policy }

func (d *dispatcher) Admit(_ context.Context, a caller.SlotRequest) (caller.Grant, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.asks = append(d.asks, a)
	list := d.engines
	if a.Service != "" {
		list = d.services
	}
	for _, g := range list {
		if !slices.Contains(a.ExcludedBackends, g.Backend) {
			d.held++
			return g, nil
		}
	}
	return caller.Grant{}, &outcome.Error{
		Code: outcome.NoBackend, Outcome: outcome.NotRun, Status: 503, Message: "none is left", RetryAfter: time.Second,
	}
}

func (d *dispatcher) Release(_ caller.Grant, r caller.Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.held--
	d.results = append(d.results, r)
}

func (d *dispatcher) Route(string, string, string) caller.RouteResponse {
	return caller.RouteResponse{Addresses: []caller.Address{{Address: "127.0.0.1:9", Zone: "Ubungo"}}}
}

func identity(k caller.ClaimKey) caller.ClaimKey {
	return caller.ClaimKey{Account: k.Account, Key: k.Key}
}

func (d *dispatcher) Claim(_ context.Context, k caller.ClaimKey) (caller.Claim, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.claimErr != nil {
		return caller.Claim{}, d.claimErr
	}
	stands, ok := d.claims[identity(k)]
	if ok && stands.State != caller.StateReleased {
		return stands, nil
	}
	d.claims[identity(k)] = caller.Claim{Key: k, State: caller.StateClaimed, Fingerprint: k.Fingerprint}
	return caller.Claim{Key: k, Won: true}, nil
}

func (d *dispatcher) FinishClaim(_ context.Context, c caller.Claim, state string, answer []byte) error {
	d.mu.Lock()
	d.claims[identity(c.Key)] = caller.Claim{Key: c.Key, State: state, Fingerprint: c.Key.Fingerprint, Answer: answer}
	d.mu.Unlock()
	d.finished <- struct{}{}
	return nil
}

func (d *dispatcher) AllowRetry(string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget--
	return d.budget >= 0
}

func (d *dispatcher) Draining() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.draining
}

func (d *dispatcher) Ready() error          { return nil }
func (d *dispatcher) Record(timeline.Event) {}

// endings returns how the attempts ended.
func (d *dispatcher) endings() []caller.Ending {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []caller.Ending
	for _, r := range d.results {
		list = append(list, r.Ending)
	}
	return list
}

// fleet is a router with two engines and two replicas of two plain services.
type fleet struct {
	*dispatcher
	router   *caller.Server
	url      string
	engines  []*modelengine.Engine
	replicas []*plainservice.Service
}

func start(t testing.TB, change ...func(*caller.Options, *modelengine.Config)) *fleet {
	c := qt.New(t)
	d := &dispatcher{budget: 10, claims: map[caller.ClaimKey]caller.Claim{}, finished: make(chan struct{}, 16)}
	p := policy.New()
	p.Models = map[string]policy.Model{"letters": {Name: "letters", Pool: "letters", Adapters: []string{"swahili"}}}
	p.Services = map[string]policy.Service{
		"records": {Name: "records", Retryable: true, Timeout: 20 * time.Second},
		"intake":  {Name: "intake", Timeout: 20 * time.Second},
		"checked": {Name: "checked", Deduplicates: true, Timeout: 20 * time.Second},
	}
	d.policy = p.WithAccounts(map[string]policy.Account{
		"kariakoo": {Name: "kariakoo", Keys: []string{policy.Digest(key)}, Models: []string{"letters"}, Services: []string{"*"}, Weight: 1},
	})
	o := caller.Options{Dispatcher: d, RouteTTL: time.Millisecond}
	o.Engine.FirstChunkTimeout, o.Engine.ProgressTimeout = 5*time.Second, 5*time.Second
	e := modelengine.Config{StepInterval: time.Millisecond}
	for _, f := range change {
		f(&o, &e)
	}
	f := &fleet{dispatcher: d}
	for _, name := range []string{"e1", "e2"} {
		e.Name = name
		engine, err := modelengine.Start(e)
		c.Assert(err, qt.IsNil)
		t.Cleanup(engine.Close)
		f.engines = append(f.engines, engine)
		d.engines = append(d.engines, caller.Grant{Backend: name, Address: engine.Address(), Pool: "letters"})
		replica, err := plainservice.Start("127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		t.Cleanup(replica.Close)
		f.replicas = append(f.replicas, replica)
		d.services = append(d.services, caller.Grant{Backend: "s" + name, Address: replica.Address()})
	}
	router, err := caller.New(o)
	c.Assert(err, qt.IsNil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	go router.Serve(listener)
	t.Cleanup(func() { router.Close() })
	f.router, f.url = router, "http://"+listener.Addr().String()
	return f
}

// request makes a request with the account's key. Pairs of names and values go into the header.
func (f *fleet) request(method, path, body string, pairs ...string) *http.Request {
	r, err := http.NewRequest(method, f.url+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i+1 < len(pairs); i += 2 {
		r.Header.Set(pairs[i], pairs[i+1])
	}
	return r
}

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
	"hornbeamstep.example/routing/quarantine"
	"hornbeamstep.example/timeline"
)

const apiKey = "key-of-kariakoo"

// fakeDispatcher is a caller.Dispatcher for tests. It grants the first backend server that is not
// excluded, and stores claims in memory.
type fakeDispatcher struct {
	mu       sync.Mutex
	policy   policy.Policy
	engines  []caller.Grant
	services []caller.Grant
	// retryBudget is the number of retries still allowed.
	retryBudget int
	draining    bool
	// claimErr, if set, is returned by Claim.
	claimErr error
	// onTrial is true if requests go on after their callers have left.
	onTrial bool
	// openGrants is the number of grants that are not released.
	openGrants   int
	results      []caller.Result
	slotRequests []caller.SlotRequest
	claims       map[caller.ClaimKey]caller.Claim
	// claimFinished receives a value for each call of FinishClaim.
	claimFinished chan struct{}
}

func (d *fakeDispatcher) Policy() policy.Policy { return d.policy }

func (d *fakeDispatcher) Admit(_ context.Context, req caller.SlotRequest) (caller.Grant, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.slotRequests = append(d.slotRequests, req)
	grants := d.engines
	if req.Service != "" {
		grants = d.services
	}
	for _, grant := range grants {
		if !slices.Contains(req.ExcludedBackends, grant.Backend) {
			d.openGrants++
			return grant, nil
		}
	}
	return caller.Grant{}, &outcome.Error{
		Code: outcome.NoBackend, Outcome: outcome.NotRun, Status: 503, Message: "none is left", RetryAfter: time.Second,
	}
}

func (d *fakeDispatcher) Release(_ caller.Grant, r caller.Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.openGrants--
	d.results = append(d.results, r)
}

func (d *fakeDispatcher) RecordAnswer(string, []quarantine.PartKey) {}

func (d *fakeDispatcher) BeginTrial(string) (func(), bool) { return func() {}, d.onTrial }

func (d *fakeDispatcher) Route(string, string, string) caller.RouteResponse {
	return caller.RouteResponse{Addresses: []caller.Address{{Address: "127.0.0.1:9", Zone: "Ubungo"}}}
}

// claimID returns the fields of a claim key that identify the claim.
func claimID(k caller.ClaimKey) caller.ClaimKey {
	return caller.ClaimKey{Account: k.Account, Key: k.Key}
}

func (d *fakeDispatcher) Claim(_ context.Context, k caller.ClaimKey) (caller.Claim, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.claimErr != nil {
		return caller.Claim{}, d.claimErr
	}
	existing, ok := d.claims[claimID(k)]
	if ok && existing.State != caller.StateReleased {
		return existing, nil
	}
	d.claims[claimID(k)] = caller.Claim{Key: k, State: caller.StateClaimed, Fingerprint: k.Fingerprint}
	return caller.Claim{Key: k, MayRun: true}, nil
}

func (d *fakeDispatcher) FinishClaim(_ context.Context, c caller.Claim, state string, response []byte) error {
	d.mu.Lock()
	d.claims[claimID(c.Key)] = caller.Claim{Key: c.Key, State: state, Fingerprint: c.Key.Fingerprint, Response: response}
	d.mu.Unlock()
	d.claimFinished <- struct{}{}
	return nil
}

func (d *fakeDispatcher) AllowRetry(string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retryBudget--
	return d.retryBudget >= 0
}

func (d *fakeDispatcher) Draining() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.draining
}

func (d *fakeDispatcher) Ready() error          { return nil }
func (d *fakeDispatcher) Record(timeline.Event) {}

// endings returns how the attempts ended, in the order in which their grants were released.
func (d *fakeDispatcher) endings() []caller.Ending {
	d.mu.Lock()
	defer d.mu.Unlock()
	var endings []caller.Ending
	for _, r := range d.results {
		endings = append(endings, r.Ending)
	}
	return endings
}

// fixture is a router with two model engines, e1 and e2, and two replicas that both serve every
// plain service.
type fixture struct {
	*fakeDispatcher
	router   *caller.Server
	url      string
	engines  []*modelengine.Engine
	replicas []*plainservice.Service
}

// newFixture starts a router with its backend servers. Each function in configure changes the
// options.
func newFixture(t testing.TB, configure ...func(*caller.Options, *modelengine.Config)) *fixture {
	c := qt.New(t)
	d := &fakeDispatcher{retryBudget: 10, claims: map[caller.ClaimKey]caller.Claim{}, claimFinished: make(chan struct{}, 16)}
	p := policy.New()
	p.Models = map[string]policy.Model{"letters": {Name: "letters", Pool: "letters", Adapters: []string{"swahili"}}}
	p.Services = map[string]policy.Service{
		"records": {Name: "records", Retryable: true, Timeout: 20 * time.Second},
		"intake":  {Name: "intake", Timeout: 20 * time.Second},
		"checked": {Name: "checked", Deduplicates: true, Timeout: 20 * time.Second},
	}
	d.policy = p.WithAccounts(map[string]policy.Account{
		"kariakoo": {Name: "kariakoo", Keys: []string{policy.Digest(apiKey)}, Models: []string{"letters"}, Services: []string{"*"}, Weight: 1},
	})
	options := caller.Options{Dispatcher: d, RouteTTL: time.Millisecond}
	options.Engine.FirstChunkTimeout, options.Engine.ProgressTimeout = 5*time.Second, 5*time.Second
	engineConfig := modelengine.Config{StepInterval: time.Millisecond}
	for _, apply := range configure {
		apply(&options, &engineConfig)
	}
	f := &fixture{fakeDispatcher: d}
	for _, name := range []string{"e1", "e2"} {
		engineConfig.Name = name
		engine, err := modelengine.Start(engineConfig)
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
	router, err := caller.New(options)
	c.Assert(err, qt.IsNil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	if options.Guard != nil {
		listener = options.Guard.Listener(listener, false)
	}
	go router.Serve(listener)
	t.Cleanup(func() { router.Close() })
	f.router, f.url = router, "http://"+listener.Addr().String()
	return f
}

// request returns a request with the API key of the client account. headers contains names and
// values in turn.
func (f *fixture) request(method, path, body string, headers ...string) *http.Request {
	r, err := http.NewRequest(method, f.url+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Header.Set("Authorization", "Bearer "+apiKey)
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	return r
}

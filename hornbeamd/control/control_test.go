package control_test

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"hornbeamstep.example/coord/owner"
	"hornbeamstep.example/hornbeamd/caller"
	"hornbeamstep.example/hornbeamd/control"
	"hornbeamstep.example/hornbeamd/engine"
	"hornbeamstep.example/hornbeamd/settings"
	"hornbeamstep.example/policy"
	"hornbeamstep.example/policy/history"
	"hornbeamstep.example/routing/admission"
	"hornbeamstep.example/routing/outcome"
)

// fakeEngine is an engine that reports no load and no cache events.
type fakeEngine struct{}

func (fakeEngine) Load(context.Context) (engine.Report, error) { return engine.Report{Boot: "1"}, nil }

func (fakeEngine) Events(context.Context, int64) (engine.Events, error) {
	return engine.Events{Boot: "1"}, nil
}

func (fakeEngine) Close() {}

func configuration(rev int64, state policy.State) history.Snapshot {
	p := policy.New().WithRevision(rev)
	p.Pools = map[string]policy.Pool{"p": {Name: "p", Bound: 1.25, Queue: 8, Wait: 200 * time.Millisecond}}
	p.Models = map[string]policy.Model{"m": {Name: "m", Pool: "p"}}
	p.Backends = map[string]policy.Backend{
		"e1": {Name: "e1", Pool: "p", Address: "127.0.0.1:1", Zone: "z", Weight: 1, State: state},
	}
	p.Services = map[string]policy.Service{"s": {Name: "s", Retryable: true}}
	for _, name := range []string{"s1", "s2", "s3"} {
		// Port 1 of the loopback address refuses connections, like a replica that has crashed.
		p.Backends[name] = policy.Backend{Name: name, Service: "s", Address: "127.0.0.1:1", Zone: "z", Weight: 1, State: policy.InService}
	}
	return history.Snapshot{Revision: history.Revision{Number: rev}, Policy: p}
}

// start runs a loop with the given peers and engines that report no load.
func start(t *testing.T, peers control.Peers) (*control.Loop, *history.ActiveConfig) {
	return startWithEngine(t, peers, fakeEngine{}, nil)
}

// startWithEngine runs a loop with one client for all engines, and with a clock unless it is nil.
func startWithEngine(t *testing.T, peers control.Peers, e control.Engine, now func() time.Time) (*control.Loop, *history.ActiveConfig) {
	s, err := settings.Default("r1", "z")
	qt.Assert(t, err, qt.IsNil)
	inForce := &history.ActiveConfig{}
	inForce.Accept(configuration(1, policy.InService))
	l := &control.Loop{
		Settings: s, Peers: peers, InForce: inForce, Log: zap.NewNop(),
		NewEngine: func(policy.Backend) control.Engine { return e },
		Now:       now,
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- l.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	for l.Policy().Revision == 0 {
		time.Sleep(time.Millisecond)
	}
	return l, inForce
}

func singleRouter(engines ...owner.Engine) *control.SingleRouter {
	return &control.SingleRouter{
		Self: owner.Router{ID: "r1", Zone: "z"}, Engines: engines, Pools: []string{"p"},
		Address: control.Address{CallerAddress: "127.0.0.1:8080", Zone: "z"},
	}
}

func newSlotRequest(request string) caller.SlotRequest {
	return caller.SlotRequest{
		RequestID: request, Account: "a", Chat: "c", Model: "m", Fingerprint: request, Weight: 1, Cost: 1, Attempt: 1,
		Deadline: time.Now().Add(time.Minute),
	}
}

// Guards against more slots than the conservative fallback allows on an engine whose owner does not
// answer.
func TestFallbackGateBoundsSlots(t *testing.T) {
	l, _ := start(t, singleRouter())
	first, err := l.Admit(t.Context(), newSlotRequest("q1"))
	qt.Assert(t, err, qt.IsNil)
	_, err = l.Admit(t.Context(), newSlotRequest("q2"))
	var refused *outcome.Error
	qt.Assert(t, errors.As(err, &refused), qt.IsTrue)
	qt.Check(t, refused.Outcome, qt.Equals, outcome.NotRun)
	l.Release(first, caller.Result{Ending: caller.EndedOK, RequestID: "q1", Fingerprint: "q1"})
	_, err = l.Admit(t.Context(), newSlotRequest("q3"))
	qt.Check(t, err, qt.IsNil)
}

// Guards against requests to an engine that is leaving service while the router still owns it.
func TestLeavingEngineGetsNoRequests(t *testing.T) {
	l, inForce := start(t, singleRouter(owner.Engine{ID: "e1", Zone: "z"}))
	grant, err := l.Admit(t.Context(), newSlotRequest("q1"))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, grant.Backend, qt.Equals, "e1")
	inForce.Accept(configuration(2, policy.Leaving))
	for l.Policy().Revision < 2 {
		time.Sleep(time.Millisecond)
	}
	_, err = l.Admit(t.Context(), newSlotRequest("q2"))
	var refused *outcome.Error
	qt.Assert(t, errors.As(err, &refused), qt.IsTrue)
	qt.Check(t, refused.Code, qt.Equals, outcome.NoBackend)
	qt.Check(t, refused.Outcome, qt.Equals, outcome.NotRun)
}

// Guards against a late read of an older revision that replaces a newer configuration.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	l, inForce := start(t, singleRouter(owner.Engine{ID: "e1", Zone: "z"}))
	inForce.Accept(configuration(3, policy.InService))
	for l.Policy().Revision < 3 {
		time.Sleep(time.Millisecond)
	}
	qt.Check(t, inForce.Accept(configuration(2, policy.InService)), qt.IsFalse)
	time.Sleep(200 * time.Millisecond)
	qt.Check(t, l.Policy().Revision, qt.Equals, int64(3))
}

// Guards against a slot that is never freed because it was granted while its caller was leaving the
// queue.
func TestSlotIsKeptWhenCallerLeavesQueue(t *testing.T) {
	l, _ := start(t, singleRouter(owner.Engine{ID: "e1", Zone: "z"}))
	var grants []caller.Grant
	for {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		g, err := l.Admit(ctx, newSlotRequest("q"+time.Now().String()))
		cancel()
		if err != nil {
			break
		}
		grants = append(grants, g)
	}
	qt.Assert(t, len(grants) > 0, qt.IsTrue)
	for _, g := range grants {
		l.Release(g, caller.Result{Ending: caller.EndedOK})
	}
	_, err := l.Admit(t.Context(), newSlotRequest("last"))
	qt.Check(t, err, qt.IsNil)
}

// Guards against a call that crashes one replica of a plain service after another, and against a
// count of the account's requests in progress that never falls after crashes and refusals.
func TestCallThatCrashesReplicasIsQuarantined(t *testing.T) {
	l, _ := start(t, singleRouter())
	call := newSlotRequest("q1")
	call.Model, call.Service = "", "s"
	for range 2 {
		grant, err := l.Admit(t.Context(), call)
		qt.Assert(t, err, qt.IsNil)
		l.Release(grant, caller.Result{Ending: caller.EndedCrashed, RequestID: call.RequestID, Fingerprint: call.Fingerprint})
		call.ExcludedBackends = append(call.ExcludedBackends, grant.Backend)
	}
	_, err := l.Admit(t.Context(), call)
	var refused *outcome.Error
	qt.Assert(t, errors.As(err, &refused), qt.IsTrue)
	qt.Check(t, refused.Code, qt.Equals, outcome.Quarantined)
	qt.Check(t, l.Accounts(1)[0].Running, qt.Equals, 0)
}

// silentOwner is a fleet in which the owner of every engine does not answer and another router, r2,
// stands in for it.
type silentOwner struct {
	*control.SingleRouter

	askedRouters   []string
	shareRequested bool
}

func (p *silentOwner) Owners() *owner.Snapshot {
	return owner.Compute(owner.Input{
		Self: "r1", Routers: []owner.Router{{ID: "lost", Zone: "z"}}, Engines: []owner.Engine{{ID: "e1", Zone: "z"}},
	}).WithTrust(true)
}

func (p *silentOwner) Take(_ context.Context, router, _ string, slotRequest control.EngineSlotRequest) (control.Answer, error) {
	p.askedRouters = append(p.askedRouters, router)
	if router == "lost" {
		return control.Answer{}, errors.New("connection refused")
	}
	p.shareRequested = slotRequest.Fallback
	return control.Answer{Action: admission.Action{Kind: admission.Granted, Request: slotRequest.SlotRequest, Slot: admission.Slot{ID: 1}}}, nil
}

func (p *silentOwner) FallbackOwner(string, []string) string { return "r2" }

// Guards against a fallback gate on each router for the engine of a lost owner, which together
// would exceed the load bound, and against requests that each wait for the silent owner.
func TestOneRouterStandsInForALostOwner(t *testing.T) {
	p := &silentOwner{SingleRouter: singleRouter()}
	l, _ := start(t, p)
	for _, request := range []string{"q1", "q2"} {
		_, err := l.Admit(t.Context(), newSlotRequest(request))
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Check(t, p.askedRouters, qt.DeepEquals, []string{"lost", "r2", "r2"})
	qt.Check(t, p.shareRequested, qt.IsTrue)
}

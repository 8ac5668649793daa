package requestpath

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/hornbeambench/standin/modelengine"
	"hornbeamstep.example/hornbeambench/standin/plainservice"
	"hornbeamstep.example/hornbeamd/caller"
	"hornbeamstep.example/routing/outcome"
)

// eventually waits for a state that another goroutine brings about; the test's own limit ends the wait.
func eventually(holds func() bool) {
	for !holds() {
		time.Sleep(time.Millisecond)
	}
}

// Guards against "not run" for a request of which an earlier attempt may have run, and against retries without a budget.
func TestOutcomeOfAllAttempts(t *testing.T) {
	crash := modelengine.Fault{Kind: modelengine.Crash}
	refuse := modelengine.Fault{Kind: modelengine.Refuse}
	tests := map[string]struct {
		faults  [2]modelengine.Fault
		stopped bool
		budget  int
		outcome string
		code    string
		starts  int
	}{
		"crash then refusal":   {faults: [2]modelengine.Fault{crash, refuse}, budget: 9, outcome: "unknown", code: "no_backend", starts: 1},
		"bad request":          {faults: [2]modelengine.Fault{{Kind: modelengine.Status, StatusCode: 400}}, budget: 9, outcome: "unknown", code: "bad_request", starts: 1},
		"engine's own key":     {faults: [2]modelengine.Fault{{Kind: modelengine.Status, StatusCode: 401}, refuse}, budget: 9, outcome: "unknown", code: "no_backend", starts: 1},
		"two refusals":         {faults: [2]modelengine.Fault{refuse, refuse}, budget: 9, outcome: "not run", code: "no_backend"},
		"two crashes":          {faults: [2]modelengine.Fault{crash, crash}, budget: 9, outcome: "unknown", code: "no_backend", starts: 2},
		"crash without budget": {faults: [2]modelengine.Fault{crash, {}}, outcome: "unknown", code: "backend_failed", starts: 1},
		"no engine listens":    {stopped: true, budget: 9, outcome: "not run", code: "no_backend"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := start(t)
			f.budget = test.budget
			for i, engine := range f.engines {
				engine.SetFault(test.faults[i])
				if test.stopped {
					engine.Crash()
				}
			}
			got := send(f.request("POST", "/v1/chat/completions", chatBody(prompt, false)))
			c.Assert(got.failure.Error.Outcome, qt.Equals, test.outcome)
			c.Assert(got.failure.Error.Code, qt.Equals, test.code)
			c.Assert(got.header.Get("Retry-After") == "", qt.Equals, test.code == "bad_request")
			starts := f.engines[0].StartCount(modelengine.UserPrompt(prompt)) + f.engines[1].StartCount(modelengine.UserPrompt(prompt))
			c.Assert(starts, qt.Equals, test.starts)
			c.Assert(f.held, qt.Equals, 0, qt.Commentf("slots not released"))
		})
	}
}

// Guards against work that goes on for a caller who has left, and against blaming the engine for it.
func TestCallerLeaves(t *testing.T) {
	c := qt.New(t)
	f := start(t)
	f.engines[0].SetFault(modelengine.Fault{Kind: modelengine.Hang})
	ctx, leave := context.WithCancel(context.Background())
	go send(f.request("POST", "/v1/chat/completions", chatBody(prompt, true)).WithContext(ctx))
	eventually(func() bool { return f.router.Active() == 1 })
	f.engines[0].SetFault(modelengine.Fault{Kind: modelengine.Slow, Delay: 50 * time.Millisecond})
	eventually(func() bool { return f.engines[0].ActiveCount() == 1 })
	leave()
	eventually(func() bool { return f.engines[0].ActiveCount() == 0 && len(f.endings()) == 1 })
	c.Assert(f.endings()[0], qt.Equals, caller.EndedCancelled)
}

// Guards against streams that look dead to callers while the engine takes long over a token.
func TestHeartbeat(t *testing.T) {
	c := qt.New(t)
	f := start(t, func(o *caller.Options, _ *modelengine.Config) { o.HeartbeatInterval = 10 * time.Millisecond })
	f.engines[0].SetFault(modelengine.Fault{Kind: modelengine.Late, Delay: 200 * time.Millisecond, Times: 1})
	got := send(f.request("POST", "/v1/chat/completions", chatBody(prompt, true)))
	c.Assert(got.comments > 0, qt.IsTrue)
	c.Assert(got.text, qt.Equals, wanted)
}

// Guards against a late answer that is read as the answer to the next request on the same connection.
func TestConnectionsAfterFailureAreNotReused(t *testing.T) {
	c := qt.New(t)
	f := start(t, quick)
	for range 5 {
		got := send(f.request("POST", "/v1/chat/completions", chatBody(prompt, true)))
		c.Assert(got.text, qt.Equals, wanted)
	}
	c.Assert(f.engines[0].ConnectionCount() < 5, qt.IsTrue, qt.Commentf("a connection in order is reused"))
	f.engines[0].SilenceConnections()
	got := send(f.request("POST", "/v1/chat/completions", chatBody("a second chat", true)))
	c.Assert(got.text, qt.Equals, modelengine.CompletionText(modelengine.UserPrompt("a second chat"), length))
	c.Assert(f.endings()[5], qt.Equals, caller.EndedTimedOut, qt.Commentf("the request never reached the engine"))
}

// Guards against a second run of a call that may not be repeated, and against false statements about it.
func TestAtMostOnce(t *testing.T) {
	tests := map[string]struct {
		fault   plainservice.Fault
		outcome string
		code    string
		runs    int
		// again is the code of the answer to the same request under the same key.
		again string
	}{
		"crash after the run":  {fault: plainservice.Fault{Kind: plainservice.Crash, Times: 1}, outcome: "unknown", code: "backend_failed", runs: 1, again: "may_have_run"},
		"crash before the run": {fault: plainservice.Fault{Kind: plainservice.Hangup, Times: 1}, outcome: "unknown", code: "backend_failed", again: "may_have_run"},
		"truncated answer":     {fault: plainservice.Fault{Kind: plainservice.Truncate, Times: 1}, outcome: "unknown", code: "backend_failed", runs: 1, again: "may_have_run"},
		"crossed answer":       {fault: plainservice.Fault{Kind: plainservice.Crossed, Times: 1}, outcome: "unknown", code: "protocol_error", runs: 1, again: "may_have_run"},
		"no answer":            {fault: plainservice.Fault{Kind: plainservice.Hang, Times: 1}, outcome: "unknown", code: "deadline", runs: 1, again: "may_have_run"},
		"refused once":         {fault: plainservice.Fault{Kind: plainservice.Refuse, Times: 1}, runs: 1},
		"answered":             {runs: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := start(t, func(o *caller.Options, _ *modelengine.Config) {
				if test.fault.Kind == plainservice.Hang {
					o.Service.ProgressTimeout = 300 * time.Millisecond
				}
			})
			f.replicas[0].SetFault(test.fault)
			call := func(body string) received {
				return send(f.request("POST", "/v1/services/intake/tickets?load=3", body, "Idempotency-Key", "ticket-7"))
			}
			got := call("settle")
			<-f.finished
			c.Assert(got.failure.Error.Code, qt.Equals, test.code)
			c.Assert(got.failure.Error.Outcome, qt.Equals, test.outcome)
			again := call("settle")
			c.Assert(again.failure.Error.Code, qt.Equals, test.again)
			if test.again == "" {
				c.Assert(again.body, qt.Equals, got.body)
				c.Assert(strings.Contains(got.body, `"path":"/tickets"`), qt.IsTrue)
			}
			c.Assert(call("settle another").failure.Error.Code, qt.Equals, "key_reused")
			c.Assert(f.replicas[0].Runs("ticket-7")+f.replicas[1].Runs("ticket-7"), qt.Equals, test.runs)
			c.Assert(f.held, qt.Equals, 0)
		})
	}
}

// Guards against a claim that is skipped, kept after a refusal, or answered falsely while its request is in progress.
func TestClaims(t *testing.T) {
	c := qt.New(t)
	f := start(t)
	ticket := func(service string, pairs ...string) received {
		return send(f.request("POST", "/v1/services/"+service+"/tickets", "settle", pairs...))
	}
	c.Assert(ticket("intake").failure.Error.Code, qt.Equals, "key_missing")

	f.claimErr = &outcome.Error{Code: outcome.ClaimUnavailable, Outcome: outcome.NotRun, Status: http.StatusServiceUnavailable, RetryAfter: time.Second}
	c.Assert(ticket("intake", "Idempotency-Key", "1").failure.Error.Code, qt.Equals, "claim_unavailable")
	c.Assert(f.replicas[0].Runs("1"), qt.Equals, 0)
	c.Assert(ticket("checked", "Idempotency-Key", "1").status, qt.Equals, http.StatusOK, qt.Commentf("the service checks keys itself"))
	f.claimErr = nil

	for _, replica := range f.replicas {
		replica.SetFault(plainservice.Fault{Kind: plainservice.Refuse})
	}
	c.Assert(ticket("intake", "Idempotency-Key", "2").failure.Error.Outcome, qt.Equals, "not run")
	<-f.finished
	f.replicas[0].SetFault(plainservice.Fault{Kind: plainservice.Hang, Times: 1})
	ctx, leave := context.WithCancel(context.Background())
	go send(f.request("POST", "/v1/services/intake/tickets", "settle", "Idempotency-Key", "2").WithContext(ctx))
	eventually(func() bool { return f.replicas[0].Runs("2") == 1 })
	c.Assert(ticket("intake", "Idempotency-Key", "2").failure.Error.Code, qt.Equals, "in_progress")
	leave()
	<-f.finished
	c.Assert(ticket("intake", "Idempotency-Key", "2").failure.Error.Code, qt.Equals, "may_have_run")

	f.replicas[0].SetFault(plainservice.Fault{})
	f.replicas[0].SetSize(10_000)
	c.Assert(ticket("intake", "Idempotency-Key", "3").status, qt.Equals, http.StatusOK)
	<-f.finished
	c.Assert(ticket("intake", "Idempotency-Key", "3").failure.Error.Code, qt.Equals, "already_ran", qt.Commentf("too large to keep"))
	c.Assert(f.replicas[0].Runs("3"), qt.Equals, 1)

	key := []string{"Idempotency-Key", "4"}
	first := send(f.request("POST", "/v1/chat/completions", chatBody(prompt, false), key...))
	<-f.finished
	c.Assert(send(f.request("POST", "/v1/chat/completions", chatBody(prompt, false), key...)).body, qt.Equals, first.body)
	c.Assert(f.engines[0].StartCount(modelengine.UserPrompt(prompt)), qt.Equals, 1)
}

// Guards against truncated or crossed answers of repeatable services that reach the caller as if they were in order.
func TestServiceFaults(t *testing.T) {
	for _, kind := range []plainservice.FaultKind{
		plainservice.Truncate, plainservice.Crossed, plainservice.Crash, plainservice.Hangup, plainservice.Refuse,
	} {
		t.Run(string(kind), func(t *testing.T) {
			c := qt.New(t)
			f := start(t)
			f.replicas[0].SetFault(plainservice.Fault{Kind: kind})
			got := send(f.request("GET", "/v1/services/records/trainees/14", ""))
			c.Assert(got.status, qt.Equals, http.StatusOK)
			c.Assert(f.replicas[1].Ledger(), qt.HasLen, 1)
		})
	}
	c := qt.New(t)
	f := start(t)
	f.replicas[0].SetSize(1 << 20)
	c.Assert(len(send(f.request("GET", "/v1/services/records/all", "")).body) > 1<<20, qt.IsTrue)
	f.replicas[0].SetFault(plainservice.Fault{Kind: plainservice.Truncate})
	c.Assert(send(f.request("GET", "/v1/services/records/all", "")).broken, qt.IsTrue, qt.Commentf("a cut shows as a cut"))
}

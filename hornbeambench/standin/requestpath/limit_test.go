package requestpath

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"hornbeamstep.example/hornbeambench/standin/modelengine"
	"hornbeamstep.example/hornbeambench/standin/plainservice"
	"hornbeamstep.example/hornbeamd/caller"
	"hornbeamstep.example/hornbeamd/clientconn"
	"hornbeamstep.example/hornbeamd/memory"
)

// Guards against invalid requests that reach a backend server, that get a response without the
// typed error, or after which the router serves no further requests.
func TestRequestValidation(t *testing.T) {
	f := newFixture(t, func(o *caller.Options, _ *modelengine.Config) { o.MaxBodyBytes = 1000 })
	const chat = "/v1/chat/completions"
	tests := map[string]struct {
		method, path, body string
		headers            []string
		status             int
		code               string
	}{
		"no API key":            {"POST", chat, "{}", []string{"Authorization", ""}, 401, "bad_key"},
		"unknown API key":       {"POST", chat, "{}", []string{"Authorization", "Bearer x"}, 401, "bad_key"},
		"malformed":             {"POST", chat, "{", nil, 400, "bad_request"},
		"null":                  {"POST", chat, "null", nil, 400, "bad_request"},
		"wrong type":            {"POST", chat, `{"model":7}`, nil, 400, "bad_request"},
		"no messages":           {"POST", chat, `{"model":"letters"}`, nil, 400, "bad_request"},
		"no role":               {"POST", chat, `{"model":"letters","messages":[{}]}`, nil, 400, "bad_request"},
		"unknown model":         {"POST", chat, `{"model":"x","messages":[{"role":"user"}]}`, nil, 404, "unknown_model"},
		"unknown adapter":       {"POST", chat, `{"model":"letters:x","messages":[{"role":"user"}]}`, nil, 404, "unknown_model"},
		"large body":            {"POST", chat, strings.Repeat("x", 1001), nil, 413, "too_large"},
		"large header":          {"POST", chat, "{}", []string{"Filler", strings.Repeat("x", 40_000)}, 431, "too_large"},
		"long chat ID":          {"POST", chat, chatBody("x", true), []string{"Chat-Id", strings.Repeat("x", 300)}, 400, "bad_request"},
		"long idempotency key":  {"POST", chat, chatBody("x", true), []string{"Idempotency-Key", strings.Repeat("x", 300)}, 400, "bad_request"},
		"unknown path":          {"GET", "/v1/nothing", "", nil, 404, "bad_request"},
		"wrong method":          {"GET", chat, "", nil, 405, "bad_request"},
		"unknown service":       {"GET", "/v1/services/x/y", "", nil, 404, "unknown_service"},
		"relative path":         {"GET", "/v1/services/records/..%2f..%2fx", "", nil, 400, "bad_request"},
		"route":                 {"GET", "/v1/route?model=letters", "", nil, 200, ""},
		"route without API key": {"GET", "/v1/route", "", []string{"Authorization", ""}, 401, "bad_key"},
		"health":                {"GET", "/healthz", "", nil, 200, ""},
		"ready":                 {"GET", "/readyz", "", nil, 200, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			got := send(f.request(test.method, test.path, test.body, test.headers...))
			c.Assert(got.status, qt.Equals, test.status)
			c.Assert(got.failure.Error.Code, qt.Equals, test.code)
			if test.code != "" {
				c.Assert(got.failure.Error.Outcome, qt.Equals, "not run")
			}
		})
	}
	qt.Assert(t, f.slotRequests, qt.HasLen, 0)
	qt.Assert(t, send(f.request("POST", chat, chatBody(prompt, true))).text, qt.Equals, wantText)
}

// Guards against a caller that occupies a request indefinitely by not sending the rest of its body.
func TestSlowSender(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, func(o *caller.Options, _ *modelengine.Config) { o.ReadTimeout = 50 * time.Millisecond })
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	io.WriteString(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+apiKey+"\r\nContent-Length: 100\r\n\r\n{")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	c.Assert(resp.StatusCode, qt.Equals, http.StatusRequestTimeout)
	c.Assert(f.router.Active(), qt.Equals, 0)
}

// Guards against a caller that does not read its response: the router must neither buffer the
// response in memory nor keep the slot on the engine.
func TestSlowReader(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, func(o *caller.Options, _ *modelengine.Config) { o.WriteTimeout = 200 * time.Millisecond })
	body := `{"model":"letters","stream":true,"max_tokens":200000,"messages":[{"role":"user","content":"` + strings.Repeat("x", 1000) + `"}]}`
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	conn.(*net.TCPConn).SetReadBuffer(1 << 10)
	f.engines[0].SetFault(modelengine.Fault{Kind: modelengine.Burst})
	r := f.request("POST", "/v1/chat/completions", body)
	c.Assert(r.Write(conn), qt.IsNil)
	waitUntil(func() bool { return len(f.endings()) == 1 })
	c.Assert(f.endings()[0], qt.Equals, caller.EndedCancelled)
	waitUntil(func() bool { return f.engines[0].ActiveCount() == 0 })
}

// Guards against a router that accepts more requests than MaxRequests at the same time.
func TestRequestLimit(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, func(o *caller.Options, _ *modelengine.Config) { o.MaxRequests = 1 })
	f.engines[0].SetFault(modelengine.Fault{Kind: modelengine.Hang})
	first := make(chan received)
	go func() { first <- send(f.request("POST", "/v1/chat/completions", chatBody(prompt, true))) }()
	waitUntil(func() bool { return f.router.Active() == 1 })
	got := send(f.request("POST", "/v1/chat/completions", chatBody(prompt, true)))
	c.Assert(got.failure.Error.Code, qt.Equals, "overloaded")
	c.Assert(got.failure.Error.Outcome, qt.Equals, "not run")
	f.engines[0].SetFault(modelengine.Fault{})
	c.Assert((<-first).text, qt.Equals, wantText)
}

// Guards against memory use that grows with the number of requests in progress, and against body
// memory that remains reserved after its request has ended.
func TestBodyMemoryLimit(t *testing.T) {
	c := qt.New(t)
	// Small bodies are not counted.
	body := chatBody(prompt, true) + strings.Repeat(" ", 8*memory.Uncounted)
	// There is room for the head and the body of one request, but not of two.
	account := memory.New(len(body) + 6*memory.Uncounted)
	f := newFixture(t, func(o *caller.Options, _ *modelengine.Config) {
		o.Guard = &clientconn.Guard{MaxConns: 10, Account: account, Log: zap.NewNop()}
	})
	f.engines[0].SetFault(modelengine.Fault{Kind: modelengine.Hang})
	first := make(chan received)
	go func() { first <- send(f.request("POST", "/v1/chat/completions", body)) }()
	waitUntil(func() bool { f.mu.Lock(); defer f.mu.Unlock(); return len(f.slotRequests) == 1 })
	c.Assert(send(f.request("POST", "/v1/chat/completions", body)).failure.Error.Code, qt.Equals, "overloaded")
	f.engines[0].SetFault(modelengine.Fault{})
	c.Assert((<-first).text, qt.Equals, wantText)
	// The memory is free once the router has closed the connection, which the client doesn't wait for.
	waitUntil(func() bool { return account.Used() == 0 })
	c.Assert(send(f.request("POST", "/v1/chat/completions", body)).text, qt.Equals, wantText)
}

// Guards against a response without streaming that fills the router's memory, and against an engine
// that continues to generate it after the router has rejected it.
func TestBufferedCompletionLimit(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, func(o *caller.Options, _ *modelengine.Config) { o.MaxBufferedCompletion = 1000 })
	got := send(f.request("POST", "/v1/chat/completions", chatBody(prompt, false)))
	c.Assert(got.status, qt.Equals, http.StatusRequestEntityTooLarge)
	c.Assert(f.endings(), qt.DeepEquals, []caller.Ending{caller.EndedFailed})
	waitUntil(func() bool { return f.engines[0].ActiveCount() == 0 })
}

// Guards against a drain that interrupts a stream, accepts new requests or leaves the listener
// open.
func TestDrain(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t)
	f.engines[0].SetFault(modelengine.Fault{Kind: modelengine.Hang})
	first := make(chan received)
	go func() { first <- send(f.request("POST", "/v1/chat/completions", chatBody(prompt, true))) }()
	waitUntil(func() bool { return f.router.Active() == 1 })
	drained := make(chan error)
	go func() { drained <- f.router.Drain(context.Background()) }()
	var rejected received
	waitUntil(func() bool {
		rejected = send(f.request("POST", "/v1/chat/completions", "{}"))
		return rejected.failure.Error.Code == "draining"
	})
	c.Assert(rejected.failure.Error.Outcome, qt.Equals, "not run")
	c.Assert(rejected.failure.Error.Addresses, qt.DeepEquals, []string{"127.0.0.1:9"})
	f.engines[0].SetFault(modelengine.Fault{})
	c.Assert((<-first).text, qt.Equals, wantText)
	c.Assert(<-drained, qt.IsNil)
	c.Assert(send(f.request("GET", "/healthz", "")).incomplete, qt.IsTrue)
}

// Guards against a request without a response, because the time of a drain ends before the request.
func TestDrainLimit(t *testing.T) {
	for name, send := range map[string]func(f *fixture) received{
		"chat": func(f *fixture) received {
			return send(f.request("POST", "/v1/chat/completions", chatBody(prompt, false)))
		},
		"stream": func(f *fixture) received {
			return send(f.request("POST", "/v1/chat/completions", chatBody(prompt, true)))
		},
		"service": func(f *fixture) received { return send(f.request("GET", "/v1/services/records/all", "")) },
		"call that may not be repeated": func(f *fixture) received {
			return send(f.request("POST", "/v1/services/intake/tickets", "settle", "Idempotency-Key", "ticket-7"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			f := newFixture(t)
			f.engines[0].SetFault(modelengine.Fault{Kind: modelengine.Hang})
			f.replicas[0].SetFault(plainservice.Fault{Kind: plainservice.Hang})
			response := make(chan received, 1)
			go func() { response <- send(f) }()
			waitUntil(func() bool { return f.router.Active() == 1 })
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			c.Check(f.router.Drain(ctx), qt.ErrorMatches, "drain timed out.*")
			got := <-response
			c.Check(got.failure.Error.Code, qt.Equals, "interrupted")
			c.Check(got.failure.Error.Outcome, qt.Equals, "unknown")
			c.Check(f.endings(), qt.DeepEquals, []caller.Ending{caller.EndedCancelled})
		})
	}
}

// Guards against metrics that differ from the responses that callers received.
func TestMetrics(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t)
	send(f.request("POST", "/v1/chat/completions", chatBody(prompt, true)))
	send(f.request("POST", "/v1/chat/completions", "{"))
	metrics := send(f.request("GET", "/metrics", "")).body
	for _, line := range []string{
		`hornbeam_caller_requests_total{code="",kind="chat",outcome="ok"} 1`,
		`hornbeam_caller_requests_total{code="bad_request",kind="chat",outcome="not run"} 1`,
		`hornbeam_caller_first_token_seconds_count 1`,
		`hornbeam_caller_streams 0`,
	} {
		c.Assert(strings.Contains(metrics, line+"\n"), qt.IsTrue, qt.Commentf("%s is missing in\n%s", line, metrics))
	}
}

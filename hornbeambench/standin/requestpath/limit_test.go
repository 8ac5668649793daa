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

	"hornbeamstep.example/hornbeambench/standin/modelengine"
	"hornbeamstep.example/hornbeamd/caller"
)

// Guards against input that disturbs the router or is answered without the typed error.
func TestInput(t *testing.T) {
	f := start(t, func(o *caller.Options, _ *modelengine.Config) { o.MaxBodyBytes = 1000 })
	const chat = "/v1/chat/completions"
	tests := map[string]struct {
		method, path, body string
		pairs              []string
		status             int
		code               string
	}{
		"no key":            {"POST", chat, "{}", []string{"Authorization", ""}, 401, "bad_key"},
		"wrong key":         {"POST", chat, "{}", []string{"Authorization", "Bearer x"}, 401, "bad_key"},
		"malformed":         {"POST", chat, "{", nil, 400, "bad_request"},
		"null":              {"POST", chat, "null", nil, 400, "bad_request"},
		"wrong type":        {"POST", chat, `{"model":7}`, nil, 400, "bad_request"},
		"no messages":       {"POST", chat, `{"model":"letters"}`, nil, 400, "bad_request"},
		"no role":           {"POST", chat, `{"model":"letters","messages":[{}]}`, nil, 400, "bad_request"},
		"unknown model":     {"POST", chat, `{"model":"x","messages":[{"role":"user"}]}`, nil, 404, "unknown_model"},
		"unknown adapter":   {"POST", chat, `{"model":"letters:x","messages":[{"role":"user"}]}`, nil, 404, "unknown_model"},
		"large body":        {"POST", chat, strings.Repeat("x", 1001), nil, 413, "too_large"},
		"large header":      {"POST", chat, "{}", []string{"Filler", strings.Repeat("x", 40_000)}, 431, "too_large"},
		"long chat":         {"POST", chat, chatBody("x", true), []string{"Chat-Id", strings.Repeat("x", 300)}, 400, "bad_request"},
		"long key":          {"POST", chat, chatBody("x", true), []string{"Idempotency-Key", strings.Repeat("x", 300)}, 400, "bad_request"},
		"unknown path":      {"GET", "/v1/nothing", "", nil, 404, "bad_request"},
		"wrong method":      {"GET", chat, "", nil, 405, "bad_request"},
		"unknown service":   {"GET", "/v1/services/x/y", "", nil, 404, "unknown_service"},
		"relative path":     {"GET", "/v1/services/records/..%2f..%2fx", "", nil, 400, "bad_request"},
		"route":             {"GET", "/v1/route?model=letters", "", nil, 200, ""},
		"route without key": {"GET", "/v1/route", "", []string{"Authorization", ""}, 401, "bad_key"},
		"health":            {"GET", "/healthz", "", nil, 200, ""},
		"ready":             {"GET", "/readyz", "", nil, 200, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			got := send(f.request(test.method, test.path, test.body, test.pairs...))
			c.Assert(got.status, qt.Equals, test.status)
			c.Assert(got.failure.Error.Code, qt.Equals, test.code)
			if test.code != "" {
				c.Assert(got.failure.Error.Outcome, qt.Equals, "not run")
			}
		})
	}
	qt.Assert(t, f.asks, qt.HasLen, 0)
	qt.Assert(t, send(f.request("POST", chat, chatBody(prompt, true))).text, qt.Equals, wanted)
}

// Guards against callers who send slowly or not at all and keep a request open.
func TestSlowSender(t *testing.T) {
	c := qt.New(t)
	f := start(t, func(o *caller.Options, _ *modelengine.Config) { o.ReadTimeout = 50 * time.Millisecond })
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	io.WriteString(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+key+"\r\nContent-Length: 100\r\n\r\n{")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	c.Assert(resp.StatusCode, qt.Equals, http.StatusRequestTimeout)
	c.Assert(f.router.Active(), qt.Equals, 0)
}

// Guards against callers who do not read: the router must not gather the answer in memory, nor keep the engine's slot.
func TestSlowReader(t *testing.T) {
	c := qt.New(t)
	f := start(t, func(o *caller.Options, e *modelengine.Config) { o.WriteTimeout = 200 * time.Millisecond })
	body := `{"model":"letters","stream":true,"max_tokens":200000,"messages":[{"role":"user","content":"` + strings.Repeat("x", 1000) + `"}]}`
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	conn.(*net.TCPConn).SetReadBuffer(1 << 10)
	f.engines[0].SetFault(modelengine.Fault{Kind: modelengine.Burst})
	r := f.request("POST", "/v1/chat/completions", body)
	c.Assert(r.Write(conn), qt.IsNil)
	eventually(func() bool { return len(f.endings()) == 1 })
	c.Assert(f.endings()[0], qt.Equals, caller.EndedCancelled)
	eventually(func() bool { return f.engines[0].ActiveCount() == 0 })
}

// Guards against work beyond the bound on requests in progress.
func TestFull(t *testing.T) {
	c := qt.New(t)
	f := start(t, func(o *caller.Options, _ *modelengine.Config) { o.MaxRequests = 1 })
	f.engines[0].SetFault(modelengine.Fault{Kind: modelengine.Hang})
	first := make(chan received)
	go func() { first <- send(f.request("POST", "/v1/chat/completions", chatBody(prompt, true))) }()
	eventually(func() bool { return f.router.Active() == 1 })
	got := send(f.request("POST", "/v1/chat/completions", chatBody(prompt, true)))
	c.Assert(got.failure.Error.Code, qt.Equals, "overloaded")
	c.Assert(got.failure.Error.Outcome, qt.Equals, "not run")
	f.engines[0].SetFault(modelengine.Fault{})
	c.Assert((<-first).text, qt.Equals, wanted)
}

// Guards against memory that grows with the number of requests in progress, and against bytes that are never given back.
func TestMemory(t *testing.T) {
	c := qt.New(t)
	body := chatBody(prompt, true)
	f := start(t, func(o *caller.Options, _ *modelengine.Config) { o.MaxBodyMemory = len(body) })
	f.engines[0].SetFault(modelengine.Fault{Kind: modelengine.Hang})
	first := make(chan received)
	go func() { first <- send(f.request("POST", "/v1/chat/completions", body)) }()
	eventually(func() bool { f.mu.Lock(); defer f.mu.Unlock(); return len(f.asks) == 1 })
	c.Assert(send(f.request("POST", "/v1/chat/completions", body)).failure.Error.Code, qt.Equals, "overloaded")
	f.engines[0].SetFault(modelengine.Fault{})
	c.Assert((<-first).text, qt.Equals, wanted)
	c.Assert(send(f.request("POST", "/v1/chat/completions", body)).text, qt.Equals, wanted)
}

// Guards against a whole answer that fills the memory, and against leaving its engine at work.
func TestLargeAnswer(t *testing.T) {
	c := qt.New(t)
	f := start(t, func(o *caller.Options, _ *modelengine.Config) { o.MaxBufferedCompletion = 1000 })
	got := send(f.request("POST", "/v1/chat/completions", chatBody(prompt, false)))
	c.Assert(got.status, qt.Equals, http.StatusRequestEntityTooLarge)
	c.Assert(f.endings(), qt.DeepEquals, []caller.Ending{caller.EndedFailed})
	eventually(func() bool { return f.engines[0].ActiveCount() == 0 })
}

// Guards against a drain that cuts off a stream, takes new work or stays open.
func TestDrain(t *testing.T) {
	c := qt.New(t)
	f := start(t)
	f.engines[0].SetFault(modelengine.Fault{Kind: modelengine.Hang})
	first := make(chan received)
	go func() { first <- send(f.request("POST", "/v1/chat/completions", chatBody(prompt, true))) }()
	eventually(func() bool { return f.router.Active() == 1 })
	drained := make(chan error)
	go func() { drained <- f.router.Drain(context.Background()) }()
	var refused received
	eventually(func() bool {
		refused = send(f.request("POST", "/v1/chat/completions", "{}"))
		return refused.failure.Error.Code == "draining"
	})
	c.Assert(refused.failure.Error.Outcome, qt.Equals, "not run")
	c.Assert(refused.failure.Error.Addresses, qt.DeepEquals, []string{"127.0.0.1:9"})
	f.engines[0].SetFault(modelengine.Fault{})
	c.Assert((<-first).text, qt.Equals, wanted)
	c.Assert(<-drained, qt.IsNil)
	c.Assert(send(f.request("GET", "/healthz", "")).broken, qt.IsTrue)
}

// Guards against metrics that do not count what callers saw.
func TestMetrics(t *testing.T) {
	c := qt.New(t)
	f := start(t)
	send(f.request("POST", "/v1/chat/completions", chatBody(prompt, true)))
	send(f.request("POST", "/v1/chat/completions", "{"))
	got := send(f.request("GET", "/metrics", "")).body
	for _, line := range []string{
		`hornbeam_caller_requests_total{code="",kind="chat",outcome="ok"} 1`,
		`hornbeam_caller_requests_total{code="bad_request",kind="chat",outcome="not run"} 1`,
		`hornbeam_caller_first_token_seconds_count 1`,
		`hornbeam_caller_streams 0`,
	} {
		c.Assert(strings.Contains(got, line+"\n"), qt.IsTrue, qt.Commentf("%s in\n%s", line, got))
	}
}

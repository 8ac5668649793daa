package soak

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/platform/standin"
)

var origin = time.Unix(1000, 0)

func at(seconds float64) time.Time { return origin.Add(time.Duration(seconds * float64(time.Second))) }

// kept returns evidence in which every promise is kept: a request at 10 s that was served, one with a revoked key that was refused,
// one that was refused unrun, one whose caller left, and service after the recovery.
func kept() *evidence {
	e := &evidence{runs: map[string][]run{}, calm: at(20)}
	e.versions = []version{
		{Number: 1, Keys: []string{lastingKey, changingKey}, Sent: at(0), Acked: at(0.1)},
		{Number: 3, Keys: []string{lastingKey}, Sent: at(5), Acked: at(5.1)},
	}
	e.departures = []departure{{Server: "plain-1", Acked: at(6)}}
	add := func(r request, runs ...run) {
		e.requests = append(e.requests, r)
		for _, x := range runs {
			x.Attempt, x.Body, x.Account, x.Service = r.Attempt, r.Body, "clerks", serviceOf(r.Path)
			e.runs[r.Attempt] = append(e.runs[r.Attempt], x)
		}
	}
	served := func(attempt string, sent float64) {
		add(request{
			Attempt: attempt, Path: "/once/x", Key: lastingKey, Body: "b", Router: "r0", Sent: at(sent), Ended: at(sent + 0.1), Status: 200,
			Answer: "b by plain-2", Signature: standin.Signature("plain-2", attempt),
		}, run{Run: standin.Run{At: at(sent + 0.05)}, Server: "plain-2", Ended: at(sent + 0.06), Whole: true})
	}
	served("a", 10)
	served("late", 40)
	add(request{Attempt: "b", Path: "/once/x", Key: changingKey, Body: "b", Router: "r0", Sent: at(10), Ended: at(10.1), Status: 401})
	add(request{Attempt: "c", Path: "/once/x", Key: lastingKey, Body: "b", Router: "r0", Sent: at(10), Ended: at(10.1), Status: 503})
	add(request{Attempt: "d", Path: "/stream/x", Key: lastingKey, Body: "b", Router: "r0", Sent: at(10), Ended: at(10.1), Left: true},
		run{Run: standin.Run{At: at(10.05)}, Server: "pool-1", Ended: at(10.2)})
	add(request{
		Attempt: "s", Path: "/resume/stream/x", Key: lastingKey, Body: "b", Router: "r0", Sent: at(10), Ended: at(10.3), Status: 200,
		Answer: streamOf(), Signature: standin.Signature("pool-1", "s"),
	}, run{Run: standin.Run{At: at(10.05)}, Server: "pool-1", Ended: at(10.2), Whole: true})
	return e
}

func (e *evidence) change(attempt string, f func(*request)) {
	for i := range e.requests {
		if e.requests[i].Attempt == attempt {
			f(&e.requests[i])
		}
	}
}

// Guards against a soak that does not see a broken promise, and against one that blames the system for what its troubles excuse.
func TestJudge(t *testing.T) {
	for name, test := range map[string]struct {
		change  func(*evidence)
		promise string
	}{
		"all kept":          {func(*evidence) {}, ""},
		"crossed answer":    {func(e *evidence) { e.change("a", func(r *request) { r.Signature = "signed-by-plain-2-for-x" }) }, "answers belong to their request"},
		"answer of another": {func(e *evidence) { e.change("a", func(r *request) { r.Answer = "z by plain-2" }) }, "answers are whole"},
		"missing event": {func(e *evidence) {
			e.change("s", func(r *request) { r.Answer = r.Answer[len("id: 1\ndata: piece 1\n\n"):] })
		}, "streams are complete and in order"},
		"stream ends early":  {func(e *evidence) { e.change("s", func(r *request) { r.Answer = "id: 1\ndata: piece 1\n\n" }) }, "streams are complete and in order"},
		"changed body":       {func(e *evidence) { e.runs["a"][0].Body = "x" }, "servers run what callers sent"},
		"unknown request":    {func(e *evidence) { e.runs["x"] = []run{{Run: standin.Run{Attempt: "x"}}} }, "servers run what callers sent"},
		"other account":      {func(e *evidence) { e.runs["a"][0].Account = "forged" }, "requests run for the account of their key"},
		"key passed on":      {func(e *evidence) { e.runs["a"][0].HasKey = true }, "requests run for the account of their key"},
		"other service":      {func(e *evidence) { e.runs["a"][0].Service = "pool" }, "requests run at their service"},
		"second run":         {func(e *evidence) { e.runs["a"] = append(e.runs["a"], e.runs["a"][0]) }, "requests that may not be repeated run once"},
		"refused and ran":    {func(e *evidence) { e.runs["c"] = e.runs["a"][:1:1]; e.runs["c"][0].Attempt = "c" }, "refused requests have not run"},
		"revoked key served": {func(e *evidence) { e.change("a", func(r *request) { r.Key = changingKey }) }, "a revoked key is refused"},
		"good key refused":   {func(e *evidence) { e.change("c", func(r *request) { r.Status = 401 }) }, "a key in force is accepted"},
		"server that left":   {func(e *evidence) { e.runs["a"][0].Server = "plain-1" }, "servers that leave get no new requests"},
		"lost answer":        {func(e *evidence) { e.change("a", func(r *request) { r.Status, r.Broken = 0, true }) }, "requests that were passed on are answered"},
		"too many attempts":  {func(e *evidence) { x := e.runs["s"][0]; e.runs["s"] = []run{x, x, x} }, "attempts are bounded"},
		"work for nobody":    {func(e *evidence) { e.runs["d"][0].Ended = at(11) }, "work ends when its caller leaves"},
		"held":               {func(e *evidence) { e.change("c", func(r *request) { r.Ended = at(15) }) }, "requests end at their route's time limit"},
		"no service":         {func(e *evidence) { e.change("late", func(r *request) { r.Status = 503 }); delete(e.runs, "late") }, "service returns"},
		"router that ended":  {func(e *evidence) { e.exits = []string{"r0"} }, "routers run until they are ended"},
		"lost at a kill":     {func(e *evidence) { e.change("a", lose); e.excuse(trouble{Router: "r0"}) }, ""},
		"lost at a stop":     {func(e *evidence) { e.change("a", lose); e.excuse(trouble{Router: "r0", Planned: true}) }, "requests that were passed on are answered"},
		"lost with a server": {func(e *evidence) { e.change("a", lose); e.excuse(trouble{Server: "plain-2"}) }, ""},
		"revoked, store away": {func(e *evidence) {
			e.change("a", func(r *request) { r.Key = changingKey })
			e.excuse(trouble{Store: true})
		}, ""},
		"left, server paused":  {func(e *evidence) { e.runs["a"][0].Server = "plain-1"; e.excuse(trouble{Server: "plain-1"}) }, ""},
		"left, router cut off": {func(e *evidence) { e.runs["a"][0].Server = "plain-1"; e.excuse(trouble{Router: "r0"}) }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			e := kept()
			test.change(e)
			var promises []string
			for _, v := range e.judge() {
				promises = append(promises, v.Promise)
			}
			if test.promise == "" {
				c.Assert(promises, qt.HasLen, 0)
				return
			}
			c.Assert(promises, qt.Contains, test.promise)
		})
	}
}

func lose(r *request) { r.Status, r.Broken = 0, true }

// excuse adds a trouble around the requests at 10 s.
func (e *evidence) excuse(t trouble) {
	t.From, t.To = at(9), at(11)
	e.troubles = append(e.troubles, t)
}

// Guards against a retry budget that is not counted over a sliding window.
func TestJudgeRetries(t *testing.T) {
	c := qt.New(t)
	e := &evidence{runs: map[string][]run{}}
	add := func(from float64, n int) {
		for i := range n {
			sent := at(from + float64(i)*0.01)
			attempt := sent.String()
			e.requests = append(e.requests, request{Attempt: attempt, Path: "/again/x", Sent: sent})
			for range 2 {
				e.runs[attempt] = append(e.runs[attempt], run{Run: standin.Run{At: sent}, Service: "plain"})
			}
		}
	}
	add(0, 60)
	add(11, 60)
	c.Assert(e.retries(), qt.HasLen, 0, qt.Commentf("60 retries of 60 requests and 50 beyond, twice"))
	add(5, 10)
	c.Assert(e.retries(), qt.HasLen, 1)
}

// Guards against a plan that depends on more than its seed, and against kinds of events that never come.
func TestDraw(t *testing.T) {
	c := qt.New(t)
	seen := map[kind]bool{}
	for seed := range uint64(200) {
		events := draw(seed, 12*time.Second)
		c.Assert(events, qt.DeepEquals, draw(seed, 12*time.Second))
		for i, e := range events {
			seen[e.Kind] = true
			c.Assert(e.At >= 0 && e.At <= 12*time.Second && e.For <= longest+time.Second, qt.IsTrue)
			c.Assert(i == 0 || events[i-1].At <= e.At, qt.IsTrue)
		}
	}
	for _, k := range kinds {
		c.Assert(seen[k], qt.IsTrue, qt.Commentf("%s", k))
	}
}

// Guards against regression seeds that are not run.
func TestRegressionSeeds(t *testing.T) {
	c := qt.New(t)
	c.Assert(regressionSeeds("# comment\n7 cause\n\n12 other cause\n"), qt.DeepEquals, []uint64{7, 12})
	c.Assert(len(regressionSeeds(regressions)) > 0, qt.IsTrue)
}

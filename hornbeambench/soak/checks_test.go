package soak

import (
	"fmt"
	"hash/fnv"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/platform/standin"
)

var origin = time.Unix(1000, 0)

// at returns the time that is the given number of seconds after origin.
func at(seconds float64) time.Time { return origin.Add(time.Duration(seconds * float64(time.Second))) }

// validObservations returns observations without a violation: at 10 s a request and a stream that
// were served, a request with a revoked key that was refused, a request that was rejected before it
// ran and a stream that its caller canceled, and at 40 s a request that was served after the
// recovery.
func validObservations() *observations {
	o := &observations{runs: map[string][]run{}, eventsEnd: at(20)}
	o.versions = []version{
		{Number: 1, Keys: []string{permanentKey, toggledKey}, Sent: at(0), Acked: at(0.1), RouteTimeout: routeTimeout},
		{Number: 3, Keys: []string{permanentKey}, Sent: at(5), Acked: at(5.1), RouteTimeout: routeTimeout},
	}
	o.drains = []drain{{Server: "plain-1", Acked: at(6)}}
	add := func(r request, runs ...run) {
		o.requests = append(o.requests, r)
		for _, serverRun := range runs {
			serverRun.Attempt, serverRun.Body, serverRun.Account, serverRun.Service = r.Attempt, r.Body, "clerks", serviceForPath(r.Path)
			o.runs[r.Attempt] = append(o.runs[r.Attempt], serverRun)
		}
	}
	addServed := func(attempt string, sent float64) {
		add(request{
			Attempt: attempt, Path: "/once/x", Key: permanentKey, Body: "b", Router: "r0", Sent: at(sent), Ended: at(sent + 0.1), Status: 200,
			ResponseBody: "b by plain-2", Signature: standin.Signature("plain-2", attempt),
		}, run{Run: standin.Run{At: at(sent + 0.05)}, Server: "plain-2", Ended: at(sent + 0.06), Complete: true})
	}
	addServed("a", 10)
	addServed("late", 40)
	add(request{Attempt: "b", Path: "/once/x", Key: toggledKey, Body: "b", Router: "r0", Sent: at(10), Ended: at(10.1), Status: 401})
	add(request{Attempt: "c", Path: "/once/x", Key: permanentKey, Body: "b", Router: "r0", Sent: at(10), Ended: at(10.1), Status: 503})
	add(request{Attempt: "d", Path: "/stream/x", Key: permanentKey, Body: "b", Router: "r0", Sent: at(10), Ended: at(10.1), Canceled: true},
		run{Run: standin.Run{At: at(10.05)}, Server: "pool-1", Ended: at(10.2)})
	add(request{
		Attempt: "s", Path: "/resume/stream/x", Key: permanentKey, Body: "b", Router: "r0", Sent: at(10), Ended: at(10.3), Status: 200,
		ResponseBody: fullStream(), Signature: standin.Signature("pool-1", "s"),
	}, run{Run: standin.Run{At: at(10.05)}, Server: "pool-1", Ended: at(10.2), Complete: true})
	return o
}

func (o *observations) changeRequest(attempt string, change func(*request)) {
	for i := range o.requests {
		if o.requests[i].Attempt == attempt {
			change(&o.requests[i])
		}
	}
}

// resumeStreams adds requests that resume a stream at 10 s, of which some go on, while two servers of its
// version serve.
func (o *observations) resumeStreams(n, wentOn int) {
	o.runs["s"][0].Version = "v1"
	for _, server := range []string{"pool-1", "pool-2"} {
		o.serving = append(o.serving, servingPeriod{Server: server, Service: "pool", Version: "v1", From: at(0)})
	}
	for i := range n {
		r := request{
			Attempt: fmt.Sprint("resumed-", i), Path: "/resume/stream/x", Key: permanentKey, Router: "r0", Sent: at(10), Ended: at(10.1), Status: 503,
			Resumes: "s", LastEvent: 2,
		}
		if i < wentOn {
			r.Status, r.ResponseBody, r.Signature = 200, streamAfter(2), standin.Signature("pool-1", r.Attempt)
			o.runs[r.Attempt] = []run{{Run: standin.Run{Attempt: r.Attempt, Account: "clerks", At: at(10.05), After: 2}, Server: "pool-1", Service: "pool", Version: "v1", Ended: at(10.1), Complete: true}}
		}
		o.requests = append(o.requests, r)
	}
}

// exceedLimit makes more requests run on a limited server than it takes.
func (o *observations) exceedLimit() {
	o.limitations = []limitation{{Server: "plain-2", From: at(5), To: at(15)}}
	for i := range maxArrivalsInWindow + 1 {
		attempt := fmt.Sprint("limited-", i)
		r := o.requests[0]
		r.Attempt, r.Signature = attempt, standin.Signature("plain-2", attempt)
		o.requests = append(o.requests, r)
		serverRun := o.runs["a"][0]
		serverRun.Attempt = attempt
		o.runs[attempt] = []run{serverRun}
	}
}

// failBrittle makes a brittle server reject so many requests that it fails the given number of times.
func (o *observations) failBrittle(failures int) {
	o.brittle = []brittlePeriod{{Servers: []string{"plain-2"}, From: at(1), To: at(20)}}
	for i := range failures {
		for n := range maxBrittleRejections + 1 {
			o.turnedAway = append(o.turnedAway, rejection{Attempt: "a", Server: "plain-2", At: at(6 + 3*float64(i) + 0.1*float64(n))})
		}
	}
}

// Guards against a soak that does not detect a violation, and against one that reports a violation
// although a disruption explains it.
func TestCheck(t *testing.T) {
	for name, test := range map[string]struct {
		change    func(*observations)
		guarantee string
	}{
		"no violation": {func(*observations) {}, ""},
		"signature of another request": {func(o *observations) {
			o.changeRequest("a", func(r *request) { r.Signature = "signed-by-plain-2-for-x" })
		}, "answers belong to their request"},
		"response to another request": {func(o *observations) { o.changeRequest("a", func(r *request) { r.ResponseBody = "z by plain-2" }) }, "answers are whole"},
		"missing event": {func(o *observations) {
			o.changeRequest("s", func(r *request) { r.ResponseBody = r.ResponseBody[len("id: 1\ndata: piece 1\n\n"):] })
		}, "streams are complete and in order"},
		"stream ends early": {func(o *observations) {
			o.changeRequest("s", func(r *request) { r.ResponseBody = "id: 1\ndata: piece 1\n\n" })
		}, "streams are complete and in order"},
		"resumed at another version": {func(o *observations) {
			o.runs["s"][0].Version = "v1"
			o.runs["s"] = append(o.runs["s"], run{Run: o.runs["s"][0].Run, Service: "pool", Version: "v2"})
			o.runs["s"][1].After = 2
		}, "streams keep their software version"},
		"resumed at another version during a disruption": {func(o *observations) {
			o.runs["s"][0].Version = "v1"
			o.runs["s"] = append(o.runs["s"], run{Run: o.runs["s"][0].Run, Service: "pool", Version: "v2"})
			o.runs["s"][1].After = 2
			o.addDisruption(disruption{Router: all, Store: true})
		}, "streams keep their software version"},
		"most resumed streams rejected":                   {func(o *observations) { o.resumeStreams(14, 5) }, "streams that are resumed go on"},
		"half of the resumed streams rejected":            {func(o *observations) { o.resumeStreams(14, 7) }, ""},
		"fewer resumed streams than are compared":         {func(o *observations) { o.resumeStreams(11, 0) }, ""},
		"most resumed streams rejected, router disrupted": {func(o *observations) { o.resumeStreams(14, 5); o.addDisruption(disruption{Router: "r0"}) }, ""},
		"most resumed streams rejected, server connections reset": {func(o *observations) {
			o.resumeStreams(14, 5)
			o.addDisruption(disruption{Kind: resetServerConnections, Server: "pool-1"})
		}, "streams that are resumed go on"},
		"most resumed streams rejected, one server of the version": {func(o *observations) {
			o.resumeStreams(14, 5)
			o.addDisruption(disruption{Kind: killServer, Server: "pool-1"})
		}, ""},
		"most resumed streams rejected, a server of the version leaves": {func(o *observations) { o.resumeStreams(14, 5); o.serving[0].To = at(10) }, ""},
		"changed body":                     {func(o *observations) { o.runs["a"][0].Body = "x" }, "servers run what callers sent"},
		"unknown request":                  {func(o *observations) { o.runs["x"] = []run{{Run: standin.Run{Attempt: "x"}}} }, "servers run what callers sent"},
		"other client account":             {func(o *observations) { o.runs["a"][0].Account = "forged" }, "requests run for the account of their key"},
		"API key forwarded":                {func(o *observations) { o.runs["a"][0].HasKey = true }, "requests run for the account of their key"},
		"other service":                    {func(o *observations) { o.runs["a"][0].Service = "pool" }, "requests run at their service"},
		"second run":                       {func(o *observations) { o.runs["a"] = append(o.runs["a"], o.runs["a"][0]) }, "requests that may not be repeated run once"},
		"rejected but run":                 {func(o *observations) { o.runs["c"] = o.runs["a"][:1:1]; o.runs["c"][0].Attempt = "c" }, "refused requests have not run"},
		"revoked key accepted":             {func(o *observations) { o.changeRequest("a", func(r *request) { r.Key = toggledKey }) }, "a revoked key is refused"},
		"valid key refused":                {func(o *observations) { o.changeRequest("c", func(r *request) { r.Status = 401 }) }, "a key in force is accepted"},
		"run on drained server":            {func(o *observations) { o.runs["a"][0].Server = "plain-1" }, "servers that leave get no new requests"},
		"missing response":                 {func(o *observations) { o.changeRequest("a", func(r *request) { r.Status, r.Incomplete = 0, true }) }, "requests that were passed on are answered"},
		"too many attempts":                {func(o *observations) { r := o.runs["s"][0]; o.runs["s"] = []run{r, r, r} }, "attempts are bounded"},
		"run continues after cancellation": {func(o *observations) { o.runs["d"][0].Ended = at(11) }, "work ends when its caller leaves"},
		"held":                             {func(o *observations) { o.changeRequest("c", func(r *request) { r.Ended = at(15) }) }, "requests end at their route's time limit"},
		"no recovery": {func(o *observations) {
			o.changeRequest("late", func(r *request) { r.Status = 503 })
			delete(o.runs, "late")
		}, "service returns"},
		"brittle server fails three times": {func(o *observations) { o.failBrittle(3) }, "brittle servers do not fail under rejections"},
		"brittle server fails twice":       {func(o *observations) { o.failBrittle(2) }, ""},
		"brittle server fails beside a restart": {func(o *observations) {
			o.failBrittle(3)
			o.disruptions = append(o.disruptions, disruption{Kind: stopRouter, Router: o.requests[0].Router, Planned: true, From: at(5), To: at(6)})
		}, ""},
		"limit exceeded": {func(o *observations) { o.exceedLimit() }, "servers get no more requests than the limit that they state"},
		"limit exceeded, router restarted": {func(o *observations) {
			o.exceedLimit()
			o.disruptions = append(o.disruptions, disruption{Kind: stopRouter, Router: "r0", Planned: true, From: at(6), To: at(7)})
		}, ""},
		"limit exceeded, server killed": {func(o *observations) {
			o.exceedLimit()
			o.disruptions = append(o.disruptions, disruption{Kind: killServer, Server: "plain-2", From: at(4), To: at(6)})
		}, ""},
		"limit exceeded too early": {func(o *observations) {
			o.exceedLimit()
			o.limitations[0].From = at(10)
		}, ""},
		"request after a leaving notice": {func(o *observations) {
			o.changeRequest("a", func(r *request) { r.Leaving = true })
		}, "servers that say that they leave get no new requests"},
		"request after a leaving notice, router disrupted": {func(o *observations) {
			o.changeRequest("a", func(r *request) { r.Leaving = true })
			o.disruptions = append(o.disruptions, disruption{Router: "r0", From: at(20), To: at(21)})
		}, ""},
		"request after a leaving notice, router restarted": {func(o *observations) {
			o.changeRequest("a", func(r *request) { r.Leaving = true })
			o.disruptions = append(o.disruptions, disruption{Kind: stopRouter, Router: "r0", Planned: true, From: at(20), To: at(21)})
		}, ""},
		"request after a leaving notice, settings reloaded": {func(o *observations) {
			o.changeRequest("a", func(r *request) { r.Leaving = true })
			o.disruptions = append(o.disruptions, disruption{Kind: reloadSettings, Router: "r0", Planned: true, From: at(20), To: at(21)})
		}, "servers that say that they leave get no new requests"},
		"requests within the time of a rejection": {func(o *observations) {
			o.rejections = []rejection{{Attempt: "a", Server: "plain-2", Arrived: at(8.5), At: at(8.5)}}
			o.runs["a"] = append(o.runs["a"], o.runs["a"][0], o.runs["a"][0])
		}, "servers that want no requests for a time get none"},
		"requests within the time of a rejection, given up": {func(o *observations) {
			late := rejection{Attempt: "a", Server: "plain-2", Arrived: at(9.2), At: at(11), Abandoned: true}
			o.rejections = []rejection{{Attempt: "a", Server: "plain-2", Arrived: at(8.5), At: at(8.5)}, late, late}
		}, "servers that want no requests for a time get none"},
		"requests before a rejection that was delayed": {func(o *observations) {
			waiting := rejection{Attempt: "a", Server: "plain-2", Arrived: at(8.4), At: at(9.6)}
			o.rejections = []rejection{{Attempt: "a", Server: "plain-2", Arrived: at(8.5), At: at(8.5)}, waiting, waiting, waiting}
		}, ""},
		"requests within the time of a rejection that nobody got": {func(o *observations) {
			late := rejection{Attempt: "a", Server: "plain-2", Arrived: at(9.2), At: at(9.6), Abandoned: true}
			o.rejections = []rejection{{Attempt: "a", Server: "plain-2", Arrived: at(8), At: at(8.5), Abandoned: true}, late, late, late}
		}, ""},
		"two requests within the time of a rejection": {func(o *observations) {
			o.rejections = []rejection{{Attempt: "a", Server: "plain-2", Arrived: at(8.5), At: at(8.5)}, {Attempt: "a", Server: "plain-2", Arrived: at(9.2), At: at(9.2)}}
		}, ""},
		"unexpected router exit":          {func(o *observations) { o.exits = []string{"r0"} }, "routers run until they are ended"},
		"missing response, router killed": {func(o *observations) { o.changeRequest("a", dropResponse); o.addDisruption(disruption{Router: "r0"}) }, ""},
		"missing response, router stopped": {func(o *observations) {
			o.changeRequest("a", dropResponse)
			o.addDisruption(disruption{Router: "r0", Planned: true})
		}, "requests that were passed on are answered"},
		"missing response, server disrupted": {func(o *observations) {
			o.changeRequest("a", dropResponse)
			o.addDisruption(disruption{Server: "plain-2"})
		}, ""},
		"missing response, server silent": {func(o *observations) {
			o.changeRequest("a", dropResponse)
			o.addDisruption(disruption{Kind: silenceServer, Planned: true})
		}, "requests that were passed on are answered"},
		"missing response, server paused": {func(o *observations) {
			o.changeRequest("a", dropResponse)
			o.addDisruption(disruption{Kind: pauseServer, Server: "plain-2"})
		}, "requests that were passed on are answered"},
		"missing response, one of two servers disrupted": {func(o *observations) {
			o.changeRequest("s", func(r *request) { r.Incomplete = true })
			retry := o.runs["s"][0]
			retry.Server, retry.At = "pool-2", retry.At.Add(time.Millisecond)
			o.runs["s"] = append(o.runs["s"], retry)
			o.addDisruption(disruption{Kind: killServer, Server: "pool-2"})
		}, "requests that were passed on are answered"},
		"missing response, server disrupted that had continued a stream": {func(o *observations) {
			o.changeRequest("s", func(r *request) { r.Incomplete = true })
			retry := o.runs["s"][0]
			retry.Server, retry.At, retry.Events = "pool-2", retry.At.Add(time.Millisecond), 2
			o.runs["s"] = append(o.runs["s"], retry)
			o.addDisruption(disruption{Kind: faultyServer, Server: "pool-2"})
		}, ""},
		"missing response, both servers disrupted": {func(o *observations) {
			o.changeRequest("s", func(r *request) { r.Incomplete = true })
			retry := o.runs["s"][0]
			retry.Server, retry.At = "pool-2", retry.At.Add(time.Millisecond)
			o.runs["s"] = append(o.runs["s"], retry)
			o.addDisruption(disruption{Kind: killServer, Server: "pool-1"})
			o.addDisruption(disruption{Kind: killServer, Server: "pool-2"})
		}, ""},
		"missing response, server at work until the end of the grace period": {func(o *observations) {
			o.changeRequest("a", func(r *request) { dropResponse(r); r.Ended = at(12.5) })
			o.runs["a"][0].Ended = at(12.5)
			o.addDisruption(disruption{Kind: stopRouter, Router: "r0", Planned: true})
		}, ""},
		"missing response before the end of the grace period": {func(o *observations) {
			o.changeRequest("a", func(r *request) { dropResponse(r); r.Ended = at(12.2) })
			o.runs["a"][0].Ended = at(12.2)
			o.addDisruption(disruption{Kind: stopRouter, Router: "r0", Planned: true})
		}, "requests that were passed on are answered"},
		"missing response at the end of the grace period, server done before": {func(o *observations) {
			o.changeRequest("a", func(r *request) { dropResponse(r); r.Ended = at(12.5) })
			o.addDisruption(disruption{Kind: stopRouter, Router: "r0", Planned: true})
		}, "requests that were passed on are answered"},
		"incomplete error response": {func(o *observations) {
			o.changeRequest("a", func(r *request) { r.Status, r.Incomplete = 502, true })
		}, "requests that were passed on are answered"},
		"missing response at the route timeout": {func(o *observations) {
			o.changeRequest("a", func(r *request) { dropResponse(r); r.Ended = at(14.1) })
		}, ""},
		"missing response before a longer route timeout": {func(o *observations) {
			o.changeRequest("a", func(r *request) { dropResponse(r); r.Ended = at(14.1) })
			o.versions[1].RouteTimeout = 6 * time.Second
		}, "requests that were passed on are answered"},
		"missing response at a route timeout that was replaced meanwhile": {func(o *observations) {
			o.changeRequest("a", func(r *request) { dropResponse(r); r.Ended = at(14.1) })
			o.versions = append(o.versions, version{Number: 4, Keys: []string{permanentKey}, Sent: at(11), Acked: at(11.1), RouteTimeout: 6 * time.Second})
		}, ""},
		"held until a longer route timeout": {func(o *observations) {
			o.changeRequest("c", func(r *request) { r.Ended = at(15) })
			o.versions[1].RouteTimeout = 6 * time.Second
		}, ""},
		"revoked key accepted, store disrupted": {func(o *observations) {
			o.changeRequest("a", func(r *request) { r.Key = toggledKey })
			o.addDisruption(disruption{Store: true})
		}, ""},
		"run on drained server, server disrupted": {func(o *observations) {
			o.runs["a"][0].Server = "plain-1"
			o.addDisruption(disruption{Server: "plain-1"})
		}, ""},
		"run on drained server, router disrupted": {func(o *observations) { o.runs["a"][0].Server = "plain-1"; o.addDisruption(disruption{Router: "r0"}) }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			o := validObservations()
			test.change(o)
			var violated []string
			for _, v := range o.check() {
				violated = append(violated, v.Guarantee)
			}
			if test.guarantee == "" {
				c.Assert(violated, qt.HasLen, 0)
				return
			}
			c.Assert(violated, qt.Contains, test.guarantee)
		})
	}
}

func dropResponse(r *request) { r.Status, r.Incomplete = 0, true }

// addDisruption adds a disruption from 9 s to 11 s, which overlaps the requests at 10 s.
func (o *observations) addDisruption(d disruption) {
	d.From, d.To = at(9), at(11)
	o.disruptions = append(o.disruptions, d)
}

// Guards against a retry budget that is not checked over a sliding window.
func TestCheckRetryBudget(t *testing.T) {
	c := qt.New(t)
	o := &observations{runs: map[string][]run{}}
	add := func(from float64, n int) {
		for i := range n {
			sent := at(from + float64(i)*0.01)
			attempt := sent.String()
			o.requests = append(o.requests, request{Attempt: attempt, Path: "/again/x", Sent: sent})
			for range 2 {
				o.runs[attempt] = append(o.runs[attempt], run{Run: standin.Run{At: sent}, Service: "plain"})
			}
		}
	}
	add(0, 60)
	add(11, 60)
	c.Assert(o.checkRetryBudget(), qt.HasLen, 0, qt.Commentf("60 requests with 60 retries in each of two windows; the budget of a window is 0.2 * 60 + 50"))
	add(5, 10)
	c.Assert(o.checkRetryBudget(), qt.HasLen, 1)
}

// Guards against events that depend on more than the seed, and against kinds of events that are
// never drawn.
func TestRandomEvents(t *testing.T) {
	c := qt.New(t)
	seen := map[eventKind]bool{}
	for seed := range uint64(200) {
		events := randomEvents(seed, 12*time.Second)
		c.Assert(events, qt.DeepEquals, randomEvents(seed, 12*time.Second))
		for i, e := range events {
			seen[e.Kind] = true
			c.Assert(e.At >= 0 && e.At <= 12*time.Second && e.Duration <= max(faultDurationRange+time.Second, minLimitTime+limitTimeRange), qt.IsTrue)
			c.Assert(i == 0 || events[i-1].At <= e.At, qt.IsTrue)
		}
	}
	for _, k := range slices.Concat(eventKinds, laterKinds, []eventKind{silenceServer, limitServers, evacuateZone, returnCold, makeBrittle, releaseServers}) {
		c.Assert(seen[k], qt.IsTrue, qt.Commentf("%s", k))
	}
}

// Guards against routers that know of several versions before the first release, so that none can miss one.
func TestFirstReleaseIsMissed(t *testing.T) {
	c := qt.New(t)
	tb := &testbed{}
	c.Assert([]string{tb.version("plain"), tb.version("pool")}, qt.DeepEquals, []string{"v1", "v1"})
	tb.releases = 1
	c.Assert([]string{tb.version("plain"), tb.version("pool")}, qt.DeepEquals, []string{"v1", "v2"})
	for seed := range uint64(50) {
		events := randomEvents(seed, 12*time.Second)
		first := events[slices.IndexFunc(events, func(e event) bool { return e.Kind == releaseServers })]
		c.Assert(first.Variant&withoutPause, qt.Equals, 0)
	}
}

// Guards against a router of an earlier release that is made to miss a release of servers.
func TestChooseCurrent(t *testing.T) {
	c := qt.New(t)
	tb := &testbed{routerPrograms: routerPrograms{current: "new", previous: "old"}}
	for _, program := range []string{"old", "new", "old", "new"} {
		tb.routers = append(tb.routers, &router{program: program})
	}
	for target := range 8 {
		c.Assert(tb.chooseCurrent(target).program, qt.Equals, "new")
	}
	c.Assert(tb.chooseCurrent(7), qt.Equals, tb.routers[3])
}

// Guards against new kinds of events that change those of seeds that violated a guarantee earlier.
func TestEarlierSeedsKeepTheirEvents(t *testing.T) {
	c := qt.New(t)
	hash := fnv.New64a()
	for _, seed := range regressionSeeds(seedsText)[:5] {
		for _, e := range randomEvents(seed, 12*time.Second) {
			if e.Kind != releaseServers {
				_, _ = fmt.Fprintf(hash, "%+v\n", e)
			}
		}
	}
	c.Assert(hash.Sum64(), qt.Equals, uint64(17825313134728528592))
}

// Guards against regression seeds that are not parsed and therefore not run.
func TestRegressionSeeds(t *testing.T) {
	c := qt.New(t)
	c.Assert(regressionSeeds("# comment\n7 cause\n\n12 other cause\n"), qt.DeepEquals, []uint64{7, 12})
	c.Assert(len(regressionSeeds(seedsText)) > 0, qt.IsTrue)
}

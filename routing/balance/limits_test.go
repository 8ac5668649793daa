package balance_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/routing/balance"
)

// fakeLimits holds rate limits, and for how long servers are at them, by server.
type fakeLimits struct {
	limits map[string]float64
	waits  map[string]time.Duration
}

// Limit implements balance.RateLimits.
func (f fakeLimits) Limit(server string) (float64, bool) {
	perSecond, limited := f.limits[server]
	return perSecond, limited
}

// IsCold implements balance.RateLimits.
func (f fakeLimits) IsCold(string) bool { return false }

// NeedsSlot implements balance.RateLimits.
func (f fakeLimits) NeedsSlot(string) bool { return false }

// Wait implements balance.RateLimits.
func (f fakeLimits) Wait(_ time.Time, server string, _ int) time.Duration { return f.waits[server] }

// Guards against requests to a server at its limit, and rejections although another has room.
func TestRateLimits(t *testing.T) {
	const second = time.Second
	for name, test := range map[string]struct {
		limits  fakeLimits
		request balance.Request
		reason  balance.Reason
		want    string
		wait    time.Duration
	}{
		"limited":                  {fakeLimits{map[string]float64{"s0": 1}, nil}, balance.Request{Avoid: []string{"s1", "s2"}}, balance.LeastLoad, "s0", 0},
		"at its limit":             {fakeLimits{map[string]float64{"s0": 1, "s1": 1}, map[string]time.Duration{"s0": second, "s1": second}}, balance.Request{}, balance.LeastLoad, "s2", 0},
		"no longer limited":        {fakeLimits{nil, map[string]time.Duration{"s0": second}}, balance.Request{Avoid: []string{"s1", "s2"}}, balance.LeastLoad, "s0", 0},
		"may wait":                 {fakeLimits{map[string]float64{"s0": 1}, map[string]time.Duration{"s0": second}}, balance.Request{Avoid: []string{"s1", "s2"}, MaxLimitWait: second}, balance.LeastLoad, "s0", 0},
		"no limited ones":          {fakeLimits{map[string]float64{"s0": 1, "s1": 1}, nil}, balance.Request{AvoidLimited: true}, balance.LeastLoad, "s2", 0},
		"all at their limits":      {fakeLimits{map[string]float64{"s0": 1, "s1": 2, "s2": 0}, map[string]time.Duration{"s0": 3 * second, "s1": 2 * second, "s2": 9 * second}}, balance.Request{}, balance.Limited, "", 2 * second},
		"all that were not tried":  {fakeLimits{map[string]float64{"s0": 1}, map[string]time.Duration{"s0": second}}, balance.Request{Avoid: []string{"s1", "s2"}}, balance.Limited, "", second},
		"tried, the others unused": {fakeLimits{map[string]float64{"s0": 1}, map[string]time.Duration{"s0": second}}, balance.Request{Avoid: []string{"s0", "s1", "s2"}}, balance.NoServer, "", 0},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBalancer(3, 8)
			b.RateLimits = test.limits
			test.request.Service = "pool"
			choice := b.Choose(start, test.request)
			qt.Check(t, choice.Reason, qt.Equals, test.reason)
			qt.Check(t, choice.Server.ID, qt.Equals, test.want)
			if test.want == "" {
				qt.Check(t, choice.Wait, qt.Equals, test.wait)
			}
		})
	}
}

// Guards against requests to limited servers that are shed because the other servers are full.
func TestLimitedServerTakesRequestsUnderOverload(t *testing.T) {
	c := qt.New(t)
	b := newBalancer(3, 8)
	b.RateLimits = fakeLimits{limits: map[string]float64{"s0": 1}}
	for _, id := range []string{"s1", "s2"} {
		for range 16 {
			b.Start(start, id)
		}
	}
	request := balance.Request{Service: "pool", PrefixHashes: []uint64{77}, LatencyTarget: 100 * time.Millisecond}
	for range 20 {
		b.ResponseStarted(start, request, time.Second)
		choice := b.Choose(start, request)
		c.Assert(choice.Server.ID, qt.Equals, "s0")
	}
}

// Guards against prompts that are computed on several servers because one of them is limited.
func TestLimitedServersGetFewerPrompts(t *testing.T) {
	c := qt.New(t)
	const perSecond, limit, prompts = 90, 4.0, 900
	limits := fakeLimits{limits: map[string]float64{}}
	for i := range 6 {
		limits.limits[fmt.Sprint("s", i)] = limit
	}
	b := newBalancer(9, 64)
	homes := func(now time.Time) map[string]string {
		out := map[string]string{}
		for i := range prompts {
			prompt := fmt.Sprint("prompt ", i)
			request := balance.Request{Service: "pool", PrefixHashes: balance.PrefixHashes("m", []string{prompt, "own"}), IsRepeated: true}
			out[prompt] = b.Choose(now, request).Server.ID
		}
		return out
	}
	before := homes(start)
	now := start
	b.RateLimits = limits
	for range 20 * perSecond {
		now = now.Add(time.Second / perSecond)
		b.Choose(now, balance.Request{Service: "pool"})
		b.SetOtherLoads(now, nil, 1, 0)
	}
	perServer, moved := map[string]int{}, 0
	for prompt, server := range homes(now) {
		perServer[server]++
		if _, limited := limits.limits[before[prompt]]; !limited && server != before[prompt] {
			moved++
		}
	}
	c.Check(moved, qt.Equals, 0, qt.Commentf("prompts of servers without a limit stay"))
	for id := range limits.limits {
		rate := float64(perServer[id]) / prompts * perSecond
		c.Check(rate > limit/2 && rate < limit*1.3, qt.IsTrue, qt.Commentf("%s gets prompts for %.2f requests/s", id, rate))
	}
	// The end of the limits brings the prompts home.
	b.RateLimits = fakeLimits{}
	b.SetOtherLoads(now, nil, 1, 0)
	c.Check(homes(now), qt.DeepEquals, before)
}

// Guards against unlimited servers that are overloaded while limited ones run short requests.
func TestLimitedServersGetCostlyRequests(t *testing.T) {
	c := qt.New(t)
	const perSecond, limit = 90, 4.0
	limits := fakeLimits{limits: map[string]float64{}}
	for i := range 6 {
		limits.limits[fmt.Sprint("s", i)] = limit
	}
	b := newBalancer(9, 64)
	b.RateLimits = limits
	now, costly, cheap := start, 0, 0
	for i := range 60 * perSecond {
		now = now.Add(time.Second / perSecond)
		prompt := balance.PrefixHashes("m", []string{fmt.Sprint("prompt ", i%997), "own"})
		cost := []float64{400, 20, 20}[i%3]
		_, limited := limits.limits[b.Choose(now, balance.Request{Service: "pool", PrefixHashes: prompt, Cost: cost}).Server.ID]
		b.SetOtherLoads(now, nil, 1, 0)
		switch {
		case !limited || i < 30*perSecond:
		case cost > 100:
			costly++
		default:
			cheap++
		}
	}
	rate := float64(costly+cheap) / 30 / 6
	c.Check(rate > limit/2 && rate < limit*1.2, qt.IsTrue, qt.Commentf("a limited server gets %.2f requests/s", rate))
	c.Check(costly > 3*cheap, qt.IsTrue, qt.Commentf("%d costly requests, %d others", costly, cheap))
}

// Guards against a queue at an unlimited server that grows because limited ones respond in time.
func TestQueueBesideLimitedServers(t *testing.T) {
	for name, test := range map[string]struct {
		limits fakeLimits
		load   int
		want   balance.Reason
	}{
		"short queue": {fakeLimits{map[string]float64{"s0": 1, "s1": 1}, map[string]time.Duration{"s0": time.Second, "s1": time.Second}}, 10, balance.LeastLoad},
		"long queue":  {fakeLimits{map[string]float64{"s0": 1, "s1": 1}, map[string]time.Duration{"s0": time.Second, "s1": time.Second}}, 24, balance.Full},
		"no limits":   {fakeLimits{}, 24, balance.LeastLoad},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBalancer(3, 8)
			b.RateLimits = test.limits
			b.Start(start, "s2")
			b.Finish(start, "s2", balance.Answered, 100*time.Millisecond)
			for range test.load {
				b.Start(start, "s2")
			}
			request := balance.Request{Service: "pool", LatencyTarget: 100 * time.Millisecond, TimeLeft: time.Minute}
			qt.Assert(t, b.Choose(start, request).Reason, qt.Equals, test.want)
		})
	}
}

package balance_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/routing/balance"
	"hornbeamstep.example/routing/metadata"
)

// brittleness returns what the servers state.
func (sim *simulation) brittleness(now time.Time) metadata.Brittleness {
	isBrittle := sim.brittleFrom > 0 && now.Sub(start) >= sim.brittleFrom
	return metadata.Brittleness{Stated: isBrittle, MaxRejections: sim.maxRejections}
}

// isFragile reports whether rejections make servers fail.
func (sim *simulation) isFragile(now time.Time) bool {
	return sim.brittleFrom > 0 && now.Sub(start) >= sim.brittleFrom+time.Second
}

// recordRefusal makes a server fail if it has refused too many requests within a second.
func (sim *simulation) recordRefusal(now time.Time, server string, o *result) {
	const downTime = 3 * time.Second
	if !sim.isFragile(now) {
		return
	}
	if sim.refusedAt == nil {
		sim.refusedAt, sim.downUntil = map[string][]time.Time{}, map[string]time.Time{}
	}
	var recent []time.Time
	for _, at := range sim.refusedAt[server] {
		if now.Sub(at) < time.Second {
			recent = append(recent, at)
		}
	}
	recent = append(recent, now)
	if len(recent) > sim.maxRejections {
		recent = nil
		o.failures++
		o.failedAt = append(o.failedAt, now.Sub(start))
		sim.downUntil[server] = now.Add(downTime)
		for _, r := range sim.queues[server] {
			sim.balancers[r.router].Finish(now, server, balance.Broken, 0)
		}
		sim.queues[server] = nil
	}
	sim.refusedAt[server] = recent
}

// Guards against brittle servers that fail under overload; of n servers, 2 + n/10 may.
func TestBrittleServers(t *testing.T) {
	for name, test := range map[string]struct {
		newSimulation func(rate float64) *simulation
		rate          float64
		maxRejections int
		maxFailures   int
	}{
		"short requests, 60 routers":     {shortRequests, 900, 10, 2},
		"engine requests":                {engineRequests, 2 * 9 * 16 / 0.7, 10, 2},
		"engine requests, few allowed":   {engineRequests, 2 * 9 * 16 / 0.7, 4, 2},
		"engine requests, near capacity": {engineRequests, 0.9 * 9 * 16 / 0.7, 6, 2},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			sim := test.newSimulation(test.rate)
			sim.warmUpRate, sim.warmUp = test.rate/2, 3*time.Second
			sim.brittleFrom, sim.maxRejections = 5*time.Second, test.maxRejections
			o := sim.run(20 * time.Second)
			t.Logf("%v, failures %d at %v", o, o.failures, o.failedAt)
			c.Assert(o.failures <= test.maxFailures, qt.IsTrue, qt.Commentf("%d servers failed", o.failures))
			c.Assert(4*(o.inTime[0]+o.inTime[1]) >= o.sent, qt.IsTrue, qt.Commentf("%d of %d in time", o.inTime[0], o.sent))
		})
	}
}

// Guards against brittle servers that fail because the routers of a large fleet each decide alone what
// they send; of n servers, 2 + n/10 may. Three quarters of what the servers can answer must be answered.
func TestBrittleServersOfLargeFleet(t *testing.T) {
	skipKnownRed(t)
	for name, test := range map[string]struct {
		newSimulation func(rate float64) *simulation
		// normalRate is the rate of requests before burstAt, and rate that after it. capacity is what the
		// servers can answer per second.
		normalRate, rate, capacity float64
		burstAt                    time.Duration
		maxRejections              int
	}{
		"plain service":                          {shortRequests, 335, 335, 600, 3 * time.Second, 5},
		"plain service, no rejection withstood":  {shortRequests, 335, 335, 600, 3 * time.Second, 0},
		"plain service, burst":                   {shortRequests, 335, 900, 600, 8 * time.Second, 5},
		"plain service, burst, few withstood":    {shortRequests, 335, 1700, 600, 8 * time.Second, 2},
		"plain service, requests at few routers": {fewRouters(shortRequests), 335, 900, 600, 8 * time.Second, 5},
		"engines, hot prompt":                    {enginePool(0.3), 956, 956, 4480, 3 * time.Second, 3},
		"engines, burst":                         {enginePool(0), 956, 4000, 4480, 8 * time.Second, 3},
		"engines, overload and a hot prompt":     {enginePool(0.1), 956, 6000, 4480, 8 * time.Second, 3},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			sim := test.newSimulation(test.rate)
			sim.warmUpRate, sim.warmUp = test.normalRate, test.burstAt
			sim.brittleFrom, sim.maxRejections = 5*time.Second, test.maxRejections
			const d = 15 * time.Second
			o := sim.run(d)
			t.Logf("%v, failures %d at %v", o, o.failures, o.failedAt)
			allowed := 2 + len(sim.servers)/10
			c.Check(o.failures <= allowed, qt.IsTrue, qt.Commentf("%d servers failed, %d allowed", o.failures, allowed))
			possible := min(test.normalRate, test.capacity)*test.burstAt.Seconds() + min(test.rate, test.capacity)*(d-test.burstAt).Seconds()
			c.Check(float64(o.inTime[0]) >= 0.75*possible, qt.IsTrue, qt.Commentf("%d of %.0f possible in time", o.inTime[0], possible))
		})
	}
}

// enginePool is a pool of 112 engines with 16 slots each and 60 routers. hotShare is the share of the
// requests that have one prompt.
func enginePool(hotShare float64) func(rate float64) *simulation {
	return func(rate float64) *simulation {
		return &simulation{
			routers: 60, servers: zonedServers(112, 16), queue: 48, rate: rate, duration: 400 * time.Millisecond,
			reportInterval: 400 * time.Millisecond, reportAge: 600 * time.Millisecond, stale: true,
			request: func(router int, draw float64) balance.Request {
				prompt := "hot"
				if draw >= hotShare {
					prompt = fmt.Sprint("doc", int(draw*1e6)%800)
				}
				return balance.Request{
					Service: "pool", Zone: fmt.Sprint("z", router%3), Draw: draw, TimeLeft: 12 * time.Second, LatencyTarget: 600 * time.Millisecond,
					PrefixHashes: balance.PrefixHashes("m", []string{prompt, "own"}),
				}
			},
		}
	}
}

// fewRouters lets only a tenth of the routers get requests.
func fewRouters(newSimulation func(rate float64) *simulation) func(rate float64) *simulation {
	return func(rate float64) *simulation {
		sim := newSimulation(rate)
		sim.receiving = sim.routers / 10
		return sim
	}
}

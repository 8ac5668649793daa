package balance_test

import (
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

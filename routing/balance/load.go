package balance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// chooseByLoad returns a server with little load.
func (b *Balancer) chooseByLoad(now time.Time, p *pool, usable []*entry, req Request) *entry {
	if p.meanDuration > 0 && p.meanDuration < b.reportAge {
		return b.chooseWeighted(usable, req)
	}
	return b.leastLoaded(now, usable, req)
}

// chooseWeighted picks a server at random, with a probability that grows slowly with its share of
// free slots. A steeper function would make all routers oscillate between the servers, because they
// see the effect of their choices late. It is used when requests are shorter than the age of the
// load reports: otherwise all routers would send them to the server that had the least load in the
// last report and overload one server after another. Servers in the router's availability zone get
// most of the requests while half of their slots are free.
func (b *Balancer) chooseWeighted(usable []*entry, req Request) *entry {
	weights := make([]float64, len(usable))
	total := 0.0
	for i, e := range usable {
		free := 1 - e.averageLoad/float64(max(1, req.Slots, e.Slots))
		weight := math.Sqrt(max(minFreeShare, free)) * (1 - excessFailureRate(usable, e))
		if e.Zone == req.Zone {
			weight *= 1 + sameZoneBoost*max(0, 2*free-1)
		}
		weights[i] = weight
		total += weight
	}
	remaining := deriveDraw(req.Draw, b.salt) * total
	for i, weight := range weights {
		if remaining -= weight; remaining < 0 {
			return usable[i]
		}
	}
	return usable[len(usable)-1]
}

// minFreeShare is the share of free slots that a server without a free slot counts with, so that it
// still gets a few requests. An idle server in the router's availability zone has 1 + sameZoneBoost
// times the weight of an idle server in another zone.
const (
	minFreeShare  = 0.05
	sameZoneBoost = 4
)

// leastLoaded returns the server with the least load, taking its slots and failures into account
// and preferring the router's availability zone.
func (b *Balancer) leastLoaded(now time.Time, usable []*entry, req Request) *entry {
	cost := func(e *entry) float64 {
		slots := float64(max(1, req.Slots, e.Slots))
		c := (float64(e.load()) + e.sendRate.perSecond(now)*b.reportAge.Seconds()) / (1 - excessFailureRate(usable, e))
		if e.Zone == req.Zone && float64(e.load()) < slots {
			c -= b.settings.ZonePreference
		}
		// Failures count as additional load, up to all slots in use.
		return c + excessFailureRate(usable, e)*slots
	}
	return slices.MinFunc(usable, func(x, y *entry) int {
		return cmp.Or(cmp.Compare(cost(x), cost(y)), cmp.Compare(mix(x.seed^b.salt), mix(y.seed^b.salt)))
	})
}

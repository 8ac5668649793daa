package balance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// chooseByLoad returns the least loaded server. If requests are shorter than the age of the load
// reports, it returns a random server with a preference for those with free slots.
func (b *Balancer) chooseByLoad(now time.Time, p *pool, usable []*entry, req Request) *entry {
	if p.meanDuration > 0 && p.meanDuration < b.reportAge {
		return b.chooseWeighted(usable, req)
	}
	return b.leastLoaded(now, usable, req)
}

// chooseWeighted picks a server at random, with a probability that grows slowly with its share of
// free slots. With a steeper function all routers would oscillate between the servers, because they
// see the effect of their choices late. Servers in the router's availability zone get a higher
// probability while more than half of their slots are free.
//
// chooseWeighted is used when requests are shorter than the age of the load reports. With
// leastLoaded, all routers would then send requests to the server that had the least load in the
// last report, and overload one server after another.
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

const (
	// minFreeShare is the lowest share of free slots that chooseWeighted assumes, so that a server
	// without a free slot still gets a few requests.
	minFreeShare = 0.05
	// sameZoneBoost determines the preference for the router's availability zone: an idle server
	// there has 1 + sameZoneBoost times the weight of an idle server in another zone.
	sameZoneBoost = 4
)

// leastLoaded returns the server with the lowest cost. The cost is the load plus the number of
// requests that this router sends to the server within the age of the load reports. It is higher
// for servers that fail more often than others, and lower for servers with a free slot in the
// router's availability zone.
func (b *Balancer) leastLoaded(now time.Time, usable []*entry, req Request) *entry {
	cost := func(e *entry) float64 {
		slots := float64(max(1, req.Slots, e.Slots))
		c := (float64(e.load()) + e.sendRate.perSecond(now)*b.reportAge.Seconds()) / (1 - excessFailureRate(usable, e))
		if e.Zone == req.Zone && float64(e.load()) < slots {
			c -= b.settings.ZonePreference
		}
		// Failures count as additional load: the excess failure rate times the number of slots.
		return c + excessFailureRate(usable, e)*slots
	}
	return slices.MinFunc(usable, func(x, y *entry) int {
		return cmp.Or(cmp.Compare(cost(x), cost(y)), cmp.Compare(mix(x.seed^b.salt), mix(y.seed^b.salt)))
	})
}

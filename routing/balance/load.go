package balance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// byLoad returns a server with little load.
func (b *Balancer) byLoad(now time.Time, p *pool, usable []*entry, a Ask) *entry {
	if p.work > 0 && p.work < b.lag {
		return b.byShare(usable, a)
	}
	return b.leastLoaded(now, usable, a)
}

// byShare draws a server with a chance that grows slowly with its free slots: a steep rise would make all routers swing between the
// servers, since they learn of the effect late. It is for requests that are shorter than reports are old:
// all routers would send them to the server that had the least load at the last report, and overload each in turn. Servers of
// the own availability zone get most of the requests while they have half of their slots free.
func (b *Balancer) byShare(usable []*entry, a Ask) *entry {
	shares := make([]float64, len(usable))
	total := 0.0
	for i, e := range usable {
		free := 1 - e.usual/float64(max(1, a.Slots, e.Slots))
		share := math.Sqrt(max(leastShare, free)) * (1 - excess(usable, e))
		if e.Zone == a.Zone {
			share *= 1 + nearShare*max(0, 2*free-1)
		}
		shares[i] = share
		total += share
	}
	at := next(a.Draw, b.salt) * total
	for i, share := range shares {
		if at -= share; at < 0 {
			return usable[i]
		}
	}
	return usable[len(usable)-1]
}

// leastShare is the share of a server without a free slot, relative to an idle one, and nearShare how much more likely an idle
// server of the own availability zone is.
const (
	leastShare = 0.05
	nearShare  = 4
)

// leastLoaded returns the server with the least load for its slots and failures, with a preference for the own availability zone.
func (b *Balancer) leastLoaded(now time.Time, usable []*entry, a Ask) *entry {
	cost := func(e *entry) float64 {
		slots := float64(max(1, a.Slots, e.Slots))
		c := (float64(e.load()) + e.sent.perSecond(now)*b.lag.Seconds()) / (1 - excess(usable, e))
		if e.Zone == a.Zone && float64(e.load()) < slots {
			c -= b.settings.Near
		}
		// A failing server counts as one with all slots in use.
		return c + excess(usable, e)*slots
	}
	return slices.MinFunc(usable, func(x, y *entry) int {
		return cmp.Or(cmp.Compare(cost(x), cost(y)), cmp.Compare(mix(x.seed^b.salt), mix(y.seed^b.salt)))
	})
}

package balance

import (
	"math"
	"slices"
	"time"
)

const (
	// demandDecayTime is the decay time of the request rate from which the weights are computed. It
	// is long, because each change of a weight moves prompts to other servers.
	demandDecayTime = 4 * time.Second
	// loadShareWeight is the weight of the latest report in the moving averages of this router's
	// and of all requests in progress.
	loadShareWeight = 0.05
	// usableLimitShare is the part of a server's rate limit for which prompts are assigned to it.
	// The rest is room for the variation of their rate.
	usableLimitShare = 0.85
	// weightTolerance is the relative change up to which a weight stays, because the estimated demand
	// varies.
	weightTolerance = 0.2
)

// demand estimates the request rate of a service over all routers.
type demand struct {
	// requests is the rate of this router's requests.
	requests rate
	// ownLoad and totalLoad are moving averages of the requests in progress from this router and
	// from all routers.
	ownLoad, totalLoad float64
}

func (d *demand) count(now time.Time) {
	d.requests.decayTime = demandDecayTime
	d.requests.count(now)
}

func (d *demand) recordLoads(entries []*entry) {
	own, total := 0.0, 0.0
	for _, e := range entries {
		own += float64(e.own)
		total += float64(e.load())
	}
	d.ownLoad += (own - d.ownLoad) * loadShareWeight
	d.totalLoad += (total - d.totalLoad) * loadShareWeight
}

// perSecond returns the request rate of all routers. This router's part of the requests in progress
// is taken as its part of the rate.
func (d *demand) perSecond(now time.Time) float64 {
	own := d.requests.perSecond(now)
	if d.ownLoad <= 0 {
		return own
	}
	return own * d.totalLoad / d.ownLoad
}

// updateWeights sets the weights by which prompts are assigned to the servers of a service. A server
// whose rate limit is below its part of the demand gets a smaller part of the prompts, and keeps
// all requests with these. Without weights, it would get a part of the requests with each of its
// prompts, and each prompt would be computed on several servers.
func (b *Balancer) updateWeights(now time.Time, p *pool) {
	limits := make([]float64, len(p.entries))
	for i, e := range p.entries {
		limits[i] = math.Inf(1)
		if perSecond, limited := b.RateLimits.Limit(e.ID); limited {
			limits[i] = usableLimitShare * perSecond
		}
	}
	share := fairShare(p.demand.perSecond(now), limits)
	for i, e := range p.entries {
		weight := 1.0
		if share > 0 {
			weight = max(minWeight, min(1, limits[i]/share))
		}
		if weight == 1 || math.Abs(weight-e.weight) > weightTolerance*e.weight {
			e.weight = weight
		}
	}
}

// minWeight is the lowest weight of a server.
const minWeight = 1e-3

// fairShare returns the greatest rate that a server gets if a total rate is divided evenly among
// servers, but each gets its limit at most. If the limits are below the total, it is the highest of
// them.
func fairShare(total float64, limits []float64) float64 {
	sorted := slices.Sorted(slices.Values(limits))
	for i, limit := range sorted {
		if share := total / float64(len(sorted)-i); share <= limit {
			return share
		}
		total -= limit
	}
	if len(sorted) == 0 {
		return 0
	}
	return sorted[len(sorted)-1]
}

// weightedScore returns the score of a server in the rendezvous order from its hash. The order of
// servers with weight 1 is that of their hashes.
func weightedScore(hash uint64, weight float64) float64 {
	const unit = 1.0 / (1 << 53)
	return math.Log((float64(hash>>11)+0.5)*unit) / weight
}

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
	// weightTolerance is the relative change up to which a weight stays, because the estimated
	// demand varies.
	weightTolerance = 0.2
)

// demand estimates the requests for a service over all routers.
type demand struct {
	// requests is the rate of this router's requests.
	requests rate
	// ownLoad and totalLoad are moving averages of the requests in progress from this router and
	// from all routers.
	ownLoad, totalLoad float64
	// costs holds the costs of this router's latest requests, and next the index that is
	// overwritten next.
	costs []float64
	next  int
}

// maxCosts is the number of requests whose costs are kept.
const maxCosts = 128

func (d *demand) count(now time.Time, req Request) {
	d.requests.decayTime = demandDecayTime
	d.requests.count(now)
	if len(d.costs) < maxCosts {
		d.costs = append(d.costs, req.cost())
		return
	}
	d.costs[d.next] = req.cost()
	d.next = (d.next + 1) % maxCosts
}

// cost returns the cost of the request, rounded down to a power of two, so that requests with the
// same prompt and similar costs have the same home.
func (r Request) cost() float64 {
	if r.Cost < 1 {
		return 1
	}
	return math.Exp2(math.Floor(math.Log2(r.Cost)))
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

// updateWeights sets the weights by which prompts are assigned to the servers of a service. A
// server whose rate limit is below its part of the demand gets a smaller part of the prompts, and
// keeps all requests with these. Without weights, it would get a part of the requests with each of
// its prompts, and each prompt would be computed on several servers.
//
// The weight of such a server is proportional to the cost of a request: its limit counts requests,
// however long they take, so the others have the less to do the more costly these are.
func (b *Balancer) updateWeights(now time.Time, p *pool) {
	limits := make([]float64, len(p.entries))
	for i, e := range p.entries {
		limits[i] = math.Inf(1)
		if perSecond, limited := b.RateLimits.Limit(e.ID); limited {
			limits[i] = usableLimitShare * perSecond
		}
	}
	total := p.demand.perSecond(now)
	share := fairShare(total, limits)
	others, limitSum := 0, 0.0
	for _, limit := range limits {
		if limit >= share {
			others++
		} else {
			limitSum += limit
		}
	}
	scale := costWeightScale(p.demand.costs, total, float64(others), limitSum)
	for i, e := range p.entries {
		e.hasCostWeight = limits[i] < share
		weight := 1.0
		if e.hasCostWeight {
			weight = max(minWeight, scale*limits[i])
		}
		if weight == 1 || math.Abs(weight-e.weight) > weightTolerance*e.weight {
			e.weight = weight
		}
	}
}

// costWeightScale returns the weight of a server per cost of a request and unit of its limit, at
// which servers with the given sum of limits get requests at that rate. total is the rate of all
// requests, and others the sum of the weights of the other servers.
func costWeightScale(costs []float64, total, others, limitSum float64) float64 {
	// rate is the rate of requests that the limited servers get.
	rate := func(scale float64) float64 {
		part := 0.0
		for _, cost := range costs {
			weight := scale * cost * limitSum
			part += weight / (others + weight)
		}
		return total * part / float64(max(1, len(costs)))
	}
	const halvings = 60
	low, high := 1e-9, 1e9
	for range halvings {
		middle := math.Sqrt(low * high)
		if rate(middle) < limitSum {
			low = middle
		} else {
			high = middle
		}
	}
	return high
}

// minWeight is the lowest weight of a server.
const minWeight = 1e-6

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

// score returns the score of the server in the rendezvous order of the request's prompt.
func (e *entry) score(req Request) float64 {
	weight := e.weight
	if e.hasCostWeight {
		weight *= req.cost()
	}
	return weightedScore(mix(req.PrefixHashes[0]^e.seed), weight)
}

// Package baseline provides simple placers as a reference for comparisons with the rule of package
// placement.
package baseline

import (
	"math/rand/v2"
	"time"

	"hornbeamstep.example/routing/placement"
)

// Random chooses an engine at random among those that accept work.
type Random struct{ rng *rand.Rand }

// NewRandom returns a placer whose random choices depend only on seed.
func NewRandom(seed uint64) *Random { return &Random{rng: rand.New(rand.NewPCG(seed, 1))} }

// Place chooses an engine.
func (p *Random) Place(_ time.Time, r placement.Request, v placement.View) placement.Decision {
	ids := usable(r, v)
	if len(ids) == 0 {
		return placement.Decision{}
	}
	return placement.Decision{Engine: ids[p.rng.IntN(len(ids))], Reason: placement.RandomOrRoundRobin}
}

// RoundRobin chooses the engines in turn.
type RoundRobin struct{ next int }

// Place chooses an engine.
func (p *RoundRobin) Place(_ time.Time, r placement.Request, v placement.View) placement.Decision {
	ids := usable(r, v)
	if len(ids) == 0 {
		return placement.Decision{}
	}
	p.next++
	return placement.Decision{Engine: ids[p.next%len(ids)], Reason: placement.RandomOrRoundRobin}
}

// LeastLoad chooses the engine with the lowest known load.
type LeastLoad struct{}

// Place chooses an engine.
func (LeastLoad) Place(_ time.Time, r placement.Request, v placement.View) placement.Decision {
	return decideByLoad(leastLoaded(usable(r, v), v))
}

// decideByLoad returns the decision for an engine that was chosen by its load, which is empty if
// there is none.
func decideByLoad(engine string) placement.Decision {
	if engine == "" {
		return placement.Decision{}
	}
	return placement.Decision{Engine: engine, Reason: placement.ByLoad}
}

// ConsistentHash is plain consistent hashing: it chooses the first engine in hash order that
// accepts work, whatever its load.
type ConsistentHash struct{}

// Place chooses an engine.
func (ConsistentHash) Place(_ time.Time, r placement.Request, v placement.View) placement.Decision {
	for _, id := range v.PreferenceList(nil, r, len(v.Engines())) {
		if acceptsWork(v, id) {
			return placement.Decision{Engine: id, Home: id, Reason: placement.AtHome}
		}
	}
	return placement.Decision{}
}

// BoundedConsistentHash is consistent hashing with bounded loads: it chooses the first engine in
// hash order whose known load, including the request, is at most one above Bound times the mean. If
// there is none, it chooses the least loaded engine.
type BoundedConsistentHash struct{ Bound float64 }

// Place chooses an engine.
func (p BoundedConsistentHash) Place(_ time.Time, r placement.Request, v placement.View) placement.Decision {
	ids := usable(r, v)
	limit := p.Bound*meanLoad(ids, v) + 1
	preferences := v.PreferenceList(nil, r, len(v.Engines()))
	for i, id := range preferences {
		if !acceptsWork(v, id) || v.Status(id).Load+1 > limit {
			continue
		}
		d := placement.Decision{Engine: id, Home: preferences[0], Reason: placement.Spilled}
		if i == 0 {
			d.Reason = placement.AtHome
		}
		return d
	}
	return decideByLoad(leastLoaded(ids, v))
}

// Oracle gives the current state of all engines. Routers know only an earlier state.
type Oracle interface {
	// Cached returns how many tokens of the request's context are in the KV cache of an engine now.
	Cached(r placement.Request, engine string) int
	// Load returns the actual load of an engine now.
	Load(engine string) float64
}

// Omniscient chooses by the current state of the engines. Among those whose load is within the
// bound, it chooses the one that caches the most tokens of the context. Ties go to the least loaded
// engine.
type Omniscient struct {
	Oracle Oracle
	Bound  float64
}

// Place chooses an engine.
func (p Omniscient) Place(_ time.Time, r placement.Request, v placement.View) placement.Decision {
	ids := usable(r, v)
	sum := 0.0
	for _, id := range ids {
		sum += p.Oracle.Load(id)
	}
	// The mean includes the request itself.
	limit := p.Bound*(sum+1)/float64(max(1, len(ids))) + 1
	best, cached, load := "", 0, 0.0
	for _, id := range ids {
		l := p.Oracle.Load(id)
		if l+1 > limit {
			continue
		}
		c := p.Oracle.Cached(r, id)
		if best == "" || c > cached || c == cached && l < load {
			best, cached, load = id, c, l
		}
	}
	return decideByLoad(best)
}

// acceptsWork reports whether the engine accepts new requests.
func acceptsWork(v placement.View, id string) bool {
	e, _ := v.Engine(id)
	return e.State == placement.InService || e.State == placement.Joining
}

// usable returns the IDs of the engines that can serve the request, in ascending order.
func usable(r placement.Request, v placement.View) []string {
	candidates := map[string]bool{}
	for _, id := range v.PreferenceList(nil, r, len(v.Engines())) {
		candidates[id] = true
	}
	var ids []string
	for _, e := range v.Engines() {
		if candidates[e.ID] && acceptsWork(v, e.ID) {
			ids = append(ids, e.ID)
		}
	}
	return ids
}

// meanLoad returns the mean of the known loads of the engines.
func meanLoad(ids []string, v placement.View) float64 {
	sum := 0.0
	for _, id := range ids {
		sum += v.Status(id).Load
	}
	return sum / float64(max(1, len(ids)))
}

// leastLoaded returns the ID of the engine with the lowest known load, or "" if there are no
// engines. Ties go to the first one.
func leastLoaded(ids []string, v placement.View) string {
	best := ""
	for _, id := range ids {
		if best == "" || v.Status(id).Load < v.Status(best).Load {
			best = id
		}
	}
	return best
}

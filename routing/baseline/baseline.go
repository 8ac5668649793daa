// Package baseline holds simple placers that the project's placement is measured against.
package baseline

import (
	"math/rand/v2"
	"time"

	"hornbeamstep.example/routing/placement"
)

// Random chooses any engine that takes work.
type Random struct{ rng *rand.Rand }

// NewRandom returns the placer with a random source of a fixed seed.
func NewRandom(seed uint64) *Random { return &Random{rng: rand.New(rand.NewPCG(seed, 1))} }

// Place chooses an engine.
func (p *Random) Place(_ time.Time, r placement.Request, v placement.View) placement.Decision {
	list := usable(r, v)
	if len(list) == 0 {
		return placement.Decision{}
	}
	return placement.Decision{Engine: list[p.rng.IntN(len(list))], Reason: placement.ByTurn}
}

// RoundRobin takes the engines in turn.
type RoundRobin struct{ next int }

// Place chooses an engine.
func (p *RoundRobin) Place(_ time.Time, r placement.Request, v placement.View) placement.Decision {
	list := usable(r, v)
	if len(list) == 0 {
		return placement.Decision{}
	}
	p.next++
	return placement.Decision{Engine: list[p.next%len(list)], Reason: placement.ByTurn}
}

// LeastLoad takes the engine with the lowest known load.
type LeastLoad struct{}

// Place chooses an engine.
func (LeastLoad) Place(_ time.Time, r placement.Request, v placement.View) placement.Decision {
	return placement.Decision{Engine: least(usable(r, v), v), Reason: placement.ByLoad}
}

// Hash is plain consistent hashing: always the home, whatever its load.
type Hash struct{}

// Place chooses an engine.
func (Hash) Place(_ time.Time, r placement.Request, v placement.View) placement.Decision {
	for _, id := range v.Chain(nil, r, len(v.Engines())) {
		if takes(v, id) {
			return placement.Decision{Engine: id, Home: id, Reason: placement.AtHome}
		}
	}
	return placement.Decision{}
}

// BoundedHash is consistent hashing with bounded loads: the first engine in hash order whose known load is below Bound
// times the mean, with an allowance of one request.
type BoundedHash struct{ Bound float64 }

// Place chooses an engine.
func (p BoundedHash) Place(_ time.Time, r placement.Request, v placement.View) placement.Decision {
	list := usable(r, v)
	limit := p.Bound*mean(list, v) + 1
	chain := v.Chain(nil, r, len(v.Engines()))
	for i, id := range chain {
		if !takes(v, id) || v.Status(id).Load+1 > limit {
			continue
		}
		d := placement.Decision{Engine: id, Home: chain[0], Reason: placement.Spilled}
		if i == 0 {
			d.Reason = placement.AtHome
		}
		return d
	}
	return placement.Decision{Engine: least(list, v), Reason: placement.ByLoad}
}

// Oracle answers what only an observer of everything at once can know.
type Oracle interface {
	// Cached returns the number of tokens of the request's context in the cache of an engine now.
	Cached(r placement.Request, engine string) int
	// Load returns the true load of an engine now.
	Load(engine string) float64
}

// Omniscient takes the engine with the most of the context in its cache among those below the bound at this moment, and
// the least loaded of equals.
type Omniscient struct {
	Oracle Oracle
	Bound  float64
}

// Place chooses an engine.
func (p Omniscient) Place(_ time.Time, r placement.Request, v placement.View) placement.Decision {
	list := usable(r, v)
	sum := 0.0
	for _, id := range list {
		sum += p.Oracle.Load(id)
	}
	// The mean counts the request itself.
	limit := p.Bound*(sum+1)/float64(max(1, len(list))) + 1
	best, cached, load := "", 0, 0.0
	for _, id := range list {
		l := p.Oracle.Load(id)
		if l+1 > limit {
			continue
		}
		c := p.Oracle.Cached(r, id)
		if best == "" || c > cached || c == cached && l < load {
			best, cached, load = id, c, l
		}
	}
	return placement.Decision{Engine: best, Reason: placement.ByLoad}
}

func takes(v placement.View, id string) bool {
	e, _ := v.Engine(id)
	return e.State == placement.InService || e.State == placement.Joining
}

// usable returns the engines that take the request, in the order of their IDs.
func usable(r placement.Request, v placement.View) []string {
	able := map[string]bool{}
	for _, id := range v.Chain(nil, r, len(v.Engines())) {
		able[id] = true
	}
	var list []string
	for _, e := range v.Engines() {
		if able[e.ID] && takes(v, e.ID) {
			list = append(list, e.ID)
		}
	}
	return list
}

func mean(list []string, v placement.View) float64 {
	sum := 0.0
	for _, id := range list {
		sum += v.Status(id).Load
	}
	return sum / float64(max(1, len(list)))
}

func least(list []string, v placement.View) string {
	best := ""
	for _, id := range list {
		if best == "" || v.Status(id).Load < v.Status(best).Load {
			best = id
		}
	}
	return best
}

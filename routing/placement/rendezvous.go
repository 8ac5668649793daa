package placement

import (
	"math"
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// Multipliers of the mixing function: odd constants with evenly spread bits (golden ratio; from SplitMix64).
const (
	mul1 = 0x9E3779B97F4A7C15
	mul2 = 0xBF58476D1CE4E5B9
)

// mix spreads the bits of x over the whole word. Two rounds are needed: after one, engines with related seeds get
// visibly unequal shares.
func mix(x uint64) uint64 {
	hi, lo := bits.Mul64(x, mul1)
	hi, lo = bits.Mul64(hi^lo^mul2, mul2)
	return hi ^ lo
}

// Key returns the hash of what decides a chat's home.
func Key(model, adapter, chat string) uint64 {
	h := mix(xxhash.Sum64String(model))
	h = mix(h ^ xxhash.Sum64String(adapter))
	return mix(h ^ xxhash.Sum64String(chat))
}

// group holds the engines of one weight. Within a group the order of the scores is the order of the hashes, so that
// logarithms are only computed for the best of each group.
type group struct {
	weight float64
	seeds  []uint64
	// index holds the position in View.engines of the engine with the seed at the same position.
	index []int32
}

// ranked is an engine with its score; lower scores come first.
type ranked struct {
	index int32
	score float64
}

const none = int32(-1)

// score is the exponentially distributed time of weighted rendezvous hashing: the smallest wins, and an engine wins
// with a probability proportional to its weight.
func score(hash uint64, weight float64) float64 {
	u := (float64(hash>>11) + 0.5) / (1 << 53)
	return -math.Log(u) / weight
}

// set holds the candidates for a model and an adapter.
type set struct {
	groups []group
	size   int
	// leaving holds the engines that would be candidates if they were not leaving.
	leaving []group
}

// top returns the first and second choice for a key; none if there is no such engine.
func top(groups []group, key uint64) (first, second ranked) {
	first = ranked{none, math.Inf(1)}
	second = first
	for i := range groups {
		g := &groups[i]
		a, b := g.best(key)
		if a < 0 {
			continue
		}
		first, second = insert(first, second, g.rank(key, a))
		if b >= 0 {
			first, second = insert(first, second, g.rank(key, b))
		}
	}
	return first, second
}

func insert(first, second, r ranked) (ranked, ranked) {
	switch {
	case r.score < first.score:
		return r, first
	case r.score < second.score:
		return first, r
	}
	return first, second
}

func (g *group) rank(key uint64, at int) ranked {
	return ranked{g.index[at], score(mix(key^g.seeds[at]), g.weight)}
}

// best returns the positions of the two highest hashes in the group, -1 where there is none.
func (g *group) best(key uint64) (first, second int) {
	first, second = -1, -1
	var h1, h2 uint64
	for i, seed := range g.seeds {
		h := mix(key ^ seed)
		if h <= h2 && second >= 0 {
			continue
		}
		if first < 0 || h > h1 {
			first, second, h1, h2 = i, first, h, h1
			continue
		}
		second, h2 = i, h
	}
	return first, second
}

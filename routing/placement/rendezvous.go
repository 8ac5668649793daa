package placement

import (
	"math"
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// Multipliers for mix: odd constants with evenly spread bits. The first is derived from the golden
// ratio, the second is from SplitMix64.
const (
	mul1 = 0x9E3779B97F4A7C15
	mul2 = 0xBF58476D1CE4E5B9
)

// mix spreads the bits of x over the whole word. It needs two rounds: with one, engines with
// related seeds get visibly unequal shares of the keys.
func mix(x uint64) uint64 {
	hi, lo := bits.Mul64(x, mul1)
	hi, lo = bits.Mul64(hi^lo^mul2, mul2)
	return hi ^ lo
}

// Key returns the hash of a chat, its model and its adapter, which determines the chat's home.
func Key(model, adapter, chat string) uint64 {
	h := mix(xxhash.Sum64String(model))
	h = mix(h ^ xxhash.Sum64String(adapter))
	return mix(h ^ xxhash.Sum64String(chat))
}

// weightGroup holds the engines that have the same weight. Within a group the engine with the
// highest hash has the lowest score, so that only the two highest hashes of each group need a
// logarithm.
type weightGroup struct {
	weight float64
	seeds  []uint64
	// index holds the index in View.engines of each engine, in the order of seeds.
	index []int32
}

// scoredEngine is the index of an engine in View.engines with its score. The engine with the lowest
// score is the first choice.
type scoredEngine struct {
	index int32
	score float64
}

// noIndex is the index if there is no engine.
const noIndex = int32(-1)

// score returns the score of weighted rendezvous hashing. Scores are exponentially distributed with
// the weight as the rate. The share of keys for which an engine has the lowest score is therefore
// proportional to its weight.
func score(hash uint64, weight float64) float64 {
	u := (float64(hash>>11) + 0.5) / (1 << 53)
	return -math.Log(u) / weight
}

// candidateSet holds the engines that can serve a model and an adapter.
type candidateSet struct {
	groups []weightGroup
	// size is the number of engines in groups.
	size int
	// leaving holds the engines that would be in groups if they were not leaving.
	leaving []weightGroup
}

// firstTwo returns the engines with the lowest and the second lowest score for a key. The index of
// a missing one is noIndex.
func firstTwo(groups []weightGroup, key uint64) (first, second scoredEngine) {
	first = scoredEngine{noIndex, math.Inf(1)}
	second = first
	for i := range groups {
		g := &groups[i]
		a, b := g.highestTwo(key)
		if a < 0 {
			continue
		}
		first, second = insertScored(first, second, g.scored(key, a))
		if b >= 0 {
			first, second = insertScored(first, second, g.scored(key, b))
		}
	}
	return first, second
}

// insertScored returns the two engines with the lowest scores of first, second and e.
func insertScored(first, second, e scoredEngine) (scoredEngine, scoredEngine) {
	switch {
	case e.score < first.score:
		return e, first
	case e.score < second.score:
		return first, e
	}
	return first, second
}

// scored returns the engine at a position in g.seeds with its score for a key.
func (g *weightGroup) scored(key uint64, position int) scoredEngine {
	return scoredEngine{g.index[position], score(mix(key^g.seeds[position]), g.weight)}
}

// highestTwo returns the positions in g.seeds of the engines with the highest and the second
// highest hash for a key, and -1 for a missing one.
func (g *weightGroup) highestTwo(key uint64) (first, second int) {
	first, second = -1, -1
	var firstHash, secondHash uint64
	for i, seed := range g.seeds {
		h := mix(key ^ seed)
		if h <= secondHash && second >= 0 {
			continue
		}
		if first < 0 || h > firstHash {
			first, second, firstHash, secondHash = i, first, h, firstHash
			continue
		}
		second, secondHash = i, h
	}
	return first, second
}

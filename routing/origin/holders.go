package origin

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	// holders is the number of other routers that are told the origin of a stream. They are in
	// different availability zones as far as possible.
	holders = 3
	// maxAsked is the number of routers that are asked for the origin of a stream. It exceeds
	// holders, because routers may have joined since the stream began.
	maxAsked = 8
)

// Router is a router that may be a holder.
type Router struct {
	ID, Zone string
	// Address is the address for messages of other routers, as ip:port.
	Address string
}

// HoldersOf returns the routers to tell the origin of a stream.
func HoldersOf(stream Stream, routers []Router) []Router {
	ranked := rank(stream, routers)
	return ranked[:min(holders, len(ranked))]
}

// CandidatesOf returns the routers to ask for the origin of a stream, the most likely holders
// first.
func CandidatesOf(stream Stream, routers []Router) []Router {
	ranked := rank(stream, routers)
	return ranked[:min(maxAsked, len(ranked))]
}

// rank orders routers by rendezvous hashing, so that the loss of a router does not change the order
// of the others. Of each availability zone the first router comes before the second ones of all.
func rank(stream Stream, routers []Router) []Router {
	type ranked struct {
		Router
		score uint64
		turn  int
	}
	prefix := strconv.FormatUint(uint64(stream), 36) + "/"
	all := make([]ranked, len(routers))
	for i, r := range routers {
		all[i] = ranked{Router: r, score: xxhash.Sum64String(prefix + r.ID)}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.ID, b.ID)) })
	turns := map[string]int{}
	for i := range all {
		all[i].turn = turns[all[i].Zone]
		turns[all[i].Zone]++
	}
	slices.SortStableFunc(all, func(a, b ranked) int { return cmp.Compare(a.turn, b.turn) })
	out := make([]Router, len(all))
	for i, r := range all {
		out[i] = r.Router
	}
	return out
}

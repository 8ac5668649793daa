package presence

import (
	"cmp"
	"slices"
	"time"
)

// StreamOrigin tells, asks or answers at which build of a service a stream began; see package
// origin.
type StreamOrigin struct {
	// Number identifies the question among those of its sender. The answer has the same number.
	Number uint32
	Stream uint64
	// Recorded is the build that began the stream. Sole is the only build that may have begun it,
	// according to a router that has no record. Both are 0 if unknown, and in a question.
	Recorded, Sole uint64
	// Service is the service of the stream, and Within how long the stream may last, in
	// milliseconds. Both are set in a question only.
	Service uint32
	Within  int64
}

// Peer is another router that is live.
type Peer struct{ ID, Zone, Address string }

// Peers returns the other live routers with their heartbeat addresses, sorted by ID.
func (s *State) Peers(now time.Time) []Peer {
	peers := make([]Peer, 0, len(s.members))
	for _, m := range s.members {
		if s.live(now, m) {
			peers = append(peers, Peer{ID: m.ID, Zone: m.Zone, Address: m.Peer})
		}
	}
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	return peers
}

package presence

import (
	"cmp"
	"slices"
	"time"
)

// Peer is another router that is live.
type Peer struct {
	ID, Zone string
	// Address is the address for messages, as ip:port.
	Address string
	// Ready, Config, Capacity and Unreached are those of its Record.
	Ready     bool
	Config    int64
	Capacity  float64
	Unreached []ServiceKey
}

// Peers returns the other live routers with their heartbeat addresses, sorted by ID.
func (s *State) Peers(now time.Time) []Peer {
	peers := make([]Peer, 0, len(s.members))
	for _, m := range s.members {
		if s.live(now, m) {
			peers = append(peers, Peer{
				ID: m.ID, Zone: m.Zone, Address: m.Peer, Ready: m.Ready, Config: m.Config, Capacity: m.Capacity, Unreached: m.Unreached,
			})
		}
	}
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	return peers
}

// Archivist returns the router that writes to the store what has to outlast all routers: the first
// by rank that reaches the store, which may be this one. isLost is true if this router does not reach
// it. found is false if none does.
func (s *State) Archivist(now time.Time, isLost bool) (id, address string, found bool) {
	best := s.selfRank
	if !isLost {
		id, address, found = s.self.ID, s.self.Peer, true
	}
	for _, m := range s.members {
		if s.live(now, m) && !m.StoreLost && (!found || m.rank < best) {
			id, address, found, best = m.ID, m.Peer, true, m.rank
		}
	}
	return id, address, found
}

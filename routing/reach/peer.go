package reach

// Peer is another router that reaches the servers of a service.
type Peer struct {
	ID, Zone string
	// Address is the address for relayed requests, as ip:port.
	Address string
	// Capacity is proportional to the number of requests that the router can relay.
	Capacity float64
}

// sameZoneWeight is the weight of a peer in the router's availability zone, relative to one in
// another zone, where data between zones is charged and takes longer.
const sameZoneWeight = 4

// ChoosePeer returns the peer that relays a request: a random one, so that the peers share the
// requests by their capacity. found is false if there are no peers. draw is a random number in
// [0,1).
func ChoosePeer(peers []Peer, zone string, draw float64) (chosen Peer, found bool) {
	if len(peers) == 0 {
		return Peer{}, false
	}
	weight := func(p Peer) float64 {
		w := max(p.Capacity, minCapacity)
		if p.Zone == zone {
			w *= sameZoneWeight
		}
		return w
	}
	total := 0.0
	for _, p := range peers {
		total += weight(p)
	}
	remaining := draw * total
	for _, p := range peers {
		if remaining -= weight(p); remaining < 0 {
			return p, true
		}
	}
	return peers[len(peers)-1], true
}

// minCapacity is assumed for peers that state less.
const minCapacity = 0.01

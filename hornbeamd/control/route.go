package control

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hornbeamstep.example/hornbeamd/caller"
	"hornbeamstep.example/routing/placement"
)

// routed is the greatest number of addresses in a route answer: the owner, and enough others for a caller that meets
// failures while it keeps the answer.
const routed = 4

// Route implements caller.Dispatcher. The owner of the chat's engine comes first, so that most requests are admitted
// without a message between routers; then routers in its availability zone; then others.
func (l *Loop) Route(_, model, chat string) caller.Addresses {
	s := l.snap.Load()
	first := ""
	if model != "" && chat != "" {
		d := s.rule.Place(l.Now(), placement.Request{Chat: chat, Model: model}, s.view)
		first = l.Peers.Owners().EngineOwner(d.Engine)
	}
	routers := l.Peers.Addresses()
	zone := routers[first].Zone
	if zone == "" {
		zone = l.Settings.Zone
	}
	names := slices.Sorted(maps.Keys(routers))
	names = slices.DeleteFunc(names, func(name string) bool { return routers[name].Leaving || routers[name].Caller == "" })
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Or(
			before(a == first, b == first),
			before(routers[a].Zone == zone, routers[b].Zone == zone),
			// Different chats get the other routers in different orders, so that they spread.
			cmp.Compare(xxhash.Sum64String(chat+a), xxhash.Sum64String(chat+b)),
		)
	})
	answer := caller.Addresses{Lifetime: int(l.Settings.Caller.Lifetime.Seconds())}
	for _, name := range names[:min(routed, len(names))] {
		answer.Addresses = append(answer.Addresses, caller.Address{Address: routers[name].Caller, Zone: routers[name].Zone})
	}
	return answer
}

// before puts true in front of false.
func before(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

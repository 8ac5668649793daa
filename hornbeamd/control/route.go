package control

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hornbeamstep.example/hornbeamd/caller"
	"hornbeamstep.example/routing/placement"
)

// maxRouteAddresses is the maximum number of addresses in a route response: the owner of the chat's
// engine, and enough others to fail over to for as long as the caller caches the response.
const maxRouteAddresses = 4

// Route implements caller.Dispatcher. The owner of the chat's engine comes first, so that most
// requests are admitted without a message between routers. The other routers in the owner's
// availability zone follow, or those in this router's zone if there is no owner, then all others.
func (l *Loop) Route(_, model, chat string) caller.RouteResponse {
	s := l.snapshot.Load()
	owner := ""
	if model != "" && chat != "" {
		d := s.rule.Place(l.Now(), placement.Request{Chat: chat, Model: model}, s.view)
		owner = l.Peers.Owners().EngineOwner(d.Engine)
	}
	routers := l.Peers.Addresses()
	zone := routers[owner].Zone
	if zone == "" {
		zone = l.Settings.Zone
	}
	names := slices.Sorted(maps.Keys(routers))
	names = slices.DeleteFunc(names, func(name string) bool { return routers[name].Leaving || routers[name].CallerAddress == "" })
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Or(
			trueFirst(a == owner, b == owner),
			trueFirst(routers[a].Zone == zone, routers[b].Zone == zone),
			// The order of the other routers depends on the chat, so that chats are spread over
			// them.
			cmp.Compare(xxhash.Sum64String(chat+a), xxhash.Sum64String(chat+b)),
		)
	})
	response := caller.RouteResponse{Lifetime: int(l.Settings.Caller.Lifetime.Seconds())}
	for _, name := range names[:min(maxRouteAddresses, len(names))] {
		response.Addresses = append(response.Addresses, caller.Address{Address: routers[name].CallerAddress, Zone: routers[name].Zone})
	}
	return response
}

// trueFirst compares two booleans so that true sorts before false.
func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

package edge

import (
	"context"
	"slices"
	"time"

	"hornbeamstep.example/coord/presence"
	"hornbeamstep.example/hornbeamd/gateway"
	"hornbeamstep.example/routing/reach"
)

// updatePaths checks the paths to the backend servers, and tells the other routers at once if one
// was lost or regained.
func (c *controlLoop) updatePaths(ctx context.Context, now time.Time) {
	c.gateway.Paths.Tick(ctx, now)
	lost := c.gateway.Paths.Lost()
	if slices.Equal(lost, c.lostPaths) {
		return
	}
	c.lostPaths = lost
	c.sendHeartbeat(now)
}

// withoutUnreached removes the backend servers of the services that this router doesn't reach from
// a list of server IDs, because the other routers must not avoid them for that.
func (c *controlLoop) withoutUnreached(ids []string) []string {
	if len(c.lostPaths) == 0 {
		return ids
	}
	unreached := map[string]bool{}
	for _, s := range c.roster.Servers() {
		unreached[s.ID] = slices.Contains(c.lostPaths, s.Service)
	}
	return slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return unreached[id] })
}

// relayPeers returns the other routers that may relay requests of this one. Their address for that
// has the port number of the one for heartbeats.
func (c *controlLoop) relayPeers(peers []presence.Peer) []gateway.PeerRouter {
	names := map[presence.ServiceKey]string{}
	for _, s := range c.roster.Servers() {
		names[presence.ServiceKeyOf(s.Service)] = s.Service
	}
	var out []gateway.PeerRouter
	for _, p := range peers {
		if !p.Ready {
			continue
		}
		router := gateway.PeerRouter{Peer: reach.Peer{ID: p.ID, Zone: p.Zone, Address: p.Address, Capacity: p.Capacity}, Config: p.Config}
		for _, key := range p.Unreached {
			router.Unreached = append(router.Unreached, names[key])
		}
		out = append(out, router)
	}
	return out
}

package edge

import (
	"context"
	"slices"
	"time"
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

package edge

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"hornbeamstep.example/coord/presence"
	"hornbeamstep.example/routing/evacuation"
)

// applyEvacuations applies a list of evacuated availability zones unless the current one is as new.
func (c *controlLoop) applyEvacuations(next evacuation.Zones, from string) {
	now := time.Now()
	if !next.Revision.After(c.evacuations.Zones().Revision) {
		return
	}
	begun, ended := c.evacuations.Update(now, next)
	c.logEvacuations(begun, ended, from)
	// The heartbeat passes the list on.
	c.sendHeartbeat(now)
}

// evacuationStep is the time between two steps in which servers of an evacuated zone are taken out of
// use.
const evacuationStep = 250 * time.Millisecond

// tickEvacuations takes further servers of evacuated zones out of use, and ends the evacuations that a
// restored store has not listed again.
func (c *controlLoop) tickEvacuations(now time.Time) {
	c.logEvacuations(nil, c.evacuations.Tick(now), "restore")
	isSpreading := c.evacuations.IsSpreading(now)
	if (isSpreading || c.spreading) && now.Sub(c.spreadAt) >= evacuationStep {
		c.spreading, c.spreadAt = isSpreading, now
		c.publishServers()
	}
}

// logEvacuations logs a change and puts it into effect.
func (c *controlLoop) logEvacuations(begun, ended []string, from string) {
	if len(begun)+len(ended) == 0 {
		return
	}
	c.evacuatedCount.Store(int64(len(c.evacuations.Evacuated())))
	revision := c.evacuations.Zones().Revision
	c.log.Warn("evacuated availability zones changed", zap.Strings("begun", begun), zap.Strings("ended", ended),
		zap.Strings("evacuated", c.evacuations.Evacuated()), revisionField(revision), eraField(revision), zap.String("from", from))
	// The servers may be cold, which their entries may show later.
	now := time.Now()
	for _, s := range c.roster.Servers() {
		if slices.Contains(ended, s.Zone) {
			c.gateway.Permits.Suspect(now, s.ID)
		}
	}
	c.publishServers()
}

// mergeEvacuations applies what another router tells of evacuated zones. A list that is too long is
// not one that a router has read from the store.
func (c *controlLoop) mergeEvacuations(from string, e presence.Evacuated) {
	if e.Revision.IsZero() || len(e.Zones) > evacuation.MaxZones {
		return
	}
	c.applyEvacuations(evacuation.Zones{Revision: e.Revision, Names: e.Zones}, from)
}

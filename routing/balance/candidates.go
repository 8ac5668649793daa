package balance

import (
	"slices"
	"time"
)

// entryLag is the time within which the entry of a server that has restarted reaches all routers.
const entryLag = 3 * time.Second

// usable returns the servers that may take a request: those that are neither paused nor in the list
// to avoid. When too many servers are paused, the cause is more likely on this router's side, so
// the paused servers are tried as well. Servers that want no requests from this router, or are at
// their rate limit, are never included. For a request that needs a software version, servers that may
// have restarted are included only if there are no others.
func (b *Balancer) usable(now time.Time, p *pool, req Request) []*entry {
	usable := b.available(now, p, req)
	if req.Version == "" {
		return usable
	}
	if certain := slices.DeleteFunc(slices.Clone(usable), func(e *entry) bool { return e.mayHaveRestarted(now) }); len(certain) > 0 {
		return certain
	}
	return usable
}

// mayHaveRestarted reports whether the server may have restarted, so that its software version is
// not certain.
func (e *entry) mayHaveRestarted(now time.Time) bool {
	return !e.unreachableAt.IsZero() && now.Sub(e.unreachableAt) < entryLag
}

// available returns the servers for usable, whatever their software version may be meanwhile.
func (b *Balancer) available(now time.Time, p *pool, req Request) []*entry {
	available := make([]*entry, 0, len(p.entries))
	untried := 0
	for _, e := range p.entries {
		if !b.takes(now, e, req) {
			continue
		}
		if untried++; b.isAvailable(now, e) {
			available = append(available, e)
		}
	}
	if float64(len(available)) >= (1-b.settings.MaxAvoidedShare)*float64(untried) && len(available) > 0 {
		return available
	}
	for _, e := range p.entries {
		if b.takes(now, e, req) && !slices.Contains(available, e) {
			available = append(available, e)
		}
	}
	return available
}

// allows reports whether a server has the request's version, is recorded if that is needed, is in a zone
// that is allowed, and is not in the request's list to avoid.
func (r Request) allows(e *entry) bool {
	return (!r.OnlyRecorded || !e.Unrecorded) && r.allowsZone(e.Zone) && (r.Version == "" || r.Version == e.Version) && !slices.Contains(r.Avoid, e.ID)
}

func (r Request) allowsZone(zone string) bool { return r.AllowsZone == nil || r.AllowsZone(zone) }

// takes reports whether a server wants requests from this router, is not at its rate limit or without a
// free slot if it is brittle, and may be chosen for the request.
func (b *Balancer) takes(now time.Time, e *entry, req Request) bool {
	if now.Before(e.refusedUntil) || !req.allows(e) {
		return false
	}
	return !b.isLimited(e) || !req.AvoidLimited && b.RateLimits.Wait(now, e.ID, req.Priority) <= req.MaxLimitWait
}

// isAvailable reports whether a server may take requests. It is false during a pause. After a
// pause, a trial request is allowed once per Settings.InitialPause, to find out whether the server
// has recovered.
func (b *Balancer) isAvailable(now time.Time, e *entry) bool {
	switch {
	case now.Before(e.pausedUntil), now.Before(e.reportedUntil):
		return false
	case e.pausedUntil.IsZero() || e.consecutiveFailures == 0:
		return true
	default:
		return now.Sub(e.lastTrial) >= b.settings.InitialPause
	}
}

// maxLoad returns the load limit of a service whose servers in use have the given mean load. It is a
// multiple of the mean over all servers, of which evacuated ones count although they get no requests.
func (b *Balancer) maxLoad(p *pool, mean float64) float64 {
	if !p.hasEvacuated() {
		return b.loadLimit(mean)
	}
	total, evacuated := 0, 0
	for _, e := range p.draining {
		if e.Evacuated {
			total += e.load()
			evacuated++
		}
	}
	for _, e := range p.entries {
		total += e.load()
	}
	return b.loadLimit(min(mean, float64(total)/float64(len(p.entries)+evacuated)))
}

// hasEvacuated reports whether servers of the service are in an evacuated zone.
func (p *pool) hasEvacuated() bool {
	return slices.ContainsFunc(p.draining, func(e *entry) bool { return e.Evacuated })
}

// noneUsable returns the result for a service of which no server may take the request. If servers
// want no requests for some time or are at their rate limit, the request can be sent again after
// the shortest of these times.
func (b *Balancer) noneUsable(now time.Time, p *pool, req Request) Choice {
	c := Choice{Reason: NoServer}
	for _, e := range p.entries {
		limited := b.isLimited(e)
		c.LimitSum += b.taken(p, e, req)
		wait := e.refusedUntil.Sub(now)
		if limited {
			wait = max(wait, b.RateLimits.Wait(now, e.ID, req.Priority))
		}
		if wait <= 0 && !limited || !req.allows(e) {
			continue
		}
		if c.Reason == NoServer || wait < c.Wait {
			c.Wait = wait
		}
		if limited {
			c.Reason = Limited
		} else if c.Reason == NoServer {
			c.Reason = Full
		}
	}
	return c
}

// taken returns the requests per second that a limited server takes: its rate limit, or what its slots
// allow if it is brittle.
func (b *Balancer) taken(p *pool, e *entry, req Request) float64 {
	perSecond, limited := b.RateLimits.Limit(e.ID)
	if bySlots := float64(max(1, req.Slots, e.Slots)) / max(p.meanDuration, time.Millisecond).Seconds(); b.RateLimits.NeedsSlot(e.ID) && (!limited || bySlots < perSecond) {
		return bySlots
	}
	return perSecond
}

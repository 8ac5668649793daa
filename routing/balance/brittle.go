package balance

import (
	"math"
	"time"

	"hornbeamstep.example/routing/metadata"
)

const (
	// brittleTTL is how long the servers of a service count as brittle after the latest response
	// that states it. They state it in each response.
	brittleTTL = 3 * time.Second
	// minRejectionPause and maxRejectionPause limit how long a brittle server gets no requests from
	// a router that it has rejected.
	minRejectionPause = time.Second
	maxRejectionPause = 10 * time.Second
	// rejectionBackoff is the factor by which a router reduces the share of requests that it admits
	// after a rejection, at most once per backoffInterval. admissionGrowth is the increase of that
	// share per second while a rejection of every router in each period is withstood.
	rejectionBackoff = 0.7
	backoffInterval  = 300 * time.Millisecond
	admissionGrowth  = 0.05
	minAdmitted      = 0.05
	// usedRejectionShare is the share of the rejections that a server withstands, which all routers
	// together may cause.
	usedRejectionShare = 0.5
)

// brittleness is what the servers of a service state about the rejections that they withstand. It
// is kept when the list of servers changes.
type brittleness struct {
	// maxRejections is the number of rejections per second above which a server fails.
	maxRejections int
	until         time.Time
	// reduction is the share of requests that are not admitted, as of updatedAt. rejectedAt is when
	// it last grew.
	reduction             float64
	updatedAt, rejectedAt time.Time
}

func (s *brittleness) holds(now time.Time) bool { return now.Before(s.until) }

// RecordBrittle records what a server states about the rejections that it withstands, in a response
// that this router has received. It holds for all servers of the service, and ends if no response
// states it any more. It reports whether the servers were not known to be brittle.
func (b *Balancer) RecordBrittle(now time.Time, id string, stated metadata.Brittleness) (changed bool) {
	e := b.servers[id]
	if e == nil || !stated.Stated {
		return false
	}
	p := b.pools[e.Service]
	if p == nil {
		return false
	}
	changed = !p.brittle.holds(now)
	p.brittle.maxRejections, p.brittle.until = stated.MaxRejections, now.Add(brittleTTL)
	return changed
}

// room returns how many requests all routers together may send to a brittle server within the age of
// the load reports, so that none of them waits. The server rejects requests that find no room in
// its queue, whose length may shrink to 0, and fails if it has to reject too many.
//
// Some slots stay free, because the load varies by about the square root of its mean. Of the
// reported requests, those that were to end within the age of the reports have ended. If requests
// are shorter than that, each slot serves several of them in that time.
func (b *Balancer) room(p *pool, e *entry, req Request) float64 {
	slots := float64(max(1, req.Slots, e.Slots))
	slots = max(1, slots-math.Sqrt(slots))
	turns := 0.0
	if p.meanDuration > 0 {
		turns = b.reportAge.Seconds() / p.meanDuration.Seconds()
	}
	return max(slots*max(1, turns)-float64(e.load())*max(0, 1-turns), 0)
}

// hasRoom reports whether a server is not brittle, or has room for a request.
func (b *Balancer) hasRoom(now time.Time, e *entry, req Request) bool {
	p := b.pools[e.Service]
	return p == nil || !p.brittle.holds(now) || b.room(p, e, req) >= 1
}

// homeSkew is how many times the mean rate of requests a server may get whose prompts have it as
// their home.
const homeSkew = 2

// chooseByRoom returns a brittle server for a request, or nil if all routers together send more
// requests than the servers have room for. The other routers are assumed to get requests at the
// same rate as this one. The home of a prompt gets the request if it most likely has room for those
// of its other prompts too; otherwise a random server does, by their room.
func (b *Balancer) chooseByRoom(now time.Time, p *pool, usable []*entry, req Request) (e *entry, reason Reason) {
	arrivals := p.demand.requests.perSecond(now) * float64(b.routers) * b.reportAge.Seconds()
	total := 0.0
	var home *entry
	for _, o := range usable {
		total += b.room(p, o, req)
		if len(req.PrefixHashes) > 0 && (home == nil || o.score(req) > home.score(req)) {
			home = o
		}
	}
	if deriveDraw(req.Draw, b.salt)*arrivals > total {
		return nil, Full
	}
	if home != nil && deriveDraw(req.Draw, home.seed)*arrivals*homeSkew/float64(len(usable)) <= b.room(p, home, req) {
		return home, Home
	}
	remaining := deriveDraw(req.Draw, ^b.salt) * total
	for _, o := range usable {
		if remaining -= b.room(p, o, req); remaining < 0 {
			e = o
			break
		}
	}
	switch {
	case e == nil:
		return nil, Full
	case home != nil:
		return e, Spilled
	}
	return e, LeastLoad
}

// pauseAfterRejection makes a brittle server that has rejected a request get none from this router
// for some time, so that the rejections by all routers together stay within those that it
// withstands.
func (b *Balancer) pauseAfterRejection(now time.Time, e *entry) {
	p := b.pools[e.Service]
	if p == nil || !p.brittle.holds(now) {
		return
	}
	pause := maxRejectionPause
	if allowed := usedRejectionShare * float64(p.brittle.maxRejections); allowed > 0 {
		pause = min(maxRejectionPause, time.Duration(float64(b.routers)/allowed*float64(time.Second)))
	}
	p.brittle.backOff(now)
	if until := now.Add(max(minRejectionPause, pause)); until.After(e.refusedUntil) {
		e.refusedUntil = until
	}
}

// admits reports whether a request is admitted in spite of earlier rejections by brittle servers.
// Every router admits fewer requests after a rejection, and more as time passes without one, so
// that all routers together approach what the servers have room for. draw is a random number in
// [0,1).
func (s *brittleness) admits(now time.Time, draw float64) bool {
	if !s.holds(now) {
		return true
	}
	s.grow(now)
	return draw < max(minAdmitted, 1-s.reduction)
}

// grow increases the share of admitted requests by the time that has passed.
func (s *brittleness) grow(now time.Time) {
	s.reduction = max(0, s.reduction-admissionGrowth*now.Sub(s.updatedAt).Seconds())
	s.updatedAt = now
}

// backOff reduces the share of admitted requests.
func (s *brittleness) backOff(now time.Time) {
	if !s.holds(now) || now.Sub(s.rejectedAt) < backoffInterval {
		return
	}
	s.grow(now)
	s.reduction = 1 - (1-s.reduction)*rejectionBackoff
	s.rejectedAt = now
}

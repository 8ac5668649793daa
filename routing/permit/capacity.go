package permit

import (
	"time"

	"hornbeamstep.example/routing/roster"
)

const (
	// minRejections is the number of rejections within rejectionWindow from which on the servers of a
	// service count as overloaded. Fewer may have other reasons.
	minRejections   = 3
	rejectionWindow = time.Second
	// overloadTTL is how long a service counts as overloaded after the last sign of it: a rejection by a
	// server, or a permit that was denied.
	overloadTTL = 2 * time.Second
	// durationSamples is the number of answers over which the time per request is averaged. A shorter
	// time weighs more, because waiting only adds to what a slot is occupied for.
	durationSamples        = 16
	shorterDurationSamples = 2
	// The estimate of what a server takes is corrected by a factor that falls with rejections, at most
	// once per backoffInterval, and grows without.
	minFactor, maxFactor = 0.3, 1.25
	backoffFactor        = 0.9
	backoffInterval      = 300 * time.Millisecond
	factorGrowth         = 0.05
	// higherWeight and lowerWeight are the weights of the latest question in the average of what routers
	// estimate. A higher one weighs more, because routers with few answers learn late that requests no
	// longer wait.
	higherWeight, lowerWeight = 0.4, 0.05
)

// Capacity bounds what all routers together send to services whose servers turn requests away for want
// of room. While a service is overloaded, its servers get no more requests per second than they have
// slots for in that time, by the time that answers take; Rate is this router's estimate. The issuer of a
// server issues permits at the average rate that the routers estimate. A service with room costs
// nothing: it is overloaded only after rejections. It is not safe for concurrent use.
type Capacity struct {
	services map[string]*serviceCapacity
	servers  map[string]roster.Server
	// sizes holds the number of servers of each service.
	sizes map[string]int
	// asked holds the averages of the rates in questions by server.
	asked map[string]float64
}

type serviceCapacity struct {
	// overloadedUntil is zero if the service was never overloaded.
	overloadedUntil time.Time
	// rejections counts those since firstRejection, which began within rejectionWindow, and rejecting
	// holds the servers that they came from.
	rejections     int
	firstRejection time.Time
	rejecting      map[string]bool
	// duration is the average time of an answer; 0 before the first one.
	duration time.Duration
	factor   float64
	// updatedAt is when the factor last grew, and reducedAt when it last fell.
	updatedAt, reducedAt time.Time
}

// NewCapacity returns a Capacity that knows no servers.
func NewCapacity() *Capacity {
	return &Capacity{services: map[string]*serviceCapacity{}, servers: map[string]roster.Server{}, asked: map[string]float64{}}
}

// SetServers replaces the servers.
func (c *Capacity) SetServers(servers []roster.Server) {
	byID := make(map[string]roster.Server, len(servers))
	asked, sizes := map[string]float64{}, map[string]int{}
	for _, s := range servers {
		byID[s.ID] = s
		sizes[s.Service]++
		if rate, known := c.asked[s.ID]; known {
			asked[s.ID] = rate
		}
	}
	c.servers, c.sizes, c.asked = byID, sizes, asked
}

func (c *Capacity) service(name string) *serviceCapacity {
	s := c.services[name]
	if s == nil {
		s = &serviceCapacity{factor: 1}
		c.services[name] = s
	}
	return s
}

// RecordAnswer records the time that a complete answer of a service took.
func (c *Capacity) RecordAnswer(service string, took time.Duration) {
	s := c.service(service)
	if s.duration == 0 {
		s.duration = took
	}
	samples := time.Duration(durationSamples)
	if took < s.duration {
		samples = shorterDurationSamples
	}
	s.duration += (took - s.duration) / samples
}

// RecordRejection records that a server turned a request away for want of room, and reports whether
// its service was not overloaded before. Rejections by fewer than half of the servers are a fault of
// these, and say nothing about the room at the others.
func (c *Capacity) RecordRejection(now time.Time, server string) (began bool) {
	service := c.servers[server].Service
	if service == "" {
		return false
	}
	s := c.service(service)
	if now.Sub(s.firstRejection) > rejectionWindow {
		s.rejections, s.firstRejection, s.rejecting = 0, now, map[string]bool{}
	}
	s.rejections++
	s.rejecting[server] = true
	if 2*len(s.rejecting) < c.sizes[service] || s.rejections < minRejections && !s.isOverloaded(now) {
		return false
	}
	began = !s.isOverloaded(now)
	s.overloadedUntil = now.Add(overloadTTL)
	if now.Sub(s.reducedAt) >= backoffInterval {
		s.grow(now)
		s.factor, s.reducedAt = max(minFactor, s.factor*backoffFactor), now
	}
	return began
}

// RecordDenial records that no permit was available for a server, so that its service is still
// overloaded.
func (c *Capacity) RecordDenial(now time.Time, server string) {
	if s := c.services[c.servers[server].Service]; s != nil && s.isOverloaded(now) {
		s.overloadedUntil = now.Add(overloadTTL)
	}
}

func (s *serviceCapacity) isOverloaded(now time.Time) bool { return now.Before(s.overloadedUntil) }

func (s *serviceCapacity) grow(now time.Time) {
	if !s.updatedAt.IsZero() {
		s.factor = min(maxFactor, s.factor+factorGrowth*now.Sub(s.updatedAt).Seconds())
	}
	s.updatedAt = now
}

// Rate returns the requests per second that a server takes from all routers together, as this router
// estimates it; overloaded is false if its service has room.
func (c *Capacity) Rate(now time.Time, server string) (perSecond float64, overloaded bool) {
	e, known := c.servers[server]
	s := c.services[e.Service]
	if !known || s == nil || !s.isOverloaded(now) || s.duration <= 0 {
		return 0, false
	}
	s.grow(now)
	return s.factor * float64(max(1, e.Slots)) / s.duration.Seconds(), true
}

// Learn records the rate that a router estimates, which asks this one for a permit, and returns the
// average. maxBurst is the number of permits that may accumulate: twice the slots, so that the queue of
// the server takes short bursts, and their requests wait about as long as others take.
func (c *Capacity) Learn(server string, perSecond float64) (average, maxBurst float64) {
	average, known := c.asked[server]
	if !known {
		average = perSecond
	}
	weight := lowerWeight
	if perSecond > average {
		weight = higherWeight
	}
	average += (perSecond - average) * weight
	c.asked[server] = average
	return average, max(1, 2*float64(c.servers[server].Slots))
}

// Overloads returns the time since the last sign that a service is overloaded, for each that is, so that
// the other routers learn of it: most would see a rejection only much later.
func (c *Capacity) Overloads(now time.Time) map[string]time.Duration {
	var out map[string]time.Duration
	for name, s := range c.services {
		if !s.isOverloaded(now) {
			continue
		}
		if out == nil {
			out = map[string]time.Duration{}
		}
		out[name] = overloadTTL - s.overloadedUntil.Sub(now)
	}
	return out
}

// Merge records that another router takes a service for overloaded, and how long ago it saw the last
// sign of that. It reports whether the service was not overloaded before.
func (c *Capacity) Merge(now time.Time, service string, age time.Duration) (began bool) {
	s := c.service(service)
	until := now.Add(overloadTTL - max(0, age))
	if !until.After(s.overloadedUntil) || !until.After(now) {
		return false
	}
	began = !s.isOverloaded(now)
	s.overloadedUntil = until
	return began
}

// HasOverload reports whether a service is overloaded.
func (c *Capacity) HasOverload(now time.Time) bool {
	for _, s := range c.services {
		if s.isOverloaded(now) {
			return true
		}
	}
	return false
}

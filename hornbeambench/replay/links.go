package replay

import (
	"slices"
	"time"

	"hornbeamstep.example/hornbeambench/trace"
	"hornbeamstep.example/routing/placement"
)

// Mechanism is a protection that Fleet.Without takes out, to show which outcome falls short without it.
type Mechanism string

// The mechanisms.
const (
	// StandIn admits a request without the owner of the engine that does not answer.
	StandIn Mechanism = "stand-in"
	// Progress ends attempts that make no progress.
	Progress Mechanism = "progress"
	// OwnClock keeps the times of entries from routers whose clocks differ.
	OwnClock Mechanism = "own clock"
	// Takeover moves the ownership of engines to the routers that can reach them.
	Takeover Mechanism = "takeover"
	// Claims refuses requests that may not be repeated while the claim log is out of reach.
	Claims Mechanism = "claims"
)

const (
	// connectLimit is how long a router waits for a connection.
	connectLimit = time.Second
	// noticed is the longest time until routers know of parted or rejoined members and engines.
	noticed = 10 * time.Second
)

func (s *fleet) has(m Mechanism) bool { return s.Without != m }

// zoneOf returns the zone of a router or an engine.
func (s *fleet) zoneOf(name string) string {
	if e := s.byID[name]; e != nil {
		return e.zone
	}
	return s.router(name).zone
}

// reaches is true if what one router or engine sends arrives at another.
func (s *fleet) reaches(from, to string) bool {
	if s.cuts[[2]string{from, to}] > 0 {
		return false
	}
	return s.parted == "" || (s.zoneOf(from) == s.parted) == (s.zoneOf(to) == s.parted)
}

// meets is true if two ends reach each other both ways.
func (s *fleet) meets(a, b string) bool { return s.reaches(a, b) && s.reaches(b, a) }

// claimsFrom is true if a router reaches the claim log, which is on the greater side of parted regions.
func (s *fleet) claimsFrom(r *router) bool {
	return s.storeUp && (s.parted == "" || r.zone != s.parted)
}

func (s *fleet) cut(f trace.Fault) {
	from, to := f.Link()
	link := [2]string{from, to}
	s.cuts[link]++
	s.after(seconds(f.For), func() { s.cuts[link]-- })
}

// step steps the wall clock of a router. Its monotonic clock, which deadlines and intervals use, goes on.
func (s *fleet) step(f trace.Fault) {
	r, by := s.router(f.Target), seconds(f.Value)
	r.skew += by
	if f.For > 0 {
		s.after(seconds(f.For), func() { r.skew -= by })
	}
}

// part cuts a zone off. Both sides notice after the suspicion time which routers and engines they do not reach.
func (s *fleet) part(zone string, d time.Duration) {
	s.parted = zone
	s.membersChanged()
	s.after(noticed, s.stray)
	s.after(d+noticed, s.stray)
	for _, r := range s.routers {
		s.after(s.suspicion(r), func() { r.do(func() { s.lose(r) }) })
	}
	s.after(d, func() {
		s.parted = ""
		s.membersChanged()
		for _, r := range s.routers {
			s.after(s.suspicion(r)+time.Millisecond, func() { r.do(func() { s.regain(r) }) })
		}
	})
}

// lose takes the engines that a router does not reach out of its use.
func (s *fleet) lose(r *router) {
	for _, e := range s.engines {
		if !s.meets(r.name, e.id) {
			r.apart = append(r.apart, e.id)
			r.listed(e.id, placement.Suspect)
		}
	}
}

// regain takes them back into use.
func (s *fleet) regain(r *router) {
	for _, id := range r.apart {
		if !s.byID[id].up {
			continue
		}
		r.listed(id, placement.Joining)
		s.after(noticed, func() {
			if s.byID[id].up && !s.byID[id].leaving {
				r.do(func() { r.listed(id, placement.InService) })
			}
		})
	}
	r.apart = nil
}

// wallClock is what the router's own wall clock shows.
func (r *router) wallClock() time.Time { return r.fleet.wall().Add(r.skew) }

// stray counts the engines that have not exactly one owner among the routers that reach them.
func (s *fleet) stray() {
	for _, e := range s.engines {
		n := 0
		for _, r := range s.routers {
			if r.up && r.gates[e.id] != nil && s.meets(r.name, e.id) {
				n++
			}
		}
		if n != 1 {
			s.measure.stray++
		}
	}
}

// reachable returns the routers that answer one, as it learns of them. A link cut one way is bridged by the probes of others.
func (s *fleet) reachable(r *router) []string {
	return slices.DeleteFunc(s.live(), func(name string) bool {
		return s.parted != "" && (s.zoneOf(name) == s.parted) != (r.zone == s.parted)
	})
}

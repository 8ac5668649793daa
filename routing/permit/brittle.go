package permit

import (
	"maps"
	"slices"
	"strings"
	"time"

	"hornbeamstep.example/routing/roster"
)

// brittleTTL is how long the servers of a service count as brittle after the latest response that
// states it, on whichever router. It is longer than failed servers are down, which state nothing
// meanwhile.
const brittleTTL = 10 * time.Second

// BrittleService is a service whose servers state that they are brittle, in a message between routers.
type BrittleService struct {
	Service string
	// MaxRejections is the number of rejections per second above which a server fails.
	MaxRejections int
	// Age is the time since the latest response that stated it.
	Age time.Duration
}

// Brittle knows the services whose servers fail if they have to reject too many requests. It is not
// safe for concurrent use.
type Brittle struct {
	// serviceOf holds the service of each server.
	serviceOf map[string]string
	services  map[string]brittleState
}

type brittleState struct {
	maxRejections int
	statedAt      time.Time
}

func (s brittleState) holds(now time.Time) bool { return now.Sub(s.statedAt) < brittleTTL }

// NewBrittle returns a Brittle that knows no servers.
func NewBrittle() *Brittle {
	return &Brittle{serviceOf: map[string]string{}, services: map[string]brittleState{}}
}

// SetServers replaces the servers.
func (b *Brittle) SetServers(servers []roster.Server) {
	b.serviceOf = make(map[string]string, len(servers))
	for _, s := range servers {
		b.serviceOf[s.ID] = s.Service
	}
}

// Observe records that a server states in a response to this router that it is brittle, which holds
// for all servers of its service. It reports whether they were not known to be.
func (b *Brittle) Observe(now time.Time, server string, maxRejections int) (began bool) {
	service, known := b.serviceOf[server]
	return known && b.record(now, service, brittleState{maxRejections, now})
}

// Merge records what another router knows of a service, and reports whether its servers were not known
// to be brittle.
func (b *Brittle) Merge(now time.Time, s BrittleService) (began bool) {
	return b.record(now, s.Service, brittleState{s.MaxRejections, now.Add(-max(0, s.Age))})
}

func (b *Brittle) record(now time.Time, service string, next brittleState) (began bool) {
	previous, known := b.services[service]
	if !next.holds(now) || known && !next.statedAt.After(previous.statedAt) {
		return false
	}
	b.services[service] = next
	return !known || !previous.holds(now)
}

// MaxRejections returns the number of rejections per second above which a server fails; brittle is
// false if its service has no brittle servers.
func (b *Brittle) MaxRejections(now time.Time, server string) (n int, brittle bool) {
	s, known := b.services[b.serviceOf[server]]
	if !known || !s.holds(now) {
		return 0, false
	}
	return s.maxRejections, true
}

// Any reports whether any servers are brittle.
func (b *Brittle) Any(now time.Time) bool {
	for _, s := range b.services {
		if s.holds(now) {
			return true
		}
	}
	return false
}

// Services returns the services with brittle servers, sorted by name.
func (b *Brittle) Services(now time.Time) []BrittleService {
	maps.DeleteFunc(b.services, func(_ string, s brittleState) bool { return !s.holds(now) })
	out := make([]BrittleService, 0, len(b.services))
	for service, s := range b.services {
		out = append(out, BrittleService{service, s.maxRejections, now.Sub(s.statedAt)})
	}
	slices.SortFunc(out, func(x, y BrittleService) int { return strings.Compare(x.Service, y.Service) })
	return out
}

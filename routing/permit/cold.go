package permit

import (
	"maps"
	"time"

	"hornbeamstep.example/routing/roster"
)

// suspectTTL is how long a server counts as cold after it was down. In that time it is
// tried again after the longest pause, and its entry says whether it is cold.
const suspectTTL = 8 * time.Second

// Cold knows which servers have just started and withstand only some requests per second, over all
// routers together, until they are warm. These are the servers that say so in the registry, and those
// that were down a short time ago: they may have restarted, which their entries show later. It is
// not safe for concurrent use.
type Cold struct {
	// rates holds the requests per second that a cold server of each service withstands. Services
	// without an entry have no such limit.
	rates map[string]float64
	// services holds the service of each server, and cold the servers that say that they are cold.
	services map[string]string
	cold     map[string]bool
	// born holds the start time of each server, and suspects until when a server counts as cold.
	born     map[string]int64
	suspects map[string]time.Time
}

// NewCold returns a Cold that knows no servers.
func NewCold() *Cold {
	return &Cold{rates: map[string]float64{}, services: map[string]string{}, cold: map[string]bool{}, born: map[string]int64{}, suspects: map[string]time.Time{}}
}

// SetRates replaces the requests per second that cold servers withstand, by service.
func (c *Cold) SetRates(perSecond map[string]float64) { c.rates = perSecond }

// SetServers replaces the servers. One that has started anew says itself whether it is cold.
func (c *Cold) SetServers(servers []roster.Server) {
	services, cold, born := map[string]string{}, map[string]bool{}, map[string]int64{}
	for _, s := range servers {
		services[s.ID], born[s.ID] = s.Service, s.Born
		if s.Cold {
			cold[s.ID] = true
		}
	}
	maps.DeleteFunc(c.suspects, func(server string, _ time.Time) bool {
		at, known := born[server]
		return !known || at != c.born[server]
	})
	c.services, c.cold, c.born = services, cold, born
}

// Suspect records that a server is down, and reports whether it did not count as cold before.
func (c *Cold) Suspect(now time.Time, server string) bool {
	if _, limited := c.rates[c.services[server]]; !limited {
		return false
	}
	_, known := c.suspects[server]
	c.suspects[server] = now.Add(suspectTTL)
	return !known && !c.cold[server]
}

// Born returns when the known process of a server started; 0 if unknown.
func (c *Cold) Born(server string) int64 { return c.born[server] }

// Sweep forgets the servers that have not been suspected for some time.
func (c *Cold) Sweep(now time.Time) {
	maps.DeleteFunc(c.suspects, func(_ string, until time.Time) bool { return now.After(until) })
}

// Rate returns the requests per second that a server withstands if it is or may be cold.
func (c *Cold) Rate(server string) (perSecond float64, cold bool) {
	if _, suspected := c.suspects[server]; !suspected && !c.cold[server] {
		return 0, false
	}
	return c.RateIfCold(server)
}

// RateIfCold returns the requests per second that a server withstands while it is cold; limited is
// false if its service has no such limit.
func (c *Cold) RateIfCold(server string) (perSecond float64, limited bool) {
	perSecond, limited = c.rates[c.services[server]]
	return perSecond, limited
}

// Count returns the number of servers that are or may be cold and have a limit for that.
func (c *Cold) Count() int {
	n := 0
	for server := range c.services {
		if _, cold := c.Rate(server); cold {
			n++
		}
	}
	return n
}

// IsEmpty reports whether no server is or may be cold.
func (c *Cold) IsEmpty() bool { return len(c.rates) == 0 || len(c.cold) == 0 && len(c.suspects) == 0 }

package presence

import (
	"slices"
	"time"
)

// MaxEntryAddresses is the maximum number of addresses that callers accept in one response.
const MaxEntryAddresses = 64

// minZoneRouters is the number of ready routers from which on the callers in an availability zone
// get only the addresses of that zone. With 2, one remains if the other fails.
const minZoneRouters = 2

// Caller is a caller that asks for the addresses of routers.
type Caller struct {
	Region, Zone string
	// Allows reports whether the caller's requests may be processed in a region; nil allows all. The
	// caller's own region is always allowed.
	Allows func(region string) bool
}

func (c Caller) allows(r *Record) bool {
	return c.Allows == nil || r.Region == c.Region || c.Allows(r.Region)
}

// EntryAddresses returns the addresses at which a caller reaches the routers: those of the ready
// routers in its availability zone if there are at least minZoneRouters, otherwise those of all ready
// routers in regions that are allowed, or anywhere if there are none. They are sorted and limited to
// the first MaxEntryAddresses. self is this router's record. If no router is ready, only its address
// is returned.
func (s *State) EntryAddresses(now time.Time, c Caller, self Record) []string {
	var inZone, allowed, all []string
	add := func(r *Record) {
		if !r.Ready || r.Front == "" {
			return
		}
		all = append(all, r.Front)
		if c.allows(r) {
			allowed = append(allowed, r.Front)
		}
		if r.Zone == c.Zone {
			inZone = append(inZone, r.Front)
		}
	}
	add(&self)
	for _, m := range s.members {
		if s.live(now, m) {
			add(&m.Record)
		}
	}
	switch {
	case len(inZone) >= minZoneRouters:
		all = inZone
	case len(allowed) > 0:
		all = allowed
	case len(all) == 0:
		all = []string{self.Front}
	}
	slices.Sort(all)
	return all[:min(len(all), MaxEntryAddresses)]
}

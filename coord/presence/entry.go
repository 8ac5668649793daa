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

// EntryAddresses returns the addresses at which callers in an availability zone reach the routers:
// those of the ready routers in the zone if there are at least minZoneRouters, otherwise those of
// all ready routers. They are sorted and limited to the first MaxEntryAddresses. self is this
// router's record. If no router is ready, only its address is returned.
func (s *State) EntryAddresses(now time.Time, zone string, self Record) []string {
	var inZone, all []string
	add := func(r *Record) {
		if !r.Ready || r.Front == "" {
			return
		}
		all = append(all, r.Front)
		if r.Zone == zone {
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
	case len(all) == 0:
		all = []string{self.Front}
	}
	slices.Sort(all)
	return all[:min(len(all), MaxEntryAddresses)]
}

package presence

import (
	"slices"
	"time"
)

// EntryLimit is the greatest number of addresses in an answer to a caller, as callers accept them.
const EntryLimit = 64

// zoneLeast is the number of routers of an availability zone from which its callers are sent there alone: the loss of one must
// leave another.
const zoneLeast = 2

// Entry returns the addresses for callers of an availability zone: the ready routers of that zone if there are enough for its
// callers, else all ready ones. Self is the own record; it is left out unless it is ready or nothing else is known.
func (s *State) Entry(now time.Time, zone string, self Record) []string {
	var near, all []string
	take := func(r Record) {
		if !r.Ready || r.Front == "" {
			return
		}
		all = append(all, r.Front)
		if r.Zone == zone {
			near = append(near, r.Front)
		}
	}
	take(self)
	for _, m := range s.Members(now) {
		take(m.Record)
	}
	switch {
	case len(near) >= zoneLeast:
		all = near
	case len(all) == 0:
		all = []string{self.Front}
	}
	slices.Sort(all)
	return all[:min(len(all), EntryLimit)]
}

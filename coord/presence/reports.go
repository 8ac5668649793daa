package presence

import (
	"maps"
	"slices"
	"time"
)

// ZoneLoad is the sum of the loads of the routers in one availability zone or in all of them.
type ZoneLoad struct {
	// Zone is empty for the sum over all availability zones.
	Zone string
	// Loads holds the number of requests in progress by backend server.
	Loads map[ServerKey]int
	// Down holds the number of routers that could not reach a backend server, by the server's ID.
	Down map[string]int
	// Leaving holds the backend servers that told a router that they are leaving; see
	// Record.Leaving.
	Leaving []string
	// Age is the time since the sum was computed, in milliseconds.
	Age int64
}

// sumZoneLoads returns the sum over all availability zones. Its age is that of the first element,
// this router's own zone.
func sumZoneLoads(zones []ZoneLoad) ZoneLoad {
	all := ZoneLoad{Loads: map[ServerKey]int{}, Down: map[string]int{}, Age: zones[0].Age}
	for _, z := range zones {
		addCounts(all.Loads, z.Loads)
		addCounts(all.Down, z.Down)
		all.Leaving = addMissing(all.Leaving, z.Leaving)
	}
	return all
}

// currentZoneLoads returns the load of this router's availability zone, summed from the records of
// its routers, followed by the loads of the other zones as their hubs reported them.
func (s *State) currentZoneLoads(now time.Time, self Record) []ZoneLoad {
	own := ZoneLoad{Zone: self.Zone, Loads: maps.Clone(self.Loads), Down: map[string]int{}, Leaving: slices.Clone(self.Leaving)}
	if own.Loads == nil {
		own.Loads = map[ServerKey]int{}
	}
	for _, id := range self.Down {
		own.Down[id]++
	}
	for _, m := range s.members {
		if m.Zone == self.Zone && s.live(now, m) {
			addCounts(own.Loads, m.Loads)
			for _, id := range m.Down {
				own.Down[id]++
			}
			own.Leaving = addMissing(own.Leaving, m.Leaving)
		}
	}
	out := []ZoneLoad{own}
	for _, z := range s.zoneLoads {
		if z.Zone != self.Zone && z.Zone != "" && now.Sub(z.at) <= s.lostAfter() {
			z.Age = now.Sub(z.at).Milliseconds()
			out = append(out, z.ZoneLoad)
		}
	}
	return out
}

// addMissing appends the elements of add that list lacks.
func addMissing(list, add []string) []string {
	for _, s := range add {
		if !slices.Contains(list, s) {
			list = append(list, s)
		}
	}
	return list
}

func addCounts[K comparable](total, counts map[K]int) {
	for key, n := range counts {
		total[key] += n
	}
}

// Reports holds what the other routers report about backend servers.
type Reports struct {
	// Loads holds the number of requests that they have in progress, by backend server.
	Loads map[ServerKey]int
	// Down holds the number of them that could not reach a backend server, by the server's ID.
	Down map[string]int
	// Leaving holds the backend servers that told one of them that they are leaving; see
	// Record.Leaving.
	Leaving []string
}

func (r *Reports) addZone(z ZoneLoad) {
	addCounts(r.Loads, z.Loads)
	addCounts(r.Down, z.Down)
	r.Leaving = addMissing(r.Leaving, z.Leaving)
}

// OtherReports returns what the other routers report about backend servers.
func (s *State) OtherReports(now time.Time, self Record) Reports {
	reports := Reports{Loads: map[ServerKey]int{}, Down: map[string]int{}}
	isHub := slices.Contains(s.hubsOf(now, self, self.Zone), self.ID)
	if s.UsesHubs() && !isHub {
		z, known := s.zoneLoads[""]
		if !known || now.Sub(z.at) > s.lostAfter() {
			return reports
		}
		reports.addZone(z.ZoneLoad)
		// The sum over all zones includes this router's own load.
		for key, n := range s.lastSent.Loads {
			reports.Loads[key] = max(0, reports.Loads[key]-n)
		}
		return reports
	}
	for _, m := range s.members {
		if !s.live(now, m) || s.UsesHubs() && m.Zone != self.Zone {
			continue
		}
		addCounts(reports.Loads, m.Loads)
		for _, id := range m.Down {
			reports.Down[id]++
		}
		reports.Leaving = addMissing(reports.Leaving, m.Leaving)
	}
	for _, z := range s.zoneLoads {
		if s.UsesHubs() && z.Zone != self.Zone && z.Zone != "" && now.Sub(z.at) <= s.lostAfter() {
			reports.addZone(z.ZoneLoad)
		}
	}
	return reports
}

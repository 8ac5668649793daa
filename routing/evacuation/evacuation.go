// Package evacuation knows which availability zones operators want to be left alone: their backend
// servers get no new requests until the operators say otherwise. The registry keeps that, and routers
// tell each other.
package evacuation

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hornbeamstep.example/routing/roster"
)

// retention is how long a zone stays evacuated that a restored registry no longer lists. By then
// operators have written again what the copy lacked.
const retention = 10 * time.Second

// Limits of what the registry may list. Heartbeats carry the zones.
const (
	MaxZones     = 64
	MaxNameBytes = 128
)

// Zones holds the evacuated availability zones as of a revision of the registry.
type Zones struct {
	Revision roster.Revision
	// Names is sorted, without duplicates.
	Names []string
}

// State is one router's knowledge of the evacuated zones. The zero value knows nothing. It is not
// safe for concurrent use.
type State struct {
	// Spread is the time over which the servers of a zone are taken out of use, one after the other,
	// so that their prompts don't all move to other servers at once. The order is the same on all
	// routers.
	Spread time.Duration

	zones Zones
	// begunAt is when the evacuation of a zone began; missing for those that had begun before this
	// router heard of any.
	begunAt map[string]time.Time
	// retained holds the zones that a restored registry lacks, and until when they stay evacuated.
	retained map[string]time.Time
}

// Zones returns the latest zones that the registry has listed.
func (s *State) Zones() Zones { return s.zones }

// Evacuated returns the evacuated zones, sorted.
func (s *State) Evacuated() []string {
	names := slices.AppendSeq(slices.Clone(s.zones.Names), maps.Keys(s.retained))
	slices.Sort(names)
	return slices.Compact(names)
}

// Update applies the zones if they are later than those in use, and returns the zones that are
// evacuated since, and those that are not evacuated any more. A registry that was restored from a
// copy ends no evacuation at once, because the copy may be older.
func (s *State) Update(now time.Time, next Zones) (begun, ended []string) {
	if !next.Revision.After(s.zones.Revision) {
		return nil, nil
	}
	before, isFirst := s.Evacuated(), s.zones.Revision.IsZero()
	if next.Revision.Era > s.zones.Revision.Era && !s.zones.Revision.IsZero() {
		s.retain(now.Add(retention))
	}
	for _, name := range next.Names {
		delete(s.retained, name)
	}
	s.zones = next
	begun, ended = difference(s.Evacuated(), before), difference(before, s.Evacuated())
	if s.begunAt == nil {
		s.begunAt = map[string]time.Time{}
	}
	for _, name := range ended {
		delete(s.begunAt, name)
	}
	for _, name := range begun {
		if !isFirst {
			s.begunAt[name] = now
		}
	}
	return begun, ended
}

// IsSpreading reports whether servers of a zone are being taken out of use, so that the result of
// Apply changes with time.
func (s *State) IsSpreading(now time.Time) bool {
	for _, at := range s.begunAt {
		if now.Sub(at) <= s.Spread {
			return true
		}
	}
	return false
}

// isOut reports whether a server in an evacuated zone gets no requests any more.
func (s *State) isOut(now time.Time, server roster.Server) bool {
	at, known := s.begunAt[server.Zone]
	if !known {
		return true
	}
	const parts = 1 << 16
	part := xxhash.Sum64String(server.ID) % parts
	return now.Sub(at) >= s.Spread*time.Duration(part)/parts
}

func (s *State) retain(until time.Time) {
	if s.retained == nil {
		s.retained = map[string]time.Time{}
	}
	for _, name := range s.zones.Names {
		s.retained[name] = until
	}
}

// Tick ends the evacuations that a restored registry has not listed again, and returns their zones.
// It must be called periodically.
func (s *State) Tick(now time.Time) (ended []string) {
	for name, until := range s.retained {
		if now.After(until) {
			delete(s.retained, name)
			ended = append(ended, name)
		}
	}
	slices.Sort(ended)
	return difference(ended, s.zones.Names)
}

// difference returns the elements of a that b lacks.
func difference(a, b []string) []string {
	return slices.DeleteFunc(slices.Clone(a), func(name string) bool { return slices.Contains(b, name) })
}

// Apply returns the servers, of which those in evacuated zones count as leaving: they finish their
// requests and get no new ones. It does not change the given slice.
func (s *State) Apply(now time.Time, servers []roster.Server) []roster.Server {
	evacuated := s.Evacuated()
	if len(evacuated) == 0 {
		return servers
	}
	out := slices.Clone(servers)
	for i := range out {
		if slices.Contains(evacuated, out[i].Zone) && s.isOut(now, out[i]) {
			out[i].Evacuated, out[i].Leaving = !out[i].Leaving, true
		}
	}
	return out
}

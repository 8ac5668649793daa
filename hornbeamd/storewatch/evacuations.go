package storewatch

import (
	"context"
	"maps"
	"slices"

	"go.uber.org/zap"

	"hornbeamstep.example/platform/metastore"
	"hornbeamstep.example/routing/evacuation"
	"hornbeamstep.example/routing/roster"
)

// zoneList maintains the list of evacuated availability zones from their entries in the store.
type zoneList struct {
	known   map[string]bool
	deliver func(evacuation.Zones)
	log     *zap.Logger
	// delivered is true once a list was delivered, and era is that of the latest one.
	delivered bool
	era       int64
}

// apply applies a snapshot, which holds all entries if complete is true and the changed ones
// otherwise. It delivers the list if it has changed.
func (l *zoneList) apply(_ context.Context, s metastore.Snapshot, complete bool) {
	next := maps.Clone(l.known)
	if complete || next == nil {
		next = map[string]bool{}
	}
	for _, o := range s.Objects {
		switch {
		case o.Deleted:
			delete(next, o.Name)
		case o.Name == "" || len(o.Name) > evacuation.MaxNameBytes || len(next) >= evacuation.MaxZones:
			l.log.Error("evacuation ignored; its name is too long, or too many zones are evacuated", zap.Int("name_bytes", len(o.Name)), zap.Int("zones", len(next)))
		default:
			next[o.Name] = true
		}
	}
	if l.delivered && l.era == s.Era && maps.Equal(next, l.known) {
		return
	}
	l.known, l.delivered, l.era = next, true, s.Era
	l.deliver(evacuation.Zones{Revision: roster.Revision{Era: s.Era, Number: s.Revision}, Names: slices.Sorted(maps.Keys(next))})
}

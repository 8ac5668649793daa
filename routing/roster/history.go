package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// HistoryRetention is how long a version stays in the history after its last server has gone. No
// stream may last that long.
const HistoryRetention = 2 * time.Minute

// ServiceVersion is a software version of a service.
type ServiceVersion struct{ Service, Version string }

// History holds the versions at which streams may be in progress. The registry keeps it, so that
// routers know it after a start of all of them. Routers send it to each other as JSON, so the field
// names are part of the wire format.
type History struct {
	// Era is the era of the registry in which the history was written.
	Era int64
	// Settled is false if streams may be in progress at versions that are missing, because the
	// registry had no history, or was restored from a copy while no router knew the latest one.
	Settled bool
	// Versions is sorted, without duplicates.
	Versions []RecordedVersion
}

// RecordedVersion is a version in a History.
type RecordedVersion struct {
	ServiceVersion
	// Gone is true if the version had no server when the history was written.
	Gone bool
}

func (h History) equal(o History) bool {
	return h.Era == o.Era && h.Settled == o.Settled && slices.Equal(h.Versions, o.Versions)
}

// HasServers reports whether the history allows servers of a version, which must be recorded before
// a router uses one.
func (h History) HasServers(v ServiceVersion) bool {
	return slices.Contains(h.Versions, RecordedVersion{ServiceVersion: v})
}

// VersionsOf returns the versions of a service at which streams may be in progress.
func (h History) VersionsOf(service string) []string {
	var versions []string
	for _, v := range h.Versions {
		if v.Service == service {
			versions = append(versions, v.Version)
		}
	}
	return versions
}

// Recorder keeps the history of one router that watches the registry. The router reads the history,
// calls Read and Next, writes the result on condition that the history has not changed since, and calls
// Written and Confirm. It is not safe for concurrent use.
type Recorder struct {
	// IsFirstStart is true if no router has served before, so that no history means that there are
	// no streams.
	IsFirstStart bool

	// confirmed is the history that the registry holds; nil before the first one. listed holds the
	// versions that had servers then.
	confirmed *History
	listed    map[ServiceVersion]bool
	// askedAt is when NeedsUpdate last returned true, and confirmedAt is its value when the history was
	// confirmed last.
	askedAt, confirmedAt time.Time
	// revision is that of the history that this router read or wrote last.
	revision Revision
	// goneSince is when this router first saw a version marked as gone, and unsettledSince when it
	// first saw an unsettled history; zero if it is settled.
	goneSince      map[ServiceVersion]time.Time
	unsettledSince time.Time
	// unrecorded holds the versions that Allowed has returned although the confirmed history lacks them.
	unrecorded map[ServiceVersion]bool
}

func versionsOf(servers []Server) map[ServiceVersion]bool {
	out := map[ServiceVersion]bool{}
	for _, s := range servers {
		out[ServiceVersion{s.Service, s.Version}] = true
	}
	return out
}

// Confirmed returns the history that the registry holds for the given era, if this router knows it.
func (r *Recorder) Confirmed(era int64) *History {
	if r.confirmed == nil || r.confirmed.Era != era {
		return nil
	}
	return r.confirmed
}

// NeedsUpdate reports whether the history must be read, and written if Next says so, before servers
// of new versions in the list are used. A version that returns counts as new, because another
// router may have removed it meanwhile. A router that was paused, or did not watch, may have missed that
// a version was gone.
func (r *Recorder) NeedsUpdate(now time.Time, era int64, servers []Server) bool {
	if !r.needsUpdate(now, era, servers) {
		return false
	}
	r.askedAt = now
	return true
}

func (r *Recorder) needsUpdate(now time.Time, era int64, servers []Server) bool {
	if now.Sub(r.confirmedAt) > HistoryRetention/2 || r.Confirmed(era) == nil || !maps.Equal(versionsOf(servers), r.listed) {
		return true
	}
	if r.isSettledBy(now) {
		return true
	}
	return slices.ContainsFunc(r.confirmed.Versions, func(v RecordedVersion) bool { return r.isExpired(now, v) })
}

// isSettledBy reports whether an unsettled history has become complete: no stream has lasted since
// this router knows it.
func (r *Recorder) isSettledBy(now time.Time) bool {
	return !r.unsettledSince.IsZero() && now.Sub(r.unsettledSince) > HistoryRetention
}

func (r *Recorder) isExpired(now time.Time, v RecordedVersion) bool {
	since, known := r.goneSince[v.ServiceVersion]
	return v.Gone && known && now.Sub(since) > HistoryRetention
}

// Read records the revision of the history that is about to be passed to Next. If another
// router has written it, a version that is gone may have had servers since.
func (r *Recorder) Read(now time.Time, revision Revision) {
	if revision == r.revision {
		return
	}
	r.revision = revision
	for v := range r.goneSince {
		r.goneSince[v] = now
	}
}

// Written records the revision of the history that this router has written.
func (r *Recorder) Written(revision Revision) { r.revision = revision }

// Next returns the history that the registry should hold, and whether it differs from the stored
// one, which is nil if there is none. servers are those that the registry lists in the given era.
func (r *Recorder) Next(now time.Time, era int64, servers []Server, stored *History) (next History, changed bool) {
	listed := versionsOf(servers)
	versions := map[ServiceVersion]bool{}
	add := func(h *History) {
		if h == nil {
			return
		}
		for _, v := range h.Versions {
			if listed[v.ServiceVersion] || !r.isExpired(now, v) {
				versions[v.ServiceVersion] = true
			}
		}
	}
	next = History{Era: era}
	switch {
	case stored != nil && stored.Era == era:
		add(stored)
		next.Settled = stored.Settled || r.isSettledBy(now)
	case r.confirmed != nil:
		// The registry was restored from a copy that is older than what this router knows.
		add(stored)
		add(r.confirmed)
		next.Settled = r.confirmed.Settled
	default:
		add(stored)
		next.Settled = stored == nil && r.IsFirstStart
	}
	maps.Copy(versions, listed)
	maps.Copy(versions, r.unrecorded)
	for v := range versions {
		next.Versions = append(next.Versions, RecordedVersion{ServiceVersion: v, Gone: !listed[v]})
	}
	slices.SortFunc(next.Versions, func(a, b RecordedVersion) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	})
	return next, stored == nil || !next.equal(*stored)
}

// Confirm records that the registry holds a history, as Next returned it for the given servers.
func (r *Recorder) Confirm(now time.Time, h History, servers []Server) {
	goneSince := map[ServiceVersion]time.Time{}
	for _, v := range h.Versions {
		if !v.Gone {
			continue
		}
		goneSince[v.ServiceVersion] = now
		if since, known := r.goneSince[v.ServiceVersion]; known {
			goneSince[v.ServiceVersion] = since
		}
	}
	switch {
	case h.Settled:
		r.unsettledSince = time.Time{}
	case r.unsettledSince.IsZero() || r.confirmed != nil && r.confirmed.Era != h.Era:
		r.unsettledSince = now
	}
	r.confirmedAt, r.unrecorded = r.askedAt, nil
	r.confirmed, r.listed, r.goneSince = &h, versionsOf(servers), goneSince
}

// Allowed returns the servers whose versions are recorded in the confirmed history, and all of a
// service that has no such server: it would not be served at all otherwise. These are marked as
// unrecorded if there is a history.
func (r *Recorder) Allowed(servers []Server) []Server {
	isRecorded := func(s Server) bool {
		return r.confirmed != nil && r.confirmed.HasServers(ServiceVersion{s.Service, s.Version})
	}
	served := map[string]bool{}
	for _, s := range servers {
		served[s.Service] = served[s.Service] || isRecorded(s) && !s.Leaving
	}
	unrecorded := map[ServiceVersion]bool{}
	maps.Copy(unrecorded, r.unrecorded)
	out := make([]Server, 0, len(servers))
	for _, s := range servers {
		if !isRecorded(s) {
			if served[s.Service] {
				continue
			}
			unrecorded[ServiceVersion{s.Service, s.Version}] = true
			s.Unrecorded = r.confirmed != nil
		}
		out = append(out, s)
	}
	r.unrecorded = unrecorded
	return out
}

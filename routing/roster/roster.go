// Package roster tracks the backend servers that are running. It follows the entries of a service
// registry and tolerates registry outages.
package roster

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Server is a backend server as it registered itself. Routers send it to each other as JSON, so the
// field names are part of the wire format.
type Server struct {
	// ID is unique to each server. A server may keep its ID when it restarts.
	ID      string
	Service string
	// Address is ip:port. Another server may use the same address after this one is gone.
	Address string
	Zone    string
	// Version is the version of the server's software. Versions have no order.
	Version string
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// Leaving is true for draining servers, which take no new requests.
	Leaving bool
	// Evacuated is true for a server in an evacuated availability zone, which takes no new requests
	// but still belongs to its service. The registry does not set it.
	Evacuated bool
	// Cold is true for a server that is slow for some seconds and withstands only some requests per
	// second, mostly because it has just started.
	Cold bool
	// Unrecorded is true for a server whose version the history lacks, because it could not be written. No
	// stream that a client may resume begins there, since routers conclude from the history.
	Unrecorded bool `json:",omitempty"`
	// Born is when the server process started, in Unix milliseconds; 0 if unknown.
	Born int64
}

// Revision is a revision of the registry. The registry may be restored from a copy, which begins a
// new era: its revisions go back then, and the same numbers are given out again.
type Revision struct{ Era, Number int64 }

// After reports whether r is later than o.
func (r Revision) After(o Revision) bool {
	return cmp.Or(cmp.Compare(r.Era, o.Era), cmp.Compare(r.Number, o.Number)) > 0
}

// IsZero reports whether r is the zero value, which no registry has.
func (r Revision) IsZero() bool { return r == Revision{} }

// Snapshot is the content of the registry at one revision. Routers send it to each other as JSON,
// so the field names are part of the wire format.
type Snapshot struct {
	// Revision is the registry revision of the last change to Servers. It only increases.
	Revision Revision
	// Servers is sorted by ID without duplicates.
	Servers []Server
	// History is nil if it could not be read.
	History *History
}

// Equal reports whether both hold the same servers and the same history, regardless of the
// revision.
func (r Snapshot) Equal(o Snapshot) bool {
	if (r.History == nil) != (o.History == nil) || r.History != nil && !r.History.equal(*o.History) {
		return false
	}
	return slices.Equal(r.Servers, o.Servers)
}

// Sort sorts servers by ID, as Snapshot requires.
func Sort(servers []Server) {
	slices.SortFunc(servers, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
}

// Settings are the time limits of a Roster.
type Settings struct {
	// OutageAfter is the time without a response from the registry after which entries may have
	// expired although their servers are still running.
	OutageAfter time.Duration
	// ReturnWithin is the time after an outage within which the servers that are still running have
	// registered again.
	ReturnWithin time.Duration
	// ExpireWithin is the time after the restore of the registry within which the entries of servers
	// that have ended expire again.
	ExpireWithin time.Duration
}

// DefaultSettings returns the default settings for servers that renew their entry once per
// heartbeat interval. An entry expires after three intervals without renewal, one of which may
// already have passed when an outage begins. The platform that runs the registry states that
// entries are back about 2 s after an outage.
func DefaultSettings(heartbeat time.Duration) Settings {
	return Settings{OutageAfter: 2 * heartbeat, ReturnWithin: 2 * time.Second, ExpireWithin: 4 * heartbeat}
}

// Roster holds the servers in the latest snapshot of the registry, and those whose entries are
// missing but may only have expired in an outage. It is not safe for concurrent use.
type Roster struct {
	settings Settings
	snapshot Snapshot
	// retained holds servers whose entries have been missing since an outage.
	retained map[string]Server
	// lastResponse is the time of the latest known response from the registry. The response may
	// have gone to another router that reported its time to this one.
	lastResponse time.Time
	// outageEnd is when the last outage ended or the registry was restored; zero if neither
	// happened.
	outageEnd time.Time
	// unconfirmed holds the servers that only the restored registry lists, with the time at which
	// the restore was noticed. Most of them registered since, but some may have ended before the
	// restore.
	unconfirmed map[identity]time.Time
	// left holds the servers that were draining, since a restored registry may list them as running
	// again.
	left map[identity]bool
}

// identity identifies one process of a server.
type identity struct {
	id   string
	born int64
}

func identityOf(s Server) identity { return identity{s.ID, s.Born} }

// New returns an empty roster.
func New(s Settings) *Roster {
	return &Roster{settings: s, retained: map[string]Server{}, unconfirmed: map[identity]time.Time{}, left: map[identity]bool{}}
}

// RecordResponse records the time of the latest known response from the registry.
func (r *Roster) RecordResponse(at time.Time) {
	if !at.After(r.lastResponse) {
		return
	}
	if !r.lastResponse.IsZero() && at.Sub(r.lastResponse) > r.settings.OutageAfter {
		r.outageEnd = at
	}
	r.lastResponse = at
}

// Revision returns the revision of the snapshot in use.
func (r *Roster) Revision() Revision { return r.snapshot.Revision }

// Snapshot returns the snapshot in use.
func (r *Roster) Snapshot() Snapshot { return r.snapshot }

// Update applies a snapshot if it is newer than the one in use, and reports whether it was.
func (r *Roster) Update(now time.Time, next Snapshot) bool {
	if !next.Revision.After(r.snapshot.Revision) {
		return false
	}
	if next.Revision.Era > r.snapshot.Revision.Era && !r.snapshot.Revision.IsZero() {
		r.noteRestore(now, next)
	}
	for _, s := range r.snapshot.Servers {
		if _, found := find(next.Servers, s.ID); !found && r.mayHaveExpired(now) && !s.Leaving {
			r.retained[s.ID] = s
		}
	}
	r.snapshot = next
	r.noteLeaving()
	for id := range r.retained {
		if _, found := find(next.Servers, id); found {
			delete(r.retained, id)
		}
	}
	r.dropRetained(now)
	return true
}

// noteRestore prepares for a snapshot of a registry that was restored from a copy some seconds old.
// The copy lacks the servers that registered since, which are retained until they have registered
// again. It may list servers that have ended since, whose entries expire again.
func (r *Roster) noteRestore(now time.Time, next Snapshot) {
	r.outageEnd = now
	for _, s := range next.Servers {
		_, found := find(r.snapshot.Servers, s.ID)
		if _, isRetained := r.retained[s.ID]; !found && !isRetained {
			r.unconfirmed[identityOf(s)] = now
		}
	}
}

// noteLeaving records the draining servers of the snapshot, and forgets those that it lacks.
func (r *Roster) noteLeaving() {
	left := map[identity]bool{}
	for _, s := range r.snapshot.Servers {
		if s.Leaving || r.left[identityOf(s)] {
			left[identityOf(s)] = true
		}
	}
	r.left = left
}

// mayHaveExpired reports whether an entry may be missing because it expired in an outage, so that
// its server may still be running.
func (r *Roster) mayHaveExpired(now time.Time) bool {
	if r.lastResponse.IsZero() {
		return false
	}
	outage := now.Sub(r.lastResponse) > r.settings.OutageAfter
	return outage || !r.outageEnd.IsZero() && now.Sub(r.outageEnd) < r.settings.ReturnWithin
}

// dropRetained removes the retained servers once their entries should be back, and reports whether
// it removed any.
func (r *Roster) dropRetained(now time.Time) bool {
	if len(r.retained) == 0 || r.mayHaveExpired(now) {
		return false
	}
	clear(r.retained)
	return true
}

// Tick removes the retained servers once their entries should be back, and confirms those that only
// a restored registry lists once they should have expired. It reports whether either changed the
// result of Servers. It must be called periodically.
func (r *Roster) Tick(now time.Time) bool {
	changed := r.dropRetained(now)
	for s, since := range r.unconfirmed {
		if now.Sub(since) > r.settings.ExpireWithin {
			delete(r.unconfirmed, s)
			changed = true
		}
	}
	return changed
}

// RetainedCount returns the number of servers that are in use although their entries are missing.
func (r *Roster) RetainedCount() int { return len(r.retained) }

// Servers returns the servers of the snapshot and the retained ones, sorted by ID. It includes
// draining servers. Servers that have not been confirmed since a restore count as draining. The
// caller owns the slice.
func (r *Roster) Servers() []Server {
	servers := slices.Clone(r.snapshot.Servers)
	for i, s := range servers {
		_, unconfirmed := r.unconfirmed[identityOf(s)]
		servers[i].Leaving = s.Leaving || unconfirmed || r.left[identityOf(s)]
	}
	for _, s := range r.retained {
		servers = append(servers, s)
	}
	Sort(servers)
	return servers
}

func find(servers []Server, id string) (Server, bool) {
	i, ok := slices.BinarySearchFunc(servers, id, func(s Server, id string) int { return strings.Compare(s.ID, id) })
	if !ok {
		return Server{}, false
	}
	return servers[i], true
}

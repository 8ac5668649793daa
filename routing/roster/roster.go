// Package roster keeps the backend servers that may be used, from the entries of a registry that has outages.
package roster

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Server is a backend server as it registered itself.
type Server struct {
	// ID is new for each server; a server that starts again may keep it.
	ID      string
	Service string
	// Address is ip:port. It may be that of another server after this one has left.
	Address string
	Zone    string
	// Slots is the number of requests that it runs at once.
	Slots int
	// Leaving servers take no new work.
	Leaving bool
	// Born is when its process started, in Unix milliseconds; 0 if it does not say.
	Born int64
}

// Registration is the content of the registry at one revision.
type Registration struct {
	// Revision is that of the last change in Servers. It only grows.
	Revision int64
	// Servers is sorted by ID and holds each ID once.
	Servers []Server
}

// Equal is true if both hold the same servers.
func (r Registration) Equal(o Registration) bool { return slices.Equal(r.Servers, o.Servers) }

// Sort orders servers as Registration requires.
func Sort(servers []Server) {
	slices.SortFunc(servers, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
}

// Settings are the times of a Roster.
type Settings struct {
	// Outage is the time without an answer of the registry after which entries may have lapsed although their server lives.
	Outage time.Duration
	// Return is the time after an outage within which lapsed entries are back if their server lives.
	Return time.Duration
}

// DefaultSettings returns the default times for servers that renew their entry after each heartbeat. An entry lapses after three
// heartbeats without renewal, of which one may have passed when an outage begins. The platform states that entries are back about
// 2 s after an outage.
func DefaultSettings(heartbeat time.Duration) Settings {
	return Settings{Outage: 2 * heartbeat, Return: 2 * time.Second}
}

// Roster decides which servers may be used. It is not safe for concurrent use.
type Roster struct {
	settings     Settings
	registration Registration
	// kept holds servers whose entry is missing since an outage.
	kept map[string]Server
	// heard is when the registry last answered this router or one that told it so.
	heard time.Time
	// returned is when the last outage ended; zero if there was none.
	returned time.Time
}

// New returns an empty roster.
func New(s Settings) *Roster { return &Roster{settings: s, kept: map[string]Server{}} }

// Heard takes the time of the latest answer of the registry that is known of.
func (r *Roster) Heard(at time.Time) {
	if !at.After(r.heard) {
		return
	}
	if !r.heard.IsZero() && at.Sub(r.heard) > r.settings.Outage {
		r.returned = at
	}
	r.heard = at
}

// Revision returns the revision of the registration in use.
func (r *Roster) Revision() int64 { return r.registration.Revision }

// Registration returns the registration in use.
func (r *Roster) Registration() Registration { return r.registration }

// Update takes a registration and is true if it is newer than the present one.
func (r *Roster) Update(now time.Time, next Registration) bool {
	if next.Revision <= r.registration.Revision {
		return false
	}
	for _, s := range r.registration.Servers {
		if _, present := find(next.Servers, s.ID); !present && r.lapsed(now) && !s.Leaving {
			r.kept[s.ID] = s
		}
	}
	r.registration = next
	for id := range r.kept {
		if _, present := find(next.Servers, id); present {
			delete(r.kept, id)
		}
	}
	r.expire(now)
	return true
}

// lapsed is true while a missing entry does not show that its server has left.
func (r *Roster) lapsed(now time.Time) bool {
	if r.heard.IsZero() {
		return false
	}
	outage := now.Sub(r.heard) > r.settings.Outage
	return outage || !r.returned.IsZero() && now.Sub(r.returned) < r.settings.Return
}

// expire drops the kept servers when their time is up and reports whether there were any.
func (r *Roster) expire(now time.Time) bool {
	if len(r.kept) == 0 || r.lapsed(now) {
		return false
	}
	clear(r.kept)
	return true
}

// Tick is true if servers ceased to be usable with time.
func (r *Roster) Tick(now time.Time) bool { return r.expire(now) }

// Kept returns the number of servers that are used although their entry is missing.
func (r *Roster) Kept() int { return len(r.kept) }

// Servers returns the known servers sorted by ID, the leaving ones included. The caller owns the slice.
func (r *Roster) Servers() []Server {
	servers := slices.Clone(r.registration.Servers)
	for _, s := range r.kept {
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

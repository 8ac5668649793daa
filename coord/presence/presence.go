// Package presence keeps the routers of one deployment by frequent heartbeats, which also carry what each router knows and does.
//
// Package member serves large fleets whose routers hear of each other through a few random pings. Here each heartbeat reaches
// every router directly or by one relay, so that a lost router is found within a second, and a load is known within a fraction
// of one.
package presence

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Record is what a router says of itself.
type Record struct {
	ID, Zone, Region string
	// Boot is when the process started, in Unix milliseconds. A higher one replaces the records of an earlier process.
	Boot int64
	// Sequence grows with each heartbeat of one process.
	Sequence uint64
	// Peer is the address for heartbeats, Control the one for calls and Front the one for callers, as ip:port.
	Peer, Control, Front string
	// Ready routers take callers.
	Ready bool
	// Capacity grows with the processor and the link of the machine; see Capacity.
	Capacity float64
	// Config is the version of its configuration and Servers the revision of its backend servers.
	Config, Servers int64
	// Contact is the time since the platform's store answered this router itself, in milliseconds; negative if it never did.
	Contact int64
	// Lost is true if the store did not answer this router's latest call.
	Lost bool
	// Loads holds its requests in progress by backend server.
	Loads map[ServerKey]int
	// Down holds the IDs of the backend servers that it could not reach lately.
	Down []string
	// Crashes holds requests that were on backend servers which crashed a moment ago.
	Crashes []Crash
}

// ServerKey stands for the ID of a backend server in messages. Two servers with the same key would count each other's load, which
// is less than likely in 1 of 1,000 deployments of 1,000 servers.
type ServerKey uint32

// KeyOf returns the key of the backend server with an ID.
func KeyOf(id string) ServerKey { return ServerKey(xxhash.Sum64String(id)) }

// identityEvery is the number of records of a router of which one tells what does not change while its process runs.
const identityEvery = 5

// identityFor is the time after a router joined in which all its records tell that.
const identityFor = 5 * time.Second

// brief is true if a record is sent without what does not change while the process runs. Since is when the router joined.
func (r Record) brief(now, since time.Time) bool {
	return now.Sub(since) > identityFor && r.Sequence%identityEvery != 0
}

// withIdentity returns the record with what another one of the same process told.
func (r Record) withIdentity(o Record) Record {
	r.Zone, r.Region, r.Peer, r.Control, r.Front, r.Capacity = o.Zone, o.Region, o.Peer, o.Control, o.Front, o.Capacity
	return r
}

// Crash is a request that was on crashed backend servers.
type Crash struct {
	Fingerprint string
	// Servers holds the ID and the start of each server, separated by a slash.
	Servers []string
}

// newer orders the records of one router.
func (r Record) newer(o Record) bool {
	if r.Boot != o.Boot {
		return r.Boot > o.Boot
	}
	return r.Sequence > o.Sequence
}

// Capacity returns what a machine can do for others, from its processor cores and its link in Mbit/s. The scarcer of the two
// decides, at the ratio of common machines.
func Capacity(cores, link float64) float64 {
	const linkPerCore = 250
	return min(cores, link/linkPerCore)
}

// Member is another router with the time of its latest heartbeat.
type Member struct {
	Record
	// Heard is when the record arrived.
	Heard time.Time
	// since is when the router was first heard, or again after it had been lost.
	since time.Time
}

// ContactAt is when the store answered the member itself; zero if it never did.
func (m Member) ContactAt() time.Time {
	if m.Contact < 0 {
		return time.Time{}
	}
	return m.Heard.Add(-time.Duration(m.Contact) * time.Millisecond)
}

type zoneLoad struct {
	ZoneLoad
	at time.Time
}

// Settings are the times of a State.
type Settings struct {
	// Interval is the time between two heartbeats in a small fleet.
	Interval time.Duration
	// Silence is the time without a heartbeat after which a router counts as lost.
	Silence time.Duration
	// Keep is how long lost routers are still sent heartbeats, so that two parts of a cut fleet find each other again.
	Keep time.Duration
	// Watchers is the number of routers that watch the store for all in a small fleet.
	Watchers int
	// Contact is the age of a store answer up to which a router can watch for the others.
	Contact time.Duration
}

// DefaultSettings returns the default settings. A lost router leaves the answers to callers after four missed heartbeats.
func DefaultSettings() Settings {
	return Settings{
		Interval: 200 * time.Millisecond, Silence: 900 * time.Millisecond, Keep: time.Minute, Watchers: 2,
		Contact: 1800 * time.Millisecond,
	}
}

// State is the presence of all routers as one of them sees it. It is not safe for concurrent use.
type State struct {
	settings Settings
	self     Record
	members  map[string]Member
	zones    map[string]zoneLoad
	// reported is the load that this router sent last.
	reported map[ServerKey]int
	// most is the greatest number of routers seen at once.
	most int
	// started is the time of the first heartbeat.
	started time.Time
}

// New returns a state that knows no other router.
func New(s Settings, self Record) *State {
	return &State{settings: s, self: self, members: map[string]Member{}, zones: map[string]zoneLoad{}, most: 1}
}

// Tick forgets the routers that have been lost for long.
func (s *State) Tick(now time.Time) {
	maps.DeleteFunc(s.members, func(_ string, m Member) bool { return now.Sub(m.Heard) > s.settings.Keep })
	if live := s.Live(now) + 1; live < s.most && len(s.members) == live-1 {
		s.most = live
	}
}

// Members returns the other routers that are not lost, sorted by ID.
func (s *State) Members(now time.Time) []Member {
	var live []Member
	for _, m := range s.members {
		if s.live(now, m) {
			live = append(live, m)
		}
	}
	slices.SortFunc(live, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return live
}

// Live returns the number of other routers that are not lost.
func (s *State) Live(now time.Time) int {
	n := 0
	for _, m := range s.members {
		if s.live(now, m) {
			n++
		}
	}
	return n
}

// live is true if the router's heartbeats arrive.
func (s *State) live(now time.Time, m Member) bool { return now.Sub(m.Heard) <= s.silence() }

// Fleet is the number of routers that may share a limit: all seen lately, lost or not, and this one.
func (s *State) Fleet() int { return max(s.most, len(s.members)+1) }

// Contact returns when the store last answered any router, as far as this one knows, and that router's ID. Own is the time of
// the last answer to this router.
func (s *State) Contact(now, own time.Time) (at time.Time, id string) {
	at, id = own, s.self.ID
	for _, m := range s.members {
		if c := m.ContactAt(); s.live(now, m) && c.After(at) {
			at, id = c, m.ID
		}
	}
	return at, id
}

// Watches is true if this router has to watch the store itself: it is one of the first by rank that have not lost the store, or
// nobody has heard of the store for too long. Own is the time of the last answer to this router, started that of its start, and
// lost is true if its latest call was not answered.
func (s *State) Watches(now, own, started time.Time, lost bool) bool {
	rank, before, able := s.rank(s.self.ID), 0, 0
	for _, m := range s.members {
		if !s.live(now, m) || s.rank(m.ID) >= rank {
			continue
		}
		before++
		if !m.Lost {
			able++
		}
	}
	// The first by rank of all keep trying, so that the fleet notices when the store is back.
	if !lost && able < s.watchers() || before < s.watchers() {
		return true
	}
	newest, _ := s.Contact(now, own)
	since := newest.Add(s.contactLimit())
	if newest.IsZero() {
		since = started
	}
	// The others try one after another, so that a store which comes back is not met by a whole fleet.
	return now.Sub(since) > time.Duration(before/firstTries)*nextTries
}

// watchers is the number of routers that watch the store. A fault that cuts off a share of a large fleet is more likely to take
// any two of them.
func (s *State) watchers() int {
	if s.large() {
		return s.settings.Watchers + 1
	}
	return s.settings.Watchers
}

// firstTries is the number of routers that try a silent store at once, and nextTries the time after which as many more do.
const (
	firstTries = 8
	nextTries  = 300 * time.Millisecond
)

// rank orders the routers in a way that is the same on each and does not depend on the machines' names.
func (s *State) rank(id string) uint64 { return xxhash.Sum64String(id) }

// Newest returns a member to ask for a newer version of the configuration than a router has, and one for a newer revision of
// backend servers. Those of the own availability zone are asked first, so that a few routers do not serve the whole fleet.
func (s *State) Newest(now time.Time, config, servers int64) (forConfig, forServers Member) {
	better := func(m, best Member, version, least int64) bool {
		if version <= least {
			return false
		}
		return best.ID == "" || m.Zone == s.self.Zone && best.Zone != s.self.Zone
	}
	for _, m := range s.members {
		if !s.live(now, m) {
			continue
		}
		if better(m, forConfig, m.Config, config) {
			forConfig = m
		}
		if better(m, forServers, m.Servers, servers) {
			forServers = m
		}
	}
	return forConfig, forServers
}

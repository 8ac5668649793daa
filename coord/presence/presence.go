// Package presence tracks the live routers of a deployment by frequent heartbeats, which also carry
// the state and the load of each router.
//
// Package member is the alternative for large fleets whose routers learn of each other through a
// few random pings. Here each heartbeat reaches every router directly or through hubs that relay
// it, so that a lost router is detected within a second and its load is known within a fraction of
// a second.
package presence

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hornbeamstep.example/routing/roster"
)

// Record is the state that a router reports of itself.
type Record struct {
	ID, Zone, Region string
	// Boot is the start time of the process, in Unix milliseconds. A record with a later start time
	// replaces those of an earlier process.
	Boot int64
	// Sequence increases with each heartbeat of a process.
	Sequence uint64
	// Peer is the address for heartbeats, Control the address for calls between routers and Front
	// the address for callers, all as ip:port.
	Peer, Control, Front string
	// Format is the newest format of messages that the router reads and writes, and thus what its release
	// understands; 0 if unknown, which counts as older than all.
	Format int
	// Ready is true if the router accepts callers.
	Ready bool
	// Capacity is the capacity of the machine, as the function Capacity returns it.
	Capacity float64
	// Config is the version of the router's configuration, and Servers that of its list of backend
	// servers.
	Config  int64
	Servers roster.Revision
	// Overloads holds the services that the router takes for overloaded.
	Overloads []Overload
	// Brittle holds the services whose servers fail if they have to reject too many requests.
	Brittle []BrittleService
	// Evacuated holds the evacuated availability zones that the router has last heard of.
	Evacuated Evacuated
	// StoreContactAge is the time since the platform's store last responded to this router, in
	// milliseconds; negative if it never did.
	StoreContactAge int64
	// StoreLost is true if the store did not respond to this router's latest call.
	StoreLost bool
	// Loads holds the number of the router's requests in progress by backend server.
	Loads map[ServerKey]int
	// Down holds the IDs of the backend servers that the router recently failed to reach.
	Down []string
	// Unreached holds the services whose backend servers the router doesn't reach, although they
	// may be sound.
	Unreached []ServiceKey
	// Leaving holds the backend servers that recently told the router that they are leaving, each
	// as ID and start time, separated by a slash.
	Leaving []string
	// Crashes holds the requests that were running on backend servers which crashed recently.
	Crashes []Crash
	// Parts holds the parts of prompts that were at backend servers which crashed recently. Hubs
	// don't relay those of other routers, but merge them with their own.
	Parts []PromptPart
	// Limits holds rate limits that backend servers have stated. Hubs don't relay those of other
	// routers, but merge them with their own.
	Limits []ServerLimit
}

// Evacuated holds the availability zones that the registry lists as evacuated at a revision; see
// package evacuation.
type Evacuated struct {
	Revision roster.Revision
	Zones    []string
}

// Overload is a service whose backend servers turn requests away for want of room.
type Overload struct {
	Service ServiceKey
	// Age is the time since the last sign of that, in milliseconds.
	Age int64
}

// BrittleService is a service whose backend servers state that they are brittle.
type BrittleService struct {
	Service ServiceKey
	// MaxRejections is the number of rejections per second above which a server fails.
	MaxRejections int
	// Age is the time since the latest response that stated it, in milliseconds.
	Age int64
}

// ServerKey is a hash that replaces the ID of a backend server in messages. If two servers had the
// same key, the load of each would also be counted for the other. The probability of such a
// collision in a deployment of 1,000 servers is below 1 in 1,000.
type ServerKey uint32

// ServerKeyOf returns the key of the backend server with the given ID.
func ServerKeyOf(id string) ServerKey { return ServerKey(xxhash.Sum64String(id)) }

// ServiceKey is a hash that replaces the name of a service in messages.
type ServiceKey uint32

// ServiceKeyOf returns the key of the service with the given name.
func ServiceKeyOf(name string) ServiceKey { return ServiceKey(xxhash.Sum64String(name)) }

// SlotsFormat is the first format whose routers hand out slots of brittle servers.
const SlotsFormat = 23

// identityEvery is the interval, in heartbeats, at which a heartbeat carries the fields that do not
// change while the process runs. The others omit them.
const identityEvery = 5

// fullIdentityPeriod is the time after a router has joined during which each heartbeat carries the
// fields that do not change while the process runs.
const fullIdentityPeriod = 5 * time.Second

// omitsIdentity reports whether the record is sent without the fields that do not change while the
// process runs.
func (r Record) omitsIdentity(now, joinedAt time.Time) bool {
	return now.Sub(joinedAt) > fullIdentityPeriod && r.Sequence%identityEvery != 0
}

// withIdentity returns the record with the unchanging fields of another record of the same process.
func (r Record) withIdentity(o Record) Record {
	r.Zone, r.Region, r.Peer, r.Control, r.Front, r.Capacity, r.Format = o.Zone, o.Region, o.Peer, o.Control, o.Front, o.Capacity, o.Format
	return r
}

// Crash describes a request that was running on one or more backend servers when they crashed.
type Crash struct {
	// Fingerprint identifies the request.
	Fingerprint string
	// Servers holds the ID and the start time of each server, separated by a slash.
	Servers []string
	// Age is the time since the latest of these crashes, in milliseconds.
	Age int64
}

// PromptPart describes a part of prompts that was at backend servers when they crashed.
type PromptPart struct {
	// Key is a hash of the model and the part.
	Key uint64
	// Crashes holds the crashes that may be due to the part, and those that are not.
	Crashes []PartCrash
	// Confirmed is true if answers to other prompts have begun since, and none to one with the
	// part.
	Confirmed bool
}

// PartCrash describes a crash at which a part of prompts was.
type PartCrash struct {
	// Key is a hash of the server's ID and its start time.
	Key uint32
	// Age is the time since the crash, in milliseconds.
	Age int64
	// Cleared is true if the part has not caused the crash.
	Cleared bool
}

// newer reports whether r is a later record than o of the same router.
func (r Record) newer(o Record) bool {
	if r.Boot != o.Boot {
		return r.Boot > o.Boot
	}
	return r.Sequence > o.Sequence
}

// Capacity returns the capacity of a machine, by which hubs are chosen. It is the number of
// processor cores, or the number of cores that the link speed in Mbit/s suffices for if that is
// lower. linkMbpsPerCore is the link speed per core of common machines.
func Capacity(cores, linkMbps float64) float64 {
	const linkMbpsPerCore = 250
	return min(cores, linkMbps/linkMbpsPerCore)
}

// Member is another router, with its latest record.
type Member struct {
	Record
	// SentAt is when the member sent the record. It is computed from the age in the message and the
	// clock of the receiving router.
	SentAt time.Time
	// joinedAt is when the first record of the router's process arrived, or the first one after the
	// router had been lost.
	joinedAt time.Time
	// changedAt is when the member joined, or when the crashes in its record or the services that it
	// doesn't reach last changed. Hubs relay its record for a short time after that.
	changedAt time.Time
	// storeContactAt is when the store last responded to the member as of its record; zero if it
	// never did.
	storeContactAt time.Time
	// stoppedAt is when the member stopped taking callers; zero while it takes them, and before it
	// first does.
	stoppedAt time.Time
	key       MemberKey
	// rank is the result of rank for the member's ID.
	rank uint64
}

// timedZoneLoad is the load of a zone and the time at which a hub computed it, converted to the
// clock of this router.
type timedZoneLoad struct {
	ZoneLoad
	at time.Time
}

// Settings holds the settings of a State.
type Settings struct {
	// Interval is the time between two heartbeats in a fleet without hubs.
	Interval time.Duration
	// LostAfter is the time without a heartbeat after which a router counts as lost. The time is
	// longer in a fleet with hubs if four heartbeat intervals exceed it.
	LostAfter time.Duration
	// ForgetAfter is the time without a heartbeat after which a lost router is forgotten. Until
	// then it is still sent heartbeats, so that two parts of a partitioned fleet find each other
	// again.
	ForgetAfter time.Duration
	// StoreWatchers is the number of routers that watch the store on behalf of the fleet. A fleet
	// with hubs has one more.
	StoreWatchers int
	// MaxContactAge is the maximum age of the latest known store response to any router. Further
	// routers watch the store if it is exceeded.
	MaxContactAge time.Duration
}

// DefaultSettings returns the default settings. Callers are no longer sent to a router that has
// missed four heartbeats.
func DefaultSettings() Settings {
	return Settings{
		Interval: 200 * time.Millisecond, LostAfter: 900 * time.Millisecond, ForgetAfter: time.Minute, StoreWatchers: 2,
		MaxContactAge: 1800 * time.Millisecond,
	}
}

// State is one router's view of all routers. It is not safe for concurrent use.
type State struct {
	settings Settings
	self     Record
	selfKey  MemberKey
	selfRank uint64
	// members holds the other routers by ID, including those that are lost but not yet forgotten.
	members map[string]*Member
	// byKey holds the same members by the key of their process.
	byKey map[MemberKey]*Member
	// liveness holds the last livenessUpdate by scope, and requestedLiveness when this router last
	// asked a hub for its complete liveness, by the ID of the hub.
	liveness          map[string]sentLiveness
	requestedLiveness map[string]time.Time
	// incomplete holds the hubs whose liveness differs from what this router believes.
	incomplete map[string]bool
	// missing holds the processes whose records this router lacks, and requested when it last asked
	// for each. wanted holds the processes whose records other routers have asked for, by the ID of
	// the router.
	missing   map[MemberKey]missingRecord
	requested map[MemberKey]time.Time
	wanted    map[string][]MemberKey
	// introducedAt is when this router last introduced the others to a router, by its ID.
	introducedAt map[string]time.Time
	// storeContact is the time of the latest response of the store to any router, as far as hubs
	// have reported it.
	storeContact time.Time
	// zoneLoads holds the latest load that hubs reported by availability zone; the key "" holds the
	// sum over all zones.
	zoneLoads map[string]timedZoneLoad
	// lastSent is the record in the latest heartbeat of this router.
	lastSent Record
	// maxFleet is the greatest number of routers that were live at the same time, including this
	// one. Tick lowers it to the number of live routers once all lost routers are forgotten.
	maxFleet int
	// firstHeartbeat is the time of the first heartbeat of this router.
	firstHeartbeat time.Time
	// restartTimes holds how long the latest restarts of other routers kept these from taking
	// callers.
	restartTimes []time.Duration
}

// New returns a State without other routers. self is this router's record.
func New(s Settings, self Record) *State {
	return &State{
		settings: s, self: self, selfKey: keyOf(self), selfRank: rank(self.ID), members: map[string]*Member{}, byKey: map[MemberKey]*Member{},
		missing: map[MemberKey]missingRecord{}, requested: map[MemberKey]time.Time{}, wanted: map[string][]MemberKey{},
		introducedAt: map[string]time.Time{}, liveness: map[string]sentLiveness{}, requestedLiveness: map[string]time.Time{},
		incomplete: map[string]bool{}, lastSent: self, zoneLoads: map[string]timedZoneLoad{}, maxFleet: 1,
	}
}

// Tick forgets the routers whose latest heartbeat is older than Settings.ForgetAfter, and lowers
// the result of FleetSize once no lost router is left.
func (s *State) Tick(now time.Time) {
	for id, m := range s.members {
		if now.Sub(m.SentAt) > s.settings.ForgetAfter {
			delete(s.members, id)
			delete(s.byKey, m.key)
		}
	}
	forgotten := func(at time.Time) bool { return now.Sub(at) > s.settings.ForgetAfter }
	maps.DeleteFunc(s.requested, func(_ MemberKey, at time.Time) bool { return forgotten(at) })
	maps.DeleteFunc(s.introducedAt, func(_ string, at time.Time) bool { return forgotten(at) })
	maps.DeleteFunc(s.requestedLiveness, func(_ string, at time.Time) bool { return forgotten(at) })
	if live := s.LiveCount(now) + 1; live < s.maxFleet && len(s.members) == live-1 {
		s.maxFleet = live
	}
}

// Members returns the other routers that are not lost, sorted by ID.
func (s *State) Members(now time.Time) []Member {
	var live []Member
	for _, m := range s.members {
		if s.live(now, m) {
			live = append(live, *m)
		}
	}
	slices.SortFunc(live, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return live
}

// LiveCount returns the number of other routers that are not lost.
func (s *State) LiveCount(now time.Time) int {
	n := 0
	for _, m := range s.members {
		if s.live(now, m) {
			n++
		}
	}
	return n
}

// live reports whether the member sent its latest record at most s.lostAfter() ago.
func (s *State) live(now time.Time, m *Member) bool { return now.Sub(m.SentAt) <= s.lostAfter() }

// FleetSize returns the number of routers that may share a fleet-wide limit, such as the connection
// limit of a backend server: this one and the others, including lost ones.
func (s *State) FleetSize() int { return max(s.maxFleet, len(s.members)+1) }

// LastStoreContact returns when the store last responded to any live router, as far as this router
// knows, and that router's ID, which is empty if only a hub has reported the time. own is the time
// of the last response to this router.
func (s *State) LastStoreContact(now, own time.Time) (at time.Time, id string) {
	at, id = own, s.self.ID
	if s.storeContact.After(at) {
		at, id = s.storeContact, ""
	}
	for _, m := range s.members {
		if s.live(now, m) && m.storeContactAt.After(at) {
			at, id = m.storeContactAt, m.ID
		}
	}
	return at, id
}

// MustWatchStore reports whether this router has to watch the store itself. That is the case if it
// is among the first routers by rank. It is also the case if this router reaches the store and is
// among the first by rank that do, or if no live router has had a response from the store for
// longer than s.maxContactAge(). own is the time of the last response to this router, started is
// the time at which this router started, and lost is true if the store did not respond to this
// router's latest call.
func (s *State) MustWatchStore(now, own, started time.Time, lost bool) bool {
	lowerRanked, reachingStore := 0, 0
	for _, m := range s.members {
		if !s.live(now, m) || m.rank >= s.selfRank {
			continue
		}
		lowerRanked++
		if !m.StoreLost {
			reachingStore++
		}
	}
	// The first by rank keep trying even if they cannot reach the store, so that the fleet notices
	// when it is available again.
	if !lost && reachingStore < s.watchers() || lowerRanked < s.watchers() {
		return true
	}
	lastContact, _ := s.LastStoreContact(now, own)
	overdueSince := lastContact.Add(s.maxContactAge())
	if lastContact.IsZero() {
		overdueSince = started
	}
	// The other routers start in batches, so that a store that becomes available again is not hit
	// by the whole fleet at once.
	return now.Sub(overdueSince) > time.Duration(lowerRanked/retryBatchSize)*retryBatchInterval
}

// Rank returns the number of live routers that precede this one in an order that is the same on all
// routers.
func (s *State) Rank(now time.Time) int {
	n := 0
	for _, m := range s.members {
		if s.live(now, m) && m.rank < s.selfRank {
			n++
		}
	}
	return n
}

// watchers returns the number of routers that watch the store. It is higher by one in a fleet with
// hubs, where a fault that isolates part of the fleet is more likely to hit two given routers.
func (s *State) watchers() int {
	if s.UsesHubs() {
		return s.settings.StoreWatchers + 1
	}
	return s.settings.StoreWatchers
}

// retryBatchSize is the number of routers that start to call an unresponsive store at the same
// time. The next batch follows after retryBatchInterval.
const (
	retryBatchSize     = 8
	retryBatchInterval = 300 * time.Millisecond
)

// rank returns a hash that orders the routers. The order is the same on every router and unrelated
// to the machines' names.
func rank(id string) uint64 { return xxhash.Sum64String(id) }

// UpdateSources returns a live member that has a newer version of the configuration than config,
// and a live member that has a newer revision of the list of backend servers than servers. The ID
// of a returned member is empty if there is no such member. Members in this router's availability
// zone are preferred, so that a few routers do not have to serve the whole fleet.
func (s *State) UpdateSources(now time.Time, config int64, servers roster.Revision) (forConfig, forServers Member) {
	prefer := func(m *Member, best Member) bool {
		return best.ID == "" || m.Zone == s.self.Zone && best.Zone != s.self.Zone
	}
	for _, m := range s.members {
		if !s.live(now, m) {
			continue
		}
		if m.Config > config && prefer(m, forConfig) {
			forConfig = *m
		}
		if m.Servers.After(servers) && prefer(m, forServers) {
			forServers = *m
		}
	}
	return forConfig, forServers
}

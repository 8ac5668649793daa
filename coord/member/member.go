// Package member implements a SWIM-style membership protocol for the router fleet: periodic pings,
// indirect probes, a suspicion timeout and incarnation numbers, with anti-entropy syncs.
package member

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Status is the state of a member as determined by one router. Of two reports with equal
// incarnations, the higher status supersedes the lower.
type Status uint8

// A member that fails changes from Alive to Suspect and then to Removed. A member that shuts down
// becomes Left.
const (
	// Alive members are not suspected to have failed.
	Alive Status = iota
	// Suspect members did not answer pings. They keep their engines, shards and roles until they
	// are removed.
	Suspect
	// Removed members stayed suspect for the whole suspicion timeout.
	Removed
	// Left members announced their shutdown. A member with this status changes it only if it
	// restarts with a new boot ID.
	Left
)

// String returns the status in lower case.
func (s Status) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Removed:
		return "removed"
	case Left:
		return "left"
	default:
		return fmt.Sprintf("status %d", uint8(s))
	}
}

// Live reports whether the member is alive or suspect.
func (s Status) Live() bool { return s == Alive || s == Suspect }

// Member describes a router to the other routers.
type Member struct {
	ID string
	// Boot is the boot ID: the start time of the process in Unix milliseconds. Of several processes
	// with the same ID or address, the one with the highest boot ID is the latest.
	Boot uint64
	// Address is ip:port. It is empty in reports that only change the status of a known member.
	Address string
	Zone    string
	Region  string
	// Caller is the ip:port at which the router serves callers. Like Address, it is empty in reports
	// that only change the status.
	Caller string
	// Incarnation orders the reports with the same boot ID. Only the member itself raises it.
	Incarnation uint32
	Status      Status
	// Leaving members finish their running requests. They own no engines or shards and have no
	// roles.
	Leaving bool
	// Damped members left and returned too often. They own no engines or shards and have no roles
	// until they have been stable for a while. Each router decides this by itself; the value is
	// never sent.
	Damped bool
}

// Eligible reports whether the member may own engines and shards of the claim log, and have roles.
func (m Member) Eligible() bool { return m.Status.Live() && !m.Leaving && !m.Damped }

// Instance is an entry of the instance list of the platform, which may be out of date.
type Instance struct {
	Address string
	// Leaving instances are not contacted.
	Leaving bool
}

// Config holds the settings of the protocol. New replaces zero values by the defaults.
type Config struct {
	// Self describes this router. ID, Boot, Address, Zone and Region are required.
	Self Member
	// Period is the interval at which the router pings a member.
	Period time.Duration
	// PingTimeout is the timeout of a direct ping, after which the router requests other members to
	// probe the target. It must be less than half a Period.
	PingTimeout time.Duration
	// SuspicionTimeout is the time for which a member is suspect, and can refute that, before it is
	// removed.
	SuspicionTimeout time.Duration
	// IsolationTimeout is the time without any message from a peer after which the router assumes
	// that it is isolated itself.
	IsolationTimeout time.Duration
	// PauseThreshold is the time without any event after which the process is assumed to have been
	// paused and its view to be out of date. It must be more than the tick interval.
	PauseThreshold time.Duration
	// RemovedRetention is how long removed members are retained, so that regions can reconnect
	// after a network partition.
	RemovedRetention time.Duration
	// IndirectProbes is the number of members that the router requests to probe a member that did
	// not answer.
	IndirectProbes int
	// Uniform makes the router ping all members in turn, in random order. If it is false, the
	// router pings only the members at distances 1, 2, 4 and so on in the order of hashed IDs, apart
	// from one in RandomPingEvery pings, which goes to a random member. Connections to the members
	// at these distances can stay open: a TLS handshake costs more bytes than 10 pings.
	Uniform bool
	// RandomPingEvery is the number of pings of which, on average, one goes to a random member.
	// Unused if Uniform is true.
	RandomPingEvery int
}

// New replaces zero fields of Config by these defaults.
const (
	DefaultPeriod           = time.Second
	DefaultPingTimeout      = 400 * time.Millisecond
	DefaultSuspicionTimeout = 5 * time.Second
	DefaultIsolationTimeout = 5 * time.Second
	DefaultPauseThreshold   = 3 * time.Second
	// DefaultRemovedRetention is twice the duration of the longest partition between regions that
	// the fleet must recover from. That duration is one hour.
	DefaultRemovedRetention = 2 * time.Hour
	DefaultIndirectProbes   = 3
	DefaultRandomPingEvery  = 16
)

const (
	// MaxUpdates is the maximum number of updates in one message.
	MaxUpdates = 8
	// bucketCount is the number of buckets into which members are hashed. A sync compares one
	// digest per bucket.
	bucketCount = 32
	// syncInterval is the minimum time between two syncs that a router starts. During the first
	// joinDuration after its start, joinSyncInterval applies instead.
	syncInterval     = 5 * time.Second
	joinSyncInterval = time.Second
	joinDuration     = 30 * time.Second
	// maxSyncsPerSecond limits the syncs that a router answers, because many routers may start at
	// the same time.
	maxSyncsPerSecond = 8
	// reconnectInterval is the time between two attempts to reach a router that was removed or is
	// only in the instance list.
	reconnectInterval = 10 * time.Second
	// maxChecksPerPeriod limits the extra pings per period to members that may have failed.
	maxChecksPerPeriod = 2
	// If an availability zone has at least zoneCheckSuspects suspect members, its other members are
	// checked too. zoneCheckInterval is the minimum time between two such checks of a zone.
	zoneCheckSuspects = 3
	zoneCheckInterval = 30 * time.Second
	// maxEarlyPings limits the extra pings in a period that are sent after a failed ping or to
	// spread many updates. When many members fail at once, one ping a second detects them too
	// slowly.
	maxEarlyPings = 3
	// expireInterval is the time between two searches for members whose suspicion, damping or
	// retention has ended.
	expireInterval = 250 * time.Millisecond
	// instanceListMaxAge is the age up to which the last read of the instance list shows that the
	// platform is reachable. Only then does a missing address count as an instance that is gone.
	instanceListMaxAge = 15 * time.Second
)

func (c Config) withDefaults() Config {
	setDefault(&c.Period, DefaultPeriod)
	setDefault(&c.PingTimeout, DefaultPingTimeout)
	setDefault(&c.SuspicionTimeout, DefaultSuspicionTimeout)
	setDefault(&c.IsolationTimeout, DefaultIsolationTimeout)
	setDefault(&c.PauseThreshold, DefaultPauseThreshold)
	setDefault(&c.RemovedRetention, DefaultRemovedRetention)
	if c.IndirectProbes == 0 {
		c.IndirectProbes = DefaultIndirectProbes
	}
	if c.RandomPingEvery == 0 {
		c.RandomPingEvery = DefaultRandomPingEvery
	}
	c.Self.Status = Alive
	c.Self.Damped = false
	return c
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// View is an immutable snapshot of the membership.
type View struct {
	// Version increases with each change.
	Version uint64
	Self    Member
	// Members holds the live members and the router itself, sorted by ID.
	Members []Member
	// Trusted is false while the view may be out of date, as after a pause of the process, and while
	// the router may be isolated. The router must then not act as owner.
	Trusted bool
	// Digest is a hash of the live members, equal on routers that agree on them.
	Digest uint64
}

// Find returns the live member with the given ID.
func (v *View) Find(id string) (Member, bool) {
	i, ok := slices.BinarySearchFunc(v.Members, id, func(m Member, id string) int { return strings.Compare(m.ID, id) })
	if !ok {
		return Member{}, false
	}
	return v.Members[i], true
}

// entry is the local record of another member.
type entry struct {
	Member
	// statusSince is when this router set the status.
	statusSince time.Time
	// penalty counts how often the member returned or restarted, as of penalizedAt. It decays by
	// half every dampHalfLife.
	penalty     float64
	penalizedAt time.Time
}

// State is the membership as determined by one router. It is not safe for concurrent use.
type State struct {
	cfg   Config
	rnd   *rand.Rand
	self  Member
	start time.Time

	// members holds all known members except the router itself, including removed ones. list holds
	// the same members sorted by ID.
	members map[string]*entry
	list    []*entry
	// needsExpiry is false if the last search by expire found only members that are alive and not
	// damped, and no member has changed since.
	needsExpiry bool
	instances   []Instance

	queue        queue
	pendingPings []*pendingPing
	pingTargets  []string
	// checks holds live members that may have failed and are to be pinged soon. failedChecks is the
	// number of consecutive failed checks in each availability zone. zoneCheckedAt is when a check
	// of all members of a zone was last started.
	checks        []pendingCheck
	failedChecks  map[string]int
	zoneCheckedAt map[string]time.Time
	lastSeq       uint64
	// earlyPings is the number of extra pings sent in the current period; see maxEarlyPings.
	earlyPings int

	// lastEvent is when the last event was handled.
	lastEvent       time.Time
	nextPing        time.Time
	nextReconnect   time.Time
	nextExpire      time.Time
	nextSync        time.Time
	lastHeard       time.Time
	instancesReadAt time.Time
	// resumedAt is when the process started or its last pause ended. upToDate is reset by a pause.
	// It is set when a sync completes, or when a peer answers a ping sent after resumedAt with an
	// equal digest.
	resumedAt time.Time
	upToDate  bool

	syncRequests    int
	syncWindowStart time.Time

	// cachedDigests holds the bucket digests, nil after a change. The slice is never modified once
	// computed.
	cachedDigests []uint32
	viewChanged   bool
	version       uint64
	view          *View
}

// New returns the state of a router that starts at now. The first ping is delayed by a random time
// of up to a Period, so that routers that start together do not ping at the same time.
func New(cfg Config, now time.Time, rnd *rand.Rand) *State {
	cfg = cfg.withDefaults()
	s := &State{
		cfg:     cfg,
		rnd:     rnd,
		self:    cfg.Self,
		start:   now,
		members: map[string]*entry{},

		failedChecks: map[string]int{}, zoneCheckedAt: map[string]time.Time{},
		lastEvent:   now,
		resumedAt:   now,
		viewChanged: true,
	}
	s.nextPing = now.Add(s.jitter(cfg.Period))
	s.nextReconnect = s.nextPing
	s.nextSync = now
	return s
}

// View returns the current snapshot. It returns the same pointer until the state changes.
func (s *State) View(now time.Time) *View {
	s.checkPause(now)
	trusted := s.trusted(now)
	if !s.viewChanged && s.view != nil && s.view.Trusted == trusted {
		return s.view
	}
	s.version++
	s.viewChanged = false
	live := make([]Member, 0, len(s.list)+1)
	live = append(live, s.self)
	for _, e := range s.list {
		if e.Status.Live() {
			live = append(live, e.Member)
		}
	}
	slices.SortFunc(live, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	s.view = &View{Version: s.version, Self: s.self, Members: live, Trusted: trusted, Digest: s.digest()}
	return s.view
}

// trusted reports whether the view is recent enough for the router to act as owner. A router
// without live peers is not trusted while the instance list contains other instances, because the
// router itself may be the one that is isolated. After a pause, the list must have been read again,
// unless the view is up to date or the list was never read.
func (s *State) trusted(now time.Time) bool {
	if s.noLivePeers() {
		return s.countOtherInstances() == 0 && (s.upToDate || s.instancesReadAt.After(s.resumedAt) || s.instancesReadAt.IsZero())
	}
	return s.upToDate && s.connected(now)
}

// connected reports whether the router has received messages recently. If so, a member that does
// not answer is considered to have failed, rather than the network connection of this router.
func (s *State) connected(now time.Time) bool { return now.Sub(s.lastHeard) < s.cfg.IsolationTimeout }

// delisted reports whether the instance list was read recently and does not contain the address.
func (s *State) delisted(now time.Time, address string) bool {
	if s.instancesReadAt.IsZero() || now.Sub(s.instancesReadAt) >= instanceListMaxAge {
		return false
	}
	return !slices.ContainsFunc(s.instances, func(i Instance) bool { return i.Address == address })
}

// recordMessage records the arrival of a message from a peer. If none arrived for more than half of
// the IsolationTimeout, the suspicion timeouts restart, so that members that became suspect in the
// meantime can refute it.
func (s *State) recordMessage(now time.Time) {
	if now.Sub(s.lastHeard) > s.cfg.IsolationTimeout/2 {
		s.restartSuspicionTimeouts(now)
	}
	s.lastHeard = now
}

func (s *State) restartSuspicionTimeouts(now time.Time) {
	for _, e := range s.list {
		if e.Status == Suspect {
			e.statusSince = now
		}
	}
}

func (s *State) noLivePeers() bool {
	for _, e := range s.list {
		if e.Status.Live() {
			return false
		}
	}
	return true
}

func (s *State) countOtherInstances() int {
	others := 0
	for _, i := range s.instances {
		if i.Address != s.self.Address && !i.Leaving {
			others++
		}
	}
	return others
}

// UpdateInstances processes a read of the instance list. The list may be out of date, so it never
// removes a member by itself. It provides addresses to contact, and it tells an isolated router
// which of the members that do not answer are gone.
func (s *State) UpdateInstances(now time.Time, list []Instance) {
	s.checkPause(now)
	s.instances = slices.Clone(list)
	s.instancesReadAt = now
}

// Leave marks the router as leaving and announces this to the others. The router is not eligible as
// an owner from now on.
func (s *State) Leave() {
	if s.self.Leaving {
		return
	}
	s.self.Leaving = true
	s.self.Incarnation++
	s.announceSelf()
}

// Stop marks the router as left and returns the messages that announce this to up to IndirectProbes
// members.
func (s *State) Stop(now time.Time) []Action {
	s.self.Leaving = true
	s.self.Incarnation++
	s.self.Status = Left
	s.announceSelf()
	var out []Action
	for _, id := range s.randomMembers(s.cfg.IndirectProbes, "") {
		out = append(out, Action{Kind: SendPing, To: s.members[id].Member, Ping: s.ping(now, s.members[id].Member)})
	}
	return out
}

func (s *State) announceSelf() {
	s.queue.put(s.self)
	s.markChanged()
}

func (s *State) jitter(limit time.Duration) time.Duration {
	return time.Duration(s.rnd.Int64N(int64(limit)))
}

// Package member keeps the membership of the router fleet by random pings, indirect probes, suspicion and incarnations.
package member

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Status says what a router believes about a member. A higher status wins at equal incarnation.
type Status uint8

// The statuses of a member.
const (
	Alive Status = iota
	// Suspect members did not answer; they keep their ownership until they are removed.
	Suspect
	// Removed members stayed suspect for the suspicion time.
	Removed
	// Left members said that they stopped. Final for their boot id.
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

// Live is true for members that take part in the fleet.
func (s Status) Live() bool { return s == Alive || s == Suspect }

// Member is a router as the others know it.
type Member struct {
	ID string
	// Boot orders the processes that used the same ID or address. It is the start time of the process in milliseconds.
	Boot uint64
	// Address is ip:port; empty in reports that only change the status of a known member.
	Address string
	Zone    string
	Region  string
	// Caller is the address for callers, as ip:port. It is exchanged like Address.
	Caller string
	// Incarnation orders the reports about one boot. Only the member itself raises it.
	Incarnation uint32
	Status      Status
	// Leaving members serve what they have and own nothing.
	Leaving bool
	// Damped members came and went too often and own nothing until they have been steady. Local, never exchanged.
	Damped bool
}

// Eligible is true for members that may own engines, claim shards and roles.
func (m Member) Eligible() bool { return m.Status.Live() && !m.Leaving && !m.Damped }

// Instance is an entry of the lagging instance list.
type Instance struct {
	Address string
	// Leaving instances are not contacted.
	Leaving bool
}

// Config holds the settings of the protocol. New fills zero values with the defaults.
type Config struct {
	// Self needs ID, Boot, Address, Zone and Region.
	Self Member
	// Period is the time between two pings of a member.
	Period time.Duration
	// Direct is how long a ping may take before others are asked to probe. Less than half a Period.
	Direct time.Duration
	// Suspicion is the time in which a suspect member can refute.
	Suspicion time.Duration
	// Isolation is the time without any message after which the router takes itself for cut off.
	Isolation time.Duration
	// Gap is the pause between two ticks after which the own view is out of date. More than the tick interval.
	Gap time.Duration
	// Keep is how long removed members are remembered, so that parted regions find each other again.
	Keep time.Duration
	// Indirect is the number of members that are asked to probe a silent one.
	Indirect int
	// Uniform makes each ping go to any member. When false, pings go to the members at distances 1, 2, 4 and so on in the
	// order of hashed IDs, and one in Wander to any member. Few peers make persistent connections possible: a TLS handshake
	// costs more bytes than 10 pings.
	Uniform bool
	// Wander is the number of pings of which one goes to any member.
	Wander int
}

// Defaults of Config.
const (
	DefaultPeriod    = time.Second
	DefaultDirect    = 400 * time.Millisecond
	DefaultSuspicion = 5 * time.Second
	DefaultIsolation = 5 * time.Second
	DefaultGap       = 3 * time.Second
	// DefaultKeep is twice the hour for which regions part.
	DefaultKeep     = 2 * time.Hour
	DefaultIndirect = 3
	DefaultWander   = 16
)

const (
	// MaxUpdates bounds the updates in one message.
	MaxUpdates = 8
	// buckets is the number of parts of the membership whose digests a sync compares.
	buckets = 32
	// syncEvery is the least time between two syncs that a router starts; joinEvery holds for the first joinTime.
	syncEvery = 5 * time.Second
	joinEvery = time.Second
	joinTime  = 30 * time.Second
	// servedLimit bounds the syncs that a router answers in one second, against a herd of starting routers.
	servedLimit = 8
	// contactEvery is the time between two attempts to reach a removed or listed router.
	contactEvery = 10 * time.Second
	// doubtsLimit bounds the extra pings per period that check reports of a removal.
	doubtsLimit = 2
	// alarmLimit is the number of suspect members of an availability zone at which its other members are doubted; alarmEvery is
	// the least time between two such alarms.
	alarmLimit = 3
	alarmEvery = 30 * time.Second
	// burstLimit bounds the pings in a period that go out early, after a failed ping or to spread much news: when many
	// members are lost at once, one ping a second finds them too slowly.
	burstLimit = 3
	// expireEvery is the time between two looks for members whose time is up.
	expireEvery = 250 * time.Millisecond
	// listFresh is the age up to which a read of the instance list shows that the platform is reachable.
	listFresh = 15 * time.Second
)

func (c Config) withDefaults() Config {
	setDuration(&c.Period, DefaultPeriod)
	setDuration(&c.Direct, DefaultDirect)
	setDuration(&c.Suspicion, DefaultSuspicion)
	setDuration(&c.Isolation, DefaultIsolation)
	setDuration(&c.Gap, DefaultGap)
	setDuration(&c.Keep, DefaultKeep)
	if c.Indirect == 0 {
		c.Indirect = DefaultIndirect
	}
	if c.Wander == 0 {
		c.Wander = DefaultWander
	}
	c.Self.Status = Alive
	c.Self.Damped = false
	return c
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// View is an immutable snapshot of the membership.
type View struct {
	// Version grows with each change.
	Version uint64
	Self    Member
	// Members holds the live members and the router itself, sorted by ID.
	Members []Member
	// Trusted is false after a pause of the process and while no peer is heard: the router then must not rely on its ownership.
	Trusted bool
	// Digest is equal on routers with equal live members.
	Digest uint64
}

// Find returns the live member with an ID.
func (v *View) Find(id string) (Member, bool) {
	i, ok := slices.BinarySearchFunc(v.Members, id, func(m Member, id string) int { return strings.Compare(m.ID, id) })
	if !ok {
		return Member{}, false
	}
	return v.Members[i], true
}

// entry is what a router holds about another member.
type entry struct {
	Member
	// since is when the status was set here.
	since time.Time
	// penalty counts returns, halved every dampHalf, as of penalized.
	penalty   float64
	penalized time.Time
}

// State is the membership as one router sees it. It is not safe for concurrent use.
type State struct {
	cfg   Config
	rnd   *rand.Rand
	self  Member
	start time.Time

	// members holds every known member but the router itself, removed ones included; list holds the same, sorted by ID.
	members map[string]*entry
	list    []*entry
	// unsteady is false while every member is alive and undamped.
	unsteady bool
	listed   []Instance

	queue   queue
	pings   []*flight
	targets []string
	// doubts holds live members to be pinged soon; confirmed counts, for each availability zone, those that proved right since
	// one proved wrong; alarmed holds when all members of a zone were last doubted.
	doubts    []doubt
	confirmed map[string]int
	alarmed   map[string]time.Time
	sent      uint64
	burst     int

	// entered is when the last event was handled.
	entered     time.Time
	nextPing    time.Time
	nextContact time.Time
	nextExpire  time.Time
	nextSync    time.Time
	heard       time.Time
	read        time.Time
	// resumed is when the last pause ended; fresh is set once a peer answered a ping that was sent after it.
	resumed time.Time
	fresh   bool

	served      int
	servedStart time.Time

	// sums caches the bucket digests; nil after a change. Never modified once computed.
	sums    []uint32
	changed bool
	version uint64
	view    *View
}

// New returns the state of a router that starts at now. The first ping is delayed by up to a Period, so that routers that
// start together spread out.
func New(cfg Config, now time.Time, rnd *rand.Rand) *State {
	cfg = cfg.withDefaults()
	s := &State{
		cfg:     cfg,
		rnd:     rnd,
		self:    cfg.Self,
		start:   now,
		members: map[string]*entry{},

		confirmed: map[string]int{}, alarmed: map[string]time.Time{},
		entered: now,
		resumed: now,
		changed: true,
	}
	s.nextPing = now.Add(s.jitter(cfg.Period))
	s.nextContact = s.nextPing
	s.nextSync = now
	return s
}

// View returns the current snapshot. Reads of an unchanged state return the same value.
func (s *State) View(now time.Time) *View {
	s.enter(now)
	trusted := s.trusted(now)
	if !s.changed && s.view != nil && s.view.Trusted == trusted {
		return s.view
	}
	s.version++
	s.changed = false
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

// trusted says whether the view is recent enough to rely on ownership. A router that lost all others is trusted only once
// the instance list has dropped them: otherwise it may be the router that is cut off.
func (s *State) trusted(now time.Time) bool {
	if s.alone() {
		return s.listedOthers() == 0 && (s.fresh || s.read.After(s.resumed) || s.read.IsZero())
	}
	return s.fresh && s.connected(now)
}

// connected says whether silence of a member can be blamed on the member instead of the router itself.
func (s *State) connected(now time.Time) bool { return now.Sub(s.heard) < s.cfg.Isolation }

// delisted is true if a recent read of the instance list lacks an address.
func (s *State) delisted(now time.Time, address string) bool {
	if s.read.IsZero() || now.Sub(s.read) >= listFresh {
		return false
	}
	return !slices.ContainsFunc(s.listed, func(i Instance) bool { return i.Address == address })
}

// hear notes a message from a peer. After a silence, members get the time to refute what was concluded in it.
func (s *State) hear(now time.Time) {
	if now.Sub(s.heard) > s.cfg.Isolation/2 {
		s.resuspect(now)
	}
	s.heard = now
}

func (s *State) resuspect(now time.Time) {
	for _, e := range s.list {
		if e.Status == Suspect {
			e.since = now
		}
	}
}

func (s *State) alone() bool {
	for _, e := range s.list {
		if e.Status.Live() {
			return false
		}
	}
	return true
}

func (s *State) listedOthers() int {
	others := 0
	for _, i := range s.listed {
		if i.Address != s.self.Address && !i.Leaving {
			others++
		}
	}
	return others
}

// Listed takes a read of the instance list. The list lags: it names routers to contact and never removes a member.
func (s *State) Listed(now time.Time, list []Instance) {
	s.enter(now)
	s.listed = slices.Clone(list)
	s.read = now
}

// Leave marks the router as leaving: it owns nothing from now on and is told to the others.
func (s *State) Leave() {
	if s.self.Leaving {
		return
	}
	s.self.Leaving = true
	s.self.Incarnation++
	s.announceSelf()
}

// Stop returns the last messages of a router that stops, by which up to Indirect members learn that it left.
func (s *State) Stop(now time.Time) []Action {
	s.self.Leaving = true
	s.self.Incarnation++
	s.self.Status = Left
	s.announceSelf()
	var out []Action
	for _, id := range s.pick(s.cfg.Indirect, "") {
		out = append(out, Action{Kind: SendPing, To: s.members[id].Member, Ping: s.ping(now, s.members[id].Member)})
	}
	return out
}

func (s *State) announceSelf() {
	s.queue.put(s.self)
	s.mark()
}

func (s *State) jitter(limit time.Duration) time.Duration {
	return time.Duration(s.rnd.Int64N(int64(limit)))
}

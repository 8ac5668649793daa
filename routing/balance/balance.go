// Package balance chooses the backend server for one request when every router sees only a part of
// the traffic.
//
// Requests that share a prompt prefix go to the same server, chosen by rendezvous hashing, so that
// they hit its prefix cache. The load of a server is limited to a multiple of the mean load of its
// service. Load is the number of the router's own requests in progress plus those that the other
// routers report. Requests without a prompt go to the least loaded server.
package balance

import (
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hornbeamstep.example/routing/roster"
)

// Reason says why a server was chosen for a request, or why none was.
type Reason string

// Requests with a prompt get Home or Spilled, and other requests LeastLoad, unless no server is
// chosen.
const (
	// Home means the first server in the rendezvous order of the request's prompt, among the
	// servers that may take the request.
	Home Reason = "home"
	// Spilled means another of these servers, because the first one is at its load limit.
	Spilled Reason = "spilled"
	// LeastLoad means a server with little load. It need not be the one with the least load if
	// requests are shorter than the age of the load reports; see chooseWeighted.
	LeastLoad Reason = "least_load"
	// NoServer means that the service has no server that can take the request.
	NoServer Reason = "no_server"
	// Full means that the request was rejected because the service is overloaded or could not
	// respond before the deadline.
	Full Reason = "full"
	// Limited means that the servers which could take the request are at the rate limits that they
	// state, or are brittle and have no free slot.
	Limited Reason = "limited"
)

// RateLimits says which servers state a rate limit, and when they take further requests.
type RateLimits interface {
	// Limit returns the number of requests per second that a server takes from all routers
	// together; limited is false if it states no limit.
	Limit(server string) (perSecond float64, limited bool)
	// IsCold reports whether the limit of a server is what it withstands while it is cold. Most cold
	// servers get fewer requests than that.
	IsCold(server string) bool
	// NeedsSlot reports whether a server is brittle, so that a request needs one of its slots.
	NeedsSlot(server string) bool
	// Wait returns the time after which a limited or brittle server may take a request of a priority.
	Wait(now time.Time, server string, priority int) time.Duration
}

// noRateLimits is used if Balancer.RateLimits is not set.
type noRateLimits struct{}

// Limit implements RateLimits.
func (noRateLimits) Limit(string) (float64, bool) { return 0, false }

// IsCold implements RateLimits.
func (noRateLimits) IsCold(string) bool { return false }

// NeedsSlot implements RateLimits.
func (noRateLimits) NeedsSlot(string) bool { return false }

// Wait implements RateLimits.
func (noRateLimits) Wait(time.Time, string, int) time.Duration { return 0 }

// Settings are the thresholds of a Balancer.
type Settings struct {
	// LoadFactor is the maximum load of a server as a multiple of the mean load of its service.
	// LoadAllowance is added to that, in requests.
	LoadFactor, LoadAllowance float64
	// InitialPause is how long a server that could not be reached gets no requests. It doubles with
	// each further pause, up to MaxPause.
	InitialPause, MaxPause time.Duration
	// MaxConsecutiveFailures is the number of consecutive requests without a response after which a
	// server is paused.
	MaxConsecutiveFailures int
	// FailureSamples is the number of outcomes over which the failure rate of a server is averaged.
	FailureSamples float64
	// MaxAvoidedShare is the maximum share of the servers of a service that are avoided because of
	// failures.
	MaxAvoidedShare float64
	// WarmUp is the time after joining during which the prefix cache of a server may lack the
	// shared prefixes of its prompts.
	WarmUp time.Duration
	// ZonePreference is the number of requests by which the load of a server in the router's
	// availability zone may exceed that of the least loaded server.
	ZonePreference float64
}

// DefaultSettings returns the default settings. The load limit is lower than the platform's limit
// of 2 times the mean plus 3, because the reports of the other routers are a fraction of a second
// old.
func DefaultSettings() Settings {
	return Settings{
		LoadFactor: 1.6, LoadAllowance: 3, InitialPause: 500 * time.Millisecond, MaxPause: 4 * time.Second,
		MaxConsecutiveFailures: 3, FailureSamples: 8, MaxAvoidedShare: 0.5, WarmUp: 30 * time.Second, ZonePreference: 1,
	}
}

// Request is a request that needs a server.
type Request struct {
	Service string
	// Version is the only software version whose servers may be chosen; empty allows all.
	Version string
	// OnlyRecorded excludes servers whose version is unrecorded, for a stream that a client may resume.
	OnlyRecorded bool
	// Zone is the availability zone of the router.
	Zone string
	// AllowsZone reports whether the request may be processed in an availability zone; nil allows
	// all.
	AllowsZone func(zone string) bool
	// PrefixHashes holds the hashes of the prompt prefixes that other requests may share, as
	// returned by the function PrefixHashes: the longest first, which determines the home server.
	PrefixHashes []uint64
	// Draw is a random number in [0,1).
	Draw float64
	// Avoid holds the IDs of the servers that were already tried.
	Avoid []string
	// TimeLeft is the time until the request's deadline; 0 if it has none.
	TimeLeft time.Duration
	// LatencyTarget is the time within which the response should start; 0 if there is none.
	LatencyTarget time.Duration
	// Priority is lower for more urgent requests, which servers start first.
	Priority int
	// Account is the client account.
	Account string
	// Slots is the number of slots assumed for servers that registered fewer; 0 keeps the
	// registered number.
	Slots int
	// Cost is proportional to the time that the request is expected to occupy a slot; 0 if unknown.
	Cost float64
	// MaxLimitWait is how long the request may wait for a server that is at its rate limit.
	MaxLimitWait time.Duration
	// AvoidLimited is true if no server that states a rate limit may be chosen.
	AvoidLimited bool
	// IsRepeated is true if a server was chosen before for the same attempt, but turned out to be
	// at its rate limit. The request is not counted again.
	IsRepeated bool
}

// Choice is the server chosen for a request, with the values that determined the choice.
type Choice struct {
	// Server is empty if Reason is NoServer or Full.
	Server roster.Server
	// Holder is a server that most likely has the shared prefix of the prompt in its cache while
	// Server does not; empty if there is none.
	Holder roster.Server
	Reason Reason
	// Load is the number of requests at the server without this one, and Mean the mean of this
	// number over the servers of the service, or over those without a rate limit if that is higher.
	Load int
	Mean float64
	// Priority is Request.Priority. It is one higher, which is less urgent, for the first attempt
	// of a request whose client account surges while the service is busy.
	Priority int
	// Candidates is the number of servers that could take the request.
	Candidates int
	// Wait is the expected time until the server starts the request. If Reason is Full, it is the
	// wait that a retry should allow for, see RetryAfterSeconds; if no server is a candidate, it is
	// the time until the first server wants requests again. If Reason is Limited, it is the time
	// until the first server may take a request.
	Wait time.Duration
	// IsBrittle is true if the router takes the chosen server for brittle.
	IsBrittle bool
	// IsLimited is true if the chosen server states a rate limit or is brittle, so that the request
	// needs a permit.
	IsLimited bool
	// LimitSum is the sum of the rate limits of the servers of the service, in requests per second.
	// It is set if Reason is Limited.
	LimitSum float64
}

// entry is a server with its load and health as seen by this router.
type entry struct {
	roster.Server
	seed uint64
	// joinedAt is when the server joined; zero if the router knew no servers before, in which case
	// the server may be older than the router.
	joinedAt time.Time
	// own is the number of requests in progress from this router, and others that from all other
	// routers. averageLoad is a moving average of their sum.
	own, others int
	averageLoad float64
	// sendRate is the rate of this router's requests to the server.
	sendRate rate
	// weight is the weight in the rendezvous order of prompts. It is multiplied by the cost of the
	// request if hasCostWeight is true; see updateWeights.
	weight        float64
	hasCostWeight bool
	// failureRate is the moving average of failures, from 0 to 1.
	failureRate float64
	// consecutiveFailures is the number of consecutive requests without a response, and pauseCount
	// the number of pauses since the last complete response.
	consecutiveFailures, pauseCount int
	// pausedUntil is the end of the pause in which the server gets no requests. lastTrial is when
	// the server was last chosen although its latest requests got no response. After a pause it
	// determines when the next trial request may be sent.
	pausedUntil, lastTrial time.Time
	// unreachableAt is when the server last accepted no connection. It may have restarted with another
	// software version since, which its entry does not state yet.
	unreachableAt time.Time
	// reportedUntil is the end of the pause caused by the reports of other routers.
	reportedUntil time.Time
	// refusedUntil is the end of the time for which the server wants no requests from this router.
	refusedUntil time.Time
	// announcedLeaving is when the server first told this router that it is leaving; zero if it did
	// not. toldLeaving is true if the server told this or another router. Unlike Server.Leaving, it
	// never becomes false again for the same process.
	announcedLeaving time.Time
	toldLeaving      bool
}

// incarnation identifies one process of a server. The cache is empty after a restart.
func (e *entry) incarnation() uint64 { return e.seed ^ uint64(e.Born) }

// isLeaving reports whether the server takes no new requests, according to the registry or to what
// it said itself.
func (e *entry) isLeaving() bool { return e.Leaving || e.toldLeaving }

func (e *entry) load() int { return e.own + e.others }

// pool holds the servers of one service.
type pool struct {
	entries []*entry
	// draining holds the servers that take no new requests but still have their caches.
	draining []*entry
	// meanDuration is the moving average of the time that a request takes if it does not wait for a
	// slot.
	meanDuration time.Duration
	// delays holds the delays until responses start, by priority.
	delays map[int]*delayStats
	// busy is true while most slots are in use.
	busy bool
	// demand is kept when the list of servers changes.
	demand *demand
}

// Balancer chooses servers. It is not safe for concurrent use.
type Balancer struct {
	// RateLimits may be set before first use; by default no server states a rate limit.
	RateLimits RateLimits

	settings Settings
	// routers is the number of routers that share the servers. At least 1.
	routers int
	// reportAge is the age of the load reports of the other routers.
	reportAge time.Duration
	// salt makes routers break ties and derive random numbers differently.
	salt        uint64
	servers     map[string]*entry
	pools       map[string]*pool
	promptIndex *promptIndex
	// accounts holds the rates of client accounts by name.
	accounts map[string]*accountRates
}

// New returns a balancer without servers for the router with the given ID.
func New(s Settings, routerID string) *Balancer {
	return &Balancer{RateLimits: noRateLimits{}, settings: s, routers: 1, salt: xxhash.Sum64String(routerID), promptIndex: newPromptIndex(), accounts: map[string]*accountRates{}, servers: map[string]*entry{}, pools: map[string]*pool{}}
}

// SetServers replaces the list of servers. The state of a server, except its requests in progress,
// is reset when the server restarts or when its address or service changes.
func (b *Balancer) SetServers(now time.Time, servers []roster.Server) {
	initial := len(b.servers) == 0
	next := make(map[string]*entry, len(servers))
	pools := map[string]*pool{}
	for _, s := range servers {
		e := b.servers[s.ID]
		if e == nil || e.Born != s.Born || e.Address != s.Address || e.Service != s.Service {
			own := 0
			if e != nil {
				own = e.own
			}
			e = &entry{seed: xxhash.Sum64String(s.ID), own: own, weight: 1}
			if !initial {
				e.joinedAt = now
			}
		}
		e.Server = s
		next[s.ID] = e
		p := pools[s.Service]
		if p == nil {
			p = &pool{delays: map[int]*delayStats{}, demand: &demand{}}
			if old := b.pools[s.Service]; old != nil {
				p.meanDuration, p.delays, p.demand = old.meanDuration, old.delays, old.demand
			}
			pools[s.Service] = p
		}
		if e.isLeaving() {
			p.draining = append(p.draining, e)
		} else {
			p.entries = append(p.entries, e)
		}
	}
	// Removed servers with requests in progress are retained, so that Finish can still count these
	// requests down and the number is right if a server returns.
	for id, e := range b.servers {
		if next[id] == nil && e.own > 0 {
			e.Leaving = true
			next[id] = e
		}
	}
	b.servers, b.pools = next, pools
}

// averageLoadWeight is the weight of the latest report in the moving average of a server's load,
// which covers the reports of a few seconds.
const averageLoadWeight = 0.1

// SetOtherLoads sets the requests in progress from the other routers by server ID, the number of
// routers including this one, and the age of the reports.
func (b *Balancer) SetOtherLoads(now time.Time, load map[string]int, routers int, age time.Duration) {
	b.routers, b.reportAge = max(1, routers), age
	for id, e := range b.servers {
		e.others = load[id]
		e.averageLoad += (float64(e.load()) - e.averageLoad) * averageLoadWeight
	}
	for _, p := range b.pools {
		p.demand.recordLoads(p.entries)
		b.updateWeights(now, p)
	}
}

// UpdateOtherLoads sets the requests in progress from the other routers by server ID, between two
// calls of SetOtherLoads.
func (b *Balancer) UpdateOtherLoads(load map[string]int) {
	for id, e := range b.servers {
		e.others = load[id]
	}
}

// Loads returns the requests in progress from all routers by server ID.
func (b *Balancer) Loads() map[string]int {
	loads := make(map[string]int, len(b.servers))
	for id, e := range b.servers {
		loads[id] = e.load()
	}
	return loads
}

// OwnLoads returns this router's requests in progress by server ID. Servers without requests are
// left out.
func (b *Balancer) OwnLoads() map[string]int {
	own := map[string]int{}
	for id, e := range b.servers {
		if e.own > 0 {
			own[id] = e.own
		}
	}
	return own
}

// Choose returns the server for a request. The caller must call Start when it sends the request.
func (b *Balancer) Choose(now time.Time, req Request) Choice {
	p := b.pools[req.Service]
	if p == nil || len(p.entries) == 0 {
		return Choice{Reason: NoServer}
	}
	if len(req.Avoid) == 0 && !req.IsRepeated {
		p.demand.count(now, req)
	}
	usable := b.usable(now, p, req)
	if len(usable) == 0 {
		return b.noneUsable(now, p, req)
	}
	c := Choice{Mean: b.meanLoad(p), Candidates: len(usable)}
	if len(req.Avoid) == 0 && !req.IsRepeated && b.recordAndCheckSurge(now, req.Account) && p.busy {
		req.Priority++
	}
	c.Priority = req.Priority
	var e *entry
	switch {
	case len(req.PrefixHashes) > 0:
		var holder *entry
		e, holder, c.Reason = b.chooseByAffinity(now, p, usable, req, c.Mean)
		if holder != nil {
			c.Holder = holder.Server
		}
	default:
		e, c.Reason = b.chooseByLoad(now, p, usable, req), LeastLoad
	}
	c.Load = e.load()
	c.Wait = p.expectedWait(e, req.Slots)
	c.IsLimited, c.IsBrittle = b.isLimited(e), b.RateLimits.NeedsSlot(e.ID)
	shed := b.shouldShed(now, p, req, c.Mean, c.Wait)
	switch {
	case c.IsLimited && c.Wait == 0:
		// Its rate limit or its slots keep the server from overload, whatever the load of the others.
		shed = false
	case b.hasLimited(p):
		// The delays at limited servers hide the queues of the others from shouldShed.
		shed = shed || req.LatencyTarget > 0 && c.Wait.Seconds() > targetQueueFraction*req.LatencyTarget.Seconds()
	}
	if shed || p.isTooLate(req, c.Wait) {
		c.Reason = Full
		return c
	}
	c.Server = e.Server
	b.rememberPrompt(req, e)
	if e.consecutiveFailures > 0 {
		e.lastTrial = now
	}
	return c
}

// meanLoad returns the mean load of the servers of a service, or that of the servers without a rate
// limit if it is higher: they get the requests that the others can't take.
func (b *Balancer) meanLoad(p *pool) float64 {
	unlimited := make([]*entry, 0, len(p.entries))
	for _, e := range p.entries {
		if !b.isLimited(e) {
			unlimited = append(unlimited, e)
		}
	}
	return max(meanLoadOf(p.entries), meanLoadOf(unlimited))
}

// open returns the servers of a service except those that are at their rate limit.
func (b *Balancer) open(now time.Time, p *pool, req Request) []*entry {
	out := make([]*entry, 0, len(p.entries))
	for _, e := range p.entries {
		if !b.isLimited(e) || b.takes(now, e, req) {
			out = append(out, e)
		}
	}
	return out
}

// meanLoadOf returns the mean load of servers, or 0 if there are none.
func meanLoadOf(entries []*entry) float64 {
	total := 0
	for _, e := range entries {
		total += e.load()
	}
	return float64(total) / float64(max(1, len(entries)))
}

// hasLimited reports whether a server of a service states a rate limit, apart from cold servers.
func (b *Balancer) hasLimited(p *pool) bool {
	return slices.ContainsFunc(p.entries, func(e *entry) bool {
		_, limited := b.RateLimits.Limit(e.ID)
		return limited && !b.RateLimits.IsCold(e.ID)
	})
}

// isLimited reports whether a server states a rate limit, is cold or is brittle.
func (b *Balancer) isLimited(e *entry) bool {
	_, limited := b.RateLimits.Limit(e.ID)
	return limited || b.RateLimits.NeedsSlot(e.ID)
}

// expectedWait returns the expected time until a server starts one more request.
func (p *pool) expectedWait(e *entry, slots int) time.Duration {
	slots = max(slots, e.Slots)
	ahead := e.load() + 1 - slots
	if slots == 0 || ahead <= 0 {
		return 0
	}
	return time.Duration(float64(p.meanDuration) * float64(ahead) / float64(slots))
}

// isTooLate reports whether a request most likely misses its deadline. One that need not wait and
// has time for its latency target is sent, because requests with a short deadline take less time
// than the mean over all requests of a service. Were they rejected, the mean would stay high.
func (p *pool) isTooLate(req Request, wait time.Duration) bool {
	if req.TimeLeft <= 0 || wait == 0 && req.LatencyTarget > 0 && req.TimeLeft >= req.LatencyTarget {
		return false
	}
	return wait+p.meanDuration > req.TimeLeft
}

// Start counts a request that is sent to a server. Finish must be called when it ends.
func (b *Balancer) Start(now time.Time, id string) {
	if e := b.servers[id]; e != nil {
		e.own++
		e.sendRate.count(now)
	}
}

// Server returns a server by its ID.
func (b *Balancer) Server(id string) (roster.Server, bool) {
	e := b.servers[id]
	if e == nil {
		return roster.Server{}, false
	}
	return e.Server, true
}

// deriveDraw returns a pseudo-random number in [0,1) derived from draw and seed.
func deriveDraw(draw float64, seed uint64) float64 {
	return float64(mix(math.Float64bits(draw)^seed)>>11) / (1 << 53)
}

// mix spreads the bits of x over the whole word. The constants are odd and have evenly spread bits:
// goldenRatio is derived from the golden ratio, and splitMix is from SplitMix64.
func mix(x uint64) uint64 {
	const goldenRatio, splitMix = 0x9E3779B97F4A7C15, 0xBF58476D1CE4E5B9
	hi, lo := bits.Mul64(x, goldenRatio)
	hi, lo = bits.Mul64(hi^lo^splitMix, goldenRatio)
	return hi ^ lo
}

// RetryAfterSeconds returns the time in seconds after which a rejected caller should retry: the
// expected wait, or the time for which the servers want no requests, but at least the shortest time
// in which the load of a service changes.
func (c Choice) RetryAfterSeconds() float64 {
	const minSeconds = 0.25
	return max(minSeconds, c.Wait.Seconds())
}

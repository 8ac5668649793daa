// Package balance chooses the backend server for one request when every router sees only a part of the traffic.
//
// Requests that share the beginning of their prompt go to the same server, found by rendezvous hashing, so that its prefix cache
// serves them. No server is given more than a multiple of the mean load of its service; the load is the router's own requests
// plus those that the other routers report. Requests without a prompt go to the least loaded server.
package balance

import (
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hornbeamstep.example/routing/roster"
)

// Reason says why a server was chosen, or why none was.
type Reason string

// The reasons of a choice.
const (
	// Home is the first server in the order of the request's prompt.
	Home Reason = "home"
	// Spilled is a later one, because those before are at the load bound.
	Spilled Reason = "spilled"
	// Least is the least loaded server.
	Least Reason = "least_load"
	// Nothing means that the service has no server to which the request could go.
	Nothing Reason = "no_server"
	// Full means that the answer could not be ready in time.
	Full Reason = "full"
)

// Settings are the thresholds of a Balancer.
type Settings struct {
	// Bound is the greatest load of an engine as a multiple of the mean of its service, and Allowance is added to it, in
	// requests.
	Bound, Allowance float64
	// Pause is the first time for which a server that could not be reached gets no requests. It doubles up to PauseMost.
	Pause, PauseMost time.Duration
	// Strikes is the number of requests in a row that end without an answer after which a server is paused.
	Strikes int
	// Memory is the number of outcomes over which failures of a server are averaged.
	Memory float64
	// Ejected is the greatest share of a service's servers that are avoided because of their failures.
	Ejected float64
	// Young is the time after its start during which a server may lack what the prompts of its requests share.
	Young time.Duration
	// Near is the number of requests by which a server of the own availability zone may exceed the least loaded one.
	Near float64
}

// DefaultSettings returns the default settings. The bound stays below the limit of 2 times the mean plus 3 that the platform
// sets, because the reports of the other routers are a fraction of a second old.
func DefaultSettings() Settings {
	return Settings{
		Bound: 1.6, Allowance: 3, Pause: 500 * time.Millisecond, PauseMost: 4 * time.Second, Strikes: 3, Memory: 8,
		Ejected: 0.5, Young: 30 * time.Second, Near: 1,
	}
}

// Ask is a request that needs a server.
type Ask struct {
	Service string
	// Zone is the availability zone of the router.
	Zone string
	// Prompt identifies the beginnings of the prompt that it shares with others, the longest first; see Prompt. The longest
	// decides the home.
	Prompt []uint64
	// Draw is a random number in [0,1).
	Draw float64
	// Avoid holds the servers that were tried before.
	Avoid []string
	// Left is the time until the request's deadline; 0 if it has none.
	Left time.Duration
	// Target is the time within which its answer should begin; 0 if there is none.
	Target time.Duration
	// Priority is lower for more urgent requests, which servers begin first.
	Priority int
	// Account is the client account.
	Account string
	// Slots replaces the number of slots that a server registered; 0 keeps that.
	Slots int
}

// Choice is the server for a request with the facts that decided.
type Choice struct {
	// Server is empty if Reason is Nothing or Full.
	Server roster.Server
	// Holder most likely has the shared part of the prompt in its cache while Server does not; empty if there is none.
	Holder roster.Server
	Reason Reason
	// Load is the number of requests at the server before this one, and Mean that of its service.
	Load int
	Mean float64
	// Priority is that of the request, or a lower one while its client account surges at a busy service.
	Priority int
	// Candidates is the number of servers that could take the request.
	Candidates int
	// Wait is the expected time until the server begins; for Full also that after which a return is worth while.
	Wait time.Duration
}

// entry is a server with what is known of it.
type entry struct {
	roster.Server
	seed uint64
	// since is when the server joined; zero if it was there before this router.
	since time.Time
	// own and others are the requests in progress of this router and of all others, and usual is a moving average of their sum.
	own, others int
	usual       float64
	// sent is the rate of own requests.
	sent rate
	// failing is the moving average of failures, from 0 to 1.
	failing float64
	// strikes counts the requests in a row without an answer; pauses those that led to a pause.
	strikes, pauses int
	// paused is until when the server gets no requests, and trial when one was let pass after that.
	paused, trial time.Time
	// reported is until when the reports of other routers pause it.
	reported time.Time
}

// instance identifies one start of a server, whose cache is empty at first.
func (e *entry) instance() uint64 { return e.seed ^ uint64(e.Born) }

func (e *entry) load() int { return e.own + e.others }

// pool holds the servers of one service.
type pool struct {
	entries []*entry
	// leaving holds the servers that take no new work and still have their caches.
	leaving []*entry
	// work is the moving average of the time that a request takes when it need not wait.
	work time.Duration
	// delays holds the time until an answer begins by priority.
	delays map[int]*delay
	// busy is true while most slots are in use.
	busy bool
}

// Balancer chooses servers. It is not safe for concurrent use.
type Balancer struct {
	settings Settings
	// routers is the number of routers that share the servers. At least 1.
	routers int
	// lag is the age of what the other routers report.
	lag time.Duration
	// salt makes routers resolve ties differently.
	salt    uint64
	servers map[string]*entry
	pools   map[string]*pool
	caches  *caches
	// accounts holds the rates of client accounts.
	accounts map[string]*account
}

// New returns a balancer without servers for the router with an ID.
func New(s Settings, router string) *Balancer {
	return &Balancer{settings: s, routers: 1, salt: xxhash.Sum64String(router), caches: newCaches(), accounts: map[string]*account{}, servers: map[string]*entry{}, pools: map[string]*pool{}}
}

// SetServers takes the known servers. What is known of a server is forgotten when it starts again.
func (b *Balancer) SetServers(now time.Time, servers []roster.Server) {
	first := len(b.servers) == 0
	next := make(map[string]*entry, len(servers))
	pools := map[string]*pool{}
	for _, s := range servers {
		e := b.servers[s.ID]
		if e == nil || e.Born != s.Born || e.Address != s.Address || e.Service != s.Service {
			own := 0
			if e != nil {
				own = e.own
			}
			e = &entry{seed: xxhash.Sum64String(s.ID), own: own}
			if !first {
				e.since = now
			}
		}
		e.Server = s
		next[s.ID] = e
		p := pools[s.Service]
		if p == nil {
			p = &pool{delays: map[int]*delay{}}
			if old := b.pools[s.Service]; old != nil {
				p.work, p.delays = old.work, old.delays
			}
			pools[s.Service] = p
		}
		if s.Leaving {
			p.leaving = append(p.leaving, e)
		} else {
			p.entries = append(p.entries, e)
		}
	}
	// Requests may still be in progress at servers that are gone; Finish needs their counts if they come back.
	for id, e := range b.servers {
		if next[id] == nil && e.own > 0 {
			e.Leaving = true
			next[id] = e
		}
	}
	b.servers, b.pools = next, pools
}

// usualWeight is the weight of the latest report in the moving average of a server's load: reports of some seconds count.
const usualWeight = 0.1

// SetOthers takes the requests in progress of the other routers by server ID, the number of all routers, and the age of the
// reports.
func (b *Balancer) SetOthers(load map[string]int, routers int, lag time.Duration) {
	b.routers, b.lag = max(1, routers), lag
	for id, e := range b.servers {
		e.others = load[id]
		e.usual += (float64(e.load()) - e.usual) * usualWeight
	}
}

// Own returns this router's requests in progress by server ID, without zeros.
func (b *Balancer) Own() map[string]int {
	own := map[string]int{}
	for id, e := range b.servers {
		if e.own > 0 {
			own[id] = e.own
		}
	}
	return own
}

// Choose returns the server for a request. The caller reports it with Start if it sends the request.
func (b *Balancer) Choose(now time.Time, a Ask) Choice {
	p := b.pools[a.Service]
	if p == nil || len(p.entries) == 0 {
		return Choice{Reason: Nothing}
	}
	usable := b.usable(now, p, a.Avoid)
	if len(usable) == 0 {
		return Choice{Reason: Nothing}
	}
	total := 0
	for _, e := range p.entries {
		total += e.load()
	}
	c := Choice{Mean: float64(total) / float64(len(p.entries)), Candidates: len(usable)}
	if len(a.Avoid) == 0 && b.surges(now, a.Account) && p.busy {
		a.Priority++
	}
	c.Priority = a.Priority
	var e *entry
	if len(a.Prompt) > 0 {
		var holder *entry
		e, holder, c.Reason = b.byAffinity(now, p, usable, a, c.Mean)
		if holder != nil {
			c.Holder = holder.Server
		}
	} else {
		e, c.Reason = b.byLoad(now, p, usable, a), Least
	}
	c.Load = e.load()
	c.Wait = p.wait(e, a.Slots)
	if a.Left > 0 && c.Wait+p.work > a.Left || b.sheds(now, p, a, c.Mean, c.Wait) {
		c.Reason = Full
		return c
	}
	c.Server = e.Server
	b.remember(a, e)
	if e.strikes > 0 {
		e.trial = now
	}
	return c
}

// usable returns the servers that may take a request: those not tried before and not paused. When most are paused, the cause
// is more likely on this side, and the paused ones are tried as well.
func (b *Balancer) usable(now time.Time, p *pool, avoid []string) []*entry {
	fit := make([]*entry, 0, len(p.entries))
	rest := 0
	for _, e := range p.entries {
		if slices.Contains(avoid, e.ID) {
			continue
		}
		if rest++; b.fit(now, e) {
			fit = append(fit, e)
		}
	}
	if float64(len(fit)) >= (1-b.settings.Ejected)*float64(rest) && len(fit) > 0 {
		return fit
	}
	for _, e := range p.entries {
		if !slices.Contains(avoid, e.ID) && !slices.Contains(fit, e) {
			fit = append(fit, e)
		}
	}
	return fit
}

// fit is false while a server is paused. After a pause one request at a time shows whether it is back.
func (b *Balancer) fit(now time.Time, e *entry) bool {
	switch {
	case now.Before(e.paused), now.Before(e.reported):
		return false
	case e.paused.IsZero() || e.strikes == 0:
		return true
	default:
		return now.Sub(e.trial) >= b.settings.Pause
	}
}

// wait is the expected time until a server begins a further request.
func (p *pool) wait(e *entry, slots int) time.Duration {
	slots = max(slots, e.Slots)
	ahead := e.load() + 1 - slots
	if slots == 0 || ahead <= 0 {
		return 0
	}
	return time.Duration(float64(p.work) * float64(ahead) / float64(slots))
}

// Start counts a request that is sent to a server.
func (b *Balancer) Start(now time.Time, id string) {
	if e := b.servers[id]; e != nil {
		e.own++
		e.sent.count(now)
	}
}

// Known returns a server by its ID.
func (b *Balancer) Known(id string) (roster.Server, bool) {
	e := b.servers[id]
	if e == nil {
		return roster.Server{}, false
	}
	return e.Server, true
}

// next returns a number in [0,1) that is derived from another and a seed.
func next(draw float64, seed uint64) float64 {
	return float64(mix(math.Float64bits(draw)^seed)>>11) / (1 << 53)
}

// mix spreads the bits of x over the whole word.
func mix(x uint64) uint64 {
	const golden, second = 0x9E3779B97F4A7C15, 0xBF58476D1CE4E5B9
	hi, lo := bits.Mul64(x, golden)
	hi, lo = bits.Mul64(hi^lo^second, golden)
	return hi ^ lo
}

// RetryAfter returns when a caller that was refused should come back, in seconds: the expected wait, at least the shortest
// time in which the state of a service changes.
func (c Choice) RetryAfter() float64 {
	const least = 0.25
	return max(least, c.Wait.Seconds())
}

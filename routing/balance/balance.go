// Package balance chooses the backend server for one request when every router sees only a part of the traffic.
//
// Requests that share the beginning of their prompt go to the same server, found by rendezvous hashing, so that its prefix cache
// serves them. No server is given more than a multiple of the mean load of its service; the load is the router's own requests
// plus those that the other routers report. Requests without a prompt go to the least loaded server.
package balance

import (
	"cmp"
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
}

// New returns a balancer without servers for the router with an ID.
func New(s Settings, router string) *Balancer {
	return &Balancer{settings: s, routers: 1, salt: xxhash.Sum64String(router), caches: newCaches(), servers: map[string]*entry{}, pools: map[string]*pool{}}
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
			p = &pool{}
			if old := b.pools[s.Service]; old != nil {
				p.work = old.work
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
	if a.Left > 0 && c.Wait+p.work > a.Left {
		c.Reason = Full
		return c
	}
	c.Server = e.Server
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

// byAffinity returns the first server in the order of the request's prompt that is below the load bound, and one that holds more
// of the shared beginning of the prompt; nil if none is known.
func (b *Balancer) byAffinity(now time.Time, p *pool, usable []*entry, a Ask, mean float64) (chosen, holder *entry, why Reason) {
	var best, home *entry
	var bestScore, homeScore uint64
	limit, prompts := b.limit(mean), b.caches.rate(now, a.Prompt[0])
	draw := a.Draw
	for _, e := range usable {
		score := mix(a.Prompt[0] ^ e.seed)
		if home == nil || score > homeScore {
			home, homeScore = e, score
		}
		// Each server needs a draw of its own, derived from the one of the request.
		draw = next(draw, e.seed)
		if (best == nil || score > bestScore) && b.admits(e, limit*(1-excess(usable, e)), prompts, draw) {
			best, bestScore = e, score
		}
	}
	if best == nil {
		best = b.byLoad(now, p, usable, a)
	}
	why = Spilled
	if best == home {
		why = Home
	}
	holder = b.holder(now, p, a, best)
	for _, beginning := range a.Prompt {
		b.caches.put(beginning, best.instance())
	}
	b.caches.count(now, a.Prompt[0])
	return best, holder, why
}

// holder returns a server that most likely holds more of the shared beginning of a prompt than the chosen one; nil if none is
// known.
func (b *Balancer) holder(now time.Time, p *pool, a Ask, chosen *entry) *entry {
	for i, beginning := range a.Prompt {
		if b.caches.has(beginning, chosen.instance()) {
			return nil
		}
		if e := b.sent(now, p, beginning, a.Avoid); e != nil {
			return e
		}
		if e := b.previous(now, p, a, chosen); i == 0 && e != nil {
			return e
		}
	}
	return nil
}

// sent returns a server to which this router sent the beginning of a prompt before.
func (b *Balancer) sent(now time.Time, p *pool, beginning uint64, avoid []string) *entry {
	for _, servers := range [][]*entry{p.entries, p.leaving} {
		for _, e := range servers {
			if b.caches.has(beginning, e.instance()) && b.reachable(now, e, avoid) {
				return e
			}
		}
	}
	return nil
}

// previous returns the server that most likely has served a prompt until now: the first in its order, leaving ones included, and
// if that is the chosen one, the first that was there before it joined. Servers that have just joined are passed over.
func (b *Balancer) previous(now time.Time, p *pool, a Ask, chosen *entry) *entry {
	var best *entry
	bestScore := mix(a.Prompt[0] ^ chosen.seed)
	first := true
	scan := func(wanted func(*entry, uint64) bool) {
		for _, servers := range [][]*entry{p.entries, p.leaving} {
			for _, e := range servers {
				score := mix(a.Prompt[0] ^ e.seed)
				if e != chosen && b.reachable(now, e, a.Avoid) && wanted(e, score) && (first || score > bestScore) {
					best, bestScore, first = e, score, false
				}
			}
		}
	}
	own := bestScore
	scan(func(e *entry, score uint64) bool { return score > own && !b.joined(now, e, justJoined) })
	if best == nil && b.joined(now, chosen, b.settings.Young) {
		scan(func(e *entry, _ uint64) bool { return e.since.Before(chosen.since) })
	}
	return best
}

// justJoined is the time after its start in which a server has hardly served a prompt.
const justJoined = time.Second

// joined is true for a server that joined within a time.
func (b *Balancer) joined(now time.Time, e *entry, within time.Duration) bool {
	return !e.since.IsZero() && now.Sub(e.since) < within
}

// reachable is true for a server that is neither paused nor one that was tried before.
func (b *Balancer) reachable(now time.Time, e *entry, avoid []string) bool {
	return !now.Before(e.paused) && !now.Before(e.reported) && !slices.Contains(avoid, e.ID)
}

// limit is the greatest load of a server that does not fail more than the others.
func (b *Balancer) limit(mean float64) float64 { return b.settings.Bound*mean + b.settings.Allowance }

// admits is true if a server stays below the load bound with one more request. The other routers may have sent it requests since
// they last reported; if they send as many of the same prompt as this router does, and more than the server has room for, each
// router sends its share of what there is room for. Draw is a random number in [0,1).
func (b *Balancer) admits(e *entry, limit, prompts, draw float64) bool {
	room := limit - float64(e.load())
	unreported := prompts * float64(b.routers) * b.lag.Seconds()
	return room >= 1 && draw*unreported <= room
}

// byLoad returns a server with little load.
func (b *Balancer) byLoad(now time.Time, p *pool, usable []*entry, a Ask) *entry {
	if p.work > 0 && p.work < b.lag {
		return b.byShare(usable, a)
	}
	return b.leastLoaded(now, usable, a)
}

// byShare draws a server with a chance that grows slowly with its free slots: a steep rise would make all routers swing between the
// servers, since they learn of the effect late. It is for requests that are shorter than reports are old:
// all routers would send them to the server that had the least load at the last report, and overload each in turn. Servers of
// the own availability zone get most of the requests while they have half of their slots free.
func (b *Balancer) byShare(usable []*entry, a Ask) *entry {
	shares := make([]float64, len(usable))
	total := 0.0
	for i, e := range usable {
		free := 1 - e.usual/float64(max(1, a.Slots, e.Slots))
		share := math.Sqrt(max(leastShare, free)) * (1 - excess(usable, e))
		if e.Zone == a.Zone {
			share *= 1 + nearShare*max(0, 2*free-1)
		}
		shares[i] = share
		total += share
	}
	at := next(a.Draw, b.salt) * total
	for i, share := range shares {
		if at -= share; at < 0 {
			return usable[i]
		}
	}
	return usable[len(usable)-1]
}

// leastShare is the share of a server without a free slot, relative to an idle one, and nearShare how much more likely an idle
// server of the own availability zone is.
const (
	leastShare = 0.05
	nearShare  = 4
)

// leastLoaded returns the server with the least load for its slots and failures, with a preference for the own availability zone.
func (b *Balancer) leastLoaded(now time.Time, usable []*entry, a Ask) *entry {
	cost := func(e *entry) float64 {
		slots := float64(max(1, a.Slots, e.Slots))
		c := (float64(e.load()) + e.sent.perSecond(now)*b.lag.Seconds()) / (1 - excess(usable, e))
		if e.Zone == a.Zone && float64(e.load()) < slots {
			c -= b.settings.Near
		}
		// A failing server counts as one with all slots in use.
		return c + excess(usable, e)*slots
	}
	return slices.MinFunc(usable, func(x, y *entry) int {
		return cmp.Or(cmp.Compare(cost(x), cost(y)), cmp.Compare(mix(x.seed^b.salt), mix(y.seed^b.salt)))
	})
}

// excess is the share of failures by which a server is worse than the best of the others, below 1. Failures that all servers
// share come from the requests.
func excess(usable []*entry, e *entry) float64 {
	least := 1.0
	for _, o := range usable {
		least = min(least, o.failing)
	}
	const margin = 0.2
	return min(0.9, max(0, e.failing-least-margin))
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

// Ending is how a request to a server ended.
type Ending uint8

// The endings of a request.
const (
	// Answered requests were answered in full.
	Answered Ending = iota
	// Failed requests were answered with an error of the server.
	Failed
	// Refused requests were rejected before they ran.
	Refused
	// Broken requests ended without a whole answer.
	Broken
	// Silent requests got no answer in the time in which one was due.
	Silent
	// Unreachable servers accepted no connection.
	Unreachable
	// Abandoned requests were ended by the caller or a time limit of its own, which tells nothing of the server.
	Abandoned
)

// String returns the ending in lower case.
func (e Ending) String() string {
	return [...]string{"answered", "failed", "refused", "broken", "silent", "unreachable", "abandoned"}[e]
}

// Finish counts the end of a request after Start. Took is the time that the server took.
func (b *Balancer) Finish(now time.Time, id string, ending Ending, took time.Duration) {
	e := b.servers[id]
	if e == nil {
		return
	}
	waited := e.load() > e.Slots && e.Slots > 0
	e.own = max(0, e.own-1)
	if ending == Answered && !waited {
		b.observe(e.Service, took)
	}
	b.judge(now, e, ending)
}

// observe updates the mean time of a service's requests.
func (b *Balancer) observe(service string, took time.Duration) {
	const weight = 16
	if p := b.pools[service]; p != nil {
		if p.work == 0 {
			p.work = took
		}
		p.work += (took - p.work) / weight
	}
}

// Failure takes an attempt that failed before it was counted, such as a connection that was not accepted.
func (b *Balancer) Failure(now time.Time, id string, ending Ending) {
	if e := b.servers[id]; e != nil {
		b.judge(now, e, ending)
	}
}

func (b *Balancer) judge(now time.Time, e *entry, ending Ending) {
	switch ending {
	case Abandoned:
		return
	case Answered:
		e.strikes, e.pauses, e.paused = 0, 0, time.Time{}
		e.failing -= e.failing / b.settings.Memory
		return
	}
	e.failing += (1 - e.failing) / b.settings.Memory
	switch ending {
	case Failed, Refused:
		// The server answers: it is avoided by its share of failures, not paused.
		e.strikes = 0
		return
	case Unreachable:
		e.strikes = max(e.strikes+1, b.settings.Strikes)
	default:
		e.strikes++
	}
	if e.strikes >= b.settings.Strikes && !now.Before(e.paused) {
		pause := min(b.settings.Pause<<min(e.pauses, 8), b.settings.PauseMost)
		e.pauses++
		e.paused = now.Add(pause)
	}
}

// Paused returns the IDs of the servers that this router could not reach, sorted.
func (b *Balancer) Paused(now time.Time) []string {
	var ids []string
	for id, e := range b.servers {
		if now.Before(e.paused) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Report takes the number of other routers that could not reach each server. A server that several could not reach gets no
// requests until the time given, unless it answers this router.
func (b *Balancer) Report(until time.Time, count map[string]int) {
	const several = 2
	for id, n := range count {
		if e := b.servers[id]; e != nil && n >= several && e.strikes == 0 && e.own == 0 {
			e.reported = until
		}
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

// Prompt returns the hashes of the beginnings of a prompt that it may share with others, the longest first: those without its
// last part, which belongs to the request or its chat, or the only part.
func Prompt(model string, parts []string) []uint64 {
	if len(parts) == 0 {
		return nil
	}
	shared := parts[:max(1, len(parts)-1)]
	hashes := make([]uint64, len(shared))
	h := mix(xxhash.Sum64String(model))
	for i, part := range shared {
		h = mix(h ^ xxhash.Sum64String(part))
		hashes[len(shared)-1-i] = h
	}
	return hashes
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

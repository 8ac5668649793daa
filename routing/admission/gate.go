package admission

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hornbeamstep.example/routing/outcome"
)

// Gate admits the requests of one engine. It is held by the engine's owner and is not safe for concurrent use.
type Gate struct {
	settings Settings
	// since is when ownership began; ramp is false for the first owner of an engine.
	since time.Time
	ramp  bool
	// report is valid if reported is true.
	report   Report
	reported bool
	// foreign holds the load of other owners' requests by the last reports, the latest first.
	foreign []float64
	// mean is valid if Engines is at least 1; atMean is the gate's load when it arrived.
	mean   Mean
	atMean float64
	// lows are the means of the last Settings.Low, in growing order of time and load.
	lows []low
	// slots are in the order of their IDs.
	slots []slot
	// freed are slots that were released after the latest report, in order of time.
	freed []release
	own   float64
	// users holds what each account uses, and weights the sum of their weights.
	users   map[string]use
	weights float64
	nextID  uint64
	// surged is when a surging account last asked.
	surged time.Time
	queue  queue
	// service is a moving average of the time that a slot is held.
	service time.Duration
}

// low is a mean load that may be the lowest of the last Settings.Low.
type low struct {
	at   time.Time
	load float64
}

type slot struct {
	Slot
	ask Ask
	at  time.Time
}

// use is the cost and the number of an account's slots, and the weight that counts in Gate.weights.
type use struct {
	cost, weight float64
	slots        int
}

type release struct {
	granted, at time.Time
	cost        float64
}

// New returns the gate of an engine that nobody owned before.
func New(now time.Time, s Settings) *Gate {
	return &Gate{settings: s, since: now, users: map[string]use{}, queue: newQueue(s), service: time.Second}
}

// Takeover returns the gate of an engine that had another owner: it grants one slot until the engine has reported, and
// then raises its limit over Settings.Ramp.
func Takeover(now time.Time, s Settings) *Gate {
	g := New(now, s)
	g.ramp = true
	return g
}

// Offer asks for a slot. The answer is Granted, Queued or Refused. If it is Queued in a full queue, the next Tick refuses
// the request that makes room.
func (g *Gate) Offer(now time.Time, ask Ask) Action {
	ask = normal(ask)
	if ask.Over {
		g.surged = now
	}
	if ask.Since.IsZero() || ask.Since.After(now) {
		ask.Since = now
	}
	if a, ok := g.known(ask); ok {
		return a
	}
	if !g.blocked(now, ask) && g.fits(now, ask, now.Sub(ask.Since)) {
		g.queue.charge(ask)
		return g.grant(now, ask, 0)
	}
	// A full queue is a final answer even for a request that could ask elsewhere: with the load kept level, the other queues
	// are full too, and asking them all would multiply the messages of an overload.
	if g.queue.len() >= g.settings.Queue && !g.queue.mayDisplace(ask) && (g.settings.Queue > 0 || !ask.NoQueue) {
		return g.refuse(now, ask, outcome.QueueFull)
	}
	if ask.NoQueue {
		return g.refuse(now, ask, outcome.Overloaded)
	}
	g.queue.push(now, ask)
	return Action{Kind: Queued, Ask: ask, Retry: g.Expected(now)}
}

// Release frees a slot and returns the grants and refusals that follow. An unknown or expired slot changes nothing.
func (g *Gate) Release(now time.Time, id uint64) []Action {
	i, ok := g.find(id)
	if !ok {
		return nil
	}
	held := now.Sub(g.slots[i].at)
	// The weight of 1/16 averages over about the last 16 requests.
	g.service += (held - g.service) / 16
	g.drop(now, i)
	return g.advance(now)
}

// Renew extends the slots of a router and returns those that it no longer holds.
func (g *Gate) Renew(now time.Time, ids []uint64) (lost []uint64) {
	for _, id := range ids {
		i, ok := g.find(id)
		if !ok || !now.Before(g.slots[i].Expires) {
			lost = append(lost, id)
			continue
		}
		g.slots[i].Expires = now.Add(g.settings.Lease)
	}
	return lost
}

// Abandon removes a waiting request whose caller has gone. It is false if the request is not waiting.
func (g *Gate) Abandon(request string) bool { return g.queue.remove(request) }

// Close refuses all waiting requests, because the engine takes no more work or has another owner.
func (g *Gate) Close(now time.Time) []Action {
	var actions []Action
	for g.queue.len() > 0 {
		e := g.queue.entries[0]
		g.queue.cut(0)
		a := g.refuse(now, e.ask, outcome.NoBackend)
		a.Waited = now.Sub(e.at)
		actions = append(actions, a)
	}
	return actions
}

// Report takes the engine's own load. An older report than the last one is ignored.
func (g *Gate) Report(now time.Time, r Report) []Action {
	if g.reported && r.At.Before(g.report.At) {
		return nil
	}
	g.report, g.reported = r, true
	g.freed = slices.DeleteFunc(g.freed, func(f release) bool { return !f.at.After(r.At.Add(-g.settings.ReportLag)) })
	g.foreign = append([]float64{max(0, r.Load-g.possible(r.At))}, g.foreign[:min(len(g.foreign), foreignReports-1)]...)
	return g.advance(now)
}

// foreignReports is the number of reports over which the lowest load of others counts. A request on its way, which was
// granted long before the report but reaches the engine after it, looks like load of others in one report only.
const foreignReports = 3

// possible is the load of the gate's own slots that the engine may have had in a report. It counts every slot that was held
// within ReportLag before the report: to take those granted lately for load of others would count short requests twice.
func (g *Gate) possible(at time.Time) float64 {
	sum := 0.0
	for _, s := range g.slots {
		if !s.at.After(at) {
			sum += s.ask.Cost
		}
	}
	for _, f := range g.freed {
		if !f.granted.After(at) {
			sum += f.cost
		}
	}
	return sum
}

// Mean takes the mean load of the pool.
func (g *Gate) Mean(now time.Time, m Mean) []Action {
	g.mean, g.atMean = m, g.Load()
	g.lows = slices.DeleteFunc(g.lows, func(l low) bool { return now.Sub(l.at) >= g.settings.Low || l.load >= m.Load })
	g.lows = append(g.lows, low{at: now, load: m.Load})
	return g.advance(now)
}

// Tick expires slots, ends waits that took too long, and grants what has become possible. Call it at least every 100 ms.
func (g *Gate) Tick(now time.Time) []Action { return g.advance(now) }

// Load is the gate's own slots plus the load of other owners' requests as the engine reports it.
func (g *Gate) Load() float64 {
	if len(g.foreign) == 0 {
		return g.own
	}
	return g.own + slices.Min(g.foreign)
}

// Limit is the load above which the gate grants nothing.
func (g *Gate) Limit(now time.Time) float64 { return g.limit(now, 1, g.Load()) }

// Slots returns the number of slots in use and Waiting the length of the queue.
func (g *Gate) Slots() int { return len(g.slots) }

// Waiting returns the number of requests in the queue.
func (g *Gate) Waiting() int { return g.queue.len() }

// Expected is the expected wait of a request that arrives now.
func (g *Gate) Expected(now time.Time) time.Duration {
	load := g.Load()
	if g.queue.len() == 0 && g.fits(now, Ask{Cost: 1, Weight: 1}, 0) {
		return 0
	}
	parallel := max(1, min(load, g.limit(now, 1, load)))
	ahead := float64(g.queue.len()) + 0.5
	return time.Duration(ahead / parallel * float64(g.service))
}

// fits is true if the load with the request stays within the bound, and the account within its share.
func (g *Gate) fits(now time.Time, ask Ask, waited time.Duration) bool {
	load := g.Load()
	if g.ramp && !g.reported {
		return len(g.slots) == 0
	}
	if load+ask.Cost > g.limit(now, ask.Cost, load)+1e-9 {
		return false
	}
	return g.spares(now, ask, waited, load) && g.fair(ask, load)
}

// spares is true if the mean is high enough for a further request even if it falls a little afterwards.
func (g *Gate) spares(now time.Time, ask Ask, waited time.Duration, load float64) bool {
	s := g.settings
	if s.Spare <= 0 || s.Level <= 0 || g.mean.Engines <= 1 {
		return true
	}
	mean := g.lowest(now, load)
	switch {
	case ask.Over:
		mean = max(0, mean-s.Yield*ask.Cost)
	case now.Sub(g.surged) <= s.Surge:
		waited += s.Head
	}
	left := 1 - float64(waited)/float64(s.Level)
	return load/s.Bound+s.Spare*math.Sqrt(load*ask.Cost)*left <= mean+1e-9
}

// meanWith is the mean load with a further request of the given cost. The mean includes the engine itself, so it moves by
// 1/Engines of the engine's own change since the mean was taken. The mean that arrives is older than the own load at its
// arrival; the own load alone sets a lower limit, without which a pool of one engine refuses requests after an idle second.
func (g *Gate) meanWith(cost, load float64) float64 {
	if g.mean.Engines < 1 {
		return 0
	}
	n := float64(g.mean.Engines)
	return max(g.mean.Load+(load+cost-g.atMean)/n, (load+cost)/n)
}

// lowest is the lowest mean load of the last Settings.Low, and never below the share of the engine's own load.
func (g *Gate) lowest(now time.Time, load float64) float64 {
	mean := g.meanWith(0, load)
	for _, l := range g.lows {
		if now.Sub(l.at) < g.settings.Low {
			mean = min(mean, l.load)
		}
	}
	return max(mean, load/float64(max(1, g.mean.Engines)))
}

// limit is the greatest load with a further request of the given cost.
func (g *Gate) limit(now time.Time, cost, load float64) float64 {
	l := g.settings.Allowed(g.meanWith(cost, load), g.mean.Engines, cost)
	if c := g.capacity(); c > 0 {
		l = min(l, c)
	}
	return g.ramped(now, l, load, cost)
}

// capacity is the lower of the setting and the engine's report; 0 for none.
func (g *Gate) capacity() float64 {
	c := g.settings.Capacity
	if r := g.report.Capacity; r > 0 && (c <= 0 || r < c) {
		c = r
	}
	return c
}

// ramped raises the limit of a new owner linearly from the engine's own report.
func (g *Gate) ramped(now time.Time, limit, load, cost float64) float64 {
	since := now.Sub(g.since)
	if !g.ramp || since >= g.settings.Ramp || limit <= load {
		return limit
	}
	share := float64(since) / float64(g.settings.Ramp)
	return min(limit, max(cost, g.report.Load)+share*(limit-g.report.Load))
}

// fair keeps Reserve of the capacity free of accounts that use more than their fair share, so that another account's
// request need not wait for a slot of a surging one.
func (g *Gate) fair(ask Ask, load float64) bool {
	c := g.capacity()
	if c <= 0 || g.settings.Reserve <= 0 || load+ask.Cost <= c*(1-g.settings.Reserve) {
		return true
	}
	u, ok := g.users[ask.Account]
	if !ok {
		// An account that uses nothing is not over its share, however small the capacity.
		return true
	}
	// With one account in use there is nobody to compare with; it still leaves the reserve to newcomers.
	return u.cost+ask.Cost <= c*(1-g.settings.Reserve)*ask.Weight/max(g.weights, 2*ask.Weight)
}

// blocked is true if a waiting request goes before a new one. Requests that wait for their own account's share do not.
func (g *Gate) blocked(now time.Time, ask Ask) bool {
	load := g.Load()
	return g.queue.blocks(now, ask, func(w Ask) bool { return g.fair(w, load) })
}

func (g *Gate) advance(now time.Time) []Action {
	actions := g.expire(now)
	for _, e := range g.queue.overdue(now) {
		a := g.refuse(now, e.ask, outcome.Overloaded)
		a.Waited = now.Sub(e.at)
		actions = append(actions, a)
	}
	for _, e := range g.queue.overflow() {
		a := g.refuse(now, e.ask, outcome.QueueFull)
		a.Waited = now.Sub(e.at)
		actions = append(actions, a)
	}
	for {
		e, ok := g.queue.next(now, func(e waiting) bool { return g.fits(now, e.ask, now.Sub(e.ask.Since)) })
		if !ok {
			return actions
		}
		actions = append(actions, g.grant(now, e.ask, now.Sub(e.at)))
	}
}

func (g *Gate) expire(now time.Time) []Action {
	var actions []Action
	for i := 0; i < len(g.slots); {
		s := g.slots[i]
		if now.Before(s.Expires) {
			i++
			continue
		}
		actions = append(actions, Action{Kind: Expired, Ask: s.ask, Slot: s.Slot})
		g.drop(now, i)
	}
	return actions
}

func (g *Gate) grant(now time.Time, ask Ask, waited time.Duration) Action {
	g.nextID++
	s := slot{Slot: Slot{ID: g.nextID, Expires: now.Add(g.settings.Lease)}, ask: ask, at: now}
	g.slots = append(g.slots, s)
	g.own += ask.Cost
	u, ok := g.users[ask.Account]
	if !ok {
		u.weight = ask.Weight
		g.weights += u.weight
	}
	u.cost += ask.Cost
	u.slots++
	g.users[ask.Account] = u
	return Action{Kind: Granted, Ask: ask, Slot: s.Slot, Waited: waited}
}

func (g *Gate) refuse(now time.Time, ask Ask, code outcome.Code) Action {
	return Action{Kind: Refused, Ask: ask, Code: code, Retry: g.retry(now, ask)}
}

// retry is the expected wait, between 1 s and 30 s, and up to a quarter longer depending on the request, so that requests
// refused together do not come back together.
func (g *Gate) retry(now time.Time, ask Ask) time.Duration {
	d := min(max(g.Expected(now), time.Second), 30*time.Second)
	spread := float64(xxhash.Sum64String(ask.Request)>>11) / (1 << 53)
	return d + time.Duration(spread*float64(d)/4)
}

// known answers a repeated Offer without a second grant.
func (g *Gate) known(ask Ask) (Action, bool) {
	for _, s := range g.slots {
		if s.ask.Request == ask.Request {
			return Action{Kind: Granted, Ask: s.ask, Slot: s.Slot}, true
		}
	}
	if e, ok := g.queue.find(ask.Request); ok {
		return Action{Kind: Queued, Ask: e.ask}, true
	}
	return Action{}, false
}

func (g *Gate) find(id uint64) (int, bool) {
	return slices.BinarySearchFunc(g.slots, id, func(s slot, id uint64) int {
		switch {
		case s.ID < id:
			return -1
		case s.ID > id:
			return 1
		}
		return 0
	})
}

func (g *Gate) drop(now time.Time, i int) {
	s := g.slots[i]
	g.slots = slices.Delete(g.slots, i, i+1)
	g.own -= s.ask.Cost
	u := g.users[s.ask.Account]
	u.cost -= s.ask.Cost
	u.slots--
	if g.users[s.ask.Account] = u; u.slots == 0 {
		delete(g.users, s.ask.Account)
		g.weights -= u.weight
	}
	if len(g.slots) == 0 {
		g.own, g.weights = 0, 0
	}
	g.freed = append(g.freed, release{granted: s.at, at: now, cost: s.ask.Cost})
	// Without reports the list would grow; the oldest releases matter least.
	const most = 4096
	if len(g.freed) > most {
		g.freed = slices.Delete(g.freed, 0, len(g.freed)-most)
	}
}

func normal(ask Ask) Ask {
	if !(ask.Cost > 0) || math.IsInf(ask.Cost, 1) {
		ask.Cost = 1
	}
	if !(ask.Weight > 0) || math.IsInf(ask.Weight, 1) {
		ask.Weight = 1
	}
	ask.Class = min(max(ask.Class, Urgent), Batch)
	return ask
}

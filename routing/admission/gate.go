package admission

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hornbeamstep.example/routing/outcome"
)

// Gate admits requests to one engine. It belongs to the engine's owner, which is one of the
// routers. It is not safe for concurrent use.
type Gate struct {
	settings Settings
	// ownedSince is when the gate's owner became the owner of the engine. ramp is false if the
	// engine had no owner before.
	ownedSince time.Time
	ramp       bool
	// report is valid only if reported is true.
	report   Report
	reported bool
	// foreignLoads holds the load of requests that other owners granted, as derived from the last
	// reports; the latest is first.
	foreignLoads []float64
	// mean is valid if Engines is at least 1; loadAtMean is the gate's load when the mean arrived.
	mean       Mean
	loadAtMean float64
	// lowMeans is a monotonic queue from which the lowest mean of the last Settings.LowMeanWindow
	// is read: a new mean removes the earlier ones that are not lower, so that the queue is in
	// increasing order of time and load.
	lowMeans []meanSample
	// slots are in the order of their IDs.
	slots []slot
	// released are the slots that were released after the latest report, in order of time.
	released []releasedSlot
	ownLoad  float64
	// usages holds the usage of each account, and totalWeight the sum of the accounts' weights.
	usages      map[string]usage
	totalWeight float64
	nextID      uint64
	// lastSurge is when a surging account last asked for a slot.
	lastSurge time.Time
	queue     queue
	// meanHold is a moving average of the time for which a slot is held.
	meanHold time.Duration
}

// meanSample is a mean load that may be the lowest of the last Settings.LowMeanWindow.
type meanSample struct {
	at   time.Time
	load float64
}

// slot is a slot in use.
type slot struct {
	Slot
	req SlotRequest
	// at is when the slot was granted.
	at time.Time
}

// usage is the total cost and the number of an account's slots, and the weight that the account
// adds to Gate.totalWeight.
type usage struct {
	cost, weight float64
	slots        int
}

// releasedSlot is the cost of a slot, and when it was granted and released.
type releasedSlot struct {
	granted, released time.Time
	cost              float64
}

// New returns the gate of an engine that had no owner before.
func New(now time.Time, s Settings) *Gate {
	return &Gate{settings: s, ownedSince: now, usages: map[string]usage{}, queue: newQueue(s), meanHold: time.Second}
}

// NewAfterTakeover returns the gate of an engine that had another owner. It grants a single slot
// until the engine has reported its load, and then raises its limit over Settings.Ramp.
func NewAfterTakeover(now time.Time, s Settings) *Gate {
	g := New(now, s)
	g.ramp = true
	return g
}

// Offer asks for a slot. The answer is Granted, Queued or Refused. If the answer is Queued although
// the queue is full, the next Tick, Release, SetReport or SetMean refuses the newest request of the
// account with the most waiting requests relative to its weight.
func (g *Gate) Offer(now time.Time, req SlotRequest) Action {
	req = normalize(req)
	if req.Surging {
		g.lastSurge = now
	}
	if req.Since.IsZero() || req.Since.After(now) {
		req.Since = now
	}
	if a, ok := g.existing(req); ok {
		return a
	}
	if !g.blocked(now, req) && g.fits(now, req, now.Sub(req.Since)) {
		g.queue.charge(req)
		return g.grant(now, req, 0)
	}
	// A full queue also refuses requests whose caller could try another engine, with the code for
	// a full queue: the engines are evenly loaded, so the other queues are full too, and asking
	// them all would multiply the messages during an overload.
	if g.queue.len() >= g.settings.MaxQueueLength && !g.queue.mayDisplace(req) && (g.settings.MaxQueueLength > 0 || !req.NoQueue) {
		return g.refuse(now, req, outcome.QueueFull)
	}
	if req.NoQueue {
		return g.refuse(now, req, outcome.Overloaded)
	}
	g.queue.push(now, req)
	return Action{Kind: Queued, Request: req, RetryAfter: g.ExpectedWait(now)}
}

// Release frees a slot and returns the grants and refusals that follow. An unknown or expired slot
// has no effect.
func (g *Gate) Release(now time.Time, id uint64) []Action {
	i, ok := g.findSlot(id)
	if !ok {
		return nil
	}
	held := now.Sub(g.slots[i].at)
	// The factor of 1/16 averages over about the last 16 requests.
	g.meanHold += (held - g.meanHold) / 16
	g.removeSlot(now, i)
	return g.advance(now)
}

// Renew extends slots and returns the IDs of those that are no longer held.
func (g *Gate) Renew(now time.Time, ids []uint64) (lost []uint64) {
	for _, id := range ids {
		i, ok := g.findSlot(id)
		if !ok || !now.Before(g.slots[i].Expires) {
			lost = append(lost, id)
			continue
		}
		g.slots[i].Expires = now.Add(g.settings.Lease)
	}
	return lost
}

// Abandon removes a waiting request whose caller has gone. It returns false if the request is not
// waiting.
func (g *Gate) Abandon(request string) bool { return g.queue.remove(request) }

// Close refuses all waiting requests. Call it when the engine accepts no more work or has another
// owner.
func (g *Gate) Close(now time.Time) []Action {
	var actions []Action
	for g.queue.len() > 0 {
		e := g.queue.entries[0]
		g.queue.removeAt(0)
		a := g.refuse(now, e.req, outcome.NoBackend)
		a.Waited = now.Sub(e.at)
		actions = append(actions, a)
	}
	return actions
}

// SetReport updates the load that the engine reports. A report older than the last one is ignored.
func (g *Gate) SetReport(now time.Time, r Report) []Action {
	if g.reported && r.At.Before(g.report.At) {
		return nil
	}
	g.report, g.reported = r, true
	g.released = slices.DeleteFunc(g.released, func(f releasedSlot) bool { return !f.released.After(r.At.Add(-g.settings.ReportLag)) })
	g.foreignLoads = append([]float64{max(0, r.Load-g.possibleOwnLoad(r.At))}, g.foreignLoads[:min(len(g.foreignLoads), foreignReports-1)]...)
	return g.advance(now)
}

// foreignReports is the number of latest reports that determine the load of other owners: the
// lowest value counts. A request in transit, granted long before a report but received by the
// engine after it, appears as load of other owners in one report only.
const foreignReports = 3

// possibleOwnLoad returns the greatest load of the gate's own slots that a report of the given time
// can include. It counts every slot held at any time within Settings.ReportLag before the report.
// If it left out a slot granted shortly before a report that already includes the request, the
// request would count twice: as own load and as load of other owners.
func (g *Gate) possibleOwnLoad(at time.Time) float64 {
	sum := 0.0
	for _, s := range g.slots {
		if !s.at.After(at) {
			sum += s.req.Cost
		}
	}
	for _, f := range g.released {
		if !f.granted.After(at) {
			sum += f.cost
		}
	}
	return sum
}

// SetMean updates the mean load of the pool.
func (g *Gate) SetMean(now time.Time, m Mean) []Action {
	g.mean, g.loadAtMean = m, g.Load()
	g.lowMeans = slices.DeleteFunc(g.lowMeans, func(l meanSample) bool { return now.Sub(l.at) >= g.settings.LowMeanWindow || l.load >= m.Load })
	g.lowMeans = append(g.lowMeans, meanSample{at: now, load: m.Load})
	return g.advance(now)
}

// Tick expires slots, refuses requests that have waited too long, and grants slots that have become
// available. Call it at least every 100 ms.
func (g *Gate) Tick(now time.Time) []Action { return g.advance(now) }

// Load returns the load of the gate's own slots plus the load of requests that other owners
// granted, according to the engine's reports.
func (g *Gate) Load() float64 {
	if len(g.foreignLoads) == 0 {
		return g.ownLoad
	}
	return g.ownLoad + slices.Min(g.foreignLoads)
}

// Limit returns the load up to which the gate grants requests of cost 1.
func (g *Gate) Limit(now time.Time) float64 { return g.limit(now, 1, g.Load()) }

// Slots returns the number of slots in use.
func (g *Gate) Slots() int { return len(g.slots) }

// Waiting returns the number of requests in the queue.
func (g *Gate) Waiting() int { return g.queue.len() }

// ExpectedWait returns the expected wait of a request that arrives now.
func (g *Gate) ExpectedWait(now time.Time) time.Duration {
	load := g.Load()
	if g.queue.len() == 0 && g.fits(now, SlotRequest{Cost: 1, Weight: 1}, 0) {
		return 0
	}
	parallel := max(1, min(load, g.limit(now, 1, load)))
	ahead := float64(g.queue.len()) + 0.5
	return time.Duration(ahead / parallel * float64(g.meanHold))
}

// fits reports whether a slot can be granted now: the load including the request stays within the
// limit, the mean load leaves enough headroom, and the account stays within its share. After a
// takeover only one slot is granted until the engine has reported its load.
func (g *Gate) fits(now time.Time, req SlotRequest, waited time.Duration) bool {
	load := g.Load()
	if g.ramp && !g.reported {
		return len(g.slots) == 0
	}
	if load+req.Cost > g.limit(now, req.Cost, load)+1e-9 {
		return false
	}
	return g.hasHeadroom(now, req, waited, load) && g.withinShare(req, load)
}

// hasHeadroom reports whether the mean load exceeds load/Bound by the margin of Settings.Headroom,
// so that the engine is likely to stay within its bound if the mean falls a little afterwards.
func (g *Gate) hasHeadroom(now time.Time, req SlotRequest, waited time.Duration, load float64) bool {
	s := g.settings
	if s.Headroom <= 0 || s.HeadroomDecay <= 0 || g.mean.Engines <= 1 {
		return true
	}
	mean := g.lowestMean(now, load)
	switch {
	case req.Surging:
		mean = max(0, mean-s.SurgeMargin*req.Cost)
	case now.Sub(g.lastSurge) <= s.SurgeWindow:
		waited += s.WaitCredit
	}
	remaining := 1 - float64(waited)/float64(s.HeadroomDecay)
	return load/s.Bound+s.Headroom*math.Sqrt(load*req.Cost)*remaining <= mean+1e-9
}

// meanWithRequest returns the mean load including a further request of the given cost. The engine
// is part of the mean, so the mean changes by 1/Engines of the change in the engine's own load
// since the mean arrived. A mean is already out of date when it arrives, so the result is at least
// the engine's own load divided by the number of engines. Without this minimum a pool of one engine
// would refuse requests after an idle second.
func (g *Gate) meanWithRequest(cost, load float64) float64 {
	if g.mean.Engines < 1 {
		return 0
	}
	n := float64(g.mean.Engines)
	return max(g.mean.Load+(load+cost-g.loadAtMean)/n, (load+cost)/n)
}

// lowestMean returns the lowest mean load of the last Settings.LowMeanWindow, but at least the
// engine's own load divided by the number of engines.
func (g *Gate) lowestMean(now time.Time, load float64) float64 {
	mean := g.meanWithRequest(0, load)
	for _, l := range g.lowMeans {
		if now.Sub(l.at) < g.settings.LowMeanWindow {
			mean = min(mean, l.load)
		}
	}
	return max(mean, load/float64(max(1, g.mean.Engines)))
}

// limit returns the greatest load that the engine may reach with a further request of the given
// cost.
func (g *Gate) limit(now time.Time, cost, load float64) float64 {
	l := g.settings.MaxLoad(g.meanWithRequest(cost, load), g.mean.Engines, cost)
	if c := g.capacity(); c > 0 {
		l = min(l, c)
	}
	return g.rampLimit(now, l, load, cost)
}

// capacity returns the lower of the configured and the reported capacity; 0 for none.
func (g *Gate) capacity() float64 {
	c := g.settings.Capacity
	if r := g.report.Capacity; r > 0 && (c <= 0 || r < c) {
		c = r
	}
	return c
}

// rampLimit applies the ramp of a new owner: the limit rises linearly from the load that the engine
// reports.
func (g *Gate) rampLimit(now time.Time, limit, load, cost float64) float64 {
	owned := now.Sub(g.ownedSince)
	if !g.ramp || owned >= g.settings.Ramp || limit <= load {
		return limit
	}
	share := float64(owned) / float64(g.settings.Ramp)
	return min(limit, max(cost, g.report.Load)+share*(limit-g.report.Load))
}

// withinShare keeps Reserve of the capacity free of accounts that use more than their fair share,
// so that the requests of other accounts need not wait until such an account releases a slot.
func (g *Gate) withinShare(req SlotRequest, load float64) bool {
	c := g.capacity()
	if c <= 0 || g.settings.Reserve <= 0 || load+req.Cost <= c*(1-g.settings.Reserve) {
		return true
	}
	u, ok := g.usages[req.Account]
	if !ok {
		// An account without slots is within its share, however small the capacity.
		return true
	}
	// The fair share is at most half, so that an account without competitors also leaves the
	// reserve to new accounts.
	return u.cost+req.Cost <= c*(1-g.settings.Reserve)*req.Weight/max(g.totalWeight, 2*req.Weight)
}

// blocked reports whether a waiting request takes precedence over a new one. Requests that wait
// because their own account has used up its share do not.
func (g *Gate) blocked(now time.Time, req SlotRequest) bool {
	load := g.Load()
	return g.queue.blocks(now, req, func(w SlotRequest) bool { return g.withinShare(w, load) })
}

// advance expires slots, refuses waiting requests whose time has run out or that no longer have
// room in the queue, and grants slots to those that fit.
func (g *Gate) advance(now time.Time) []Action {
	actions := g.expire(now)
	for _, e := range g.queue.removeOverdue(now) {
		a := g.refuse(now, e.req, outcome.Overloaded)
		a.Waited = now.Sub(e.at)
		actions = append(actions, a)
	}
	for _, e := range g.queue.removeOverflow() {
		a := g.refuse(now, e.req, outcome.QueueFull)
		a.Waited = now.Sub(e.at)
		actions = append(actions, a)
	}
	for {
		e, ok := g.queue.popNext(now, func(e queueEntry) bool { return g.fits(now, e.req, now.Sub(e.req.Since)) })
		if !ok {
			return actions
		}
		actions = append(actions, g.grant(now, e.req, now.Sub(e.at)))
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
		actions = append(actions, Action{Kind: Expired, Request: s.req, Slot: s.Slot})
		g.removeSlot(now, i)
	}
	return actions
}

func (g *Gate) grant(now time.Time, req SlotRequest, waited time.Duration) Action {
	g.nextID++
	s := slot{Slot: Slot{ID: g.nextID, Expires: now.Add(g.settings.Lease)}, req: req, at: now}
	g.slots = append(g.slots, s)
	g.ownLoad += req.Cost
	u, ok := g.usages[req.Account]
	if !ok {
		u.weight = req.Weight
		g.totalWeight += u.weight
	}
	u.cost += req.Cost
	u.slots++
	g.usages[req.Account] = u
	return Action{Kind: Granted, Request: req, Slot: s.Slot, Waited: waited}
}

func (g *Gate) refuse(now time.Time, req SlotRequest, code outcome.Code) Action {
	return Action{Kind: Refused, Request: req, Code: code, RetryAfter: g.retryAfter(now, req)}
}

// retryAfter returns the expected wait, limited to between 1 s and 30 s, plus a jitter of up to a
// quarter of it. The jitter is derived from the request ID and keeps requests that were refused
// together from returning together.
func (g *Gate) retryAfter(now time.Time, req SlotRequest) time.Duration {
	d := min(max(g.ExpectedWait(now), time.Second), 30*time.Second)
	jitter := float64(xxhash.Sum64String(req.RequestID)>>11) / (1 << 53)
	return d + time.Duration(jitter*float64(d)/4)
}

// existing returns the state of a request that already holds a slot or waits, so that a repeated
// Offer gets no second slot.
func (g *Gate) existing(req SlotRequest) (Action, bool) {
	for _, s := range g.slots {
		if s.req.RequestID == req.RequestID {
			return Action{Kind: Granted, Request: s.req, Slot: s.Slot}, true
		}
	}
	if e, ok := g.queue.find(req.RequestID); ok {
		return Action{Kind: Queued, Request: e.req}, true
	}
	return Action{}, false
}

func (g *Gate) findSlot(id uint64) (int, bool) {
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

func (g *Gate) removeSlot(now time.Time, i int) {
	s := g.slots[i]
	g.slots = slices.Delete(g.slots, i, i+1)
	g.ownLoad -= s.req.Cost
	u := g.usages[s.req.Account]
	u.cost -= s.req.Cost
	u.slots--
	if g.usages[s.req.Account] = u; u.slots == 0 {
		delete(g.usages, s.req.Account)
		g.totalWeight -= u.weight
	}
	if len(g.slots) == 0 {
		g.ownLoad, g.totalWeight = 0, 0
	}
	g.released = append(g.released, releasedSlot{granted: s.at, released: now, cost: s.req.Cost})
	// Without reports the list would grow without limit; the oldest releases matter least.
	const maxReleased = 4096
	if len(g.released) > maxReleased {
		g.released = slices.Delete(g.released, 0, len(g.released)-maxReleased)
	}
}

// normalize replaces a cost or weight out of range by 1, and a class out of range by the nearest
// valid one.
func normalize(req SlotRequest) SlotRequest {
	if !(req.Cost > 0) || math.IsInf(req.Cost, 1) {
		req.Cost = 1
	}
	if !(req.Weight > 0) || math.IsInf(req.Weight, 1) {
		req.Weight = 1
	}
	req.Class = min(max(req.Class, Urgent), Batch)
	return req
}

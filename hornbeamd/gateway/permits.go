package gateway

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"hornbeamstep.example/routing/permit"
	"hornbeamstep.example/routing/quarantine"
	"hornbeamstep.example/routing/roster"
	"hornbeamstep.example/routing/routes"
)

const (
	// permitTimeout limits the time to wait for the issuer's answer. The round trip between two
	// availability zones takes a small part of it.
	permitTimeout = 40 * time.Millisecond
	// unansweredWait is how long the issuer of a server is not asked again after it has not
	// answered. A lost router is replaced as the issuer within a few times this time.
	unansweredWait = 100 * time.Millisecond
	// unknownLimitAge is the age of the ended limit that a question names if the router knows none. It is
	// so old that it changes nothing.
	unknownLimitAge = 10 * time.Minute
	// maxLimitsPerHeartbeat is the number of rate limits that a heartbeat carries.
	maxLimitsPerHeartbeat = 24
)

// PermitQuestion asks the issuer of a server for a permit.
type PermitQuestion struct {
	// Number identifies the question among those of its sender.
	Number uint32
	permit.Ask
	// Limit is the limit of the server that the sender knows.
	Limit permit.Limit
	// Releases is the number of the question for the slot that a request no longer holds, and Ending how
	// it ended; 0 if the question asks for a permit.
	Releases uint32
	Ending   permit.Ending
}

// Fleet is the routers that share the rate limits, as this router sees them.
type Fleet struct {
	// Issuers holds the heartbeat addresses of the routers that may issue permits, by ID.
	Issuers map[string]string
	// Lost is the number of routers that took callers when they were last heard of. They may be cut
	// off from this router and go on, so they keep their part of the rate limits.
	Lost int
	// Size is the number of routers that share the servers. At least 1.
	Size int
	// WithoutSlots holds the issuers that hand out no slots, because their release has none.
	WithoutSlots map[string]bool
}

// Permits keeps the requests to servers that state a rate limit within that limit, together with
// the other routers. It is safe for concurrent use. Self, Send and Reply must be set before first use.
type Permits struct {
	// Self is the ID of this router.
	Self string
	// Send sends a question to the router with the given heartbeat address, and Reply the answer to a
	// question that had to wait. They must not block.
	Send  func(address string, q PermitQuestion)
	Reply func(address, server string, number uint32, answer permit.Answer)

	// anyLimited is false if no server states a limit.
	anyLimited atomic.Bool
	mu         sync.Mutex
	fleet      Fleet
	// issuers holds the IDs of fleet.Issuers, and slotIssuers those that hand out slots.
	issuers, slotIssuers permit.Issuers
	ledger               *permit.Ledger
	issuer               *permit.Issuer
	denials              *permit.Denials
	pacer                *permit.Pacer
	cold                 *permit.Cold
	// brittle knows the services with brittle servers, and slots holds the slots of those that this
	// router is the issuer of.
	brittle *permit.Brittle
	slots   *permit.Slots
	// capacity bounds the requests to overloaded services.
	capacity *permit.Capacity
	// pending holds the questions that have not been answered, by their number.
	pending    map[uint32]pendingQuestion
	lastNumber uint32
}

// pendingQuestion is a question that has not been answered.
type pendingQuestion struct {
	issuer string
	// answer has room for one answer.
	answer chan permit.Answer
}

// NewPermits returns a Permits that knows no limits and no other routers.
func NewPermits() *Permits {
	return &Permits{
		ledger: permit.NewLedger(), issuer: permit.NewIssuer(), denials: permit.NewDenials(), pacer: permit.NewPacer(), cold: permit.NewCold(),
		brittle: permit.NewBrittle(), slots: permit.NewSlots(), capacity: permit.NewCapacity(), pending: map[uint32]pendingQuestion{},
	}
}

// SetServers replaces the list of backend servers.
func (p *Permits) SetServers(servers []roster.Server) {
	born := make(map[string]int64, len(servers))
	for _, s := range servers {
		born[s.ID] = s.Born
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ledger.SetServers(born)
	p.cold.SetServers(servers)
	p.capacity.SetServers(servers)
	p.brittle.SetServers(servers)
	p.slots.SetServers(servers)
	p.denials.Retain(born)
	p.updateAnyLimited()
}

// SetServices replaces what the configuration says of the servers of each service.
func (p *Permits) SetServices(services []routes.Service) {
	rates, slots := map[string]float64{}, map[string]int{}
	for _, s := range services {
		if s.ColdRate > 0 {
			rates[s.Name] = s.ColdRate
		}
		slots[s.Name] = s.Slots
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cold.SetRates(rates)
	p.slots.SetDefaults(slots)
	p.updateAnyLimited()
}

// Suspect records that a server is down, so that it may be cold when it returns. It reports whether
// that is new.
func (p *Permits) Suspect(now time.Time, server string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	isNew := p.cold.Suspect(now, server)
	p.updateAnyLimited()
	return isNew
}

// SuspectCrashed does the same for the process of a server that has crashed, unless another process of
// the server is known by now.
func (p *Permits) SuspectCrashed(now time.Time, crash quarantine.Crash) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if strconv.FormatInt(p.cold.Born(crash.Engine), 10) != crash.Boot {
		return
	}
	p.cold.Suspect(now, crash.Engine)
	p.updateAnyLimited()
}

// SetFleet replaces the routers that share the rate limits.
func (p *Permits) SetFleet(f Fleet) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fleet = f
	now, ids := time.Now(), slices.Sorted(maps.Keys(f.Issuers))
	p.issuers.Set(now, ids)
	p.slotIssuers.Set(now, slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return f.WithoutSlots[id] }))
}

// Limit implements balance.RateLimits.
func (p *Permits) Limit(server string) (perSecond float64, limited bool) {
	if !p.anyLimited.Load() {
		return 0, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limitOf(server)
}

// limitOf returns the lowest one of the limit that a server states, the rate that it withstands while
// it is cold, and what it has room for while its service is overloaded.
func (p *Permits) limitOf(server string) (perSecond float64, limited bool) {
	perSecond, limited = p.statedLimit(server)
	now := time.Now()
	if _, brittle := p.brittle.MaxRejections(now, server); brittle {
		// Its slots are known exactly.
		return perSecond, limited
	}
	if rate, overloaded := p.capacity.Rate(now, server); overloaded && (!limited || rate < perSecond) {
		return rate, true
	}
	return perSecond, limited
}

// statedLimit returns the lower one of the limit that a server states and the rate that it withstands
// while it is cold.
func (p *Permits) statedLimit(server string) (perSecond float64, limited bool) {
	perSecond, limited = p.ledger.Limit(server)
	if rate, cold := p.cold.Rate(server); cold && (!limited || rate < perSecond) {
		return rate, true
	}
	return perSecond, limited
}

// RecordRejection records that a server turned a request away for want of room, and reports whether
// its service was not overloaded before.
func (p *Permits) RecordRejection(now time.Time, server string) (began bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	began = p.capacity.RecordRejection(now, server)
	p.updateAnyLimited()
	return began
}

// Overloads returns the overloaded services, with the time since the last sign of that.
func (p *Permits) Overloads(now time.Time) map[string]time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.capacity.Overloads(now)
}

// MergeOverload records that another router takes a service for overloaded, and reports whether it was
// not known.
func (p *Permits) MergeOverload(now time.Time, service string, age time.Duration) (began bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	began = p.capacity.Merge(now, service, age)
	p.updateAnyLimited()
	return began
}

// RecordAnswer records the time that a complete answer of a service took.
func (p *Permits) RecordAnswer(service string, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.capacity.RecordAnswer(service, took)
}

// IsCold implements balance.RateLimits.
func (p *Permits) IsCold(server string) bool {
	if !p.anyLimited.Load() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	_, cold := p.cold.Rate(server)
	return cold
}

// ColdCount returns the number of servers that are or may be cold.
func (p *Permits) ColdCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cold.Count()
}

// Wait implements balance.RateLimits.
func (p *Permits) Wait(now time.Time, server string, priority int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.denials.Wait(now, server, priority)
}

// Issuer returns the ID of the router that issues the permits for a server.
func (p *Permits) Issuer(server string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.issuerOf(server)
}

// issuerOf returns this router before the first SetFleet.
func (p *Permits) issuerOf(server string) string {
	if issuer := p.issuers.Of(server); issuer != "" {
		return issuer
	}
	return p.Self
}

func (p *Permits) updateAnyLimited() {
	now := time.Now()
	p.anyLimited.Store(p.ledger.HasLimits() || !p.cold.IsEmpty() || p.capacity.HasOverload(now) || p.brittle.Any(now))
}

// observe records the limit that a server states in a response, and reports whether it has changed.
func (p *Permits) observe(now time.Time, server string, limit permit.Limit) (changed bool) {
	if limit.Ended && !p.anyLimited.Load() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	changed = p.ledger.Observe(now, server, limit)
	p.updateAnyLimited()
	return changed
}

// Merge records the limits that another router has announced, and returns those that have changed.
func (p *Permits) Merge(now time.Time, reports []permit.Report) (changed []permit.Report) {
	if len(reports) == 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	changed = p.ledger.Merge(now, reports)
	p.updateAnyLimited()
	return changed
}

// Outgoing returns the limits to announce to the other routers; see permit.Ledger.
func (p *Permits) Outgoing(now time.Time, forward bool) []permit.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cold.Sweep(now)
	if !p.brittle.Any(now) {
		p.slots.Clear()
	}
	reports := p.ledger.Outgoing(now, forward, maxLimitsPerHeartbeat)
	p.updateAnyLimited()
	return reports
}

// AnswerQuestion answers the question of another router. A router that is not the issuer issues
// nothing: the other one soon learns which router is. If answered is false, the other router gets its
// answer once a slot is free.
func (p *Permits) AnswerQuestion(now time.Time, ask permit.Ask) (answer permit.Answer, answered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	issuer := p.issuerOf(ask.Server)
	if ask.Slot != nil {
		issuer = p.slotIssuerOf(ask.Server)
	}
	if issuer != p.Self {
		return permit.Answer{Wait: unansweredWait}, true
	}
	return p.issue(now, ask)
}

// issue issues a permit as the issuer of a server, and a slot if the server is brittle. If decided is
// false, the request waits for a slot.
func (p *Permits) issue(now time.Time, ask permit.Ask) (answer permit.Answer, decided bool) {
	if ask.Slot == nil {
		return p.issueRate(now, ask), true
	}
	if wait := p.slotIssuers.SettleTime(now, ask.Server, p.Self); wait > 0 {
		return permit.Answer{Wait: wait}, true
	}
	if _, limited := p.statedLimit(ask.Server); !limited && !ask.IsCold {
		return p.slots.Acquire(now, ask, p.part())
	}
	// The request can't wait for a slot and for a permit.
	withoutDelay := ask
	withoutDelay.MaxDelay = 0
	if answer, _ = p.slots.Acquire(now, withoutDelay, p.part()); !answer.Granted {
		return answer, true
	}
	if answer = p.issueRate(now, ask); !answer.Granted {
		p.releaseAsIssuer(now, ask.Server, ask.Slot.Holder, permit.Done)
	}
	return answer, true
}

// issueRate issues a permit for the rate of requests to a server.
func (p *Permits) issueRate(now time.Time, ask permit.Ask) permit.Answer {
	perSecond, limited := p.statedLimit(ask.Server)
	if rate, known := p.cold.RateIfCold(ask.Server); ask.IsCold && known && (!limited || rate < perSecond) {
		// The other router has seen what this one has not.
		perSecond, limited = rate, true
	}
	if ask.PerSecond > 0 {
		rate, maxBurst := p.capacity.Learn(ask.Server, ask.PerSecond)
		if !limited || rate < perSecond {
			perSecond, limited, ask.MaxBurst = rate, true, maxBurst
		}
	}
	if !limited {
		return permit.Answer{Granted: true}
	}
	return p.issuer.Issue(now, ask, permit.PartOf(perSecond, p.issuers.Count(), p.fleet.Lost))
}

// HandleAnswer passes the answer of a router to the request that waits for it. An answer that
// arrives too late, or from another router than the one that was asked, is dropped.
func (p *Permits) HandleAnswer(from string, number uint32, answer permit.Answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pending, waiting := p.pending[number]
	if !waiting || pending.issuer != from {
		return
	}
	delete(p.pending, number)
	pending.answer <- answer
}

// Outcomes of questions for permits, in metrics.
const (
	permitGranted    = "granted"
	permitDenied     = "denied"
	permitUnanswered = "unanswered"
	permitExpired    = "expired"
)

// acquire obtains a permit for one request to a limited server, and waits until the request may be
// sent. It returns the outcome; the request must be sent only if that is permitGranted.
// slot is set if the request holds a slot then, and must be released.
func (p *Permits) acquire(ctx context.Context, ask permit.Ask) (outcome string, slot *heldSlot) {
	asked := time.Now()
	answer, slot, answered := p.ask(ctx, ask)
	now := time.Now()
	switch {
	case !answered:
		p.recordDenial(now, ask.Server, 0, unansweredWait)
		// It may be granted late.
		p.release(slot, permit.Done)
		return permitUnanswered, nil
	case !answer.Granted:
		p.recordDenial(now, ask.Server, ask.Priority, answer.Wait)
		return permitDenied, nil
	}
	if answer.Wait > 0 {
		select {
		case <-ctx.Done():
		case <-time.After(answer.Wait):
		}
	}
	if answer.IsExpired(asked.Add(queueTime(ask, slot)), time.Now()) {
		p.release(slot, permit.Done)
		return permitExpired, nil
	}
	return permitGranted, slot
}

func (p *Permits) recordDenial(now time.Time, server string, priority int, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.denials.Record(now, server, priority, wait)
	p.capacity.RecordDenial(now, server)
}

// ask returns the issuer's answer, or false if there is none. slot is nil if the server needs none.
func (p *Permits) ask(ctx context.Context, ask permit.Ask) (answer permit.Answer, slot *heldSlot, answered bool) {
	p.mu.Lock()
	issuer, number := p.issuerOf(ask.Server), p.nextNumber()
	if p.needsSlot(time.Now(), ask.Server) {
		issuer = p.slotIssuerOf(ask.Server)
		slot = &heldSlot{ask.Server, issuer, number}
		ask.Slot = &permit.SlotAsk{Holder: permit.Holder{Router: p.Self, Number: number}, MaxHold: timeUntilDeadline(ctx)}
	} else {
		ask.PerSecond, _ = p.capacity.Rate(time.Now(), ask.Server)
	}
	reply := p.expectAnswer(issuer, number)
	if issuer == p.Self {
		if answer, decided := p.issue(time.Now(), ask); decided {
			delete(p.pending, number)
			p.mu.Unlock()
			return answer, slot, true
		}
		p.mu.Unlock()
	} else {
		q := PermitQuestion{Number: number, Ask: ask}
		var known bool
		if q.Limit, known = p.ledger.Get(ask.Server); !known {
			// The question must not tell the issuer of a limit that nobody has stated.
			q.Limit = permit.Limit{Ended: true, At: time.Now().Add(-unknownLimitAge)}
		}
		_, q.IsCold = p.cold.Rate(ask.Server)
		address := p.fleet.Issuers[issuer]
		p.mu.Unlock()
		p.Send(address, q)
	}
	answer, answered = p.awaitAnswer(ctx, number, reply, permitTimeout+queueTime(ask, slot))
	return answer, slot, answered
}

// queueTime returns how long the issuer may let a request wait for a slot before it answers.
func queueTime(ask permit.Ask, slot *heldSlot) time.Duration {
	if slot == nil {
		return 0
	}
	return ask.MaxDelay
}

// nextNumber returns the number of a new question, which is not 0.
func (p *Permits) nextNumber() uint32 {
	if p.lastNumber++; p.lastNumber == 0 {
		p.lastNumber = 1
	}
	return p.lastNumber
}

// expectAnswer returns the channel for the answer to a question.
func (p *Permits) expectAnswer(issuer string, number uint32) chan permit.Answer {
	reply := make(chan permit.Answer, 1)
	p.pending[number] = pendingQuestion{issuer, reply}
	return reply
}

// awaitAnswer waits for the answer to a question.
func (p *Permits) awaitAnswer(ctx context.Context, number uint32, reply chan permit.Answer, limit time.Duration) (answer permit.Answer, answered bool) {
	timeout := time.NewTimer(limit)
	defer timeout.Stop()
	select {
	case answer = <-reply:
		return answer, true
	case <-timeout.C:
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, number)
	return permit.Answer{}, false
}

// retryAfter returns the retry delay of a request that no server takes because of rate limits.
// wait and limitSum are those of the balance.Choice.
func (p *Permits) retryAfter(now time.Time, service string, wait time.Duration, limitSum float64, timeLeft time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pacer.RetryAfter(now, service, wait, limitSum/float64(max(1, p.fleet.Size)), timeLeft)
}

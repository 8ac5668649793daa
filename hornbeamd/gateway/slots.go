package gateway

import (
	"context"
	"time"

	"hornbeamstep.example/routing/balance"
	"hornbeamstep.example/routing/permit"
)

// releaseTries is the number of times that the end of a request is sent to the issuer of its slot.
const releaseTries = 3

// heldSlot is the slot of a brittle server that a request of this router holds, or waits for.
type heldSlot struct {
	server, issuer string
	// number is that of the question for the slot.
	number uint32
}

// part returns the part of the slots that this router may hand out as their issuer. Routers without
// slots send what they think is theirs.
func (p *Permits) part() float64 {
	return permit.PartOf(1, p.slotIssuers.Count(), p.fleet.Lost+len(p.fleet.WithoutSlots))
}

// slotIssuerOf returns the router that hands out the slots of a server: the issuer of its permits, unless
// the release of that one has no slots.
func (p *Permits) slotIssuerOf(server string) string {
	if issuer := p.slotIssuers.Of(server); issuer != "" {
		return issuer
	}
	return p.Self
}

// needsSlot reports whether a server is brittle, so that a request needs one of its slots. While routers
// without slots are in the fleet, one that is also limited is left to its issuer, which may be such a
// router: the limit is kept by all.
func (p *Permits) needsSlot(now time.Time, server string) bool {
	if _, brittle := p.brittle.MaxRejections(now, server); !brittle {
		return false
	}
	_, limited := p.statedLimit(server)
	return !limited || len(p.fleet.WithoutSlots) == 0
}

// NeedsSlot implements balance.RateLimits.
func (p *Permits) NeedsSlot(server string) bool {
	if !p.anyLimited.Load() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.needsSlot(time.Now(), server)
}

// observeBrittle records that a server states that it is brittle, and reports whether the servers of its
// service were not known to be.
func (p *Permits) observeBrittle(now time.Time, server string, maxRejections int) (began bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	began = p.brittle.Observe(now, server, maxRejections)
	p.updateAnyLimited()
	return began
}

// MergeBrittle records that the servers of a service are brittle, as another router says, and reports
// whether that was not known.
func (p *Permits) MergeBrittle(now time.Time, s permit.BrittleService) (began bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	began = p.brittle.Merge(now, s)
	p.updateAnyLimited()
	return began
}

// BrittleServices returns the services with brittle servers.
func (p *Permits) BrittleServices(now time.Time) []permit.BrittleService {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.brittle.Services(now)
}

// HasBrittle reports whether any servers are brittle.
func (p *Permits) HasBrittle(now time.Time) bool {
	if !p.anyLimited.Load() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.brittle.Any(now)
}

// SetLoads records the requests in progress from all routers, by server.
func (p *Permits) SetLoads(now time.Time, loads map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slots.Report(now, loads)
}

// Tick hands out the slots of requests whose time is over.
func (p *Permits) Tick(now time.Time) {
	if !p.HasBrittle(now) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deliver(p.slots.Tick(now, p.part()))
}

// deliver tells requests that have waited for a slot that they have it.
func (p *Permits) deliver(grants []permit.Grant) {
	for _, g := range grants {
		answer := permit.Answer{Granted: true}
		if g.ReplyTo != "" {
			p.Reply(g.ReplyTo, g.Server, g.Holder.Number, answer)
			continue
		}
		if pending, waiting := p.pending[g.Holder.Number]; waiting {
			delete(p.pending, g.Holder.Number)
			pending.answer <- answer
		}
	}
}

// ReleaseSlot ends the hold of another router's request on a slot.
func (p *Permits) ReleaseSlot(now time.Time, server string, holder permit.Holder, ending permit.Ending) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.releaseAsIssuer(now, server, holder, ending)
}

func (p *Permits) releaseAsIssuer(now time.Time, server string, holder permit.Holder, ending permit.Ending) {
	maxRejections, _ := p.brittle.MaxRejections(now, server)
	p.deliver(p.slots.Release(now, server, holder, ending, p.part(), maxRejections))
}

// release ends the hold of a request of this router on a slot, which may be nil.
func (p *Permits) release(slot *heldSlot, ending permit.Ending) {
	if slot == nil {
		return
	}
	if slot.issuer == p.Self {
		p.ReleaseSlot(time.Now(), slot.server, permit.Holder{Router: p.Self, Number: slot.number}, ending)
		return
	}
	go p.sendRelease(slot, ending)
}

// sendRelease sends the end of a request to the issuer until it is acknowledged. If that is lost, the
// slot is free at the request's deadline.
func (p *Permits) sendRelease(slot *heldSlot, ending permit.Ending) {
	for range releaseTries {
		p.mu.Lock()
		number := p.nextNumber()
		reply := p.expectAnswer(slot.issuer, number)
		address, live := p.fleet.Issuers[slot.issuer]
		p.mu.Unlock()
		if live {
			limit := permit.Limit{Ended: true, At: time.Now().Add(-unknownLimitAge)}
			p.Send(address, PermitQuestion{Number: number, Ask: permit.Ask{Server: slot.server}, Limit: limit, Releases: slot.number, Ending: ending})
		}
		if _, acknowledged := p.awaitAnswer(context.Background(), number, reply, permitTimeout); acknowledged {
			return
		}
	}
}

// slotEnding returns how an attempt ended for the slot that it held.
func (a *attempt) slotEnding(outcome balance.Outcome) permit.Ending {
	switch {
	case outcome == balance.Refused:
		return permit.Rejected
	case outcome == balance.Answered, outcome == balance.Failed, !a.sent:
		return permit.Done
	}
	return permit.Lost
}

// recordEnd records the end of the attempt at its server, and releases its slot there.
func (a *attempt) recordEnd(now time.Time, outcome balance.Outcome, took time.Duration) {
	a.request.server.Upstreams.recordEnd(now, a.choice.Server.ID, outcome, took)
	a.request.server.Permits.release(a.slot, a.slotEnding(outcome))
	a.slot = nil
}

// timeUntilDeadline returns the time until the deadline of a request, or 0 if it has none.
func timeUntilDeadline(ctx context.Context) time.Duration {
	deadline, has := ctx.Deadline()
	if !has {
		return 0
	}
	return max(time.Millisecond, time.Until(deadline))
}

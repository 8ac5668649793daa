package balance

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// chooseByAffinity returns the first server in the rendezvous order of the request's prompt that
// admits the request, or the choice of chooseByLoad if none does. The order is that of the longest
// shared prefix. holder is a server that most likely has a longer prefix of the prompt in its cache
// than the chosen server, or nil if none is known. mean is that of Choice.Mean.
func (b *Balancer) chooseByAffinity(now time.Time, p *pool, usable []*entry, req Request, mean float64) (chosen, holder *entry, reason Reason) {
	var best, home *entry
	var bestScore, homeScore float64
	limit, openMean, promptRate := b.maxLoad(p, mean), meanLoadOf(b.open(now, p, req)), b.promptIndex.rate(now, req.PrefixHashes[0])
	unreported := b.unreported(p, mean)
	draw := req.Draw
	for _, e := range usable {
		score := e.score(req)
		if home == nil || score > homeScore {
			home, homeScore = e, score
		}
		// Each server needs an independent random number.
		draw = deriveDraw(draw, e.seed)
		if (best == nil || score > bestScore) && b.admits(e, e.boundBySlots(limit*(1-excessFailureRate(usable, e)), openMean, req), promptRate, unreported, draw) {
			best, bestScore = e, score
		}
	}
	if best == nil {
		best = b.chooseByLoad(now, p, usable, req)
	}
	reason = Spilled
	if best == home {
		reason = Home
	}
	if !req.IsRepeated {
		b.promptIndex.count(now, req.PrefixHashes[0])
	}
	return best, b.findHolder(now, p, req, best), reason
}

// rememberPrompt records that the prompt of a request is sent to a server.
func (b *Balancer) rememberPrompt(req Request, e *entry) {
	for _, prefix := range req.PrefixHashes {
		b.promptIndex.put(prefix, e.incarnation())
	}
}

// findHolder returns a server that most likely has a longer shared prefix of the prompt in its
// cache than the chosen server, or nil if none is known.
func (b *Balancer) findHolder(now time.Time, p *pool, req Request, chosen *entry) *entry {
	for i, prefix := range req.PrefixHashes {
		if b.promptIndex.has(prefix, chosen.incarnation()) {
			return nil
		}
		if e := b.findPreviousRecipient(now, p, prefix, req, chosen); e != nil {
			return e
		}
		if e := b.findPreviousHome(now, p, req, chosen); i == 0 && e != nil {
			return e
		}
	}
	return nil
}

// findPreviousRecipient returns a server to which this router has already sent a prompt with this
// prefix, and from which the chosen server can fetch it, or nil if none is known.
func (b *Balancer) findPreviousRecipient(now time.Time, p *pool, prefix uint64, req Request, chosen *entry) *entry {
	for _, servers := range [][]*entry{p.entries, p.draining} {
		for _, e := range servers {
			if b.promptIndex.has(prefix, e.incarnation()) && b.canFetchFrom(now, e, chosen, req) {
				return e
			}
		}
	}
	return nil
}

// findPreviousHome returns the server that most likely served the prompt until now, or nil if none
// is known. This is the first server in the rendezvous order, draining servers included and servers
// that joined within coldCacheTime excluded. If no such server precedes the chosen one, and the
// chosen server joined within Settings.WarmUp, it is instead the first server in the order that
// joined before the chosen one.
func (b *Balancer) findPreviousHome(now time.Time, p *pool, req Request, chosen *entry) *entry {
	var best *entry
	bestScore := mix(req.PrefixHashes[0] ^ chosen.seed)
	none := true
	scan := func(matches func(*entry, uint64) bool) {
		for _, servers := range [][]*entry{p.entries, p.draining} {
			for _, e := range servers {
				score := mix(req.PrefixHashes[0] ^ e.seed)
				if e != chosen && b.canFetchFrom(now, e, chosen, req) && matches(e, score) && (none || score > bestScore) {
					best, bestScore, none = e, score, false
				}
			}
		}
	}
	chosenScore := bestScore
	scan(func(e *entry, score uint64) bool {
		return score > chosenScore && !b.joinedWithin(now, e, coldCacheTime)
	})
	if best == nil && b.joinedWithin(now, chosen, b.settings.WarmUp) {
		scan(func(e *entry, _ uint64) bool { return e.joinedAt.Before(chosen.joinedAt) })
	}
	return best
}

// coldCacheTime is the time after joining during which the cache of a server is nearly empty,
// because the server has served hardly any prompts.
const coldCacheTime = time.Second

// joinedWithin reports whether a server joined within the given time.
func (b *Balancer) joinedWithin(now time.Time, e *entry, within time.Duration) bool {
	return !e.joinedAt.IsZero() && now.Sub(e.joinedAt) < within
}

// canFetchFrom reports whether the chosen server can fetch a prompt prefix from another one. It is
// false if the other server has another software version, is in a zone that is not allowed, is paused
// or in the list of servers to avoid.
func (b *Balancer) canFetchFrom(now time.Time, e, chosen *entry, req Request) bool {
	return e.Version == chosen.Version && req.allowsZone(e.Zone) && !now.Before(e.pausedUntil) && !now.Before(e.reportedUntil) && !slices.Contains(req.Avoid, e.ID)
}

// boundBySlots lowers the load limit to the server's number of slots, but not below mean+1, where
// mean is that of the servers that are not at their rate limit. While it is below the number of
// slots, other servers have free slots, and waiting for a slot takes longer than processing the
// prompt on another server.
func (e *entry) boundBySlots(limit, mean float64, req Request) float64 {
	return min(limit, max(float64(max(1, req.Slots, e.Slots)), mean+1))
}

// loadLimit returns the maximum load of a server that does not fail more often than the others.
func (b *Balancer) loadLimit(mean float64) float64 {
	return b.settings.LoadFactor*mean + b.settings.LoadAllowance
}

// admits reports whether a server stays within the load limit with one more request. The other
// routers may have sent requests to the server since their last reports. They are assumed to send
// requests with the same prompt at the same rate as this router, or as many as unreported if that
// is more. If the server has no room for that many requests, the result is true with a probability
// of room/unreported, so that each router sends only its share. draw is a random number in [0,1).
func (b *Balancer) admits(e *entry, limit, promptRate, unreported, draw float64) bool {
	room := limit - float64(e.load())
	unreported = max(unreported, promptRate*float64(b.routers)*b.reportAge.Seconds())
	return room >= 1 && draw*unreported <= room
}

// unreported returns the number of requests of all routers that a server has in addition to the
// reported ones: those that it gets within the age of the reports. It is 0 unless a zone is
// evacuated, which leaves the servers in use little room.
func (b *Balancer) unreported(p *pool, mean float64) float64 {
	if p.meanDuration == 0 || !p.hasEvacuated() {
		return 0
	}
	return mean * b.reportAge.Seconds() / p.meanDuration.Seconds()
}

// PrefixHashes returns the hashes of the prefixes of a prompt that other requests may share, the
// longest first. The last part is left out, because it belongs to this request or its chat, unless
// it is the only part.
func PrefixHashes(model string, parts []string) []uint64 {
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

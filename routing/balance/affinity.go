package balance

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

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
		if (best == nil || score > bestScore) && b.admits(e, e.room(limit*(1-excess(usable, e)), mean, a), prompts, draw) {
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
	b.caches.count(now, a.Prompt[0])
	return best, b.holder(now, p, a, best), why
}

// remember notes that a request is sent to a server.
func (b *Balancer) remember(a Ask, e *entry) {
	for _, beginning := range a.Prompt {
		b.caches.put(beginning, e.instance())
	}
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

// room bounds the limit by the slots while others have free ones: a request waits longer for a slot than for its prompt to be read.
func (e *entry) room(limit, mean float64, a Ask) float64 {
	return min(limit, max(float64(max(1, a.Slots, e.Slots)), mean+1))
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

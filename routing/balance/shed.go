package balance

import "time"

const (
	// delayWeight is the number of answers over which delays are averaged. More would react too late and swing.
	delayWeight = 4
	// delayMemory is the time after which delays no longer count: that of some answers.
	delayMemory = time.Second
	// busyShare is the share of the slots that are in use from which on requests are shed. Below it, delays have another cause.
	busyShare = 0.8
	// baseWeight is the number of answers over which the delays without a queue are averaged.
	baseWeight = 64
	// shedFrom and shedAll are the delays in the queue, as shares of what the target leaves for it, between which the share of requests that are shed grows from
	// none to all. Delays settle between them, below the target with room for swings.
	shedFrom = 1.0 / 3
	shedAll  = 2.0 / 3
	// shortFrom and shortAll replace them for requests that are shorter than reports are old: the queue of a server changes faster
	// than routers learn of it, and its own refusals keep it short.
	shortFrom = 0.75
	shortAll  = 1.25
	// shedMost is the greatest share of requests that are shed; the others show when the overload is over.
	shedMost = 0.95
)

// sheds is true for a request that is refused because its service is overloaded. Under a load that lasts, a queue in which all wait
// for longer than their target makes all answers late, while as many as the servers can take could be in time. It is judged by the
// delays of each priority, and a request is shed at least as often as more urgent ones.
func (b *Balancer) sheds(now time.Time, p *pool, a Ask, mean float64, wait time.Duration) bool {
	p.busy = mean >= busyShare*p.slots(a)
	if !p.busy || a.Target <= 0 {
		return false
	}
	from, all := shedFrom, shedAll
	if p.work > 0 && p.work < b.lag {
		from, all, wait = shortFrom, shortAll, 0
	}
	share := 0.0
	for priority, d := range p.delays {
		if priority <= a.Priority && now.Sub(d.at) < delayMemory {
			share = max(share, (d.used(wait)-from)/(all-from))
		}
	}
	return next(a.Draw, b.salt) < min(shedMost, share)
}

// delay is the time until an answer begins, averaged.
type delay struct {
	// recent is that of the latest answers, and base that while the service was not busy.
	recent, base time.Duration
	// target is that of the latest answer, and at when it began.
	target time.Duration
	at     time.Time
}

// used is the part of what the target leaves for the queue that answers wait there. Wait is the expected time until a server begins
// a further request, or 0.
func (d delay) used(wait time.Duration) float64 {
	room := d.target - d.base
	if room <= 0 {
		return 0
	}
	queued := d.recent - d.base
	if float64(queued) > shedFrom*float64(room) {
		// The expected wait tells of a growing queue before answers are late.
		queued = max(queued, min(wait, 2*queued))
	}
	return float64(queued) / float64(room)
}

// slots is the mean number of slots of a server.
func (p *pool) slots(a Ask) float64 {
	total := 0
	for _, e := range p.entries {
		total += max(1, a.Slots, e.Slots)
	}
	return float64(total) / float64(len(p.entries))
}

// Began takes the time after which the answer to a request began.
func (b *Balancer) Began(now time.Time, a Ask, took time.Duration) {
	p := b.pools[a.Service]
	if p == nil || a.Target <= 0 {
		return
	}
	d := p.delays[a.Priority]
	d.recent += (took - d.recent) / delayWeight
	if !p.busy {
		d.base += (took - d.base) / baseWeight
	}
	d.target, d.at = a.Target, now
	p.delays[a.Priority] = d
}

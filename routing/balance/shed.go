package balance

import "time"

const (
	// delayWeight is the number of answers over which delays are averaged. More would react too late and swing.
	delayWeight = 4
	// delayMemory is the time after which delays no longer count: that of some answers.
	delayMemory = time.Second
	// baseWeight is the number of answers over which the delays without a queue are averaged.
	baseWeight = 64
	// busyShare is the share of the slots that are in use from which on requests are shed. Below it, delays have another cause.
	busyShare = 0.8
	// queueAim is the part of what a target leaves for the queue that answers should wait there under overload, with room for swings.
	queueAim = 0.5
	// queueLeast is the part below which the queue counts as short: as many requests are admitted as answers begin, times shortGrowth,
	// or times urgentGrowth while less urgent ones can be shed in their place.
	queueLeast   = 0.25
	shortGrowth  = 1.6
	urgentGrowth = 3.0
	// shortFrom and shortAll are the same parts between which the share of shed requests grows from none to all, for requests that
	// are shorter than reports are old: the queue of a server changes faster than routers learn of it, and its own refusals keep
	// it short.
	shortFrom = 0.75
	shortAll  = 1.25
	// shedMost is the greatest share of requests that are shed; the others show when the overload is over.
	shedMost = 0.95
)

// sheds is true for a request that is refused because its service is overloaded. Under a load that lasts, a queue in which all wait
// for longer than their target makes all answers late, while as many as the servers can take could be in time. So as many requests
// are admitted as answers begin, some more while the queue is shorter than its aim and fewer while it is longer. It is judged by the
// delays of each priority, and a request is shed at least as often as more urgent ones.
func (b *Balancer) sheds(now time.Time, p *pool, a Ask, mean float64, wait time.Duration) bool {
	p.busy = mean >= busyShare*p.slots(a)
	if a.Target <= 0 {
		return false
	}
	own := p.delay(a.Priority)
	own.asked.count(now)
	if !p.busy {
		return false
	}
	short := p.work > 0 && p.work < b.lag
	share, last := 0.0, p.last(now)
	for priority, d := range p.delays {
		switch {
		case priority > a.Priority || now.Sub(d.at) >= delayMemory:
		case short:
			share = max(share, (d.queued()-shortFrom)/(shortAll-shortFrom))
		default:
			share = max(share, d.shed(now, wait, priority < last))
		}
	}
	return next(a.Draw, b.salt) < min(shedMost, share)
}

// last is the least urgent priority of which answers begin.
func (p *pool) last(now time.Time) int {
	last := 0
	for priority, d := range p.delays {
		if now.Sub(d.at) < delayMemory {
			last = max(last, priority)
		}
	}
	return last
}

// delay is what is known of the answers to requests of one priority.
type delay struct {
	// recent is the time until the latest answers began, averaged, and base the same while the service was not busy.
	recent, base time.Duration
	// target is that of the latest answer, and at when it began.
	target time.Duration
	at     time.Time
	// asked and begun are the rates of requests and of answers that began.
	asked, begun rate
}

// delay returns what is known of a priority.
func (p *pool) delay(priority int) *delay {
	d := p.delays[priority]
	if d == nil {
		d = &delay{}
		p.delays[priority] = d
	}
	return d
}

// queued is the part of what the target leaves for the queue that the latest answers waited there.
func (d *delay) queued() float64 {
	room := d.target - d.base
	if room <= 0 {
		return 0
	}
	return float64(d.recent-d.base) / float64(room)
}

// shed is the share of requests to shed. Wait is the expected time until a server begins a further request, and urgent is true if
// there are less urgent ones.
func (d *delay) shed(now time.Time, wait time.Duration, urgent bool) float64 {
	queued, growth := d.queued(), shortGrowth
	switch {
	case queued >= queueLeast:
		// The expected wait tells of a growing queue before answers are late.
		queued = max(queued, min(float64(wait)/float64(d.target-d.base), 2*queued))
		growth = 1 + queueAim - queued
	case urgent:
		growth = urgentGrowth
	}
	return 1 - d.begun.perSecond(now)/d.asked.perSecond(now)*growth
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
	d := p.delay(a.Priority)
	if d.at.IsZero() {
		d.recent, d.base = took, took
	}
	d.recent += (took - d.recent) / delayWeight
	if !p.busy {
		d.base += (took - d.base) / baseWeight
	}
	d.target, d.at = a.Target, now
	d.begun.count(now)
}

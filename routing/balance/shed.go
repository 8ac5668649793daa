package balance

import "time"

const (
	// delaySamples is the number of answers over which delays are averaged. With more, shedding
	// would react too late and oscillate.
	delaySamples = 4
	// delayMaxAge is the age above which measured delays are ignored, long enough for a few
	// answers.
	delayMaxAge = time.Second
	// baselineSamples is the number of answers over which the delay without a queue is averaged.
	baselineSamples = 64
	// busyThreshold is the share of slots in use from which on requests are shed. Below it, delays
	// have another cause.
	busyThreshold = 0.8
	// targetQueueFraction is the intended queueing delay under overload, as a fraction of the
	// queueing time that the target allows. It leaves a margin for oscillation.
	targetQueueFraction = 0.5
	// shortQueueFraction is the fraction below which the queue counts as short. Requests are then
	// admitted at the rate at which answers start times shortQueueGrowth, or times urgentGrowth
	// while less urgent requests can be shed instead.
	shortQueueFraction = 0.25
	shortQueueGrowth   = 1.6
	urgentGrowth       = 3.0
	// shedFrom and shedAll are the fractions between which the share of shed requests grows from
	// none to all. They apply to requests that are shorter than the age of the load reports: the
	// queue of a server then changes faster than the routers learn of it, and the server keeps its
	// queue short by refusing requests itself.
	shedFrom = 0.75
	shedAll  = 1.25
	// maxShedShare is the maximum share of requests that are shed. The remaining requests show when
	// the overload is over.
	maxShedShare = 0.95
)

// shouldShed reports whether a request is rejected because its service is overloaded. Under lasting
// overload, a queue in which every request waits longer than its target makes all answers late,
// although as many as the servers have capacity for could be in time. So requests are admitted at
// the rate at which answers start: somewhat more while the queue is shorter than
// targetQueueFraction, and fewer while it is longer. The decision uses the delays of each priority,
// and a request is shed at least as often as more urgent ones.
func (b *Balancer) shouldShed(now time.Time, p *pool, req Request, mean float64, wait time.Duration) bool {
	p.busy = mean >= busyThreshold*p.meanSlots(req)
	if req.LatencyTarget <= 0 {
		return false
	}
	stats := p.delayFor(req.Priority)
	stats.requests.count(now)
	if !p.busy {
		return false
	}
	shortRequests := p.meanDuration > 0 && p.meanDuration < b.reportAge
	share, leastUrgent := 0.0, p.leastUrgent(now)
	for priority, d := range p.delays {
		switch {
		case priority > req.Priority || now.Sub(d.updatedAt) >= delayMaxAge:
		case shortRequests:
			share = max(share, (d.queueFraction()-shedFrom)/(shedAll-shedFrom))
		default:
			share = max(share, d.shedShare(now, wait, priority < leastUrgent))
		}
	}
	return deriveDraw(req.Draw, b.salt) < min(maxShedShare, share)
}

// leastUrgent returns the least urgent priority for which answers have started recently.
func (p *pool) leastUrgent(now time.Time) int {
	leastUrgent := 0
	for priority, d := range p.delays {
		if now.Sub(d.updatedAt) < delayMaxAge {
			leastUrgent = max(leastUrgent, priority)
		}
	}
	return leastUrgent
}

// delayStats holds the delays and rates of the requests of one priority.
type delayStats struct {
	// recent is the moving average of the time until answers started, and baseline the same while
	// the service was not busy.
	recent, baseline time.Duration
	// target is the target of the latest answer, and updatedAt when that answer started.
	target    time.Duration
	updatedAt time.Time
	// requests is the rate of requests, and answers the rate of answers that started.
	requests, answers rate
}

// delayFor returns the statistics of a priority.
func (p *pool) delayFor(priority int) *delayStats {
	d := p.delays[priority]
	if d == nil {
		d = &delayStats{}
		p.delays[priority] = d
	}
	return d
}

// queueFraction returns the queueing delay of the latest answers, as a fraction of the queueing
// time that the target allows.
func (d *delayStats) queueFraction() float64 {
	room := d.target - d.baseline
	if room <= 0 {
		return 0
	}
	return float64(d.recent-d.baseline) / float64(room)
}

// shedShare returns the share of requests to shed. wait is the expected time until a server starts
// one more request, and urgent is true if there are less urgent requests.
func (d *delayStats) shedShare(now time.Time, wait time.Duration, urgent bool) float64 {
	queued, growth := d.queueFraction(), shortQueueGrowth
	switch {
	case queued >= shortQueueFraction:
		// The expected wait shows a growing queue before answers are late.
		queued = max(queued, min(float64(wait)/float64(d.target-d.baseline), 2*queued))
		growth = 1 + targetQueueFraction - queued
	case urgent:
		growth = urgentGrowth
	}
	return 1 - d.answers.perSecond(now)/d.requests.perSecond(now)*growth
}

// meanSlots returns the mean number of slots per server.
func (p *pool) meanSlots(req Request) float64 {
	total := 0
	for _, e := range p.entries {
		total += max(1, req.Slots, e.Slots)
	}
	return float64(total) / float64(len(p.entries))
}

// ResponseStarted records that the response to a request has started. delay is the time since the
// request was sent.
func (b *Balancer) ResponseStarted(now time.Time, req Request, delay time.Duration) {
	p := b.pools[req.Service]
	if p == nil || req.LatencyTarget <= 0 {
		return
	}
	d := p.delayFor(req.Priority)
	if d.updatedAt.IsZero() {
		d.recent, d.baseline = delay, delay
	}
	d.recent += (delay - d.recent) / delaySamples
	if !p.busy {
		d.baseline += (delay - d.baseline) / baselineSamples
	}
	d.target, d.updatedAt = req.LatencyTarget, now
	d.answers.count(now)
}

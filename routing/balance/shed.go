package balance

import "time"

const (
	// delaySamples is the number of responses over which delays are averaged. With more, shedding
	// would react too late and oscillate.
	delaySamples = 4
	// delayMaxAge is the age above which measured delays are ignored. It is long enough for a few
	// responses to start.
	delayMaxAge = time.Second
	// baselineDelaySamples is the number of responses over which the delay without a queue is
	// averaged.
	baselineDelaySamples = 64
	// busyThreshold is the share of slots in use at which shedding starts. While fewer are in use,
	// long delays have another cause than overload.
	busyThreshold = 0.8
	// targetQueueFraction is the intended queueing delay under overload, as a fraction of the
	// queueing time that the target allows. It leaves a margin for oscillation.
	targetQueueFraction = 0.5
	// shortQueueFraction is the queueing delay below which the queue counts as short, as the same
	// kind of fraction. The rate of admitted requests is then limited to shortQueueGrowth times the
	// rate of started responses, or to urgentGrowth times while less urgent requests can be shed
	// instead.
	shortQueueFraction = 0.25
	shortQueueGrowth   = 1.6
	urgentGrowth       = 3.0
	// shedFrom and shedAll apply to requests that are shorter than the age of the load reports. The
	// share of shed requests then rises from 0 to 1 while the queueing delay, as a fraction of the
	// queueing time that the target allows, rises from shedFrom to shedAll. The queue of a server
	// changes faster than the routers learn of it in this case, and the server keeps its queue
	// short by refusing requests itself.
	shedFrom = 0.75
	shedAll  = 1.25
	// maxShedShare is the maximum share of requests that are shed. The remaining requests show when
	// the overload is over.
	maxShedShare = 0.95
)

// shouldShed counts a request, updates p.busy, and reports whether the request is rejected because
// its service is overloaded. Under lasting overload, every request would wait in the queue for
// longer than its target, and all responses would be late. If the excess is shed, the servers can
// respond in time to as many requests as they have capacity for. So the rate of admitted requests
// follows the rate of started responses: it is higher while the queueing delay is below
// targetQueueFraction, and lower while it is above. The share to shed is the highest that results
// from the delays of the request's own and all more urgent priorities, so that a request is shed at
// least as often as more urgent ones.
func (b *Balancer) shouldShed(now time.Time, p *pool, req Request, mean float64, wait time.Duration) bool {
	p.busy = mean >= busyThreshold*p.meanSlots(req)
	if req.LatencyTarget <= 0 {
		return false
	}
	stats := p.delayFor(req.Priority)
	if !req.IsRepeated {
		stats.requests.count(now)
	}
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

// leastUrgent returns the least urgent priority for which responses have started recently.
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
	// recent is the moving average of the time from sending a request until its response started,
	// and baseline the same for the time when the service was not busy.
	recent, baseline time.Duration
	// target is the latency target of the latest response, and updatedAt when that response
	// started.
	target    time.Duration
	updatedAt time.Time
	// requests is the rate of requests, and responses the rate of responses that started.
	requests, responses rate
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

// queueFraction returns the queueing delay of the latest responses, as a fraction of the queueing
// time that the target allows.
func (d *delayStats) queueFraction() float64 {
	room := d.target - d.baseline
	if room <= 0 {
		return 0
	}
	return float64(d.recent-d.baseline) / float64(room)
}

// shedShare returns the share of requests to shed. wait is the expected time until a server starts
// one more request, and hasLessUrgent is true if there are requests with a less urgent priority.
func (d *delayStats) shedShare(now time.Time, wait time.Duration, hasLessUrgent bool) float64 {
	queued, growth := d.queueFraction(), shortQueueGrowth
	switch {
	case queued >= shortQueueFraction:
		// The expected wait shows a growing queue before responses are late.
		queued = max(queued, min(float64(wait)/float64(d.target-d.baseline), 2*queued))
		growth = 1 + targetQueueFraction - queued
	case hasLessUrgent:
		growth = urgentGrowth
	}
	return 1 - d.responses.perSecond(now)/d.requests.perSecond(now)*growth
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
		d.baseline += (delay - d.baseline) / baselineDelaySamples
	}
	d.target, d.updatedAt = req.LatencyTarget, now
	d.responses.count(now)
}

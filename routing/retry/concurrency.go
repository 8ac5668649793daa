package retry

import "time"

// ConcurrencySettings configures an adaptive concurrency limit.
type ConcurrencySettings struct {
	// MinLimit and MaxLimit are the minimum and the maximum of the limit.
	MinLimit, MaxLimit float64
	// DelayTolerance is the multiple of the minimum delay above which the limit is decreased, such
	// as 2 for twice the delay.
	DelayTolerance float64
	// DecreaseFactor multiplies the limit when it is decreased. Requests that started before a
	// decrease do not cause another one.
	DecreaseFactor float64
	// MinDelayAge is the age after which the minimum delay is replaced by a higher one, provided
	// that at most a quarter of the limit is in use.
	MinDelayAge time.Duration
	// Smoothing is the weight, in (0,1], of the latest delay in the moving average that is compared
	// with the minimum delay. With 1 each delay is compared by itself, so that a slow kind of
	// request among fast ones looks like an overload.
	Smoothing float64
}

// DefaultConcurrency returns the default settings.
func DefaultConcurrency() ConcurrencySettings {
	return ConcurrencySettings{MinLimit: 1, MaxLimit: 1024, DelayTolerance: 2, DecreaseFactor: 0.9, MinDelayAge: time.Minute, Smoothing: 1}
}

// ConcurrencyLimit limits the requests in flight and adapts the limit to the measured delay by
// additive increase and multiplicative decrease (AIMD). While at least half of the limit is in use,
// each timely response increases it by 1/limit, which adds about one per limit responses. Late and
// failed responses multiply the limit by DecreaseFactor. It is not safe for concurrent use.
type ConcurrencyLimit struct {
	settings ConcurrencySettings
	limit    float64
	inFlight int
	// minDelay is the lowest moving average of the delay, measured at minDelayAt; 0 before the
	// first success.
	minDelay time.Duration
	// meanDelay is the moving average of the delay (see smoothed); 0 before the first request.
	meanDelay  time.Duration
	minDelayAt time.Time
	// decreased is when the limit was last decreased. Late or failed requests that started before
	// do not decrease it again.
	decreased time.Time
}

// NewConcurrencyLimit returns a limit that starts at the given value, within the bounds of the
// settings.
func NewConcurrencyLimit(s ConcurrencySettings, start float64) *ConcurrencyLimit {
	return &ConcurrencyLimit{settings: s, limit: min(max(start, s.MinLimit), s.MaxLimit)}
}

// Limit returns the current limit.
func (c *ConcurrencyLimit) Limit() float64 { return c.limit }

// Load returns the share of the limit that is in use.
func (c *ConcurrencyLimit) Load() float64 { return float64(c.inFlight) / c.limit }

// Acquire reports whether a request of the given class may start and, if so, counts it as in
// flight. Less urgent classes are shed first: batch (2) from 0.8 of the limit, normal (1) from 0.9,
// and urgent (0) at the limit. If no request is in flight, one of any class may start.
func (c *ConcurrencyLimit) Acquire(class int) bool {
	if float64(c.inFlight+1) > c.limit*(1-0.1*float64(min(max(class, 0), 2))) && c.inFlight > 0 {
		return false
	}
	c.inFlight++
	return true
}

// Release records the outcome of a request that was counted by Acquire.
func (c *ConcurrencyLimit) Release(now, started time.Time, ok bool) {
	inFlight := c.inFlight
	c.inFlight = max(0, c.inFlight-1)
	delay := c.smoothed(now.Sub(started), ok)
	// A minimum delay above the previous one is only accepted while few requests are in flight.
	// Measured under overload, it would make the overload look normal.
	expired := now.Sub(c.minDelayAt) > c.settings.MinDelayAge && float64(inFlight) <= c.limit/4
	if ok && (c.minDelay == 0 || delay <= c.minDelay || expired) {
		c.minDelay, c.minDelayAt = max(delay, 1), now
	}
	late := float64(delay) > c.settings.DelayTolerance*float64(c.minDelay)
	switch {
	case ok && !late:
		// While less than half of the limit is in use, a timely response does not show that a
		// higher limit is safe.
		if float64(inFlight) >= c.limit/2 {
			c.limit = min(c.settings.MaxLimit, c.limit+1/c.limit)
		}
	case started.After(c.decreased):
		c.limit = max(c.settings.MinLimit, c.limit*c.settings.DecreaseFactor)
		c.decreased = now
	}
}

// ReleaseWithoutOutcome ends a request that was counted by Acquire and whose outcome says nothing
// about the load of the server.
func (c *ConcurrencyLimit) ReleaseWithoutOutcome() { c.inFlight = max(0, c.inFlight-1) }

// smoothed adds a delay to the moving average and returns the average. With smoothing, the delays
// of failed requests are ignored after the first request, because failures end early or at a
// deadline. A Smoothing of 1 or outside of (0,1] replaces the average by each delay.
func (c *ConcurrencyLimit) smoothed(delay time.Duration, ok bool) time.Duration {
	if c.meanDelay == 0 || c.settings.Smoothing >= 1 || c.settings.Smoothing <= 0 {
		c.meanDelay = delay
	} else if ok {
		c.meanDelay += time.Duration(c.settings.Smoothing * float64(delay-c.meanDelay))
	}
	return c.meanDelay
}

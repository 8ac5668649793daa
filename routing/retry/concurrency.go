package retry

import "time"

// ConcurrencySettings govern the adaptive concurrency limit.
type ConcurrencySettings struct {
	// Least and Most bound the limit.
	Least, Most float64
	// Slack is how much longer than the shortest delay a request may take before the limit falls, such as 2 for twice.
	Slack float64
	// Shrink is the factor by which the limit falls, at most once in a delay.
	Shrink float64
	// Memory is the time after which the shortest delay is measured anew when little is in flight.
	Memory time.Duration
	// Smooth is the weight of the latest delay in the mean that is compared, in (0,1]. With 1 each delay counts alone, which
	// takes a slow kind of request among fast ones for an overload.
	Smooth float64
}

// DefaultConcurrency returns the default settings.
func DefaultConcurrency() ConcurrencySettings {
	return ConcurrencySettings{Least: 1, Most: 1024, Slack: 2, Shrink: 0.9, Memory: time.Minute, Smooth: 1}
}

// Concurrency is a limit of requests in flight that follows the measured delay: it grows by one for each limit's worth of
// good answers, and shrinks when answers are late or fail. It is not safe for concurrent use.
type Concurrency struct {
	settings ConcurrencySettings
	limit    float64
	flight   int
	shortest time.Duration
	// mean is the smoothed delay of good answers; 0 before the first.
	mean     time.Duration
	measured time.Time
	// shrunk is when the limit last fell; requests that started before are not counted again.
	shrunk time.Time
}

// NewConcurrency returns a limit that starts at a value.
func NewConcurrency(s ConcurrencySettings, start float64) *Concurrency {
	return &Concurrency{settings: s, limit: min(max(start, s.Least), s.Most)}
}

// Limit returns the present limit.
func (c *Concurrency) Limit() float64 { return c.limit }

// Load is the share of the limit in use.
func (c *Concurrency) Load() float64 { return float64(c.flight) / c.limit }

// Start is true if a request of a class may start. Lower classes are shed first: batch (2) from 0.8 of the limit, normal
// (1) from 0.9, urgent (0) at the limit.
func (c *Concurrency) Start(class int) bool {
	if float64(c.flight+1) > c.limit*(1-0.1*float64(min(max(class, 0), 2))) && c.flight > 0 {
		return false
	}
	c.flight++
	return true
}

// End takes the outcome of a request that started.
func (c *Concurrency) End(now, started time.Time, ok bool) {
	busy := c.flight
	c.flight = max(0, c.flight-1)
	delay := c.smoothed(now.Sub(started), ok)
	// A new shortest delay is only taken for longer than the old one while little is in flight: measured under overload, it
	// would make the overload look normal.
	idle := now.Sub(c.measured) > c.settings.Memory && float64(busy) <= c.limit/4
	if ok && (c.shortest == 0 || delay <= c.shortest || idle) {
		c.shortest, c.measured = max(delay, 1), now
	}
	late := float64(delay) > c.settings.Slack*float64(c.shortest)
	switch {
	case ok && !late:
		// Without use of the limit a good answer says nothing about a higher one.
		if float64(busy) >= c.limit/2 {
			c.limit = min(c.settings.Most, c.limit+1/c.limit)
		}
	case started.After(c.shrunk):
		c.limit = max(c.settings.Least, c.limit*c.settings.Shrink)
		c.shrunk = now
	}
}

// Drop ends a request that started and whose outcome tells nothing of the server's load.
func (c *Concurrency) Drop() { c.flight = max(0, c.flight-1) }

// smoothed returns the mean delay with a further one. A failure ends early or at a deadline, so its delay does not count.
func (c *Concurrency) smoothed(delay time.Duration, ok bool) time.Duration {
	if c.mean == 0 || c.settings.Smooth >= 1 || c.settings.Smooth <= 0 {
		c.mean = delay
	} else if ok {
		c.mean += time.Duration(c.settings.Smooth * float64(delay-c.mean))
	}
	return c.mean
}

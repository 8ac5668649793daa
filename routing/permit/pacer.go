package permit

import "time"

// maxRetryAfter limits the retry delay. A caller that waits longer than that finds other limits.
const maxRetryAfter = time.Minute

// minRetryAfter is the shortest retry delay.
const minRetryAfter = 50 * time.Millisecond

// Pacer computes the retry delays of requests that no server of a service takes because of rate
// limits. It spreads the callers over the time in which the servers can take them: if all were told
// the time of the next permit, all but one would be rejected again. It is not safe for concurrent
// use.
type Pacer struct {
	// next is the time for the next caller to come back, by service.
	next map[string]time.Time
}

// NewPacer returns a pacer that has sent no caller away.
func NewPacer() *Pacer { return &Pacer{next: map[string]time.Time{}} }

// RetryAfter returns the retry delay for one request. wait is the time after which a permit may be
// available. perSecond is the number of callers per second that this router may tell to come back.
// timeLeft is the time until the request's deadline, or 0 if it has none: a caller that can't come
// back before it takes no place.
func (p *Pacer) RetryAfter(now time.Time, service string, wait time.Duration, perSecond float64, timeLeft time.Duration) time.Duration {
	at := now.Add(max(wait, minRetryAfter))
	if next := p.next[service]; next.After(at) {
		at = next
	}
	delay := min(at.Sub(now), maxRetryAfter)
	if timeLeft == 0 || delay < timeLeft {
		interval := time.Duration(float64(time.Second) / max(perSecond, 1/maxRetryAfter.Seconds()))
		p.next[service] = now.Add(delay + interval)
	}
	return delay
}

package gateway

import "time"

// progressTimer starts a standby for an attempt that makes no progress, provided that the request
// may be sent to another server.
type progressTimer struct {
	attempt *attempt
	stream  stream
	// timeout is nil if the request may not be sent to another server.
	timeout     *time.Timer
	nextTimeout time.Duration
	// writeBegan is when the router began to send the latest event to the client.
	writeBegan time.Time
}

// firstEventFactor and nextEventFactor are multiples of the route's target times for the first
// event and for each further one. A loaded server needs much less time than that, and clients wait
// longer.
const (
	firstEventFactor = 2.5
	nextEventFactor  = 4
)

// standbyRetryInterval is the time until a standby is tried again, because it was denied or is
// silent too.
const standbyRetryInterval = 500 * time.Millisecond

// newProgressTimer returns the timer of an attempt and starts the timeout for the first event, if
// the request can be sent to another server and the route has a target time.
func (c *clientRequest) newProgressTimer(a *attempt) *progressTimer {
	t := &progressTimer{attempt: a, nextTimeout: nextEventFactor * c.route.Gap}
	t.stream.server = a.choice.Server.ID
	if !c.route.Retryable() || a.choice.Candidates <= 1 {
		return t
	}
	t.timeout = time.AfterFunc(time.Hour, t.stalled)
	t.timeout.Stop()
	t.stream.onStall = t.stalled
	if c.route.Target > 0 {
		t.timeout.Reset(c.firstEventTimeout())
	}
	return t
}

// firstEventTimeout is the time without any data after which a server is considered silent.
func (c *clientRequest) firstEventTimeout() time.Duration {
	return time.Duration(firstEventFactor * float64(c.route.Target))
}

// stalled starts a standby for the attempt, unless the router waits for the client and not for the server.
func (t *progressTimer) stalled() {
	if t.stream.isWriting.Load() || t.attempt.request.startStandby(t.attempt) {
		t.timeout.Reset(standbyRetryInterval)
	}
}

// progress records an event and restarts the timeout.
func (t *progressTimer) progress() {
	if !t.attempt.viaPeer {
		t.attempt.request.server.Upstreams.recordEvent(t.attempt.lastData, &t.stream)
	}
	t.attempt.request.standby.dismiss()
	t.restart()
}

// blockedWrite is the time from which on a write to a client counts as blocked.
const blockedWrite = 20 * time.Millisecond

// beginWrite is called before an event is sent to the client, and endWrite afterwards. While the client does
// not read, the router reads nothing from the server, whose silence is measured anew from then on.
func (t *progressTimer) beginWrite() {
	t.writeBegan = time.Now()
	t.stream.isWriting.Store(true)
}

func (t *progressTimer) endWrite() {
	defer t.stream.isWriting.Store(false)
	now := time.Now()
	if now.Sub(t.writeBegan) < blockedWrite {
		return
	}
	if !t.attempt.viaPeer {
		t.attempt.request.server.Upstreams.recordEvent(now, &t.stream)
	}
	t.restart()
}

// restart restarts the timeout.
func (t *progressTimer) restart() {
	switch {
	case t.timeout == nil:
	case t.nextTimeout > 0:
		t.timeout.Reset(t.nextTimeout)
	default:
		t.timeout.Stop()
	}
}

// stop stops the timeout.
func (t *progressTimer) stop() {
	if t.timeout != nil {
		t.timeout.Stop()
	}
}

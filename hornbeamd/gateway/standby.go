package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"hornbeamstep.example/routing/balance"
	"hornbeamstep.example/routing/routes"
)

// standby is the second attempt that a request makes beside its current one while the server of the
// current attempt is silent. The current attempt goes on until the standby has a response to relay,
// because the server may be sound, and the standby may be rejected or fail. Whichever server sends
// data first is kept.
type standby struct {
	mu sync.Mutex
	// current is the attempt that a standby may replace; nil if there is none.
	current *attempt
	// attempt is the standby; nil if there is none.
	attempt *attempt
	// closed is true once the request needs no standby any more.
	closed bool
}

// setCurrent allows a standby for the given attempt.
func (s *standby) setCurrent(current *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = current
}

// dismiss cancels the standby unless it has replaced the current attempt, which has made progress.
func (s *standby) dismiss() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.attempt != nil && !s.attempt.ready {
		s.attempt.cancel(errNotNeeded)
	}
}

// commitCurrent ends the standby and allows no further one. It returns false if the standby has
// already replaced the current attempt.
func (s *standby) commitCurrent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.attempt != nil && s.attempt.ready {
		return false
	}
	s.closed = true
	if s.attempt != nil {
		s.attempt.cancel(errNotNeeded)
	}
	return true
}

// promote makes the standby the current attempt and returns it; nil if there is none. The previous
// current attempt must have ended.
func (s *standby) promote() *attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current, s.attempt = s.attempt, nil
	return s.current
}

// isReady reports whether a standby has a response to relay.
func (s *standby) isReady(a *attempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return a.ready
}

// close ends the standby, and waits until it no longer uses the request.
func (s *standby) close() {
	s.mu.Lock()
	s.closed = true
	if s.attempt != nil {
		s.attempt.cancel(errNotNeeded)
	}
	s.mu.Unlock()
	a := s.promote()
	if a == nil {
		return
	}
	<-a.settled
	if s.isReady(a) {
		a.response.Close()
		a.end(balance.Abandoned, attemptMayHaveRun)
	}
}

// awaitStandby returns the standby once it has a response to relay, or nil if there is none or it
// fails. The current attempt must have ended. If the standby is silent too, another standby may
// replace it.
func (c *clientRequest) awaitStandby() *attempt {
	for {
		a := c.standby.promote()
		if a == nil {
			return nil
		}
		timer := c.newProgressTimer(a)
		<-a.settled
		timer.stop()
		if c.standby.isReady(a) {
			return a
		}
	}
}

// startStandby starts a standby for the current attempt, whose server is silent. It returns true if
// it should be called again after standbyRetryInterval.
func (c *clientRequest) startStandby(current *attempt) (retry bool) {
	s := &c.standby
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.current != current || c.isClientGone() {
		return false
	}
	if a := s.attempt; a != nil {
		// A standby that is silent too yields to another one.
		if !a.ready && time.Since(a.startedAt) >= c.firstEventTimeout() && c.attemptDenialReason(2) == "" {
			a.cancel(errReplaced)
		}
		return !a.ready
	}
	a, denied := c.nextAttempt(1, current.choice.Server.ID)
	if denied != "" {
		if denied != current.standbyDenied {
			c.server.Metrics.countStandby("denied")
			c.server.Log.Info("no standby attempt for a silent backend server; waiting for it", zap.String("id", c.metadata.Attempt),
				zap.String("server", current.choice.Server.ID), zap.String("reason", denied))
		}
		current.standbyDenied = denied
		return isTemporary(denied)
	}
	c.server.Metrics.countStandby("started")
	c.server.Log.Info("started a standby attempt for a silent backend server", zap.String("id", c.metadata.Attempt), zap.Int("try", a.number),
		zap.String("silent_server", current.choice.Server.ID), zap.String("server", a.choice.Server.ID), zap.String("reason", string(a.choice.Reason)),
		zap.String("last_event", a.lastEventID), zap.Duration("took", time.Since(c.receivedAt)))
	a.isStandby, a.settled = true, make(chan struct{})
	s.attempt = a
	go func() {
		defer close(a.settled)
		c.runStandby(a)
	}()
	return true
}

// isTemporary reports whether a standby that was denied may be possible later.
func isTemporary(denied string) bool {
	switch denied {
	case deniedAttempts, deniedUnreachable, crashingRequest, crashingPart:
		return false
	}
	return true
}

// runStandby makes the attempt of a standby up to the first data that can be relayed. If it
// succeeds, the standby replaces the current attempt. Otherwise another standby is tried.
func (c *clientRequest) runStandby(a *attempt) {
	outcome, result := a.prepare()
	s := &c.standby
	s.mu.Lock()
	// A cancelled standby may have read data from its buffer.
	if result == attemptFinished && a.ctx.Err() == nil && a.continuesStream() {
		a.ready = true
		if s.current != a {
			s.current.cancel(errReplaced)
		}
		s.mu.Unlock()
		c.server.Metrics.countStandby("ready")
		return
	}
	s.mu.Unlock()
	if result == attemptFinished {
		a.response.Close()
		outcome, result = balance.Abandoned, attemptMayHaveRun
	}
	a.end(outcome, result)
	a.cancel(nil)
	s.mu.Lock()
	current := s.current
	if s.attempt == a {
		s.attempt = nil
	}
	s.mu.Unlock()
	if current != nil && current != a && !errors.Is(context.Cause(a.ctx), errNotNeeded) {
		c.startStandby(current)
	}
}

// prepare opens the attempt of a standby and reads the first event that the client lacks, or a
// response that is not a stream. The result is attemptFinished if they can be relayed.
func (a *attempt) prepare() (balance.Outcome, attemptResult) {
	outcome, result := a.open()
	if a.response == nil {
		return outcome, result
	}
	if a.peerOutcome != "" {
		a.response.Close()
		if a.mayHaveRun {
			return balance.Failed, attemptMayHaveRun
		}
		return balance.Refused, attemptNotRun
	}
	a.read = a.readStart()
	switch {
	case a.read.err != nil && a.isStream() && a.isStreamEnd(a.read.event, a.read.err):
		return balance.Answered, attemptFinished
	case a.read.err != nil:
		a.response.Close()
		return a.classifyReadError()
	case a.read.buffered != nil && a.isFailure(a.read.buffered.status):
		a.response.Close()
		a.request.saveFailure(a, a.read.buffered)
		return balance.Failed, attemptMayHaveRun
	}
	return balance.Answered, attemptFinished
}

// isFailure reports whether a response that is not a stream must not replace the current attempt. A
// stream may have been relayed in part already, and only a stream can continue it.
func (a *attempt) isFailure(status int) bool {
	return status >= http.StatusInternalServerError || a.request.route.Kind == routes.Streaming
}

// readStart reads the first event that the client lacks, or a response that is not a stream.
func (a *attempt) readStart() *readResult {
	if !a.isStream() {
		buffered, err := a.readBuffered()
		return &readResult{buffered: buffered, err: err}
	}
	for {
		e, err := a.nextEvent()
		if err != nil || e.isAfter(a.lastEventID) {
			return &readResult{event: e, err: err}
		}
	}
}

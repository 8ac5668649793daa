package gateway

import (
	"time"

	"go.uber.org/zap"

	"hornbeamstep.example/hornbeamd/backend"
	"hornbeamstep.example/routing/balance"
	"hornbeamstep.example/routing/permit"
)

const (
	// maxPermitQuestions limits the servers whose issuers are asked for one attempt. After that, the
	// attempt goes to a server without a rate limit or fails.
	maxPermitQuestions = 4
	// maxPermitDelay limits the time that an attempt waits for a permit if all servers are limited.
	// It is shorter for routes with a shorter latency target, of which it may use permitDelayShare.
	maxPermitDelay   = 250 * time.Millisecond
	permitDelayShare = 0.5
)

// permitEffort limits what is done to get a permit for an attempt.
type permitEffort struct {
	// maxQuestions is the number of servers whose issuers are asked.
	maxQuestions int
	// maxDelay is how long the attempt may wait for a permit.
	maxDelay time.Duration
}

// choosePermitted chooses a server for an attempt. If the server states a rate limit or is brittle, the
// attempt needs a permit, and if it gets none, another server is chosen. Only if no server takes the
// request at once, it waits for a permit for up to effort.maxDelay.
func (a *attempt) choosePermitted(effort permitEffort) {
	c := a.request
	for questions := 0; ; {
		a.choice = c.server.Upstreams.chooseServer(time.Now(), a.query)
		a.query.IsRepeated = true
		if a.choice.Server.ID == "" {
			if a.choice.Reason == balance.Limited && !a.query.AvoidLimited && a.query.MaxLimitWait < effort.maxDelay {
				a.query.MaxLimitWait = effort.maxDelay
				continue
			}
			return
		}
		a.query.Priority = a.choice.Priority
		if !a.choice.IsLimited {
			return
		}
		asked := time.Now()
		ask := permit.Ask{Server: a.choice.Server.ID, Priority: a.query.Priority, MaxDelay: a.query.MaxLimitWait}
		if questions == effort.maxQuestions-1 {
			// The last server may let the request wait for a slot.
			ask.MaxDelay = effort.maxDelay
		}
		outcome, slot := c.server.Permits.acquire(c.ctx, ask)
		c.server.Metrics.countPermit(outcome)
		now := time.Now()
		c.recordPermit(outcome, now.Sub(asked))
		if outcome == permitGranted {
			a.slot = slot
			c.server.Upstreams.start(now, a.choice.Server.ID)
			return
		}
		questions++
		a.query.AvoidLimited = questions >= effort.maxQuestions
	}
}

// permitStats counts the permits that a request needed, for logs.
type permitStats struct {
	denied, unanswered int
	// waited is the time that the request spent on permits.
	waited time.Duration
}

func (c *clientRequest) recordPermit(outcome string, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch outcome {
	case permitDenied:
		c.permits.denied++
	case permitUnanswered:
		c.permits.unanswered++
	}
	c.permits.waited += took
}

// permitEffort returns the effort for an attempt of the request while the given number of others is
// in progress.
func (c *clientRequest) permitEffort(inProgress int) permitEffort {
	switch {
	case inProgress > 0:
		// The request still waits for another attempt, whose response must not be held up.
		return permitEffort{maxQuestions: 1}
	case c.route.Target <= 0:
		return permitEffort{maxPermitQuestions, maxPermitDelay}
	}
	return permitEffort{maxPermitQuestions, min(maxPermitDelay, time.Duration(permitDelayShare*float64(c.route.Target)))}
}

// applyBrittleness records that the servers of a service fail if they have to reject too many
// requests. It logs that once while it lasts.
func (a *attempt) applyBrittleness(response *backend.Response) {
	c := a.request
	if response.Misdirected || !response.Brittle.Stated || !c.server.Permits.observeBrittle(time.Now(), a.choice.Server.ID, response.Brittle.MaxRejections) {
		return
	}
	c.server.Log.Warn("backend servers are brittle; they get no more requests than they have slots", zap.String("id", c.metadata.Attempt),
		zap.String("service", c.service.Name), zap.String("server", a.choice.Server.ID), zap.Int("max_rejections", response.Brittle.MaxRejections))
}

// applyLimit records the rate limit that the chosen server states in a response, or that it no
// longer states one. It logs a change.
func (a *attempt) applyLimit(response *backend.Response) {
	c, stated := a.request, response.Limit
	// The response may be that of another server, or an unreadable one may hide a limit.
	if response.Misdirected || stated.Unreadable || !stated.Stated && response.Attempt != c.metadata.Attempt {
		return
	}
	now := time.Now()
	if !c.server.Permits.observe(now, a.choice.Server.ID, permit.Limit{PerSecond: stated.PerSecond, Ended: !stated.Stated, At: now}) {
		return
	}
	c.server.Log.Info("backend server changes its rate limit", zap.String("id", c.metadata.Attempt), zap.String("server", a.choice.Server.ID),
		zap.Int64("born", a.choice.Server.Born), zap.Bool("limited", stated.Stated), zap.Float64("per_second", stated.PerSecond), zap.Int("status", response.Status))
}

package edge

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"hornbeamstep.example/hornbeamd/gateway"
)

// Timing of a graceful shutdown. The shares are fractions of the grace period between SIGTERM and
// SIGKILL.
const (
	// acceptShare is the share during which new requests are accepted at all.
	acceptShare = 0.55
	// closeShare is the share after which requests that are still in progress are ended, and
	// abortShare the one after which connections are closed although the responses to these requests
	// have not been written.
	closeShare = 0.92
	abortShare = 0.95
	// quietPeriod is the time without any request in progress after which the router stops early.
	// It does not stop before addressCacheTime or the acceptShare of the grace period has passed,
	// whichever is shorter.
	quietPeriod = 400 * time.Millisecond
	// addressCacheTime is the time after which no client uses a cached address of this router any
	// more. It is three times the TTL, because some clients cache addresses for that long.
	addressCacheTime = 3 * resolveTTL
	// signalMargin is how much sooner than that the router begins to reject requests that it may have
	// to end, because SIGTERM was sent before the router notices it.
	signalMargin      = 100 * time.Millisecond
	drainPollInterval = 20 * time.Millisecond
)

// drain shuts the router down gracefully. It announces to the other routers that this router is no
// longer ready, serves new requests according to newDrainPlan, and closes the servers once no
// request has been in progress for quietPeriod or the closeShare of the grace period has passed.
func (e *Router) drain(servers []*http.Server) {
	started := time.Now()
	e.control.drainingSince.Store(&started)
	e.control.enqueue(func() { e.control.sendHeartbeat(time.Now()) })
	plan := newDrainPlan(started, e.settings.GracePeriod)
	e.gateway.Drain(plan)
	e.Log.Info("draining", zap.Int("active", e.gateway.Active()), zap.Duration("grace", e.settings.GracePeriod))
	lastActive := started
	for now := started; now.Before(plan.CloseAt); now = time.Now() {
		if e.gateway.Active() > 0 {
			lastActive = now
		}
		if now.Sub(lastActive) >= quietPeriod && !now.Before(plan.LeftAt.Add(signalMargin)) {
			break
		}
		time.Sleep(drainPollInterval)
	}
	e.gateway.RejectAll(time.Now())
	e.Log.Info("stopped", zap.Int("active", e.gateway.Active()), zap.Duration("took", time.Since(started)))
	closeServers(servers, started.Add(shareOf(e.settings.GracePeriod, abortShare)))
}

// closeServers closes the servers once their requests in progress are complete, or at closeAt. It
// waits although the caller saw no request in progress, because one may have arrived since, and
// because the end of a response may not have been written yet.
func closeServers(servers []*http.Server, closeAt time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), closeAt)
	defer cancel()
	for _, s := range servers {
		if s.Shutdown(ctx) != nil {
			// Aborts the requests that are still in progress.
			_ = s.Close()
		}
	}
}

// newDrainPlan returns the plan of a shutdown that started at the given time.
func newDrainPlan(started time.Time, gracePeriod time.Duration) gateway.DrainPlan {
	return gateway.DrainPlan{
		LeftAt:   started.Add(min(addressCacheTime, shareOf(gracePeriod, acceptShare)) - signalMargin),
		RejectAt: started.Add(shareOf(gracePeriod, acceptShare)),
		CloseAt:  started.Add(shareOf(gracePeriod, closeShare)),
	}
}

// shareOf returns a share of the grace period.
func shareOf(gracePeriod time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(gracePeriod))
}

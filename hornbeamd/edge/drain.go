package edge

import (
	"net/http"
	"time"

	"go.uber.org/zap"
)

// Timing of a graceful shutdown. The shares are fractions of the grace period between SIGTERM and
// SIGKILL.
const (
	// acceptShare is the share during which new requests are still accepted: callers cache router
	// addresses, and go on using this router until their cached answer expires.
	acceptShare = 0.55
	// closeShare is the share after which requests that are still in progress are aborted.
	closeShare = 0.95
	// quietPeriod is the time without a request in progress after which the router stops before the
	// grace period ends, once addressCacheTime or the acceptShare of the grace period has passed.
	quietPeriod = 400 * time.Millisecond
	// addressCacheTime is the time within which callers learn of the other routers. Some callers
	// cache router addresses three times as long as the answer allows.
	addressCacheTime  = 3 * resolveTTL
	drainPollInterval = 20 * time.Millisecond
)

// drain announces that this router is leaving the fleet, still serves the requests that arrive, and
// returns when no request is in progress or the time is up.
func (e *Router) drain(servers []*http.Server) {
	started := time.Now()
	e.control.draining.Store(true)
	e.control.enqueue(func() { e.control.sendHeartbeat(time.Now()) })
	e.gateway.Drain()
	e.Log.Info("draining", zap.Int("active", e.gateway.Active()), zap.Duration("grace", e.settings.GracePeriod))
	grace := float64(e.settings.GracePeriod)
	refuseAt, closeAt := started.Add(time.Duration(acceptShare*grace)), started.Add(time.Duration(closeShare*grace))
	lastActive := started
	for now := started; now.Before(closeAt); now = time.Now() {
		if e.gateway.Active() > 0 {
			lastActive = now
		}
		quiet := now.Sub(lastActive) >= quietPeriod
		if quiet && (now.Sub(started) >= addressCacheTime || now.After(refuseAt)) {
			break
		}
		if now.After(refuseAt) {
			e.gateway.RejectRequests()
		}
		time.Sleep(drainPollInterval)
	}
	e.Log.Info("stopped", zap.Int("active", e.gateway.Active()), zap.Duration("took", time.Since(started)))
	for _, s := range servers {
		// Aborts the requests that are still in progress: their share of the grace period is over.
		_ = s.Close()
	}
}

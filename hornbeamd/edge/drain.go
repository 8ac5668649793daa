package edge

import (
	"net/http"
	"time"

	"go.uber.org/zap"
)

// Timing of a graceful shutdown. The shares are fractions of the grace period between SIGTERM and
// SIGKILL.
const (
	// acceptShare is the share during which new requests are still accepted. Clients cache router
	// addresses, and use this router until their cache entry expires.
	acceptShare = 0.55
	// closeShare is the share after which requests that are still in progress are aborted.
	closeShare = 0.95
	// quietPeriod is the time without any request in progress after which the router stops early.
	// It does not stop before addressCacheTime or the acceptShare of the grace period has passed,
	// whichever is shorter.
	quietPeriod = 400 * time.Millisecond
	// addressCacheTime is the time after which no client uses a cached address of this router any
	// more. It is three times the TTL, because some clients cache addresses for that long.
	addressCacheTime  = 3 * resolveTTL
	drainPollInterval = 20 * time.Millisecond
)

// drain shuts the router down gracefully. It announces to the other routers that this router is no
// longer ready, serves new requests for the acceptShare of the grace period, and closes the servers
// once no request has been in progress for quietPeriod or the closeShare has passed.
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
		// Aborts the requests that are still in progress after the closeShare.
		_ = s.Close()
	}
}

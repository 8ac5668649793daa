package edge

import (
	"net/http"
	"time"

	"go.uber.org/zap"
)

// Parts of the time between SIGTERM and SIGKILL.
const (
	// serveShare is the part in which new requests are still served: callers keep their answers where to connect for some time.
	serveShare = 0.55
	// endShare is the part after which what still runs is cut off.
	endShare = 0.95
	// quietTime is how long no request may have been in progress before the router ends early, once callers had the time to
	// learn of other routers.
	quietTime = 400 * time.Millisecond
	// learnTime is that time: the lifetime of answers where to connect, which some callers keep three times as long.
	learnTime = 3 * entryLifetime
	drainTick = 20 * time.Millisecond
)

// drain leaves the fleet, serves what still arrives, and ends when nothing is in progress or the time is up.
func (e *Edge) drain(servers []*http.Server) {
	began := time.Now()
	e.control.draining.Store(true)
	e.control.do(func() { e.control.beat(time.Now()) })
	e.gateway.Drain()
	e.Log.Info("draining", zap.Int("active", e.gateway.Active()), zap.Duration("grace", e.settings.Grace))
	grace := float64(e.settings.Grace)
	refuse, end := began.Add(time.Duration(serveShare*grace)), began.Add(time.Duration(endShare*grace))
	busy := began
	for now := began; now.Before(end); now = time.Now() {
		if e.gateway.Active() > 0 {
			busy = now
		}
		quiet := now.Sub(busy) >= quietTime
		if quiet && (now.Sub(began) >= learnTime || now.After(refuse)) {
			break
		}
		if now.After(refuse) {
			e.gateway.RejectRequests()
		}
		time.Sleep(drainTick)
	}
	e.Log.Info("stopped", zap.Int("active", e.gateway.Active()), zap.Duration("took", time.Since(began)))
	for _, s := range servers {
		// Requests that are still in progress have used up the time.
		_ = s.Close()
	}
}

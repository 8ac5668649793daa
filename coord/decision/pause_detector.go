package decision

import (
	"sync"
	"time"
)

// PauseDetector detects pauses of the process, after which its state may be stale: without a
// refresh, a router that resumes would send requests to a backend server that was drained in the
// meantime. Set MaxGap before use. Its methods are safe for concurrent use.
type PauseDetector struct {
	// MaxGap is the longest interval between two calls of Heartbeat that does not count as a pause.
	MaxGap time.Duration

	mu sync.Mutex
	// lastHeartbeat is the time of the latest call of Heartbeat or of the latest detected pause; zero
	// before the first call.
	lastHeartbeat time.Time
	// staleSince is when the latest pause was detected; zero if the state was refreshed after it.
	staleSince time.Time
}

// Heartbeat records that the process is running. It has to be called at least once per MaxGap.
func (d *PauseDetector) Heartbeat(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.detectPause(now)
	d.lastHeartbeat = now
}

func (d *PauseDetector) detectPause(now time.Time) {
	if !d.lastHeartbeat.IsZero() && now.Sub(d.lastHeartbeat) > d.MaxGap {
		d.staleSince = now
		d.lastHeartbeat = now
	}
}

// Fresh reports whether the state is fresh: either no pause has been detected, or the state has
// been refreshed from another router or the object API since the latest pause.
func (d *PauseDetector) Fresh(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.detectPause(now)
	return d.staleSince.IsZero()
}

// MarkFresh marks the state as fresh after a successful exchange with another router or the object
// API. started is the time at which the exchange began. An exchange that began before the latest
// pause was detected has no effect, because its response may have been buffered in the connection
// during the pause.
func (d *PauseDetector) MarkFresh(started time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !started.Before(d.staleSince) {
		d.staleSince = time.Time{}
	}
}

package decision

import (
	"sync"
	"time"
)

// PauseDetector detects that the process was paused and that its state may therefore be stale:
// without a refresh, a router that resumes would send requests to a backend server that was drained
// in the meantime. Set Gap before use. Its methods are safe for concurrent use.
type PauseDetector struct {
	// MaxGap is the longest interval between two calls of Beat that does not count as a pause.
	MaxGap time.Duration

	mu sync.Mutex
	// lastBeat is the time of the latest call of Beat or of the latest detected pause; zero before
	// the first call.
	lastBeat time.Time
	// staleSince is when the latest pause was detected; zero if the state was refreshed after it.
	staleSince time.Time
}

// Heartbeat records that the process is running. It has to be called at least once per Gap.
func (d *PauseDetector) Heartbeat(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.detectPause(now)
	d.lastBeat = now
}

func (d *PauseDetector) detectPause(now time.Time) {
	if !d.lastBeat.IsZero() && now.Sub(d.lastBeat) > d.MaxGap {
		d.staleSince = now
		d.lastBeat = now
	}
}

// Fresh reports whether the process has not been paused since its state was last refreshed from
// another source.
func (d *PauseDetector) Fresh(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.detectPause(now)
	return d.staleSince.IsZero()
}

// MarkFresh marks the state as fresh after a successful exchange with another source that started
// at the given time. An exchange that started before the pause does not count: its response may
// have been buffered in the connection during the pause.
func (d *PauseDetector) MarkFresh(started time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !started.Before(d.staleSince) {
		d.staleSince = time.Time{}
	}
}

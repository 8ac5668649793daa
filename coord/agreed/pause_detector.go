package agreed

import (
	"sync"
	"time"
)

// PauseDetector detects that the process was paused and that its state may therefore be stale: without a refresh, a router that resumes
// would send requests to a backend server that was drained in the meantime. Set Gap before use. Its methods are safe for
// concurrent use.
type PauseDetector struct {
	// Gap is the longest interval between two calls of Beat that does not count as a pause.
	Gap time.Duration

	mu sync.Mutex
	// lastBeat is the time of the latest call of Beat or of the latest detected pause; zero before the first call.
	lastBeat time.Time
	// staleSince is when the latest pause was detected; zero if the state was refreshed after it.
	staleSince time.Time
}

// Beat records that the process is running. It has to be called more often than every Gap.
func (g *PauseDetector) Beat(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detectPause(now)
	g.lastBeat = now
}

func (g *PauseDetector) detectPause(now time.Time) {
	if !g.lastBeat.IsZero() && now.Sub(g.lastBeat) > g.Gap {
		g.staleSince = now
		g.lastBeat = now
	}
}

// Fresh reports whether the process has not been paused since its state was last refreshed from another source.
func (g *PauseDetector) Fresh(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detectPause(now)
	return g.staleSince.IsZero()
}

// MarkFresh marks the state as fresh after a successful exchange with another source that started at the given time. An exchange that
// started before the pause does not count: its response may have been buffered in the connection during the pause.
func (g *PauseDetector) MarkFresh(started time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !started.Before(g.staleSince) {
		g.staleSince = time.Time{}
	}
}

package agreed

import (
	"sync"
	"time"
)

// Gate tells whether what a router knows may be out of date because its process was paused: it would otherwise go on giving work to
// a backend server that was drained meanwhile. Set Gap before use. Its methods may be called from any goroutine.
type Gate struct {
	// Gap is the longest time between two beats that is no pause.
	Gap time.Duration

	mu sync.Mutex
	// beat is the last sign of life, zero before the first.
	beat time.Time
	// since is when a pause was noticed; zero while there is no doubt.
	since time.Time
}

// Beat is a sign of life of the process.
func (g *Gate) Beat(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.notice(now)
	g.beat = now
}

func (g *Gate) notice(now time.Time) {
	if !g.beat.IsZero() && now.Sub(g.beat) > g.Gap {
		g.since = now
		g.beat = now
	}
}

// Fresh is true if the process was not paused since it was last told by another source.
func (g *Gate) Fresh(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.notice(now)
	return g.since.IsZero()
}

// Heard ends the doubt if an exchange that ended well began after the pause. An answer that waited in a connection during the
// pause is older than that.
func (g *Gate) Heard(begun time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !begun.Before(g.since) {
		g.since = time.Time{}
	}
}

package control

import (
	"time"

	"hornbeamstep.example/policy"
)

// joiningPeriod is how long an engine counts as joining after it comes into service, because the
// contexts of its chats are still on their second homes. Most chats return within minutes.
const joiningPeriod = 10 * time.Minute

// updateJoining tracks the engines that come into service, after a drain or as new entries of the
// configuration. Engines of the first configuration that this router applies do not count as
// joining, since they were in service before.
func (l *Loop) updateJoining(now time.Time) {
	for _, name := range l.state.order {
		e := l.state.engines[name]
		leaving := e.backend.State == policy.Leaving || l.state.drained[name]
		if !leaving && (e.wasLeaving || !e.seen && l.state.initialized) {
			e.joinedAt = now
			// Contexts that the engine still caches are older than those on the engines that served
			// the chats meanwhile.
			e.recentChats = newRecentChats()
			l.state.enginesChanged = true
		}
		e.wasLeaving, e.seen = leaving, true
		if !e.joinedAt.IsZero() && now.Sub(e.joinedAt) > joiningPeriod {
			e.joinedAt = time.Time{}
			l.state.enginesChanged = true
		}
	}
	l.state.initialized = l.state.initialized || len(l.state.order) > 0
}

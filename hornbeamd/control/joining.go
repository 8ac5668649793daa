package control

import (
	"time"

	"hornbeamstep.example/policy"
)

// joiningPeriod is how long an engine counts as joining after it comes into service. The contexts
// of its chats are then still on the engines that served them before. Most chats that continue do
// so within minutes.
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
			// The engine may still cache old contexts of its chats, but another engine has served
			// the chats since then and has newer ones.
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

package control

import (
	"time"

	"hornbeamstep.example/policy"
)

// joinTime is how long an engine that has come into service counts as joining: the contexts of its chats are still on their second
// homes. Most chats return within minutes.
const joinTime = 10 * time.Minute

// joins follows which engines come into service, from a drain or new in the configuration. Those of the first configuration that this
// router has were there before it.
func (l *Loop) joins(now time.Time) {
	for _, name := range l.state.order {
		e := l.state.engines[name]
		leaving := e.backend.State == policy.Leaving || l.state.drained[name]
		if !leaving && (e.left || !e.seen && l.state.started) {
			e.joined = now
			// What the engine has kept is older than what the chats have said elsewhere.
			e.warm = newWarm()
			l.state.dirty = true
		}
		e.left, e.seen = leaving, true
		if !e.joined.IsZero() && now.Sub(e.joined) > joinTime {
			e.joined = time.Time{}
			l.state.dirty = true
		}
	}
	l.state.started = l.state.started || len(l.state.order) > 0
}

package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/routing/quarantine"
)

// Guards against routers that renew each other's memory of a crash for ever, and against a cleared request that comes back into
// quarantine by a late message.
func TestCrashesSettle(t *testing.T) {
	c := qt.New(t)
	a, b := NewCrashes(), NewCrashes()
	now := time.Unix(1000, 0)
	a.fresh["f"] = a.tracker.Crashed(now, quarantine.Crash{Engine: "s1", Boot: "1"}, []string{"f"})[0]
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		fromA, fromB := a.Fresh(now), b.Fresh(now)
		b.Merge(now, fromA)
		a.Merge(now, fromB)
	}
	c.Assert(a.Fresh(now), qt.HasLen, 0)
	c.Assert(b.Fresh(now), qt.HasLen, 0)
	c.Assert(b.tracker.State(now, "f"), qt.Equals, quarantine.Suspect)
	b.answered("f", "s2")
	b.Merge(now, []quarantine.Entry{{Fingerprint: "f", At: now, Crashes: []quarantine.Crash{{Engine: "s1", Boot: "1"}}}})
	c.Assert(b.tracker.State(now, "f"), qt.Equals, quarantine.Clear)
}

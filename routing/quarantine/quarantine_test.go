package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/routing/quarantine"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func crash(engine string) quarantine.Crash { return quarantine.Crash{Engine: engine, Boot: "1"} }

// Guards against a second crash that condemns an innocent request, or lets the guilty one go.
func TestSecondCrashTellsGuiltyFromInnocent(t *testing.T) {
	q := quarantine.New(quarantine.Defaults())
	q.Crashed(start, crash("e1"), []string{"guilty", "innocent"})
	qt.Assert(t, q.Start(start, "guilty", "e2"), qt.IsTrue)
	qt.Assert(t, q.Start(start, "innocent", "e2"), qt.IsFalse)
	qt.Assert(t, q.Start(start, "guilty", "e3"), qt.IsFalse)
	qt.Assert(t, q.Start(start, "innocent", "e3"), qt.IsTrue)
	q.End("innocent", "e3", true)
	q.Crashed(start, crash("e2"), []string{"guilty", "bystander"})
	qt.Assert(t, q.State(start, "guilty"), qt.Equals, quarantine.Quarantined)
	qt.Assert(t, q.State(start, "innocent"), qt.Equals, quarantine.Clear)
	qt.Assert(t, q.State(start, "bystander"), qt.Equals, quarantine.Suspect)
	qt.Assert(t, q.Start(start, "guilty", "e4"), qt.IsFalse)
}

// Guards against one crash that is counted twice because two routers report it.
func TestMergeCountsACrashOnce(t *testing.T) {
	a, b := quarantine.New(quarantine.Defaults()), quarantine.New(quarantine.Defaults())
	first := a.Crashed(start, crash("e1"), []string{"f"})
	b.Crashed(start, crash("e1"), []string{"f"})
	b.Merge(start, first)
	qt.Assert(t, b.State(start, "f"), qt.Equals, quarantine.Suspect)
	changed := b.Merge(start, a.Crashed(start.Add(time.Second), quarantine.Crash{Engine: "e1", Boot: "2"}, []string{"f"}))
	qt.Assert(t, changed, qt.HasLen, 1)
	qt.Assert(t, b.State(start, "f"), qt.Equals, quarantine.Quarantined)
	qt.Assert(t, b.Merge(start, changed), qt.HasLen, 0)
}

// Guards against a quarantine that never ends, or that old news from another router restores after a release.
func TestReleaseAndExpiry(t *testing.T) {
	q := quarantine.New(quarantine.Defaults())
	q.Crashed(start, crash("e1"), []string{"f"})
	old := q.Crashed(start, crash("e2"), []string{"f"})
	qt.Assert(t, q.State(start.Add(24*time.Hour-1), "f"), qt.Equals, quarantine.Quarantined)
	qt.Assert(t, q.State(start.Add(24*time.Hour), "f"), qt.Equals, quarantine.Clear)
	q.Release(start.Add(time.Minute), "f")
	q.Merge(start.Add(time.Minute), old)
	qt.Assert(t, q.State(start.Add(time.Minute), "f"), qt.Equals, quarantine.Clear)
}

// Guards against a suspect that is forgotten, or never forgotten, because the clock of the router that saw the crash is off.
func TestReceivedFromAnotherClock(t *testing.T) {
	cases := map[string]struct{ at, want time.Duration }{
		"same clock":     {-2 * time.Second, -2 * time.Second},
		"an hour behind": {-time.Hour, 0},
		"a day ahead":    {24 * time.Hour, 0},
	}
	for name, c := range cases {
		got := quarantine.Received(start, start.Add(c.at))
		qt.Check(t, got.Sub(start), qt.Equals, c.want, qt.Commentf(name))
	}
}

// Guards against memory that grows with the number of crashes.
func TestBounded(t *testing.T) {
	s := quarantine.Defaults()
	s.Suspects, s.Quarantined = 10, 5
	q := quarantine.New(s)
	for i := range 100 {
		now := start.Add(time.Duration(i) * time.Second)
		q.Crashed(now, crash(fmt.Sprint("a", i)), []string{fmt.Sprint("s", i), fmt.Sprint("g", i)})
		q.Crashed(now, crash(fmt.Sprint("b", i)), []string{fmt.Sprint("g", i)})
		qt.Assert(t, len(q.List(now)) <= 15, qt.IsTrue)
	}
}

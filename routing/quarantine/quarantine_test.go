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

// Guards against a second crash that quarantines a harmless request, or does not quarantine the
// request that caused both crashes.
func TestSecondCrashIdentifiesPoisonRequest(t *testing.T) {
	tracker := quarantine.New(quarantine.Defaults())
	tracker.RecordCrash(start, crash("e1"), []string{"poison", "harmless"})
	qt.Assert(t, tracker.Start(start, "poison", "e2"), qt.IsTrue)
	qt.Assert(t, tracker.Start(start, "harmless", "e2"), qt.IsFalse)
	qt.Assert(t, tracker.Start(start, "poison", "e3"), qt.IsFalse)
	qt.Assert(t, tracker.Start(start, "harmless", "e3"), qt.IsTrue)
	tracker.End("harmless", "e3", true)
	tracker.RecordCrash(start, crash("e2"), []string{"poison", "bystander"})
	qt.Assert(t, tracker.State(start, "poison"), qt.Equals, quarantine.Quarantined)
	qt.Assert(t, tracker.State(start, "harmless"), qt.Equals, quarantine.Clear)
	qt.Assert(t, tracker.State(start, "bystander"), qt.Equals, quarantine.Suspect)
	qt.Assert(t, tracker.Start(start, "poison", "e4"), qt.IsFalse)
}

// Guards against a crash that counts twice because two routers report it.
func TestMergeCountsACrashOnce(t *testing.T) {
	a, b := quarantine.New(quarantine.Defaults()), quarantine.New(quarantine.Defaults())
	first := a.RecordCrash(start, crash("e1"), []string{"f"})
	b.RecordCrash(start, crash("e1"), []string{"f"})
	b.Merge(start, first)
	qt.Assert(t, b.State(start, "f"), qt.Equals, quarantine.Suspect)
	changed := b.Merge(start, a.RecordCrash(start.Add(time.Second), quarantine.Crash{Engine: "e1", Boot: "2"}, []string{"f"}))
	qt.Assert(t, changed, qt.HasLen, 1)
	qt.Assert(t, b.State(start, "f"), qt.Equals, quarantine.Quarantined)
	qt.Assert(t, b.Merge(start, changed), qt.HasLen, 0)
}

// Guards against a quarantine that never ends, or that an outdated entry from another router
// restores after a release.
func TestReleaseAndExpiry(t *testing.T) {
	tracker := quarantine.New(quarantine.Defaults())
	tracker.RecordCrash(start, crash("e1"), []string{"f"})
	old := tracker.RecordCrash(start, crash("e2"), []string{"f"})
	qt.Assert(t, tracker.State(start.Add(24*time.Hour-1), "f"), qt.Equals, quarantine.Quarantined)
	qt.Assert(t, tracker.State(start.Add(24*time.Hour), "f"), qt.Equals, quarantine.Clear)
	tracker.Release(start.Add(time.Minute), "f")
	tracker.Merge(start.Add(time.Minute), old)
	qt.Assert(t, tracker.State(start.Add(time.Minute), "f"), qt.Equals, quarantine.Clear)
}

// Guards against a suspect that expires too early, or never, because the clock of the router that
// saw the crash is wrong.
func TestCorrectClockSkew(t *testing.T) {
	cases := map[string]struct{ at, want time.Duration }{
		"same clock":     {-2 * time.Second, -2 * time.Second},
		"an hour behind": {-time.Hour, 0},
		"a day ahead":    {24 * time.Hour, 0},
	}
	for name, c := range cases {
		got := quarantine.CorrectClockSkew(start, start.Add(c.at))
		qt.Check(t, got.Sub(start), qt.Equals, c.want, qt.Commentf(name))
	}
}

// Guards against memory use that grows with the number of crashes.
func TestEntryLimits(t *testing.T) {
	s := quarantine.Defaults()
	s.MaxSuspects, s.MaxQuarantined = 10, 5
	tracker := quarantine.New(s)
	for i := range 100 {
		now := start.Add(time.Duration(i) * time.Second)
		tracker.RecordCrash(now, crash(fmt.Sprint("a", i)), []string{fmt.Sprint("s", i), fmt.Sprint("g", i)})
		tracker.RecordCrash(now, crash(fmt.Sprint("b", i)), []string{fmt.Sprint("g", i)})
		qt.Assert(t, len(tracker.List(now)) <= 15, qt.IsTrue)
	}
}

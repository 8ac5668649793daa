package quarantine_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hornbeamstep.example/routing/quarantine"
)

// Guards against more than two engines crashed by one request, and against a quarantine of a
// request that crashed none, while callers repeatedly send both kinds to all engines.
func TestTrackerAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := quarantine.Defaults()
		tracker := quarantine.New(s)
		now := start
		running := map[string][]string{}
		boots, lost := map[string]int{}, map[string]int{}
		fingerprint := rapid.SampledFrom([]string{"poison-1", "poison-2", "a", "b", "c", "d"})
		engine := rapid.SampledFrom([]string{"e1", "e2", "e3", "e4"})
		isPoison := func(f string) bool { return len(f) > 1 }
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				f, e := fingerprint.Draw(t, "fingerprint"), engine.Draw(t, "engine")
				// A caller has one copy of its request in flight at a time.
				for _, list := range running {
					if slices.Contains(list, f) {
						return
					}
				}
				if tracker.Start(now, f, e) {
					running[e] = append(running[e], f)
				}
			},
			"crash": func(t *rapid.T) {
				e := engine.Draw(t, "engine")
				i := slices.IndexFunc(running[e], isPoison)
				if i < 0 {
					return
				}
				lost[running[e][i]]++
				if n := lost[running[e][i]]; n > 2 {
					t.Fatalf("%d engines crashed by %s", n, running[e][i])
				}
				tracker.RecordCrash(now, quarantine.Crash{Engine: e, Boot: fmt.Sprint(boots[e])}, running[e])
				boots[e]++
				delete(running, e)
			},
			"answer": func(t *rapid.T) {
				e := engine.Draw(t, "engine")
				i := slices.IndexFunc(running[e], func(f string) bool { return !isPoison(f) })
				if i < 0 {
					return
				}
				tracker.End(running[e][i], e, true)
				running[e] = slices.Delete(running[e], i, i+1)
			},
			"later": func(t *rapid.T) { now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "s")) * time.Second) },
			"": func(t *rapid.T) {
				for _, e := range tracker.List(now) {
					// A harmless request that was in flight at two first crashes becomes a suspect,
					// but runs without other suspects and is cleared.
					if e.Quarantined && !isPoison(e.Fingerprint) && lost["poison-1"]+lost["poison-2"] < 2 {
						t.Fatalf("%s is quarantined after %v crashes", e.Fingerprint, lost)
					}
				}
			},
		})
	})
}

// Guards against routers that end up with different states for the same crashes, in whatever order
// they learn of them.
func TestMergeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := quarantine.New(quarantine.Defaults()), quarantine.New(quarantine.Defaults())
		for i := range rapid.IntRange(1, 12).Draw(t, "events") {
			tracker := rapid.SampledFrom([]*quarantine.Tracker{a, b}).Draw(t, "router")
			now := start.Add(time.Duration(i) * time.Second)
			f := rapid.SampledFrom([]string{"f", "g"}).Draw(t, "fingerprint")
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				tracker.Release(now, f)
			case 1:
				a.Merge(now, b.List(now))
			default:
				tracker.RecordCrash(now, quarantine.Crash{Engine: rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "engine")}, []string{f})
			}
		}
		now := start.Add(time.Minute)
		for range 2 {
			a.Merge(now, b.List(now))
			b.Merge(now, a.List(now))
		}
		for _, f := range []string{"f", "g"} {
			if x, y := a.State(now, f), b.State(now, f); x != y {
				t.Fatalf("%s is %v on one router and %v on the other: %+v %+v", f, x, y, a.List(now), b.List(now))
			}
		}
	})
}

// TestMain fixes the seed so that runs are reproducible; -rapid.seed sets another one.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	// Runs take 100 steps on average instead of 30, so that longer histories are tested.
	if steps := flag.Lookup("rapid.steps"); steps.Value.String() == steps.DefValue {
		_ = steps.Value.Set("100")
	}
	os.Exit(m.Run())
}

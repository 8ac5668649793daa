package replay

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"hornbeamstep.example/hornbeambench/trace"
)

// The seed is fixed so that the verdict never varies; the flag on the command line overrides it.
func init() { _ = flag.Set("rapid.seed", "20261203") }

// drawFault draws one failure with a target that fits.
func drawFault(t *rapid.T) trace.Fault {
	engine := fmt.Sprint("e", rapid.IntRange(1, 9).Draw(t, "engine"))
	router := fmt.Sprint("r", rapid.IntRange(1, 6).Draw(t, "router"))
	f := trace.Fault{
		At:  float64(rapid.IntRange(0, 35).Draw(t, "at")),
		For: float64(rapid.IntRange(1, 15).Draw(t, "for")),
		Kind: rapid.SampledFrom([]trace.Kind{
			trace.Crash, trace.Leave, trace.Hang, trace.Silent, trace.Pause, trace.Kill, trace.Store, trace.Cut, trace.Clock,
		}).Draw(t, "kind"),
	}
	switch f.Kind {
	case trace.Crash, trace.Leave, trace.Hang, trace.Silent:
		f.Target = engine
	case trace.Pause, trace.Kill:
		f.Target = router
	case trace.Clock:
		f.Target, f.Value = router, float64(rapid.SampledFrom([]int{-7200, -40, 40, 7200}).Draw(t, "step"))
	case trace.Cut:
		f.Target = rapid.SampledFrom([]string{router + ">" + engine, engine + ">" + router, "r1>r2", "r4>r3"}).Draw(t, "link")
	}
	return f
}

// Guards against a combination of failures in which a request that may not be repeated runs twice, a caller gets another request's
// answer or none, or one that ran is refused as not run. The oracle of the replay counts the runs at the engines.
func TestRandomFailures(t *testing.T) {
	shape := trace.Umgeni()
	shape.Rate, shape.Length, shape.Gap = 6, 40, 40
	requests := trace.Generate(shape, 1)
	rapid.Check(t, func(t *rapid.T) {
		faults := rapid.SliceOfN(rapid.Custom(drawFault), 1, 6).Draw(t, "faults")
		r := Result{Project: Run(Small(), Project, requests, trace.Merge(faults), 1, Surge{})}
		for _, o := range append(sound(), noneLost()) {
			if held, seen := o.check(r); !held {
				t.Fatalf("%s: %s", o.Name, seen)
			}
		}
	})
}

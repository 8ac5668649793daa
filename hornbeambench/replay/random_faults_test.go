package replay

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"hornbeamstep.example/hornbeambench/trace"
)

// The seed is fixed so that the result is reproducible. The command-line flag overrides it.
func init() { _ = flag.Set("rapid.seed", "20261203") }

// drawFault draws one fault with a target of the matching kind.
func drawFault(t *rapid.T) trace.Fault {
	engine := fmt.Sprint("e", rapid.IntRange(1, 9).Draw(t, "engine"))
	router := fmt.Sprint("r", rapid.IntRange(1, 6).Draw(t, "router"))
	fault := trace.Fault{
		At:              float64(rapid.IntRange(0, 35).Draw(t, "at")),
		DurationSeconds: float64(rapid.IntRange(1, 15).Draw(t, "for")),
		Kind: rapid.SampledFrom([]trace.FaultKind{
			trace.Crash, trace.Leave, trace.Hang, trace.Silent, trace.Pause, trace.Kill, trace.StoreOutage, trace.Cut, trace.ClockStep,
		}).Draw(t, "kind"),
	}
	switch fault.Kind {
	case trace.Crash, trace.Leave, trace.Hang, trace.Silent:
		fault.Target = engine
	case trace.Pause, trace.Kill:
		fault.Target = router
	case trace.ClockStep:
		fault.Target, fault.Value = router, float64(rapid.SampledFrom([]int{-7200, -40, 40, 7200}).Draw(t, "step"))
	case trace.Cut:
		fault.Target = rapid.SampledFrom([]string{router + ">" + engine, engine + ">" + router, "r1>r2", "r4>r3"}).Draw(t, "link")
	}
	return fault
}

// Guards against a combination of failures in which a request that may not be repeated runs twice,
// a caller gets no answer or the answer of another request, or a request that ran is refused as not
// run. The simulated engines count the runs.
func TestRandomFailures(t *testing.T) {
	shape := trace.PeakWorkload()
	shape.Rate, shape.BurstSeconds, shape.BurstInterval = 6, 40, 40
	requests := trace.Generate(shape, 1)
	rapid.Check(t, func(t *rapid.T) {
		faults := rapid.SliceOfN(rapid.Custom(drawFault), 1, 6).Draw(t, "faults")
		r := Result{Project: Run(SmallFleet(), ProjectPlacer, requests, trace.MergeFaults(faults), 1, Surge{})}
		for _, requirement := range append(safetyRequirements(), noCallLost()) {
			if passed, measured := requirement.check(r); !passed {
				t.Fatalf("%s: %s", requirement.Name, measured)
			}
		}
	})
}

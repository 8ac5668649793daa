package replay

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/hornbeambench/trace"
)

func shortShape() trace.Workload {
	shape := trace.PeakWorkload()
	shape.BurstSeconds = 40
	return shape
}

// Guards against figures that depend on anything but the trace and the seed, such as the iteration
// order of a map.
func TestReplayIsDeterministic(t *testing.T) {
	faults := []trace.Fault{
		{At: 10, Kind: trace.Crash, Target: "e3", DurationSeconds: 10},
		{At: 15, Kind: trace.Pause, Target: "r2", DurationSeconds: 8},
		{At: 20, Kind: trace.Leave, Target: "e1", DurationSeconds: 40},
		{At: 25, Kind: trace.Silent, Target: "e5"},
	}
	requests := trace.Generate(shortShape(), 3)
	first := Run(SmallFleet(), ProjectPlacer, requests, faults, 3, Surge{})
	for range 3 {
		qt.Assert(t, Run(SmallFleet(), ProjectPlacer, requests, faults, 3, Surge{}), qt.DeepEquals, first)
	}
}

// Guards against requirements that pass whatever the figures are.
func TestRequirementsDetectFailures(t *testing.T) {
	f := Figures{ReuseRatio: 0.5, LoadSkew: 2, AboveBoundSeconds: 1, Lost: 1, DuplicateRuns: 1, MisdeliveredAnswers: 1, FalseNotRun: 1, PoisonCrashes: 3, MaxPoisonCrashes: 3, Calls: 9}
	f.OthersTTFT.P95, f.OthersWait.P95 = 12, 12
	r := Result{
		Project: f, Omniscient: Figures{ReuseRatio: 0.9}, Baselines: []Figures{{Placer: "b", ReuseRatio: 0.6, LoadSkew: 1}},
		Control: &Figures{OthersTTFT: Quantiles{P95: 10}, OthersWait: Quantiles{P95: 10}, Goodput: make([]int, 40)},
	}
	requirements := append(safetyRequirements(), reuseNearOmniscient(), neverAboveBound(), betterThanBaselines(), noCallLost(), allAnswered(), otherAccountsUnaffected(),
		atMostTwoEnginesLost(), goodputRecovers(3))
	for _, requirement := range requirements {
		passed, measured := requirement.check(r)
		qt.Check(t, passed, qt.IsFalse, qt.Commentf(requirement.Name))
		qt.Check(t, measured, qt.Not(qt.Equals), "")
	}
}

// Guards against a command that hides a requirement that is not met, or accepts an unknown
// scenario.
func TestCommand(t *testing.T) {
	c := Command{Scenario: "nothing"}
	qt.Assert(t, c.Run(), qt.ErrorMatches, `there is no scenario "nothing".*`)
	r := Result{Verdicts: []Verdict{{Requirement: "o", Measured: "seen"}}}
	var b strings.Builder
	qt.Assert(t, r.write(&b), qt.IsNil)
	qt.Assert(t, b.String(), qt.Contains, "short: o: seen")
	qt.Assert(t, c.finish(r), qt.Equals, ErrRequirementFailed)
}

// Guards against more retries than the budget allows when all engines of a pool are so slow that
// attempts exceed the first-token timeout.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	scenario := retriesScenario()
	scenario.Shape.BurstSeconds, scenario.Shape.Rate = 30, 30
	scenario.Fleet.RetryBurst = 1
	requests := trace.Generate(scenario.Shape, 1)
	for i := range scenario.Faults {
		scenario.Faults[i].At = 10
	}
	limited := Run(scenario.Fleet, ProjectPlacer, requests, scenario.Faults, 1, Surge{})
	scenario.Fleet.RetryBudget = false
	unlimited := Run(scenario.Fleet, ProjectPlacer, requests, scenario.Faults, 1, Surge{})
	// Upper bound: the first attempt of each send, retries for a tenth of the sends, and a burst of
	// one retry on each of six routers.
	qt.Assert(t, float64(limited.EngineRuns) <= 1.1*float64(limited.Sends)+6, qt.IsTrue, qt.Commentf("%d engine runs for %d sends with the budget", limited.EngineRuns, limited.Sends))
	qt.Assert(t, float64(unlimited.EngineRuns) > 1.1*float64(unlimited.Sends)+6, qt.IsTrue, qt.Commentf("%d engine runs for %d sends without the budget", unlimited.EngineRuns, unlimited.Sends))
}

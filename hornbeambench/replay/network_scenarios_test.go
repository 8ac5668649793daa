package replay

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/hornbeambench/trace"
)

// Guards against a requirement that fails under link, clock or region failures, alone or combined
// with a second failure. Also guards against a requirement that cannot fail: each must fail when
// the mechanism behind it is disabled.
func TestNetworkScenarios(t *testing.T) {
	failingWithout := map[string]map[Mechanism]string{
		"cut":         {FallbackAdmission: noCallerTimeout().Name, ProgressTimeouts: noCallerTimeout().Name},
		"cut-kill":    {FallbackAdmission: noCallerTimeout().Name, ProgressTimeouts: noCallerTimeout().Name},
		"clock":       {ClockCorrection: atMostTwoEnginesLost().Name},
		"clock-pause": {ClockCorrection: atMostTwoEnginesLost().Name},
		"part":        {Takeover: oneOwnerPerEngine().Name},
		"part-kill":   {Takeover: oneOwnerPerEngine().Name, RequireClaims: safetyRequirements()[0].Name},
	}
	for _, scenario := range networkScenarios() {
		t.Run(scenario.Name, func(t *testing.T) {
			t.Parallel()
			requests := trace.Generate(scenario.Shape, 1)
			for _, v := range RunScenario(scenario, requests, scenario.Faults, 1).Verdicts {
				qt.Check(t, v.Passed, qt.IsTrue, qt.Commentf("%s: %s", v.Requirement, v.Measured))
			}
			qt.Assert(t, failingWithout[scenario.Name], qt.Not(qt.HasLen), 0)
			for mechanism, expectedFailure := range failingWithout[scenario.Name] {
				scenario.Fleet.DisabledMechanism = mechanism
				r := Result{Project: Run(scenario.Fleet, ProjectPlacer, requests, scenario.Faults, 1, Surge{})}
				for _, requirement := range scenario.Requirements {
					if passed, measured := requirement.check(r); requirement.Name == expectedFailure {
						t.Logf("%s disabled: %s: %s", mechanism, requirement.Name, measured)
						qt.Check(t, passed, qt.IsFalse, qt.Commentf("%s disabled, but requirement still met: %s: %s", mechanism, requirement.Name, measured))
					}
				}
			}
		})
	}
}

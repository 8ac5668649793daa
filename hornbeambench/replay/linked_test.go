package replay

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/hornbeambench/trace"
)

// Guards against outcomes of the scenarios with links, clocks and regions that fall short, alone or with a second failure, and
// against outcomes that hold whatever happens: each falls short once the mechanism behind it is taken out.
func TestLinkedScenarios(t *testing.T) {
	without := map[string]map[Mechanism]string{
		"cut":         {StandIn: noneGivenUp().Name, Progress: noneGivenUp().Name},
		"cut-kill":    {StandIn: noneGivenUp().Name, Progress: noneGivenUp().Name},
		"clock":       {OwnClock: twoEngines().Name},
		"clock-pause": {OwnClock: twoEngines().Name},
		"part":        {Takeover: oneOwner().Name},
		"part-kill":   {Takeover: oneOwner().Name, Claims: sound()[0].Name},
	}
	for _, s := range linked() {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			requests := trace.Generate(s.Shape, 1)
			for _, v := range Judge(s, requests, s.Faults, 1).Verdicts {
				qt.Check(t, v.Held, qt.IsTrue, qt.Commentf("%s: %s", v.Outcome, v.Seen))
			}
			qt.Assert(t, without[s.Name], qt.Not(qt.HasLen), 0)
			for m, outcome := range without[s.Name] {
				s.Fleet.Without = m
				r := Result{Project: Run(s.Fleet, Project, requests, s.Faults, 1, Surge{})}
				for _, o := range s.Outcomes {
					if held, seen := o.check(r); o.Name == outcome {
						t.Logf("without %s: %s: %s", m, o.Name, seen)
						qt.Check(t, held, qt.IsFalse, qt.Commentf("without %s: %s: %s", m, o.Name, seen))
					}
				}
			}
		})
	}
}

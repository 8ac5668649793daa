package control

import (
	"context"
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"hornbeamstep.example/hornbeambench/trace"
)

// The seed is fixed so that the result is reproducible. The flag on the command line overrides it.
func init() { _ = flag.Set("rapid.seed", "20261203") }

func drawFault(t *rapid.T) trace.Fault {
	router := func(label string) string { return fmt.Sprint("r", rapid.IntRange(1, 7).Draw(t, label)) }
	f := trace.Fault{
		At:              float64(rapid.IntRange(0, 60).Draw(t, "at")),
		DurationSeconds: float64(rapid.IntRange(1, 30).Draw(t, "for")),
		Kind:            rapid.SampledFrom([]trace.FaultKind{trace.OperatorRace, trace.Kill, trace.ClockStep, trace.Cut, trace.Partition, trace.ReplyLoss, trace.Lag}).Draw(t, "kind"),
	}
	switch f.Kind {
	case trace.OperatorRace:
		f.Value = float64(rapid.IntRange(2, 4).Draw(t, "operators"))
	case trace.Kill:
		f.Target = router("router")
	case trace.ClockStep:
		f.Target, f.Value = router("router"), float64(rapid.SampledFrom([]int{-7200, -40, 40, 7200}).Draw(t, "step"))
	case trace.Cut:
		f.Target = router("from") + ">" + router("to")
	case trace.Partition:
		f.Target = fmt.Sprint("z", rapid.IntRange(1, 3).Draw(t, "region"))
	case trace.Lag:
		f.Target, f.Value = "store", 1
	}
	return f
}

// Guards against a combination of faults in which a router replaces its active revision by a lower
// one, two operators or none win a race, or a push stays unsettled. It also guards against members
// that do not agree and engines without exactly one owner. Each run has a race at its start and its
// end, so that it always has revisions.
func TestRandomDrills(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := append(rapid.SliceOfN(rapid.Custom(drawFault), 1, 6).Draw(rt, "faults"),
			trace.Fault{At: 1, Kind: trace.OperatorRace, Value: 2}, trace.Fault{At: 95, Kind: trace.OperatorRace, Value: 2})
		verdicts, err := (&Drill{Routers: 7, Seed: 1}).Simulate(context.Background(), trace.MergeFaults(faults))
		if err != nil {
			rt.Fatal(err)
		}
		for _, v := range verdicts {
			switch v.Outcome {
			case outcomeNoRollback, outcomeSingleWinner, outcomeTypedConflict, outcomePushesSettled, outcomeMembersAgree, outcomeSingleOwner:
				if !v.Passed {
					rt.Fatalf("%s: %s", v.Outcome, v.Observed)
				}
			}
		}
	})
}

package fleet

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/hornbeambench/load"
	"hornbeamstep.example/routing/outcome"
)

// Guards against checks that pass although the evidence violates the outcome that they require.
func TestJudge(t *testing.T) {
	start := time.Unix(0, 0)
	good := []load.Record{{ID: "1", IdempotencyKey: "k1", Ending: load.Answered}, {ID: "2", Chat: "c", Ending: load.Answered}}
	balanced := []LoadSample{{At: start, Loads: []EngineLoad{{"e1", 2}, {"e2", 2}}}}
	for name, test := range map[string]struct {
		records []load.Record
		ran     map[string]int
		samples []LoadSample
		failed  int
	}{
		"good":          {good, map[string]int{"k1": 1}, balanced, -1},
		"unanswered":    {append(good, load.Record{Ending: load.Unanswered}), map[string]int{"k1": 1}, balanced, 0},
		"wrong":         {append(good, load.Record{Ending: load.Wrong}), map[string]int{"k1": 1}, balanced, 1},
		"doubled":       {good, map[string]int{"k1": 2}, balanced, 2},
		"false not run": {append(good, load.Record{IdempotencyKey: "k2", Ending: load.Refused, Outcome: outcome.NotRun}), map[string]int{"k1": 1, "k2": 1}, balanced, 3},
		"invented":      {good, nil, balanced, 4},
		"above":         {good, map[string]int{"k1": 1}, []LoadSample{{At: start, Loads: []EngineLoad{{"e1", 6}, {"e2", 0}}}}, 6},
		"allowance":     {good, map[string]int{"k1": 1}, []LoadSample{{At: start, Loads: []EngineLoad{{"e1", 1}, {"e2", 0}}}}, -1},
		"no samples":    {good, map[string]int{"k1": 1}, nil, 6},
		"key refused":   {append(good, load.Record{Ending: load.Refused, Outcome: outcome.NotRun, Code: outcome.BadAPIKey}), map[string]int{"k1": 1}, balanced, 5},
		"told that it may have run": {
			append(good, load.Record{IdempotencyKey: "k2", Ending: load.Refused, Outcome: outcome.NotRun, MayHaveRun: true}),
			map[string]int{"k1": 1, "k2": 1},
			balanced, -1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			for i, v := range Judge(Evidence{Records: test.records, ExecutionCounts: test.ran, Samples: test.samples, Bound: 1.25}) {
				qt.Check(t, v.Passed, qt.Equals, i != test.failed, qt.Commentf("%s: %s", v.Outcome, v.Observed))
			}
		})
	}
}

// Guards against checks that pass because there are no records, and against reading a corrupt
// record file.
func TestJudgeNeedsRecords(t *testing.T) {
	qt.Assert(t, Judge(Evidence{})[0].Passed, qt.IsFalse)
	_, err := decodeJSONLines[load.Record](strings.NewReader("{}\nx\n"))
	qt.Assert(t, err, qt.ErrorMatches, "line 2 .*")
}

package trace_test

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/hornbeambench/trace"
)

// Guards against a file format that loses fields, and against a generator that depends on anything
// but the workload and the seed.
func TestRoundTrip(t *testing.T) {
	workloads := map[string]trace.Workload{"mwalimu": trace.BurstWorkload(), "umgeni": trace.PeakWorkload(), "scaled": trace.ScaledWorkload(100)}
	for name, s := range workloads {
		t.Run(name, func(t *testing.T) {
			requests := trace.Generate(s, 7)
			qt.Assert(t, requests, qt.DeepEquals, trace.Generate(s, 7))
			var buffer bytes.Buffer
			qt.Assert(t, trace.Write(&buffer, requests), qt.IsNil)
			got, err := trace.ReadRequests(&buffer)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, got, qt.DeepEquals, requests)
			turns := map[string]int{}
			for _, r := range requests {
				turns[r.Chat]++
				qt.Assert(t, r.Turn, qt.Equals, turns[r.Chat])
			}
		})
	}
}

// Guards against invalid lines that are read as zero values instead of being rejected.
func TestReadRejectsInvalidLines(t *testing.T) {
	requests := map[string]string{
		`{"at":1`: "line 1 of the trace is not a JSON object.*",
		`{"at":1,"chat":"c","turn":1,"answer":1,"class":"high"}`: `request 1 of the trace has class "high".*`,
		`{"at":1,"chat":"c","answer":1,"class":"normal"}`:        "request 1 of the trace is incomplete.*",
	}
	for in, want := range requests {
		_, err := trace.ReadRequests(strings.NewReader(in))
		qt.Check(t, err, qt.ErrorMatches, want)
	}
	faults := map[string]string{
		`{"at":1,"kind":"flood"}`:                        `fault 1 has kind "flood".*`,
		`{"at":1,"kind":"cut","target":"r1"}`:            `fault 1 cuts "r1".*`,
		`{"at":1,"kind":"clock","target":"r1","for":30}`: `fault 1 steps a clock by 0 s.*`,
		`{"at":1,"kind":"operators","value":1}`:          `fault 1 has 1 operators.*`,
	}
	for in, want := range faults {
		_, err := trace.ReadFaults(strings.NewReader(in))
		qt.Check(t, err, qt.ErrorMatches, want)
	}
}

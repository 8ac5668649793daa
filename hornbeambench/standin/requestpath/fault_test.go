package requestpath

import (
	"slices"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/hornbeambench/standin/modelengine"
	"hornbeamstep.example/hornbeamd/caller"
)

const (
	prompt     = "where does trainee 14 report"
	tokenCount = 20
)

func chatBody(content string, stream bool) string {
	return `{"model":"letters","max_tokens":20,"stream":` + strconv.FormatBool(stream) +
		`,"messages":[{"role":"user","content":"` + content + `"}]}`
}

// shortTimeouts shortens the engine timeouts for tests in which they expire.
func shortTimeouts(o *caller.Options, _ *modelengine.Config) {
	o.Engine.FirstChunkTimeout, o.Engine.ProgressTimeout = time.Second, time.Second
}

var wantText = modelengine.CompletionText(modelengine.UserPrompt(prompt), tokenCount)

// Guards against responses that are truncated, contain tokens twice, contain tokens of another
// request or mix two generations after the first engine fails.
func TestEngineFaults(t *testing.T) {
	tests := map[string]struct {
		fault modelengine.Fault
		// firstEnding is how the attempt on the first engine ends.
		firstEnding caller.Ending
		// secondStarts is the number of requests started on the second engine.
		secondStarts int
		// interrupted is true if a stream must end with an error, because tokens of the failed
		// attempt were already sent to the caller.
		interrupted bool
	}{
		"none":                         {firstEnding: caller.EndedOK},
		"truncated before first token": {fault: modelengine.Fault{Kind: modelengine.Truncate, Times: 1}, firstEnding: caller.EndedOK},
		"truncated":                    {fault: modelengine.Fault{Kind: modelengine.Truncate, AfterTokens: 7, Times: 1}, firstEnding: caller.EndedOK},
		"duplicated chunk":             {fault: modelengine.Fault{Kind: modelengine.Duplicate, AfterTokens: 3}, firstEnding: caller.EndedOK},
		"missing chunk":                {fault: modelengine.Fault{Kind: modelengine.Skip, AfterTokens: 3, Times: 1}, firstEnding: caller.EndedOK},
		"attempt ID of another request in header":                    {fault: modelengine.Fault{Kind: modelengine.WrongAttemptID, Times: 1}, firstEnding: caller.EndedOK},
		"attempt ID of another request in chunk":                     {fault: modelengine.Fault{Kind: modelengine.WrongAttemptID, AfterTokens: 5, Times: 1}, firstEnding: caller.EndedOK},
		"delayed header":                                             {fault: modelengine.Fault{Kind: modelengine.Late, Delay: 1500 * time.Millisecond, Times: 1}, firstEnding: caller.EndedOK},
		"silent connection after 4 tokens":                           {fault: modelengine.Fault{Kind: modelengine.Silent, AfterTokens: 4, Times: 1}, firstEnding: caller.EndedOK},
		"silent connection before first token":                       {fault: modelengine.Fault{Kind: modelengine.Silent, Times: 1}, firstEnding: caller.EndedOK},
		"attempt ID of another request in every header":              {fault: modelengine.Fault{Kind: modelengine.WrongAttemptID}, firstEnding: caller.EndedMalformed, secondStarts: 1},
		"attempt ID of another request in a chunk of every response": {fault: modelengine.Fault{Kind: modelengine.WrongAttemptID, AfterTokens: 5}, firstEnding: caller.EndedMalformed, secondStarts: 1, interrupted: true},
		"refused":                        {fault: modelengine.Fault{Kind: modelengine.Refuse}, firstEnding: caller.EndedRefused, secondStarts: 1},
		"connection closed before start": {fault: modelengine.Fault{Kind: modelengine.Hangup}, firstEnding: caller.EndedCrashed, secondStarts: 1},
		"error status":                   {fault: modelengine.Fault{Kind: modelengine.ErrorStatus}, firstEnding: caller.EndedFailed, secondStarts: 1},
		"hang":                           {fault: modelengine.Fault{Kind: modelengine.Hang}, firstEnding: caller.EndedTimedOut, secondStarts: 1},
		"crash before first token":       {fault: modelengine.Fault{Kind: modelengine.Crash}, firstEnding: caller.EndedCrashed, secondStarts: 1},
		"crash":                          {fault: modelengine.Fault{Kind: modelengine.Crash, AfterTokens: 6}, firstEnding: caller.EndedCrashed, secondStarts: 1, interrupted: true},
		"crash and restart": {
			fault:       modelengine.Fault{Kind: modelengine.Crash, AfterTokens: 6, Delay: time.Millisecond},
			firstEnding: caller.EndedCrashed, secondStarts: 1, interrupted: true,
		},
	}
	for name, test := range tests {
		for _, stream := range []bool{true, false} {
			t.Run(name+" stream "+strconv.FormatBool(stream), func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				// Only these three faults are detected by a timeout. For the others, a short
				// timeout could end a successful attempt on a busy machine.
				f := newFixture(t)
				if slices.Contains([]modelengine.FaultKind{modelengine.Hang, modelengine.Silent, modelengine.Late}, test.fault.Kind) {
					f = newFixture(t, shortTimeouts)
				}
				f.engines[0].SetFault(test.fault)
				got := send(f.request("POST", "/v1/chat/completions", chatBody(prompt, stream)))
				c.Assert(got.hasConsecutiveIDs(), qt.IsTrue, qt.Commentf("event IDs %v", got.eventIDs))
				c.Assert(f.endings()[0], qt.Equals, test.firstEnding)
				if test.interrupted && stream {
					c.Assert(got.done, qt.IsFalse)
					c.Assert(got.failure.Error.Code, qt.Equals, "interrupted")
					c.Assert(got.failure.Error.Outcome, qt.Equals, "ran")
					c.Assert(wantText[:len(got.text)], qt.Equals, got.text)
					c.Assert(f.engines[1].AttemptCount(modelengine.UserPrompt(prompt)), qt.Equals, 0)
					return
				}
				c.Assert(got.failed, qt.IsFalse, qt.Commentf("%+v", got.failure))
				c.Assert(got.done, qt.IsTrue)
				c.Assert(got.text, qt.Equals, wantText)
				c.Assert(f.engines[1].AttemptCount(modelengine.UserPrompt(prompt)), qt.Equals, test.secondStarts)
			})
		}
	}
}

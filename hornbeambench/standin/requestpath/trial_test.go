package requestpath

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/hornbeambench/standin/modelengine"
	"hornbeamstep.example/hornbeambench/standin/plainservice"
	"hornbeamstep.example/hornbeamd/caller"
)

// Guards against a suspect request whose callers always leave, so that no answer ever shows that it crashes no
// backend server, and against other requests that go on without their callers.
func TestTrialOutlastsCaller(t *testing.T) {
	const delay = 100 * time.Millisecond
	chat := func(streams bool) func(f *fixture) *http.Request {
		return func(f *fixture) *http.Request {
			f.engines[0].SetFault(modelengine.Fault{Kind: modelengine.Slow, Delay: 10 * time.Millisecond})
			return f.request("POST", "/v1/chat/completions", chatBody(prompt, streams))
		}
	}
	service := func(f *fixture) *http.Request {
		f.replicas[0].SetFault(plainservice.Fault{Kind: plainservice.Slow, Delay: 2 * delay})
		return f.request("GET", "/v1/services/records/all", "")
	}
	for name, test := range map[string]struct {
		request  func(f *fixture) *http.Request
		onTrial  bool
		answered bool
	}{
		"stream":                  {chat(true), false, false},
		"stream on trial":         {chat(true), true, true},
		"completion":              {chat(false), false, false},
		"completion on trial":     {chat(false), true, true},
		"plain service":           {service, false, false},
		"plain service, on trial": {service, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.onTrial = test.onTrial
			ctx, leave := context.WithTimeout(context.Background(), delay)
			defer leave()
			send(test.request(f).WithContext(ctx))
			waitUntil(func() bool { return len(f.endings()) == 1 })
			qt.Check(t, f.results[0].Answered, qt.Equals, test.answered, qt.Commentf("%+v", f.results[0]))
			if !test.answered {
				qt.Check(t, f.results[0].Ending, qt.Equals, caller.EndedCancelled)
			}
		})
	}
}

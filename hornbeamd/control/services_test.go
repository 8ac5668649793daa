package control_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/hornbeamd/caller"
	"hornbeamstep.example/hornbeamd/control"
	"hornbeamstep.example/routing/outcome"
)

func serviceCall(l *control.Loop, t *testing.T, n int) (caller.Grant, caller.SlotRequest, error) {
	q := newSlotRequest(fmt.Sprint("call", n))
	q.Model, q.Service = "", "s"
	g, err := l.Admit(t.Context(), q)
	return g, q, err
}

// Guards against calls to a replica that fails while others work, and against the ejection of most
// replicas when all of them fail.
func TestFailingReplicaIsEjected(t *testing.T) {
	tests := map[string]struct {
		failing   map[string]bool
		maxFailed int
	}{
		"one replica": {map[string]bool{"s1": true}, 2},
		"all of them": {map[string]bool{"s1": true, "s2": true, "s3": true}, 100},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			l, _ := startWithEngine(t, singleRouter(), fakeEngine{}, func() time.Time { return now })
			failed, recentlyUsed := 0, map[string]bool{}
			for i := range 100 {
				g, q, err := serviceCall(l, t, i)
				qt.Assert(t, err, qt.IsNil)
				r := caller.Result{Ending: caller.EndedOK, RequestID: q.RequestID, TimeToFirstToken: time.Millisecond}
				if test.failing[g.Backend] {
					r.Ending = caller.EndedTimedOut
					failed++
				}
				l.Release(g, r)
				if i >= 50 {
					recentlyUsed[g.Backend] = true
				}
			}
			qt.Check(t, failed <= test.maxFailed, qt.IsTrue, qt.Commentf("%d calls failed", failed))
			// Two of the three replicas remain in use, however many fail.
			qt.Check(t, len(recentlyUsed), qt.Equals, 2, qt.Commentf("%v", recentlyUsed))
		})
	}
}

// Guards against an unlimited number of calls to replicas that do not answer, and against a refusal
// that is not marked as not run.
func TestServiceCallsAreLimited(t *testing.T) {
	l, _ := start(t, singleRouter())
	started := 0
	for ; started < 1000; started++ {
		_, _, err := serviceCall(l, t, started)
		if err == nil {
			continue
		}
		var refused *outcome.Error
		qt.Assert(t, errors.As(err, &refused), qt.IsTrue)
		qt.Check(t, refused.Code, qt.Equals, outcome.Overloaded)
		qt.Check(t, refused.Outcome, qt.Equals, outcome.NotRun)
		break
	}
	// The calls are of class urgent, so three replicas accept three times the initial limit.
	qt.Check(t, started, qt.Equals, 3*64)
}

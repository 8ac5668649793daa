package control_test

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/hornbeamd/caller"
	"hornbeamstep.example/hornbeamd/control"
	"hornbeamstep.example/hornbeamd/engine"
	"hornbeamstep.example/policy"
	"hornbeamstep.example/routing/quarantine"
)

// restartingEngine is an engine that restarts when it is told to.
type restartingEngine struct {
	fakeEngine
	mu   *sync.Mutex
	boot *string
}

func (e restartingEngine) Load(context.Context) (engine.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return engine.Report{Boot: *e.boot}, nil
}

func (e restartingEngine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	*e.boot = "2"
}

// notifiedPeers is like announcingPeers, and receives announcements at any time.
type notifiedPeers struct {
	announcingPeers
	announced chan string
}

func (p *notifiedPeers) Announce(kind, fingerprint, _ string, _ quarantine.Crash, _ time.Time) {
	p.announced <- kind + " " + fingerprint
}

// Guards against a request that crashes one engine after another because its callers leave, or its
// attempts end otherwise, before the crash.
func TestEngineOfGivenUpRequestIsWatched(t *testing.T) {
	for name, test := range map[string]struct {
		result caller.Result
		// restarts is true if the engine restarts, and leaves if it is taken out of service before.
		restarts, leaves bool
		// answer is that of another attempt, before the restart.
		answer, isSuspect bool
	}{
		"caller left":                 {caller.Result{Ending: caller.EndedCancelled}, true, false, false, true},
		"timed out":                   {caller.Result{Ending: caller.EndedTimedOut}, true, false, false, true},
		"connection broke before":     {caller.Result{Ending: caller.EndedCrashed}, true, false, false, true},
		"malformed response":          {caller.Result{Ending: caller.EndedMalformed}, true, false, false, true},
		"engine goes on":              {caller.Result{Ending: caller.EndedCancelled}, false, false, false, false},
		"engine leaves":               {caller.Result{Ending: caller.EndedCancelled}, true, true, false, false},
		"answered":                    {caller.Result{Ending: caller.EndedOK}, true, false, false, false},
		"answered after caller left":  {caller.Result{Ending: caller.EndedCancelled, Answered: true}, true, false, false, false},
		"answered at another attempt": {caller.Result{Ending: caller.EndedCancelled}, true, false, true, false},
		"error status":                {caller.Result{Ending: caller.EndedFailed}, true, false, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			boot := "1"
			e := restartingEngine{mu: &sync.Mutex{}, boot: &boot}
			p := &notifiedPeers{announcingPeers{SingleRouter: singleRouter()}, make(chan string, 10)}
			l, inForce := startWithEngine(t, p, e, nil)
			grant, err := l.Admit(t.Context(), newSlotRequest("q1"))
			qt.Assert(t, err, qt.IsNil)
			test.result.RequestID, test.result.Fingerprint, test.result.Deadline = "q1", "q1", time.Now().Add(3*time.Second)
			l.Release(grant, test.result)
			if test.answer {
				l.Release(caller.Grant{Backend: "e1", Slot: "other"}, caller.Result{Ending: caller.EndedOK, Fingerprint: "q1"})
			}
			if test.leaves {
				inForce.Accept(configuration(2, policy.Leaving))
				for l.Policy().Revision < 2 {
					time.Sleep(time.Millisecond)
				}
			}
			if test.restarts {
				e.restart()
			}
			isSuspect := false
			select {
			case got := <-p.announced:
				qt.Check(t, got, qt.Equals, "suspect q1")
				isSuspect = true
			case <-time.After(2500 * time.Millisecond):
			}
			qt.Check(t, isSuspect, qt.Equals, test.isSuspect)
			end, onTrial := l.BeginTrial("q1")
			qt.Check(t, onTrial, qt.Equals, test.isSuspect)
			if onTrial {
				_, again := l.BeginTrial("q1")
				qt.Check(t, again, qt.IsFalse)
				end()
			}
		})
	}
}

var _ control.Peers = (*notifiedPeers)(nil)

package gateway

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/hornbeamd/backend"
	"hornbeamstep.example/routing/balance"
	"hornbeamstep.example/routing/quarantine"
)

// Guards against two routers that keep announcing the same crash to each other forever, and against
// a late announcement that makes a cleared request suspect again.
func TestCrashAnnouncementsEnd(t *testing.T) {
	c := qt.New(t)
	a, b := NewCrashTracker(), NewCrashTracker()
	now := time.Unix(1000, 0)
	a.outgoing["f"] = a.tracker.RecordCrash(now, quarantine.Crash{Engine: "s1", Boot: "1"}, []string{"f"})[0]
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		fromA, fromB := a.Outgoing(now, true), b.Outgoing(now, true)
		b.Merge(now, fromA)
		a.Merge(now, fromB)
	}
	c.Assert(a.Outgoing(now, true), qt.HasLen, 0)
	c.Assert(b.Outgoing(now, true), qt.HasLen, 0)
	c.Assert(b.tracker.State(now, "f"), qt.Equals, quarantine.Suspect)
	b.recordResponse(suspect{fingerprint: "f"}, "s2")
	b.Merge(now, []quarantine.Entry{{Fingerprint: "f", At: now, Crashes: []quarantine.Crash{{Engine: "s1", Boot: "1"}}}})
	c.Assert(b.tracker.State(now, "f"), qt.Equals, quarantine.Clear)
}

// Guards against a crash that goes unnoticed because the request was sent on a connection that had
// served another one.
func TestCrashOnReusedConnection(t *testing.T) {
	cases := map[string]struct {
		outcome balance.Outcome
		err     error
		want    bool
	}{
		"response broken off":         {balance.Broken, nil, true},
		"reused connection broken":    {balance.Abandoned, &backend.Error{Kind: backend.Broken, Sent: true, Reused: true}, true},
		"nothing sent":                {balance.Abandoned, &backend.Error{Kind: backend.Broken, Reused: true}, false},
		"client left":                 {balance.Abandoned, &backend.Error{Kind: backend.ContextDone, Sent: true}, false},
		"client left during response": {balance.Abandoned, nil, false},
		"server is silent":            {balance.Silent, &backend.Error{Kind: backend.ContextDone, Sent: true}, false},
	}
	for name, c := range cases {
		a := &attempt{err: c.err}
		qt.Check(t, a.mayHaveCrashed(c.outcome), qt.Equals, c.want, qt.Commentf(name))
	}
}

// Guards against a request that crashes servers again because a router has started since.
func TestQuarantineOutlivesRestart(t *testing.T) {
	c := qt.New(t)
	now, request := time.Unix(1000, 0), suspect{fingerprint: "f"}
	old := NewCrashTracker()
	for i := range maxCrashedServers {
		old.recordCrash(now, request, false, quarantine.Crash{Engine: fmt.Sprint("s", i), Boot: "1"})
	}
	now = now.Add(quarantineTTL - 2*time.Second)
	restarted := NewCrashTracker()
	for range 10 {
		now = now.Add(100 * time.Millisecond)
		restarted.Merge(now, old.Outgoing(now, true))
	}
	c.Assert(restarted.rejectionReason(now, request), qt.Equals, crashingRequest)
	c.Assert(restarted.rejectionReason(now, suspect{fingerprint: "other"}), qt.Equals, "")
	now = now.Add(2 * time.Second)
	c.Assert(restarted.rejectionReason(now, request), qt.Equals, "")
	c.Assert(restarted.Outgoing(now, true), qt.HasLen, 0)
}

// Guards against a sound request that is rejected because it was at three servers that crashed for
// a part of other prompts.
func TestPromptPartExplainsCrashesOfRequest(t *testing.T) {
	tracker, now := NewCrashTracker(), time.Unix(1000, 0)
	sound := suspect{fingerprint: "sound"}
	part := []quarantine.PartKey{quarantine.PartKeyOf("m", "bad")}
	for i := range 4 {
		now = now.Add(time.Second)
		crash := quarantine.Crash{Engine: fmt.Sprint("s", i), Boot: "1"}
		tracker.recordCrash(now, suspect{fingerprint: fmt.Sprint("deadly-", i), parts: part, partIDs: []string{"bad"}}, false, crash)
		if i < maxCrashedServers {
			tracker.recordCrash(now, sound, false, crash)
		}
	}
	for range 2 {
		tracker.recordAnswer(now, suspect{fingerprint: "other", parts: []quarantine.PartKey{1}})
	}
	now = now.Add(time.Second)
	qt.Assert(t, tracker.rejectionReason(now, suspect{fingerprint: "new", parts: part, partIDs: []string{"bad"}}), qt.Equals, crashingPart)
	qt.Assert(t, tracker.rejectionReason(now, sound), qt.Equals, "")
	// A request that crashes servers by itself stays in quarantine.
	for i := range 3 {
		tracker.recordCrash(now, suspect{fingerprint: "alone"}, false, quarantine.Crash{Engine: fmt.Sprint("other-", i), Boot: "1"})
	}
	qt.Assert(t, tracker.rejectionReason(now, suspect{fingerprint: "alone"}), qt.Equals, crashingRequest)
}

package crashwatch_test

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/hornbeamd/crashwatch"
	"hornbeamstep.example/routing/quarantine"
)

// fakeServers holds the states of servers, and counts the looks at them.
type fakeServers struct {
	mu     sync.Mutex
	states map[string]crashwatch.State
	looks  map[string]int
}

func (f *fakeServers) look(_ context.Context, s crashwatch.Server) crashwatch.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.looks[s.Name]++
	return f.states[s.Name]
}

func (f *fakeServers) looksAt(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.looks[name]
}

func server(name string) crashwatch.Server {
	return crashwatch.Server{Crash: quarantine.Crash{Engine: name, Boot: "1"}, Name: name, Service: "pool"}
}

// Guards against a crash that goes unnoticed after a request was given up, and against one that counts
// against the request although it shows nothing.
func TestWatcher(t *testing.T) {
	for name, test := range map[string]struct {
		states     map[string]crashwatch.State
		leaving    bool
		isPathLost bool
		// suspect is looked at once another server has crashed.
		suspect string
		// reported is a server whose crash another router reports.
		reported string
		answered bool
		want     []quarantine.Reason
	}{
		"running":                     {states: map[string]crashwatch.State{"a": crashwatch.Running}},
		"not known":                   {states: map[string]crashwatch.State{"a": crashwatch.Unknown}},
		"crashed":                     {states: map[string]crashwatch.State{"a": crashwatch.Crashed}, want: []quarantine.Reason{quarantine.Attributed}},
		"leaves":                      {states: map[string]crashwatch.State{"a": crashwatch.Crashed}, leaving: true},
		"path lost":                   {states: map[string]crashwatch.State{"a": crashwatch.Crashed}, isPathLost: true, want: []quarantine.Reason{quarantine.Unreached}},
		"answered elsewhere":          {states: map[string]crashwatch.State{"a": crashwatch.Crashed}, answered: true},
		"another one crashed":         {states: map[string]crashwatch.State{"a": crashwatch.Crashed, "b": crashwatch.Crashed}, suspect: "b", want: []quarantine.Reason{quarantine.Coincident}},
		"another one runs":            {states: map[string]crashwatch.State{"a": crashwatch.Crashed, "b": crashwatch.Running}, suspect: "b", want: []quarantine.Reason{quarantine.Attributed}},
		"another one is reported":     {states: map[string]crashwatch.State{"a": crashwatch.Crashed}, reported: "b", want: []quarantine.Reason{quarantine.Coincident}},
		"the same crash was reported": {states: map[string]crashwatch.State{"a": crashwatch.Crashed}, reported: "a", want: []quarantine.Reason{quarantine.Attributed}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			servers := &fakeServers{states: test.states, looks: map[string]int{}}
			verdicts := make(chan quarantine.Reason, 10)
			w := &crashwatch.Watcher[string]{
				Look:      servers.look,
				InService: func(crashwatch.Server) bool { return !test.leaving },
				PathLost:  func(string) bool { return test.isPathLost },
				Judge:     func(v quarantine.Verdict[string]) { verdicts <- v.Reason },
			}
			if test.suspect != "" {
				w.Suspects = func() []crashwatch.Server { return []crashwatch.Server{server(test.suspect)} }
			}
			now := time.Now()
			qt.Assert(t, w.Watch(server("a"), quarantine.Run[string]{Fingerprint: "f", Until: crashwatch.Deadline(now, now)}), qt.IsTrue)
			if test.reported != "" {
				w.RecordReport(now.Add(100*time.Millisecond), server(test.reported).Crash)
			}
			if test.answered {
				time.Sleep(200 * time.Millisecond)
				w.RecordAnswer("f")
			}
			time.Sleep(1500 * time.Millisecond)
			var got []quarantine.Reason
			for len(verdicts) > 0 {
				got = append(got, <-verdicts)
			}
			qt.Check(t, got, qt.DeepEquals, test.want)
			looks := servers.looksAt("a")
			time.Sleep(300 * time.Millisecond)
			qt.Check(t, servers.looksAt("a"), qt.Equals, looks, qt.Commentf("looks go on after the run has ended"))
			if test.states["a"] == crashwatch.Unknown {
				qt.Check(t, looks <= 3, qt.IsTrue, qt.Commentf("%d looks", looks))
			}
		})
	}
}

// Guards against runs that are watched forever, or not long enough.
func TestDeadline(t *testing.T) {
	now := time.Now()
	for name, test := range map[string]struct{ deadline, want time.Time }{
		"none":    {time.Time{}, now.Add(15 * time.Second)},
		"passed":  {now.Add(-time.Minute), now.Add(time.Second)},
		"soon":    {now.Add(3 * time.Second), now.Add(3 * time.Second)},
		"distant": {now.Add(time.Hour), now.Add(15 * time.Second)},
	} {
		qt.Check(t, crashwatch.Deadline(now, test.deadline), qt.Equals, test.want, qt.Commentf(name))
	}
}

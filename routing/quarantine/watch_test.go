package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/routing/quarantine"
)

func server(i int) quarantine.Crash { return quarantine.Crash{Engine: fmt.Sprint("e", i), Boot: "1"} }

// Guards against a crash that is not attributed to the request that was given up at the server, and
// against one that is although it shows nothing.
func TestWatch(t *testing.T) {
	type watch = *quarantine.Watch[string]
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	giveUp := func(w watch, i int, fingerprint string, until int) {
		w.Add(server(i), quarantine.Run[string]{Fingerprint: fingerprint, Until: at(until), Request: "request " + fingerprint})
	}
	for name, test := range map[string]struct {
		events func(watch)
		// want holds the verdicts on f.
		want []quarantine.Reason
	}{
		"no crash":            {func(w watch) { giveUp(w, 1, "f", 1000) }, nil},
		"crash":               {func(w watch) { giveUp(w, 1, "f", 1000); w.RecordCrash(at(300), server(1)) }, []quarantine.Reason{quarantine.Attributed}},
		"crash at its end":    {func(w watch) { giveUp(w, 1, "f", 1000); w.RecordCrash(at(1000), server(1)) }, []quarantine.Reason{quarantine.Attributed}},
		"crash after its end": {func(w watch) { giveUp(w, 1, "f", 1000); w.RecordCrash(at(1001), server(1)) }, nil},
		"crash elsewhere":     {func(w watch) { giveUp(w, 1, "f", 1000); w.RecordCrash(at(300), server(2)) }, nil},
		"earlier process": {func(w watch) {
			giveUp(w, 1, "f", 1000)
			w.RecordCrash(at(300), quarantine.Crash{Engine: "e1", Boot: "0"})
		}, nil},
		"given up after the crash": {func(w watch) { w.RecordCrash(at(300), server(1)); giveUp(w, 1, "f", 1000) }, nil},
		"crash recorded twice": {func(w watch) {
			giveUp(w, 1, "f", 1000)
			w.RecordCrash(at(300), server(1))
			w.RecordCrash(at(320), server(1))
		}, []quarantine.Reason{quarantine.Attributed}},
		"two crashes": {func(w watch) {
			giveUp(w, 1, "f", 1000)
			giveUp(w, 2, "f", 1000)
			w.RecordCrash(at(300), server(1))
			w.RecordCrash(at(1000), server(2))
		}, []quarantine.Reason{quarantine.Attributed, quarantine.Attributed}},
		"two crashes at once": {func(w watch) {
			giveUp(w, 1, "f", 1000)
			giveUp(w, 2, "f", 1000)
			w.RecordCrash(at(300), server(1))
			w.RecordCrash(at(500), server(2))
		}, []quarantine.Reason{quarantine.Coincident, quarantine.Coincident}},
		"another server at once": {func(w watch) {
			giveUp(w, 1, "f", 1000)
			w.RecordCrash(at(300), server(1))
			w.RecordCrash(at(400), server(2))
		}, []quarantine.Reason{quarantine.Coincident}},
		"another server, as another router reports": {func(w watch) {
			giveUp(w, 1, "f", 1000)
			w.RecordCrash(at(300), server(1))
			w.RecordReport(at(250), server(2))
		}, []quarantine.Reason{quarantine.Coincident}},
		"same crash, as another router reports": {func(w watch) {
			giveUp(w, 1, "f", 1000)
			w.RecordReport(at(250), server(1))
			w.RecordCrash(at(300), server(1))
		}, []quarantine.Reason{quarantine.Attributed}},
		"report without an own observation": {func(w watch) { giveUp(w, 1, "f", 1000); w.RecordReport(at(250), server(1)) }, nil},
		"answer before the crash":           {func(w watch) { giveUp(w, 1, "f", 1000); w.RecordAnswer("f"); w.RecordCrash(at(300), server(1)) }, nil},
		"answer after the crash":            {func(w watch) { giveUp(w, 1, "f", 1000); w.RecordCrash(at(300), server(1)); w.RecordAnswer("f") }, nil},
		"answer to another request": {func(w watch) {
			giveUp(w, 1, "f", 1000)
			w.RecordCrash(at(300), server(1))
			w.RecordAnswer("g")
		}, []quarantine.Reason{quarantine.Attributed}},
		"server leaves": {func(w watch) { giveUp(w, 1, "f", 1000); w.Forget(server(1)); w.RecordCrash(at(300), server(1)) }, nil},
		"given up again": {func(w watch) {
			giveUp(w, 1, "f", 200)
			giveUp(w, 1, "f", 1000)
			w.RecordCrash(at(300), server(1))
		}, []quarantine.Reason{quarantine.Attributed}},
		"given up again with less time": {func(w watch) {
			giveUp(w, 1, "f", 1000)
			giveUp(w, 1, "f", 200)
			w.RecordCrash(at(300), server(1))
		}, []quarantine.Reason{quarantine.Attributed}},
	} {
		t.Run(name, func(t *testing.T) {
			w := quarantine.NewWatch[string](quarantine.WatchDefaults())
			test.events(w)
			var got []quarantine.Reason
			for _, v := range append(w.Verdicts(at(1300)), w.Verdicts(at(1800))...) {
				qt.Check(t, v.Run.Request, qt.Equals, "request f")
				if v.Reason == quarantine.Coincident {
					qt.Check(t, v.Counts, qt.Equals, server(1), qt.Commentf("%v", v))
				} else {
					qt.Check(t, v.Counts, qt.Equals, v.Crash)
				}
				got = append(got, v.Reason)
			}
			qt.Check(t, got, qt.DeepEquals, test.want)
			w.Servers(at(1800))
			qt.Check(t, w.IsActive(), qt.IsFalse)
		})
	}
}

// Guards against a verdict before other routers have reported their crashes.
func TestVerdictWaitsForReports(t *testing.T) {
	settings := quarantine.WatchDefaults()
	w := quarantine.NewWatch[int](settings)
	w.Add(server(1), quarantine.Run[int]{Fingerprint: "f", Until: start.Add(time.Second)})
	w.RecordCrash(start, server(1))
	qt.Assert(t, w.Verdicts(start.Add(settings.SettleTime-1)), qt.HasLen, 0)
	qt.Assert(t, w.IsActive(), qt.IsTrue)
	qt.Assert(t, w.Verdicts(start.Add(settings.SettleTime)), qt.HasLen, 1)
}

// Guards against memory that grows with the clients that leave.
func TestWatchIsBounded(t *testing.T) {
	settings := quarantine.WatchDefaults()
	settings.MaxRuns = 10
	w := quarantine.NewWatch[int](settings)
	watched := 0
	add := func() {
		for i := range 100 {
			if w.Add(server(i%7), quarantine.Run[int]{Fingerprint: fmt.Sprint(i), Until: start.Add(time.Second)}) {
				watched++
			}
		}
	}
	add()
	qt.Assert(t, watched, qt.Equals, settings.MaxRuns)
	qt.Assert(t, w.Servers(start.Add(time.Second)), qt.HasLen, 0)
	add()
	qt.Assert(t, watched, qt.Equals, 2*settings.MaxRuns)
	w.Forget(server(0))
	w.RecordCrash(start, server(1))
	w.RecordAnswer("2")
	add()
	// Forget, RecordCrash and RecordAnswer made room, but for the server that has crashed.
	qt.Assert(t, watched > 2*settings.MaxRuns, qt.IsTrue)
	qt.Assert(t, w.Servers(start), qt.Not(qt.HasLen), 0)
}

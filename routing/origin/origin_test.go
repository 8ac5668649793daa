package origin

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/routing/roster"
)

var start = time.UnixMilli(1_700_000_000_000)

// at returns the time that is the given number of seconds after start.
func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// servers returns a server of the service "pool" for each version.
func servers(versions ...string) []roster.Server {
	var out []roster.Server
	for i, v := range versions {
		out = append(out, roster.Server{ID: fmt.Sprint("s", i), Service: "pool", Version: v})
	}
	return out
}

// history returns a settled history with versions of the service "pool".
func history(versions ...string) *roster.History {
	h := &roster.History{Settled: true}
	for _, v := range versions {
		h.Versions = append(h.Versions, roster.RecordedVersion{ServiceVersion: roster.ServiceVersion{Service: "pool", Version: v}})
	}
	return h
}

// Guards against a stream that goes on at a version which may not have begun it.
func TestInquiry(t *testing.T) {
	const life = 15 * time.Second
	v1, v2 := BuildOf("pool", "v1"), BuildOf("pool", "v2")
	type list struct {
		at       float64
		versions []string
		history  *roster.History
	}
	unsettled := history("v1")
	unsettled.Settled = false
	for name, test := range map[string]struct {
		lists []list
		// now is the time of the inquiry, in seconds.
		now      float64
		recorded Build
		answers  []Answer
		// confirmed is the history that the registry holds; nil if it does not answer.
		confirmed  *roster.History
		archived   Build
		want       Build
		wantSource Source
	}{
		"own record":                     {[]list{{0, []string{"v1", "v2"}, nil}}, 1, v2, nil, nil, 0, v2, Recorded},
		"record of a holder":             {[]list{{0, []string{"v1", "v2"}, nil}}, 1, 0, []Answer{{}, {Recorded: v2}}, nil, 0, v2, Recorded},
		"record beats a single version":  {[]list{{0, []string{"v1"}, nil}}, 99, 0, []Answer{{Sole: v1}, {Recorded: v2}}, history("v1"), 0, v2, Recorded},
		"lost record, two versions":      {[]list{{0, []string{"v1", "v2"}, nil}}, 99, 0, []Answer{{}, {}}, history("v1", "v2"), 0, 0, Unknown},
		"lost record, found in store":    {[]list{{0, []string{"v1", "v2"}, history("v1", "v2")}}, 1, 0, nil, history("v1", "v2"), v1, v1, Archived},
		"lost record, single version":    {[]list{{0, []string{"v1"}, nil}}, 99, 0, nil, history("v1"), 0, v1, Single},
		"no answer of the registry":      {[]list{{0, []string{"v1"}, history("v1")}}, 99, 0, nil, nil, 0, 0, Unknown},
		"answers of others only":         {[]list{{0, []string{"v1"}, history("v1")}}, 99, 0, []Answer{{Sole: v1}, {Sole: v1}}, nil, 0, 0, Unknown},
		"second version just joined":     {[]list{{0, []string{"v1"}, history("v1")}}, 99, 0, []Answer{{Sole: v1}}, history("v1", "v2"), 0, 0, Unknown},
		"only version is replaced":       {[]list{{0, []string{"v1"}, history("v1")}}, 99, 0, nil, history("v2"), 0, v2, Single},
		"second version just gone":       {[]list{{0, []string{"v1", "v2"}, nil}, {90, []string{"v2"}, nil}}, 99, 0, nil, history("v2"), 0, 0, Unknown},
		"second version long gone":       {[]list{{0, []string{"v1", "v2"}, nil}, {20, []string{"v2"}, nil}}, 99, 0, nil, history("v2"), 0, v2, Single},
		"new router, others know":        {[]list{{0, []string{"v1"}, nil}}, 1, 0, []Answer{{Sole: v1}}, history("v1"), 0, v1, Single},
		"unsettled, others know":         {[]list{{0, []string{"v1"}, nil}}, 1, 0, []Answer{{Sole: v1}}, unsettled, 0, 0, Unknown},
		"new router, others lag":         {[]list{{0, []string{"v1", "v2"}, nil}}, 1, 0, []Answer{{Sole: v1}}, unsettled, 0, 0, Unknown},
		"this router lags":               {[]list{{0, []string{"v1"}, history("v1")}}, 99, 0, []Answer{{Sole: v1}, {Several: true}}, history("v1"), 0, 0, Unknown},
		"new routers, no history":        {[]list{{0, []string{"v1"}, nil}}, 1, 0, []Answer{{}}, nil, 0, 0, Unknown},
		"new routers, single version":    {[]list{{0, []string{"v1"}, history("v1")}}, 1, 0, []Answer{{}}, history("v1"), 0, v1, Single},
		"new routers, version just gone": {[]list{{0, []string{"v2"}, history("v1", "v2")}}, 1, 0, []Answer{{}}, history("v1", "v2"), 0, 0, Unknown},
		"new routers, other version":     {[]list{{0, []string{"v2"}, history("v1")}}, 1, 0, nil, history("v1"), 0, 0, Unknown},
		"new routers, unsettled history": {[]list{{0, []string{"v1"}, unsettled}}, 1, 0, nil, unsettled, 0, 0, Unknown},
		"unsettled history, long known":  {[]list{{0, []string{"v1"}, unsettled}}, 99, 0, nil, unsettled, 0, 0, Unknown},
		"unsettled, earlier era settled": {[]list{{0, []string{"v1"}, history("v1")}}, 99, 0, nil, unsettled, 0, 0, Unknown},
		"cut off, single version":        {[]list{{0, []string{"v1"}, history("v1")}}, 99, 0, nil, nil, 0, 0, Unknown},
		"cut off, own record":            {[]list{{0, []string{"v1"}, nil}}, 99, v1, nil, nil, 0, v1, Recorded},
		"outdated, registry answers":     {[]list{{0, []string{"v1"}, nil}}, 99, 0, []Answer{{}}, history("v1"), 0, v1, Single},
		"no servers":                     {nil, 1, 0, nil, history(), 0, 0, Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			l := NewLedger()
			for _, list := range test.lists {
				l.SetServers(at(list.at), servers(list.versions...), list.history)
			}
			stream := StreamOf("a")
			if test.recorded != 0 {
				l.Record(at(test.now), stream, test.recorded)
			}
			inquiry := l.Inquire(at(test.now), Question{Stream: stream, Service: ServiceOf("pool"), Within: life})
			for _, a := range test.answers {
				inquiry = inquiry.WithAnswer(a)
			}
			if test.confirmed != nil {
				inquiry = inquiry.WithHistory(*test.confirmed)
			}
			inquiry = inquiry.WithArchived(test.archived)
			build, source := inquiry.Result()
			c.Assert(build, qt.Equals, test.want)
			c.Assert(source, qt.Equals, test.wantSource)
		})
	}
}

// Guards against a ledger that grows without limit, or forgets streams that may still be resumed.
func TestLedgerRetention(t *testing.T) {
	c := qt.New(t)
	l := NewLedger()
	for i := range 4 * maxRecords {
		l.Record(start, Stream(i), 1)
	}
	c.Assert(len(l.current)+len(l.previous) <= maxRecords, qt.IsTrue)
	l.Record(start, 7, 3)
	l.Record(start.Add(recordTTL), 8, 4)
	c.Assert(l.Get(7), qt.Equals, Build(3))
	l.Record(start.Add(2*recordTTL), 9, 5)
	c.Assert(l.Get(7), qt.Equals, Build(0))
	c.Assert(l.Get(8), qt.Equals, Build(4))
}

// fleet returns routers in three availability zones.
func fleet(n int) []Router {
	var out []Router
	for i := range n {
		out = append(out, Router{ID: fmt.Sprint("r", i), Zone: fmt.Sprint("z", i%3)})
	}
	return out
}

// Guards against origins that nobody knows after many routers were killed at once.
func TestOriginsSurviveKills(t *testing.T) {
	const streams = 2000
	for name, test := range map[string]struct {
		routers int
		// lost selects the routers that lose their memory, by their index.
		lost func(i int, random *rand.Rand) bool
		// minFound is the least share of streams whose origin must be found.
		minFound float64
	}{
		"a zone of 8":           {8, func(i int, _ *rand.Rand) bool { return i%3 == 0 }, 1},
		"a zone of 300":         {300, func(i int, _ *rand.Rand) bool { return i%3 == 0 }, 1},
		"half of 300 at random": {300, func(_ int, r *rand.Rand) bool { return r.IntN(2) == 0 }, 0.8},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			random := rand.New(rand.NewPCG(1, 1))
			all := fleet(test.routers)
			found := 0
			for i := range streams {
				lost := map[string]bool{}
				for j, r := range all {
					lost[r.ID] = test.lost(j, random)
				}
				holds := map[string]bool{}
				for _, r := range HoldersOf(Stream(i), all[1:]) {
					holds[r.ID] = !lost[r.ID]
				}
				for _, r := range CandidatesOf(Stream(i), all[:len(all)-1]) {
					if holds[r.ID] {
						found++
						break
					}
				}
			}
			c.Assert(float64(found) >= test.minFound*streams, qt.IsTrue, qt.Commentf("%d of %d found", found, streams))
		})
	}
}

// Guards against streams that last longer than the history goes back, and go on all the same.
func TestHistoryIsTooShort(t *testing.T) {
	c := qt.New(t)
	l := NewLedger()
	l.SetServers(at(0), servers("v1"), history("v1"))
	for within, want := range map[time.Duration]Source{roster.HistoryRetention: Single, roster.HistoryRetention + 1: Unknown} {
		_, source := l.Inquire(at(1), Question{Service: ServiceOf("pool"), Within: within}).WithHistory(*history("v1")).Result()
		c.Assert(source, qt.Equals, want)
	}
	c.Assert(l.Sole(at(1), ServiceOf("pool"), roster.HistoryRetention), qt.Equals, BuildOf("pool", "v1"))
	c.Assert(l.Sole(at(1), ServiceOf("pool"), roster.HistoryRetention+1), qt.Equals, Build(0))
}

// Guards against origins that are not written to the store although streams of several versions may
// be in progress, and against writes while all streams have the same version.
func TestArchivedBuilds(t *testing.T) {
	c := qt.New(t)
	l := NewLedger()
	l.SetServers(at(0), servers("v1"), history("v1"))
	c.Assert(l.IsArchived(at(1), BuildOf("pool", "v1")), qt.IsFalse)
	l.SetServers(at(1), servers("v1", "v2"), history("v1", "v2"))
	c.Assert(l.IsArchived(at(2), BuildOf("pool", "v1")), qt.IsTrue)
	c.Assert(l.IsArchived(at(2), BuildOf("pool", "v3")), qt.IsTrue)
}

// Guards against origins that are lost between two windows, or written more often than intended.
func TestArchiver(t *testing.T) {
	c := qt.New(t)
	var a Archiver
	written := map[Stream]Build{}
	writes := 0
	for i := range 1000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		a.Add(now, Stream(i), Build(i%2+1))
		for batch, due := a.Due(now); due; batch, due = a.Due(now) {
			writes++
			for build, streams := range batch.Streams {
				for _, s := range streams {
					written[s] = build
				}
			}
		}
	}
	// 10 s at one write in 200 ms, and one more at the end of each window.
	c.Assert(writes <= 50+6, qt.IsTrue, qt.Commentf("%d writes", writes))
	for i := range 980 {
		c.Assert(written[Stream(i)], qt.Equals, Build(i%2+1))
	}
}

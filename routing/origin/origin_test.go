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

// unknownStart is the start of servers that don't state it, in seconds after the time start.
const unknownStart = -1_700_000_000

// servers returns a server of the service "pool" for each version, which started at the given time.
func servers(born time.Time, versions ...string) []roster.Server {
	var out []roster.Server
	for i, v := range versions {
		out = append(out, roster.Server{ID: fmt.Sprint("s", i), Service: "pool", Version: v, Born: born.UnixMilli()})
	}
	return out
}

// Guards against a stream that goes on at a version which may not have begun it.
func TestInquiry(t *testing.T) {
	const life = 15 * time.Second
	v1, v2 := BuildOf("pool", "v1"), BuildOf("pool", "v2")
	type list struct {
		at       float64
		born     float64
		versions []string
	}
	for name, test := range map[string]struct {
		lists []list
		// now is the time of the inquiry, in seconds.
		now        float64
		recorded   Build
		answers    []Answer
		outdated   bool
		want       Build
		wantSource Source
	}{
		"own record":                      {[]list{{0, -99, []string{"v1", "v2"}}}, 1, v2, nil, false, v2, Recorded},
		"record of a holder":              {[]list{{0, -99, []string{"v1", "v2"}}}, 1, 0, []Answer{{}, {Recorded: v2}}, false, v2, Recorded},
		"record beats a single version":   {[]list{{0, -99, []string{"v1"}}}, 99, 0, []Answer{{Sole: v1}, {Recorded: v2}}, false, v2, Recorded},
		"lost record, two versions":       {[]list{{0, -99, []string{"v1", "v2"}}}, 99, 0, []Answer{{}, {}}, false, 0, Unknown},
		"lost record, single version":     {[]list{{0, -99, []string{"v1"}}}, 99, 0, nil, false, v1, Single},
		"second version just gone":        {[]list{{0, -99, []string{"v1", "v2"}}, {90, -99, []string{"v2"}}}, 99, 0, nil, false, 0, Unknown},
		"second version long gone":        {[]list{{0, -99, []string{"v1", "v2"}}, {20, -99, []string{"v2"}}}, 99, 0, nil, false, v2, Single},
		"new router, others know":         {[]list{{0, -1, []string{"v1"}}}, 1, 0, []Answer{{Sole: v1}}, false, v1, Single},
		"new router, others lag":          {[]list{{0, -1, []string{"v1", "v2"}}}, 1, 0, []Answer{{Sole: v1}}, false, 0, Unknown},
		"new routers, old servers":        {[]list{{0, -99, []string{"v1"}}}, 1, 0, []Answer{{}}, false, v1, Single},
		"new routers, new servers":        {[]list{{0, -4, []string{"v2"}}}, 1, 0, []Answer{{}}, false, 0, Unknown},
		"new routers, unknown start time": {[]list{{0, unknownStart, []string{"v2"}}}, 1, 0, nil, false, v2, Single},
		"cut off, single version":         {[]list{{0, -99, []string{"v1"}}}, 99, 0, nil, true, 0, Unknown},
		"cut off, own record":             {[]list{{0, -99, []string{"v1"}}}, 99, v1, nil, true, v1, Recorded},
		"outdated, others answer":         {[]list{{0, -99, []string{"v1"}}}, 99, 0, []Answer{{}}, true, v1, Single},
		"no servers":                      {nil, 1, 0, nil, false, 0, Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			l := NewLedger()
			for _, list := range test.lists {
				l.SetServers(at(list.at), servers(at(list.born), list.versions...))
			}
			stream := StreamOf("a")
			if test.recorded != 0 {
				l.Record(at(test.now), stream, test.recorded)
			}
			inquiry := l.Inquire(at(test.now), Question{Stream: stream, Service: ServiceOf("pool"), Within: life})
			for _, a := range test.answers {
				inquiry = inquiry.WithAnswer(a)
			}
			if test.outdated {
				inquiry = inquiry.WithOutdatedServers()
			}
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

// Guards against streams that do not go on after a start of all routers.
func TestSettledBuild(t *testing.T) {
	const life = 15 * time.Second
	c := qt.New(t)
	l := NewLedger()
	list := append(servers(at(-4), "v1", "v1"), servers(at(-99), "v1")...)
	l.SetServers(at(0), list)
	c.Assert(l.SoleSettled(at(1), ServiceOf("pool"), life), qt.Equals, BuildOf("pool", "v1"))
	l.SetServers(at(1), list[:2])
	c.Assert(l.SoleSettled(at(2), ServiceOf("pool"), life), qt.Equals, Build(0))
}

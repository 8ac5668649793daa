package gateway

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/routing/origin"
	"hornbeamstep.example/routing/roster"
)

// fakeArchive holds a history with versions of the service "pool" and no origins.
type fakeArchive struct {
	mu       sync.Mutex
	versions []string
	// delay is how long a call takes. The history is that at its beginning.
	delay time.Duration
	err   error
	reads int
}

func (a *fakeArchive) Add(origin.Stream, origin.Build) {}

func (a *fakeArchive) Read(context.Context) ([]origin.Batch, error) { return nil, a.err }

func (a *fakeArchive) History(context.Context) (h roster.History, found bool, err error) {
	a.mu.Lock()
	a.reads++
	h.Settled = true
	for _, v := range a.versions {
		h.Versions = append(h.Versions, roster.RecordedVersion{ServiceVersion: roster.ServiceVersion{Service: "pool", Version: v}})
	}
	a.mu.Unlock()
	time.Sleep(a.delay)
	return h, a.err == nil, a.err
}

// join adds a version, and readCount returns the number of calls of History.
func (a *fakeArchive) join(version string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.versions = append(a.versions, version)
}

func (a *fakeArchive) readCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reads
}

// newOriginsWithVersion returns an Origins without records, for which the service "pool" has a single version.
func newOriginsWithVersion(archive OriginArchive, version string) *Origins {
	o := NewOrigins()
	o.Archive = archive
	o.SetServers(time.Now(), []roster.Server{{ID: "s", Service: "pool", Version: version, Born: 1}}, &roster.History{
		Settled: true, Versions: []roster.RecordedVersion{{ServiceVersion: roster.ServiceVersion{Service: "pool", Version: version}}},
	})
	return o
}

func (o *Origins) sourceOf(stream origin.Stream, isNamed bool) origin.Source {
	inquiry, _ := o.find(context.Background(), origin.Question{Stream: stream, Service: origin.ServiceOf("pool"), Within: time.Second}, isNamed)
	_, source := inquiry.Result()
	return source
}

// Guards against a single version that is concluded from what this router has heard, and against one that is not although the store confirms it.
func TestStoreConfirmsSingleVersion(t *testing.T) {
	for name, test := range map[string]struct {
		archive *fakeArchive
		want    origin.Source
	}{
		"confirmed":              {&fakeArchive{versions: []string{"v1"}}, origin.Single},
		"another version joined": {&fakeArchive{versions: []string{"v1", "v2"}}, origin.Unknown},
		"store refuses":          {&fakeArchive{versions: []string{"v1"}, err: errors.New("refused")}, origin.Unknown},
		"store answers too late": {&fakeArchive{versions: []string{"v1"}, delay: time.Second}, origin.Unknown},
		"store has no history":   {&fakeArchive{}, origin.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			for _, isNamed := range []bool{true, false} {
				synctest.Test(t, func(t *testing.T) {
					c := qt.New(t)
					o := newOriginsWithVersion(test.archive, "v1")
					c.Assert(o.sourceOf(1, isNamed), qt.Equals, test.want)
					time.Sleep(2 * time.Second)
				})
			}
		})
	}
}

// Guards against routers that together exceed the rate limit of the store when they all read the history.
func TestHistoryReadsOfLargeFleet(t *testing.T) {
	for name, test := range map[string]struct {
		routers        int
		readsPerSecond float64
		maxReadsIn10s  int
	}{
		"8 routers":              {8, 2000, 201},
		"300 routers":            {300, 16_000, 134},
		"300 routers, low limit": {300, 2000, 17},
		"no limit":               {300, 0, 201},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				archive := &fakeArchive{versions: []string{"v1"}}
				o := newOriginsWithVersion(archive, "v1")
				o.StoreReadsPerSecond, o.routers = test.readsPerSecond, make([]origin.Router, test.routers-1)
				o.Transport = originRecords(nil)
				for range 10 * 20 {
					go func() { c.Check(o.sourceOf(1, true), qt.Equals, origin.Single) }()
					time.Sleep(50 * time.Millisecond)
				}
				c.Assert(archive.readCount() <= test.maxReadsIn10s, qt.IsTrue, qt.Commentf("%d reads", archive.readCount()))
				time.Sleep(2 * time.Second)
			})
		})
	}
}

// Guards against a request that goes by a call to the store which began before it arrived, and against a call for each of many requests.
func TestRequestsShareReadsOfHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		archive := &fakeArchive{versions: []string{"v1"}, delay: 20 * time.Millisecond}
		o := newOriginsWithVersion(archive, "v1")
		sources := make(chan origin.Source, 100)
		go func() { sources <- o.sourceOf(0, true) }()
		time.Sleep(10 * time.Millisecond)
		archive.join("v2")
		for i := range 99 {
			go func() { sources <- o.sourceOf(origin.Stream(i), true) }()
		}
		c.Assert(<-sources, qt.Equals, origin.Single)
		for range 99 {
			c.Assert(<-sources, qt.Equals, origin.Unknown)
		}
		c.Assert(archive.readCount(), qt.Equals, 2)
		time.Sleep(2 * time.Second)
	})
}

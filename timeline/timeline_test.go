package timeline_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"hornbeamstep.example/timeline"
)

// The fixed seed makes the result reproducible; -rapid.seed on the command line overrides it.
func init() { _ = flag.Set("rapid.seed", "20261203") }

var start = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func fixed(t time.Time) func() time.Time { return func() time.Time { return t } }

func Example() {
	first := timeline.NewRing("r1", 8, &timeline.Clock{Now: fixed(start.Add(time.Second))})
	second := timeline.NewRing("r2", 8, &timeline.Clock{Now: fixed(start)})
	sent := first.Add(timeline.Event{Kind: timeline.Placed, Chat: "c7", Backend: "engine-2", Text: "home"})
	second.Clock().Merge(sent)
	second.Add(timeline.Event{Kind: timeline.Admitted, Chat: "c7", Backend: "engine-2"})
	merged := timeline.Merge(second.Events(timeline.Filter{Chat: "c7"}), first.Events(timeline.Filter{Chat: "c7"}))
	_ = timeline.WriteText(os.Stdout, merged, []string{"r3"})
	// Output:
	// no answer from: r3
	// 2026-03-01 08:00:01.000000    r1  placed    chat=c7 backend=engine-2 home
	// 2026-03-01 08:00:01.000000+1  r2  admitted  chat=c7 backend=engine-2
}

// Guards against stamps that repeat or go back when the wall clock stands still or steps back.
func TestClockIsMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wall := start
		clock := timeline.Clock{Now: func() time.Time { return wall }}
		last := clock.Stamp()
		for _, step := range rapid.SliceOfN(rapid.Int64Range(-1e9, 1e9), 1, 50).Draw(t, "steps") {
			wall = wall.Add(time.Duration(step))
			next := clock.Stamp()
			if next.Compare(last) <= 0 {
				t.Fatalf("stamp %s follows %s", next, last)
			}
			last = next
		}
	})
}

// Guards against an effect that is ordered before its cause when the receiver's clock is behind.
func TestMergeOrdersEffectAfterCause(t *testing.T) {
	c := qt.New(t)
	ahead := timeline.Clock{Now: fixed(start.Add(30 * time.Second))}
	behind := timeline.Clock{Now: fixed(start)}
	cause := ahead.Stamp()
	c.Assert(behind.Merge(cause), qt.IsTrue)
	c.Assert(behind.Stamp().Compare(cause), qt.Equals, 1)
}

// Guards against one router with a wrong clock moving the clocks of all others.
func TestMergeRejectsStampFarAhead(t *testing.T) {
	c := qt.New(t)
	clock := timeline.Clock{Now: fixed(start)}
	c.Assert(clock.Merge(timeline.Stamp{Wall: start.Add(time.Hour)}), qt.IsFalse)
	c.Assert(clock.Rejected(), qt.Equals, uint64(1))
	c.Assert(clock.Stamp().Wall.Equal(start), qt.IsTrue)
}

// Guards against a stamp that is lower than the previous one after an overflow of the counter.
func TestClockCarriesCounter(t *testing.T) {
	clock := timeline.Clock{Now: fixed(start)}
	last := clock.Stamp()
	for range 10_000 {
		next := clock.Stamp()
		qt.Assert(t, next.Compare(last), qt.Equals, 1)
		last = next
	}
}

// Guards against unbounded growth, and against losing the newest events under concurrent writes.
func TestRingKeepsLatest(t *testing.T) {
	c := qt.New(t)
	ring := timeline.NewRing("r1", 64, nil)
	var writers sync.WaitGroup
	for w := range 8 {
		writers.Go(func() {
			for i := range 100 {
				ring.Add(timeline.Event{Kind: timeline.Answered, Request: fmt.Sprint(w, "-", i)})
			}
		})
	}
	writers.Wait()
	c.Assert(ring.Events(timeline.Filter{}), qt.HasLen, 64)
	c.Assert(ring.Dropped(), qt.Equals, uint64(736))
	c.Assert(ring.Events(timeline.Filter{Limit: 3}), qt.HasLen, 3)
}

// Guards against a filter that passes events of other requests or from before the given time.
func TestFilter(t *testing.T) {
	event := timeline.Event{Stamp: timeline.Stamp{Wall: start}, Request: "q1", Chat: "c1"}
	for name, test := range map[string]struct {
		filter timeline.Filter
		match  bool
	}{
		"all":           {timeline.Filter{}, true},
		"request":       {timeline.Filter{Request: "q1"}, true},
		"other request": {timeline.Filter{Request: "q2"}, false},
		"other chat":    {timeline.Filter{Request: "q1", Chat: "c2"}, false},
		"at since":      {timeline.Filter{Since: start}, true},
		"before since":  {timeline.Filter{Since: start.Add(time.Microsecond)}, false},
	} {
		t.Run(name, func(t *testing.T) { qt.Assert(t, test.filter.Match(event), qt.Equals, test.match) })
	}
}

// Guards against duplicate events when a daemon answers twice, and against unescaped markup from
// event texts in the page.
func TestMergeAndPage(t *testing.T) {
	c := qt.New(t)
	events := []timeline.Event{{Stamp: timeline.Stamp{Wall: start}, Daemon: "r1", Kind: timeline.Refused, Text: "<script>"}}
	merged := timeline.Merge(events, events)
	c.Assert(merged, qt.HasLen, 1)
	var page strings.Builder
	c.Assert(timeline.WriteHTML(&page, "time line", merged, []string{"r9"}), qt.IsNil)
	c.Assert(page.String(), qt.Contains, "&lt;script&gt;")
	c.Assert(page.String(), qt.Contains, "No answer from: r9")
}

func BenchmarkRingAdd(b *testing.B) {
	ring := timeline.NewRing("r1", 0, nil)
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			ring.Add(timeline.Event{Kind: timeline.Placed, Request: "q", Chat: "c"})
		}
	})
}

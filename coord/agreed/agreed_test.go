package agreed_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"hornbeamstep.example/coord/agreed"
	"hornbeamstep.example/ports/objectapi"
)

var start = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// Guards against routers that know different things after they heard the same records in different orders, more than once.
func TestMergeDoesNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		at := rapid.Int64Range(0, 6)
		record := rapid.Custom(func(t *rapid.T) agreed.Record {
			stamp := func(name string) int64 {
				if n := at.Draw(t, name); n > 0 {
					return start.UnixNano() + n
				}
				return 0
			}
			r := agreed.Record{
				Kind: rapid.SampledFrom(agreed.Kinds).Draw(t, "kind"), Name: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name"),
				On: stamp("on"), Off: stamp("off"), Reason: rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "reason"),
			}
			for _, mark := range []string{"m1", "m2", "m3"} {
				if n := stamp(mark); n > 0 {
					if r.Marks == nil {
						r.Marks = map[string]int64{}
					}
					r.Marks[mark] = n
				}
			}
			return r
		})
		records := rapid.SliceOfN(record, 1, 8).Draw(t, "records")
		one, other := agreed.NewSet(), agreed.NewSet()
		one.Merge(start, records)
		other.Merge(start, rapid.Permutation(records).Draw(t, "order"))
		other.Merge(start, records)
		if one.Digest() != other.Digest() {
			t.Fatalf("%v and %v", one.Records(agreed.Drain), other.Records(agreed.Drain))
		}
		if len(one.Differing(digests(other))) > 0 {
			t.Fatal("equal sets have differing buckets")
		}
	})
}

func digests(s *agreed.Set) []uint32 {
	d := s.Digests()
	return d[:]
}

// Guards against an order that loses to the one it answers because the operator's router has a slow clock, and against a late
// message that repeats a drain which was taken back.
func TestLatestOrderPrevails(t *testing.T) {
	fast, slow := agreed.NewSet(), agreed.NewSet()
	drain := fast.Decide(start.Add(time.Minute), agreed.Drain, "w1", true, "fan")
	slow.Merge(start, []agreed.Record{drain})
	undrain := slow.Decide(start, agreed.Drain, "w1", false, strings.Repeat("x", 1000))
	fast.Merge(start, []agreed.Record{undrain})
	fast.Merge(start, []agreed.Record{drain})
	r, ok := fast.Get(agreed.Drain, "w1")
	qt.Check(t, ok, qt.IsTrue)
	qt.Check(t, r.InForce(), qt.IsFalse)
	qt.Check(t, len(r.Reason), qt.Equals, agreed.MaxReason)
}

// Guards against records that grow without bound, or an expiry that forgets a drain in force.
func TestBoundsAndExpiry(t *testing.T) {
	s := agreed.NewSet()
	s.Decide(start, agreed.Drain, "w1", true, "")
	for i := range agreed.MaxRecords + 10 {
		s.Decide(start.Add(time.Duration(i)), agreed.Drain, fmt.Sprint("taken back ", i), false, "")
	}
	s.Merge(start, []agreed.Record{
		{Kind: agreed.Quarantine, Name: "suspect", Marks: map[string]int64{"e1": start.UnixNano()}},
		{Kind: agreed.Quarantine, Name: "guilty", On: start.UnixNano()},
		{Kind: agreed.Quarantine, Name: strings.Repeat("x", agreed.MaxName+1), On: start.UnixNano()},
		{Kind: "other", Name: "unknown", On: start.UnixNano()},
	})
	qt.Check(t, s.Records(agreed.Drain), qt.HasLen, agreed.MaxRecords)
	qt.Check(t, s.Records(agreed.Quarantine), qt.HasLen, 2)
	s.Tidy(start.Add(time.Hour))
	qt.Check(t, s.Records(agreed.Quarantine), qt.HasLen, 1)
	s.Tidy(start.Add(25 * time.Hour))
	qt.Check(t, s.Records(agreed.Quarantine), qt.HasLen, 0)
	qt.Check(t, s.Records(agreed.Drain), qt.HasLen, 1)
}

// Guards against a decision that is lost when several routers write at once, replies are lost, writes take effect late and reads
// lag behind.
func TestWritersAtOnce(t *testing.T) {
	store := &objectapi.Memory{}
	store.Inject(objectapi.Random(1, objectapi.Chances{Lost: 0.2, Late: 0.1, Behind: 0.1, Delay: 20 * time.Millisecond}))
	const writers, orders = 4, 5
	var group sync.WaitGroup
	for i := range writers {
		group.Go(func() {
			set, log := agreed.NewSet(), &agreed.Log{Store: store}
			for j := range orders {
				set.Decide(start, agreed.Drain, fmt.Sprintf("w%d-%d", i, j), true, "")
				_, err := log.Save(context.Background(), agreed.Drain, func(stored []agreed.Record) []agreed.Record {
					set.Merge(start, stored)
					return set.Records(agreed.Drain)
				})
				qt.Check(t, err, qt.IsNil)
			}
		})
	}
	group.Wait()
	store.Inject(nil)
	got, _, err := (&agreed.Log{Store: store}).Load(context.Background(), agreed.Drain)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, got, qt.HasLen, writers*orders)
	qt.Check(t, slices.ContainsFunc(got, func(r agreed.Record) bool { return !r.InForce() }), qt.IsFalse)
}

// Guards against a router that goes on after a pause with what it knew before, by an answer that waited in a connection.
func TestPausedRouterIsNotFresh(t *testing.T) {
	g := agreed.Gate{Gap: time.Second}
	g.Beat(start)
	qt.Check(t, g.Fresh(start.Add(time.Second)), qt.IsTrue)
	resumed := start.Add(10 * time.Second)
	qt.Check(t, g.Fresh(resumed), qt.IsFalse)
	g.Beat(resumed)
	g.Heard(start.Add(time.Second))
	qt.Check(t, g.Fresh(resumed), qt.IsFalse)
	g.Heard(resumed)
	qt.Check(t, g.Fresh(resumed), qt.IsTrue)
}

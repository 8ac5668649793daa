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

// Guards against routers whose sets differ although they merged the same records, in different
// orders and some of them twice.
func TestMergeDoesNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		offset := rapid.Int64Range(0, 6)
		record := rapid.Custom(func(t *rapid.T) agreed.Record {
			timestamp := func(name string) int64 {
				if n := offset.Draw(t, name); n > 0 {
					return start.UnixNano() + n
				}
				return 0
			}
			r := agreed.Record{
				Kind: rapid.SampledFrom(agreed.Kinds).Draw(t, "kind"), Name: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name"),
				SetAt: timestamp("on"), RevokedAt: timestamp("off"), Reason: rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "reason"),
			}
			for _, crash := range []string{"m1", "m2", "m3"} {
				if n := timestamp(crash); n > 0 {
					if r.Crashes == nil {
						r.Crashes = map[string]int64{}
					}
					r.Crashes[crash] = n
				}
			}
			return r
		})
		records := rapid.SliceOfN(record, 1, 8).Draw(t, "records")
		first, second := agreed.NewSet(), agreed.NewSet()
		first.Merge(start, records)
		second.Merge(start, rapid.Permutation(records).Draw(t, "order"))
		second.Merge(start, records)
		if first.Digest() != second.Digest() {
			t.Fatalf("the digests differ; the drains are %v and %v", first.Records(agreed.Drain), second.Records(agreed.Drain))
		}
		if len(first.Differing(digests(second))) > 0 {
			t.Fatal("sets with equal digests have differing buckets")
		}
	})
}

func digests(s *agreed.Set) []uint32 {
	d := s.Digests()
	return d[:]
}

// Guards against a command that loses to the earlier one it responds to, because it was given to a
// router whose clock is behind, and against a delayed message that restores a revoked drain.
func TestLatestDecisionWins(t *testing.T) {
	ahead, behind := agreed.NewSet(), agreed.NewSet()
	drain := ahead.Decide(start.Add(time.Minute), agreed.Drain, "w1", true, "fan")
	behind.Merge(start, []agreed.Record{drain})
	undrain := behind.Decide(start, agreed.Drain, "w1", false, strings.Repeat("x", 1000))
	ahead.Merge(start, []agreed.Record{undrain})
	ahead.Merge(start, []agreed.Record{drain})
	r, ok := ahead.Get(agreed.Drain, "w1")
	qt.Check(t, ok, qt.IsTrue)
	qt.Check(t, r.InForce(), qt.IsFalse)
	qt.Check(t, len(r.Reason), qt.Equals, agreed.MaxReasonBytes)
}

// Guards against a set that grows without limit, and against the deletion of a drain that is in
// force.
func TestLimitsAndExpiry(t *testing.T) {
	s := agreed.NewSet()
	s.Decide(start, agreed.Drain, "w1", true, "")
	for i := range agreed.MaxRecords + 10 {
		s.Decide(start.Add(time.Duration(i)), agreed.Drain, fmt.Sprint("revoked ", i), false, "")
	}
	s.Merge(start, []agreed.Record{
		{Kind: agreed.Quarantine, Name: "suspect", Crashes: map[string]int64{"e1": start.UnixNano()}},
		{Kind: agreed.Quarantine, Name: "quarantined", SetAt: start.UnixNano()},
		{Kind: agreed.Quarantine, Name: strings.Repeat("x", agreed.MaxNameBytes+1), SetAt: start.UnixNano()},
		{Kind: "other", Name: "unknown", SetAt: start.UnixNano()},
	})
	qt.Check(t, s.Records(agreed.Drain), qt.HasLen, agreed.MaxRecords)
	qt.Check(t, s.Records(agreed.Quarantine), qt.HasLen, 2)
	s.Prune(start.Add(time.Hour))
	qt.Check(t, s.Records(agreed.Quarantine), qt.HasLen, 1)
	s.Prune(start.Add(25 * time.Hour))
	qt.Check(t, s.Records(agreed.Quarantine), qt.HasLen, 0)
	qt.Check(t, s.Records(agreed.Drain), qt.HasLen, 1)
}

// Guards against decisions lost when several routers write concurrently while replies are lost,
// writes take effect late and reads return old data.
func TestConcurrentWriters(t *testing.T) {
	store := &objectapi.Memory{}
	store.Inject(objectapi.RandomFaults(1, objectapi.FaultProbabilities{Lost: 0.2, Late: 0.1, Behind: 0.1, Delay: 20 * time.Millisecond}))
	const writers, decisions = 4, 5
	var wg sync.WaitGroup
	for i := range writers {
		wg.Go(func() {
			set, records := agreed.NewSet(), &agreed.RecordStore{Store: store}
			for j := range decisions {
				set.Decide(start, agreed.Drain, fmt.Sprintf("w%d-%d", i, j), true, "")
				_, err := records.Save(context.Background(), agreed.Drain, func(stored []agreed.Record) []agreed.Record {
					set.Merge(start, stored)
					return set.Records(agreed.Drain)
				})
				qt.Check(t, err, qt.IsNil)
			}
		})
	}
	wg.Wait()
	store.Inject(nil)
	got, _, err := (&agreed.RecordStore{Store: store}).Load(context.Background(), agreed.Drain)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, got, qt.HasLen, writers*decisions)
	qt.Check(t, slices.ContainsFunc(got, func(r agreed.Record) bool { return !r.InForce() }), qt.IsFalse)
}

// Guards against a router that resumes after a pause and trusts its old state, because it counts a
// response that was buffered in a connection during the pause as a refresh.
func TestStaleAfterPause(t *testing.T) {
	d := agreed.PauseDetector{Gap: time.Second}
	d.Beat(start)
	qt.Check(t, d.Fresh(start.Add(time.Second)), qt.IsTrue)
	resumed := start.Add(10 * time.Second)
	qt.Check(t, d.Fresh(resumed), qt.IsFalse)
	d.Beat(resumed)
	d.MarkFresh(start.Add(time.Second))
	qt.Check(t, d.Fresh(resumed), qt.IsFalse)
	d.MarkFresh(resumed)
	qt.Check(t, d.Fresh(resumed), qt.IsTrue)
}

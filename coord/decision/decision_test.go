package decision_test

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

	"hornbeamstep.example/coord/decision"
	"hornbeamstep.example/ports/objectapi"
)

var start = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// Guards against routers whose sets differ although they merged the same records, in different
// orders and some of them twice.
func TestMergeDoesNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		offset := rapid.Int64Range(0, 6)
		record := rapid.Custom(func(t *rapid.T) decision.Record {
			timestamp := func(name string) int64 {
				if n := offset.Draw(t, name); n > 0 {
					return start.UnixNano() + n
				}
				return 0
			}
			r := decision.Record{
				Kind: rapid.SampledFrom(decision.Kinds).Draw(t, "kind"), Name: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name"),
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
		first, second := decision.NewSet(), decision.NewSet()
		first.Merge(start, records)
		second.Merge(start, rapid.Permutation(records).Draw(t, "order"))
		second.Merge(start, records)
		if first.Digest() != second.Digest() {
			t.Fatalf("the digests differ; the drains are %v and %v", first.Records(decision.Drain), second.Records(decision.Drain))
		}
		if len(first.Differing(digests(second))) > 0 {
			t.Fatal("sets with equal digests have differing buckets")
		}
	})
}

func digests(s *decision.Set) []uint32 {
	d := s.Digests()
	return d[:]
}

// Guards against a command that loses to the earlier one it responds to, because it was given to a
// router whose clock is behind, and against a delayed message that restores a revoked drain.
func TestLatestDecisionWins(t *testing.T) {
	ahead, behind := decision.NewSet(), decision.NewSet()
	drain := ahead.Decide(start.Add(time.Minute), decision.Drain, "w1", true, "fan")
	behind.Merge(start, []decision.Record{drain})
	undrain := behind.Decide(start, decision.Drain, "w1", false, strings.Repeat("x", 1000))
	ahead.Merge(start, []decision.Record{undrain})
	ahead.Merge(start, []decision.Record{drain})
	r, ok := ahead.Get(decision.Drain, "w1")
	qt.Check(t, ok, qt.IsTrue)
	qt.Check(t, r.IsActive(), qt.IsFalse)
	qt.Check(t, len(r.Reason), qt.Equals, decision.MaxReasonBytes)
}

// Guards against a set that grows without limit, and against the deletion of a drain that is in
// force.
func TestLimitsAndExpiry(t *testing.T) {
	s := decision.NewSet()
	s.Decide(start, decision.Drain, "w1", true, "")
	for i := range decision.MaxRecords + 10 {
		s.Decide(start.Add(time.Duration(i)), decision.Drain, fmt.Sprint("revoked ", i), false, "")
	}
	s.Merge(start, []decision.Record{
		{Kind: decision.Quarantine, Name: "suspect", Crashes: map[string]int64{"e1": start.UnixNano()}},
		{Kind: decision.Quarantine, Name: "quarantined", SetAt: start.UnixNano()},
		{Kind: decision.Quarantine, Name: strings.Repeat("x", decision.MaxNameBytes+1), SetAt: start.UnixNano()},
		{Kind: "other", Name: "unknown", SetAt: start.UnixNano()},
	})
	qt.Check(t, s.Records(decision.Drain), qt.HasLen, decision.MaxRecords)
	qt.Check(t, s.Records(decision.Quarantine), qt.HasLen, 2)
	s.Prune(start.Add(time.Hour))
	qt.Check(t, s.Records(decision.Quarantine), qt.HasLen, 1)
	s.Prune(start.Add(25 * time.Hour))
	qt.Check(t, s.Records(decision.Quarantine), qt.HasLen, 0)
	qt.Check(t, s.Records(decision.Drain), qt.HasLen, 1)
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
			set, records := decision.NewSet(), &decision.RecordStore{Store: store}
			for j := range decisions {
				set.Decide(start, decision.Drain, fmt.Sprintf("w%d-%d", i, j), true, "")
				_, err := records.Save(context.Background(), decision.Drain, func(stored []decision.Record) []decision.Record {
					set.Merge(start, stored)
					return set.Records(decision.Drain)
				})
				qt.Check(t, err, qt.IsNil)
			}
		})
	}
	wg.Wait()
	store.Inject(nil)
	got, _, err := (&decision.RecordStore{Store: store}).Load(context.Background(), decision.Drain)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, got, qt.HasLen, writers*decisions)
	qt.Check(t, slices.ContainsFunc(got, func(r decision.Record) bool { return !r.IsActive() }), qt.IsFalse)
}

// Guards against a router that resumes after a pause and trusts its old state, because it counts a
// response that was buffered in a connection during the pause as a refresh.
func TestStaleAfterPause(t *testing.T) {
	d := decision.PauseDetector{MaxGap: time.Second}
	d.Heartbeat(start)
	qt.Check(t, d.Fresh(start.Add(time.Second)), qt.IsTrue)
	resumed := start.Add(10 * time.Second)
	qt.Check(t, d.Fresh(resumed), qt.IsFalse)
	d.Heartbeat(resumed)
	d.MarkFresh(start.Add(time.Second))
	qt.Check(t, d.Fresh(resumed), qt.IsFalse)
	d.MarkFresh(resumed)
	qt.Check(t, d.Fresh(resumed), qt.IsTrue)
}

package member_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"hornbeamstep.example/coord/member"
	"pgregory.net/rapid"
)

// The seed is fixed so that the result is reproducible. The flag on the command line overrides it.
func init() { _ = flag.Set("rapid.seed", "20261203") }

// Guards against outdated reports that override newer ones, against a removed member that cannot
// return, and against a router that does not refute a report that it has failed or left. Any number
// of reports arrive in any order, and the result is compared with a simple model.
func TestReportsAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
		s := member.New(member.Config{Self: member.Member{ID: "a", Boot: 1, Address: "a:1"}}, now, rand.New(rand.NewPCG(1, 2)))
		// The model of member b: its latest boot ID, the incarnation and whether that process left.
		var boot uint64
		var incarnation uint32
		left := false
		t.Repeat(map[string]func(*rapid.T){
			"report": func(t *rapid.T) {
				u := member.Member{
					ID: "b", Address: "b:1", Boot: rapid.Uint64Range(1, 3).Draw(t, "boot"),
					Incarnation: rapid.Uint32Range(0, 5).Draw(t, "incarnation"),
					Status:      member.Status(rapid.IntRange(0, 3).Draw(t, "status")),
				}
				before, knownBefore := s.View(now).Find("b")
				s.HandlePing(now, member.Ping{From: member.Member{ID: "c", Boot: 1, Address: "c:1"}, Updates: []member.Member{u}})
				after, knownAfter := s.View(now).Find("b")
				newer := u.Boot > boot || (u.Boot == boot && u.Incarnation > incarnation && !left)
				if newer && u.Status.Live() && (!knownAfter || after.Boot != u.Boot || after.Incarnation != u.Incarnation) {
					t.Fatalf("newer report %+v was not applied: %+v", u, after)
				}
				if u.Boot < boot && (knownBefore != knownAfter || before != after) {
					t.Fatalf("report with an earlier boot ID changed %+v to %+v", before, after)
				}
				if u.Boot == boot && u.Incarnation < incarnation && u.Status != member.Left && (knownBefore != knownAfter || before != after) {
					t.Fatalf("outdated report changed %+v to %+v", before, after)
				}
				if u.Boot > boot {
					boot, incarnation, left = u.Boot, u.Incarnation, false
				}
				// A report of a removal does not raise the known incarnation of a member that stays
				// live in the view.
				if u.Boot == boot && (u.Status != member.Removed || !knownAfter) {
					incarnation = max(incarnation, u.Incarnation)
				}
				left = left || (u.Boot == boot && u.Status == member.Left)
			},
			"report about itself": func(t *rapid.T) {
				u := member.Member{
					ID: "a", Boot: 1, Incarnation: rapid.Uint32Range(0, 9).Draw(t, "incarnation"),
					Status: member.Status(rapid.IntRange(1, 3).Draw(t, "status")),
				}
				s.HandlePing(now, member.Ping{From: member.Member{ID: "c", Boot: 1, Address: "c:1"}, Updates: []member.Member{u}})
				if self := s.View(now).Self; self.Incarnation <= u.Incarnation || self.Status != member.Alive {
					t.Fatalf("report %+v was not refuted: %+v", u, self)
				}
			},
		})
	})
}

func ExampleState() {
	now := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	a := member.New(member.Config{Self: member.Member{ID: "a", Boot: 1, Address: "10.0.0.1:7000"}}, now, rand.New(rand.NewPCG(1, 2)))
	b := member.New(member.Config{Self: member.Member{ID: "b", Boot: 1, Address: "10.0.0.2:7000"}}, now, rand.New(rand.NewPCG(3, 4)))
	a.UpdateInstances(now, []member.Instance{{Address: "10.0.0.2:7000"}})
	now = now.Add(time.Second)
	for _, action := range a.Tick(now) {
		ack, _ := b.HandlePing(now, action.Ping)
		a.HandleAck(now, action.Seq, ack)
	}
	for _, m := range a.View(now).Members {
		fmt.Println(m.ID, m.Status)
	}
	// Output:
	// a alive
	// b alive
}

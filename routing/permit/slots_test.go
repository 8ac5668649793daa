package permit_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/routing/permit"
	"hornbeamstep.example/routing/roster"
)

// Guards against an issuer that hands out slots which its predecessor has handed out too, and against
// servers that get no requests while one router after another restarts.
func TestIssuerSettles(t *testing.T) {
	c := qt.New(t)
	var all []string
	for i := range 60 {
		all = append(all, fmt.Sprintf("r%02d", i))
	}
	var issuers permit.Issuers
	now := start
	issuers.Set(now, all)
	c.Assert(issuers.SettleTime(now, "s0", issuers.Of("s0")) > 0, qt.IsTrue)
	now = now.Add(time.Minute)
	unsettled, previous := 0, map[string]string{}
	for i := range 60 {
		issuers.Set(now, slices.DeleteFunc(slices.Clone(all), func(r string) bool { return r == all[i] }))
		for n := range 100 {
			server := fmt.Sprint("s", n)
			issuer := issuers.Of(server)
			settles := issuers.SettleTime(now, server, issuer) > 0
			if before := previous[server]; before != "" && before != issuer {
				c.Assert(settles, qt.IsTrue, qt.Commentf("%s was the issuer of %s just now", before, server))
			}
			if settles {
				unsettled++
			}
			previous[server] = issuer
		}
		now = now.Add(300 * time.Millisecond)
	}
	c.Assert(unsettled <= 60*100/10, qt.IsTrue, qt.Commentf("%d of %d", unsettled, 60*100))
	now = now.Add(time.Second)
	c.Assert(issuers.SettleTime(now, "s0", issuers.Of("s0")), qt.Equals, time.Duration(0))
}

// ask returns a question for a slot of server s0.
func slotAsk(number uint32, priority int, maxDelay time.Duration) permit.Ask {
	return permit.Ask{Server: "s0", Priority: priority, MaxDelay: maxDelay, Slot: &permit.SlotAsk{Holder: permit.Holder{Router: "r", Number: number}, MaxHold: time.Second}}
}

// Guards against a rejected request after which the server gets as many requests as before, and against a
// server that is given up for one rejection.
func TestRejectionLowersSlots(t *testing.T) {
	for name, test := range map[string]struct {
		maxRejections int
		granted       int
	}{
		"none withstood": {0, 0},
		"many withstood": {10, 2},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := permit.NewSlots()
			s.SetServers([]roster.Server{{ID: "s0", Service: "pool", Slots: 16}})
			for i := range uint32(3) {
				answer, _ := s.Acquire(start, slotAsk(i+1, 0, 0), 1)
				c.Assert(answer.Granted, qt.IsTrue)
			}
			s.Release(start, "s0", permit.Holder{Router: "r", Number: 3}, permit.Rejected, 1, test.maxRejections)
			for i := range uint32(2) {
				s.Release(start, "s0", permit.Holder{Router: "r", Number: i + 1}, permit.Done, 1, test.maxRejections)
			}
			granted := 0
			for i := range uint32(10) {
				if answer, _ := s.Acquire(start.Add(time.Millisecond), slotAsk(i+10, 0, 0), 1); answer.Granted {
					granted++
				}
			}
			c.Assert(granted, qt.Equals, test.granted)
			answer, _ := s.Acquire(start.Add(20*time.Second), slotAsk(99, 0, 0), 1)
			c.Assert(answer.Granted, qt.IsTrue)
		})
	}
}

// Guards against requests that get a slot before more urgent ones that wait, and after their time.
func TestSlotQueue(t *testing.T) {
	c := qt.New(t)
	s := permit.NewSlots()
	s.SetServers([]roster.Server{{ID: "s0", Service: "pool", Slots: 2}})
	answer, decided := s.Acquire(start, slotAsk(1, 0, 0), 1)
	c.Assert(answer.Granted && decided, qt.IsTrue)
	for number, ask := range map[uint32]permit.Ask{
		2: slotAsk(2, 5, 100*time.Millisecond), 3: slotAsk(3, 1, 100*time.Millisecond), 4: slotAsk(4, 9, 20*time.Millisecond),
	} {
		_, decided := s.Acquire(start, ask, 1)
		c.Assert(decided, qt.IsFalse, qt.Commentf("%d", number))
	}
	next := func(at time.Duration, ended uint32) []uint32 {
		var numbers []uint32
		for _, g := range s.Release(start.Add(at), "s0", permit.Holder{Router: "r", Number: ended}, permit.Done, 1, 3) {
			numbers = append(numbers, g.Holder.Number)
		}
		return numbers
	}
	c.Assert(next(30*time.Millisecond, 1), qt.DeepEquals, []uint32{3})
	c.Assert(next(40*time.Millisecond, 3), qt.DeepEquals, []uint32{2})
	c.Assert(next(50*time.Millisecond, 2), qt.HasLen, 0)
}

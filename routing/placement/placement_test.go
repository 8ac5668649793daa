package placement_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/routing/placement"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func engines(n int) []placement.Engine {
	list := make([]placement.Engine, n)
	for i := range list {
		list[i] = placement.Engine{ID: fmt.Sprintf("e%03d", i), Weight: 1}
	}
	return list
}

func chat(i int) placement.Request {
	return placement.Request{Chat: fmt.Sprintf("chat-%d", i), Model: "m", ContextTokens: 1000}
}

// Guards against allocations on the common path, which make decisions slow.
func TestPlaceDoesNotAllocate(t *testing.T) {
	v := placement.NewView(engines(600))
	rule := placement.New(placement.Defaults())
	r := chat(1)
	n := testing.AllocsPerRun(100, func() { rule.Place(start, r, v) })
	qt.Assert(t, n, qt.Equals, 0.0)
}

// Guards against chats that change their home although its engine stays, and against a hash that
// spreads chats unevenly.
func TestHomesAreStableAndEven(t *testing.T) {
	rule := placement.New(placement.Defaults())
	list := engines(9)
	list[0].Weight = 2
	before := placement.NewView(list)
	after := before.WithState("e004", placement.Gone)
	share := map[string]int{}
	const chats = 20000
	for i := range chats {
		a := rule.Place(start, chat(i), before)
		b := rule.Place(start, chat(i), after)
		share[a.Home]++
		if a.Home != "e004" {
			qt.Assert(t, b.Home, qt.Equals, a.Home)
		} else {
			qt.Assert(t, b.Home, qt.Equals, a.SecondHome)
		}
	}
	for _, e := range list {
		want := chats * e.Weight / 10
		got := float64(share[e.ID])
		qt.Assert(t, got > 0.93*want && got < 1.07*want, qt.IsTrue, qt.Commentf("%s: %v of %v", e.ID, got, want))
	}
}

// Guards against a wrong choice between waiting for an engine and a cache miss on another one.
func TestSpill(t *testing.T) {
	base := placement.NewView(engines(3))
	rule := placement.New(placement.Defaults())
	r := chat(7)
	d := rule.Place(start, r, base)
	other := ""
	for _, e := range base.Engines() {
		if e.ID != d.Home && e.ID != d.SecondHome {
			other = e.ID
		}
	}
	relocated := r
	relocated.Holder = other
	idle := relocated
	idle.Last = start.Add(-20 * time.Hour)
	busy := func(id string, wait time.Duration) placement.View {
		return base.WithStatus(id, placement.Status{Wait: wait, Full: true})
	}
	newChat := r
	newChat.ContextTokens = 0
	recent := r
	recent.Last = start.Add(-time.Minute)
	evicted := base.WithStatus(d.Home, placement.Status{Wait: 40 * time.Millisecond, EvictedBefore: start.Add(-time.Second)})
	cases := map[string]struct {
		r      placement.Request
		v      placement.View
		engine string
		reason placement.Reason
		from   string
	}{
		"home":                         {r, base, d.Home, placement.AtHome, ""},
		"short wait is cheaper":        {r, busy(d.Home, 40*time.Millisecond), d.Home, placement.AtHome, ""},
		"long wait moves the context":  {r, busy(d.Home, time.Second), d.SecondHome, placement.Spilled, d.Home},
		"new chat avoids any wait":     {newChat, busy(d.Home, time.Millisecond), d.SecondHome, placement.Spilled, ""},
		"context on another engine":    {relocated, base, other, placement.AtHolder, ""},
		"long idle context is evicted": {idle, busy(other, time.Second), d.Home, placement.AtHome, ""},
		"context evicted by engine":    {recent, evicted, d.SecondHome, placement.Spilled, ""},
		"suspect home":                 {r, base.WithState(d.Home, placement.Suspect), d.SecondHome, placement.Avoided, ""},
		"leaving home exports":         {r, base.WithState(d.Home, placement.Leaving), d.SecondHome, placement.AtHome, d.Home},
		"joining home imports":         {r, base.WithState(d.Home, placement.Joining), d.Home, placement.AtHome, d.SecondHome},
		"no engine":                    {r, placement.NewView(nil), "", placement.NoEngine, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := rule.Place(start, c.r, c.v)
			qt.Check(t, got.Engine, qt.Equals, c.engine)
			qt.Check(t, got.Reason, qt.Equals, c.reason)
			qt.Check(t, got.From, qt.Equals, c.from)
		})
	}
}

// Guards against a table that grows beyond its size, or that loses the entry that was just put.
func TestRelocationTableIsBounded(t *testing.T) {
	table := placement.NewRelocationTable(64)
	for i := range 1000 {
		key := placement.Key("m", "", fmt.Sprint(i))
		table.Put(start.Add(time.Duration(i)*time.Second), key, "e1")
		got, _ := table.Find(key)
		qt.Assert(t, got, qt.Equals, "e1")
		qt.Assert(t, table.Len() <= 64, qt.IsTrue)
	}
	table.DeleteEngine("e1")
	qt.Assert(t, table.Len(), qt.Equals, 0)
}

// Guards against exports over the budget of tokens, and against an order that leaves out the chats
// most likely to continue.
func TestEvacuate(t *testing.T) {
	v := placement.NewView(engines(3)).WithState("e001", placement.Leaving)
	rule := placement.New(placement.Defaults())
	moves := rule.Evacuate(start, "e001", []placement.ChatContext{
		{Chat: "old", Tokens: 600, LastUsed: start.Add(-time.Minute)},
		{Chat: "evicted", Tokens: 100, LastUsed: start.Add(-19 * time.Hour)},
		{Chat: "new", Tokens: 600, LastUsed: start.Add(-time.Second)},
	}, 1000, v)
	qt.Assert(t, moves, qt.HasLen, 1)
	qt.Assert(t, moves[0].Chat, qt.Equals, "new")
	qt.Assert(t, moves[0].To, qt.Not(qt.Equals), "e001")
}

func BenchmarkPlace600(b *testing.B) {
	v := placement.NewView(engines(600))
	rule := placement.New(placement.Defaults())
	r := chat(1)
	b.ReportAllocs()
	for b.Loop() {
		rule.Place(start, r, v)
	}
}

// Guards against a chat that gets no engine while its home and its second home are both out of
// service, although other engines are in service.
func TestPlaceWithBothHomesOutOfService(t *testing.T) {
	rule := placement.New(placement.Defaults())
	for i := range 20 {
		v := placement.NewView(engines(4))
		r := chat(i)
		d := rule.Place(start, r, v)
		v = v.WithState(d.Home, placement.Suspect).WithState(d.SecondHome, placement.Suspect)
		got := rule.Place(start, r, v)
		qt.Check(t, got.Engine, qt.Not(qt.Equals), "")
		qt.Check(t, got.Reason, qt.Equals, placement.Avoided)
		search := rule.Search(start, r, v, 4)
		search.Exclude(start, got.Engine)
		qt.Check(t, search.Next(start).Engine, qt.Not(qt.Equals), "")
	}
}

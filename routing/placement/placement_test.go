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
	return placement.Request{Chat: fmt.Sprintf("chat-%d", i), Model: "m", Context: 1000}
}

// Guards against a decision that is slow because of allocation on the common path.
func TestPlaceDoesNotAllocate(t *testing.T) {
	v := placement.NewView(engines(600))
	rule := placement.New(placement.Defaults())
	r := chat(1)
	n := testing.AllocsPerRun(100, func() { rule.Place(start, r, v) })
	qt.Assert(t, n, qt.Equals, 0.0)
}

// Guards against homes that move although their engine stays, and against a skewed hash.
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
			qt.Assert(t, b.Home, qt.Equals, a.Second)
		}
	}
	for _, e := range list {
		want := chats * e.Weight / 10
		got := float64(share[e.ID])
		qt.Assert(t, got > 0.93*want && got < 1.07*want, qt.IsTrue, qt.Commentf("%s: %v of %v", e.ID, got, want))
	}
}

// Guards against a wrong choice between a wait and a miss.
func TestSpill(t *testing.T) {
	base := placement.NewView(engines(3))
	rule := placement.New(placement.Defaults())
	r := chat(7)
	d := rule.Place(start, r, base)
	other := ""
	for _, e := range base.Engines() {
		if e.ID != d.Home && e.ID != d.Second {
			other = e.ID
		}
	}
	held := r
	held.Held = other
	long := held
	long.Last = start.Add(-20 * time.Hour)
	busy := func(id string, w time.Duration) placement.View {
		return base.WithStatus(id, placement.Status{Wait: w, Full: true})
	}
	cold := r
	cold.Context = 0
	lru := r
	lru.Last = start.Add(-time.Minute)
	evicted := base.WithStatus(d.Home, placement.Status{Wait: 40 * time.Millisecond, Evicted: start.Add(-time.Second)})
	cases := map[string]struct {
		r      placement.Request
		v      placement.View
		engine string
		reason placement.Reason
		from   string
	}{
		"home":                        {r, base, d.Home, placement.AtHome, ""},
		"short wait is cheaper":       {r, busy(d.Home, 40*time.Millisecond), d.Home, placement.AtHome, ""},
		"long wait moves the context": {r, busy(d.Home, time.Second), d.Second, placement.Spilled, d.Home},
		"new chat avoids any wait":    {cold, busy(d.Home, time.Millisecond), d.Second, placement.Spilled, ""},
		"exception":                   {held, base, other, placement.AtHeld, ""},
		"idle chat is not held":       {long, busy(other, time.Second), d.Home, placement.AtHome, ""},
		"evicted by its engine":       {lru, evicted, d.Second, placement.Spilled, ""},
		"suspect home":                {r, base.WithState(d.Home, placement.Suspect), d.Second, placement.Avoided, ""},
		"leaving home exports":        {r, base.WithState(d.Home, placement.Leaving), d.Second, placement.AtHome, d.Home},
		"joining home imports":        {r, base.WithState(d.Home, placement.Joining), d.Home, placement.AtHome, d.Second},
		"no engine":                   {r, placement.NewView(nil), "", placement.NoEngine, ""},
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

// Guards against an exception table that grows, or that loses the entry just put.
func TestExceptionsAreBounded(t *testing.T) {
	x := placement.NewExceptions(64)
	for i := range 1000 {
		key := placement.Key("m", "", fmt.Sprint(i))
		x.Put(start.Add(time.Duration(i)*time.Second), key, "e1")
		got, _ := x.Find(key)
		qt.Assert(t, got, qt.Equals, "e1")
		qt.Assert(t, x.Len() <= 64, qt.IsTrue)
	}
	x.Drop("e1")
	qt.Assert(t, x.Len(), qt.Equals, 0)
}

// Guards against exports over the budget, and in an order that loses the chats most likely to return.
func TestEvacuate(t *testing.T) {
	v := placement.NewView(engines(3)).WithState("e001", placement.Leaving)
	rule := placement.New(placement.Defaults())
	moves := rule.Evacuate(start, "e001", []placement.Context{
		{Chat: "old", Tokens: 600, Last: start.Add(-time.Minute)},
		{Chat: "evicted", Tokens: 100, Last: start.Add(-19 * time.Hour)},
		{Chat: "new", Tokens: 600, Last: start.Add(-time.Second)},
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

// Guards against a chat that gets no engine because its home and its second home are out of service together, while others of
// the pool are not.
func TestHomeAndSecondHomeOut(t *testing.T) {
	rule := placement.New(placement.Defaults())
	for i := range 20 {
		v := placement.NewView(engines(4))
		r := chat(i)
		d := rule.Place(start, r, v)
		v = v.WithState(d.Home, placement.Suspect).WithState(d.Second, placement.Suspect)
		got := rule.Place(start, r, v)
		qt.Check(t, got.Engine, qt.Not(qt.Equals), "")
		qt.Check(t, got.Reason, qt.Equals, placement.Avoided)
		walk := rule.Walk(start, r, v, 4)
		walk.Avoid(start, got.Engine)
		qt.Check(t, walk.Next(start).Engine, qt.Not(qt.Equals), "")
	}
}

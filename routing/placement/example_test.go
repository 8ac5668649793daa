package placement_test

import (
	"fmt"
	"time"

	"hornbeamstep.example/routing/placement"
)

func Example() {
	view := placement.NewView([]placement.Engine{{ID: "e1"}, {ID: "e2"}, {ID: "e3"}})
	rule := placement.New(placement.Defaults())
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	request := placement.Request{Chat: "chat-1", Model: "m", ContextTokens: 2000}

	d := rule.Place(now, request, view)
	fmt.Println(d.Engine == d.Home, d.Reason)

	busy := view.WithStatus(d.Home, placement.Status{Wait: time.Second})
	spilled := rule.Place(now, request, busy)
	fmt.Println(spilled.Engine == d.SecondHome, spilled.Reason, spilled.From == d.Home)
	// Output:
	// true home
	// true spilled true
}

func Example_slotSearch() {
	view := placement.NewView([]placement.Engine{{ID: "e1"}, {ID: "e2"}})
	rule := placement.New(placement.Defaults())
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

	search := rule.Search(now, placement.Request{Chat: "chat-1", Model: "m"}, view, 2)
	first := search.Next(now)
	search.RecordRefusal(first.Engine, time.Second)
	second := search.Next(now)
	search.RecordRefusal(second.Engine, 2*time.Second)
	last := search.Next(now)
	fmt.Println(first.Queue, second.Queue, last.Queue, last.Engine == first.Engine)
	// Output: false false true true
}

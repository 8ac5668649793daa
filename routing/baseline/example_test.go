package baseline_test

import (
	"fmt"
	"time"

	"hornbeamstep.example/routing/baseline"
	"hornbeamstep.example/routing/placement"
)

func ExampleLeastLoad() {
	view := placement.NewView([]placement.Engine{{ID: "e1"}, {ID: "e2"}}).
		WithStatus("e1", placement.Status{Load: 3}).
		WithStatus("e2", placement.Status{Load: 1})
	d := baseline.LeastLoad{}.Place(time.Time{}, placement.Request{Chat: "chat-1"}, view)
	fmt.Println(d.Engine, d.Reason)
	// Output: e2 load
}

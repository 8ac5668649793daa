package owner_test

import (
	"fmt"

	"hornbeamstep.example/coord/owner"
)

func ExampleCompute() {
	routers := []owner.Router{
		{ID: "r1", Zone: "howick", Region: "natal"},
		{ID: "r2", Zone: "mooi", Region: "natal"},
	}
	engines := []owner.Engine{{ID: "e1", Zone: "howick", Region: "natal"}, {ID: "e2", Zone: "mooi", Region: "natal"}}
	s := owner.Compute(owner.Input{Self: "r1", Routers: routers, Engines: engines}).WithTrust(true)
	fmt.Println(s.OwnedEngines())
	after := owner.Compute(owner.Input{Self: "r1", Routers: routers[:1], Engines: engines})
	for _, c := range owner.Changes(s, after) {
		if c.Kind == owner.KindEngine {
			fmt.Printf("%s: %s -> %s\n", c.Name, c.From, c.To)
		}
	}
	// Output:
	// [e1]
	// e2: r2 -> r1
}

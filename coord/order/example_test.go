package order_test

import (
	"fmt"

	"hornbeamstep.example/coord/order"
)

func ExampleSteps() {
	desired := order.State{Role: "decode"}.WithLoaded("letters", "letters:formal")
	actual := order.State{Role: "mixed", Drain: true}.WithLoaded("letters", "tickets")
	for _, s := range order.Steps(desired, actual) {
		fmt.Println(s.Action, s.State)
	}
	// Output:
	// unload tickets
	// role decode
	// load letters:formal
	// drain false
}

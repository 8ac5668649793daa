package reconcile_test

import (
	"fmt"

	"hornbeamstep.example/coord/reconcile"
)

func ExampleSteps() {
	desired := reconcile.State{Role: "decode"}.WithLoaded("letters", "letters:formal")
	actual := reconcile.State{Role: "mixed", Drain: true}.WithLoaded("letters", "tickets")
	for _, s := range reconcile.Steps(desired, actual) {
		fmt.Println(s.Action, s.Argument)
	}
	// Output:
	// unload tickets
	// role decode
	// load letters:formal
	// drain false
}

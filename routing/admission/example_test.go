package admission_test

import (
	"fmt"
	"time"

	"hornbeamstep.example/routing/admission"
)

func Example() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	settings := admission.Defaults()
	settings.Capacity = 1
	gate := admission.New(now, settings)

	first := gate.Offer(now, admission.SlotRequest{RequestID: "r1", Account: "a"})
	second := gate.Offer(now, admission.SlotRequest{RequestID: "r2", Account: "b"})
	fmt.Println(first.Kind, second.Kind)

	for _, a := range gate.Release(now.Add(time.Second), first.Slot.ID) {
		fmt.Println(a.Kind, a.Request.RequestID, a.Waited)
	}
	// Output:
	// granted queued
	// granted r2 1s
}

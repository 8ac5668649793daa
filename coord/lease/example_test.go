package lease_test

import (
	"context"
	"fmt"

	"hornbeamstep.example/coord/lease"
	"hornbeamstep.example/ports/objectapi"
)

func ExampleHolder() {
	ctx := context.Background()
	store := &objectapi.Memory{}
	observer := &lease.Observer{Store: store}
	h := &lease.Holder{Store: store, Router: "router-1", Boot: "boot-1"}
	_ = h.Acquire(ctx, observer, []string{"engine-1"})
	fmt.Println(h.Valid(), h.Covers("engine-1"))
	s, _ := observer.Status(ctx, "router-1")
	fmt.Println(s.State)
	_ = h.Release(ctx)
	fmt.Println(h.Valid())
	// Output:
	// <nil> true
	// held
	// lease is not held; acquire it before sending orders
}

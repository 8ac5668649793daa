package adapters_test

import (
	"fmt"
	"time"

	"hornbeamstep.example/routing/adapters"
)

func Example() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	planner := adapters.New(now, adapters.Defaults())
	want := []adapters.Adapter{{Name: "letters", Version: "2", Size: 400e6, Demand: 3}}
	engines := []adapters.Engine{{ID: "e1", Memory: 1e9, InService: true}, {ID: "e2", Memory: 2e9, InService: true}}
	for _, o := range planner.Plan(now, want, engines) {
		fmt.Println(o.Kind, o.Name, o.Version, o.Engine)
	}
	// Output:
	// load letters 2 e2
	// load letters 2 e1
}

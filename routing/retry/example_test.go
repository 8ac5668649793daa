package retry_test

import (
	"fmt"
	"time"

	"hornbeamstep.example/routing/retry"
)

func Example() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	budget := retry.NewBudget(0.1, 1)
	health := retry.NewHealth(retry.DefaultHealth())
	health.SetServers(now, []string{"s1", "s2", "s3", "s4"})

	budget.CountRequest()
	fmt.Println(budget.AllowRetry(), budget.AllowRetry())
	for range 5 {
		health.Record(now, "s1", false)
	}
	fmt.Println(health.Allow(now, "s1"), health.Allow(now, "s2"), health.Ejected())
	// Output:
	// true false
	// false true [s1]
}

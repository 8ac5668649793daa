package limit_test

import (
	"fmt"
	"time"

	"hornbeamstep.example/routing/limit"
)

func Example() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	limiter := limit.New(limit.Defaults(), 2)
	limiter.SetLimits(map[string]limit.Limits{"a": {Requests: 1}})
	aggregator := limit.NewAggregator(limit.Defaults())

	// Each of the two routers may use half of the limit, which is 0.5 requests per second. Its
	// allowance of 2 s holds one request, so the next one is refused for 2 s.
	fmt.Println(limiter.Allow(now, "a", 0).OK)
	refused := limiter.Allow(now, "a", 0)
	fmt.Println(refused.OK, refused.RetryAfter)

	// Once a second the router reports the demand of heavy accounts and receives the totals. The
	// demand is smoothed: the first report has half of the 2 requests per second.
	now = now.Add(time.Second)
	for _, t := range aggregator.Report(now, "router-1", limiter.HeavyDemand(now)) {
		fmt.Println(t.Account, t.Requests, t.Routers)
		limiter.SetTotals(now, []limit.Total{t})
	}
	// Output:
	// true
	// false 2s
	// a 1 1
}

package usage_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"hornbeamstep.example/coord/usage"
)

var start = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func router(id string, rates map[string]usage.Amount) *usage.State {
	s := usage.New(id)
	s.SetAggregator(func(string) string { return "a" })
	s.Own(rates)
	return s
}

// Guards against sums that lose a router, and against use that counts long after its router is gone.
func TestTotals(t *testing.T) {
	c := quicktest.New(t)
	a := router("a", map[string]usage.Amount{"surge": {Requests: 1, Tokens: 100}})
	b := router("b", map[string]usage.Amount{"surge": {Requests: 2, Tokens: 300}, "quiet": {}})
	a.Tick(start)
	for _, send := range b.Tick(start) {
		c.Assert(send.Report.Items, quicktest.HasLen, 1)
		b.Answered(start, a.Handle(start, send.Report))
	}
	total, ok := b.Total(start, "surge")
	c.Assert(ok, quicktest.IsTrue)
	c.Assert(total, quicktest.Equals, usage.Item{Account: "surge", Amount: usage.Amount{Requests: 3, Tokens: 400}, Routers: 2})

	later := start.Add(2 * usage.Stale)
	_, ok = b.Total(later, "surge")
	c.Assert(ok, quicktest.IsFalse)
	a.Tick(later)
	total, _ = a.Total(later, "surge")
	c.Assert(total.Routers, quicktest.Equals, 1)
}

// Guards against reports that grow with the number of client accounts.
func TestOnlyHeavyAccountsAreReported(t *testing.T) {
	c := quicktest.New(t)
	rates := map[string]usage.Amount{}
	for i := range 9000 {
		rates[fmt.Sprint("account-", i)] = usage.Amount{Tokens: float64(i)}
	}
	sends := router("b", rates).Tick(start)
	c.Assert(sends, quicktest.HasLen, 1)
	c.Assert(sends[0].Report.Items, quicktest.HasLen, usage.Heavy)
	c.Assert(sends[0].Report.Items[0].Account, quicktest.Equals, "account-8999")
}

func ExampleState() {
	a := router("a", map[string]usage.Amount{"co-op": {Requests: 5}})
	a.Tick(start)
	total, _ := a.Total(start, "co-op")
	fmt.Println(total.Requests, total.Routers)
	// Output: 5 1
}

package limit

import (
	"slices"
	"strings"
	"time"
)

// Aggregator sums the demand of each account over all routers that report it. Each aggregator is
// responsible for some of the accounts. It is not safe for concurrent use.
type Aggregator struct {
	ttl time.Duration
	// reports holds the latest report by account and router.
	reports map[string]map[string]report
}

type report struct {
	at     time.Time
	demand Demand
}

// NewAggregator returns an aggregator whose reports are valid for Settings.TotalTTL.
func NewAggregator(s Settings) *Aggregator {
	return &Aggregator{ttl: s.TotalTTL, reports: map[string]map[string]report{}}
}

// Report stores the demand that a router sent, replacing its earlier report for the same accounts,
// and returns the totals of these accounts.
func (g *Aggregator) Report(now time.Time, router string, demands []Demand) []Total {
	var out []Total
	for _, d := range demands {
		if g.reports[d.Account] == nil {
			g.reports[d.Account] = map[string]report{}
		}
		g.reports[d.Account][router] = report{now, d}
		out = append(out, g.total(now, d.Account))
	}
	return out
}

// Expire removes reports that are no longer valid. Call it once every Settings.ReportInterval.
func (g *Aggregator) Expire(now time.Time) {
	for account, byRouter := range g.reports {
		for router, r := range byRouter {
			if now.Sub(r.at) >= g.ttl {
				delete(byRouter, router)
			}
		}
		if len(byRouter) == 0 {
			delete(g.reports, account)
		}
	}
}

// total returns the total of an account. It adds up the reports in the order of the router names,
// since the sum of floating-point numbers depends on the order.
func (g *Aggregator) total(now time.Time, account string) Total {
	t := Total{Demand: Demand{Account: account}}
	byRouter := g.reports[account]
	var routers []string
	for router := range byRouter {
		routers = append(routers, router)
	}
	slices.SortFunc(routers, strings.Compare)
	for _, router := range routers {
		r := byRouter[router]
		if now.Sub(r.at) >= g.ttl {
			continue
		}
		t.Requests += r.demand.Requests
		t.Tokens += r.demand.Tokens
		t.Routers++
	}
	return t
}

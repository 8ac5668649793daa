package limit

import (
	"slices"
	"strings"
	"time"
)

// Aggregator sums the demand of the accounts that it is responsible for. It is not safe for concurrent use.
type Aggregator struct {
	life    time.Duration
	reports map[string]map[string]report
}

type report struct {
	at     time.Time
	demand Demand
}

// NewAggregator returns an aggregator whose reports count for Settings.Life.
func NewAggregator(s Settings) *Aggregator {
	return &Aggregator{life: s.Life, reports: map[string]map[string]report{}}
}

// Report takes the demand that a router sent, in place of its earlier report of the same accounts, and returns the totals
// of these accounts.
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

// Expire forgets reports that no longer count. Call it once a Settings.Period.
func (g *Aggregator) Expire(now time.Time) {
	for account, byRouter := range g.reports {
		for router, r := range byRouter {
			if now.Sub(r.at) >= g.life {
				delete(byRouter, router)
			}
		}
		if len(byRouter) == 0 {
			delete(g.reports, account)
		}
	}
}

// total adds up in the order of the routers' names, since the sum of floating-point numbers depends on the order.
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
		if now.Sub(r.at) >= g.life {
			continue
		}
		t.Requests += r.demand.Requests
		t.Tokens += r.demand.Tokens
		t.Routers++
	}
	return t
}

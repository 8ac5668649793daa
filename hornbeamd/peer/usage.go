package peer

import (
	"context"

	"hornbeamstep.example/routing/limit"
)

// Usages adds up what routers report of heavy client accounts.
type Usages interface {
	// Report takes the demand that a router reports, in place of its last report, and returns the totals of these accounts.
	Report(router string, demands []limit.Demand) []limit.Total
}

type wireDemand struct {
	Account  string  `json:"account"`
	Requests float64 `json:"requests,omitempty"`
	Tokens   float64 `json:"tokens,omitempty"`
	// Routers is set in totals only.
	Routers int `json:"routers,omitempty"`
}

type wireUsage struct {
	From    string       `json:"from,omitempty"`
	Demands []wireDemand `json:"demands,omitempty"`
}

// usageLimit bounds the accounts in one report.
const usageLimit = 1024

func (n *Node) handleUsage(w wireUsage) (wireUsage, error) {
	var demands []limit.Demand
	for _, d := range w.Demands[:min(len(w.Demands), usageLimit)] {
		demands = append(demands, limit.Demand{Account: d.Account, Requests: d.Requests, Tokens: d.Tokens})
	}
	var out wireUsage
	for _, t := range n.Usages.Report(w.From, demands) {
		out.Demands = append(out.Demands, wireDemand{t.Account, t.Requests, t.Tokens, t.Routers})
	}
	return out, nil
}

// Usage reports the demand of heavy accounts to the router that adds it up, and returns the totals over all routers.
func (n *Node) Usage(ctx context.Context, router string, demands []limit.Demand) ([]limit.Total, error) {
	if router == n.ID && n.Usages != nil {
		return n.Usages.Report(router, demands), nil
	}
	in := wireUsage{From: n.ID}
	for _, d := range demands {
		in.Demands = append(in.Demands, wireDemand{Account: d.Account, Requests: d.Requests, Tokens: d.Tokens})
	}
	var w wireUsage
	if err := n.send(ctx, router, "usage", in, &w); err != nil {
		return nil, err
	}
	var totals []limit.Total
	for _, d := range w.Demands {
		totals = append(totals, limit.Total{
			Demand:  limit.Demand{Account: d.Account, Requests: d.Requests, Tokens: d.Tokens},
			Routers: d.Routers,
		})
	}
	return totals, nil
}

package peer

import (
	"context"

	"hornbeamstep.example/routing/limit"
)

// Usages adds up the demand of high-volume client accounts over all routers.
type Usages interface {
	// Report replaces the previous report of a router and returns the totals of the reported client
	// accounts.
	Report(router string, demands []limit.Demand) []limit.Total
}

type wireAccountUsage struct {
	Account  string  `json:"account"`
	Requests float64 `json:"requests,omitempty"`
	Tokens   float64 `json:"tokens,omitempty"`
	// Routers is the number of routers that report the account. It is set in replies only.
	Routers int `json:"routers,omitempty"`
}

type wireUsage struct {
	From    string             `json:"from,omitempty"`
	Demands []wireAccountUsage `json:"demands,omitempty"`
}

// maxReportedAccounts limits the client accounts in one report.
const maxReportedAccounts = 1024

func (n *Node) handleUsage(w wireUsage) (wireUsage, error) {
	var demands []limit.Demand
	for _, d := range w.Demands[:min(len(w.Demands), maxReportedAccounts)] {
		demands = append(demands, limit.Demand{Account: d.Account, Requests: d.Requests, Tokens: d.Tokens})
	}
	var out wireUsage
	for _, t := range n.Usages.Report(w.From, demands) {
		out.Demands = append(out.Demands, wireAccountUsage{t.Account, t.Requests, t.Tokens, t.Routers})
	}
	return out, nil
}

// Usage reports the demand of high-volume client accounts to the router that adds it up and returns
// the totals over all routers.
func (n *Node) Usage(ctx context.Context, router string, demands []limit.Demand) ([]limit.Total, error) {
	if router == n.ID && n.Usages != nil {
		return n.Usages.Report(router, demands), nil
	}
	in := wireUsage{From: n.ID}
	for _, d := range demands {
		in.Demands = append(in.Demands, wireAccountUsage{Account: d.Account, Requests: d.Requests, Tokens: d.Tokens})
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

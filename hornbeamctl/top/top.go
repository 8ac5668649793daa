// Package top implements the command that shows the busiest client accounts and engines.
package top

import (
	"context"

	"hornbeamstep.example/hornbeamctl/output"
	"hornbeamstep.example/hornbeamd/operator"
)

// Command shows the busiest client accounts, as counted by the router that is called, and the
// busiest engines of the fleet.
type Command struct {
	Limit int `help:"Maximum number of rows in each table." default:"10"`
}

// Run prints the accounts and the engines.
func (c *Command) Run(ctx context.Context, fleet operator.Fleet, out *output.Printer) error {
	t, err := fleet.Top(ctx, c.Limit)
	if err != nil {
		return err
	}
	return out.Print(t, func(rows output.Rows) {
		rows.Row("ACCOUNT", "REQUESTS/S", "TOKENS/S", "RUNNING", "WAITING")
		for _, a := range t.Accounts {
			rows.Row(a.Name, a.Requests, a.Tokens, a.Running, a.Waiting)
		}
		rows.BlankLine()
		rows.Row("ENGINE", "POOL", "LOAD", "LOAD/MEAN")
		for _, e := range t.Engines {
			rows.Row(e.Name, e.Pool, e.Load, e.Ratio)
		}
	})
}

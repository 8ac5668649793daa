// Package orders implements the command that shows the orders that routers sent to model engines.
package orders

import (
	"context"

	"hornbeamstep.example/hornbeamctl/output"
	"hornbeamstep.example/hornbeamd/operator"
)

// Command shows the most recent orders of each router, with their state.
type Command struct{}

// Run prints the orders.
func (c *Command) Run(ctx context.Context, fleet operator.Fleet, out *output.Printer) error {
	orders, err := fleet.Orders(ctx)
	if err != nil {
		return err
	}
	return out.Print(orders, func(rows output.Rows) {
		rows.Row("ENGINE", "KIND", "WANT", "STATE", "HOLDER", "FENCE", "EXPIRES", "TEXT")
		for _, o := range orders {
			rows.Row(o.Engine, o.Kind, o.Want, o.State, o.Holder, o.Fence, o.Expires, o.Text)
		}
	})
}

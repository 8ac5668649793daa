// Package where implements the command that shows which model engine a chat is routed to, and why.
package where

import (
	"context"

	"hornbeamstep.example/hornbeamctl/output"
	"hornbeamstep.example/hornbeamd/operator"
)

// Command looks up the routing of one chat.
type Command struct {
	Chat    string `arg:"" help:"ID of the chat, as in the Chat-Id request header."`
	Model   string `help:"Model that the chat requests; required if there are several models."`
	Adapter string `help:"Adapter that the chat requests."`
	Account string `help:"Client account of the chat."`
}

// Run prints the routing of the chat and the reason for it.
func (c *Command) Run(ctx context.Context, fleet operator.Fleet, out *output.Printer) error {
	w, err := fleet.Where(ctx, operator.Query{Chat: c.Chat, Model: c.Model, Adapter: c.Adapter, Account: c.Account})
	if err != nil {
		return err
	}
	return out.Print(w, func(rows output.Rows) {
		rows.Row("CHAT", "MODEL", "ENGINE", "HOME", "SECOND", "OWNER", "REASON")
		rows.Row(w.Chat, w.Model, w.Engine, w.Home, w.Second, w.Owner, w.Reason)
	})
}

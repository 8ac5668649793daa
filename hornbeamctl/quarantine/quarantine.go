// Package quarantine holds the commands about requests that crashed engines.
package quarantine

import (
	"context"
	"fmt"
	"strings"

	"hornbeamstep.example/hornbeamctl/confirm"
	"hornbeamstep.example/hornbeamctl/output"
	"hornbeamstep.example/hornbeamd/operator"
)

// Commands are the group.
type Commands struct {
	List    List    `cmd:"" help:"Show the quarantined fingerprints."`
	Release Release `cmd:"" help:"End the quarantine of a fingerprint on all routers."`
}

// List shows the quarantined fingerprints.
type List struct{}

// Run runs the command.
func (c *List) Run(ctx context.Context, fleet operator.Fleet, out *output.Printer) error {
	list, err := fleet.Quarantine(ctx)
	if err != nil {
		return err
	}
	return out.Print(list, func(rows output.Rows) {
		rows.Row("FINGERPRINT", "ACCOUNT", "ENGINES", "SINCE", "UNTIL")
		for _, q := range list {
			rows.Row(q.Fingerprint, q.Account, strings.Join(q.Engines, ","), q.Since, q.Until)
		}
	})
}

// Release ends a quarantine.
type Release struct {
	Fingerprint string `arg:"" help:"Fingerprint, as in the list."`
	confirm.Flags
}

// Run runs the command.
func (c *Release) Run(ctx context.Context, fleet operator.Fleet, out *output.Printer, prompt confirm.Prompt) error {
	question := fmt.Sprintf("Requests with fingerprint %s crashed engines and will run again. Release it?", c.Fingerprint)
	if err := prompt.Ask(c.Flags, question); err != nil {
		return err
	}
	if err := fleet.Release(ctx, c.Fingerprint); err != nil {
		return err
	}
	out.Progressf("released %s", c.Fingerprint)
	return nil
}

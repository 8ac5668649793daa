// Package quarantine implements the commands that list and release quarantined fingerprints.
// Routers refuse requests with such a fingerprint because earlier ones crashed model engines.
package quarantine

import (
	"context"
	"fmt"
	"strings"

	"hornbeamstep.example/hornbeamctl/confirm"
	"hornbeamstep.example/hornbeamctl/output"
	"hornbeamstep.example/hornbeamd/operator"
)

// Commands is the group of quarantine commands.
type Commands struct {
	List    List    `cmd:"" help:"Show the quarantined fingerprints."`
	Release Release `cmd:"" help:"End the quarantine of a fingerprint on all routers."`
}

// List shows the quarantined fingerprints.
type List struct{}

// Run prints the quarantined fingerprints.
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

// Release ends the quarantine of a fingerprint.
type Release struct {
	Fingerprint string `arg:"" help:"Fingerprint, as printed by the list command."`
	confirm.Flags
}

// Run releases the fingerprint after confirmation.
func (c *Release) Run(ctx context.Context, fleet operator.Fleet, out *output.Printer, prompt confirm.Prompt) error {
	question := fmt.Sprintf("Requests with fingerprint %s crashed engines and will be accepted again. Release the fingerprint?", c.Fingerprint)
	if err := prompt.Ask(c.Flags, question); err != nil {
		return err
	}
	if err := fleet.Release(ctx, c.Fingerprint); err != nil {
		return err
	}
	out.Progressf("released %s", c.Fingerprint)
	return nil
}

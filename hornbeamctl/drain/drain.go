// Package drain implements the commands that drain a backend server or a router and return it to
// service.
package drain

import (
	"context"
	"fmt"
	"time"

	"hornbeamstep.example/hornbeamctl/confirm"
	"hornbeamstep.example/hornbeamctl/exit"
	"hornbeamstep.example/hornbeamctl/output"
	"hornbeamstep.example/hornbeamd/operator"
)

const pollInterval = time.Second

// Target is the backend server or router to drain or to return to service.
type Target struct {
	Backend string `arg:"" optional:"" help:"Name of the backend server."`
	Self    bool   `help:"Apply the command to the router at --address instead of a backend server."`
	Reason  string `help:"Reason to record on the timeline." placeholder:"TEXT"`
}

// Validate checks that exactly one target is named. Kong calls it.
func (t *Target) Validate() error {
	if (t.Backend == "") != t.Self {
		return &exit.Error{Code: exit.Usage, Text: "specify either a backend server or --self"}
	}
	return nil
}

func (t *Target) target() operator.Target {
	return operator.Target{Backend: t.Backend, Self: t.Self, Reason: t.Reason}
}

// name returns the target as named in messages.
func (t *Target) name() string {
	if t.Self {
		return "the router at --address"
	}
	return t.Backend
}

// Command stops new requests to a target.
type Command struct {
	Target
	confirm.Flags
	Wait time.Duration `help:"Maximum time to wait for requests in progress to finish; 0 does not wait." default:"0s" placeholder:"DURATION"`
}

// Run drains the target after confirmation.
func (c *Command) Run(ctx context.Context, fleet operator.Fleet, out *output.Printer, prompt confirm.Prompt) error {
	if err := prompt.Ask(c.Flags, fmt.Sprintf("Stop sending new requests to %s?", c.name())); err != nil {
		return err
	}
	drained, err := c.drainAndWait(ctx, fleet, out)
	if err != nil {
		return err
	}
	return printResult(out, drained)
}

// drainAndWait drains the target. If Wait is set, it repeats the drain call until no request is in
// progress or Wait expires. The call is idempotent and returns the number of requests in progress.
func (c *Command) drainAndWait(ctx context.Context, fleet operator.Fleet, out *output.Printer) (operator.Drained, error) {
	deadline := time.Now().Add(c.Wait)
	for {
		drained, err := fleet.Drain(ctx, c.target())
		if err != nil || c.Wait == 0 || drained.Running == 0 {
			return drained, err
		}
		if time.Now().After(deadline) {
			return drained, &exit.Error{Code: exit.Incomplete, Text: fmt.Sprintf(
				"%d requests are still in progress on %s, which receives no new ones; run the command again to wait longer", drained.Running, c.name())}
		}
		out.Progressf("%s: %d requests in progress", c.name(), drained.Running)
		select {
		case <-ctx.Done():
			return drained, ctx.Err()
		case <-time.After(pollInterval):
		}
	}
}

// Undo returns a target to service.
type Undo struct{ Target }

// Run ends the drain of the target.
func (c *Undo) Run(ctx context.Context, fleet operator.Fleet, out *output.Printer) error {
	drained, err := fleet.Undrain(ctx, c.target())
	if err != nil {
		return err
	}
	return printResult(out, drained)
}

func printResult(out *output.Printer, d operator.Drained) error {
	return out.Print(d, func(rows output.Rows) {
		rows.Row("TARGET", "STATE", "RUNNING", "REVISION")
		rows.Row(d.Target, d.State, d.Running, d.Revision)
	})
}

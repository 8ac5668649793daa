// Package doctor is the command that says what is wrong and what to do about it.
package doctor

import (
	"context"
	"fmt"

	"hornbeamstep.example/hornbeamctl/exit"
	"hornbeamstep.example/hornbeamctl/output"
	"hornbeamstep.example/hornbeamd/operator"
)

// Command runs all checks.
type Command struct{}

// Run runs the command. It returns *exit.Error if a check failed; warnings are no failure.
func (c *Command) Run(ctx context.Context, fleet operator.Fleet, out *output.Printer) error {
	checks, err := fleet.Doctor(ctx)
	if err != nil {
		return err
	}
	failed := 0
	err = out.Print(checks, func(rows output.Rows) {
		rows.Row("CHECK", "RESULT", "FOUND", "REMEDY")
		for _, check := range checks {
			rows.Row(check.Name, string(check.Level), check.Text, check.Remedy)
		}
	})
	if err != nil {
		return err
	}
	for _, check := range checks {
		if check.Level == operator.Failure {
			failed++
		}
	}
	if failed > 0 {
		return &exit.Error{Code: exit.Unhealthy, Text: fmt.Sprintf("%d of %d checks failed", failed, len(checks))}
	}
	return nil
}

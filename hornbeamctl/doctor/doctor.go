// Package doctor implements the command that runs health checks and suggests remedies.
package doctor

import (
	"context"
	"fmt"

	"hornbeamstep.example/hornbeamctl/exit"
	"hornbeamstep.example/hornbeamctl/output"
	"hornbeamstep.example/hornbeamd/operator"
)

// Command runs all health checks.
type Command struct{}

// Run prints the results of the checks. It returns *exit.Error if a check failed; a warning is not
// a failure.
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
		return &exit.Error{Code: exit.Unhealthy, Text: fmt.Sprintf("%d of %d health checks failed", failed, len(checks))}
	}
	return nil
}

// Package config implements the commands that check, push and explain the configuration.
package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"hornbeamstep.example/policy/configfile"
	"hornbeamstep.example/policy/history"
	"hornbeamstep.example/ports/objectapi"
)

// Exit codes of the config commands. Code 2 is reserved for usage errors.
const (
	ExitFailed         = 1
	ExitInvalid        = 3
	ExitConflict       = 4
	ExitUnknownOutcome = 5
	ExitUnavailable    = 6
	ExitNotInForce     = 7
	ExitNotFound       = 8
	ExitDiffers        = 9
)

// Commands is the group of config commands, to be embedded in a kong command line.
type Commands struct {
	Check   Check   `cmd:"" help:"Validate the configuration in a folder without pushing it."`
	Diff    Diff    `cmd:"" help:"Show what pushing a folder would change."`
	Push    Push    `cmd:"" help:"Push the configuration in a folder as the next revision."`
	History History `cmd:"" help:"List the revisions, newest first."`
	Show    Show    `cmd:"" help:"Show a revision and its files."`
	Explain Explain `cmd:"" help:"Show which file and line set a value."`
}

// Routers is used to query on which routers a revision is in force.
type Routers interface {
	// InForce returns the routers on which this or a later revision is in force, and as missing all
	// other routers.
	InForce(ctx context.Context, revision int64) (inForce, missing []string, err error)
}

// Env holds the dependencies of the commands. Bind a pointer to it in kong.
type Env struct {
	Context context.Context
	Store   objectapi.Store
	// Routers is used only by push --wait, which fails if the field is nil.
	Routers Routers
	Out     io.Writer
	// JSON selects JSON output instead of tables.
	JSON bool
	// Author is recorded with each pushed revision.
	Author string
	// NewPushID generates the unique identifier of a push.
	NewPushID func() string
	// PollInterval is the interval at which push --wait queries the routers; 250 ms if 0.
	PollInterval time.Duration
}

// ExitError is the error of a command together with its exit code.
type ExitError struct {
	Code  int
	Cause error
}

func (e *ExitError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Cause }

// ExitCode implements kong.ExitCoder.
func (e *ExitError) ExitCode() int { return e.Code }

// withExitCode wraps err, if it is not nil, with the exit code of its type.
func withExitCode(err error) error {
	if err == nil {
		return nil
	}
	return &ExitError{Code: exitCode(err), Cause: err}
}

func exitCode(err error) int {
	var (
		invalid          configfile.Errors
		conflict         *history.ConflictError
		unknownOutcome   *history.UnknownOutcomeError
		unavailable      *objectapi.UnavailableError
		ambiguous        *objectapi.AmbiguousError
		revisionNotFound *history.RevisionNotFoundError
		unknownKey       *configfile.UnknownKeyError
		notInForce       *NotInForceError
	)
	switch {
	case errors.As(err, &invalid):
		return ExitInvalid
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.As(err, &unknownOutcome):
		return ExitUnknownOutcome
	case errors.As(err, &notInForce):
		return ExitNotInForce
	case errors.As(err, &unavailable), errors.As(err, &ambiguous):
		return ExitUnavailable
	case errors.As(err, &revisionNotFound), errors.As(err, &unknownKey):
		return ExitNotFound
	}
	return ExitFailed
}

func (e *Env) history() *history.History { return &history.History{Store: e.Store} }

// printResult prints v as JSON, or the rows that table writes as an aligned table.
func printResult[T any](e *Env, v T, table func(w io.Writer)) error {
	if e.JSON {
		enc := json.NewEncoder(e.Out)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	w := tabwriter.NewWriter(e.Out, 0, 4, 2, ' ', 0)
	table(w)
	return w.Flush()
}

func writeRow(w io.Writer, cells ...any) {
	for i, c := range cells {
		if i > 0 {
			_, _ = fmt.Fprint(w, "\t")
		}
		_, _ = fmt.Fprint(w, c)
	}
	_, _ = fmt.Fprintln(w)
}

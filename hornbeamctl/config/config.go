// Package config holds the commands that check, push and explain the configuration.
package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"hornbeamstep.example/policy/folder"
	"hornbeamstep.example/policy/history"
	"hornbeamstep.example/ports/objectapi"
)

// The exit codes of the commands. Code 2 is left to wrong usage.
const (
	ExitFailed      = 1
	ExitInvalid     = 3
	ExitConflict    = 4
	ExitUnsettled   = 5
	ExitUnavailable = 6
	ExitNotInForce  = 7
	ExitNotFound    = 8
	ExitDiffers     = 9
)

// Commands is the command group, to be embedded in a kong command line.
type Commands struct {
	Check   Check   `cmd:"" help:"Check a folder without changing anything."`
	Diff    Diff    `cmd:"" help:"Show what a push of a folder would change."`
	Push    Push    `cmd:"" help:"Make a folder the next revision."`
	History History `cmd:"" help:"List the revisions, newest first."`
	Show    Show    `cmd:"" help:"Show a revision and its files."`
	Explain Explain `cmd:"" help:"Show where a value comes from."`
}

// Routers tells which routers have a revision in force.
type Routers interface {
	// InForce returns the routers that have the revision or a higher one in force, and those that do not.
	InForce(ctx context.Context, revision int64) (in, missing []string, err error)
}

// Env is what the commands work with. Bind a pointer to it in kong.
type Env struct {
	Context context.Context
	Store   objectapi.Store
	// Routers may be nil; then push --wait fails.
	Routers Routers
	Out     io.Writer
	// JSON selects JSON output in place of tables.
	JSON bool
	// Author is the name kept with a pushed revision.
	Author string
	// Push returns a unique identifier for each push.
	Push func() string
	// Poll is the time between two questions to the routers; 250 ms if 0.
	Poll time.Duration
}

// ExitError is a failed command with its exit code.
type ExitError struct {
	Code  int
	Cause error
}

func (e *ExitError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Cause }

// ExitCode implements kong.ExitCoder.
func (e *ExitError) ExitCode() int { return e.Code }

func exit(err error) error {
	if err == nil {
		return nil
	}
	return &ExitError{Code: codeOf(err), Cause: err}
}

func codeOf(err error) int {
	var (
		faults      folder.Errors
		conflict    *history.ConflictError
		unsettled   *history.UnknownOutcomeError
		unavailable *objectapi.UnavailableError
		ambiguous   *objectapi.AmbiguousError
		revision    *history.RevisionNotFoundError
		unknown     *folder.UnknownKeyError
		late        *NotInForceError
	)
	switch {
	case errors.As(err, &faults):
		return ExitInvalid
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.As(err, &unsettled):
		return ExitUnsettled
	case errors.As(err, &late):
		return ExitNotInForce
	case errors.As(err, &unavailable), errors.As(err, &ambiguous):
		return ExitUnavailable
	case errors.As(err, &revision), errors.As(err, &unknown):
		return ExitNotFound
	}
	return ExitFailed
}

func (e *Env) history() *history.History { return &history.History{Store: e.Store} }

func show[T any](e *Env, v T, table func(w io.Writer)) error {
	if e.JSON {
		enc := json.NewEncoder(e.Out)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	w := tabwriter.NewWriter(e.Out, 0, 4, 2, ' ', 0)
	table(w)
	return w.Flush()
}

func row(w io.Writer, cells ...any) {
	for i, c := range cells {
		if i > 0 {
			_, _ = fmt.Fprint(w, "\t")
		}
		_, _ = fmt.Fprint(w, c)
	}
	_, _ = fmt.Fprintln(w)
}

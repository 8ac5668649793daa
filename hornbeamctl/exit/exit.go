// Package exit holds the exit codes of hornbeamctl. They are stable: scripts may rely on them.
package exit

import (
	"context"
	"errors"

	"hornbeamstep.example/hornbeamctl/config"
	"hornbeamstep.example/hornbeamd/operator"
)

// Code is an exit code of the process.
type Code int

// The exit codes. Those of the config commands are declared in package config.
const (
	OK Code = 0
	// Failed is any failure without a code of its own.
	Failed Code = config.ExitFailed
	// Usage is a wrong command line.
	Usage Code = 2
	// Conflict is a change that lost to another one.
	Conflict Code = config.ExitConflict
	// Unavailable is a router, or something that it needs, that does not answer.
	Unavailable Code = config.ExitUnavailable
	NotFound    Code = config.ExitNotFound
	// NotAllowed is a missing certificate or role.
	NotAllowed Code = 10
	// Unhealthy is a check of doctor that failed.
	Unhealthy Code = 11
	// Incomplete is an answer without some of the routers, or a drain that has not ended.
	Incomplete Code = 12
	// Unconfirmed is a disruptive command that was not confirmed.
	Unconfirmed Code = 13
	// Interrupted is the end by SIGINT, as shells have it.
	Interrupted Code = 130
)

// Help documents the codes for the usage text.
const Help = "Exit codes: 0 success, 1 failure, 2 wrong usage, 3 invalid configuration, 4 conflict, 5 push not settled, " +
	"6 unavailable, 7 revision not in force everywhere, 8 not found, 9 configurations differ, 10 not allowed, " +
	"11 doctor found a failure, 12 some routers did not answer or a drain has not ended, 13 not confirmed, 130 interrupted."

// Error ends the process with a code.
type Error struct {
	Code Code
	Text string
}

func (e *Error) Error() string { return e.Text }

var codes = map[operator.Code]Code{
	operator.Invalid:         Usage,
	operator.Unauthenticated: NotAllowed,
	operator.Forbidden:       NotAllowed,
	operator.NotFound:        NotFound,
	operator.Conflict:        Conflict,
	operator.Unavailable:     Unavailable,
}

// Of returns the code for the error of a command.
func Of(err error) Code {
	var coded *Error
	var failed *operator.Error
	var revision *config.ExitError
	switch {
	case err == nil:
		return OK
	case errors.As(err, &coded):
		return coded.Code
	case errors.Is(err, context.Canceled):
		return Interrupted
	case errors.As(err, &revision):
		return Code(revision.Code)
	case errors.As(err, &failed):
		if code, ok := codes[failed.Code]; ok {
			return code
		}
	}
	return Failed
}

// Package exit defines the exit codes of hornbeamctl. They are stable, so that scripts can rely on
// them.
package exit

import (
	"context"
	"errors"

	"hornbeamstep.example/hornbeamctl/config"
	"hornbeamstep.example/hornbeamd/operator"
)

// Code is an exit code of the process.
type Code int

// Exit codes. The codes 3, 5, 7 and 9 are declared only in package config.
const (
	OK Code = 0
	// Failed is a failure that has no specific code.
	Failed Code = config.ExitFailed
	// Usage is an invalid command line.
	Usage Code = 2
	// Conflict is a change that conflicts with a concurrent one.
	Conflict Code = config.ExitConflict
	// Unavailable means that a router, one of its dependencies or the object API does not answer.
	Unavailable Code = config.ExitUnavailable
	// NotFound means that the named object, such as a revision or a backend server, does not exist.
	NotFound Code = config.ExitNotFound
	// NotAllowed means that the client certificate or the required role is missing.
	NotAllowed Code = 10
	// Unhealthy means that a health check of the doctor command failed.
	Unhealthy Code = 11
	// Incomplete means that some routers did not answer or that a drain has not finished.
	Incomplete Code = 12
	// Unconfirmed means that a disruptive command was not confirmed.
	Unconfirmed Code = 13
	// Interrupted is the code that shells report for a process ended by SIGINT.
	Interrupted Code = 130
)

// Help describes the exit codes in the usage text.
const Help = "Exit codes: 0 success, 1 failure, 2 usage error, 3 invalid configuration, 4 conflict, 5 outcome of push unknown, " +
	"6 unavailable, 7 revision not in force everywhere, 8 not found, 9 configurations differ, 10 not allowed, " +
	"11 health check failed, 12 some routers did not answer or a drain has not finished, 13 not confirmed, 130 interrupted."

// Error is an error with the exit code that the process returns.
type Error struct {
	Code Code
	Text string
}

func (e *Error) Error() string { return e.Text }

// operatorCodes maps the error codes of the operator API to exit codes.
var operatorCodes = map[operator.Code]Code{
	operator.Invalid:         Usage,
	operator.Unauthenticated: NotAllowed,
	operator.Forbidden:       NotAllowed,
	operator.NotFound:        NotFound,
	operator.Conflict:        Conflict,
	operator.Unavailable:     Unavailable,
}

// CodeOf returns the exit code for the error of a command.
func CodeOf(err error) Code {
	var exitErr *Error
	var operatorErr *operator.Error
	var configErr *config.ExitError
	switch {
	case err == nil:
		return OK
	case errors.As(err, &exitErr):
		return exitErr.Code
	case errors.Is(err, context.Canceled):
		return Interrupted
	case errors.As(err, &configErr):
		return Code(configErr.Code)
	case errors.As(err, &operatorErr):
		if code, ok := operatorCodes[operatorErr.Code]; ok {
			return code
		}
	}
	return Failed
}

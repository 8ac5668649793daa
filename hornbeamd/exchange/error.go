package exchange

import (
	"fmt"
	"time"

	"hornbeamstep.example/routing/outcome"
)

// Kind says how an exchange with a backend server failed.
type Kind string

// The kinds of failures.
const (
	// Unreachable means that no connection was made.
	Unreachable Kind = "unreachable"
	// Refused means that the backend server refused the request before starting it.
	Refused Kind = "refused"
	// Rejected means that the backend server answered with an error status.
	Rejected Kind = "rejected"
	// Broken means that the connection ended before the answer did.
	Broken Kind = "broken"
	// TimedOut means that nothing arrived within a deadline.
	TimedOut Kind = "timed out"
	// Cancelled means that the caller gave up.
	Cancelled Kind = "cancelled"
	// Protocol means that the answer was not one to this request, or was malformed.
	Protocol Kind = "protocol"
)

// Error is a failed exchange.
type Error struct {
	Kind Kind
	// Sent is true if a byte of the request may have reached the backend server.
	Sent bool
	// Status is the HTTP status of the answer; 0 if there was none.
	Status int
	// Retry is the Retry-After time of a refusal; 0 if there was none.
	Retry time.Duration
	// Message is the start of the body of a rejection.
	Message string
	Cause   error
}

func (e *Error) Error() string {
	text := fmt.Sprintf("exchange with the backend server %s (status %d, sent %t)", e.Kind, e.Status, e.Sent)
	if e.Message != "" {
		text += ": " + e.Message
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Outcome says whether the request ran: NotRun is a promise, so it needs proof.
func (e *Error) Outcome() outcome.Outcome {
	if !e.Sent || e.Kind == Refused {
		return outcome.NotRun
	}
	return outcome.Unknown
}

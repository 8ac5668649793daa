// Package outcome defines the typed result of a request that was refused or failed: whether the
// request ran, and what the caller can do next.
package outcome

import (
	"fmt"
	"time"
)

// Outcome says whether a request ran on a backend server.
type Outcome string

// The outcomes of a refused or failed request.
const (
	// NotRun is used only if no byte of the request was sent to a backend server, or if the backend
	// server refused the request without running it.
	NotRun Outcome = "not run"
	// Ran is used if the backend server certainly ran the request, although the response could not
	// be delivered.
	Ran Outcome = "ran"
	// Unknown is used if the request may have run.
	Unknown Outcome = "unknown"
)

// Code is the machine-readable reason for a refusal or failure.
type Code string

// The codes of refusals and failures. InProgress, AlreadyRan and MayHaveRun refer to an earlier
// request with the same idempotency key.
const (
	BadRequest            Code = "bad_request"
	BadAPIKey             Code = "bad_key"
	Forbidden             Code = "forbidden"
	UnknownModel          Code = "unknown_model"
	UnknownService        Code = "unknown_service"
	TooLarge              Code = "too_large"
	IdempotencyKeyMissing Code = "key_missing"
	IdempotencyKeyReused  Code = "key_reused"
	InProgress            Code = "in_progress"
	AlreadyRan            Code = "already_ran"
	MayHaveRun            Code = "may_have_run"
	RateLimited           Code = "rate_limited"
	QueueFull             Code = "queue_full"
	Overloaded            Code = "overloaded"
	NoBackend             Code = "no_backend"
	Quarantined           Code = "quarantined"
	ClaimUnavailable      Code = "claim_unavailable"
	Draining              Code = "draining"
	Isolated              Code = "isolated"
	Deadline              Code = "deadline"
	BackendFailed         Code = "backend_failed"
	Interrupted           Code = "interrupted"
	ProtocolError         Code = "protocol_error"
)

// Error is the final answer to a request that was refused or failed.
type Error struct {
	Code    Code
	Outcome Outcome
	// Status is the HTTP status of the response to the caller.
	Status  int
	Message string
	// Remedy tells the caller or operator what to do.
	Remedy string
	// RetryAfter is how long the caller should wait before it sends the request again; 0 means that
	// repeating the request does not help.
	RetryAfter time.Duration
	// Addresses are routers to use instead, as ip:port; empty if this router remains the right one.
	Addresses []string
	Cause     error
}

func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s, %s): %s", e.Message, e.Code, e.Outcome, e.Remedy)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

package caller

import (
	"context"
	"time"

	"hornbeamstep.example/policy"
	"hornbeamstep.example/timeline"
)

// Dispatcher decides about requests. Its methods are called by many goroutines.
type Dispatcher interface {
	// Policy returns the configuration in force.
	Policy() policy.Policy
	// Admit waits in the bounded queue. Its errors are *outcome.Error with outcome NotRun.
	Admit(ctx context.Context, a Ask) (Grant, error)
	// Release frees the slot of a grant. It is called once for each grant.
	Release(g Grant, r Result)
	// Route returns the answer of GET /v1/route.
	Route(account, model, chat string) Addresses
	// Claim takes a request that may not be repeated: the claim is won, or is the one that stands.
	// Its errors are *outcome.Error with outcome NotRun.
	Claim(ctx context.Context, key ClaimKey) (Claim, error)
	// Finish ends a claim that was won.
	Finish(ctx context.Context, c Claim, state string, answer []byte) error
	// Retry takes from the retry budget. It returns false if there is nothing left.
	Retry(account string) bool
	// Draining reports whether the router leaves the route answers.
	Draining() bool
	// Ready returns why the router is not ready, or nil.
	Ready() error
	// Record puts an event on the timeline.
	Record(e timeline.Event)
}

// Ask is a request for a slot on a backend server.
type Ask struct {
	// Request is unique for each request; all its attempts carry it.
	Request, Account, Chat string
	// Model and Adapter are set for a model, Service for a plain service.
	Model, Adapter, Service string
	// Fingerprint identifies the request when it is sent again.
	Fingerprint string
	Class       policy.Class
	// Weight is the account's share in fair queueing.
	Weight float64
	// Cost is the estimated number of tokens; 1 for a plain service. At least 1.
	Cost int64
	// Context is the estimated number of tokens of the chat's earlier turns; 0 for a new chat.
	Context int
	// Avoid names the backend servers on which the request failed.
	Avoid []string
	// Deadline is when the request is given up.
	Deadline time.Time
	// Attempt counts from 1.
	Attempt int
}

// Grant is a slot on a backend server.
type Grant struct {
	// Backend is the name and Address the ip:port of the backend server.
	Backend, Address, Slot string
	Pool                   string
}

// Ending says how an attempt ended.
type Ending string

// The endings of an attempt.
const (
	// EndedOK means that the whole answer was received.
	EndedOK Ending = "ok"
	// EndedRefused means that the backend server refused before the start.
	EndedRefused Ending = "refused"
	// EndedUnreachable means that no connection was made, so that nothing ran.
	EndedUnreachable Ending = "unreachable"
	// EndedCrashed means that the connection broke and the answer could not be resumed. The request is a suspect.
	EndedCrashed Ending = "crashed"
	// EndedTimedOut means that there was no progress within a deadline.
	EndedTimedOut Ending = "timed out"
	// EndedCancelled means that the caller gave up or could not take the answer. The backend server is not at fault.
	EndedCancelled Ending = "cancelled"
	// EndedFailed means that the backend server answered with an error.
	EndedFailed Ending = "failed"
	// EndedMalformed means that the answer was not one to this attempt, or was malformed.
	EndedMalformed Ending = "malformed"
)

// Result says how an attempt went.
type Result struct {
	Ending Ending
	// Request, Account and Fingerprint are those of the Ask.
	Request, Account, Fingerprint string
	// Tokens is the number of chunks received. Prompt, Cached and Completion are the tokens that the engine reported, or 0.
	Tokens, Prompt, Cached, Completion int
	// First is the time from the grant to the first token, and Duration to the end of the attempt.
	First, Duration time.Duration
	// Paced is the part of Duration that was spent waiting for the tokens behind the first; a caller that reads slowly does not
	// count.
	Paced time.Duration
	// Status is the HTTP status with which the backend server failed; 0 if there was none.
	Status int
	// Retry is the time to come back that a refusal named, or 0.
	Retry time.Duration
	// Resumes is the number of times that the stream was resumed.
	Resumes int
}

// Addresses is the answer of GET /v1/route.
type Addresses struct {
	Addresses []Address `json:"addresses"`
	// Lifetime is how long the answer may be kept, in seconds.
	Lifetime int `json:"lifetime"`
}

// Address is a router to connect to.
type Address struct {
	// Address is ip:port.
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// The states of a claim.
const (
	// StateClaimed means that the request was taken and has not ended.
	StateClaimed = "claimed"
	// StateReleased means that the request surely did not run.
	StateReleased = "released"
	// StateDone means that the request ran.
	StateDone = "done"
	// StateUnknown means that the request may have run.
	StateUnknown = "unknown"
)

// ClaimKey names a request that may not be repeated.
type ClaimKey struct {
	// Account and Key together are unique; Key is the caller's idempotency key.
	Account, Key string
	// Service is the plain service, or empty for a model.
	Service string
	// Fingerprint is kept with the claim, to refuse a key that comes with another request.
	Fingerprint string
	// Deadline is when a claim that is not finished reads as unknown.
	Deadline time.Time
}

// Claim is a claim that was won, or the one that stands.
type Claim struct {
	Key ClaimKey
	Won bool
	// Token identifies the winner's claim to Finish.
	Token string
	// State, Fingerprint and Answer describe the claim that stands.
	State, Fingerprint string
	Answer             []byte
}

package caller

import (
	"context"
	"time"

	"hornbeamstep.example/policy"
	"hornbeamstep.example/routing/quarantine"
	"hornbeamstep.example/timeline"
)

// Dispatcher schedules requests to backend servers. Its methods are safe for concurrent use.
type Dispatcher interface {
	// Policy returns the active configuration.
	Policy() policy.Policy
	// Admit waits in a bounded queue for a slot on a backend server. Its errors are *outcome.Error
	// with outcome NotRun.
	Admit(ctx context.Context, req SlotRequest) (Grant, error)
	// Release frees the slot of a grant. It is called once for each grant.
	Release(grant Grant, result Result)
	// RecordAnswer is called when the first chunk of the response to a chat completion with the given
	// model and parts has arrived.
	RecordAnswer(model string, parts []quarantine.PartKey)
	// BeginTrial reports whether a request must go on after its caller has left, because backend servers
	// crashed that ran it, and its end shows whether it crashes them. If so, end must be called after the
	// request.
	BeginTrial(fingerprint string) (end func(), onTrial bool)
	// Route returns the response of GET /v1/route.
	Route(account, model, chat string) RouteResponse
	// Claim claims a request that must not run twice. It returns the new claim, or the existing one
	// of the same key. Its errors are *outcome.Error with outcome NotRun.
	Claim(ctx context.Context, key ClaimKey) (Claim, error)
	// FinishClaim stores the final state of a claim that Claim returned with MayRun set, and the
	// response to replay.
	FinishClaim(ctx context.Context, claim Claim, state string, response []byte) error
	// AllowRetry reports whether the retry budget allows another attempt, and deducts the attempt
	// from the budget.
	AllowRetry(account string) bool
	// Draining reports whether the router is shutting down. The responses of GET /v1/route then omit
	// it.
	Draining() bool
	// Ready returns nil if the router is ready, and otherwise an error that tells why it is not.
	Ready() error
	// Record adds an event to the timeline.
	Record(event timeline.Event)
}

// SlotRequest is a request for a slot on a backend server.
type SlotRequest struct {
	// RequestID is the request ID. All attempts of a request have the same one.
	RequestID, Account, Chat string
	// Model and Adapter are set for a chat completion, Service for a plain service.
	Model, Adapter, Service string
	// Fingerprint is a hash of the request. It is the same if the caller sends the request again.
	Fingerprint string
	// Parts identifies the messages of a chat completion in their order, at most maxParts and without
	// the last one, which no other request has.
	Parts []quarantine.PartKey
	Class policy.Class
	// Weight is the client account's weight in fair queueing.
	Weight float64
	// Cost is the estimated number of tokens; 1 for a plain service. At least 1.
	Cost int64
	// ContextTokens is the estimated number of tokens of the chat's earlier turns; 0 for a new
	// chat.
	ContextTokens int
	// ExcludedBackends lists the backend servers on which earlier attempts failed.
	ExcludedBackends []string
	// Deadline is when the router stops waiting for a slot and making attempts.
	Deadline time.Time
	// Attempt counts from 1.
	Attempt int
}

// Grant is a slot on a backend server.
type Grant struct {
	// Backend is the name and Address the ip:port of the backend server. Slot identifies the slot.
	Backend, Address, Slot string
	// Pool is the pool of the engine; empty for a plain service.
	Pool string
}

// Ending says how an attempt ended.
type Ending string

// The request did not run if the ending is EndedRefused or EndedUnreachable. It ran if the ending
// is EndedOK, and may have run otherwise.
const (
	// EndedOK means that the response was received completely.
	EndedOK Ending = "ok"
	// EndedRefused means that the backend server refused the request before starting it.
	EndedRefused Ending = "refused"
	// EndedUnreachable means that no connection was established, so the request did not run.
	EndedUnreachable Ending = "unreachable"
	// EndedCrashed means that the connection broke and the response could not be resumed. The
	// request is suspected to have crashed the backend server.
	EndedCrashed Ending = "crashed"
	// EndedTimedOut means that there was no progress within a deadline.
	EndedTimedOut Ending = "timed out"
	// EndedCancelled means that the caller disconnected or read too slowly. It does not count
	// against the backend server.
	EndedCancelled Ending = "cancelled"
	// EndedFailed means that the backend server responded with an error status.
	EndedFailed Ending = "failed"
	// EndedMalformed means that the response was malformed or belonged to another attempt.
	EndedMalformed Ending = "malformed"
)

// Result is the outcome of an attempt with its measurements.
type Result struct {
	Ending Ending
	// RequestID, Account, Fingerprint, Model and Parts are copied from the SlotRequest.
	RequestID, Account, Fingerprint, Model string
	Parts                                  []quarantine.PartKey
	// Deadline is when the backend server stops working on the request at the latest.
	Deadline time.Time
	// Answered is true if the response was received completely, although the caller may not have got it.
	Answered bool
	// Tokens is the number of tokens received, where each chunk counts as one. PromptTokens,
	// CachedTokens and CompletionTokens are those that the engine reported as usage; 0 if it
	// reported none.
	Tokens, PromptTokens, CachedTokens, CompletionTokens int
	// TimeToFirstToken is the time from the start of the attempt to the first token, or to the
	// header of a plain service's response. Duration is the time to the end of the attempt.
	TimeToFirstToken, Duration time.Duration
	// TokenWait is the time spent waiting for tokens after the first. It does not include the time
	// in which a slow caller blocks writes.
	TokenWait time.Duration
	// Status is the HTTP status of a failed response; 0 if there was none.
	Status int
	// RetryAfter is the Retry-After time of a refusal; 0 if there was none.
	RetryAfter time.Duration
	// Resumes is the number of times that the stream was resumed.
	Resumes int
}

// RouteResponse is the response of GET /v1/route.
type RouteResponse struct {
	Addresses []Address `json:"addresses"`
	// Lifetime is how long the caller may cache the response, in seconds.
	Lifetime int `json:"lifetime"`
}

// Address is the address of a router that callers can connect to.
type Address struct {
	// Address is ip:port.
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// Values of Claim.State. They equal the states of package claim.
const (
	// StateClaimed means that the request is in progress.
	StateClaimed = "claimed"
	// StateReleased means that the request certainly did not run.
	StateReleased = "released"
	// StateDone means that the request ran.
	StateDone = "done"
	// StateUnknown means that the request may have run.
	StateUnknown = "unknown"
)

// ClaimKey identifies a request that must not run twice.
type ClaimKey struct {
	// Account, Key and Service together identify the request. Key is the caller's idempotency key.
	Account, Key string
	// Service is the name of the plain service; empty for a chat completion.
	Service string
	// Fingerprint is stored with the claim, so that a key that is reused for another request can be
	// refused.
	Fingerprint string
	// Deadline is when a claim that is not finished becomes unknown.
	Deadline time.Time
}

// Claim is a new claim, or the existing one of the same key.
type Claim struct {
	Key ClaimKey
	// MayRun is true if the claim is new. If it is false, the request must not run.
	MayRun bool
	// Token identifies a new claim when FinishClaim is called.
	Token string
	// State and Response are those of an existing claim. Fingerprint equals ClaimKey.Fingerprint,
	// unless the key was claimed for another request.
	State, Fingerprint string
	Response           []byte
}

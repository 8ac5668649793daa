// Package metadata defines the metadata of requests and answers, that is, what they carry apart
// from their bodies.
package metadata

import "time"

// Request is the metadata that a caller sends with a request.
type Request struct {
	// Attempt is the ID of one attempt of the request. A caller that retries a request uses a new
	// ID.
	Attempt string
	// TimeLeft is how long the caller waits for the answer; 0 if it does not say.
	TimeLeft time.Duration
	// Key is the caller's API key; empty if there is none.
	Key string
	// Model is the requested model; empty for services without models.
	Model string
	// PromptParts holds the IDs of the parts of the prompt in order, the most widely shared part
	// first.
	PromptParts []string
	// PromptTokens is the number of prompt tokens, and MaxOutputTokens the maximum number of tokens
	// to generate; 0 if unknown.
	PromptTokens, MaxOutputTokens int
	// LastEventID is the ID of the last event that the caller has received; empty at the start of a
	// stream.
	LastEventID string
	// Resumes is the ID of the attempt that brought the first event of the stream that the request
	// resumes; empty if the caller does not say.
	Resumes string
}

// Forward is the metadata that the router adds when it forwards a request to a backend server.
type Forward struct {
	// Server is the ID of the intended backend server. A different server at the same address
	// refuses the request.
	Server string
	// TimeLeft is the time until the request's deadline; 0 if it has none.
	TimeLeft time.Duration
	// Account is the name of the client account; empty on public routes.
	Account string
	// Priority is the priority of the request, where 0 is the most urgent. If it is negative, the
	// backend server decides.
	Priority int
	// Holder is the address of another backend server of the same service, from which the intended
	// server can fetch the cache of a prompt prefix; empty if there is none.
	Holder string
	// LastEventID replaces the caller's last event ID; empty keeps that of the caller.
	LastEventID string
}

// Load is the load that a backend server reports with an answer.
type Load struct {
	// Running and Waiting are numbers of requests, and Slots the number that run concurrently.
	Running, Waiting, Slots int
	// Slowdown is how many times longer than usual work takes on the server's machine at present; 0
	// if the server does not say. It changes many times per second.
	Slowdown float64
}

// RateLimit is what a backend server states about the rate at which it takes requests. The zero
// value states no limit.
type RateLimit struct {
	// Stated is true if the server states a limit, and Unreadable if the statement has no meaning.
	Stated, Unreadable bool
	// PerSecond is the number of requests per second that the server takes from all routers
	// together; 0 or more.
	PerSecond float64
}

// Brittleness is what a backend server states about the rejections that it withstands. The zero
// value states nothing.
type Brittleness struct {
	// Stated is true if the server fails when it has to reject more than MaxRejections requests
	// within a second because its queue is full.
	Stated        bool
	MaxRejections int
}

// Answer is the metadata that a backend server sends with an answer.
type Answer struct {
	// Attempt is the attempt ID of the request; empty if the server does not send it.
	Attempt string
	// Signed is true if the answer has a signature. The signature is not verified.
	Signed bool
	// NotRun is true if the server states that it has not started the request and never will.
	NotRun bool
	// Misdirected is true if the request was refused because it reached a server other than the
	// intended one.
	Misdirected bool
	// IdleTimeout is how long the server keeps an idle connection open; 0 if it does not say.
	IdleTimeout time.Duration
	// Leaving is true if the server states that it is shutting down and takes no new requests.
	Leaving bool
	// RetryAfter is how long the server wants no further requests from this router; 0 if it does
	// not say.
	RetryAfter time.Duration
	// Limit is the rate limit that the server states.
	Limit RateLimit
	// Brittle is what the server states about the rejections that it withstands.
	Brittle Brittleness
	// Close is true if the server closes the connection after this answer.
	Close bool
	// Load is nil if the server does not report its load.
	Load *Load
}

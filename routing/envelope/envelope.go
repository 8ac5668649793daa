// Package envelope holds what a request and its answer say of themselves apart from their bodies.
package envelope

import "time"

// Request is what a caller states with a request.
type Request struct {
	// Attempt identifies one sending of the request. A caller that repeats a request uses a new one.
	Attempt string
	// Left is how long the caller waits; 0 if it does not say.
	Left time.Duration
	// Key is the caller's key; empty if there is none.
	Key string
	// Model is the model that is requested; empty for plain services.
	Model string
	// Parts identifies the parts of the prompt in order, the most widely shared first.
	Parts []string
	// Prompt is the number of prompt tokens and Output the greatest number of tokens to generate; 0 if unknown.
	Prompt, Output int
	// After is the number of the last event that the caller has; empty at the start of a stream.
	After string
}

// Forward is what the router states when it sends a request to a backend server.
type Forward struct {
	// Server is the ID of the backend server; another one at the same address refuses the request.
	Server string
	// Left is the time until the request's deadline; 0 if it has none.
	Left time.Duration
	// Account is the client account; empty on public routes.
	Account string
	// Priority is the urgency, 0 the most urgent; negative leaves it to the backend server.
	Priority int
	// Holder is the address of a backend server of the same service from whose cache the server takes the prompt's beginning;
	// empty if there is none.
	Holder string
	// After replaces the number of the last event; empty keeps the caller's.
	After string
}

// Load is the state of a backend server as it reports it with an answer.
type Load struct{ Running, Waiting, Slots int }

// Answer is what a backend server states with an answer.
type Answer struct {
	// Attempt is that of the request; empty if the server does not say.
	Attempt string
	// Signed is true if the answer carries the server's signature.
	Signed bool
	// NotRun is true if the server states that it did not begin the request and never will.
	NotRun bool
	// Misdirected is true if another server than the one that was meant refused the request.
	Misdirected bool
	// Idle is how long the server keeps the connection without a request; 0 if it does not say.
	Idle time.Duration
	// Close is true if the server closes the connection after this answer.
	Close bool
	// Load is nil if the server does not report it.
	Load *Load
}

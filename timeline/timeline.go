// Package timeline records typed events with hybrid logical timestamps and merges the events of all
// daemons.
package timeline

import "time"

// Kind is the type of an event.
type Kind string

// The comments say when a router records an event of the kind.
const (
	// Placed: a backend server was chosen for a request.
	Placed Kind = "placed"
	// Admitted: a request got a slot on an engine.
	Admitted Kind = "admitted"
	// Attempt: a request was sent to a backend server.
	Attempt Kind = "attempt"
	// Answered: the response to a request was complete.
	Answered Kind = "answered"
	// Refused: a request ended with an error.
	Refused Kind = "refused"
	// Retried: an attempt failed and another one follows.
	Retried Kind = "retried"
	// Claimed: a request was claimed under its idempotency key.
	Claimed Kind = "claimed"
	// InForce: a revision of the configuration became active.
	InForce Kind = "in force"
	// Member: a backend server went out of service or returned, or an engine restarted.
	Member Kind = "member"
	// Owner: the router became or ceased to be the owner of an engine.
	Owner Kind = "owner"
	// Order: an order to an engine was planned, or it completed or failed.
	Order Kind = "order"
	// Moved: the KV cache of a chat was moved to another engine, or the move failed.
	Moved Kind = "moved"
	// Drained: a backend server was drained or undrained, or the router itself is shutting down.
	Drained Kind = "drained"
	// Quarantined: a request was in flight when an engine crashed, or was quarantined.
	Quarantined Kind = "quarantined"
)

// Stamp is a hybrid logical timestamp: a wall clock time that never decreases, with a counter that
// orders events of the same time.
type Stamp struct {
	Wall    time.Time `json:"wall"`
	Logical uint32    `json:"logical,omitempty"`
}

// Event is one entry of the timeline.
type Event struct {
	Stamp Stamp `json:"stamp"`
	// Daemon is the ID of the router that recorded the event.
	Daemon string `json:"daemon"`
	Kind   Kind   `json:"kind"`
	// Request and Chat are empty for events that belong to none.
	Request string `json:"request,omitempty"`
	Chat    string `json:"chat,omitempty"`
	// Backend is the name of the backend server that the event concerns. Text describes the event
	// in one line.
	Backend string `json:"backend,omitempty"`
	Text    string `json:"text,omitempty"`
}

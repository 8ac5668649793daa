// Package timeline records typed events with hybrid logical timestamps and merges the events of all
// daemons.
package timeline

import "time"

// Kind is the type of an event.
type Kind string

// The kinds of events.
const (
	Placed      Kind = "placed"
	Admitted    Kind = "admitted"
	Attempt     Kind = "attempt"
	Answered    Kind = "answered"
	Refused     Kind = "refused"
	Retried     Kind = "retried"
	Claimed     Kind = "claimed"
	InForce     Kind = "in force"
	Member      Kind = "member"
	Owner       Kind = "owner"
	Order       Kind = "order"
	Moved       Kind = "moved"
	Drained     Kind = "drained"
	Quarantined Kind = "quarantined"
)

// Stamp is a hybrid logical timestamp: wall time that never runs backwards, with a counter for
// ties.
type Stamp struct {
	Wall    time.Time `json:"wall"`
	Logical uint32    `json:"logical,omitempty"`
}

// Event is one entry of the timeline.
type Event struct {
	Stamp Stamp `json:"stamp"`
	// Daemon is the identifier of the router that recorded the event.
	Daemon string `json:"daemon"`
	Kind   Kind   `json:"kind"`
	// Request and Chat are empty for events that belong to none.
	Request string `json:"request,omitempty"`
	Chat    string `json:"chat,omitempty"`
	// Backend is the name of the backend server concerned; Text describes the event in one line.
	Backend string `json:"backend,omitempty"`
	Text    string `json:"text,omitempty"`
}

// Package placement decides which engine a chat goes to, so that every router computes the same home without shared state.
package placement

import "time"

// State says what an engine may be used for.
type State uint8

// The states of an engine.
const (
	// InService engines are homes and take new work.
	InService State = iota
	// Joining engines are homes and take new work; the context of their chats is still on the previous home.
	Joining
	// Leaving engines take no new work and are no home; their contexts can be exported.
	Leaving
	// Suspect engines remain homes, so that a short fault moves no chat for good, but take no new work.
	Suspect
	// Gone engines are ignored.
	Gone
)

// Engine is a model engine as a router knows it.
type Engine struct {
	ID, Zone, Pool string
	// Weight is the engine's share of the chats; rounded to multiples of 0.05, and 1 if it is not positive.
	Weight float64
	State  State
	// Models that the engine serves; empty for every model.
	Models []string
	// Adapters that are loaded.
	Adapters []string
}

// Status is the last known load of an engine. The zero value stands for an engine of which nothing is known.
type Status struct {
	// Load in the engine's own unit.
	Load float64
	// Wait is the expected time until a new request starts.
	Wait time.Duration
	// Evicted is the time of last use of the latest context that the engine has evicted, as its cache events show. Contexts
	// last used before are surely gone. Zero if unknown.
	Evicted time.Time
	// Full is true if the engine's gate would not grant a slot now.
	Full bool
}

// Request is what placement needs to know of a request.
type Request struct {
	Account, Chat, Model, Adapter string
	// Context is the number of tokens of the chat's earlier turns; 0 for a new chat.
	Context int
	// Last is when the chat's previous turn ended; zero if unknown.
	Last time.Time
	// Held names the engine that is known to hold the context if it is not the home (see Exceptions); empty otherwise.
	Held string
	// Prefix identifies a prompt prefix that many chats of an account or adapter share; empty for none.
	Prefix string
	// PrefixTokens is the length of the shared prefix.
	PrefixTokens int
}

// Reason says why an engine was chosen.
type Reason uint8

// The reasons of a decision.
const (
	// NoEngine means that no engine can take the request; Decision.Engine is empty.
	NoEngine Reason = iota
	// AtHome is the common case.
	AtHome
	// AtHeld follows an exception to the engine that holds the context.
	AtHeld
	// Spilled means that the wait at the preferred engine costs more than the miss elsewhere.
	Spilled
	// Avoided means that the preferred engine takes no work at present.
	Avoided
	// AtPrefix means that a chat without context went to an engine that holds its shared prefix.
	AtPrefix
	// ByLoad is used by baselines that choose by load.
	ByLoad
	// ByTurn is used by baselines that choose at random or in turn.
	ByTurn
)

var reasons = [...]string{"no engine", "home", "held", "spilled", "avoided", "prefix", "load", "turn"}

func (r Reason) String() string { return reasons[r] }

// Decision is the result of a placement.
type Decision struct {
	// Engine takes the request; empty with reason NoEngine.
	Engine string
	// Home and Second are the first and second choice that every router computes; Second is empty in a pool of one.
	Home, Second string
	Reason       Reason
	// From names an engine whose KV cache of the chat is worth exporting to Engine; empty if there is nothing to move.
	// Else names the engine to try if From no longer has it, because it was moved in the meantime.
	From, Else string
}

// Placer chooses an engine for a request. The baselines implement it too.
type Placer interface {
	Place(now time.Time, r Request, v View) Decision
}

// Package placement decides which engine serves a chat. Every router computes the same home engine
// for a chat by weighted rendezvous hashing, without shared state.
package placement

import "time"

// State is the service state of an engine. It decides whether the engine can be the home of chats
// and gets new work.
type State uint8

// An engine changes from Joining to InService, and from Leaving to Gone. It is Suspect during a
// fault.
const (
	// InService engines can be homes and accept new work.
	InService State = iota
	// Joining engines can be homes and accept new work; the contexts of their chats are still on
	// the previous homes.
	Joining
	// Leaving engines accept no new work and cannot be homes; their contexts can be exported.
	Leaving
	// Suspect engines accept no new work but remain homes, so that a short fault does not move
	// chats permanently.
	Suspect
	// Gone engines are ignored.
	Gone
)

// Engine is the configuration and state of a model engine, as known to a router.
type Engine struct {
	ID, Zone, Pool string
	// Weight is the relative share of chats that the engine gets. NewView replaces a weight that is
	// not positive or not finite by 1, and rounds others to a multiple of 0.05, at least 0.05.
	Weight float64
	State  State
	// Models lists the models that the engine serves; empty means every model.
	Models []string
	// Adapters lists the loaded adapters.
	Adapters []string
}

// Status is the last known load of an engine. The zero value means that nothing is known.
type Status struct {
	// Load is the sum of the costs of the requests that run on the engine (see the Cost of a slot
	// request in package admission; 1 by default).
	Load float64
	// Wait is the expected time until a new request starts.
	Wait time.Duration
	// EvictedBefore is the latest time of last use among the contexts that the engine has evicted,
	// according to its cache events. Contexts last used before that time count as evicted too. Zero
	// if unknown.
	EvictedBefore time.Time
	// Full is true if the admission gate of the engine would not grant a slot now.
	Full bool
}

// Request holds the properties of a request that placement depends on.
type Request struct {
	Account, Chat, Model, Adapter string
	// ContextTokens is the number of tokens in the chat's earlier turns; 0 for a new chat.
	ContextTokens int
	// Last is when the chat's previous turn ended; zero if unknown.
	Last time.Time
	// Holder names the engine that holds the KV cache of the context. It is set only if an engine
	// other than the home is known to hold it (see RelocationTable).
	Holder string
	// Prefix identifies a prompt prefix that many chats of a client account or adapter share; empty
	// for none.
	Prefix string
	// PrefixTokens is the length of the shared prefix in tokens.
	PrefixTokens int
}

// Reason says why an engine was chosen.
type Reason uint8

// A Rule gives only the reasons up to AtPrefix. The last two are given by package baseline, which
// also uses NoEngine, AtHome and Spilled.
const (
	// NoEngine means that no engine can take the request; Decision.Engine is empty.
	NoEngine Reason = iota
	// AtHome means that the home was chosen, which is the common case.
	AtHome
	// AtHolder means that the engine in Request.Holder was chosen, because it holds the context.
	AtHolder
	// Spilled means that the preferred engine is busy and another one was chosen. A Rule does so if
	// it expects the first token earlier there, even with the cache miss or the move of the KV
	// cache.
	Spilled
	// Avoided means that the preferred engine accepts no work at present.
	Avoided
	// AtPrefix means that a chat without context was sent to the engine that should have its shared
	// prefix cached.
	AtPrefix
	// ByLoad is the reason given by baselines that choose by load.
	ByLoad
	// RandomOrRoundRobin is the reason given by baselines that choose at random or by round robin.
	RandomOrRoundRobin
)

var reasons = [...]string{"no engine", "home", "held", "spilled", "avoided", "prefix", "load", "turn"}

func (r Reason) String() string { return reasons[r] }

// Decision is the result of a placement.
type Decision struct {
	// Engine is the engine that gets the request; empty if no engine can take it.
	Engine string
	// Home and SecondHome are the first and second engine in rendezvous order, which are the same
	// for every router. SecondHome is empty if there is only one candidate.
	Home, SecondHome string
	Reason           Reason
	// From names an engine from which importing the chat's KV cache is cheaper than computing it
	// anew; empty if there is nothing to import. FallbackFrom names the engine to try if the KV
	// cache was moved away from From in the meantime.
	From, FallbackFrom string
}

// Placer chooses an engine for a request. Package baseline implements it too.
type Placer interface {
	Place(now time.Time, r Request, v View) Decision
}

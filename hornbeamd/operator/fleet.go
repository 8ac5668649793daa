// Package operator speaks HTTP to operators: what the fleet does, why, and the few changes that an operator makes by hand.
package operator

import (
	"context"
	"time"

	"hornbeamstep.example/timeline"
)

// Fleet is what the interface needs of the daemon, and what its Client offers to programs. Errors are *Error where the
// cause is known.
type Fleet interface {
	// Status returns the view of this daemon.
	Status(ctx context.Context) (Status, error)
	// Backends returns all backend servers, ordered by name.
	Backends(ctx context.Context) ([]Backend, error)
	// Drain stops new work to a target; Undrain takes it back. Both are idempotent.
	Drain(ctx context.Context, target Target) (Drained, error)
	Undrain(ctx context.Context, target Target) (Drained, error)
	// Where says where a chat goes, and why.
	Where(ctx context.Context, query Query) (Where, error)
	// Top returns the busiest client accounts and engines, at most limit of each.
	Top(ctx context.Context, limit int) (Top, error)
	// Orders returns the orders to engines that are not yet confirmed, and the latest confirmed ones.
	Orders(ctx context.Context) ([]Order, error)
	// Quarantine returns the quarantined fingerprints.
	Quarantine(ctx context.Context) ([]Quarantined, error)
	// Release ends the quarantine of a fingerprint on all routers.
	Release(ctx context.Context, fingerprint string) error
	// Timeline returns the merged events of all daemons.
	Timeline(ctx context.Context, filter timeline.Filter) (Timeline, error)
	// InForce returns the revision in force on each router of the fleet, next to the revision asked for; 0 stands for the head.
	InForce(ctx context.Context, revision int64) (InForce, error)
	// Doctor checks this daemon and its view of the fleet.
	Doctor(ctx context.Context) ([]Check, error)
}

// Status is a daemon's view of itself and the fleet.
type Status struct {
	Daemon, Zone, Region string
	// Revision is the configuration in force; 0 if there is none yet.
	Revision int64
	// Ready and Draining are as in /readyz; Reason says why the daemon is not ready.
	Ready, Draining bool
	Reason          string
	// Members include the daemon itself and are ordered by name.
	Members []Member
	// Owners are ordered by kind and name.
	Owners []Owner
}

// Member is a router as seen by the daemon that answers.
type Member struct {
	ID, Address, Zone string
	// State is one of alive, suspect, leaving and dead.
	State       string
	Incarnation uint64
	// Revision is the last one heard of.
	Revision int64
}

// Owner says which router is responsible for something.
type Owner struct {
	// Kind is one of backend, shard, relay and aggregator.
	Kind, Name, Router string
}

// Backend is a backend server. It has a Pool or a Service.
type Backend struct {
	Name, Pool, Service, Zone, Address string
	// State is one of joining, service, suspect, leaving, draining and gone.
	State string
	// Owner is the router that admits its requests.
	Owner string
	// Load is in the backend server's own unit; Mean is the pool's mean and Bound the greatest load allowed now.
	Load, Mean, Bound float64
	Running, Queued   int
	// Reported is when the load report was read; zero if there is none.
	Reported time.Time
}

// Target names a backend server, or the daemon itself.
type Target struct {
	// Backend is empty exactly if Self is set.
	Backend string
	Self    bool
	// Reason is recorded on the time line.
	Reason string
}

// Drained is the state of a drain.
type Drained struct {
	Target string
	// State is one of service, draining and drained.
	State string
	// Running counts requests still in progress.
	Running int
	// Revision is the one that carries the change; 0 if it is not a change of the configuration.
	Revision int64
}

// Query names a chat. Model may be empty if the configuration has only one.
type Query struct{ Chat, Model, Adapter, Account string }

// Where says where a chat goes.
type Where struct {
	Chat, Model string
	// Engine gets the chat's next request; Home and Second are by hashing alone.
	Engine, Home, Second string
	// Reason says why Engine is or is not Home.
	Reason string
	// Owner admits the requests of Engine.
	Owner string
}

// Top holds the busiest accounts and engines, busiest first.
type Top struct {
	Accounts []AccountUse
	Engines  []EngineUse
}

// AccountUse is the use of a client account as counted by the daemon that answers.
type AccountUse struct {
	Name string
	// Requests and Tokens are per second.
	Requests, Tokens float64
	Running, Waiting int
}

// EngineUse is the load of an engine.
type EngineUse struct {
	Name, Pool string
	Load       float64
	// Ratio is the load over the pool's mean; 0 if the mean is 0.
	Ratio float64
}

// Order is an order to an engine.
type Order struct {
	Engine, Kind, Want string
	// State is one of waiting, sent, confirmed, repaired and stopped.
	State  string
	Holder string
	Fence  int64
	// Expires is the time after which the engine must ignore the order.
	Expires time.Time
	Text    string
}

// Quarantined is a fingerprint whose requests are refused.
type Quarantined struct {
	Fingerprint, Account string
	// Engines crashed while they ran it.
	Engines      []string
	Since, Until time.Time
}

// Timeline is a merged time line.
type Timeline struct {
	Events []timeline.Event
	// Missing names the daemons that did not answer; their events may be missing.
	Missing []string
}

// InForce compares the routers with a revision.
type InForce struct {
	Revision int64
	// Complete is true if each router answered and has the revision or a later one.
	Complete bool
	Routers  []RouterRevision
}

// RouterRevision is the revision in force on a router.
type RouterRevision struct {
	Router, Zone string
	Revision     int64
	// Answered is false if the router did not answer; Revision is then the last one heard of.
	Answered bool
}

// Level is the result of a check.
type Level string

// The levels of a check.
const (
	OK      Level = "ok"
	Warning Level = "warning"
	Failure Level = "failure"
)

// Check is one thing that Doctor looked at.
type Check struct {
	Name   string
	Level  Level
	Text   string
	Remedy string
}

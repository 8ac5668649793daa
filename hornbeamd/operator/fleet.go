// Package operator implements the HTTP API for operators, with its server and its client. Operators
// read the state of the fleet and the reasons for it, drain backend servers and daemons, and
// release quarantined requests.
package operator

import (
	"context"
	"time"

	"hornbeamstep.example/timeline"
)

// Fleet is the set of operations of the operator API. The daemon implements them and passes them to
// the Server. Client implements them by calls to a daemon. Errors with a known cause are *Error.
type Fleet interface {
	// Status returns the state of the fleet as seen by this daemon.
	Status(ctx context.Context) (Status, error)
	// Backends returns all backend servers, ordered by name.
	Backends(ctx context.Context) ([]Backend, error)
	// Drain stops sending new requests to a target. Undrain reverts this for a backend server; a
	// daemon can't be undrained. Both are idempotent.
	Drain(ctx context.Context, target Target) (Drained, error)
	Undrain(ctx context.Context, target Target) (Drained, error)
	// Where returns the engine that the next request of a chat would get, and the reason.
	Where(ctx context.Context, query Query) (Where, error)
	// Top returns the busiest client accounts and engines, at most limit of each.
	Top(ctx context.Context, limit int) (Top, error)
	// Orders returns the most recent orders that each daemon sent to engines, ordered by fencing
	// token.
	Orders(ctx context.Context) ([]Order, error)
	// Quarantine returns the quarantined fingerprints that this daemon knows.
	Quarantine(ctx context.Context) ([]Quarantined, error)
	// Release ends the quarantine of a fingerprint on all routers.
	Release(ctx context.Context, fingerprint string) error
	// Timeline returns the merged events of all daemons.
	Timeline(ctx context.Context, filter timeline.Filter) (Timeline, error)
	// InForce returns the configuration revision in force on each router, compared with the given
	// revision; 0 means the latest one.
	InForce(ctx context.Context, revision int64) (InForce, error)
	// Doctor checks this daemon and its view of the fleet.
	Doctor(ctx context.Context) ([]Check, error)
}

// Status is the state of a daemon and of the fleet as seen by it.
type Status struct {
	Daemon, Zone, Region string
	// Revision is the revision of the configuration in force; 0 if there is none yet.
	Revision int64
	// Ready is the result of GET /readyz. A draining daemon is never ready. Reason explains why the
	// daemon is not ready; empty if it is.
	Ready, Draining bool
	Reason          string
	// Members include the daemon itself and are ordered by name.
	Members []Member
	// Owners are ordered by kind and name.
	Owners []Owner
}

// Member is a router as seen by the daemon that responds.
type Member struct {
	ID, Address, Zone string
	// State is one of alive, suspect, leaving and dead.
	State       string
	Incarnation uint64
	// Revision is the last known configuration revision of the router; 0 if it is not known.
	Revision int64
}

// Owner is the assignment of a backend server, a relay or a shard to a router.
type Owner struct {
	// Kind is one of backend, relay and shard. Name is the name of the backend server, the
	// availability zone of the relay, or the number of the shard.
	Kind, Name, Router string
}

// Backend is a backend server. It belongs either to a Pool or to a Service.
type Backend struct {
	Name, Pool, Service, Zone, Address string
	// State is one of service, suspect, ejected, leaving and draining.
	State string
	// Owner is the router that admits requests to an engine; empty for replicas of a service.
	Owner string
	// Load is the estimated load in the engine's own unit. Mean is the mean load of the pool, and
	// Bound the maximum load currently allowed. The load fields are 0 unless the owner reported them.
	Load, Mean, Bound float64
	Running, Queued   int
	// Reported is the time at which the owner requested the last load report; zero if there is none.
	Reported time.Time
}

// Target names a backend server, or the daemon itself.
type Target struct {
	// Backend is empty if and only if Self is set.
	Backend string
	Self    bool
	// Reason is recorded in the timeline.
	Reason string
}

// Drained is the state of a target after a call of Drain or Undrain.
type Drained struct {
	Target string
	// State is one of service, draining and drained.
	State string
	// Running is the number of requests that are still in progress. For a backend server it comes
	// from the load report, and is 0 on a daemon that does not own the backend server.
	Running int
	// Revision is the configuration revision that contains the change; 0 if the configuration was
	// not changed.
	Revision int64
}

// Query identifies a chat. Model may be empty if the configuration has only one model.
type Query struct{ Chat, Model, Adapter, Account string }

// Where is the placement of a chat's next request.
type Where struct {
	Chat, Model string
	// Engine is the engine for the next request. Home and Second are the first and the second
	// engine in rendezvous order, which does not depend on load.
	Engine, Home, Second string
	// Reason explains why Engine is or is not Home.
	Reason string
	// Owner is the router that admits requests to Engine.
	Owner string
}

// Top holds the busiest client accounts and engines in descending order.
type Top struct {
	Accounts []AccountUse
	Engines  []EngineUse
}

// AccountUse is the usage of a client account through the daemon that responds.
type AccountUse struct {
	Name string
	// Requests and Tokens are mean rates per second since the daemon started.
	Requests, Tokens float64
	Running, Waiting int
}

// EngineUse is the load of an engine.
type EngineUse struct {
	Name, Pool string
	Load       float64
	// Ratio is the load divided by the mean load of the pool; 0 if the mean is 0.
	Ratio float64
}

// Order is an order to an engine to change its state: to load or unload a model, to change its role
// or to drain.
type Order struct {
	// Kind is one of load, unload, role and drain. Want is the argument, such as the model to load.
	Engine, Kind, Want string
	// State is sent, or stopped if the reconciliation run that sent the order ended with an error.
	// Text is that error.
	State string
	// Holder is the router that sent the order, which held the lease of the engine then. Fence is
	// the fencing token of the order.
	Holder string
	Fence  int64
	// Expires is the time after which the engine must ignore the order.
	Expires time.Time
	Text    string
}

// Quarantined is the fingerprint of requests that are refused because they crashed engines.
type Quarantined struct {
	Fingerprint, Account string
	// Engines are the engines that crashed while running such a request.
	Engines      []string
	Since, Until time.Time
}

// Timeline is the merged timeline of the daemons.
type Timeline struct {
	Events []timeline.Event
	// Missing lists the daemons that did not respond. Their events may be missing.
	Missing []string
}

// InForce compares the configuration revision in force on each router with a given revision.
type InForce struct {
	Revision int64
	// Complete is true if every router responded and has this revision or a later one.
	Complete bool
	Routers  []RouterRevision
}

// RouterRevision is the configuration revision in force on a router.
type RouterRevision struct {
	Router, Zone string
	Revision     int64
	// Answered is false if the router did not respond. Revision is then its last known revision.
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

// Check is the result of one check by Doctor.
type Check struct {
	Name   string
	Level  Level
	Text   string
	Remedy string
}

// Package order brings engines to their desired state by orders under a lease.
//
// The desired state of an engine is one object in the object API, which also names the router that gives its orders. Taking an engine
// over is a conditional update of that object, after the lease of the previous router was released or ended. A disruptive order
// (unload, role, drain) needs a fresh conditional update of the object right before it; the version of the latest update is the
// fencing number of the order. So a router that was paused or replaced fails at the update, and an engine that refuses old fencing
// numbers refuses what it sent before, once the new router has sent its first order. That one is sent even if nothing differs.
//
// For engines that ignore fencing numbers, a new router waits longer than the longest order after it took the engine over, in
// addition to the lease that it has seen expire. Orders state the desired state, carry an expiry, and are read back and repaired.
//
// What remains possible: an engine that ignores fencing numbers and the expiry may apply one stale order, which its sender was about
// to send when it was paused after its last check, or which the network held back for longer than the longest order. The next
// Repair of the new router reads the engine back and corrects it.
package order

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"
)

// Kind of the objects that hold the desired states, named by engine.
const desiredKind = "desired"

// DefaultLongest is the longest time that an order takes, from sending to its last effect.
const DefaultLongest = 20 * time.Second

// Action is what an order does.
type Action string

// The actions.
const (
	Load   Action = "load"
	Unload Action = "unload"
	Role   Action = "role"
	Drain  Action = "drain"
)

// Disruptive reports whether the action can interrupt requests.
func (a Action) Disruptive() bool { return a != Load }

// Order is one order to an engine.
type Order struct {
	// Fence is the fencing number. Greater than 0.
	Fence  int64
	Action Action
	// State is the artifact to load or unload, the role, or "true" or "false" for drain.
	State string
	// Expires is when the order must not be started any more, by the sender's clock. Safety does not rest on it.
	Expires time.Time
}

// State is the state of an engine, desired or read back.
type State struct {
	// Loaded are the artifacts, such as "model" or "model:adapter", in order.
	Loaded []string `json:"loaded,omitempty"`
	Role   string   `json:"role,omitempty"`
	Drain  bool     `json:"drain,omitempty"`
}

// WithLoaded returns the state with other artifacts, sorted.
func (s State) WithLoaded(artifacts ...string) State {
	s.Loaded = slices.Clone(artifacts)
	slices.Sort(s.Loaded)
	s.Loaded = slices.Compact(s.Loaded)
	return s
}

// Step is an order without its fencing number and expiry.
type Step struct {
	Action Action
	State  string
}

// Steps returns what brings an engine from its actual to the desired state: drain before anything else if it is to be drained and
// last if it is not, and unload before load, because memory is limited. An empty desired role stands for any.
func Steps(desired, actual State) []Step {
	var out []Step
	drain := Step{Drain, strconv.FormatBool(desired.Drain)}
	if desired.Drain && !actual.Drain {
		out = append(out, drain)
	}
	for _, a := range actual.Loaded {
		if !slices.Contains(desired.Loaded, a) {
			out = append(out, Step{Unload, a})
		}
	}
	if desired.Role != "" && desired.Role != actual.Role {
		out = append(out, Step{Role, desired.Role})
	}
	for _, a := range desired.Loaded {
		if !slices.Contains(actual.Loaded, a) {
			out = append(out, Step{Load, a})
		}
	}
	if !desired.Drain && actual.Drain {
		out = append(out, drain)
	}
	return out
}

// wireDesired is the stored form of an engine's desired state.
type wireDesired struct {
	// Router and Boot name the process that gives the orders; empty before the first.
	Router string `json:"router,omitempty"`
	Boot   string `json:"boot,omitempty"`
	// Turn counts the writes of that process, so that it recognizes its own after a lost reply.
	Turn  int64 `json:"turn,omitempty"`
	State State `json:"state"`
}

func decode(value []byte) (wireDesired, error) {
	var w wireDesired
	if err := json.Unmarshal(value, &w); err != nil {
		return wireDesired{}, fmt.Errorf("desired state is unreadable; set it again: %w", err)
	}
	return w, nil
}

// StaleError says that an engine refused an old fencing number.
type StaleError struct {
	Engine string
	Fence  int64
}

func (e *StaleError) Error() string {
	return fmt.Sprintf("engine %s refused fencing number %d; another router gives its orders now", e.Engine, e.Fence)
}

// SupersededError says that the desired state was changed or the engine was taken over since it was read.
type SupersededError struct{ Engine string }

func (e *SupersededError) Error() string {
	return fmt.Sprintf("desired state of engine %s has changed; repair it again from the new state", e.Engine)
}

// WaitingError says that orders to an engine have to wait.
type WaitingError struct {
	Engine string
	Reason string
	Retry  time.Duration
}

func (e *WaitingError) Error() string {
	return fmt.Sprintf("engine %s: %s; repair it again after %s", e.Engine, e.Reason, e.Retry)
}

// Package reconcile brings engines to their desired state by sending them orders under a lease.
//
// The desired state of an engine is an object in the object API. The object also names the router
// that sends orders to the engine. A router takes an engine over by a conditional update of that
// object, once the lease of the previous router was released or ended. A disruptive order (unload,
// role, drain) requires a conditional update of the object right before it; the version from the
// latest update is the fencing token of the order. A router that was paused or replaced therefore
// fails at the update. An engine that rejects old fencing tokens also rejects delayed orders of the
// previous router, once the new router has sent its first order. The new router therefore sends a
// first order even if the engine is already in its desired state.
//
// For engines that ignore fencing tokens, a new router waits for longer than the maximum order time
// after it took the engine over, in addition to waiting for the lease to expire. Orders state the
// desired state and carry an expiry time. The router reads the state back afterwards and corrects
// differences.
//
// Limitations: an engine that ignores both fencing tokens and the expiry time may apply one stale
// order. Either its sender was paused after its last check and just before sending, or the network
// delayed the order for longer than the maximum order time. The next Reconcile call of the new
// router reads the engine's state back and corrects it.
package reconcile

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"
)

// desiredKind is the object kind of desired states. Each object is named after its engine.
const desiredKind = "desired"

// DefaultMaxOrderTime is the default maximum time from sending an order to its last effect.
const DefaultMaxOrderTime = 20 * time.Second

// Action is the operation that an order requests.
type Action string

// Load and Unload apply to one artifact. Role changes the role of the engine, and Drain starts or
// ends draining.
const (
	Load   Action = "load"
	Unload Action = "unload"
	Role   Action = "role"
	Drain  Action = "drain"
)

// Disruptive reports whether the action can interrupt requests.
func (a Action) Disruptive() bool { return a != Load }

// Order is a command to an engine.
type Order struct {
	// Fence is the fencing token; always greater than 0.
	Fence  int64
	Action Action
	// Argument is the artifact to load or unload, the role, or "true" or "false" to start or end
	// draining.
	Argument string
	// Expires is the time, by the sender's clock, after which the engine must not start the order.
	// Engines that reject old fencing tokens are safe without it.
	Expires time.Time
}

// State is the desired or actual state of an engine.
type State struct {
	// Loaded are the loaded artifacts, such as "model" or "model:adapter", sorted.
	Loaded []string `json:"loaded,omitempty"`
	Role   string   `json:"role,omitempty"`
	Drain  bool     `json:"drain,omitempty"`
}

// WithLoaded returns a copy of the state with its loaded artifacts replaced, sorted and without
// duplicates.
func (s State) WithLoaded(artifacts ...string) State {
	s.Loaded = slices.Clone(artifacts)
	slices.Sort(s.Loaded)
	s.Loaded = slices.Compact(s.Loaded)
	return s
}

// Step is an order without its fencing token and expiry time.
type Step struct {
	Action   Action
	Argument string
}

// Steps returns the steps that bring an engine from its actual to its desired state. Draining
// starts before all other steps and ends after them. Unloads come before loads, because memory is
// limited. An empty desired role matches any role.
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
	// Router and Boot identify the process that sends orders to the engine; empty if there was none
	// yet.
	Router string `json:"router,omitempty"`
	Boot   string `json:"boot,omitempty"`
	// Seq numbers the writes of that process, so that it recognizes its own write after a lost
	// reply.
	Seq   int64 `json:"turn,omitempty"`
	State State `json:"state"`
}

func decode(value []byte) (wireDesired, error) {
	var w wireDesired
	if err := json.Unmarshal(value, &w); err != nil {
		return wireDesired{}, fmt.Errorf("desired state is unreadable; set it again: %w", err)
	}
	return w, nil
}

// StaleError reports that an engine rejected an order because of its old fencing token.
type StaleError struct {
	Engine string
	Fence  int64
}

func (e *StaleError) Error() string {
	return fmt.Sprintf("engine %s rejected fencing token %d; another router now sends its orders", e.Engine, e.Fence)
}

// SupersededError reports that the desired state was changed, or the engine was taken over, since
// the desired state was read.
type SupersededError struct{ Engine string }

func (e *SupersededError) Error() string {
	return fmt.Sprintf("desired state of engine %s has changed; reconcile it again with the new state", e.Engine)
}

// WaitingError reports that no orders may be sent to an engine yet.
type WaitingError struct {
	Engine string
	Reason string
	// Retry is how long to wait before reconciling the engine again.
	Retry time.Duration
}

func (e *WaitingError) Error() string {
	return fmt.Sprintf("engine %s: %s; retry after %s", e.Engine, e.Reason, e.Retry)
}

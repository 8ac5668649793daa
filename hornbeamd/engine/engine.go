// Package engine is the HTTP client of a model engine.
package engine

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"hornbeamstep.example/policy"
)

// ErrEnd is the explicit end of a stream. It is not io.EOF, which is also the cause of connections that break.
var ErrEnd = eris.New("the stream is complete")

// Client is what a router asks of one model engine. Errors of exchanges are *exchange.Error.
type Client interface {
	// Start begins an attempt; the error says whether a byte was sent.
	Start(ctx context.Context, a Attempt) (Stream, error)
	// Resume continues the stream of an attempt behind the last token that was received.
	Resume(ctx context.Context, attempt string, after int) (Stream, error)
	// Cancel ends an attempt at the engine.
	Cancel(ctx context.Context, attempt string) error
	Load(ctx context.Context) (Report, error)
	Events(ctx context.Context, after int64) (Events, error)
	Order(ctx context.Context, o Order) (Result, error)
	// State returns what the engine has loaded, to check that an order took effect.
	State(ctx context.Context) (State, error)
	// Export returns the KV cache of a chat, and Import adds one.
	Export(ctx context.Context, chat string) ([]byte, error)
	Import(ctx context.Context, kv []byte) error
}

// Attempt is one run of a request on an engine.
type Attempt struct {
	// ID is unique for each attempt.
	ID string
	// Chat names the chat whose KV cache the engine may keep.
	Chat  string
	Class policy.Class
	// Deadline is when the answer stops being of use; zero for never.
	Deadline time.Time
	// Body is a chat completion request with "stream" set.
	Body []byte
}

// Stream is the stream of one attempt. It is used by one goroutine.
type Stream interface {
	// Next returns the next token, in order and without repetitions, and ErrEnd after the explicit end.
	// The error is otherwise an *exchange.Error, and the stream has ended.
	Next() (Chunk, error)
	// Close ends the exchange. The connection is reused only after the explicit end.
	Close()
}

// Chunk is one event of a stream.
type Chunk struct {
	// Seq counts from 1.
	Seq int
	// Data is a chat completion chunk in JSON. It is valid until the next call of Next.
	Data []byte
}

// Report is the load of an engine in its own unit.
type Report struct {
	Running int       `json:"running"`
	Queued  int       `json:"queued"`
	Load    float64   `json:"load"`
	At      time.Time `json:"at"`
	Models  []string  `json:"models"`
	// Boot changes when the engine restarts.
	Boot string `json:"boot"`
}

// Events is a part of the cache events of an engine. Sequence numbers grow and may have gaps.
type Events struct {
	Boot   string  `json:"boot"`
	Events []Event `json:"events"`
	// Next is the sequence number to ask after.
	Next int64 `json:"next"`
}

// Event says that the engine stored or evicted a prefix.
type Event struct {
	Seq int64 `json:"seq"`
	// Kind is "stored" or "evicted".
	Kind   string `json:"kind"`
	Prefix string `json:"prefix"`
	Chat   string `json:"chat,omitempty"`
	Tokens int    `json:"tokens"`
}

// Order asks an engine to reach a state. It is idempotent.
type Order struct {
	Fence int64 `json:"fence"`
	// Kind is "load", "unload", "role" or "drain".
	Kind string `json:"kind"`
	// State is the desired state: a model with optional adapter and version, a role, or "on" or "off" for a drain.
	State   string    `json:"state"`
	Expires time.Time `json:"expires"`
}

// Result is the answer to an order.
type Result struct {
	Applied bool `json:"applied"`
	// Fence is the highest fencing number that the engine has seen; 0 if it ignores them.
	Fence  int64  `json:"fence"`
	Reason string `json:"reason,omitempty"`
}

// State is what an engine has loaded.
type State struct {
	Models   []string `json:"models"`
	Role     string   `json:"role"`
	Draining bool     `json:"draining"`
	Fence    int64    `json:"fence"`
	Boot     string   `json:"boot"`
}

// exportOrder is the body of an export request.
type exportOrder struct {
	Chat string `json:"chat"`
}

// resumeOrder is the body of a resume request.
type resumeOrder struct {
	After int `json:"after"`
}

// marshal encodes a wire type of this package, none of which can fail to encode.
func marshal[T any](v T) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		return nil
	}
	return data
}

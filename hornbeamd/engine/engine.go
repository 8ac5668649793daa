// Package engine is the HTTP client of a model engine.
package engine

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"hornbeamstep.example/policy"
)

// ErrStreamComplete means that the engine sent the end-of-stream event. It differs from io.EOF,
// which a broken connection can also cause.
var ErrStreamComplete = eris.New("stream is complete")

// Client calls one model engine. A failed HTTP exchange returns an *exchange.Error.
type Client interface {
	// Start starts an attempt. The error tells whether any byte of the request was sent.
	Start(ctx context.Context, a Attempt) (Stream, error)
	// Resume continues the stream of an attempt after the last chunk received, whose sequence
	// number is after.
	Resume(ctx context.Context, attempt string, after int) (Stream, error)
	// Cancel cancels an attempt on the engine.
	Cancel(ctx context.Context, attempt string) error
	Load(ctx context.Context) (Report, error)
	Events(ctx context.Context, after int64) (Events, error)
	Order(ctx context.Context, o Order) (Result, error)
	// State returns the current state of the engine, to verify that an order took effect.
	State(ctx context.Context) (State, error)
	// Export returns the KV cache of a chat. Import adds one to the engine.
	Export(ctx context.Context, chat string) ([]byte, error)
	Import(ctx context.Context, kv []byte) error
}

// Attempt is one execution of a request on an engine.
type Attempt struct {
	// ID is unique for each attempt.
	ID string
	// Chat is the ID of the chat whose KV cache the engine may keep.
	Chat  string
	Class policy.Class
	// Deadline is the time after which the caller no longer needs the response; zero means no
	// deadline.
	Deadline time.Time
	// Body is a chat completion request with "stream" set.
	Body []byte
}

// Stream is the response stream of one attempt. It is not safe for concurrent use.
type Stream interface {
	// Next returns the next chunk, in order and without duplicates. After the end-of-stream event
	// it returns ErrStreamComplete. Any other error is an *exchange.Error and ends the stream.
	Next() (Chunk, error)
	// Close releases the stream. The connection is reused only after the end-of-stream event.
	Close()
}

// Chunk is one event of a stream.
type Chunk struct {
	// Seq is the sequence number of the chunk, starting at 1.
	Seq int
	// Data is a chat completion chunk in JSON. It is valid until the next call of Next.
	Data []byte
}

// Report is the load that an engine reports. Load is in the engine's own unit.
type Report struct {
	Running int       `json:"running"`
	Queued  int       `json:"queued"`
	Load    float64   `json:"load"`
	At      time.Time `json:"at"`
	Models  []string  `json:"models"`
	// Boot changes when the engine restarts.
	Boot string `json:"boot"`
}

// Events is a page of the cache events of an engine. Sequence numbers increase and may have gaps.
type Events struct {
	Boot   string  `json:"boot"`
	Events []Event `json:"events"`
	// Next is the sequence number to pass to the next call of Client.Events.
	Next int64 `json:"next"`
}

// Event reports that the engine stored or evicted a prefix.
type Event struct {
	Seq int64 `json:"seq"`
	// Kind is "stored" or "evicted".
	Kind   string `json:"kind"`
	Prefix string `json:"prefix"`
	Chat   string `json:"chat,omitempty"`
	Tokens int    `json:"tokens"`
}

// Order requests a desired state of an engine. It is idempotent.
type Order struct {
	Fence int64 `json:"fence"`
	// Kind is "load", "unload", "role" or "drain".
	Kind string `json:"kind"`
	// State is the desired state: a model with optional adapter and version, a role, or "on" or
	// "off" for a drain.
	State   string    `json:"state"`
	Expires time.Time `json:"expires"`
}

// Result is the response to an order.
type Result struct {
	Applied bool `json:"applied"`
	// Fence is the highest fencing token that the engine has received; 0 if it ignores fencing
	// tokens.
	Fence  int64  `json:"fence"`
	Reason string `json:"reason,omitempty"`
}

// State is the current state of an engine.
type State struct {
	Models   []string `json:"models"`
	Role     string   `json:"role"`
	Draining bool     `json:"draining"`
	Fence    int64    `json:"fence"`
	Boot     string   `json:"boot"`
}

// exportRequest is the body of an export request.
type exportRequest struct {
	Chat string `json:"chat"`
}

// resumeRequest is the body of a resume request.
type resumeRequest struct {
	After int `json:"after"`
}

// marshal encodes a request type of this package. Encoding these types cannot fail.
func marshal[T any](v T) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		return nil
	}
	return data
}

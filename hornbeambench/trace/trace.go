// Package trace defines the files of requests and faults that the replay command runs, and
// generates requests from a seed.
//
// Both kinds of files are JSON Lines: one object per line, sorted by "at". Times are in seconds
// from the start of the trace, and sizes are in tokens. A request (a single line in the file):
//
//	{"at":12.5,"account":"a1","chat":"c17","turn":2,"prompt":120,"answer":80,"prefix":300,
//	"class":"normal","repeat":true,"think":8.2}
//
// A request with a turn above 1 arrives "think" seconds after the previous turn of its chat ended.
// Its "at" is only an estimate, which assumes that no request of the chat has to wait. "prompt"
// counts only the new tokens of the turn. A fault:
//
//	{"at":60,"kind":"crash","target":"e3","for":20}
//
// The kinds of faults are the constants of type FaultKind. "for" is the duration in seconds. The
// meaning of "value" depends on the kind: the slowdown factor of an engine, the number of crashes
// of a flap, the lag of an instance list or the clock step in seconds (negative for a step back),
// the lag of the object API in changes, or the number of operators that push with the same base
// revision. The target of a cut is "from>to": messages from the first do not reach the second.
package trace

import (
	"bufio"
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// Request is one request of a trace.
type Request struct {
	// At is the arrival, in seconds from the start of the trace. If Turn is above 1, it is an
	// estimate, and ThinkSeconds determines the arrival.
	At      float64 `json:"at"`
	Account string  `json:"account"`
	Chat    string  `json:"chat"`
	// Turn counts from 1 within the chat.
	Turn int `json:"turn"`
	// PromptTokens is the number of new prompt tokens, and CompletionTokens the number of
	// completion tokens, at least 1.
	PromptTokens     int `json:"prompt"`
	CompletionTokens int `json:"answer"`
	// SharedPrefixTokens is the number of tokens in the prompt prefix that all chats of the account
	// share.
	SharedPrefixTokens int `json:"prefix,omitempty"`
	// Class is the priority class: urgent, normal or batch.
	Class string `json:"class"`
	// Retryable is true if the request may be executed more than once.
	Retryable bool `json:"repeat"`
	// ThinkSeconds is the time from the end of the previous turn to the arrival, in seconds.
	ThinkSeconds float64 `json:"think,omitempty"`
	Model        string  `json:"model,omitempty"`
	Adapter      string  `json:"adapter,omitempty"`
}

// FaultKind is the type of a fault.
type FaultKind string

// The target of a fault is an engine (e1, e2, ...), a router (r1, ...), an availability zone
// (z1, ...) or a chat. Lag also has the target store, and the target of a Cut is from>to.
// StoreOutage, OperatorRace and ReplyLoss have no target.
const (
	// Crash stops an engine, which restarts with an empty cache.
	Crash FaultKind = "crash"
	// Flap crashes an engine Value times within the duration.
	Flap FaultKind = "flap"
	// Leave takes an engine out of service gracefully. It returns with an empty cache.
	Leave FaultKind = "leave"
	// Slow multiplies an engine's step time by Value.
	Slow FaultKind = "slow"
	// Hang stops an engine's processing. Its connections stay open.
	Hang FaultKind = "hang"
	// Silent stops all data on the open connections to an engine permanently. New connections work.
	Silent FaultKind = "silent"
	// Pause suspends a router, which resumes with its old state.
	Pause FaultKind = "pause"
	// Kill terminates a router, which is replaced.
	Kill FaultKind = "kill"
	// Lag delays the instance list of a router by Value seconds. With target store, reads of the
	// head (the pointer to the current configuration revision) return it as it was Value changes
	// ago.
	Lag FaultKind = "lag"
	// ZoneOutage stops all engines and routers of a zone.
	ZoneOutage FaultKind = "zone"
	// Poison makes the first request of a chat crash each engine that runs the request. The caller
	// retries the request after each crash.
	Poison FaultKind = "poison"
	// StoreOutage makes the object API unavailable.
	StoreOutage FaultKind = "store"
	// Cut drops all messages in one direction between two routers, or between a router and an
	// engine.
	Cut FaultKind = "cut"
	// ClockStep steps the wall clock of a router by Value seconds. If the duration is not 0, it
	// steps the clock back afterwards.
	ClockStep FaultKind = "clock"
	// Partition separates the routers and engines of a zone from the others and from the object
	// API, as a network partition between regions does.
	Partition FaultKind = "part"
	// OperatorRace makes Value operators push concurrently with the same base revision.
	OperatorRace FaultKind = "operators"
	// ReplyLoss drops the responses of the object API to writes. The writes take effect.
	ReplyLoss FaultKind = "reply"
)

var kinds = []FaultKind{
	Crash, Flap, Leave, Slow, Hang, Silent, Pause, Kill, Lag, ZoneOutage, Poison, StoreOutage,
	Cut, ClockStep, Partition, OperatorRace, ReplyLoss,
}

// Fault is one fault of a trace.
type Fault struct {
	// At is the start of the fault, in seconds from the start of the trace.
	At              float64   `json:"at"`
	Kind            FaultKind `json:"kind"`
	Target          string    `json:"target,omitempty"`
	DurationSeconds float64   `json:"for,omitempty"`
	Value           float64   `json:"value,omitempty"`
}

// Write writes requests or faults as JSON Lines.
func Write[T Request | Fault](w io.Writer, entries []T) error {
	encoder := json.NewEncoder(w)
	for _, entry := range entries {
		if err := encoder.Encode(entry); err != nil {
			return eris.Wrap(err, "write the trace")
		}
	}
	return nil
}

// ReadRequests reads and validates requests.
func ReadRequests(r io.Reader) ([]Request, error) {
	requests, err := readJSONLines[Request](r)
	if err != nil {
		return nil, err
	}
	for i, request := range requests {
		if request.Chat == "" || request.Turn < 1 || request.CompletionTokens < 1 || request.PromptTokens < 0 || request.At < 0 || request.ThinkSeconds < 0 {
			return nil, eris.Errorf("request %d of the trace is incomplete or has a negative value: set chat, set turn and answer to at least 1, and set prompt, at and think to at least 0", i+1)
		}
		if !slices.Contains([]string{"urgent", "normal", "batch"}, request.Class) {
			return nil, eris.Errorf("request %d of the trace has class %q: use urgent, normal or batch", i+1, request.Class)
		}
	}
	return requests, nil
}

// ReadFaults reads and validates faults.
func ReadFaults(r io.Reader) ([]Fault, error) {
	faults, err := readJSONLines[Fault](r)
	if err != nil {
		return nil, err
	}
	for i, fault := range faults {
		if !slices.Contains(kinds, fault.Kind) {
			return nil, eris.Errorf("fault %d has kind %q: use one of %v", i+1, fault.Kind, kinds)
		}
		if fault.At < 0 || fault.DurationSeconds < 0 {
			return nil, eris.Errorf("fault %d has a negative time", i+1)
		}
		from, to := fault.CutEndpoints()
		switch {
		case fault.Kind == Cut && (from == "" || to == "" || from == to):
			return nil, eris.Errorf("fault %d cuts %q: set the target to from>to with two different names", i+1, fault.Target)
		case fault.Kind == ClockStep && fault.Value == 0:
			return nil, eris.Errorf("fault %d steps a clock by 0 s: set value in seconds", i+1)
		case fault.Kind == OperatorRace && fault.Value < 2:
			return nil, eris.Errorf("fault %d has %v operators: set value to at least 2", i+1, fault.Value)
		}
	}
	return faults, nil
}

// CutEndpoints returns the sender and the receiver of a cut. Both are empty if the target is not
// from>to.
func (f Fault) CutEndpoints() (from, to string) {
	from, to, ok := strings.Cut(f.Target, ">")
	if !ok {
		return "", ""
	}
	return from, to
}

// MergeFaults merges lists of faults and sorts them by time. At equal times, the faults of an
// earlier list come first.
func MergeFaults(lists ...[]Fault) []Fault {
	merged := slices.Concat(lists...)
	slices.SortStableFunc(merged, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return merged
}

// readJSONLines decodes one JSON object per line and skips empty lines.
func readJSONLines[T any](r io.Reader) ([]T, error) {
	var entries []T
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		if len(scanner.Bytes()) == 0 {
			continue
		}
		var entry T
		if err := json.Unmarshal(scanner.Bytes(), &entry); err != nil {
			return nil, eris.Wrapf(err, "line %d of the trace is not a JSON object", len(entries)+1)
		}
		entries = append(entries, entry)
	}
	return entries, eris.Wrap(scanner.Err(), "read the trace")
}

func sortRequests(requests []Request) {
	slices.SortStableFunc(requests, func(a, b Request) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Chat, b.Chat), cmp.Compare(a.Turn, b.Turn))
	})
}

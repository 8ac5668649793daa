// Package trace defines the recorded requests and faults that replay runs, and generates them from a seed.
//
// Both files are JSON Lines with one object a line, in the order of "at". Times are in seconds from the start of the
// trace; sizes are in tokens. A request:
//
//	{"at":12.5,"account":"a1","chat":"c17","turn":2,"prompt":120,"answer":80,"prefix":300,"class":"normal","repeat":true,"think":8.2}
//
// A turn above 1 arrives "think" seconds after the previous turn of its chat ended; "at" then is the arrival when
// nothing waits. "prompt" counts the new tokens of the turn only. A fault:
//
//	{"at":60,"kind":"crash","target":"e3","for":20}
//
// The fault kinds are the constants of type Kind. "for" is the duration in seconds, and "value" is the factor of a slow
// engine, the number of flaps, the lag or the step of a clock in seconds (negative for a step back), or the number of
// operators that push from one revision. The target of a cut is "from>to": what the first sends does not reach the second.
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

// Request is one recorded request.
type Request struct {
	// At is the arrival in seconds.
	At      float64 `json:"at"`
	Account string  `json:"account"`
	Chat    string  `json:"chat"`
	// Turn counts from 1 within the chat.
	Turn int `json:"turn"`
	// Prompt is the number of new tokens; Answer the number of tokens generated, at least 1.
	Prompt int `json:"prompt"`
	Answer int `json:"answer"`
	// Prefix is the length of the prompt prefix that all chats of the account share.
	Prefix int `json:"prefix,omitempty"`
	// Class is urgent, normal or batch.
	Class string `json:"class"`
	// Repeat is true if the request may run more than once.
	Repeat bool `json:"repeat"`
	// Think is the pause in seconds since the end of the previous turn.
	Think   float64 `json:"think,omitempty"`
	Model   string  `json:"model,omitempty"`
	Adapter string  `json:"adapter,omitempty"`
}

// Kind is the type of a fault.
type Kind string

// The kinds of faults. The target is an engine (e1, e2, ...), a router (r1, ...), a zone (z1, ...) or a chat.
const (
	// Crash stops an engine, which returns with an empty cache.
	Crash Kind = "crash"
	// Flap crashes an engine as often as value says, spread over the duration.
	Flap Kind = "flap"
	// Leave takes an engine out of service with notice; it returns with an empty cache.
	Leave Kind = "leave"
	// Slow multiplies an engine's step time by value.
	Slow Kind = "slow"
	// Hang stops an engine's progress; its connections stay open.
	Hang Kind = "hang"
	// Silent makes the open connections to an engine silent for good, while new ones work.
	Silent Kind = "silent"
	// Pause stops a router, which resumes with its old state.
	Pause Kind = "pause"
	// Kill ends a router, which is replaced.
	Kill Kind = "kill"
	// Lag makes the instance list of a router late by value seconds. With target store, reads of the object API show the head as it
	// was as many changes ago as value says.
	Lag Kind = "lag"
	// Zone stops all engines and routers of a zone.
	Zone Kind = "zone"
	// Poison makes the first request of a chat crash each engine that runs it. The caller sends it again.
	Poison Kind = "poison"
	// Store makes the object API unavailable.
	Store Kind = "store"
	// Cut loses all messages one way, between two routers or between a router and an engine.
	Cut Kind = "cut"
	// Clock steps the wall clock of a router by value seconds, and back after the duration if it is not 0.
	Clock Kind = "clock"
	// Part cuts the routers and engines of a zone, which stands for a region, off from the others and from the object API.
	Part Kind = "part"
	// Operators lets as many operators as value push a change from the same revision at the same moment.
	Operators Kind = "operators"
	// Reply loses the replies of the object API's writes, which take effect.
	Reply Kind = "reply"
)

var kinds = []Kind{
	Crash, Flap, Leave, Slow, Hang, Silent, Pause, Kill, Lag, Zone, Poison, Store, Cut, Clock, Part, Operators, Reply,
}

// Fault is one recorded fault.
type Fault struct {
	At     float64 `json:"at"`
	Kind   Kind    `json:"kind"`
	Target string  `json:"target,omitempty"`
	For    float64 `json:"for,omitempty"`
	Value  float64 `json:"value,omitempty"`
}

// Write writes requests or faults as JSON Lines.
func Write[T Request | Fault](w io.Writer, lines []T) error {
	out := json.NewEncoder(w)
	for _, l := range lines {
		if err := out.Encode(l); err != nil {
			return eris.Wrap(err, "write the trace")
		}
	}
	return nil
}

// ReadRequests reads requests and checks them.
func ReadRequests(r io.Reader) ([]Request, error) {
	list, err := read[Request](r)
	if err != nil {
		return nil, err
	}
	for i, q := range list {
		if q.Chat == "" || q.Turn < 1 || q.Answer < 1 || q.Prompt < 0 || q.At < 0 || q.Think < 0 {
			return nil, eris.Errorf("request %d of the trace is incomplete: set chat, turn from 1, answer from 1", i+1)
		}
		if !slices.Contains([]string{"urgent", "normal", "batch"}, q.Class) {
			return nil, eris.Errorf("request %d of the trace has class %q: use urgent, normal or batch", i+1, q.Class)
		}
	}
	return list, nil
}

// ReadFaults reads faults and checks them.
func ReadFaults(r io.Reader) ([]Fault, error) {
	list, err := read[Fault](r)
	if err != nil {
		return nil, err
	}
	for i, f := range list {
		if !slices.Contains(kinds, f.Kind) {
			return nil, eris.Errorf("fault %d has kind %q: use one of %v", i+1, f.Kind, kinds)
		}
		if f.At < 0 || f.For < 0 {
			return nil, eris.Errorf("fault %d has a negative time", i+1)
		}
		from, to := f.Link()
		switch {
		case f.Kind == Cut && (from == "" || to == "" || from == to):
			return nil, eris.Errorf("fault %d cuts %q: name two ends as from>to", i+1, f.Target)
		case f.Kind == Clock && f.Value == 0:
			return nil, eris.Errorf("fault %d steps a clock by 0 s: set value in seconds", i+1)
		case f.Kind == Operators && f.Value < 2:
			return nil, eris.Errorf("fault %d has %v operators: set value from 2", i+1, f.Value)
		}
	}
	return list, nil
}

// Link returns the ends of a cut, empty if the target does not name two.
func (f Fault) Link() (from, to string) {
	from, to, ok := strings.Cut(f.Target, ">")
	if !ok {
		return "", ""
	}
	return from, to
}

// Merge returns the faults of several files in the order of their times; those of an earlier file come first at equal times.
func Merge(lists ...[]Fault) []Fault {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return all
}

func read[T any](r io.Reader) ([]T, error) {
	var list []T
	in := bufio.NewScanner(r)
	for in.Scan() {
		if len(in.Bytes()) == 0 {
			continue
		}
		var one T
		if err := json.Unmarshal(in.Bytes(), &one); err != nil {
			return nil, eris.Wrapf(err, "line %d of the trace is not a JSON object", len(list)+1)
		}
		list = append(list, one)
	}
	return list, eris.Wrap(in.Err(), "read the trace")
}

func sortRequests(list []Request) {
	slices.SortStableFunc(list, func(a, b Request) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Chat, b.Chat), cmp.Compare(a.Turn, b.Turn))
	})
}

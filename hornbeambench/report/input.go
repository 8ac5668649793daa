// Package report makes a page with plots from the JSON files of replay, load and control.
package report

import (
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"slices"
)

// Side says whether a file was measured before or after a change.
type Side string

// The sides.
const (
	Before Side = "before"
	After  Side = "after"
)

// InputError says that a file can't be used.
type InputError struct {
	File, Remedy string
	Cause        error
}

func (e *InputError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("file %s can't be used: %s", e.File, e.Remedy)
	}
	return fmt.Sprintf("file %s can't be used: %s: %v", e.File, e.Remedy, e.Cause)
}

// Unwrap returns the cause.
func (e *InputError) Unwrap() error { return e.Cause }

// The wire types read what the report shows of the files of other commands, and ignore the rest.
type (
	wireFile struct {
		Kind     string            `json:"kind"`
		Scenario string            `json:"scenario"`
		Sizes    []json.RawMessage `json:"sizes"`
	}
	wireReplay struct {
		Scenario   string        `json:"scenario"`
		Seed       uint64        `json:"seed"`
		Project    wireFigures   `json:"project"`
		Omniscient wireFigures   `json:"omniscient"`
		Baselines  []wireFigures `json:"baselines"`
		Control    *wireFigures  `json:"control"`
		Verdicts   []wireVerdict `json:"verdicts"`
	}
	wireFigures struct {
		Placer      string                   `json:"placer"`
		Reuse       float64                  `json:"reuse"`
		Skew        float64                  `json:"skew"`
		Above       float64                  `json:"above"`
		Calls       int                      `json:"calls"`
		Answered    int                      `json:"answered"`
		Refused     int                      `json:"refused"`
		Interrupted int                      `json:"interrupted"`
		Unknown     int                      `json:"unknown"`
		Lost        int                      `json:"lost"`
		Doubled     int                      `json:"doubled"`
		Crossed     int                      `json:"crossed"`
		FalseNotRun int                      `json:"falsenotrun"`
		First       wireQuantiles            `json:"ttft"`
		Between     wireQuantiles            `json:"itl"`
		Wait        map[string]wireQuantiles `json:"wait"`
		Goodput     []int                    `json:"goodput"`
	}
	wireQuantiles struct {
		P50 float64 `json:"p50"`
		P95 float64 `json:"p95"`
		P99 float64 `json:"p99"`
	}
	wireVerdict struct {
		Outcome string `json:"outcome"`
		Held    bool   `json:"held"`
		Seen    string `json:"seen"`
	}
	wireLoad struct {
		Seed    uint64      `json:"seed"`
		Rate    float64     `json:"rate"`
		Seconds float64     `json:"seconds"`
		Sent    int         `json:"sent"`
		Again   int         `json:"again"`
		Endings []wireCount `json:"endings"`
		Codes   []wireCount `json:"codes"`
		Groups  []wireGroup `json:"groups"`
	}
	wireCount struct {
		Name  string `json:"name"`
		Count int    `json:"count"`
	}
	wireGroup struct {
		Label   string        `json:"label"`
		First   wireQuantiles `json:"first"`
		Between wireQuantiles `json:"between"`
		Total   wireQuantiles `json:"total"`
	}
	wireControl struct {
		Uniform bool       `json:"uniform"`
		TLS     bool       `json:"tls"`
		Sizes   []wireSize `json:"sizes"`
	}
	wireSize struct {
		Routers int      `json:"routers"`
		Steady  wireCost `json:"steady"`
		Change  float64  `json:"change"`
		Force   float64  `json:"force"`
	}
	// wireCost is what a router spends: bytes per second, percent of a core and bytes of memory.
	wireCost struct {
		Bytes  float64 `json:"bytes"`
		Core   float64 `json:"core"`
		Memory float64 `json:"memory"`
	}
)

// run is one side's content.
type run[T any] struct {
	side    Side
	file    string
	content T
}

// input is all content, in the order of the files.
type input struct {
	replays  []run[wireReplay]
	loads    []run[wireLoad]
	controls []run[wireControl]
}

func (in *input) read(side Side, file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return &InputError{File: file, Remedy: "name a readable file", Cause: err}
	}
	var kind wireFile
	if err := json.Unmarshal(data, &kind); err != nil {
		return &InputError{File: file, Remedy: "name a JSON file of replay, load or control", Cause: err}
	}
	switch {
	case kind.Scenario != "":
		err = add(&in.replays, side, file, data)
	case kind.Kind == "load":
		err = add(&in.loads, side, file, data)
	case len(kind.Sizes) > 0:
		err = add(&in.controls, side, file, data)
	default:
		return &InputError{File: file, Remedy: "name a JSON file of replay, load or control"}
	}
	return err
}

func add[T any](list *[]run[T], side Side, file string, data []byte) error {
	one := run[T]{side: side, file: file}
	if err := json.Unmarshal(data, &one.content); err != nil {
		return &InputError{File: file, Remedy: "write it again with this version", Cause: err}
	}
	*list = append(*list, one)
	return nil
}

// group collects the runs with the same key, so that before and after are compared with the same seed only. Groups keep the
// order of the files; within one, before comes first.
func group[T any, K comparable](runs []run[T], key func(T) K) [][]run[T] {
	var groups [][]run[T]
	index := map[K]int{}
	for _, r := range runs {
		k := key(r.content)
		at, ok := index[k]
		if !ok {
			at = len(groups)
			index[k] = at
			groups = append(groups, nil)
		}
		groups[at] = append(groups[at], r)
	}
	for _, g := range groups {
		slices.SortStableFunc(g, func(a, b run[T]) int { return cmp.Compare(b.side, a.side) })
	}
	return groups
}

// Package report writes a page with plots from the JSON files of the replay, load and control
// commands.
package report

import (
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"slices"
)

// Side is the side of a comparison that a run belongs to.
type Side string

// A run is measured either before or after the change.
const (
	Before Side = "before"
	After  Side = "after"
)

// InputError is returned for a file that is unreadable or in an unsupported format.
type InputError struct {
	File, Remedy string
	Cause        error
}

func (e *InputError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("cannot use input file %s: %s", e.File, e.Remedy)
	}
	return fmt.Sprintf("cannot use input file %s: %s: %v", e.File, e.Remedy, e.Cause)
}

// Unwrap returns the cause.
func (e *InputError) Unwrap() error { return e.Cause }

// These types decode the fields that the report uses from the JSON files of the other commands.
// Other fields are ignored.
type (
	// fileHeader holds the fields that identify which command wrote a file.
	fileHeader struct {
		Kind     string            `json:"kind"`
		Scenario string            `json:"scenario"`
		Sizes    []json.RawMessage `json:"sizes"`
	}
	replayResult struct {
		Scenario   string          `json:"scenario"`
		Seed       uint64          `json:"seed"`
		Project    placerMetrics   `json:"project"`
		Omniscient placerMetrics   `json:"omniscient"`
		Baselines  []placerMetrics `json:"baselines"`
		// WithoutTrigger has the metrics of the same trace without its surge and faults; nil if the
		// scenario does not run it.
		WithoutTrigger *placerMetrics `json:"control"`
		Verdicts       []verdict      `json:"verdicts"`
	}
	placerMetrics struct {
		Placer          string  `json:"placer"`
		CacheReuseRatio float64 `json:"reuse"`
		LoadSkew        float64 `json:"skew"`
		// SecondsAboveBound is the time in which an engine was above the bound, allowance included.
		SecondsAboveBound float64 `json:"above"`
		RequestCount      int     `json:"calls"`
		Answered          int     `json:"answered"`
		Refused           int     `json:"refused"`
		Interrupted       int     `json:"interrupted"`
		Unknown           int     `json:"unknown"`
		Lost              int     `json:"lost"`
		// Doubled counts the non-idempotent requests that were executed twice.
		Doubled int `json:"doubled"`
		// Crossed counts the answers delivered to another request.
		Crossed int `json:"crossed"`
		// FalseNotRun counts the requests that were refused as not run although they ran.
		FalseNotRun       int                  `json:"falsenotrun"`
		TimeToFirstToken  quantiles            `json:"ttft"`
		InterTokenLatency quantiles            `json:"itl"`
		QueueWait         map[string]quantiles `json:"wait"`
		// GoodputCounts holds, for each 10 s, the number of first tokens within 2 s of the arrival.
		GoodputCounts []int `json:"goodput"`
	}
	// quantiles are in milliseconds.
	quantiles struct {
		P50 float64 `json:"p50"`
		P95 float64 `json:"p95"`
		P99 float64 `json:"p99"`
	}
	verdict struct {
		Requirement string `json:"outcome"`
		Met         bool   `json:"held"`
		Observed    string `json:"seen"`
	}
	loadResult struct {
		Seed       uint64         `json:"seed"`
		Rate       float64        `json:"rate"`
		Seconds    float64        `json:"seconds"`
		SentCount  int            `json:"sent"`
		RetryCount int            `json:"again"`
		Outcomes   []namedCount   `json:"endings"`
		ErrorCodes []namedCount   `json:"codes"`
		Groups     []latencyGroup `json:"groups"`
	}
	namedCount struct {
		Name  string `json:"name"`
		Count int    `json:"count"`
	}
	latencyGroup struct {
		Label             string    `json:"label"`
		TimeToFirstToken  quantiles `json:"first"`
		InterTokenLatency quantiles `json:"between"`
		TotalLatency      quantiles `json:"total"`
	}
	controlResult struct {
		UniformPings bool              `json:"uniform"`
		TLS          bool              `json:"tls"`
		Sizes        []fleetSizeResult `json:"sizes"`
	}
	fleetSizeResult struct {
		RouterCount       int           `json:"routers"`
		SteadyState       resourceUsage `json:"steady"`
		ChangeBytes       float64       `json:"change"`
		ActivationSeconds float64       `json:"force"`
	}
	// resourceUsage is the control traffic, CPU use and memory use of one router.
	resourceUsage struct {
		BytesPerSecond float64 `json:"bytes"`
		CorePercent    float64 `json:"core"`
		MemoryBytes    float64 `json:"memory"`
	}
)

// run is the decoded result file of one run, and the side of the comparison that it belongs to.
type run[T any] struct {
	side    Side
	file    string
	content T
}

// inputs holds the runs of each command, in the order of the files.
type inputs struct {
	replays  []run[replayResult]
	loads    []run[loadResult]
	controls []run[controlResult]
}

func (in *inputs) readFile(side Side, file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return &InputError{File: file, Remedy: "pass a readable file", Cause: err}
	}
	var header fileHeader
	if err := json.Unmarshal(data, &header); err != nil {
		return &InputError{File: file, Remedy: "pass a JSON file written by the replay, load or control command", Cause: err}
	}
	switch {
	case header.Scenario != "":
		err = appendRun(&in.replays, side, file, data)
	case header.Kind == "load":
		err = appendRun(&in.loads, side, file, data)
	case len(header.Sizes) > 0:
		err = appendRun(&in.controls, side, file, data)
	default:
		return &InputError{File: file, Remedy: "pass a JSON file written by the replay, load or control command"}
	}
	return err
}

func appendRun[T any](list *[]run[T], side Side, file string, data []byte) error {
	decoded := run[T]{side: side, file: file}
	if err := json.Unmarshal(data, &decoded.content); err != nil {
		return &InputError{File: file, Remedy: "generate it again with this version of hornbeambench", Cause: err}
	}
	*list = append(*list, decoded)
	return nil
}

// groupRuns groups the runs with the same key, which includes the seed, so that only runs with the
// same seed are compared. Groups are in the order of the files. Within a group, runs from before
// the change come first.
func groupRuns[T any, K comparable](runs []run[T], key func(T) K) [][]run[T] {
	var groups [][]run[T]
	groupByKey := map[K]int{}
	for _, r := range runs {
		runKey := key(r.content)
		i, ok := groupByKey[runKey]
		if !ok {
			i = len(groups)
			groupByKey[runKey] = i
			groups = append(groups, nil)
		}
		groups[i] = append(groups[i], r)
	}
	for _, g := range groups {
		slices.SortStableFunc(g, func(a, b run[T]) int { return cmp.Compare(b.side, a.side) })
	}
	return groups
}

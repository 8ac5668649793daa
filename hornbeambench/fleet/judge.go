// Package fleet checks the outcomes of an experiment with several real router processes.
// scripts/fleet.sh starts the processes and injects the faults.
package fleet

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"hornbeamstep.example/hornbeambench/load"
	"hornbeamstep.example/routing/outcome"
)

// allowedExcess is the number of requests by which an engine of a small pool may exceed the bound.
const allowedExcess = 1

// Evidence is the data that was recorded during an experiment.
type Evidence struct {
	// Records holds one record per request, as seen by its caller.
	Records []load.Record
	// ExecutionCounts maps an idempotency key to its number of executions in the ledgers of all
	// plain services.
	ExecutionCounts map[string]int
	// Samples holds the loads of the engines over time.
	Samples []LoadSample
	// Bound is the configured load bound, as a multiple of the mean load.
	Bound float64
	// Revisions holds the active revisions of the routers over time.
	Revisions []RevisionSample
	// Pushes holds the results of operators that pushed concurrently.
	Pushes []PushResult
}

// LoadSample holds the loads of the engines that responded to one round of queries.
type LoadSample struct {
	At    time.Time    `json:"at"`
	Loads []EngineLoad `json:"loads"`
}

// EngineLoad is the load that one engine reported.
type EngineLoad struct {
	Engine string  `json:"engine"`
	Load   float64 `json:"load"`
}

// Verdict is the result of checking one required outcome.
type Verdict struct {
	Outcome  string `json:"outcome"`
	Passed   bool   `json:"held"`
	Observed string `json:"seen"`
}

// Judge checks the outcomes that callers observe and the load bound of the engines. The limits are
// those that the design states.
func Judge(e Evidence) []Verdict { return append(JudgeCallerOutcomes(e), e.checkLoadBound()) }

// JudgeCallerOutcomes checks the outcomes that callers observe.
func JudgeCallerOutcomes(e Evidence) []Verdict {
	return []Verdict{
		e.checkNone("every request gets a whole answer or a typed error", func(r load.Record) bool { return r.Ending == load.Unanswered }),
		e.checkNone("no answer is crossed, truncated or doubled", func(r load.Record) bool { return r.Ending == load.Wrong }),
		e.checkNone("no call runs twice", func(r load.Record) bool { return e.ExecutionCounts[r.IdempotencyKey] > 1 }),
		e.checkNone("no call refused as not run has run", func(r load.Record) bool {
			return r.Ending == load.Refused && r.Outcome == outcome.NotRun && !r.MayHaveRun && e.ExecutionCounts[r.IdempotencyKey] > 0
		}),
		e.checkNone("no call is answered that did not run", func(r load.Record) bool {
			return r.Ending == load.Answered && r.IdempotencyKey != "" && e.ExecutionCounts[r.IdempotencyKey] == 0
		}),
		e.checkNone("no caller with a right key is turned away for good", func(r load.Record) bool {
			return r.Ending == load.Refused && (r.Code == outcome.BadAPIKey || r.Code == outcome.Forbidden || r.Code == outcome.UnknownModel)
		}),
	}
}

// checkNone requires that no record violates the outcome, and describes the first one that does. It
// also fails if there are no records.
func (e Evidence) checkNone(outcomeName string, violates func(load.Record) bool) Verdict {
	count, first := 0, ""
	for _, r := range e.Records {
		if !violates(r) {
			continue
		}
		count++
		if first == "" {
			first = fmt.Sprintf("; first: request %s of %s at %.2f s by router %s: %s", r.ID, r.Caller, r.ArrivalSeconds, r.Router, r.Message)
		}
	}
	passed := count == 0 && len(e.Records) > 0
	return Verdict{Outcome: outcomeName, Passed: passed, Observed: fmt.Sprintf("%d of %d requests%s", count, len(e.Records), first)}
}

// checkLoadBound requires that no engine exceeds the bound at any time. A sample is valid until the
// next one. The verdict reports separately how long the bound was exceeded after a rise of the
// maximum load: if only the mean fell, no router could have prevented the excess.
func (e Evidence) checkLoadBound() Verdict {
	var total, afterRise time.Duration
	maxExcess, maxExcessEngine := 0.0, "none"
	rising, previousMaxLoad := false, 0.0
	for i, s := range e.Samples {
		excess, maxLoad, engine := s.excess(e.Bound)
		rising = excess > 0 && (rising || maxLoad > previousMaxLoad)
		previousMaxLoad = maxLoad
		if excess <= 0 {
			continue
		}
		if excess > maxExcess {
			maxExcess, maxExcessEngine = excess, engine
		}
		if i+1 == len(e.Samples) {
			break
		}
		duration := e.Samples[i+1].At.Sub(s.At)
		total += duration
		if rising {
			afterRise += duration
		}
	}
	return Verdict{
		Outcome: "no engine is above the bound with its allowance of one request",
		Passed:  maxExcess == 0 && len(e.Samples) > 0,
		Observed: fmt.Sprintf("%.2f s in %d samples, of which %.2f s since a rise of the greatest load; at most %.2f above, at %s",
			total.Seconds(), len(e.Samples), afterRise.Seconds(), maxExcess, maxExcessEngine),
	}
}

// excess returns by how many requests the most loaded engine exceeds the bound with its allowance
// (0 or less if it does not), and the load and name of that engine.
func (s LoadSample) excess(bound float64) (float64, float64, string) {
	sum, maxLoad, engine := 0.0, 0.0, ""
	for _, l := range s.Loads {
		sum += l.Load
		if l.Load > maxLoad {
			maxLoad, engine = l.Load, l.Engine
		}
	}
	if len(s.Loads) == 0 {
		return 0, 0, ""
	}
	return maxLoad - bound*sum/float64(len(s.Loads)) - allowedExcess, maxLoad, engine
}

// decodeJSONLines decodes one JSON object per line.
func decodeJSONLines[T any](r io.Reader) ([]T, error) {
	var values []T
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		var value T
		if err := json.Unmarshal(scanner.Bytes(), &value); err != nil {
			return nil, fmt.Errorf("line %d is not a JSON object: %w", len(values)+1, err)
		}
		values = append(values, value)
	}
	return values, scanner.Err()
}

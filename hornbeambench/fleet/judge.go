// Package fleet judges an experiment with several real router processes, which scripts/fleet.sh starts and disturbs.
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

// allowance is the number of requests that an engine of a small pool may be above the bound.
const allowance = 1

// Evidence is what an experiment left behind.
type Evidence struct {
	// Records are what the callers know.
	Records []load.Record
	// Ran counts the runs of each idempotency key in the ledgers of all plain services.
	Ran map[string]int
	// Samples are the loads of the engines over time.
	Samples []Sample
	// Bound is the configured multiple of the mean load.
	Bound float64
	// Revisions are the revisions in force over time, and Pushes the results of operators that raced.
	Revisions []InForce
	Pushes    []Push
}

// Sample is the loads of the engines that answered at a time.
type Sample struct {
	At    time.Time `json:"at"`
	Loads []Load    `json:"loads"`
}

// Load is the load of one engine.
type Load struct {
	Engine string  `json:"engine"`
	Load   float64 `json:"load"`
}

// Verdict is the judgement of one outcome.
type Verdict struct {
	Outcome string `json:"outcome"`
	Held    bool   `json:"held"`
	Seen    string `json:"seen"`
}

// Judge judges the outcomes that the design requires. Its bounds are the stated ones.
func Judge(e Evidence) []Verdict { return append(JudgeCallers(e), e.above()) }

// JudgeCallers judges the outcomes that concern callers.
func JudgeCallers(e Evidence) []Verdict {
	return []Verdict{
		e.none("every request gets a whole answer or a typed error", func(r load.Record) bool { return r.Ending == load.Unanswered }),
		e.none("no answer is crossed, truncated or doubled", func(r load.Record) bool { return r.Ending == load.Wrong }),
		e.none("no call runs twice", func(r load.Record) bool { return e.Ran[r.Key] > 1 }),
		e.none("no call refused as not run has run", func(r load.Record) bool {
			return r.Ending == load.Refused && r.Outcome == outcome.NotRun && !r.Maybe && e.Ran[r.Key] > 0
		}),
		e.none("no call is answered that did not run", func(r load.Record) bool {
			return r.Ending == load.Answered && r.Key != "" && e.Ran[r.Key] == 0
		}),
		e.none("no caller with a right key is turned away for good", func(r load.Record) bool {
			return r.Ending == load.Refused && (r.Code == outcome.BadKey || r.Code == outcome.Forbidden || r.Code == outcome.UnknownModel)
		}),
	}
}

// none requires that no record is a fault, and names the first that is.
func (e Evidence) none(name string, fault func(load.Record) bool) Verdict {
	count, first := 0, ""
	for _, r := range e.Records {
		if !fault(r) {
			continue
		}
		count++
		if first == "" {
			first = fmt.Sprintf("; first: request %s of %s at %.2f s by router %s: %s", r.ID, r.Caller, r.At, r.Router, r.Text)
		}
	}
	held := count == 0 && len(e.Records) > 0
	return Verdict{Outcome: name, Held: held, Seen: fmt.Sprintf("%d of %d requests%s", count, len(e.Records), first)}
}

// above requires that no engine is above the bound at any time. A sample stands for the time until the next one. The part
// that began with a rise of the greatest load is told apart, because a fall of the mean alone leaves nothing to prevent.
func (e Evidence) above() Verdict {
	var total, risen time.Duration
	worst, who := 0.0, "none"
	rising, before := false, 0.0
	for i, s := range e.Samples {
		over, most, engine := s.over(e.Bound)
		rising = over > 0 && (rising || most > before)
		before = most
		if over <= 0 {
			continue
		}
		if over > worst {
			worst, who = over, engine
		}
		if i+1 == len(e.Samples) {
			break
		}
		lasts := e.Samples[i+1].At.Sub(s.At)
		total += lasts
		if rising {
			risen += lasts
		}
	}
	return Verdict{
		Outcome: "no engine is above the bound with its allowance of one request",
		Held:    worst == 0 && len(e.Samples) > 0,
		Seen: fmt.Sprintf("%.2f s in %d samples, of which %.2f s since a rise of the greatest load; at most %.2f above, at %s",
			total.Seconds(), len(e.Samples), risen.Seconds(), worst, who),
	}
}

// over returns how far the most loaded engine is above the bound, 0 or less if it is not, with its load and name.
func (s Sample) over(bound float64) (float64, float64, string) {
	sum, most, engine := 0.0, 0.0, ""
	for _, l := range s.Loads {
		sum += l.Load
		if l.Load > most {
			most, engine = l.Load, l.Engine
		}
	}
	if len(s.Loads) == 0 {
		return 0, 0, ""
	}
	return most - bound*sum/float64(len(s.Loads)) - allowance, most, engine
}

// lines reads JSON lines.
func lines[T any](r io.Reader) ([]T, error) {
	var all []T
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		var one T
		if err := json.Unmarshal(scanner.Bytes(), &one); err != nil {
			return nil, fmt.Errorf("line %d is no JSON object: %w", len(all)+1, err)
		}
		all = append(all, one)
	}
	return all, scanner.Err()
}

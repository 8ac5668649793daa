package replay

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"

	"hornbeamstep.example/hornbeambench/trace"
)

// Command replays a scenario and checks its requirements.
type Command struct {
	Scenario string   `arg:"" help:"Name of a built-in scenario; see the list command."`
	Seed     uint64   `default:"1" help:"Seed of the trace and of the simulation."`
	NoBudget bool     `help:"Disable the retry budget of the routers."`
	NoHealth bool     `help:"Disable the ejection of engines."`
	JSON     string   `name:"json" help:"Write the figures to this file as JSON." placeholder:"FILE"`
	Trace    string   `help:"Replay the requests of this file instead of generated ones." placeholder:"FILE"`
	Faults   []string `help:"Inject the faults of this file instead of the scenario's. Repeat the flag to merge several files." placeholder:"FILE"`
	Record   string   `help:"Write the replayed requests to this file." placeholder:"FILE"`
}

// ErrRequirementFailed is returned if a requirement is not met.
var ErrRequirementFailed = eris.New("a requirement is not met; the lines marked \"short\" give the measured values")

// Run replays the scenario and prints the figures and verdicts. It returns ErrRequirementFailed if
// a requirement is not met.
func (c *Command) Run() error { return c.run(os.Stdout) }

func (c *Command) run(w io.Writer) error {
	for _, scenario := range Scenarios() {
		if scenario.Name != c.Scenario {
			continue
		}
		requests, faults, err := c.load(scenario)
		if err != nil {
			return err
		}
		scenario.Fleet.RetryBudget = scenario.Fleet.RetryBudget && !c.NoBudget
		scenario.Fleet.Ejection = scenario.Fleet.Ejection && !c.NoHealth
		r := RunScenario(scenario, requests, faults, c.Seed)
		if err := r.write(w); err != nil {
			return err
		}
		return c.finish(r)
	}
	return eris.Errorf("there is no scenario %q; see the list command", c.Scenario)
}

// load returns the requests and faults to replay. It also writes the requests to the file of the
// Record flag.
func (c *Command) load(scenario Scenario) ([]trace.Request, []trace.Fault, error) {
	requests, faults := trace.Generate(scenario.Shape, c.Seed), scenario.Faults
	var err error
	if c.Trace != "" {
		if requests, err = readFile(c.Trace, trace.ReadRequests); err != nil {
			return nil, nil, err
		}
	}
	if len(c.Faults) > 0 {
		faults = nil
	}
	for _, name := range c.Faults {
		fileFaults, err := readFile(name, trace.ReadFaults)
		if err != nil {
			return nil, nil, err
		}
		faults = trace.MergeFaults(faults, fileFaults)
	}
	if c.Record == "" {
		return requests, faults, nil
	}
	f, err := os.Create(c.Record)
	if err != nil {
		return nil, nil, eris.Wrap(err, "record the trace")
	}
	if err := trace.Write(f, requests); err != nil {
		_ = f.Close()
		return nil, nil, err
	}
	return requests, faults, eris.Wrap(f.Close(), "record the trace")
}

func readFile[T any](name string, read func(io.Reader) ([]T, error)) ([]T, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, eris.Wrap(err, "open the trace or fault file")
	}
	defer func() { _ = f.Close() }()
	return read(f)
}

// finish writes the figures to the file of the JSON flag. It returns ErrRequirementFailed if a
// requirement is not met.
func (c *Command) finish(r Result) error {
	if c.JSON != "" {
		data, err := json.MarshalIndent(r, "", "  ")
		if err != nil {
			return eris.Wrap(err, "encode the figures")
		}
		if err := os.WriteFile(c.JSON, append(data, '\n'), 0o644); err != nil {
			return eris.Wrap(err, "write the figures")
		}
	}
	if !r.Passed() {
		return ErrRequirementFailed
	}
	return nil
}

// write prints a table with one row of figures for each placer, and one line for each verdict.
func (r Result) write(w io.Writer) error {
	rows := append([]Figures{r.Project, r.Omniscient}, r.Baselines...)
	if r.Control != nil {
		control := *r.Control
		control.Placer = "control run"
		rows = append(rows, control)
	}
	text := fmt.Sprintf("%s, seed %d, %d requests\n", r.Scenario, r.Seed, r.Project.Calls)
	text += fmt.Sprintf("%-28s %7s %7s %7s %7s %6s %8s %8s %7s %7s %7s %5s %7s\n", "placer", "reuse", "elsewhr", "skew", "above", "load",
		"ttft50", "ttft95", "itl95", "wait95", "refused", "lost", "broken")
	for _, f := range rows {
		text += fmt.Sprintf("%-28s %7.4f %7.4f %7.3f %7.2f %6.2f %8.1f %8.1f %7.2f %7.1f %7d %5d %7d\n", f.Placer, f.ReuseRatio, f.CachedElsewhereRatio, f.LoadSkew,
			f.AboveBoundSeconds, f.MeanLoad, f.TTFT.P50, f.TTFT.P95, f.ITL.P95, f.WaitByClass["normal"].P95, f.Refused, f.Lost, f.Interrupted+f.Unknown)
	}
	for _, v := range r.Verdicts {
		mark := "holds"
		if !v.Passed {
			mark = "short"
		}
		text += fmt.Sprintf("%s: %s: %s\n", mark, v.Requirement, v.Measured)
	}
	_, err := io.WriteString(w, text)
	return eris.Wrap(err, "write the figures")
}

// List prints the built-in scenarios.
type List struct{}

// Run prints one line for each scenario.
func (List) Run() error {
	for _, scenario := range Scenarios() {
		if _, err := fmt.Printf("%-11s %s\n", scenario.Name, scenario.Description); err != nil {
			return eris.Wrap(err, "print the scenarios")
		}
	}
	return nil
}

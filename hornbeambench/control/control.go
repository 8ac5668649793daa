// Package control measures the control traffic between routers. It also simulates fleets in virtual
// time, to count this traffic and to check how they handle faults.
package control

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
)

// The resource budget of one router from docs/design.md. budgetCPUPercent is in percent of a core.
const (
	budgetBytesPerSecond = 10_000
	budgetCPUPercent     = 4.1
	budgetMemoryBytes    = 128e6
	// designRouters is the fleet size that the design has to support, and designChangesPerDay the
	// number of configuration changes per day.
	designRouters       = 340
	designChangesPerDay = 430
)

// Command measures the control traffic of routers. They run the daemon's own peer.Node in this
// process and communicate over loopback TCP with mutual TLS.
type Command struct {
	Sizes   []int         `help:"Fleet sizes to measure, in routers." default:"8,16,32,64"`
	Settle  time.Duration `help:"Time between the start and the measurement; idle connections close within 30 s." default:"40s"`
	Window  time.Duration `help:"Length of the steady-state measurement." default:"30s"`
	Changes int           `help:"Number of configuration changes to measure, each of one file." default:"5"`
	Uniform bool          `help:"Ping random members instead of a few peers, for comparison."`
	// Connections is the maximum number of connections of a router. A lower limit saves file
	// descriptors: both ends of each connection are in this process, so 200 routers at the default
	// limit need more than 20,000 descriptors while they start.
	Connections int    `help:"Maximum number of connections of a router; 0 for the default."`
	Plain       bool   `help:"Connect without TLS, for comparison."`
	JSON        string `help:"Write the report to this file." type:"path"`
}

// Cost is the mean resource usage of one router.
type Cost struct {
	// BytesPerSecond is the greater of SentPerSecond and ReceivedPerSecond, which are bytes/s on the
	// wire including TLS.
	BytesPerSecond    float64 `json:"bytes"`
	SentPerSecond     float64 `json:"sent"`
	ReceivedPerSecond float64 `json:"received"`
	// MethodBytesPerSecond holds the encoded bytes/s by method, the sum of sent and received.
	MethodBytesPerSecond map[string]float64 `json:"kinds"`
	// DialsPerSecond is the number of connections opened per second.
	DialsPerSecond float64 `json:"dials"`
	// CPUPercent is the CPU usage in percent of a core, MemoryBytes the size of heap and stacks.
	CPUPercent  float64 `json:"core"`
	MemoryBytes float64 `json:"memory"`
}

// Result is the result for one fleet size.
type Result struct {
	Routers int `json:"routers"`
	// JoinSeconds is the time until every router knows all members and its ownership snapshot is
	// trusted (see owner.Snapshot).
	JoinSeconds float64 `json:"joined"`
	// Steady is the cost while the configuration does not change.
	Steady Cost `json:"steady"`
	// FullCopyBytes is the mean number of bytes that a router receives for the first full copy of the
	// configuration, and ChangeBytes that for a change of one file. MaxActivationSeconds is the
	// longest time until such a change was active on all routers.
	FullCopyBytes        float64 `json:"whole"`
	ChangeBytes          float64 `json:"change"`
	MaxActivationSeconds float64 `json:"force"`
}

// Report is the result of Command.
type Report struct {
	Uniform bool           `json:"uniform"`
	TLS     bool           `json:"tls"`
	Seed    uint64         `json:"seed"`
	Sizes   []Result       `json:"sizes"`
	Fits    map[string]Fit `json:"fits"`
}

// Run measures all sizes, prints the report, and saves it if JSON is set.
func (c *Command) Run(ctx context.Context) error {
	return c.Write(ctx, os.Stdout)
}

// Write measures all sizes, prints the report to w, and saves it if JSON is set.
func (c *Command) Write(ctx context.Context, w io.Writer) error {
	if len(c.Sizes) == 0 {
		return eris.New("no fleet sizes given: set --sizes, such as 8,16,32,64")
	}
	report := Report{Uniform: c.Uniform, TLS: !c.Plain, Seed: randomSeed}
	for _, n := range c.Sizes {
		s, err := c.measure(ctx, n)
		if err != nil {
			return eris.Wrapf(err, "measure %d routers", n)
		}
		report.Sizes = append(report.Sizes, s)
		if err := c.save(report); err != nil {
			return err
		}
	}
	report.Fits = fitAll(report.Sizes)
	if err := writeText(w, report); err != nil {
		return err
	}
	return c.save(report)
}

// save writes the report to the JSON file, if one is set. It is called after each size so that an
// aborted run keeps the results so far: a run over many sizes takes long.
func (c *Command) save(report Report) error {
	if c.JSON == "" {
		return nil
	}
	data, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(c.JSON, append(data, '\n'), 0o644)
}

// fitAll fits each cost as a linear function of the fleet size. It returns nil for fewer than three
// sizes, which a fit needs.
func fitAll(sizes []Result) map[string]Fit {
	if len(sizes) < 3 {
		return nil
	}
	out := map[string]Fit{}
	for name, value := range map[string]func(Result) float64{
		"bytes":  func(s Result) float64 { return s.Steady.BytesPerSecond },
		"core":   func(s Result) float64 { return s.Steady.CPUPercent },
		"memory": func(s Result) float64 { return s.Steady.MemoryBytes },
		"change": func(s Result) float64 { return s.ChangeBytes },
	} {
		var x, y []float64
		for _, s := range sizes {
			x, y = append(x, float64(s.Routers)), append(y, value(s))
		}
		out[name] = FitLine(x, y, designRouters)
	}
	return out
}

func writeText(out io.Writer, r Report) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	row := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\t\n", args...) }
	row("routers\tjoined s\tbytes/s\tsent/s\treceived/s\tdials/s\t%% core\tMB\twhole copy\tper change\tin force s")
	for _, s := range r.Sizes {
		row("%d\t%.1f\t%.0f\t%.0f\t%.0f\t%.2f\t%.2f\t%.1f\t%.0f\t%.0f\t%.2f", s.Routers, s.JoinSeconds, s.Steady.BytesPerSecond, s.Steady.SentPerSecond,
			s.Steady.ReceivedPerSecond, s.Steady.DialsPerSecond, s.Steady.CPUPercent, s.Steady.MemoryBytes/1e6, s.FullCopyBytes, s.ChangeBytes, s.MaxActivationSeconds)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	w = tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	row("\nencoded bytes/s\tping\tprobe\tsync\tload\tannounce\tfetch\thello")
	for _, s := range r.Sizes {
		rates := s.Steady.MethodBytesPerSecond
		row("%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f", s.Routers, rates["ping"], rates["probe"], rates["sync"], rates["load"], rates["announce"],
			rates["fetch"], rates["hello"])
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, name := range slices.Sorted(maps.Keys(r.Fits)) {
		f := r.Fits[name]
		_, _ = fmt.Fprintf(out, "%s: %.4g + %.4g per router, at %d: %.4g ± %.2g (standard error of the prediction)\n",
			name, f.Intercept, f.Slope, designRouters, f.Prediction, f.StandardError)
	}
	last := r.Sizes[len(r.Sizes)-1]
	meanRate := func(bytes float64) float64 { return bytes * designChangesPerDay / 86400 }
	_, err := fmt.Fprintf(out, "%d changes a day at %d routers: %.0f bytes/s announced and fetched, %.0f bytes/s pushed whole\n"+
		"budget per router: %d bytes/s, %.1f%% of a core, %.0f MB\n",
		designChangesPerDay, last.Routers, meanRate(last.ChangeBytes), meanRate(last.FullCopyBytes), budgetBytesPerSecond, budgetCPUPercent, budgetMemoryBytes/1e6)
	return err
}

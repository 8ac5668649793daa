// Package control measures the control traffic between routers.
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

// The budget of a router in the design page.
const (
	budgetBytes  = 10_000
	budgetCore   = 4.1
	budgetMemory = 128e6
	// designSize is the number of daemons to design for, designChanges that of configuration changes a day.
	designSize    = 340
	designChanges = 430
)

// Command measures the control traffic of real nodes in one process over loopback TCP with mutual TLS.
type Command struct {
	Sizes   []int         `help:"Numbers of routers to measure." default:"8,16,32,64"`
	Settle  time.Duration `help:"Time between the start and the measurement; idle connections close within 30 s." default:"40s"`
	Window  time.Duration `help:"Length of the steady state that is measured." default:"30s"`
	Changes int           `help:"Configuration changes of one file each that are measured." default:"5"`
	Uniform bool          `help:"Ping any member instead of a few peers, for comparison."`
	// Both ends of each connection are in this process: 200 routers at the default limit need more than 20,000 descriptors
	// while they start.
	Connections int    `help:"Greatest number of connections of a router; 0 for the default."`
	Plain       bool   `help:"Connect without TLS, for comparison."`
	JSON        string `help:"Write the report to this file." type:"path"`
}

// Cost is what one router spends.
type Cost struct {
	// Bytes is the greater of sent and received bytes a second on the wire, TLS included. Sent and received are given too.
	Bytes    float64 `json:"bytes"`
	Sent     float64 `json:"sent"`
	Received float64 `json:"received"`
	// Kinds holds encoded bytes a second by method, sent and received together.
	Kinds map[string]float64 `json:"kinds"`
	// Dials is the number of connections opened a second.
	Dials float64 `json:"dials"`
	// Core is in percent of a core, Memory in bytes of heap and stacks.
	Core   float64 `json:"core"`
	Memory float64 `json:"memory"`
}

// Size is the result at one number of routers.
type Size struct {
	Routers int     `json:"routers"`
	Joined  float64 `json:"joined"`
	Steady  Cost    `json:"steady"`
	// Whole is the bytes received by each router for a first whole copy of the configuration, Change that for a change of one
	// file, and Force the longest time in seconds until a change was in force everywhere.
	Whole  float64 `json:"whole"`
	Change float64 `json:"change"`
	Force  float64 `json:"force"`
}

// Report is the result of a run.
type Report struct {
	Uniform bool           `json:"uniform"`
	TLS     bool           `json:"tls"`
	Seed    uint64         `json:"seed"`
	Sizes   []Size         `json:"sizes"`
	Fits    map[string]Fit `json:"fits"`
}

// Run carries out the measurement.
func (c *Command) Run(ctx context.Context) error {
	return c.Write(ctx, os.Stdout)
}

// Write carries out the measurement and prints the report.
func (c *Command) Write(ctx context.Context, w io.Writer) error {
	if len(c.Sizes) == 0 {
		return eris.New("no sizes: give --sizes, such as 8,16,32,64")
	}
	report := Report{Uniform: c.Uniform, TLS: !c.Plain, Seed: seed}
	for _, n := range c.Sizes {
		s, err := c.measure(ctx, n)
		if err != nil {
			return eris.Wrapf(err, "%d routers", n)
		}
		report.Sizes = append(report.Sizes, s)
		if err := c.save(report); err != nil {
			return err
		}
	}
	report.Fits = fits(report.Sizes)
	if err := write(w, report); err != nil {
		return err
	}
	return c.save(report)
}

// save writes what is measured so far, since a run over many sizes takes long.
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

func fits(sizes []Size) map[string]Fit {
	if len(sizes) < 3 {
		return nil
	}
	out := map[string]Fit{}
	for name, value := range map[string]func(Size) float64{
		"bytes":  func(s Size) float64 { return s.Steady.Bytes },
		"core":   func(s Size) float64 { return s.Steady.Core },
		"memory": func(s Size) float64 { return s.Steady.Memory },
		"change": func(s Size) float64 { return s.Change },
	} {
		var x, y []float64
		for _, s := range sizes {
			x, y = append(x, float64(s.Routers)), append(y, value(s))
		}
		out[name] = Line(x, y, designSize)
	}
	return out
}

func write(out io.Writer, r Report) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	row := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\t\n", args...) }
	row("routers\tjoined s\tbytes/s\tsent/s\treceived/s\tdials/s\t%% core\tMB\twhole copy\tper change\tin force s")
	for _, s := range r.Sizes {
		row("%d\t%.1f\t%.0f\t%.0f\t%.0f\t%.2f\t%.2f\t%.1f\t%.0f\t%.0f\t%.2f", s.Routers, s.Joined, s.Steady.Bytes, s.Steady.Sent,
			s.Steady.Received, s.Steady.Dials, s.Steady.Core, s.Steady.Memory/1e6, s.Whole, s.Change, s.Force)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	w = tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	row("\nencoded bytes/s\tping\tprobe\tsync\tload\tannounce\tfetch\thello")
	for _, s := range r.Sizes {
		k := s.Steady.Kinds
		row("%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f", s.Routers, k["ping"], k["probe"], k["sync"], k["load"], k["announce"],
			k["fetch"], k["hello"])
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, name := range slices.Sorted(maps.Keys(r.Fits)) {
		f := r.Fits[name]
		_, _ = fmt.Fprintf(out, "%s: %.4g + %.4g per router, at %d: %.4g ± %.2g (standard error of the prediction)\n",
			name, f.Start, f.Slope, designSize, f.Value, f.Error)
	}
	last := r.Sizes[len(r.Sizes)-1]
	perDay := func(bytes float64) float64 { return bytes * designChanges / 86400 }
	_, err := fmt.Fprintf(out, "%d changes a day at %d routers: %.0f bytes/s announced and fetched, %.0f bytes/s pushed whole\n"+
		"budget per router: %d bytes/s, %.1f%% of a core, %.0f MB\n",
		designChanges, last.Routers, perDay(last.Change), perDay(last.Whole), budgetBytes, budgetCore, budgetMemory/1e6)
	return err
}

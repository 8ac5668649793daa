// Package variants compares three designs of admission in a small model in virtual time.
package variants

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"text/tabwriter"
)

// Command runs the comparison.
type Command struct {
	Sizes   []int   `help:"Numbers of routers." default:"6,32,340"`
	Seeds   []int   `help:"Seeds; the figures are means over them." default:"1,2,3"`
	Seconds int     `help:"Length of a run in virtual time." default:"60"`
	Strayed float64 `help:"Share of requests that reach a router other than the owner of their home engine." default:"0.1"`
	Trend   bool    `help:"Extrapolate a falling mean." default:"true" negatable:""`
	JSON    string  `help:"Write the results to this file." type:"path"`
}

// Result is one design at one size.
type Result struct {
	Design  string `json:"design"`
	Routers int    `json:"routers"`
	Engines int    `json:"engines"`
	// Bytes is the control traffic of a router, sent and received, in bytes a second.
	Bytes float64 `json:"bytes"`
	// Skew is the greatest load over the mean load, averaged over the run; Peak is its maximum.
	Skew float64 `json:"skew"`
	Peak float64 `json:"peak"`
	// Above is the time in seconds in which an engine was above the bound.
	Above float64 `json:"above"`
	// Home is the share of requests that ran on their home engine, Waited the share that waited and Delay the mean wait over
	// all requests, in seconds.
	Home   float64 `json:"home"`
	Waited float64 `json:"waited"`
	Delay  float64 `json:"delay"`
}

// Run carries out the comparison.
func (c *Command) Run() error { return c.Write(os.Stdout) }

// Write carries out the comparison and prints a table.
func (c *Command) Write(out io.Writer) error {
	var results []Result
	for _, size := range c.Sizes {
		for _, design := range Designs {
			results = append(results, c.mean(design, size))
		}
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "routers\tengines\tdesign\tbytes/s\tskew\tpeak\ts above\thome\twaited\tdelay s\t")
	for _, r := range results {
		_, _ = fmt.Fprintf(w, "%d\t%d\t%s\t%.0f\t%.3f\t%.2f\t%.1f\t%.3f\t%.3f\t%.3f\t\n", r.Routers, r.Engines, r.Design, r.Bytes, r.Skew,
			r.Peak, r.Above, r.Home, r.Waited, r.Delay)
	}
	if err := w.Flush(); err != nil || c.JSON == "" {
		return err
	}
	data, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(c.JSON, append(data, '\n'), 0o644)
}

func (c *Command) mean(design string, size int) Result {
	sum := Result{}
	for _, seed := range c.Seeds {
		r := Simulate(Setup{Design: design, Routers: size, Seed: uint64(seed), Seconds: c.Seconds, Strayed: c.Strayed, Trend: c.Trend})
		n := float64(len(c.Seeds))
		sum.Design, sum.Routers, sum.Engines = r.Design, r.Routers, r.Engines
		sum.Bytes += r.Bytes / n
		sum.Skew += r.Skew / n
		sum.Peak = math.Max(sum.Peak, r.Peak)
		sum.Above += r.Above / n
		sum.Home += r.Home / n
		sum.Waited += r.Waited / n
		sum.Delay += r.Delay / n
	}
	return sum
}

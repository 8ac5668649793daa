// Package variants compares three designs of admission control by simulation in virtual time.
package variants

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"text/tabwriter"
)

// Command is the variants command of hornbeambench.
type Command struct {
	Sizes   []int   `help:"Fleet sizes to simulate, as numbers of routers." default:"6,32,340"`
	Seeds   []int   `help:"Random seeds; the results are means over all seeds, except peak, which is the maximum." default:"1,2,3"`
	Seconds int     `help:"Length of a run in virtual time." default:"60"`
	Strayed float64 `help:"Ratio of requests that first reach a router other than the owner of their home engine." default:"0.1"`
	Trend   bool    `help:"Let routers extrapolate a falling mean load." default:"true" negatable:""`
	JSON    string  `help:"Also write the results as JSON to this file." type:"path"`
}

// Result holds the measurements of one design at one fleet size.
type Result struct {
	Design  string `json:"design"`
	Routers int    `json:"routers"`
	Engines int    `json:"engines"`
	// ControlBytesPerSecond is the control traffic of one router, sent and received.
	ControlBytesPerSecond float64 `json:"bytes"`
	// MeanSkew is the maximum load of an engine divided by the mean load, averaged over the run.
	// PeakSkew is the maximum of this ratio.
	MeanSkew float64 `json:"skew"`
	PeakSkew float64 `json:"peak"`
	// SecondsAboveBound is the time in which an engine exceeded the load bound by more than the
	// allowance of one request.
	SecondsAboveBound float64 `json:"above"`
	// HomeRatio is the ratio of requests that ran on their home engine, the first candidate.
	// WaitedRatio is the ratio of requests that waited before they started.
	// MeanWaitSeconds is the mean wait over all requests.
	HomeRatio       float64 `json:"home"`
	WaitedRatio     float64 `json:"waited"`
	MeanWaitSeconds float64 `json:"delay"`
}

// Run prints the comparison to standard output.
func (c *Command) Run() error { return c.Compare(os.Stdout) }

// Compare simulates each design at each fleet size and prints the results as a table.
func (c *Command) Compare(out io.Writer) error {
	var results []Result
	for _, size := range c.Sizes {
		for _, design := range Designs {
			results = append(results, c.meanResult(design, size))
		}
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "routers\tengines\tdesign\tbytes/s\tskew\tpeak\ts above\thome\twaited\tdelay s\t")
	for _, r := range results {
		_, _ = fmt.Fprintf(w, "%d\t%d\t%s\t%.0f\t%.3f\t%.2f\t%.1f\t%.3f\t%.3f\t%.3f\t\n", r.Routers, r.Engines, r.Design, r.ControlBytesPerSecond, r.MeanSkew,
			r.PeakSkew, r.SecondsAboveBound, r.HomeRatio, r.WaitedRatio, r.MeanWaitSeconds)
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

// meanResult averages the results over all seeds, except the peak skew, which is the maximum.
func (c *Command) meanResult(design string, size int) Result {
	mean := Result{}
	for _, seed := range c.Seeds {
		result := Simulate(Parameters{Design: design, Routers: size, Seed: uint64(seed), DurationSeconds: c.Seconds, NonOwnerRatio: c.Strayed, ExtrapolateMean: c.Trend})
		n := float64(len(c.Seeds))
		mean.Design, mean.Routers, mean.Engines = result.Design, result.Routers, result.Engines
		mean.ControlBytesPerSecond += result.ControlBytesPerSecond / n
		mean.MeanSkew += result.MeanSkew / n
		mean.PeakSkew = math.Max(mean.PeakSkew, result.PeakSkew)
		mean.SecondsAboveBound += result.SecondsAboveBound / n
		mean.HomeRatio += result.HomeRatio / n
		mean.WaitedRatio += result.WaitedRatio / n
		mean.MeanWaitSeconds += result.MeanWaitSeconds / n
	}
	return mean
}

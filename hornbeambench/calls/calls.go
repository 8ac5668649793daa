// Package calls measures what whole daemons cost the platform, the engines and their own instances while no caller is there.
package calls

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime"
	"syscall"
	"text/tabwriter"
	"time"

	"hornbeamstep.example/hornbeambench/control"
	"hornbeamstep.example/ports/objectapi"
)

// designRouters and designEngines are the sizes of the design page.
const (
	designRouters = 340
	designEngines = 600
)

// Command runs whole daemons without callers and counts what they cost.
type Command struct {
	Routers  []int         `help:"Numbers of daemons to measure, with the engines of --engines." default:"6,12,24,48"`
	Engines  []int         `help:"Numbers of engines to measure, with the daemons of --fixed." default:"9,18,36"`
	Fixed    int           `help:"Number of daemons while the engines vary." default:"6"`
	Settle   time.Duration `help:"Time between the start and the measurement." default:"20s"`
	Window   time.Duration `help:"Length of the measurement." default:"20s"`
	Recovery bool          `help:"Measure cold starts, the cache reuse after a restart of all daemons, and the cost of one restart in place of the steady cost."`
	JSON     string        `help:"Write the report to this file." type:"path"`
}

// Point is the result at one size.
type Point struct {
	Routers int `json:"routers"`
	Engines int `json:"engines"`
	// Ready is the time in seconds from the start of all daemons to the last one that is ready.
	Ready float64 `json:"ready"`
	// Reads, Writes and Watches are calls to the object API a second, of all daemons together.
	Reads   float64 `json:"reads"`
	Writes  float64 `json:"writes"`
	Watches float64 `json:"watches"`
	// Up and Down are bytes a second between one engine and its owner, of load reports and cache events.
	Up   float64 `json:"up"`
	Down float64 `json:"down"`
	// Core is the processor time of one daemon in percent of a core, with its share of the stand-ins; Memory is its heap and
	// stacks in bytes, with the same share.
	Core   float64 `json:"core"`
	Memory float64 `json:"memory"`
}

// Report is the result of all sizes.
type Report struct {
	Points []Point `json:"points"`
	// ByRouters and ByEngines are straight lines through the calls to the object API a second, at the sizes of the design page.
	ByRouters control.Fit `json:"byrouters"`
	ByEngines control.Fit `json:"byengines"`
}

// Run runs the command.
func (c *Command) Run(ctx context.Context) error {
	if c.Recovery {
		return c.recover(ctx, os.Stdout)
	}
	var report Report
	for _, n := range c.Routers {
		if err := c.add(ctx, &report, n, c.Engines[0]); err != nil {
			return err
		}
	}
	for _, n := range c.Engines[1:] {
		if err := c.add(ctx, &report, c.Fixed, n); err != nil {
			return err
		}
	}
	report.fit(c.Engines[0], c.Fixed)
	if err := report.print(os.Stdout); err != nil {
		return err
	}
	if c.JSON == "" {
		return nil
	}
	data, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(c.JSON, data, 0o644)
}

func (c *Command) add(ctx context.Context, report *Report, routers, engines int) error {
	_, _ = fmt.Fprintf(os.Stderr, "measuring %d daemons and %d engines\n", routers, engines)
	p, err := c.measure(ctx, routers, engines)
	report.Points = append(report.Points, p)
	return err
}

func (c *Command) measure(ctx context.Context, routers, engines int) (Point, error) {
	p := Point{Routers: routers, Engines: engines}
	w, err := start(routers, engines)
	if err != nil {
		return p, err
	}
	defer w.close()
	begin := time.Now()
	if err := w.ready(ctx); err != nil {
		return p, err
	}
	p.Ready = time.Since(begin).Seconds()
	if err := sleep(ctx, c.Settle); err != nil {
		return p, err
	}
	calls, up, down, core := w.platform.Store.Counts(), w.up.Load(), w.down.Load(), processor()
	if err := sleep(ctx, c.Window); err != nil {
		return p, err
	}
	seconds := c.Window.Seconds()
	p.count(calls, w.platform.Store.Counts(), seconds)
	p.Up = float64(w.up.Load()-up) / seconds / float64(engines)
	p.Down = float64(w.down.Load()-down) / seconds / float64(engines)
	p.Core = 100 * (processor() - core).Seconds() / seconds / float64(routers)
	p.Memory = memory() / float64(routers)
	return p, nil
}

func (p *Point) count(before, after objectapi.Counts, seconds float64) {
	p.Reads = float64(after.Reads()-before.Reads()-after.Watch+before.Watch) / seconds
	p.Writes = float64(after.Writes()-before.Writes()) / seconds
	p.Watches = float64(after.Watch-before.Watch) / seconds
}

// all is the number of calls a second of every kind.
func (p Point) all() float64 { return p.Reads + p.Writes + p.Watches }

func (r *Report) fit(engines, routers int) {
	var x, y, u, v []float64
	for _, p := range r.Points {
		if p.Engines == engines {
			x, y = append(x, float64(p.Routers)), append(y, p.all())
		}
		if p.Routers == routers {
			u, v = append(u, float64(p.Engines)), append(v, p.all())
		}
	}
	if len(x) > 2 {
		r.ByRouters = control.FitLine(x, y, designRouters)
	}
	if len(u) > 2 {
		r.ByEngines = control.FitLine(u, v, designEngines)
	}
}

func (r *Report) print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	// A failed write shows at Flush.
	_, _ = fmt.Fprintln(w, "daemons\tengines\tready s\treads/s\twrites/s\twatches/s\tup B/s\tdown B/s\tcore %\tMB\t")
	for _, p := range r.Points {
		_, _ = fmt.Fprintf(w, "%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.0f\t%.0f\t%.2f\t%.1f\t\n", p.Routers, p.Engines, p.Ready, p.Reads, p.Writes,
			p.Watches, p.Up, p.Down, p.Core, p.Memory/1e6)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "calls to the object API a second: %.3f for each daemon, %.0f ± %.0f at %d; %.3f for each engine, %.0f ± %.0f at %d\n",
		r.ByRouters.Slope, r.ByRouters.Prediction, r.ByRouters.StandardError, designRouters, r.ByEngines.Slope, r.ByEngines.Prediction, r.ByEngines.StandardError, designEngines)
	return err
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// processor returns the processor time of this process.
func processor() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func memory() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// Package calls measures the idle cost of complete router daemons: the object API calls, control
// traffic to engines, processor time and memory that they use without any client requests. It also
// measures recovery after cold starts and restarts.
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

// designRouters and designEngines are the fleet size that docs/design.md specifies. Results for
// smaller fleets are extrapolated to it.
const (
	designRouters = 340
	designEngines = 600
)

// Command runs router daemons in this process and measures their idle cost or, with Recovery, their
// recovery.
type Command struct {
	Routers  []int         `help:"Numbers of daemons to measure, each with the first number of engines in --engines." default:"6,12,24,48"`
	Engines  []int         `help:"Numbers of engines to measure. The first applies to all runs of --routers, the others are measured with --fixed daemons." default:"9,18,36"`
	Fixed    int           `help:"Number of daemons while the number of engines varies." default:"6"`
	Settle   time.Duration `help:"Time from readiness of all daemons to the start of the measurement." default:"20s"`
	Window   time.Duration `help:"Duration of the measurement." default:"20s"`
	Recovery bool          `help:"Instead of the idle cost, measure cold starts, cache reuse after a restart of all daemons, and the cost of restarting one daemon."`
	JSON     string        `help:"Write the report to this file as JSON. Ignored with --recovery." type:"path"`
}

// Measurement is the result for one fleet size.
type Measurement struct {
	Routers int `json:"routers"`
	Engines int `json:"engines"`
	// ReadySeconds is the time from the start of the daemons until all are ready.
	ReadySeconds float64 `json:"ready"`
	// ReadsPerSecond, WritesPerSecond and WatchesPerSecond are the rates of object API calls of all
	// daemons together. Reads do not include watches.
	ReadsPerSecond   float64 `json:"reads"`
	WritesPerSecond  float64 `json:"writes"`
	WatchesPerSecond float64 `json:"watches"`
	// BytesToEnginePerSecond and BytesFromEnginePerSecond are the traffic between one engine and its
	// owner, for load reports and cache events. The owner of an engine is the router that collects
	// these.
	BytesToEnginePerSecond   float64 `json:"up"`
	BytesFromEnginePerSecond float64 `json:"down"`
	// CPUPercent is the processor time per daemon in percent of a core, and MemoryBytes the heap and
	// stack memory per daemon. Both are totals of this process divided by the number of daemons, so
	// they include the simulated platform and engines.
	CPUPercent  float64 `json:"core"`
	MemoryBytes float64 `json:"memory"`
}

// Report is the result for all fleet sizes.
type Report struct {
	Measurements []Measurement `json:"points"`
	// FitByRouters and FitByEngines are linear fits of the rate of all object API calls over the
	// number of routers and of engines, with predictions for designRouters and designEngines.
	FitByRouters control.Fit `json:"byrouters"`
	FitByEngines control.Fit `json:"byengines"`
}

// Run measures all configured fleet sizes, or the recovery, and prints the results.
func (c *Command) Run(ctx context.Context) error {
	if c.Recovery {
		return c.measureRecovery(ctx, os.Stdout)
	}
	var report Report
	for _, n := range c.Routers {
		if err := c.measureAndAdd(ctx, &report, n, c.Engines[0]); err != nil {
			return err
		}
	}
	for _, n := range c.Engines[1:] {
		if err := c.measureAndAdd(ctx, &report, c.Fixed, n); err != nil {
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

func (c *Command) measureAndAdd(ctx context.Context, report *Report, routers, engines int) error {
	_, _ = fmt.Fprintf(os.Stderr, "measuring %d daemons with %d engines\n", routers, engines)
	m, err := c.measure(ctx, routers, engines)
	report.Measurements = append(report.Measurements, m)
	return err
}

func (c *Command) measure(ctx context.Context, routers, engines int) (Measurement, error) {
	m := Measurement{Routers: routers, Engines: engines}
	tb, err := startTestbed(routers, engines)
	if err != nil {
		return m, err
	}
	defer tb.close()
	begin := time.Now()
	if err := tb.waitReady(ctx); err != nil {
		return m, err
	}
	m.ReadySeconds = time.Since(begin).Seconds()
	if err := sleep(ctx, c.Settle); err != nil {
		return m, err
	}
	callsBefore, toEnginesBefore, fromEnginesBefore, cpuBefore := tb.platform.Store.Counts(), tb.bytesToEngines.Load(), tb.bytesFromEngines.Load(), cpuTime()
	if err := sleep(ctx, c.Window); err != nil {
		return m, err
	}
	seconds := c.Window.Seconds()
	m.setCallRates(callsBefore, tb.platform.Store.Counts(), seconds)
	m.BytesToEnginePerSecond = float64(tb.bytesToEngines.Load()-toEnginesBefore) / seconds / float64(engines)
	m.BytesFromEnginePerSecond = float64(tb.bytesFromEngines.Load()-fromEnginesBefore) / seconds / float64(engines)
	m.CPUPercent = 100 * (cpuTime() - cpuBefore).Seconds() / seconds / float64(routers)
	m.MemoryBytes = memoryInUse() / float64(routers)
	return m, nil
}

func (m *Measurement) setCallRates(before, after objectapi.Counts, seconds float64) {
	m.ReadsPerSecond = float64(after.Reads()-before.Reads()-after.Watch+before.Watch) / seconds
	m.WritesPerSecond = float64(after.Writes()-before.Writes()) / seconds
	m.WatchesPerSecond = float64(after.Watch-before.Watch) / seconds
}

// callsPerSecond returns the rate of object API calls of all kinds.
func (m Measurement) callsPerSecond() float64 {
	return m.ReadsPerSecond + m.WritesPerSecond + m.WatchesPerSecond
}

func (r *Report) fit(constantEngines, constantRouters int) {
	var routerCounts, callsByRouters, engineCounts, callsByEngines []float64
	for _, m := range r.Measurements {
		if m.Engines == constantEngines {
			routerCounts, callsByRouters = append(routerCounts, float64(m.Routers)), append(callsByRouters, m.callsPerSecond())
		}
		if m.Routers == constantRouters {
			engineCounts, callsByEngines = append(engineCounts, float64(m.Engines)), append(callsByEngines, m.callsPerSecond())
		}
	}
	if len(routerCounts) > 2 {
		r.FitByRouters = control.FitLine(routerCounts, callsByRouters, designRouters)
	}
	if len(engineCounts) > 2 {
		r.FitByEngines = control.FitLine(engineCounts, callsByEngines, designEngines)
	}
}

func (r *Report) print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	// Flush returns the error of a failed write.
	_, _ = fmt.Fprintln(table, "daemons\tengines\tready s\treads/s\twrites/s\twatches/s\tup B/s\tdown B/s\tcore %\tMB\t")
	for _, m := range r.Measurements {
		_, _ = fmt.Fprintf(table, "%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.0f\t%.0f\t%.2f\t%.1f\t\n", m.Routers, m.Engines, m.ReadySeconds, m.ReadsPerSecond, m.WritesPerSecond,
			m.WatchesPerSecond, m.BytesToEnginePerSecond, m.BytesFromEnginePerSecond, m.CPUPercent, m.MemoryBytes/1e6)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "calls to the object API a second: %.3f for each daemon, %.0f ± %.0f at %d; %.3f for each engine, %.0f ± %.0f at %d\n",
		r.FitByRouters.Slope, r.FitByRouters.Prediction, r.FitByRouters.StandardError, designRouters, r.FitByEngines.Slope, r.FitByEngines.Prediction, r.FitByEngines.StandardError, designEngines)
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

// cpuTime returns the user and system processor time of this process, or 0 if it is unavailable.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memoryInUse returns the heap and stack bytes of this process after a garbage collection.
func memoryInUse() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapInuse + stats.StackInuse)
}

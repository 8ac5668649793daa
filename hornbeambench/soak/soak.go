// Package soak tests real router processes with fake backend servers and a fake metadata store. It
// injects random faults from outside the processes and checks what callers and backend servers
// observe against the guarantees in the platform's rules. The output of the soak calls these
// guarantees promises.
package soak

import (
	"context"
	_ "embed"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// ErrGuaranteeViolated is returned if a guarantee was violated or a seed could not be checked.
var ErrGuaranteeViolated = errors.New("a guarantee was violated or a seed was not checked; see the output above and the router logs in the output folder")

// Commands holds the subcommands. Store and Server run the processes that Run starts.
type Commands struct {
	Run    RunCommand    `cmd:"" default:"withargs" help:"Run one or more seeds."`
	Store  StoreCommand  `cmd:"" hidden:"" help:"Run the fake metadata store of a soak."`
	Server ServerCommand `cmd:"" hidden:"" help:"Run a fake backend server of a soak."`
}

// RunCommand runs a soak for each of several seeds.
type RunCommand struct {
	Daemon   string `help:"Path of the router program." type:"existingfile" default:"out/bin/hornbeamd"`
	Previous string `help:"Path of an earlier release of the router program. Every second router starts with it, and each restart of a router switches between both." type:"existingfile" optional:""`

	Seed  uint64   `help:"First seed; 0 uses the current time."`
	Seeds []uint64 `help:"Seeds to run; replaces --seed and --count." placeholder:"N"`

	Regressions bool `help:"Run the seeds that have violated a guarantee before, and those of --seeds."`

	Count       int           `help:"Number of consecutive seeds." default:"1"`
	Jobs        int           `help:"Maximum number of seeds that run at the same time." default:"2"`
	Routers     int           `help:"Number of routers in each run." default:"4"`
	Callers     int           `help:"Number of callers in each run." default:"16"`
	FaultWindow time.Duration `name:"trouble" help:"Period in which events (faults and planned work) begin." default:"12s"`
	Out         string        `help:"Folder for logs, with one subfolder for each seed that violated a guarantee or failed with an error." type:"path" default:"out/soak"`
}

const (
	// warmupTime is the time for the routers to discover each other before traffic starts.
	warmupTime = 3 * time.Second
	// postRecoveryTime is the time of traffic after maxRecoveryTime, to check that requests are
	// served again.
	postRecoveryTime = 3 * time.Second
	// minStall is the minimum length of a pause of this program that is recorded as a stall of the
	// machine. A stall counts as a disruption of the store and of all routers and servers, because
	// time limits cannot be checked while the machine is too busy.
	minStall = 150 * time.Millisecond
	// firstSubnet is the second byte of the IP addresses of the first job's routers, which are in
	// 127.200.0.0/16. Each further job uses the next number.
	firstSubnet = 200
)

// Run runs the command until all seeds are done or ctx is canceled.
func (c *RunCommand) Run(ctx context.Context) error {
	benchProgram, err := os.Executable()
	if err != nil {
		return eris.Wrap(err, "find the path of this program")
	}
	seeds := c.seeds()
	queue := make(chan uint64, len(seeds))
	for _, s := range seeds {
		queue <- s
	}
	close(queue)
	var mu sync.Mutex
	failed := false
	var jobs sync.WaitGroup
	for job := range max(1, c.Jobs) {
		jobs.Go(func() {
			for seed := range queue {
				if ctx.Err() != nil {
					return
				}
				violations, summary, err := c.runSeed(ctx, benchProgram, seed, firstSubnet+job)
				mu.Lock()
				failed = failed || err != nil || len(violations) > 0
				c.printResult(seed, violations, summary, err)
				mu.Unlock()
			}
		})
	}
	jobs.Wait()
	if ctx.Err() != nil {
		return eris.Wrap(ctx.Err(), "the soak was canceled before all seeds were done")
	}
	if failed {
		return ErrGuaranteeViolated
	}
	return nil
}

//go:embed seeds.txt
var seedsText string

// regressionSeeds returns the seeds in a text with the format of seeds.txt: each line contains a
// seed, a space and the cause of the violation.
func regressionSeeds(text string) []uint64 {
	var seeds []uint64
	for line := range strings.Lines(text) {
		number, _, _ := strings.Cut(line, " ")
		// Lines that do not start with a number are comments.
		if seed, err := strconv.ParseUint(number, 10, 64); err == nil {
			seeds = append(seeds, seed)
		}
	}
	return seeds
}

// seeds returns the seeds that the flags select.
func (c *RunCommand) seeds() []uint64 {
	if c.Regressions {
		return append(regressionSeeds(seedsText), c.Seeds...)
	}
	if len(c.Seeds) > 0 {
		return c.Seeds
	}
	first := c.Seed
	if first == 0 {
		first = uint64(time.Now().Unix())
	}
	var seeds []uint64
	for i := range c.Count {
		seeds = append(seeds, first+uint64(i))
	}
	return seeds
}

func (c *RunCommand) printResult(seed uint64, violations []violation, summary string, err error) {
	switch {
	case err != nil:
		fmt.Printf("seed %d: not judged: %v\n", seed, err)
	case len(violations) == 0:
		fmt.Printf("seed %d: kept all promises; %s\n", seed, summary)
	default:
		fmt.Printf("seed %d: %d broken; %s\n", seed, len(violations), summary)
	}
	const maxPrinted = 8
	for _, v := range violations[:min(maxPrinted, len(violations))] {
		fmt.Printf("  %s\n", v)
	}
}

// runSeed runs a soak for one seed and returns the violations and a summary. It deletes the output
// folder of the seed if there is no violation or error.
func (c *RunCommand) runSeed(ctx context.Context, benchProgram string, seed uint64, subnet int) ([]violation, string, error) {
	outputFolder := filepath.Join(c.Out, fmt.Sprint(seed))
	tb, err := newTestbed(routerPrograms{c.Daemon, c.Previous}, benchProgram, outputFolder, subnet, c.Routers)
	if tb != nil {
		defer tb.close()
	}
	if err != nil {
		return nil, "", err
	}
	trafficCtx, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()
	var callers sync.WaitGroup
	time.Sleep(warmupTime)
	for i := range c.Callers {
		caller := &caller{testbed: tb, random: rand.New(rand.NewPCG(seed, uint64(i+1))), name: fmt.Sprintf("c%d", i)}
		callers.Go(func() { caller.run(trafficCtx) })
	}
	go tb.watchStalls(trafficCtx)
	tb.takeUpInTouch(ctx)
	events := randomEvents(seed, c.FaultWindow)
	err = tb.injectAll(ctx, events)
	tb.observations.mu.Lock()
	tb.observations.eventsEnd = time.Now()
	tb.observations.mu.Unlock()
	sleep(ctx, maxRecoveryTime)
	tb.takeUpInTouch(ctx)
	sleep(ctx, postRecoveryTime)
	stopTraffic()
	callers.Wait()
	// Give the servers time to report the end of their last runs.
	time.Sleep(maxEndDelay)
	violations := tb.observations.check()
	if len(violations) == 0 && err == nil {
		_ = os.RemoveAll(outputFolder)
	} else {
		tb.writeEvents(events, violations)
	}
	return violations, tb.observations.summary(len(events)), err
}

// injectAll injects each event at its planned time and returns when all events have ended.
func (tb *testbed) injectAll(ctx context.Context, events []event) error {
	start := time.Now()
	errs := make(chan error, len(events))
	var running sync.WaitGroup
	for _, e := range events {
		sleep(ctx, time.Until(start.Add(e.At)))
		running.Go(func() { errs <- tb.inject(ctx, e) })
	}
	running.Wait()
	close(errs)
	var joined error
	for err := range errs {
		joined = errors.Join(joined, err)
	}
	return joined
}

// watchStalls records the periods in which this program did not run. It returns when ctx is
// canceled.
func (tb *testbed) watchStalls(ctx context.Context) {
	const interval = 20 * time.Millisecond
	for last := time.Now(); ctx.Err() == nil; last = time.Now() {
		time.Sleep(interval)
		if now := time.Now(); now.Sub(last) > minStall {
			tb.observations.mu.Lock()
			tb.observations.disruptions = append(tb.observations.disruptions, disruption{
				Kind: "stall of the machine", Router: all, Server: all, Store: true, From: last, To: now,
			})
			tb.observations.mu.Unlock()
		}
	}
}

// writeEvents writes the events, disruptions, violations and requests to events.txt in the output
// folder, for the investigation of a violation or an error.
func (tb *testbed) writeEvents(events []event, violations []violation) {
	var text strings.Builder
	for _, e := range events {
		_, _ = fmt.Fprintf(&text, "%+v\n", e)
	}
	for _, d := range tb.observations.disruptions {
		_, _ = fmt.Fprintf(&text, "%s %s%s planned=%t store=%t %s to %s\n", d.Kind, d.Router, d.Server, d.Planned, d.Store,
			d.From.Format(time.StampMilli), d.To.Format(time.StampMilli))
	}
	for _, v := range violations {
		_, _ = fmt.Fprintln(&text, v)
	}
	for _, r := range tb.observations.requests {
		_, _ = fmt.Fprintf(&text, "request %+v runs %+v\n", r, tb.observations.runs[r.Attempt])
	}
	if err := os.WriteFile(filepath.Join(tb.outputFolder, "events.txt"), []byte(text.String()), 0o600); err != nil {
		fmt.Printf("  events not written: %v\n", err)
	}
}

// summary returns the counts that are printed for a seed.
func (o *observations) summary(eventCount int) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	served, runCount, stalls := 0, 0, 0
	for _, r := range o.requests {
		if r.Status == 200 && !r.Incomplete {
			served++
		}
	}
	for _, runs := range o.runs {
		runCount += len(runs)
	}
	for _, d := range o.disruptions {
		if d.Router == all && d.Server == all {
			stalls++
		}
	}
	resumed, wentOn, _, _ := o.countResumed()
	return fmt.Sprintf("%d events, %d requests, %d served, %d runs, %d versions, %d of %d resumed streams went on, %d stalls of the machine",
		eventCount, len(o.requests), served, runCount, len(o.versions), wentOn, resumed, stalls)
}

// Package soak runs real routers, backend servers and a store as processes, injects random faults from outside, and checks what
// callers and backend servers see against the promises that the platform's rules make.
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

// ErrGuaranteeViolated is returned if a promise was not kept.
var ErrGuaranteeViolated = errors.New("a promise was not kept; see the lines above, and the logs of the routers in the output folder")

// Commands are the group.
type Commands struct {
	Run    RunCommand    `cmd:"" default:"withargs" help:"Run seeds one after another, or several at once."`
	Store  StoreCommand  `cmd:"" hidden:"" help:"Run the store's stand-in for a soak."`
	Server ServerCommand `cmd:"" hidden:"" help:"Run a backend server's stand-in for a soak."`
}

// RunCommand runs seeds.
type RunCommand struct {
	Daemon string   `help:"Program of the router." type:"existingfile" default:"out/bin/hornbeamd"`
	Seed   uint64   `help:"First seed; 0 takes one from the clock."`
	Seeds  []uint64 `help:"Seeds in place of a first one and a number." placeholder:"N"`

	Regressions bool `help:"Run the seeds that have broken a promise before, and those of --seeds."`

	Count       int           `help:"Number of seeds." default:"1"`
	Jobs        int           `help:"Seeds at the same time." default:"2"`
	Routers     int           `help:"Routers in each run." default:"4"`
	Callers     int           `help:"Callers in each run." default:"16"`
	FaultWindow time.Duration `name:"trouble" help:"Time in which faults begin." default:"12s"`
	Out         string        `help:"Folder for logs, one folder for each seed with a broken promise." type:"path" default:"out/soak"`
}

// The times of a run.
const (
	// calmBefore is the time for the fleet to form, and calmAfter the time of service that is judged after the last fault and the
	// time to recover.
	calmBefore = 3 * time.Second
	calmAfter  = 3 * time.Second
	// stall is a pause of this program itself that counts as a fault of everything: the machine is too busy to judge times.
	stall = 150 * time.Millisecond
	// firstNetwork is the second byte of the routers' addresses in the first of the seeds that run at the same time.
	firstNetwork = 200
)

// Run runs the command until ctx ends.
func (c *RunCommand) Run(ctx context.Context) error {
	bench, err := os.Executable()
	if err != nil {
		return eris.Wrap(err, "find this program")
	}
	seeds := c.seeds()
	queue := make(chan uint64, len(seeds))
	for _, s := range seeds {
		queue <- s
	}
	close(queue)
	var mu sync.Mutex
	broken := false
	var jobs sync.WaitGroup
	for job := range max(1, c.Jobs) {
		jobs.Go(func() {
			for seed := range queue {
				if ctx.Err() != nil {
					return
				}
				found, summary, err := c.one(ctx, bench, seed, firstNetwork+job)
				mu.Lock()
				broken = broken || err != nil || len(found) > 0
				c.print(seed, found, summary, err)
				mu.Unlock()
			}
		})
	}
	jobs.Wait()
	if ctx.Err() != nil {
		return eris.Wrap(ctx.Err(), "the soak was ended early")
	}
	if broken {
		return ErrGuaranteeViolated
	}
	return nil
}

//go:embed seeds.txt
var regressions string

// regressionSeeds returns the seeds at the beginnings of the lines of a text.
func regressionSeeds(text string) []uint64 {
	var seeds []uint64
	for line := range strings.Lines(text) {
		number, _, _ := strings.Cut(line, " ")
		// Lines without a number are comments.
		if seed, err := strconv.ParseUint(number, 10, 64); err == nil {
			seeds = append(seeds, seed)
		}
	}
	return seeds
}

func (c *RunCommand) seeds() []uint64 {
	if c.Regressions {
		return append(regressionSeeds(regressions), c.Seeds...)
	}
	if len(c.Seeds) > 0 {
		return c.Seeds
	}
	first := c.Seed
	if first == 0 {
		first = uint64(time.Now().Unix())
	}
	var out []uint64
	for i := range c.Count {
		out = append(out, first+uint64(i))
	}
	return out
}

func (c *RunCommand) print(seed uint64, found []violation, summary string, err error) {
	switch {
	case err != nil:
		fmt.Printf("seed %d: not judged: %v\n", seed, err)
	case len(found) == 0:
		fmt.Printf("seed %d: kept all promises; %s\n", seed, summary)
	default:
		fmt.Printf("seed %d: %d broken; %s\n", seed, len(found), summary)
	}
	const most = 8
	for _, v := range found[:min(most, len(found))] {
		fmt.Printf("  %s\n", v)
	}
}

// one runs a seed. The folder with the logs stays if a promise was broken.
func (c *RunCommand) one(ctx context.Context, bench string, seed uint64, network int) ([]violation, string, error) {
	out := filepath.Join(c.Out, fmt.Sprint(seed))
	w, err := newWorld(c.Daemon, bench, out, network, c.Routers)
	if w != nil {
		defer w.end()
	}
	if err != nil {
		return nil, "", err
	}
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	var callers sync.WaitGroup
	time.Sleep(calmBefore)
	for i := range c.Callers {
		caller := &caller{world: w, random: rand.New(rand.NewPCG(seed, uint64(i+1))), name: fmt.Sprintf("c%d", i)}
		callers.Go(func() { caller.run(traffic) })
	}
	go w.watchStalls(traffic)
	events := draw(seed, c.FaultWindow)
	err = w.play(ctx, events)
	w.evidence.mu.Lock()
	w.evidence.calm = time.Now()
	w.evidence.mu.Unlock()
	pause(ctx, recoverBound+calmAfter)
	stop()
	callers.Wait()
	// What servers wrote last is still on its way.
	time.Sleep(lateEnd)
	found := w.evidence.judge()
	if len(found) == 0 && err == nil {
		_ = os.RemoveAll(out)
	} else {
		w.writeEvents(events, found)
	}
	return found, w.evidence.summary(len(events)), err
}

// play makes the events happen at their times, and returns when all are over.
func (w *world) play(ctx context.Context, events []event) error {
	began := time.Now()
	failed := make(chan error, len(events))
	var running sync.WaitGroup
	for _, e := range events {
		pause(ctx, time.Until(began.Add(e.At)))
		running.Go(func() { failed <- w.inject(ctx, e) })
	}
	running.Wait()
	close(failed)
	var all error
	for err := range failed {
		all = errors.Join(all, err)
	}
	return all
}

// watchStalls notes the times in which this program did not run.
func (w *world) watchStalls(ctx context.Context) {
	const step = 20 * time.Millisecond
	for last := time.Now(); ctx.Err() == nil; last = time.Now() {
		time.Sleep(step)
		if now := time.Now(); now.Sub(last) > stall {
			w.evidence.mu.Lock()
			w.evidence.troubles = append(w.evidence.troubles, trouble{
				Kind: "stall of the machine", Router: all, Server: all, Store: true, From: last, To: now,
			})
			w.evidence.mu.Unlock()
		}
	}
}

// writeEvents keeps what happened beside the logs.
func (w *world) writeEvents(events []event, found []violation) {
	var text strings.Builder
	for _, e := range events {
		_, _ = fmt.Fprintf(&text, "%+v\n", e)
	}
	for _, t := range w.evidence.troubles {
		_, _ = fmt.Fprintf(&text, "%s %s%s planned=%t store=%t %s to %s\n", t.Kind, t.Router, t.Server, t.Planned, t.Store,
			t.From.Format(time.StampMilli), t.To.Format(time.StampMilli))
	}
	for _, v := range found {
		_, _ = fmt.Fprintln(&text, v)
	}
	for _, r := range w.evidence.requests {
		_, _ = fmt.Fprintf(&text, "request %+v runs %+v\n", r, w.evidence.runs[r.Attempt])
	}
	if err := os.WriteFile(filepath.Join(w.out, "events.txt"), []byte(text.String()), 0o600); err != nil {
		fmt.Printf("  events not written: %v\n", err)
	}
}

// summary returns the numbers of a run.
func (e *evidence) summary(events int) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	served, runs, stalls := 0, 0, 0
	for _, r := range e.requests {
		if r.Status == 200 && !r.Broken {
			served++
		}
	}
	for _, r := range e.runs {
		runs += len(r)
	}
	for _, t := range e.troubles {
		if t.Router == all && t.Server == all {
			stalls++
		}
	}
	return fmt.Sprintf("%d events, %d requests, %d served, %d runs, %d versions, %d stalls of the machine",
		events, len(e.requests), served, runs, len(e.versions), stalls)
}

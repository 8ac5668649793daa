// Package demo runs a small fleet in one process: callers, six routers, model engines, plain
// services and the platform stand-in, all on the loopback interface.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"hornbeamstep.example/hornbeambench/fleet"
	"hornbeamstep.example/hornbeambench/load"
)

// demoTimeout is the time after which a demo that hangs is canceled and fails.
const demoTimeout = 58 * time.Second

// ErrOutcomeNotMet is returned if a required outcome is not met.
var ErrOutcomeNotMet = errors.New("a required outcome is not met; the lines marked \"short\" show what was observed")

// Command is the demo command of hornbeambench.
type Command struct {
	Seed uint64        `help:"Seed of arrival times, chats and prompts." default:"1"`
	Rate float64       `help:"Mean arrivals per second." default:"40"`
	Load time.Duration `help:"Time during which requests arrive." default:"20s"`
	HTML string        `help:"Write the merged timeline of all routers to this HTML file." type:"path" placeholder:"FILE" name:"html"`
}

// Run runs the demo. It returns ErrOutcomeNotMet if a required outcome is not met.
func (c *Command) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	return c.runSteps(ctx, os.Stdout)
}

func (c *Command) runSteps(ctx context.Context, out io.Writer) error {
	bed, err := startTestbed(ctx)
	if err != nil {
		return err
	}
	defer bed.close()
	s := &scenario{command: c, testbed: bed, out: out, startedAt: time.Now()}
	for _, step := range []struct {
		title string
		run   func(context.Context) error
	}{
		{"configuration", s.pushSampleConfig},
		{"a chat returns", s.runReturningChat},
		{"callers arrive while an engine crashes, another is drained and the policy changes", s.runLoadWithDisturbances},
		{"time line", s.printTimeline},
	} {
		s.printf("\n== %s\n", step.title)
		if err := step.run(ctx); err != nil {
			return fmt.Errorf("%s: %w", step.title, err)
		}
	}
	err = bed.routerFleet.Stop()
	s.addVerdict("every router ends by itself when told to", err == nil, "error %v", err)
	s.printf("\n== outcomes\n")
	return s.printVerdicts()
}

// printVerdicts prints the verdicts and returns ErrOutcomeNotMet if an outcome is not met.
func (s *scenario) printVerdicts() error {
	evidence := fleet.Evidence{Records: s.records, ExecutionCounts: s.testbed.runCounts()}
	verdicts := append(fleet.JudgeCallerOutcomes(evidence), s.verdicts...)
	unmet := false
	for _, verdict := range verdicts {
		label := "holds"
		if !verdict.Passed {
			label, unmet = "short", true
		}
		s.printf("%s: %s: %s\n", label, verdict.Outcome, verdict.Observed)
	}
	if unmet {
		return ErrOutcomeNotMet
	}
	return nil
}

// addVerdict adds a verdict that only the demo checks to those of fleet.JudgeCallers.
func (s *scenario) addVerdict(outcome string, met bool, format string, args ...any) {
	s.verdicts = append(s.verdicts, fleet.Verdict{Outcome: outcome, Passed: met, Observed: fmt.Sprintf(format, args...)})
}

// printf writes to the output of the demo. Write errors are ignored, since they change no outcome.
func (s *scenario) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(s.out, format, args...)
}

// requireAllAnswered is stricter than fleet.JudgeCallers, which accepts requests that end with a
// typed error: in the demo, a request must not end in a refusal either.
func (s *scenario) requireAllAnswered(result *load.Result) {
	answered := result.CountOf(load.Answered)
	s.addVerdict("every request is answered", result.Sent > 0 && answered == result.Sent, "%d of %d", answered, result.Sent)
}

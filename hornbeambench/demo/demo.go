// Package demo runs a small fleet in one process: callers, six routers, engines, services and the platform on loopback.
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

// limit ends a demo that hangs; it then fails.
const limit = 58 * time.Second

// ErrShort is returned if an outcome falls short.
var ErrShort = errors.New("an outcome falls short; the lines marked \"short\" say what was seen")

// Command is the demo command of hornbeambench.
type Command struct {
	Seed uint64        `help:"Seed of arrivals, chats and contents." default:"1"`
	Rate float64       `help:"Mean arrivals per second." default:"40"`
	Load time.Duration `help:"Time of the arrivals." default:"20s"`
	HTML string        `help:"Write the time line of all routers to this file as a page." type:"path" placeholder:"FILE" name:"html"`
}

// Run runs the command. It returns ErrShort if an outcome falls short.
func (c *Command) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return c.run(ctx, os.Stdout)
}

func (c *Command) run(ctx context.Context, out io.Writer) error {
	w, err := start(ctx)
	if err != nil {
		return err
	}
	defer w.close()
	s := &story{command: c, world: w, out: out, begin: time.Now()}
	for _, step := range []struct {
		title string
		run   func(context.Context) error
	}{
		{"configuration", s.configure},
		{"a chat returns", s.converse},
		{"callers arrive while an engine crashes, another is drained and the policy changes", s.disturb},
		{"time line", s.show},
	} {
		s.printf("\n== %s\n", step.title)
		if err := step.run(ctx); err != nil {
			return fmt.Errorf("%s: %w", step.title, err)
		}
	}
	err = w.fleet.Stop()
	s.require("every router ends by itself when told to", err == nil, "error %v", err)
	s.printf("\n== outcomes\n")
	return s.judge()
}

// judge prints the verdicts and returns ErrShort if one falls short.
func (s *story) judge() error {
	evidence := fleet.Evidence{Records: s.records, Ran: s.world.ran()}
	verdicts := append(fleet.JudgeCallers(evidence), s.verdicts...)
	short := false
	for _, v := range verdicts {
		mark := "holds"
		if !v.Held {
			mark, short = "short", true
		}
		s.printf("%s: %s: %s\n", mark, v.Outcome, v.Seen)
	}
	if short {
		return ErrShort
	}
	return nil
}

// require adds a verdict of the demo's own.
func (s *story) require(outcome string, held bool, format string, values ...any) {
	s.verdicts = append(s.verdicts, fleet.Verdict{Outcome: outcome, Held: held, Seen: fmt.Sprintf(format, values...)})
}

// printf prints a part of the story; output that cannot be written changes no outcome.
func (s *story) printf(format string, values ...any) {
	_, _ = fmt.Fprintf(s.out, format, values...)
}

// allAnswered requires more than that nothing is lost: in the demo no request may be refused for good either.
func (s *story) allAnswered(r *load.Result) {
	answered := r.Of(load.Answered)
	s.require("every request is answered", r.Sent > 0 && answered == r.Sent, "%d of %d", answered, r.Sent)
}

// Package command is the command line of hornbeambench.
package command

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"hornbeamstep.example/hornbeambench/calls"
	"hornbeamstep.example/hornbeambench/control"
	"hornbeamstep.example/hornbeambench/demo"
	"hornbeamstep.example/hornbeambench/fleet"
	"hornbeamstep.example/hornbeambench/load"
	"hornbeamstep.example/hornbeambench/replay"
	"hornbeamstep.example/hornbeambench/report"
	"hornbeamstep.example/hornbeambench/soak"
	"hornbeamstep.example/hornbeambench/standin"
	"hornbeamstep.example/hornbeambench/standin/modelengine"
	"hornbeamstep.example/hornbeambench/variants"
)

// CLI holds all commands.
type CLI struct {
	Demo     demo.Command     `cmd:"" help:"Run a small fleet in this process, disturb it and judge the outcomes."`
	Load     load.Command     `cmd:"" help:"Drive running routers as callers do and verify every answer of the stand-ins."`
	Replay   replay.Command   `cmd:"" help:"Replay a scenario in virtual time and judge its outcomes."`
	List     replay.List      `cmd:"" help:"List the scenarios of replay."`
	Report   report.Command   `cmd:"" help:"Make a page with plots from the JSON files of replay, load and control."`
	Control  control.Command  `cmd:"" help:"Measure the control traffic between real nodes in this process."`
	Virtual  control.Virtual  `cmd:"" help:"Count the encoded bytes between routers in virtual time."`
	Drill    control.Drill    `cmd:"" help:"Inject faults into a fleet in virtual time in which operators race; judge revisions, members and ownership."`
	Calls    calls.Command    `cmd:"" help:"Measure what whole daemons cost the platform, the engines and their instances."`
	Variants variants.Command `cmd:"" help:"Compare three designs of admission in a model in virtual time."`
	Fleet    fleet.Commands   `cmd:"" help:"Watch and judge an experiment with several real processes; see scripts/fleet.sh."`
	Standin  standin.Commands `cmd:"" help:"Run a stand-in as a process of its own."`
	Soak     soak.Commands    `cmd:"" help:"Run routers on the platform's stand-ins as processes, inject random faults, and check the platform's promises."`
}

// Main runs one command line and returns the exit code: 0 if every outcome held, 1 if one did not or the command failed, and 2
// for wrong usage.
func Main(ctx context.Context, args []string) int {
	var cli CLI
	parser, err := kong.New(&cli,
		kong.Name("hornbeambench"),
		kong.Description("Demonstrates and measures hornbeamstep. Exit codes: 0 every outcome held, 1 one did not or the command failed, 2 wrong usage."),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.Bind(modelengine.CompletionText),
	)
	if err != nil {
		return fail(err, 1)
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		return fail(err, 2)
	}
	if err := parsed.Run(); err != nil {
		return fail(err, 1)
	}
	return 0
}

func fail(err error, code int) int {
	_, _ = fmt.Fprintf(os.Stderr, "hornbeambench: %v\n", err)
	return code
}

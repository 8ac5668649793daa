// Package command implements the command line of hornbeambench.
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

// CLI defines the commands of hornbeambench.
type CLI struct {
	Demo     demo.Command              `cmd:"" help:"Run a small fleet in this process, inject faults and check the outcomes."`
	Load     load.Command              `cmd:"" help:"Send requests to running routers as callers do, and verify every response of the stand-ins."`
	Replay   replay.Command            `cmd:"" help:"Replay a scenario in virtual time and check its outcomes."`
	List     replay.List               `cmd:"" help:"List the scenarios of the replay command."`
	Report   report.Command            `cmd:"" help:"Generate an HTML page with plots from the JSON files of the replay, load and control commands."`
	Control  control.Command           `cmd:"" help:"Measure the control traffic between real nodes that run in this process."`
	Virtual  control.TrafficSimulation `cmd:"" help:"Count the encoded bytes between routers in virtual time."`
	Drill    control.Drill             `cmd:"" help:"Inject faults into a fleet in virtual time while operators push concurrently, and check revisions, members and ownership."`
	Calls    calls.Command             `cmd:"" help:"Measure the load that complete daemons put on the platform, the engines and their instances."`
	Variants variants.Command          `cmd:"" help:"Compare three admission designs in a model that runs in virtual time."`
	Fleet    fleet.Commands            `cmd:"" help:"Monitor and check an experiment with several real processes; see scripts/fleet.sh."`
	Standin  standin.Commands          `cmd:"" help:"Run a stand-in as a separate process."`
	Soak     soak.Commands             `cmd:"" help:"Run routers and the platform's stand-ins as processes, inject random faults, and check the platform's guarantees."`
}

// Main runs the command that args name and returns the exit code: 0 if all checks passed, 1 if a
// check or the command failed, and 2 for a usage error.
func Main(ctx context.Context, args []string) int {
	var cli CLI
	parser, err := kong.New(&cli,
		kong.Name("hornbeambench"),
		kong.Description("Demonstrates and measures hornbeamstep. Exit codes: 0 all checks passed, 1 a check or the command failed, 2 usage error."),
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

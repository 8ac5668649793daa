// Package command defines the command line of hornbeamctl and runs it.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kong"

	"hornbeamstep.example/hornbeamctl/completion"
	"hornbeamstep.example/hornbeamctl/confirm"
	"hornbeamstep.example/hornbeamctl/connection"
	"hornbeamstep.example/hornbeamctl/doctor"
	"hornbeamstep.example/hornbeamctl/drain"
	"hornbeamstep.example/hornbeamctl/exit"
	"hornbeamstep.example/hornbeamctl/inspect"
	"hornbeamstep.example/hornbeamctl/orders"
	"hornbeamstep.example/hornbeamctl/output"
	"hornbeamstep.example/hornbeamctl/quarantine"
	"hornbeamstep.example/hornbeamctl/revisions"
	"hornbeamstep.example/hornbeamctl/status"
	"hornbeamstep.example/hornbeamctl/timeline"
	"hornbeamstep.example/hornbeamctl/top"
	"hornbeamstep.example/hornbeamctl/where"
	"hornbeamstep.example/hornbeamd/operator"
)

// CLI declares all commands and the global flags.
type CLI struct {
	Output output.Format `help:"Output format: table or json." default:"table" enum:"table,json" short:"o" env:"HORNBEAMCTL_OUTPUT"`
	connection.Flags

	Status     status.Command      `cmd:"" help:"Show cluster members, backend servers and the configuration revision in force."`
	Inspect    inspect.Command     `cmd:"" help:"Show the state that a router on the platform holds: its configuration, the other routers, request outcomes, and for each backend server why it is or is not used."`
	Doctor     doctor.Command      `cmd:"" help:"Run health checks and suggest a remedy for each problem."`
	Where      where.Command       `cmd:"" help:"Show the model engine that a chat is routed to, and why."`
	Top        top.Command         `cmd:"" help:"Show the busiest client accounts and engines."`
	Timeline   timeline.Command    `cmd:"" help:"Show the events of all routers, merged into one timeline."`
	Drain      drain.Command       `cmd:"" help:"Stop sending new requests to a backend server or a router."`
	Undrain    drain.Undo          `cmd:"" help:"Return a drained backend server or router to service."`
	Config     revisions.Commands  `cmd:"" help:"Check, push and explain the configuration."`
	Orders     orders.Command      `cmd:"" help:"Show the orders issued to engines and their state."`
	Quarantine quarantine.Commands `cmd:"" help:"List or release requests that were quarantined because they crashed engines."`
	Completion completion.Command  `cmd:"" help:"Print a shell completion script."`
}

// Streams are the standard streams of the process.
type Streams struct {
	In       io.Reader
	Out, Err io.Writer
}

// Main runs one command line and returns its exit code. If fleet is nil, Main uses a
// client of the router at --address.
func Main(ctx context.Context, args []string, streams Streams, fleet operator.Fleet) exit.Code {
	var cli CLI
	// kongExitCode is the code that Kong passes to its exit function, or -1 if Kong does not call it.
	kongExitCode := exit.Code(-1)
	parser, err := kong.New(&cli,
		kong.Name("hornbeamctl"),
		kong.Description("Command line for operators of hornbeamstep. "+exit.Help),
		kong.Writers(streams.Out, streams.Err),
		kong.Exit(func(code int) { kongExitCode = exit.Code(code) }),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.Bind(confirm.Prompt{In: streams.In, Out: streams.Err}),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	)
	if err != nil {
		return reportError(streams, err)
	}
	parsed, err := parser.Parse(args)
	// After printing the text of --help, Kong expects its exit function to end the process. The one
	// above returns instead, so Parse continues and may return an error about missing arguments.
	// Ignore that error.
	if kongExitCode >= 0 {
		return kongExitCode
	}
	if err != nil {
		_ = reportError(streams, err)
		return exit.Usage
	}
	out := &output.Printer{Format: cli.Output, Out: streams.Out, Progress: streams.Err}
	if fleet == nil {
		if fleet, err = cli.NewClient(); err != nil {
			return reportError(streams, err)
		}
	}
	parsed.Bind(parser, out, cli.Config.Env(ctx, fleet, out))
	parsed.BindTo(fleet, (*operator.Fleet)(nil))
	err = parsed.Run()
	// Not every error of an interrupted command wraps ctx.Err(), which exit.CodeOf maps to
	// Interrupted.
	if err != nil && ctx.Err() != nil {
		err = errors.Join(ctx.Err(), err)
	}
	return reportError(streams, err)
}

// reportError prints err, if it is not nil, and returns its exit code.
func reportError(streams Streams, err error) exit.Code {
	code := exit.CodeOf(err)
	if err != nil {
		_, _ = fmt.Fprintf(streams.Err, "hornbeamctl: %v\n", err)
	}
	return code
}

// Package command is the command line of hornbeamctl.
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

// CLI holds all commands and the flags that they share.
type CLI struct {
	Output output.Format `help:"Form of the result: table or json." default:"table" enum:"table,json" short:"o" env:"HORNBEAMCTL_OUTPUT"`
	connection.Flags

	Status     status.Command      `cmd:"" help:"Show members, backend servers and the revision in force."`
	Inspect    inspect.Command     `cmd:"" help:"Show what a router on the platform believes: configuration, other routers, backend servers and why each is or is not used, outcomes."`
	Doctor     doctor.Command      `cmd:"" help:"Say what is wrong and what to do about it."`
	Where      where.Command       `cmd:"" help:"Say where a chat goes, and why."`
	Top        top.Command         `cmd:"" help:"Show the busiest client accounts and engines."`
	Timeline   timeline.Command    `cmd:"" help:"Show the merged time line of all routers."`
	Drain      drain.Command       `cmd:"" help:"Stop new work to a backend server or a router."`
	Undrain    drain.Undo          `cmd:"" help:"Take a backend server or a router back into service."`
	Config     revisions.Commands  `cmd:"" help:"Check, push and explain the configuration."`
	Orders     orders.Command      `cmd:"" help:"Show orders to engines."`
	Quarantine quarantine.Commands `cmd:"" help:"Requests that crashed engines."`
	Completion completion.Command  `cmd:"" help:"Write a script for completion in a shell."`
}

// Streams are the standard streams of the process.
type Streams struct {
	In       io.Reader
	Out, Err io.Writer
}

// Main runs one command line and returns the exit code. Fleet replaces the connection if it is not nil.
func Main(ctx context.Context, args []string, streams Streams, fleet operator.Fleet) exit.Code {
	var cli CLI
	ended := exit.Code(-1)
	parser, err := kong.New(&cli,
		kong.Name("hornbeamctl"),
		kong.Description("Operators' command line of hornbeamstep. "+exit.Help),
		kong.Writers(streams.Out, streams.Err),
		kong.Exit(func(code int) { ended = exit.Code(code) }),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.Bind(confirm.Prompt{In: streams.In, Out: streams.Err}),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	)
	if err != nil {
		return fail(streams, err)
	}
	parsed, err := parser.Parse(args)
	// Help ends the process in Kong's own flow; here it returns, possibly with an error about missing arguments.
	if ended >= 0 {
		return ended
	}
	if err != nil {
		_ = fail(streams, err)
		return exit.Usage
	}
	out := &output.Printer{Format: cli.Output, Out: streams.Out, Progress: streams.Err}
	if fleet == nil {
		if fleet, err = cli.Fleet(); err != nil {
			return fail(streams, err)
		}
	}
	parsed.Bind(parser, out, cli.Config.Env(ctx, fleet, out))
	parsed.BindTo(fleet, (*operator.Fleet)(nil))
	err = parsed.Run()
	if err != nil && ctx.Err() != nil {
		err = errors.Join(ctx.Err(), err)
	}
	return fail(streams, err)
}

// fail writes the error, if there is one, and returns its code.
func fail(streams Streams, err error) exit.Code {
	code := exit.Of(err)
	if err != nil {
		_, _ = fmt.Fprintf(streams.Err, "hornbeamctl: %v\n", err)
	}
	return code
}

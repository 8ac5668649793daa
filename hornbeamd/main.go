// Command hornbeamd is the router daemon.
package main

import (
	"context"
	"os"

	"go.uber.org/zap"

	"hornbeamstep.example/hornbeamd/daemon"
	"hornbeamstep.example/hornbeamd/edge"
	"hornbeamstep.example/hornbeamd/logs"
	"hornbeamstep.example/hornbeamd/settings"
	"hornbeamstep.example/hornbeamd/shutdown"
)

type cli struct {
	Run  settings.Settings `cmd:"" default:"withargs" help:"Run a router with settings from flags, environment and file (default command)."`
	Edge settings.Edge     `cmd:"" help:"Run a router on a platform machine, using the settings file provided there."`
}

func main() {
	// Before anything that takes time, so that no signal meets its default action.
	ctx := shutdown.Context()
	var c cli
	kongCtx, err := settings.Parse(&c, os.Args[1:])
	if kongCtx == nil || err != nil {
		settings.Exit(err)
	}
	level := c.Run.Log.Level
	newLog := logs.New
	if kongCtx.Command() == "edge" {
		level, newLog = c.Edge.Level, logs.NewNonBlocking
	}
	log, err := newLog(level)
	kongCtx.FatalIfErrorf(err)
	if err := run(ctx, kongCtx.Command(), c, log); err != nil {
		log.Error("daemon failed", zap.Error(err))
		_ = log.Sync()
		os.Exit(1)
	}
	_ = log.Sync()
}

func run(ctx context.Context, command string, c cli, log *zap.Logger) error {
	if command == "edge" {
		e := &edge.Router{SettingsPath: c.Edge.Path(), MetricsPort: c.Edge.Metrics, Log: log}
		return e.Run(ctx)
	}
	d := &daemon.Daemon{Settings: c.Run, Log: log}
	return d.Run(ctx)
}

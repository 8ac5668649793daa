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

type commands struct {
	Run  settings.Settings `cmd:"" default:"withargs" help:"Run a router with the settings given here (the default)."`
	Edge settings.Edge     `cmd:"" help:"Run a router on a machine of the platform, with the settings file found there."`
}

func main() {
	var c commands
	parsed, err := settings.Parse(&c, os.Args[1:])
	if parsed == nil || err != nil {
		settings.Exit(err)
	}
	level := c.Run.Log.Level
	newLog := logs.New
	if parsed.Command() == "edge" {
		level, newLog = c.Edge.Level, logs.NewBounded
	}
	log, err := newLog(level)
	parsed.FatalIfErrorf(err)
	if err := run(shutdown.Context(), parsed.Command(), c, log); err != nil {
		log.Error("daemon failed", zap.Error(err))
		_ = log.Sync()
		os.Exit(1)
	}
	_ = log.Sync()
}

func run(ctx context.Context, command string, c commands, log *zap.Logger) error {
	if command == "edge" {
		e := &edge.Router{SettingsPath: c.Edge.Path(), MetricsPort: c.Edge.Metrics, Log: log}
		return e.Run(ctx)
	}
	d := &daemon.Daemon{Settings: c.Run, Log: log}
	return d.Run(ctx)
}

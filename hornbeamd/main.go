// Command hornbeamd is the router daemon.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	"hornbeamstep.example/hornbeamd/daemon"
	"hornbeamstep.example/hornbeamd/logs"
	"hornbeamstep.example/hornbeamd/settings"
)

func main() {
	var s settings.Settings
	parsed, err := settings.Parse(&s, os.Args[1:])
	if parsed == nil || err != nil {
		settings.Exit(err)
	}
	log, err := logs.New(s.Log.Level)
	parsed.FatalIfErrorf(err)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	context.AfterFunc(ctx, stop) // A second signal ends the process at once.
	d := &daemon.Daemon{Settings: s, Log: log}
	if err := d.Run(ctx); err != nil {
		log.Error("daemon failed", zap.Error(err))
		_ = log.Sync()
		os.Exit(1)
	}
	_ = log.Sync()
}

// Command hornbeambench demonstrates and measures hornbeamstep.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/zeromicro/go-zero/core/logx"

	"hornbeamstep.example/hornbeambench/command"
)

func main() {
	// The HTTP library logs each failed exchange; here failures are made on purpose and counted.
	logx.Disable()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	os.Exit(command.Main(ctx, os.Args[1:]))
}

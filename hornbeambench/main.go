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
	// Disables the logs of the HTTP library: it logs each failed request, and the benchmarks cause
	// failures on purpose and count them.
	logx.Disable()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	os.Exit(command.Main(ctx, os.Args[1:]))
}

// Command hornbeamctl is the operators' command line of hornbeamstep.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/zeromicro/go-zero/core/logx"

	"hornbeamstep.example/hornbeamctl/command"
)

func main() {
	// The HTTP library logs each failed call by itself; the command reports it once, as its own error.
	logx.Disable()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	streams := command.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}
	os.Exit(int(command.Main(ctx, os.Args[1:], streams, nil)))
}

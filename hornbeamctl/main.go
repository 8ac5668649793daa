// Command hornbeamctl is the command-line tool for operators of hornbeamstep.
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
	// The HTTP client of go-zero logs every failed call. Disable its log, because the command prints
	// the error itself.
	logx.Disable()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	streams := command.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}
	os.Exit(int(command.Main(ctx, os.Args[1:], streams, nil)))
}

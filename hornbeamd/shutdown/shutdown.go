// Package shutdown cancels a context when the process is asked to stop, and prevents go-zero from
// killing the process before the drain is complete.
package shutdown

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/zeromicro/go-zero/core/proc"
)

// exitMargin is the time for the main function to return after the drain.
const exitMargin = 10 * time.Second

// SetDrainTimeout allows a drain to take up to limit. By default go-zero handles SIGTERM itself: it
// closes its listeners 1 s after the signal and kills the process 5.5 s after it, which would
// interrupt a drain. Call it before a signal can arrive.
func SetDrainTimeout(limit time.Duration) {
	proc.Setup(proc.ShutdownConf{WrapUpTime: limit, WaitTime: limit + exitMargin})
}

// Context returns a context that is canceled on the first SIGTERM or SIGINT. A second signal
// terminates the process immediately. From then on SIGHUP, which asks for a reload, does not
// terminate the process, even while no component handles it.
func Context() context.Context {
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	context.AfterFunc(ctx, stop)
	return ctx
}

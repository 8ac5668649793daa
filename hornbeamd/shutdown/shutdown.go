// Package shutdown turns signals into the end of a context, and keeps the HTTP library from ending the process before the drain
// is over.
package shutdown

import (
	"context"
	"os/signal"
	"syscall"
	"time"

	"github.com/zeromicro/go-zero/core/proc"
)

// shutdownMargin is left to the main function behind the drain.
const shutdownMargin = 10 * time.Second

// Extend lets a drain last up to limit. The library handles SIGTERM by itself: it closes its listeners 1 s and kills
// the process 5.5 s after the signal, which would cut off a drain. Call it before New, and before a signal can arrive.
func Extend(limit time.Duration) {
	proc.Setup(proc.ShutdownConf{WrapUpTime: limit, WaitTime: limit + shutdownMargin})
}

// Context returns a context that ends at the first SIGTERM or SIGINT. A second one ends the process at once.
func Context() context.Context {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	context.AfterFunc(ctx, stop)
	return ctx
}

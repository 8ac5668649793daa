// Package shutdown keeps the HTTP library from ending the process before its own drain is over.
package shutdown

import (
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

// Package pause waits between two attempts at something.
package pause

import (
	"context"
	"time"
)

// For waits, and returns the context's error if it ends first.
func For(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

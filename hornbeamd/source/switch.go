package source

import (
	"context"
	"sync"
)

// Duty tells a Watcher whether it has to watch. The zero value says no.
type Duty struct {
	mu sync.Mutex
	on bool
	// changed is closed when on becomes true; nil while nobody waits.
	changed chan struct{}
}

// Set changes the duty and is true if it was different.
func (d *Duty) Set(on bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.on == on {
		return false
	}
	d.on = on
	if on && d.changed != nil {
		close(d.changed)
		d.changed = nil
	}
	return true
}

// On is true if the watcher has to watch.
func (d *Duty) On() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.on
}

// wait returns when there is a duty, or the error of the context.
func (d *Duty) wait(ctx context.Context) error {
	d.mu.Lock()
	if d.on {
		d.mu.Unlock()
		return ctx.Err()
	}
	if d.changed == nil {
		d.changed = make(chan struct{})
	}
	changed := d.changed
	d.mu.Unlock()
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

package storewatch

import (
	"context"
	"sync"
)

// Switch is a boolean on which a Watcher waits before it calls the store. The zero value is off. It
// is safe for concurrent use.
type Switch struct {
	mu sync.Mutex
	on bool
	// turnedOn is closed when on becomes true; nil while no goroutine waits.
	turnedOn chan struct{}
}

// Set turns the switch on or off and reports whether that changed it.
func (s *Switch) Set(on bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.on == on {
		return false
	}
	s.on = on
	if on && s.turnedOn != nil {
		close(s.turnedOn)
		s.turnedOn = nil
	}
	return true
}

// On reports whether the switch is on.
func (s *Switch) On() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.on
}

// wait blocks until the switch is on. It returns the error of the context if that is done.
func (s *Switch) wait(ctx context.Context) error {
	s.mu.Lock()
	if s.on {
		s.mu.Unlock()
		return ctx.Err()
	}
	if s.turnedOn == nil {
		s.turnedOn = make(chan struct{})
	}
	turnedOn := s.turnedOn
	s.mu.Unlock()
	select {
	case <-turnedOn:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

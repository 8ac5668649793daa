package soak

import (
	"context"
	"time"
)

const (
	// maxLostTime is the longest time before a restore whose changes the store loses.
	maxLostTime = 3 * time.Second
	// outageBeforeRestore is the time for which the store does not respond before it is restored.
	outageBeforeRestore = 300 * time.Millisecond
	// rewriteDelay is the time after a restore until operators and backend servers have written
	// again what the store has lost.
	rewriteDelay = 500 * time.Millisecond
	// expiryDelay is the time after a restore until the entries of servers that have ended expire.
	expiryDelay = 2500 * time.Millisecond
)

// restoreStore lets the store come back from a copy that lacks its latest changes, once or twice in
// a row. What operators and backend servers wrote is written again; what routers wrote is not.
func (tb *testbed) restoreStore(ctx context.Context, e event) error {
	if err := tb.instruct(instruction{Backup: true}); err != nil {
		return err
	}
	sleep(ctx, min(maxLostTime, e.Duration))
	endDisruption := tb.observations.beginDisruption(disruption{Kind: e.Kind, Store: true})
	defer endDisruption()
	for range 1 + e.Variant%2 {
		if err := tb.instruct(instruction{AllUnresponsive: true}); err != nil {
			return err
		}
		sleep(ctx, outageBeforeRestore)
		if err := tb.instruct(instruction{Restore: true}); err != nil {
			return err
		}
		if err := tb.instruct(instruction{}); err != nil {
			return err
		}
		sleep(ctx, rewriteDelay)
	}
	if err := tb.rewriteStore(); err != nil {
		return err
	}
	sleep(ctx, expiryDelay)
	return tb.expireEntries()
}

// instruct sends an instruction to the store and waits until it is applied.
func (tb *testbed) instruct(i instruction) error {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	_, err := tb.instructStore(i)
	return err
}

// rewriteStore writes the latest configuration and the entries of the running servers again.
func (tb *testbed) rewriteStore() error {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if _, err := tb.instructStore(instruction{Put: "config/main", Spec: tb.latestConfig}); err != nil {
		return err
	}
	for _, s := range tb.servers {
		state := "ready"
		switch {
		case s.draining:
			state = "draining"
		case s.removing:
			continue
		}
		if _, err := tb.instructStore(instruction{Put: "servers/" + s.id, Spec: s.entry(state)}); err != nil {
			return err
		}
	}
	return nil
}

// expireEntries deletes the entries of servers that were removed.
func (tb *testbed) expireEntries() error {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, s := range tb.servers {
		if !s.removing || s.draining {
			continue
		}
		if _, err := tb.instructStore(instruction{Delete: "servers/" + s.id}); err != nil {
			return err
		}
	}
	return nil
}

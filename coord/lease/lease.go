// Package lease keeps leases in the object API, one record for each router, with fencing numbers that only grow.
//
// No wall clocks of two machines are compared. A holder counts its term from before it sent its last renewal. An observer counts a
// whole term, by its own clock, during which the record's version does not change, and then ends the lease by a conditional update.
// A fencing number is the version that the object API gave to a write of the holder; since versions grow with every write, a number
// that is given after a lease was ended is higher than all numbers of that lease.
//
// What remains possible: a holder may be paused between its last check and the effect of what it checked for. Whoever acts under a
// lease either sends the fencing number to a receiver that refuses old ones, or waits for late effects as package order does. Clocks
// that run at rates which differ by more than a tenth break the exclusion.
package lease

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// Kind is the kind of the records of leases.
const Kind = "lease"

// Defaults of a lease.
const (
	// DefaultTerm keeps the renewals of 340 routers, one in a third of the term, at 34 writes a second.
	DefaultTerm = 30 * time.Second
	// DefaultGap is the longest pause of the process that needs no new proof of the lease.
	DefaultGap = 3 * time.Second
)

// drift is the divisor of the term that observers wait in addition, for clocks that run at different rates.
const drift = 10

// wireRecord is the stored form of a lease.
type wireRecord struct {
	// Boot is unique for each process, so that a restarted router does not take itself for the holder.
	Boot string `json:"boot"`
	// Turn counts the writes of the holder, so that it recognizes its own write after a lost reply.
	Turn int64 `json:"turn"`
	// Term is in milliseconds.
	Term int64 `json:"term"`
	// Engines are the engines under the lease, in order.
	Engines []string `json:"engines,omitempty"`
	// Ended is true once the lease was released or taken away, until it is acquired again.
	Ended bool `json:"ended,omitempty"`
}

func (r wireRecord) encode() ([]byte, error) { return json.Marshal(r) }

func decode(value []byte) (wireRecord, error) {
	var r wireRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return wireRecord{}, fmt.Errorf("record of a lease is unreadable; delete it once its router has stopped: %w", err)
	}
	return r, nil
}

// elapsed returns the time since a reading of the clock. The wall clock goes on while a machine is suspended, and the monotonic
// clock is not set back by an operator; the longer of the two is the safe one for a holder.
func elapsed(now, since time.Time) time.Duration {
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)))
}

// ExpiredError says that the term has passed without a renewal.
type ExpiredError struct {
	// Since is how long ago the term passed.
	Since time.Duration
}

func (e *ExpiredError) Error() string {
	return fmt.Sprintf("lease expired %s ago; renew it before giving orders", e.Since)
}

// PausedError says that the process did not run for a while, and has not renewed its lease since.
type PausedError struct{ Gap time.Duration }

func (e *PausedError) Error() string {
	return fmt.Sprintf("process was paused for %s; renew the lease before giving orders", e.Gap)
}

// LostError says that another router ended the lease.
type LostError struct{ Router string }

func (e *LostError) Error() string {
	return fmt.Sprintf("lease of %s was ended by another router; acquire it again", e.Router)
}

// HeldError says that another process holds the lease.
type HeldError struct {
	Router string
	// Retry is how long the observer still has to see the record unchanged.
	Retry time.Duration
}

func (e *HeldError) Error() string {
	return fmt.Sprintf("lease of %s is held; look again after %s", e.Router, e.Retry)
}

func sorted(engines []string) []string {
	out := slices.Clone(engines)
	slices.Sort(out)
	return slices.Compact(out)
}

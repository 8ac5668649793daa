// Package lease implements leases with increasing fencing tokens. Each router has one lease for its
// engines, and one more lease is shared by all routers to elect the planner. A lease is stored as a
// record in the object API.
//
// The clocks of different machines are never compared. A holder measures its term from just before
// it sent its last renewal. An observer treats a lease as expired once the version of its record
// has not changed for a whole term, plus a tenth, by the observer's own clock. It can then end the
// lease by a conditional update. A fencing token is the version that the object API assigned to a
// write of the holder. Versions increase with every write, so a token issued after a lease was
// ended is higher than all tokens of that lease.
//
// Limitations: a holder may be paused between its last validity check and the action that depends
// on it. Users of a lease therefore either send the fencing token to a receiver that rejects old
// tokens, or wait until actions of the previous holder can no longer take effect, as package
// reconcile does. Mutual exclusion fails if the rates of two clocks differ by more than a tenth.
package lease

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// Kind is the object kind of lease records.
const Kind = "lease"

// Default durations of a lease.
const (
	// DefaultTerm limits renewals to 34 writes a second for 340 routers that each renew every third
	// of the term.
	DefaultTerm = 30 * time.Second
	// DefaultMaxGap is the longest pause of a process after which its lease needs no renewal.
	DefaultMaxGap = 3 * time.Second
)

// driftDivisor sets the extra time that observers wait because clocks run at different rates: the
// term divided by driftDivisor.
const driftDivisor = 10

// leaseRecord is the stored form of a lease record.
type leaseRecord struct {
	// Boot is unique to each process, so that a restarted router does not mistake the lease of its
	// predecessor for its own.
	Boot string `json:"boot"`
	// Seq numbers the writes of the holder, so that it recognizes its own write after a lost reply.
	Seq int64 `json:"turn"`
	// Term is the term in milliseconds.
	Term int64 `json:"term"`
	// Engines are the engines that the lease covers, sorted.
	Engines []string `json:"engines,omitempty"`
	// Ended is true from when the lease is released or ended by another router until it is acquired
	// again.
	Ended bool `json:"ended,omitempty"`
}

func (r leaseRecord) encode() ([]byte, error) { return json.Marshal(r) }

func decode(value []byte) (leaseRecord, error) {
	var r leaseRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return leaseRecord{}, fmt.Errorf("lease record is unreadable; delete it once its router has stopped: %w", err)
	}
	return r, nil
}

// elapsed returns the time since an earlier clock reading: the longer of the wall clock and
// monotonic durations, which is the safe choice for a holder. The wall clock advances while a
// machine is suspended, and an operator cannot set the monotonic clock back.
func elapsed(now, since time.Time) time.Duration {
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)))
}

// ExpiredError reports that the lease is not held, or that its term has passed without a renewal.
type ExpiredError struct {
	// Since is how long ago the term ended; 0 if the lease is not held.
	Since time.Duration
}

func (e *ExpiredError) Error() string {
	if e.Since <= 0 {
		return "lease is not held; acquire it before sending orders"
	}
	return fmt.Sprintf("lease expired %s ago; renew it before sending orders", e.Since)
}

// PausedError reports that the process was paused for longer than the allowed gap and has not
// renewed its lease since.
type PausedError struct{ Gap time.Duration }

func (e *PausedError) Error() string {
	return fmt.Sprintf("process was paused for %s; renew the lease before sending orders", e.Gap)
}

// LostError reports that another router ended the lease or another process acquired it.
type LostError struct{ Router string }

func (e *LostError) Error() string {
	return fmt.Sprintf("lease of %s was ended or acquired by another process; acquire it again", e.Router)
}

// HeldError reports that another process may hold the lease.
type HeldError struct {
	Router string
	// Retry is how much longer the record must stay unchanged for the lease to count as expired.
	Retry time.Duration
}

func (e *HeldError) Error() string {
	return fmt.Sprintf("lease of %s may still be held by another process; retry after %s", e.Router, e.Retry)
}

func sorted(engines []string) []string {
	out := slices.Clone(engines)
	slices.Sort(out)
	return slices.Compact(out)
}

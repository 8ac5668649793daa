// Package admission decides when a request may start on an engine: load bound, slots, bounded queue, fair queueing.
package admission

import (
	"math"
	"time"

	"hornbeamstep.example/routing/outcome"
)

// Class is a priority class; lower values are served first. The values equal those of package policy.
type Class int

// The priority classes.
const (
	Urgent Class = iota
	Normal
	Batch
)

// Settings of a gate.
type Settings struct {
	// Bound is the greatest load as a multiple of the pool's mean; at least 1.
	Bound float64
	// Spare is how far the mean has to be above what the bound needs for a new request on an engine with a load of one request,
	// in requests. It keeps the engines level, so that a fall of the mean leaves few above the bound. On fuller engines it
	// grows with the square root of the load, as the random changes of the number of running requests do. 0 turns it off.
	Spare float64
	// Yield is how far below the mean the load has to be for a request of a surging account, in requests.
	Yield float64
	// Surge is how long after a request of a surging account the others count as having waited longer by Head, so that they
	// need not wait for level engines: the requests that yield fill the gaps.
	Surge, Head time.Duration
	// Low is the time over which Spare is measured from the lowest mean: a request that is granted at a peak of the mean leaves
	// its engine above the others when the mean falls.
	Low time.Duration
	// Level is the time since the request first asked in which Spare falls to zero. It falls on below zero, so that in the end
	// the bound alone decides, however far the mean that is known differs from the true one.
	Level time.Duration
	// SmallPool is the number of engines up to which a pool has an allowance of one request above the bound. In larger
	// pools the bound is rounded up to whole requests.
	SmallPool int
	// Capacity is the greatest load whatever the mean, in the engine's own unit; 0 for none. A report can lower it.
	Capacity float64
	// Reserve is the share of Capacity that is kept free of any account which already uses more than its fair share.
	Reserve float64
	// Lease is how long a slot lasts without renewal.
	Lease time.Duration
	// Queue is the greatest number of waiting requests.
	Queue int
	// Wait is the longest time in the queue.
	Wait time.Duration
	// Age is the time in the queue after which a request counts as one class higher, so that no class starves.
	Age time.Duration
	// Ramp is the time over which a new owner raises its limit from the engine's own report to the bound.
	Ramp time.Duration
	// ReportLag is the greatest time from a grant until the engine's load includes the request. A slot granted within it
	// before a report may or may not be included; the gate assumes the higher load.
	ReportLag time.Duration
}

// Defaults returns the settings of the design page.
func Defaults() Settings {
	return Settings{
		Bound:     1.25,
		Spare:     0.40,
		Yield:     0.5,
		Surge:     200 * time.Millisecond,
		Head:      150 * time.Millisecond,
		Low:       100 * time.Millisecond,
		Level:     220 * time.Millisecond,
		SmallPool: 16,
		Reserve:   0.25,
		Lease:     10 * time.Second,
		Queue:     256,
		Wait:      10 * time.Second,
		Age:       2 * time.Second,
		Ramp:      5 * time.Second,
		ReportLag: 100 * time.Millisecond,
	}
}

// Allowed is the greatest load of an engine at a mean load over the engines in service, for requests of one cost. Without
// rounding up, a large pool with one request on each engine would never admit more: 1.25 times 1 is less than 2.
func (s Settings) Allowed(mean float64, engines int, cost float64) float64 {
	l := s.Bound * max(0, mean)
	if engines <= s.SmallPool {
		return l + cost
	}
	return max(1, math.Ceil(l/cost-1e-9)) * cost
}

// Ask is a request for a slot.
type Ask struct {
	// Request is unique for each attempt. A second Offer with the same value returns the state of the first.
	Request string
	// Router is where the answer goes, and who holds the slot.
	Router  string
	Account string
	Class   Class
	// Over is set while the account sends far more than usual (package limit). Its requests yield to all others: they count
	// as one class below Batch, and are granted only where the load is below the mean by Settings.Yield.
	Over bool
	// Weight is the account's share in fair queueing; 1 if it is not positive.
	Weight float64
	// Cost is the load that the request adds, in the engine's own unit; 1 if it is not positive.
	Cost float64
	// Since is when the request first asked an engine, if that was before this Offer. Ageing counts from there, so that a
	// request which waits at one engine after the other loses nothing.
	Since time.Time
	// Deadline ends the wait in the queue before Settings.Wait does; zero for none.
	Deadline time.Time
	// NoQueue is set by a caller that has another engine to go to: the answer is then never Queued.
	NoQueue bool
}

// Kind is the type of an action.
type Kind uint8

// The kinds of actions.
const (
	// Granted gives the slot to the request.
	Granted Kind = iota
	// Queued means that a later action of the gate answers the request.
	Queued
	// Refused is final; the request did not run.
	Refused
	// Expired takes back the slot of a holder that did not renew it.
	Expired
)

var kinds = [...]string{"granted", "queued", "refused", "expired"}

func (k Kind) String() string { return kinds[k] }

// Slot is permission to run one request on the engine.
type Slot struct {
	// ID is never used twice by a gate.
	ID uint64
	// Expires is by the clock of the gate.
	Expires time.Time
}

// Action is an answer to a request or a change of a slot that the gate's owner has to carry out.
type Action struct {
	Kind Kind
	Ask  Ask
	// Slot is set in Granted and Expired.
	Slot Slot
	// Code and Retry are set in Refused. Retry is when the request is likely to be granted.
	Code  outcome.Code
	Retry time.Duration
	// Waited is the time in the queue.
	Waited time.Duration
}

// Err returns the refusal as the final answer to the caller, and nil for other kinds.
func (a Action) Err() error {
	if a.Kind != Refused {
		return nil
	}
	return &outcome.Error{
		Code:    a.Code,
		Outcome: outcome.NotRun,
		Status:  429,
		Message: "the engine has no room for the request",
		Remedy:  "send the request again after the retry time",
		Retry:   a.Retry,
	}
}

// Report is the engine's own account of its load.
type Report struct {
	// At is when the load was measured, by the clock of the gate.
	At time.Time
	// Load is in the engine's own unit and includes requests that other owners granted.
	Load float64
	// Capacity is the greatest load that the engine takes; 0 if it does not say.
	Capacity float64
}

// Mean is the mean load over the engines in service of the pool.
type Mean struct {
	Load float64
	// Engines in service, at least 1.
	Engines int
}

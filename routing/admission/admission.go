// Package admission decides when a request may start on an engine. A gate keeps the engine's load
// within a bound, grants slots, and puts the requests that have to wait into a bounded queue with
// fair queueing between client accounts.
package admission

import (
	"math"
	"time"

	"hornbeamstep.example/routing/outcome"
)

// Class is the priority class of a request; lower values are served first. The values equal those
// of package policy.
type Class int

// Waiting requests are granted slots in the order of these classes, except for aging; see
// Settings.AgingInterval.
const (
	Urgent Class = iota
	Normal
	Batch
)

// Settings configures a Gate.
type Settings struct {
	// Bound is the maximum load of an engine as a multiple of the pool's mean load; at least 1.
	Bound float64
	// Headroom is the margin, in requests, by which the mean must exceed load/Bound before a
	// further request is granted on an engine whose load is one request. For a higher load the
	// margin grows with the square root of the load, as the random variation of the number of
	// running requests does. The margin keeps the loads of the engines close together, so that few
	// engines exceed the bound when the mean falls. 0 turns it off.
	Headroom float64
	// SurgeMargin is the number of requests that is subtracted from the mean in the headroom check
	// of a surging account's request.
	SurgeMargin float64
	// SurgeWindow is the time after a surging account's request during which WaitCredit is added to
	// the waiting time of other accounts' requests, so that their headroom decays sooner. The other
	// accounts need not wait until the engines are evenly loaded, because the surging account's
	// requests yield to theirs and use the capacity that is left.
	SurgeWindow, WaitCredit time.Duration
	// LowMeanWindow is the period over which the lowest mean is determined. The headroom check uses
	// the lowest mean because a request granted at a peak of the mean would leave its engine above
	// the others when the mean falls.
	LowMeanWindow time.Duration
	// HeadroomDecay is the time, counted from when the request first asked for a slot, in which
	// Headroom falls to zero. After that the margin is negative, so that the headroom check no
	// longer delays a request that has waited for long, even if the known mean is far from the
	// actual one.
	HeadroomDecay time.Duration
	// SmallPool is the number of engines up to which a pool may exceed the bound by one request. In
	// larger pools the bound is rounded up to whole requests.
	SmallPool int
	// Capacity is the maximum load regardless of the mean, in the engine's own load unit; 0 for
	// none. A report can lower it.
	Capacity float64
	// Reserve is the fraction of Capacity that is kept free of accounts above their fair share.
	Reserve float64
	// Lease is how long a slot is valid without renewal.
	Lease time.Duration
	// MaxQueueLength is the maximum number of waiting requests.
	MaxQueueLength int
	// MaxWait is the maximum time that a request stays in the queue.
	MaxWait time.Duration
	// AgingInterval is the time in the queue after which a request counts as one class higher, so
	// that no class starves.
	AgingInterval time.Duration
	// Ramp is the time in which a new owner raises its limit to the bound, starting from the load
	// that the engine reports.
	Ramp time.Duration
	// ReportLag is the maximum time by which the load in a report lags behind grants and releases.
	// A slot that was in use at any time within ReportLag before a report may or may not be
	// included in it; the gate assumes that it is, so that no request counts as load of another
	// owner.
	ReportLag time.Duration
}

// Defaults returns the default settings. The Capacity is not limited by default.
func Defaults() Settings {
	return Settings{
		Bound:          1.25,
		Headroom:       0.40,
		SurgeMargin:    0.5,
		SurgeWindow:    200 * time.Millisecond,
		WaitCredit:     150 * time.Millisecond,
		LowMeanWindow:  100 * time.Millisecond,
		HeadroomDecay:  220 * time.Millisecond,
		SmallPool:      16,
		Reserve:        0.25,
		Lease:          10 * time.Second,
		MaxQueueLength: 256,
		MaxWait:        10 * time.Second,
		AgingInterval:  2 * time.Second,
		Ramp:           5 * time.Second,
		ReportLag:      100 * time.Millisecond,
	}
}

// MaxLoad returns the maximum load of an engine for requests of the given cost, where mean is the
// mean load over the engines in service. Large pools round up: 1.25 times 1 is less than 2, so a
// pool with one request on each engine would otherwise never admit more.
func (s Settings) MaxLoad(mean float64, engines int, cost float64) float64 {
	bound := s.Bound * max(0, mean)
	if engines <= s.SmallPool {
		return bound + cost
	}
	return max(1, math.Ceil(bound/cost-1e-9)) * cost
}

// SlotRequest is a request for a slot.
type SlotRequest struct {
	// RequestID identifies one attempt of a request. While the attempt waits or holds a slot, a
	// further Offer with the same ID returns its state and gets no second slot.
	RequestID string
	// Router is the router that receives the decision and holds the slot.
	Router  string
	Account string
	Class   Class
	// Surging is set while the account sends far more than usual (see package limit). Its requests
	// yield to all others: they count as one class below Batch, and their headroom check uses a
	// mean that is lower by Settings.SurgeMargin.
	Surging bool
	// Weight is the account's weight in fair queueing; 1 if it is not positive.
	Weight float64
	// Cost is the load that the request adds, in the engine's own load unit; 1 if it is not
	// positive.
	Cost float64
	// Since is when the request first asked any engine for a slot; zero if this Offer is the first.
	// Aging and the decay of the headroom start then, so that a request keeps its waiting time when
	// it tries several engines one after another.
	Since time.Time
	// Deadline ends the wait in the queue if it is earlier than Settings.MaxWait allows; zero for
	// none.
	Deadline time.Time
	// NoQueue is true if the caller can try another engine. The request is then never Queued.
	NoQueue bool
}

// Kind says what the gate has decided on a request or its slot.
type Kind uint8

// A request is Granted, Queued or Refused when it is offered. A queued one is Granted or Refused
// later.
const (
	// Granted assigns the slot to the request.
	Granted Kind = iota
	// Queued means that the request waits. A later action decides on it.
	Queued
	// Refused is final. The request did not run.
	Refused
	// Expired revokes the slot of a holder that did not renew it.
	Expired
)

var kindNames = [...]string{"granted", "queued", "refused", "expired"}

func (k Kind) String() string { return kindNames[k] }

// Slot is the permission to run one request on the engine.
type Slot struct {
	// ID is unique among the slots of a gate and never reused.
	ID uint64
	// Expires is in the gate's own time.
	Expires time.Time
}

// Action is a decision on a request, or a change of a slot, that the gate's owner has to carry out.
type Action struct {
	Kind    Kind
	Request SlotRequest
	// Slot is set if Kind is Granted or Expired.
	Slot Slot
	// Code is set if Kind is Refused.
	Code outcome.Code
	// RetryAfter is the time after which a refused request is likely to be granted, or the expected
	// wait of a request that has just been queued.
	RetryAfter time.Duration
	// Waited is the time that the request spent in the queue.
	Waited time.Duration
}

// Err returns a refusal as the error for the caller, and nil for the other kinds.
func (a Action) Err() error {
	if a.Kind != Refused {
		return nil
	}
	return &outcome.Error{
		Code:       a.Code,
		Outcome:    outcome.NotRun,
		Status:     429,
		Message:    "the engine has no room for the request",
		Remedy:     "send the request again after the retry time",
		RetryAfter: a.RetryAfter,
	}
}

// Report is the load that the engine itself reports.
type Report struct {
	// At is when the load was measured, in the gate's own time.
	At time.Time
	// Load is in the engine's own load unit and includes requests that other owners granted.
	Load float64
	// Capacity is the maximum load that the engine accepts; 0 if it reports none.
	Capacity float64
}

// Mean is the mean load over the engines of the pool that are in service.
type Mean struct {
	Load float64
	// Engines is the number of engines in service, at least 1.
	Engines int
}

// Package decision replicates the decisions of operators and routers that must survive the restart
// of any router: which backend servers are drained and which requests are quarantined because they
// crash engines. The records converge by merging, without coordination between the routers.
package decision

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Kind is the kind of a decision. All records of a kind are stored in one object of the object API.
type Kind string

// The values are also the kinds of the objects that store the records in the object API.
const (
	// Drain records hold the ID of a backend server that an operator drained. They are kept until
	// the operator undrains it.
	Drain Kind = "drain"
	// Quarantine records hold the fingerprint of a request that is suspected or known to crash
	// engines.
	Quarantine Kind = "quarantine"
)

// Kinds lists all kinds.
var Kinds = []Kind{Drain, Quarantine}

// Limits that keep a full object below the 1 MB that the object API accepts.
const (
	// MaxRecords is the maximum number of records of a kind.
	MaxRecords = 1024
	// MaxNameBytes is the maximum length of a name, a client account or a crash ID.
	MaxNameBytes = 128
	// MaxReasonBytes is the maximum length of a reason.
	MaxReasonBytes = 200
	// MaxCrashes is the maximum number of crashes in a record.
	MaxCrashes = 2
)

const (
	// decisionTTL is how long a record with a decision is kept after its latest decision or crash. A
	// quarantine ends when its record is deleted. The record of a revoked decision is kept for the
	// same time, so that a delayed message cannot restore the decision.
	decisionTTL = 24 * time.Hour
	// suspicionTTL is how long a record that holds only crashes and no decision is kept after the
	// latest crash.
	suspicionTTL = 30 * time.Minute
)

// Record is the state of one backend server or request. A merge never lowers a time, and it is
// commutative, associative and idempotent, so routers that receive the same records in any order
// and any number of times end up with the same state.
type Record struct {
	Kind Kind `json:"kind"`
	// Name is the ID of the backend server or the fingerprint of the request.
	Name string `json:"name"`
	// SetAt and RevokedAt are the Unix times in nanoseconds at which the drain or quarantine was
	// last set and last revoked; 0 means never.
	SetAt     int64 `json:"on,omitempty"`
	RevokedAt int64 `json:"off,omitempty"`
	// Crashes holds the Unix times in nanoseconds of the crashes that the request is suspected of
	// causing, by crash ID. Crashes up to RevokedAt are dropped.
	Crashes map[string]int64 `json:"marks,omitempty"`
	// Account is the client account that sent the request.
	Account string `json:"account,omitempty"`
	// Reason is the reason given for the latest decision.
	Reason string `json:"reason,omitempty"`
}

// IsActive reports whether the drain or quarantine is in effect: it was set after it was last
// revoked.
func (r Record) IsActive() bool { return r.SetAt > r.RevokedAt }

// lastDecision returns the time of the latest decision, in nanoseconds of Unix time.
func (r Record) lastDecision() int64 { return max(r.SetAt, r.RevokedAt) }

// LastUpdate returns the time of the latest decision or crash, in nanoseconds of Unix time.
func (r Record) LastUpdate() int64 {
	last := r.lastDecision()
	for _, at := range r.Crashes {
		last = max(last, at)
	}
	return last
}

// expired reports whether the record may be deleted.
func (r Record) expired(now time.Time) bool {
	age := time.Duration(now.UnixNano() - r.LastUpdate())
	switch {
	case r.Kind == Drain && r.IsActive():
		return false
	case r.lastDecision() == 0:
		return age >= suspicionTTL
	}
	return age >= decisionTTL
}

// valid reports whether the record has a known kind, a name and no field above its limit.
func (r Record) valid() bool {
	for crash := range r.Crashes {
		if len(crash) > MaxNameBytes {
			return false
		}
	}
	return slices.Contains(Kinds, r.Kind) && r.Name != "" && len(r.Name) <= MaxNameBytes && len(r.Account) <= MaxNameBytes &&
		len(r.Reason) <= MaxReasonBytes
}

// merge combines two records of the same kind and name. It is commutative, associative and
// idempotent. If one of them is the zero Record, the caller sets the kind and name of the result.
func merge(a, b Record) Record {
	out := Record{Kind: a.Kind, Name: a.Name, SetAt: max(a.SetAt, b.SetAt), RevokedAt: max(a.RevokedAt, b.RevokedAt), Account: max(a.Account, b.Account)}
	switch cmp.Or(cmp.Compare(a.lastDecision(), b.lastDecision()), strings.Compare(a.Reason, b.Reason)) {
	case 1:
		out.Reason = a.Reason
	default:
		out.Reason = b.Reason
	}
	crashes := maps.Clone(a.Crashes)
	if crashes == nil {
		crashes = map[string]int64{}
	}
	for crash, at := range b.Crashes {
		crashes[crash] = max(crashes[crash], at)
	}
	out.Crashes = latestCrashes(crashes, out.RevokedAt)
	return out
}

// latestCrashes returns up to MaxCrashes of the latest crashes after the given time, or nil if
// there are none.
func latestCrashes(crashes map[string]int64, after int64) map[string]int64 {
	ids := slices.SortedFunc(maps.Keys(crashes), func(a, b string) int {
		return cmp.Or(cmp.Compare(crashes[b], crashes[a]), strings.Compare(a, b))
	})
	var out map[string]int64
	for _, id := range ids[:min(len(ids), MaxCrashes)] {
		if crashes[id] <= after {
			continue
		}
		if out == nil {
			out = map[string]int64{}
		}
		out[id] = crashes[id]
	}
	return out
}

// Equal reports whether all fields of the two records are equal.
func (r Record) Equal(o Record) bool {
	return r.Kind == o.Kind && r.Name == o.Name && r.SetAt == o.SetAt && r.RevokedAt == o.RevokedAt && r.Account == o.Account &&
		r.Reason == o.Reason && maps.Equal(r.Crashes, o.Crashes)
}

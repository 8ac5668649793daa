// Package agreed merges what operators and routers have decided and what has to outlive every router: drained backend servers
// and requests that crash engines.
package agreed

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Kind groups records that are kept in one object of the object API.
type Kind string

// The kinds of records, which are kinds of objects as well.
const (
	// Drain records name a backend server that an operator took out of service. They last until the operator takes it back.
	Drain Kind = "drain"
	// Quarantine records name the fingerprint of a request that crashed engines.
	Quarantine Kind = "quarantine"
)

// Kinds are all kinds.
var Kinds = []Kind{Drain, Quarantine}

// Bounds. MaxRecords is the number of records of a kind, MaxName the bytes of a name, an account or a mark, MaxReason those of a
// reason and MaxMarks the marks of a record. A full object stays below the 1 MB that the object API takes.
const (
	MaxRecords = 1024
	MaxName    = 128
	MaxReason  = 200
	MaxMarks   = 2
)

const (
	// decided is how long a decision is kept: a quarantine lasts as long, and a decision that was taken back is remembered until
	// no late message can repeat it. suspected is how long a mark alone is kept.
	decided   = 24 * time.Hour
	suspected = 30 * time.Minute
)

// Record is what is known of one name. Every field only grows by a merge, so that routers that heard the same things in any order,
// and as often as they like, know the same.
type Record struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// On and Off are when the latest decision for and against it was made, in nanoseconds of Unix time; 0 for never.
	On  int64 `json:"on,omitempty"`
	Off int64 `json:"off,omitempty"`
	// Marks are the crashes that the request is suspected of, with their times after Off.
	Marks map[string]int64 `json:"marks,omitempty"`
	// Account is the client account of a request; Reason belongs to the latest decision.
	Account string `json:"account,omitempty"`
	Reason  string `json:"reason,omitempty"`
}

// InForce reports whether the latest decision was for it.
func (r Record) InForce() bool { return r.On > r.Off }

// decision is the time of the latest decision.
func (r Record) decision() int64 { return max(r.On, r.Off) }

// Last is the time of the latest decision or mark, in nanoseconds of Unix time.
func (r Record) Last() int64 {
	last := r.decision()
	for _, at := range r.Marks {
		last = max(last, at)
	}
	return last
}

// expired reports whether a record may be forgotten.
func (r Record) expired(now time.Time) bool {
	age := time.Duration(now.UnixNano() - r.Last())
	switch {
	case r.Kind == Drain && r.InForce():
		return false
	case r.decision() == 0:
		return age >= suspected
	}
	return age >= decided
}

// valid reports whether a record keeps to the bounds.
func (r Record) valid() bool {
	for mark := range r.Marks {
		if len(mark) > MaxName {
			return false
		}
	}
	return slices.Contains(Kinds, r.Kind) && r.Name != "" && len(r.Name) <= MaxName && len(r.Account) <= MaxName &&
		len(r.Reason) <= MaxReason
}

// merge returns the least record that contains both. It is commutative, associative and idempotent.
func merge(a, b Record) Record {
	out := Record{Kind: a.Kind, Name: a.Name, On: max(a.On, b.On), Off: max(a.Off, b.Off), Account: max(a.Account, b.Account)}
	switch cmp.Or(cmp.Compare(a.decision(), b.decision()), strings.Compare(a.Reason, b.Reason)) {
	case 1:
		out.Reason = a.Reason
	default:
		out.Reason = b.Reason
	}
	marks := maps.Clone(a.Marks)
	if marks == nil {
		marks = map[string]int64{}
	}
	for mark, at := range b.Marks {
		marks[mark] = max(marks[mark], at)
	}
	out.Marks = newest(marks, out.Off)
	return out
}

// newest returns the latest marks after a time, nil for none.
func newest(marks map[string]int64, after int64) map[string]int64 {
	names := slices.SortedFunc(maps.Keys(marks), func(a, b string) int {
		return cmp.Or(cmp.Compare(marks[b], marks[a]), strings.Compare(a, b))
	})
	var out map[string]int64
	for _, name := range names[:min(len(names), MaxMarks)] {
		if marks[name] <= after {
			continue
		}
		if out == nil {
			out = map[string]int64{}
		}
		out[name] = marks[name]
	}
	return out
}

// Equal reports whether two records say the same.
func (r Record) Equal(o Record) bool {
	return r.Kind == o.Kind && r.Name == o.Name && r.On == o.On && r.Off == o.Off && r.Account == o.Account &&
		r.Reason == o.Reason && maps.Equal(r.Marks, o.Marks)
}

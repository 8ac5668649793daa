// Package quarantine detects requests that crash each engine they run on, and keeps them from
// reaching further engines. A request is identified by its fingerprint.
package quarantine

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Settings configures a Tracker.
type Settings struct {
	// CrashLimit is the number of engine crashes after which a fingerprint is quarantined; at least
	// 1.
	CrashLimit int
	// SuspectTTL is how long a suspect is retained, and QuarantineTTL how long a quarantine lasts.
	SuspectTTL, QuarantineTTL time.Duration
	// MaxSuspects and MaxQuarantined limit the number of entries of each state. The oldest entries
	// are evicted.
	MaxSuspects, MaxQuarantined int
}

// Defaults returns the default settings: a request crashes at most two engines, and a quarantine
// lasts for 24 hours.
func Defaults() Settings {
	return Settings{CrashLimit: 2, SuspectTTL: 30 * time.Minute, QuarantineTTL: 24 * time.Hour, MaxSuspects: 4096, MaxQuarantined: 1024}
}

// State determines how requests with a fingerprint are treated.
type State uint8

// A fingerprint becomes Suspect if an engine crashes while a request with it is in flight, and
// Quarantined after Settings.CrashLimit such crashes.
const (
	// Clear fingerprints have no crashes that still count: there were none, or they have expired,
	// or a later success or an operator cleared them.
	Clear State = iota
	// Suspect fingerprints run on one engine at a time, and never together with another suspect.
	Suspect
	// Quarantined fingerprints are refused.
	Quarantined
)

// Crash identifies one crash of one engine.
type Crash struct {
	Engine string
	// Boot is the engine's boot identifier before the crash. It ensures that two reports of the
	// same crash count once.
	Boot string
}

// Entry is the state of a fingerprint. Routers exchange entries and store them in the object API.
type Entry struct {
	Fingerprint string
	// Crashes are sorted and without duplicates.
	Crashes []Crash
	// At is when the latest crash was seen, or when the fingerprint was released if that was later.
	At          time.Time
	Quarantined bool
	// Released is when an operator last released the fingerprint; earlier crashes do not count. It
	// is zero if there was no release.
	Released time.Time
}

// Tracker holds the suspect and quarantined fingerprints that a router knows. It is not safe for
// concurrent use.
type Tracker struct {
	settings Settings
	entries  map[string]Entry
	// running maps each engine to the suspect that runs on it.
	running map[string]string
}

// New returns an empty tracker.
func New(s Settings) *Tracker {
	s.CrashLimit = max(1, s.CrashLimit)
	return &Tracker{settings: s, entries: map[string]Entry{}, running: map[string]string{}}
}

// State returns how to treat a fingerprint at the given time.
func (t *Tracker) State(now time.Time, fingerprint string) State {
	e, ok := t.entries[fingerprint]
	switch {
	case !ok || t.expired(now, e):
		return Clear
	case e.Quarantined:
		return Quarantined
	case len(e.Crashes) == 0:
		return Clear
	}
	return Suspect
}

// Start reports whether a request may start on an engine, and records it as running if it is a
// suspect. The router that owns the engine calls it before a request starts there, and must call
// End in every case, also if the request gets no slot or its slot expires. Start returns false for
// a quarantined fingerprint. It also returns false for a suspect while another suspect runs on the
// engine, because a crash would not show which of them caused it, and for a suspect that already
// runs on another engine, since it could crash both.
func (t *Tracker) Start(now time.Time, fingerprint, engine string) bool {
	switch t.State(now, fingerprint) {
	case Quarantined:
		return false
	case Suspect:
		if _, busy := t.running[engine]; busy {
			return false
		}
		for _, other := range t.running {
			if other == fingerprint {
				return false
			}
		}
		t.running[engine] = fingerprint
	}
	return true
}

// End must be called when a request has ended on an engine, also if the engine crashed: RecordCrash
// may have been called on the tracker of another router. A suspect whose request was answered
// becomes Clear, unless it was released before: that entry is kept, because its release time keeps
// outdated entries of other routers from restoring the quarantine.
func (t *Tracker) End(fingerprint, engine string, answered bool) {
	if t.running[engine] == fingerprint {
		delete(t.running, engine)
	}
	e, ok := t.entries[fingerprint]
	if ok && answered && !e.Quarantined && e.Released.IsZero() {
		delete(t.entries, fingerprint)
	}
}

// RecordCrash records that an engine crashed with the given fingerprints in flight, and returns the
// entries to send to the other routers. At most one of the fingerprints is a suspect from an
// earlier crash, because only one suspect runs on an engine at a time. The others become suspects,
// even if this crash quarantines the earlier suspect, because two requests that crash engines may
// have run at the same time.
func (t *Tracker) RecordCrash(now time.Time, c Crash, inFlight []string) []Entry {
	delete(t.running, c.Engine)
	list := slices.Compact(slices.Sorted(slices.Values(inFlight)))
	var changed []Entry
	for _, f := range list {
		e := t.entry(now, f)
		e.Crashes = addCrash(e.Crashes, c)
		e.At = now
		e.Quarantined = e.Quarantined || len(e.Crashes) >= t.settings.CrashLimit
		t.entries[f] = e
		changed = append(changed, e)
	}
	t.trim(now)
	return changed
}

// Merge applies entries from other routers and returns those that changed something in this
// tracker.
func (t *Tracker) Merge(now time.Time, entries []Entry) []Entry {
	var changed []Entry
	for _, in := range entries {
		if t.expired(now, in) {
			continue
		}
		e := t.entry(now, in.Fingerprint)
		before := e
		if in.Released.After(e.Released) {
			e.Released = in.Released
			if !e.At.After(in.Released) {
				e.Crashes, e.Quarantined = nil, false
			}
		}
		if in.At.After(e.Released) {
			for _, c := range in.Crashes {
				e.Crashes = addCrash(e.Crashes, c)
			}
			e.Quarantined = e.Quarantined || in.Quarantined || len(e.Crashes) >= t.settings.CrashLimit
		}
		if in.At.After(e.At) {
			e.At = in.At
		}
		t.entries[in.Fingerprint] = e
		if !equalEntries(before, e) {
			changed = append(changed, e)
		}
	}
	t.trim(now)
	return changed
}

// maxClockSkew is longer than an entry takes to reach every router. If the time in a received entry
// differs by more from this router's clock, one of the two clocks is wrong.
const maxClockSkew = time.Minute

// CorrectClockSkew returns the time to store for a crash that another router recorded at the given
// time of its own clock. A time that differs from now by more than maxClockSkew would make the
// entry expire too early or too late, and is replaced by now.
func CorrectClockSkew(now, at time.Time) time.Time {
	if now.Sub(at).Abs() > maxClockSkew {
		return now
	}
	return at
}

// Release ends a quarantine on an operator's request and returns the entry to send to the other
// routers.
func (t *Tracker) Release(now time.Time, fingerprint string) Entry {
	e := t.entry(now, fingerprint)
	e.Crashes, e.Quarantined, e.Released, e.At = nil, false, now, now
	t.entries[fingerprint] = e
	return e
}

// List returns the entries that have not expired, sorted by fingerprint.
func (t *Tracker) List(now time.Time) []Entry {
	var out []Entry
	for _, e := range t.entries {
		if !t.expired(now, e) {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return strings.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

// Quarantined returns the entries of the quarantined fingerprints, sorted by fingerprint.
func (t *Tracker) Quarantined(now time.Time) []Entry {
	return slices.DeleteFunc(t.List(now), func(e Entry) bool { return !e.Quarantined })
}

// Running returns the number of suspects that are running.
func (t *Tracker) Running() int { return len(t.running) }

func (t *Tracker) entry(now time.Time, fingerprint string) Entry {
	e, ok := t.entries[fingerprint]
	if !ok || t.expired(now, e) {
		return Entry{Fingerprint: fingerprint}
	}
	return e
}

func (t *Tracker) expired(now time.Time, e Entry) bool {
	if e.Quarantined {
		return now.Sub(e.At) >= t.settings.QuarantineTTL
	}
	return now.Sub(e.At) >= t.settings.SuspectTTL
}

// trim removes expired entries and, for quarantined fingerprints and all others separately, the
// oldest entries above the limit. It does nothing while the number of all entries is within the
// smaller limit.
func (t *Tracker) trim(now time.Time) {
	if len(t.entries) <= min(t.settings.MaxSuspects, t.settings.MaxQuarantined) {
		return
	}
	var byState [2][]Entry
	for f, e := range t.entries {
		switch {
		case t.expired(now, e):
			delete(t.entries, f)
		case e.Quarantined:
			byState[1] = append(byState[1], e)
		default:
			byState[0] = append(byState[0], e)
		}
	}
	for i, limit := range [...]int{t.settings.MaxSuspects, t.settings.MaxQuarantined} {
		list := byState[i]
		slices.SortFunc(list, func(a, b Entry) int {
			return cmp.Or(a.At.Compare(b.At), strings.Compare(a.Fingerprint, b.Fingerprint))
		})
		for _, e := range list[:max(0, len(list)-limit)] {
			delete(t.entries, e.Fingerprint)
		}
	}
}

// addCrash returns the list with c added, sorted and without duplicates. It does not modify the
// list, because entries that were returned earlier share it.
func addCrash(list []Crash, c Crash) []Crash {
	if slices.Contains(list, c) {
		return list
	}
	out := append(slices.Clone(list), c)
	slices.SortFunc(out, compareCrashes)
	return out
}

func compareCrashes(a, b Crash) int {
	return cmp.Or(strings.Compare(a.Engine, b.Engine), strings.Compare(a.Boot, b.Boot))
}

func equalEntries(a, b Entry) bool {
	return a.Quarantined == b.Quarantined && a.At.Equal(b.At) && a.Released.Equal(b.Released) && slices.Equal(a.Crashes, b.Crashes)
}

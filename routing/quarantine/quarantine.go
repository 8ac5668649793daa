// Package quarantine finds the request that crashes every engine which runs it, and keeps it from the others.
package quarantine

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Settings of a tracker.
type Settings struct {
	// Crashes is the number of engines that a fingerprint may crash before it is quarantined; at least 1.
	Crashes int
	// Suspicion is how long a suspect is remembered, and Expiry how long a quarantine lasts.
	Suspicion, Expiry time.Duration
	// Suspects and Quarantined bound the number of entries. The oldest make room.
	Suspects, Quarantined int
}

// Defaults returns the settings of the design page: at most two engines are lost to one request, and a quarantine lasts
// for 24 hours.
func Defaults() Settings {
	return Settings{Crashes: 2, Suspicion: 30 * time.Minute, Expiry: 24 * time.Hour, Suspects: 4096, Quarantined: 1024}
}

// State says how a fingerprint is to be treated.
type State uint8

// The states of a fingerprint.
const (
	// Clear fingerprints are not known.
	Clear State = iota
	// Suspect fingerprints run apart from each other.
	Suspect
	// Quarantined fingerprints are refused.
	Quarantined
)

// Crash names one crash of one engine.
type Crash struct {
	Engine string
	// Boot is the engine's boot identifier before the crash, so that two reports of one crash count once.
	Boot string
}

// Entry is what a tracker knows of a fingerprint. Entries are exchanged between routers and kept in the object API.
type Entry struct {
	Fingerprint string
	// Crashes are sorted and distinct.
	Crashes []Crash
	// At is when the latest crash was seen.
	At          time.Time
	Quarantined bool
	// Released is when an operator released it; crashes up to then do not count. Zero if never.
	Released time.Time
}

// Tracker keeps the suspects and quarantined fingerprints that a router knows. It is not safe for concurrent use.
type Tracker struct {
	settings Settings
	entries  map[string]Entry
	// running holds the suspect that runs on each engine.
	running map[string]string
}

// New returns an empty tracker.
func New(s Settings) *Tracker {
	s.Crashes = max(1, s.Crashes)
	return &Tracker{settings: s, entries: map[string]Entry{}, running: map[string]string{}}
}

// State returns how to treat a fingerprint now.
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

// Start is called by the engine's owner before a request starts there; End has to follow in every case, also when the
// request gets no slot or its slot expires. It is false for a quarantined fingerprint, and for
// a suspect while another suspect runs on the engine: that would hide which of them is guilty. A suspect that already
// runs elsewhere may not start either, since it could take both engines down.
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

// End is called when a request has ended on an engine that did not crash. A suspect that was answered is cleared.
func (t *Tracker) End(fingerprint, engine string, answered bool) {
	if t.running[engine] == fingerprint {
		delete(t.running, engine)
	}
	e, ok := t.entries[fingerprint]
	if ok && answered && !e.Quarantined && e.Released.IsZero() {
		delete(t.entries, fingerprint)
	}
}

// Crashed records that an engine crashed while the fingerprints were in flight on it, and returns the entries to tell the
// other routers. At most one of them is a suspect of an earlier crash, because suspects run apart; the others become
// suspects. None of them is cleared by the suspect's guilt: two guilty requests may have met.
func (t *Tracker) Crashed(now time.Time, c Crash, inFlight []string) []Entry {
	delete(t.running, c.Engine)
	list := slices.Compact(slices.Sorted(slices.Values(inFlight)))
	var changed []Entry
	for _, f := range list {
		e := t.entry(now, f)
		e.Crashes = addCrash(e.Crashes, c)
		e.At = now
		e.Quarantined = e.Quarantined || len(e.Crashes) >= t.settings.Crashes
		t.entries[f] = e
		changed = append(changed, e)
	}
	t.trim(now)
	return changed
}

// Merge takes entries of other routers and returns those that changed something here.
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
			e.Quarantined = e.Quarantined || in.Quarantined || len(e.Crashes) >= t.settings.Crashes
		}
		if in.At.After(e.At) {
			e.At = in.At
		}
		t.entries[in.Fingerprint] = e
		if !same(before, e) {
			changed = append(changed, e)
		}
	}
	t.trim(now)
	return changed
}

// spreadLimit is longer than an entry takes to reach every router.
const spreadLimit = time.Minute

// Received returns the time to keep for a crash that another router saw at its own time. Clocks of two routers are not
// compared: a time further than a minute from now comes from a clock that is off, and would end the suspicion early or late.
func Received(now, at time.Time) time.Time {
	if now.Sub(at).Abs() > spreadLimit {
		return now
	}
	return at
}

// Release ends a quarantine by an operator's order and returns the entry to tell the other routers.
func (t *Tracker) Release(now time.Time, fingerprint string) Entry {
	e := t.entry(now, fingerprint)
	e.Crashes, e.Quarantined, e.Released, e.At = nil, false, now, now
	t.entries[fingerprint] = e
	return e
}

// List returns the entries that have not expired, in the order of their fingerprints.
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

// Running returns the number of suspects that run now.
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
		return now.Sub(e.At) >= t.settings.Expiry
	}
	return now.Sub(e.At) >= t.settings.Suspicion
}

// trim removes expired entries, and the oldest of each kind above its bound.
func (t *Tracker) trim(now time.Time) {
	if len(t.entries) <= min(t.settings.Suspects, t.settings.Quarantined) {
		return
	}
	var kinds [2][]Entry
	for f, e := range t.entries {
		switch {
		case t.expired(now, e):
			delete(t.entries, f)
		case e.Quarantined:
			kinds[1] = append(kinds[1], e)
		default:
			kinds[0] = append(kinds[0], e)
		}
	}
	for i, most := range [...]int{t.settings.Suspects, t.settings.Quarantined} {
		list := kinds[i]
		slices.SortFunc(list, func(a, b Entry) int {
			return cmp.Or(a.At.Compare(b.At), strings.Compare(a.Fingerprint, b.Fingerprint))
		})
		for _, e := range list[:max(0, len(list)-most)] {
			delete(t.entries, e.Fingerprint)
		}
	}
}

// addCrash returns a new slice, because entries that were returned share the old one.
func addCrash(list []Crash, c Crash) []Crash {
	if slices.Contains(list, c) {
		return list
	}
	out := append(slices.Clone(list), c)
	slices.SortFunc(out, func(a, b Crash) int {
		return cmp.Or(strings.Compare(a.Engine, b.Engine), strings.Compare(a.Boot, b.Boot))
	})
	return out
}

func same(a, b Entry) bool {
	return a.Quarantined == b.Quarantined && a.At.Equal(b.At) && a.Released.Equal(b.Released) && slices.Equal(a.Crashes, b.Crashes)
}

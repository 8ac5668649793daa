package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// PartKey identifies a part of a prompt for one model. Its position in the prompt doesn't matter.
type PartKey uint64

// PartKeyOf returns the key of a prompt part.
func PartKeyOf(model, part string) PartKey {
	return PartKey(xxhash.Sum64String(strconv.Itoa(len(model)) + ":" + model + part))
}

// CrashKey is a hash that replaces a crash in messages. If two crashes had the same key, they would
// count as one.
type CrashKey uint32

// Key returns the key of a crash.
func (c Crash) Key() CrashKey { return CrashKey(xxhash.Sum64String(c.Engine + "/" + c.Boot)) }

// KeysOf returns the keys of crashes.
func KeysOf(crashes []Crash) []CrashKey {
	var keys []CrashKey
	for _, c := range crashes {
		keys = append(keys, c.Key())
	}
	return keys
}

// PartSettings configures a PartTracker.
type PartSettings struct {
	// CrashLimit is the number of crashes without a later answer from which on a part can be
	// quarantined; at least 1. Crashes within CrashWindow count as one, because servers that crash
	// at the same time have a common cause, such as the failure of a rack.
	CrashLimit  int
	CrashWindow time.Duration
	// ConfirmTime and ConfirmAnswers are the time and the number of answers of the same model since
	// a part reached CrashLimit after which it is confirmed. An answer to a prompt with the part
	// clears it, so an outage of all engines of the model confirms nothing.
	ConfirmTime    time.Duration
	ConfirmAnswers int
	// SuspectTTL is how long a part is retained after its latest crash, and QuarantineTTL how long
	// if it has reached CrashLimit.
	SuspectTTL, QuarantineTTL time.Duration
	// AnnounceTime is how long a change of a part is announced, and RefreshInterval the time between
	// two announcements of a part that has reached CrashLimit.
	AnnounceTime, RefreshInterval time.Duration
	// MaxParts limits the number of parts, and MaxCrashes the number of crashes of one part.
	MaxParts, MaxCrashes int
}

// PartDefaults returns the default settings.
func PartDefaults() PartSettings {
	return PartSettings{
		CrashLimit: 3, CrashWindow: 100 * time.Millisecond, ConfirmTime: 500 * time.Millisecond, ConfirmAnswers: 2,
		SuspectTTL: 2 * time.Minute, QuarantineTTL: 10 * time.Minute,
		AnnounceTime: 3 * time.Second, RefreshInterval: time.Second, MaxParts: 4096, MaxCrashes: 128,
	}
}

// PartReport is what a router announces about a part.
type PartReport struct {
	Part    PartKey       `json:"part"`
	Crashes []CrashReport `json:"crashes"`
	// Confirmed is true if the router has confirmed the part; see PartSettings.ConfirmTime.
	Confirmed bool `json:"confirmed,omitempty"`
}

// Valid reports whether the report could be the result of PartTracker.Outgoing.
func (r PartReport) Valid() bool {
	return len(r.Crashes) <= maxReportedCrashes && !slices.ContainsFunc(r.Crashes, func(c CrashReport) bool { return c.Age < 0 })
}

// CrashReport is what a router announces about a crash at which a part was.
type CrashReport struct {
	Crash CrashKey `json:"crash"`
	// Age is the time since the crash.
	Age time.Duration `json:"age"`
	// Cleared is true if an answer to a prompt with the part has begun after the crash, so that the
	// crash no longer counts.
	Cleared bool `json:"cleared,omitempty"`
}

// maxReportedCrashes is the number of crashes in a report. Successive reports hold the others.
const maxReportedCrashes = 8

// suspectPart is a part of prompts that were at a server, without an answer having begun, when the
// server crashed.
type suspectPart struct {
	crashes map[CrashKey]partCrash
	// model is the index of the model in PartTracker.answers; unknownModel if this router saw none of
	// the crashes.
	model int
	// limitReachedAt is when the part reached CrashLimit, and answersAtLimit the number of answers of
	// its model until then. limitReachedAt is zero if fewer crashes count.
	limitReachedAt time.Time
	answersAtLimit int
	// confirmed is true if this or another router has confirmed the part since limitReachedAt.
	confirmed bool
	// changedAt is when a crash was last added or cleared, and ownChangeAt when this router did so
	// by its own observation. sentAt is when the part was announced after its last change.
	changedAt, ownChangeAt, sentAt time.Time
}

// partCrash is the state of one crash of a part. A cleared crash is never active again, so that
// routers that exchange their states reach the same one in whatever order.
type partCrash struct {
	// at is when the server crashed.
	at        time.Time
	cleared   bool
	changedAt time.Time
	// sentAt is when the crash was announced after its last change.
	sentAt time.Time
}

func (p *suspectPart) active() []CrashKey {
	var out []CrashKey
	for key, c := range p.crashes {
		if !c.cleared {
			out = append(out, key)
		}
	}
	slices.Sort(out)
	return out
}

func (p *suspectPart) activeCount() int {
	n := 0
	for _, c := range p.crashes {
		if !c.cleared {
			n++
		}
	}
	return n
}

// countActive returns how many crashes count against the part, those within a window as one.
func (p *suspectPart) countActive(window time.Duration) int {
	var times []time.Time
	for _, c := range p.crashes {
		if !c.cleared {
			times = append(times, c.at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	n := 0
	var first time.Time
	for _, at := range times {
		if n == 0 || at.Sub(first) > window {
			n, first = n+1, at
		}
	}
	return n
}

// lastCrashAt returns when the latest crash took place.
func (p *suspectPart) lastCrashAt() time.Time {
	var last time.Time
	for _, c := range p.crashes {
		if c.at.After(last) {
			last = c.at
		}
	}
	return last
}

// PartTracker detects parts of prompts that crash each engine which begins to answer a prompt with
// them. A sound part is told from such a part by answers: no answer to a prompt with a part that
// crashes engines ever begins. PartTracker is not safe for concurrent use.
type PartTracker struct {
	settings PartSettings
	parts    map[PartKey]*suspectPart
	// atLimit holds the parts with at least CrashLimit crashes that count.
	atLimit map[PartKey]*suspectPart
	// answers counts the prompts that engines have begun to answer, by the hash of the model.
	answers [modelCounters]int
	// quarantined holds groups of parts with the same crashes. A prompt with all parts of a group is
	// rejected.
	quarantined []partGroup
}

// modelCounters is the number of counters of answers. Models that share one confirm the parts of
// each other's prompts.
const modelCounters = 256

// unknownModel is the model of a part that this router knows from others only.
const unknownModel = -1

func modelIndex(model string) int { return int(xxhash.Sum64String(model) % modelCounters) }

type partGroup struct {
	parts   []PartKey
	crashes []CrashKey
}

// NewPartTracker returns an empty tracker.
func NewPartTracker(s PartSettings) *PartTracker {
	s.CrashLimit = max(1, s.CrashLimit)
	return &PartTracker{settings: s, parts: map[PartKey]*suspectPart{}, atLimit: map[PartKey]*suspectPart{}}
}

// RecordCrash records that an engine has crashed before it had begun to answer a prompt with the
// given parts.
func (t *PartTracker) RecordCrash(now time.Time, crash CrashKey, model string, parts []PartKey) {
	for _, key := range parts {
		p := t.part(now, key)
		if p.model == unknownModel {
			p.model = modelIndex(model)
			p.answersAtLimit = t.answers[p.model]
		}
		if t.setCrash(now, key, p, crash, partCrash{at: now}) {
			p.ownChangeAt = now
		}
	}
	t.trim(now)
}

// RecordAnswer records that an engine has begun to answer a prompt with the given parts, and
// returns the parts that this clears of crashes.
func (t *PartTracker) RecordAnswer(now time.Time, model string, parts []PartKey) []PartKey {
	t.answers[modelIndex(model)]++
	var cleared []PartKey
	for _, key := range parts {
		p, known := t.parts[key]
		if !known {
			continue
		}
		active := p.active()
		if len(active) == 0 {
			continue
		}
		for _, crash := range active {
			t.setCrash(now, key, p, crash, partCrash{at: p.crashes[crash].at, cleared: true})
		}
		p.ownChangeAt = now
		cleared = append(cleared, key)
	}
	return cleared
}

// Merge applies the reports of another router.
func (t *PartTracker) Merge(now time.Time, reports []PartReport) {
	for _, r := range reports {
		ttl := t.settings.SuspectTTL
		if len(r.Crashes) >= t.settings.CrashLimit {
			ttl = t.settings.QuarantineTTL
		}
		recent := slices.DeleteFunc(slices.Clone(r.Crashes), func(c CrashReport) bool { return c.Age >= ttl })
		if len(recent) == 0 {
			continue
		}
		p := t.part(now, r.Part)
		for _, c := range recent {
			t.setCrash(now, r.Part, p, c.Crash, partCrash{at: now.Add(-c.Age), cleared: c.Cleared})
		}
		// A report that was sent before an answer cleared the part confirms nothing.
		if r.Confirmed && !p.confirmed && !p.limitReachedAt.IsZero() && p.hasActive(recent) {
			p.confirmed = true
			p.changedAt, p.sentAt = now, time.Time{}
		}
	}
	t.trim(now)
}

// hasActive reports whether any of the given crashes counts against the part.
func (p *suspectPart) hasActive(crashes []CrashReport) bool {
	return slices.ContainsFunc(crashes, func(r CrashReport) bool {
		c, known := p.crashes[r.Crash]
		return known && !c.cleared
	})
}

// part returns the state of a part, and adds it if it is unknown or its state has expired.
func (t *PartTracker) part(now time.Time, key PartKey) *suspectPart {
	p, known := t.parts[key]
	if !known || t.expired(now, p) {
		t.forget(key)
		p = &suspectPart{crashes: map[CrashKey]partCrash{}, model: unknownModel}
		t.parts[key] = p
	}
	return p
}

func (t *PartTracker) forget(key PartKey) {
	delete(t.parts, key)
	delete(t.atLimit, key)
}

// setCrash adds or clears a crash of a part and reports whether that changed anything.
func (t *PartTracker) setCrash(now time.Time, key PartKey, p *suspectPart, crash CrashKey, next partCrash) bool {
	old, known := p.crashes[crash]
	if known && (old.cleared || !next.cleared) {
		return false
	}
	if !known && len(p.crashes) >= t.settings.MaxCrashes && !p.forgetCleared() {
		return false
	}
	if known {
		next.at = old.at
	}
	next.changedAt = now
	p.crashes[crash] = next
	p.changedAt, p.sentAt = now, time.Time{}
	switch n := p.countActive(t.settings.CrashWindow); {
	case n < t.settings.CrashLimit:
		p.limitReachedAt, p.confirmed = time.Time{}, false
		delete(t.atLimit, key)
	case p.limitReachedAt.IsZero():
		p.limitReachedAt = now
		if p.model != unknownModel {
			p.answersAtLimit = t.answers[p.model]
		}
		t.atLimit[key] = p
	}
	return true
}

// forgetCleared removes the cleared crash that changed first and reports whether there was one.
func (p *suspectPart) forgetCleared() bool {
	var oldest CrashKey
	found := false
	for key, c := range p.crashes {
		if c.cleared && (!found || c.changedAt.Before(p.crashes[oldest].changedAt)) {
			oldest, found = key, true
		}
	}
	if found {
		delete(p.crashes, oldest)
	}
	return found
}

// Update decides which parts are quarantined, and returns those that are new or no longer
// quarantined. requests holds the crashes of each quarantined request: a part whose crashes one
// request has all caused is not quarantined for it.
func (t *PartTracker) Update(now time.Time, requests [][]CrashKey) (added, released []PartKey) {
	before := t.Quarantined()
	t.quarantined = nil
	var confirmed []partGroup
	for key, p := range t.atLimit {
		if t.expired(now, p) {
			t.forget(key)
			continue
		}
		if !p.confirmed && now.Sub(p.limitReachedAt) >= t.settings.ConfirmTime && t.hasEnoughAnswers(p) {
			p.confirmed = true
			p.changedAt, p.ownChangeAt, p.sentAt = now, now, time.Time{}
		}
		if p.confirmed {
			confirmed = append(confirmed, partGroup{[]PartKey{key}, p.active()})
		}
	}
	// A part that crashes engines was at each of their crashes, and other parts only at some. So the
	// part with the most crashes is quarantined first, and its crashes count against no other part,
	// even if that part crashes engines too.
	slices.SortFunc(confirmed, func(a, b partGroup) int {
		return cmp.Or(cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(a.parts[0], b.parts[0]))
	})
	for _, g := range confirmed {
		t.quarantine(g, requests)
	}
	after := t.Quarantined()
	return difference(after, before), difference(before, after)
}

// hasEnoughAnswers reports whether engines have answered enough prompts for the model of a part
// since it reached CrashLimit.
func (t *PartTracker) hasEnoughAnswers(p *suspectPart) bool {
	return p.model != unknownModel && t.answers[p.model]-p.answersAtLimit >= t.settings.ConfirmAnswers
}

// quarantine adds a part to the quarantined ones unless its crashes have another cause. Parts with
// the same crashes become one group: only some of them may crash engines, and prompts with the
// others alone show which.
func (t *PartTracker) quarantine(g partGroup, requests [][]CrashKey) {
	for i, q := range t.quarantined {
		if slices.Equal(q.crashes, g.crashes) {
			t.quarantined[i].parts = append(t.quarantined[i].parts, g.parts...)
			return
		}
	}
	if t.Unexplained(g.crashes) < t.settings.CrashLimit {
		return
	}
	if slices.ContainsFunc(requests, func(r []CrashKey) bool { return containsAll(r, g.crashes) }) {
		return
	}
	t.quarantined = append(t.quarantined, g)
}

// HasCandidates reports whether any part has enough crashes to be quarantined.
func (t *PartTracker) HasCandidates() bool { return len(t.atLimit) > 0 }

// Crashes returns the crashes of a part that still count.
func (t *PartTracker) Crashes(key PartKey) []CrashKey {
	if p, known := t.parts[key]; known {
		return p.active()
	}
	return nil
}

// Unexplained returns the number of the given crashes at which no quarantined part was.
func (t *PartTracker) Unexplained(crashes []CrashKey) int {
	n := 0
	for _, c := range crashes {
		if !slices.ContainsFunc(t.quarantined, func(q partGroup) bool { return slices.Contains(q.crashes, c) }) {
			n++
		}
	}
	return n
}

// Rejects returns the quarantined parts for which a prompt with the given parts must be rejected;
// nil if it may be sent to an engine.
func (t *PartTracker) Rejects(parts []PartKey) []PartKey {
	for _, q := range t.quarantined {
		if containsAll(parts, q.parts) {
			return q.parts
		}
	}
	return nil
}

// Quarantined returns the quarantined parts in order of their keys.
func (t *PartTracker) Quarantined() []PartKey {
	var out []PartKey
	for _, q := range t.quarantined {
		out = append(out, q.parts...)
	}
	slices.Sort(out)
	return out
}

// Outgoing returns the reports to announce, at most limit. If forward is false, they are those of
// crashes and answers that this router saw itself.
func (t *PartTracker) Outgoing(now time.Time, forward bool, limit int) []PartReport {
	type candidate struct {
		key    PartKey
		part   *suspectPart
		active int
		urgent bool
	}
	var list []candidate
	for key, p := range t.parts {
		if t.expired(now, p) {
			t.forget(key)
			continue
		}
		changedAt := p.ownChangeAt
		if forward {
			changedAt = p.changedAt
		}
		active := p.activeCount()
		isNews := !changedAt.IsZero() && now.Sub(changedAt) <= t.settings.AnnounceTime
		refresh := forward && !p.limitReachedAt.IsZero() && now.Sub(p.sentAt) >= t.settings.RefreshInterval
		if isNews || refresh {
			// Most parts are at a single crash and sound.
			list = append(list, candidate{key, p, active, active > 1 || active < len(p.crashes)})
		}
	}
	first := func(a, b bool) int {
		switch {
		case a == b:
			return 0
		case a:
			return -1
		}
		return 1
	}
	slices.SortFunc(list, func(a, b candidate) int {
		// A router that has just started must learn of confirmed parts soon.
		return cmp.Or(first(a.part.confirmed, b.part.confirmed), first(a.urgent, b.urgent), a.part.sentAt.Compare(b.part.sentAt), cmp.Compare(b.active, a.active), b.part.changedAt.Compare(a.part.changedAt), cmp.Compare(a.key, b.key))
	})
	var out []PartReport
	for _, c := range list[:min(len(list), limit)] {
		out = append(out, c.part.announce(now, c.key))
	}
	return out
}

// announce returns a report with the crashes that were not announced for the longest time.
func (p *suspectPart) announce(now time.Time, key PartKey) PartReport {
	p.sentAt = now
	order := slices.SortedFunc(maps.Keys(p.crashes), func(a, b CrashKey) int {
		x, y := p.crashes[a], p.crashes[b]
		return cmp.Or(x.sentAt.Compare(y.sentAt), y.changedAt.Compare(x.changedAt), cmp.Compare(a, b))
	})
	r := PartReport{Part: key, Confirmed: p.confirmed}
	for _, key := range order[:min(len(order), maxReportedCrashes)] {
		c := p.crashes[key]
		c.sentAt = now
		p.crashes[key] = c
		r.Crashes = append(r.Crashes, CrashReport{Crash: key, Age: now.Sub(c.at), Cleared: c.cleared})
	}
	return r
}

// PartState is the state of a part for operators.
type PartState struct {
	Part  PartKey
	State State
	// Age is the time since the latest crash.
	Age time.Duration
	// Crashes holds the crashes that count.
	Crashes []CrashKey
}

// List returns the parts with crashes that count, those with the most crashes first, at most limit.
func (t *PartTracker) List(now time.Time, limit int) []PartState {
	quarantined := t.Quarantined()
	var out []PartState
	for key, p := range t.parts {
		if t.expired(now, p) || p.activeCount() == 0 {
			continue
		}
		s := PartState{Part: key, State: Suspect, Age: now.Sub(p.lastCrashAt()), Crashes: p.active()}
		if slices.Contains(quarantined, key) {
			s.State = Quarantined
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b PartState) int {
		return cmp.Or(cmp.Compare(b.State, a.State), cmp.Compare(len(b.Crashes), len(a.Crashes)), cmp.Compare(a.Part, b.Part))
	})
	return out[:min(len(out), limit)]
}

func (t *PartTracker) expired(now time.Time, p *suspectPart) bool {
	ttl := t.settings.SuspectTTL
	if !p.limitReachedAt.IsZero() {
		ttl = t.settings.QuarantineTTL
	}
	return now.Sub(p.lastCrashAt()) >= ttl
}

// trim removes parts above MaxParts: expired ones, and then those with the fewest and oldest
// crashes. It makes room for an eighth of MaxParts, so that it does not sort them at each crash.
func (t *PartTracker) trim(now time.Time) {
	if len(t.parts) <= t.settings.MaxParts {
		return
	}
	for key, p := range t.parts {
		if t.expired(now, p) {
			t.forget(key)
		}
	}
	order := slices.SortedFunc(maps.Keys(t.parts), func(a, b PartKey) int {
		x, y := t.parts[a], t.parts[b]
		return cmp.Or(cmp.Compare(x.activeCount(), y.activeCount()), x.lastCrashAt().Compare(y.lastCrashAt()), cmp.Compare(a, b))
	})
	for _, key := range order[:max(0, len(order)-t.settings.MaxParts*7/8)] {
		t.forget(key)
	}
}

func containsAll[T comparable](all, some []T) bool {
	return !slices.ContainsFunc(some, func(x T) bool { return !slices.Contains(all, x) })
}

// difference returns the elements of a that b lacks.
func difference(a, b []PartKey) []PartKey {
	return slices.DeleteFunc(slices.Clone(a), func(key PartKey) bool { return slices.Contains(b, key) })
}

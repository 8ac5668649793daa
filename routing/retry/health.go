package retry

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// HealthSettings govern circuit breaking, outlier ejection and slow start.
type HealthSettings struct {
	// Window is the time over which outcomes count.
	Window time.Duration
	// Least is the number of outcomes in a window before the failure share counts, and Failures the share that ejects.
	Least    int
	Failures float64
	// Consecutive failures eject at once.
	Consecutive int
	// Eject is the time of the first ejection; it doubles with each further one, up to MostEject.
	Eject, MostEject time.Duration
	// Cap is the greatest share of the servers that is ejected at a time.
	Cap float64
	// SlowStart is the time over which a server that joins or returns gets from a tenth to its whole share.
	SlowStart time.Duration
}

// DefaultHealth returns the default settings.
func DefaultHealth() HealthSettings {
	return HealthSettings{
		Window: 10 * time.Second, Least: 10, Failures: 0.5, Consecutive: 5,
		Eject: 5 * time.Second, MostEject: time.Minute, Cap: 0.3, SlowStart: 10 * time.Second,
	}
}

// Circuit is the state of a server's circuit breaker.
type Circuit uint8

// The states of a circuit breaker.
const (
	// Closed circuits let requests pass.
	Closed Circuit = iota
	// Open circuits let none pass: the server is ejected.
	Open
	// Half lets one request pass, whose outcome decides.
	Half
)

// Health judges the servers of a pool by the outcomes of requests. It is not safe for concurrent use.
type Health struct {
	settings HealthSettings
	servers  map[string]*server
	// elsewhere is the number of servers that others have ejected.
	elsewhere int
}

type server struct {
	since       time.Time
	window      time.Time
	ok, failed  int
	consecutive int
	until       time.Time
	ejections   int
	open        bool
	// trial is when the half-open circuit let a request pass; zero if it has not.
	trial time.Time
}

// NewHealth returns a pool without servers.
func NewHealth(s HealthSettings) *Health { return &Health{settings: s, servers: map[string]*server{}} }

// SetServers takes the servers in service. New ones begin with a slow start, except in an empty pool.
func (h *Health) SetServers(now time.Time, ids []string) {
	first := len(h.servers) == 0
	for id := range h.servers {
		if !slices.Contains(ids, id) {
			delete(h.servers, id)
		}
	}
	for _, id := range ids {
		if h.servers[id] != nil {
			continue
		}
		s := &server{window: now}
		if !first {
			s.since = now
		}
		h.servers[id] = s
	}
}

// SetElsewhere takes the number of the pool's servers that others have taken out of service, for the cap. It is for pools whose
// servers are judged in several places.
func (h *Health) SetElsewhere(n int) { h.elsewhere = max(0, n) }

// Restart takes a server that started anew. What it did before counts only for the time of its next ejection; a present one ends.
// The slow start of a server without state is the caller's: a gate that is taken over ramps up from one slot.
func (h *Health) Restart(now time.Time, id string) {
	if s := h.servers[id]; s != nil {
		h.restore(now, s)
		s.since = time.Time{}
	}
}

// Circuit returns the state of a server's circuit. Unknown servers are Closed.
func (h *Health) Circuit(now time.Time, id string) Circuit {
	s := h.servers[id]
	switch {
	case s == nil || !s.open:
		return Closed
	case now.Before(s.until):
		return Open
	}
	return Half
}

// Allow is true if a request may go to the server, and counts the trial of a half-open circuit.
func (h *Health) Allow(now time.Time, id string) bool {
	switch h.Circuit(now, id) {
	case Open:
		return false
	case Half:
		s := h.servers[id]
		// A trial that never reports an outcome must not block the server for ever.
		if !s.trial.IsZero() && now.Sub(s.trial) < h.settings.Window {
			return false
		}
		s.trial = now
	}
	return true
}

// Record takes the outcome of a request and is true if it ejects the server. Refusals before the start and errors of the
// caller are no failures.
func (h *Health) Record(now time.Time, id string, ok bool) bool {
	s := h.servers[id]
	if s == nil {
		return false
	}
	if now.Sub(s.window) >= h.settings.Window {
		s.window, s.ok, s.failed = now, 0, 0
	}
	if s.open {
		return h.tried(now, s, ok)
	}
	if ok {
		s.ok++
		s.consecutive = 0
		if now.Sub(s.since) >= h.settings.MostEject {
			s.ejections = 0
		}
		return false
	}
	s.failed++
	s.consecutive++
	n := s.ok + s.failed
	bad := n >= h.settings.Least && float64(s.failed) >= h.settings.Failures*float64(n)
	if !bad && s.consecutive < h.settings.Consecutive {
		return false
	}
	if float64(h.ejected()+h.elsewhere+1) > h.settings.Cap*float64(len(h.servers)) {
		return false
	}
	return h.eject(now, s)
}

// tried takes an outcome while the circuit is not closed. One of a request that began before the trial decides nothing.
func (h *Health) tried(now time.Time, s *server, ok bool) bool {
	switch {
	case s.trial.IsZero():
		return false
	case ok:
		h.restore(now, s)
		return false
	}
	return h.eject(now, s)
}

// Weight is the share of its usual work that a server should get: 0 while ejected, and rising during the slow start.
func (h *Health) Weight(now time.Time, id string) float64 {
	s := h.servers[id]
	if s == nil {
		return 1
	}
	if h.Circuit(now, id) != Closed {
		return 0
	}
	age := now.Sub(s.since)
	if s.since.IsZero() || age >= h.settings.SlowStart {
		return 1
	}
	return max(0.1, float64(age)/float64(h.settings.SlowStart))
}

// Len returns the number of servers.
func (h *Health) Len() int { return len(h.servers) }

// Ejected returns the servers that are ejected or on trial, the longest ejected first.
func (h *Health) Ejected() []string {
	var ids []string
	for id, s := range h.servers {
		if s.open {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(h.servers[a].until.Compare(h.servers[b].until), strings.Compare(a, b))
	})
	return ids
}

func (h *Health) ejected() int {
	n := 0
	for _, s := range h.servers {
		if s.open {
			n++
		}
	}
	return n
}

func (h *Health) eject(now time.Time, s *server) bool {
	// Shifts above 16 would overflow long after MostEject is reached.
	d := min(h.settings.Eject<<min(s.ejections, 16), h.settings.MostEject)
	s.ejections++
	s.open, s.until, s.trial = true, now.Add(d), time.Time{}
	return true
}

func (h *Health) restore(now time.Time, s *server) {
	s.open, s.trial, s.since = false, time.Time{}, now
	s.window, s.ok, s.failed, s.consecutive = now, 0, 0, 0
}

package retry

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// HealthSettings configures circuit breaking, outlier ejection and slow start.
type HealthSettings struct {
	// Window is the time over which outcomes are counted. It is also the time after which another
	// trial request may pass if the outcome of the previous one was not recorded.
	Window time.Duration
	// MinOutcomes is the minimum number of outcomes in a window before the share of failures is
	// evaluated, and FailureShare is the share at which a server is ejected.
	MinOutcomes  int
	FailureShare float64
	// ConsecutiveFailures is the number of consecutive failures at which a server is ejected
	// regardless of the share.
	ConsecutiveFailures int
	// BaseEjection is the duration of the first ejection. It doubles with each further one, up to
	// MaxEjection.
	BaseEjection, MaxEjection time.Duration
	// MaxEjectedShare is the maximum share of the servers that are ejected at the same time.
	MaxEjectedShare float64
	// SlowStart is the time in which the weight of a server that joins or returns rises from a
	// tenth to its full value.
	SlowStart time.Duration
}

// DefaultHealth returns the default settings.
func DefaultHealth() HealthSettings {
	return HealthSettings{
		Window: 10 * time.Second, MinOutcomes: 10, FailureShare: 0.5, ConsecutiveFailures: 5,
		BaseEjection: 5 * time.Second, MaxEjection: time.Minute, MaxEjectedShare: 0.3, SlowStart: 10 * time.Second,
	}
}

// Circuit is the state of a server's circuit breaker.
type Circuit uint8

// Failures open a closed circuit. It becomes half-open at the end of the ejection.
const (
	// Closed circuits let all requests pass.
	Closed Circuit = iota
	// Open circuits let no request pass: the server is ejected.
	Open
	// HalfOpen is the half-open state: one trial request may pass, and its outcome closes or opens
	// the circuit.
	HalfOpen
)

// Health ejects servers of a pool and returns them to service, based on the outcomes of requests.
// It is not safe for concurrent use.
type Health struct {
	settings HealthSettings
	servers  map[string]*server
	// outOfServiceElsewhere is the number of servers that are out of service but not ejected by
	// this Health.
	outOfServiceElsewhere int
}

// server holds the counts and the circuit breaker of a server.
type server struct {
	// inServiceSince is when the server joined or returned; zero if it needs no slow start.
	inServiceSince time.Time
	// windowStart is when the window began in which succeeded and failed are counted.
	windowStart       time.Time
	succeeded, failed int
	// consecutive is the number of failures since the last success.
	consecutive  int
	ejectedUntil time.Time
	// ejections is the number of earlier ejections; each doubles the duration of the next one. It
	// is reset by a success after the server has been in service for MaxEjection, or by any success
	// if inServiceSince is zero.
	ejections int
	// open is true while the circuit is open or half-open.
	open bool
	// trialAt is when the half-open circuit let a request pass; zero if it has not.
	trialAt time.Time
}

// NewHealth returns the health of a pool without servers.
func NewHealth(s HealthSettings) *Health { return &Health{settings: s, servers: map[string]*server{}} }

// SetServers sets the servers of the pool. New servers begin with a slow start, unless the pool was
// empty.
func (h *Health) SetServers(now time.Time, ids []string) {
	wasEmpty := len(h.servers) == 0
	for id := range h.servers {
		if !slices.Contains(ids, id) {
			delete(h.servers, id)
		}
	}
	for _, id := range ids {
		if h.servers[id] != nil {
			continue
		}
		s := &server{windowStart: now}
		if !wasEmpty {
			s.inServiceSince = now
		}
		h.servers[id] = s
	}
}

// SetOutOfServiceElsewhere sets the number of the pool's servers that are out of service but not
// ejected by h, such as those that other routers have ejected. They count towards
// HealthSettings.MaxEjectedShare. It is for pools whose servers are ejected by several routers.
func (h *Health) SetOutOfServiceElsewhere(n int) { h.outOfServiceElsewhere = max(0, n) }

// RecordRestart records that a server has restarted. It ends a current ejection and discards
// earlier outcomes; only the number of earlier ejections still lengthens the next one, until the
// first success. There is no slow start. If the restarted server has lost its state, the caller
// must limit its requests, for example by an admission gate that ramps up from one slot after a
// takeover.
func (h *Health) RecordRestart(now time.Time, id string) {
	if s := h.servers[id]; s != nil {
		h.closeCircuit(now, s)
		s.inServiceSince = time.Time{}
	}
}

// Circuit returns the state of a server's circuit breaker. It is Closed for unknown servers.
func (h *Health) Circuit(now time.Time, id string) Circuit {
	s := h.servers[id]
	switch {
	case s == nil || !s.open:
		return Closed
	case now.Before(s.ejectedUntil):
		return Open
	}
	return HalfOpen
}

// Allow reports whether a request may be sent to the server. If the circuit is half-open, it
// registers the request as the trial.
func (h *Health) Allow(now time.Time, id string) bool {
	switch h.Circuit(now, id) {
	case Open:
		return false
	case HalfOpen:
		s := h.servers[id]
		// A trial whose outcome is never recorded must not block the server forever.
		if !s.trialAt.IsZero() && now.Sub(s.trialAt) < h.settings.Window {
			return false
		}
		s.trialAt = now
	}
	return true
}

// Record records the outcome of a request and reports whether it ejects the server. The caller must
// not record a refusal before the start, or an error of the client, as a failure.
func (h *Health) Record(now time.Time, id string, ok bool) bool {
	s := h.servers[id]
	if s == nil {
		return false
	}
	if now.Sub(s.windowStart) >= h.settings.Window {
		s.windowStart, s.succeeded, s.failed = now, 0, 0
	}
	if s.open {
		return h.recordTrial(now, s, ok)
	}
	if ok {
		s.succeeded++
		s.consecutive = 0
		if now.Sub(s.inServiceSince) >= h.settings.MaxEjection {
			s.ejections = 0
		}
		return false
	}
	s.failed++
	s.consecutive++
	total := s.succeeded + s.failed
	tooManyFailed := total >= h.settings.MinOutcomes && float64(s.failed) >= h.settings.FailureShare*float64(total)
	if !tooManyFailed && s.consecutive < h.settings.ConsecutiveFailures {
		return false
	}
	if float64(h.ejectedCount()+h.outOfServiceElsewhere+1) > h.settings.MaxEjectedShare*float64(len(h.servers)) {
		return false
	}
	return h.eject(now, s)
}

// recordTrial records an outcome while the circuit is open or half-open, and reports whether it
// ejects the server again. Outcomes before the trial belong to requests that were sent before the
// ejection and are ignored.
func (h *Health) recordTrial(now time.Time, s *server, ok bool) bool {
	switch {
	case s.trialAt.IsZero():
		return false
	case ok:
		h.closeCircuit(now, s)
		return false
	}
	return h.eject(now, s)
}

// Weight returns the share of its usual load that a server should get: 0 while its circuit is not
// closed, from 0.1 to 1 during the slow start, and 1 otherwise.
func (h *Health) Weight(now time.Time, id string) float64 {
	s := h.servers[id]
	if s == nil {
		return 1
	}
	if h.Circuit(now, id) != Closed {
		return 0
	}
	age := now.Sub(s.inServiceSince)
	if s.inServiceSince.IsZero() || age >= h.settings.SlowStart {
		return 1
	}
	return max(0.1, float64(age)/float64(h.settings.SlowStart))
}

// Len returns the number of servers.
func (h *Health) Len() int { return len(h.servers) }

// Ejected returns the servers whose circuit is open or half-open, sorted by the end of their
// ejection.
func (h *Health) Ejected() []string {
	var ids []string
	for id, s := range h.servers {
		if s.open {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(h.servers[a].ejectedUntil.Compare(h.servers[b].ejectedUntil), strings.Compare(a, b))
	})
	return ids
}

// ejectedCount returns the number of servers whose circuit is open or half-open.
func (h *Health) ejectedCount() int {
	n := 0
	for _, s := range h.servers {
		if s.open {
			n++
		}
	}
	return n
}

// eject opens the circuit of a server.
func (h *Health) eject(now time.Time, s *server) bool {
	// The shift is limited because a large one would overflow. MaxEjection is reached long before
	// 16 doublings.
	duration := min(h.settings.BaseEjection<<min(s.ejections, 16), h.settings.MaxEjection)
	s.ejections++
	s.open, s.ejectedUntil, s.trialAt = true, now.Add(duration), time.Time{}
	return true
}

// closeCircuit returns a server to service with a slow start and resets its counts of outcomes.
func (h *Health) closeCircuit(now time.Time, s *server) {
	s.open, s.trialAt, s.inServiceSince = false, time.Time{}, now
	s.windowStart, s.succeeded, s.failed, s.consecutive = now, 0, 0, 0
}

package permit

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Limit is the limit of a server, as a response of the server stated it.
type Limit struct {
	// PerSecond is the number of requests per second that the server takes from all routers
	// together; 0 or more.
	PerSecond float64
	// Ended is true if the response stated no limit.
	Ended bool
	// At is when a router received the response.
	At time.Time
}

func (l Limit) states(o Limit) bool { return l.Ended == o.Ended && l.PerSecond == o.PerSecond }

// Report is the limit of a server in a message between routers.
type Report struct {
	Server string
	Limit
}

const (
	// announceTime is how long a change of a limit is announced, which is several heartbeats.
	announceTime = 2 * time.Second
	// refreshInterval is the time between two announcements of a limit that has not changed, for
	// routers that have started or were cut off since.
	refreshInterval = time.Second
	// endedTTL is how long the end of a limit is remembered, so that outdated reports do not
	// restore the limit.
	endedTTL = 30 * time.Second
	// confirmInterval is how much later a report must be to count as a confirmation. The time in a
	// report grows by the transmission delay each time it is passed on.
	confirmInterval = time.Second
)

// Ledger holds the limits of all servers, as far as a router knows them. It is not safe for
// concurrent use.
type Ledger struct {
	// born holds the start times of the known servers. Reports on others are ignored.
	born   map[string]int64
	limits map[string]*ledgerEntry
}

type ledgerEntry struct {
	Limit
	// changedAt is when the limit last changed, and sentAt when it was last announced. isOwn is
	// true if this router has received the response that changed it.
	changedAt, sentAt time.Time
	isOwn             bool
}

// NewLedger returns a ledger that knows no servers.
func NewLedger() *Ledger { return &Ledger{born: map[string]int64{}, limits: map[string]*ledgerEntry{}} }

// SetServers sets the start times of the servers by ID. The limits of servers that are gone or have
// restarted are forgotten.
func (l *Ledger) SetServers(born map[string]int64) {
	maps.DeleteFunc(l.limits, func(server string, _ *ledgerEntry) bool {
		at, known := born[server]
		return !known || at != l.born[server]
	})
	l.born = born
}

// Limit returns the number of requests per second that a server takes. limited is false if the
// server states no limit.
func (l *Ledger) Limit(server string) (perSecond float64, limited bool) {
	e := l.limits[server]
	if e == nil || e.Ended {
		return 0, false
	}
	return e.PerSecond, true
}

// HasLimits reports whether any server states a limit.
func (l *Ledger) HasLimits() bool {
	for _, e := range l.limits {
		if !e.Ended {
			return true
		}
	}
	return false
}

// Get returns the latest limit of a server, which may have ended.
func (l *Ledger) Get(server string) (Limit, bool) {
	e := l.limits[server]
	if e == nil {
		return Limit{}, false
	}
	return e.Limit, true
}

// Observe records the limit in a response that this router has received, and reports whether the
// limit has changed.
func (l *Ledger) Observe(now time.Time, server string, limit Limit) (changed bool) {
	e := l.limits[server]
	switch _, known := l.born[server]; {
	case !known || e == nil && limit.Ended:
		return false
	case e == nil:
		e = &ledgerEntry{}
		l.limits[server] = e
	case limit.At.Before(e.At):
		return false
	case e.states(limit):
		e.At = limit.At
		return false
	}
	e.Limit, e.changedAt, e.isOwn = limit, now, true
	return true
}

// Merge records the reports of another router, and returns those that changed a limit. A report
// that contradicts a later response is answered by announcing that again.
func (l *Ledger) Merge(now time.Time, reports []Report) (changed []Report) {
	for _, r := range reports {
		if _, known := l.born[r.Server]; !known || r.Ended && now.Sub(r.At) > endedTTL {
			continue
		}
		e := l.limits[r.Server]
		switch {
		case e == nil && r.Ended:
			continue
		case e == nil:
			e = &ledgerEntry{}
			l.limits[r.Server] = e
		case e.states(r.Limit):
			if r.At.Sub(e.At) > confirmInterval {
				e.At = r.At
			}
			continue
		case !r.At.After(e.At):
			e.changedAt, e.isOwn = now, true
			continue
		}
		e.Limit, e.changedAt, e.isOwn = r.Limit, now, false
		changed = append(changed, r)
	}
	return changed
}

// Outgoing returns at most limit reports to announce to the other routers: the changes of the last
// seconds, and limits that were not announced for some time. If forward is false, they are only the
// changes that this router has seen in responses.
func (l *Ledger) Outgoing(now time.Time, forward bool, limit int) []Report {
	var due []Report
	for server, e := range l.limits {
		if e.Ended && now.Sub(e.At) > endedTTL {
			delete(l.limits, server)
			continue
		}
		isNews := now.Sub(e.changedAt) <= announceTime && (forward || e.isOwn)
		if isNews || forward && !e.Ended && now.Sub(e.sentAt) >= refreshInterval {
			due = append(due, Report{server, e.Limit})
		}
	}
	slices.SortFunc(due, func(a, b Report) int {
		return cmp.Or(l.limits[a.Server].sentAt.Compare(l.limits[b.Server].sentAt), cmp.Compare(a.Server, b.Server))
	})
	due = due[:min(len(due), limit)]
	for _, r := range due {
		l.limits[r.Server].sentAt = now
	}
	return due
}

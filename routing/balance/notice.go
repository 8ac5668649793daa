package balance

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// Notice is what a server states of itself in the headers of a response.
type Notice struct {
	// Leaving is true if the server is shutting down and takes no new requests.
	Leaving bool
	// RetryAfter is how long the server wants no requests from this router; 0 if it does not say.
	RetryAfter time.Duration
}

// IsZero reports whether the server states nothing.
func (n Notice) IsZero() bool { return n == Notice{} }

// RecordNotice applies the notice of one process of a server, and reports whether this router did
// not know it before. born identifies the process; see roster.Server.
func (b *Balancer) RecordNotice(now time.Time, id string, born int64, n Notice) bool {
	e := b.servers[id]
	if e == nil || e.Born != born {
		return false
	}
	isNew := false
	if until := now.Add(n.RetryAfter); n.RetryAfter > 0 && until.After(e.refusedUntil) {
		isNew = !now.Before(e.refusedUntil)
		e.refusedUntil = until
	}
	if n.Leaving && e.announcedLeaving.IsZero() {
		isNew = true
		e.announcedLeaving = now
		b.markLeaving(e)
	}
	return isNew
}

// leavingNoticePeriod is the time for which other routers are told that a server is leaving, which
// is many heartbeats.
const leavingNoticePeriod = 10 * time.Second

// LeavingNotices returns the servers that recently told this router that they are leaving, each as
// ID and start time, separated by a slash.
func (b *Balancer) LeavingNotices(now time.Time) []string {
	var notices []string
	for id, e := range b.servers {
		if !e.announcedLeaving.IsZero() && now.Sub(e.announcedLeaving) < leavingNoticePeriod {
			notices = append(notices, id+"/"+strconv.FormatInt(e.Born, 10))
		}
	}
	slices.Sort(notices)
	return notices
}

// MarkLeaving applies the notices of other routers, in the format of LeavingNotices, and returns
// the IDs of the servers that this router did not know to be leaving. A notice of an earlier
// process of a server is ignored.
func (b *Balancer) MarkLeaving(notices []string) []string {
	var changed []string
	for _, notice := range notices {
		id, born, _ := strings.Cut(notice, "/")
		e := b.servers[id]
		if e == nil || strconv.FormatInt(e.Born, 10) != born || e.toldLeaving {
			continue
		}
		if !e.isLeaving() {
			changed = append(changed, id)
		}
		b.markLeaving(e)
	}
	return changed
}

// markLeaving makes a server get no new requests. Other servers can still fetch from its cache.
func (b *Balancer) markLeaving(e *entry) {
	known := e.isLeaving()
	e.toldLeaving = true
	if known {
		return
	}
	if p := b.pools[e.Service]; p != nil {
		p.entries = slices.DeleteFunc(slices.Clone(p.entries), func(o *entry) bool { return o == e })
		p.draining = append(p.draining, e)
	}
}

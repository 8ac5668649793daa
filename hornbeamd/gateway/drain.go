package gateway

import "time"

// DrainPlan says which requests a router accepts that is shutting down. The times must not decrease
// in the order of the fields.
type DrainPlan struct {
	// Until LeftAt, clients use cached addresses of this router, and all requests are accepted.
	// From then until RejectAt, a request is accepted only if its deadline is before CloseAt.
	LeftAt time.Time
	// RejectAt is the time from which all requests are rejected.
	RejectAt time.Time
	// CloseAt is the time at which the requests in progress are aborted.
	CloseAt time.Time
}

// accepts reports whether a request is accepted now, or may be sent to a server for the first time.
// The deadline is zero if the request has none.
func (p DrainPlan) accepts(now, deadline time.Time) bool {
	switch {
	case now.Before(p.LeftAt):
		return true
	case !now.Before(p.RejectAt), deadline.IsZero():
		return false
	}
	return deadline.Add(writeDeadlineMargin).Before(p.CloseAt)
}

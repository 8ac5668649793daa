package permit

import (
	"slices"
	"time"
)

// slotSettleTime is how long a router that becomes the issuer of a server hands out none of its slots,
// until the reports of the other routers include what the previous issuer has permitted.
const slotSettleTime = 600 * time.Millisecond

// Issuers is the list of the routers that may issue permits, as a router sees it. The zero value is
// empty. It is not safe for concurrent use.
type Issuers struct {
	ids []string
	// former is the list before the first change within slotSettleTime, and changedAt the time of the
	// latest change.
	former    []string
	changedAt time.Time
}

// Set replaces the list, which must be sorted.
func (i *Issuers) Set(now time.Time, ids []string) {
	if slices.Equal(ids, i.ids) {
		return
	}
	if now.Sub(i.changedAt) >= slotSettleTime {
		i.former = i.ids
	}
	i.ids, i.changedAt = ids, now
}

// Of returns the issuer of a server, or an empty string if the list is empty.
func (i *Issuers) Of(server string) string { return IssuerOf(server, i.ids) }

// Count returns the number of routers in the list.
func (i *Issuers) Count() int { return len(i.ids) }

// IsSettled reports whether a router has been the issuer of a server for so long that it knows the
// requests which are in progress there.
func (i *Issuers) IsSettled(now time.Time, server, router string) bool {
	return now.Sub(i.changedAt) >= slotSettleTime || IssuerOf(server, i.former) == router
}

// SettleTime returns the time after which a router that has just become the issuer of a server hands out
// its slots.
func (i *Issuers) SettleTime(now time.Time) time.Duration {
	return max(0, slotSettleTime-now.Sub(i.changedAt))
}

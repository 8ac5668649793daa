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
	// former holds the lists before, as far as they were in effect within slotSettleTime, the latest last.
	former []formerIssuers
}

// formerIssuers is a list that was in effect until a time.
type formerIssuers struct {
	ids   []string
	until time.Time
}

// Set replaces the list, which must be sorted.
func (i *Issuers) Set(now time.Time, ids []string) {
	i.former = slices.DeleteFunc(i.former, func(f formerIssuers) bool { return now.Sub(f.until) >= slotSettleTime })
	if !slices.Equal(ids, i.ids) {
		i.former = append(i.former, formerIssuers{i.ids, now})
		i.ids = ids
	}
}

// Of returns the issuer of a server, or an empty string if the list is empty.
func (i *Issuers) Of(server string) string { return IssuerOf(server, i.ids) }

// Count returns the number of routers in the list.
func (i *Issuers) Count() int { return len(i.ids) }

// SettleTime returns the time after which a router, which is the issuer of a server now, knows the requests
// that others have permitted before.
func (i *Issuers) SettleTime(now time.Time, server, router string) time.Duration {
	for _, f := range slices.Backward(i.former) {
		if left := slotSettleTime - now.Sub(f.until); left > 0 && IssuerOf(server, f.ids) != router {
			return left
		}
	}
	return 0
}

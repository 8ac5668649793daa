package balance

import (
	"maps"
	"math"
	"time"
)

const (
	// usualMemory is the time over which the usual rate of a client account is averaged: many times a surge of some seconds.
	usualMemory = 30 * time.Second
	// surge is the multiple of its usual rate from which on an account surges, and surgeLeast the rate below which none does.
	surge      = 3
	surgeLeast = 2
	// surgeLearned is the number of requests of a surge of which one counts as usual; fewer than surge, or a lasting rise would never be.
	surgeLearned = 2
	// accountsMost bounds the accounts whose rates are kept.
	accountsMost = 4096
)

// account holds the rates at which a client account sends requests to this router.
type account struct {
	recent, usual rate
	since         time.Time
	counted       int
}

// surges counts a request of a client account and is true while it sends many times its usual. Its requests yield to those of the
// others then, so that its surge delays itself first.
func (b *Balancer) surges(now time.Time, id string) bool {
	if id == "" {
		return false
	}
	a := b.accounts[id]
	if a == nil {
		b.forgetAccounts(now)
		a = &account{usual: rate{memory: usualMemory}, since: now}
		b.accounts[id] = a
	}
	a.recent.count(now)
	recent := a.recent.perSecond(now)
	surges := recent > surgeLeast && recent > surge*a.usualPerSecond(now)
	// A surge must not become usual while it lasts, but a lasting change has to.
	if a.counted++; !surges || a.counted%surgeLearned == 0 {
		a.usual.count(now)
	}
	return surges
}

// usualPerSecond returns the usual rate. While the account has been known for less than the memory of the average, that counts only
// the time since.
func (a *account) usualPerSecond(now time.Time) float64 {
	known := max(now.Sub(a.since), memory)
	return a.usual.perSecond(now) / (1 - math.Exp(-float64(known)/float64(usualMemory)))
}

// forgetAccounts makes room for a further account: those that have not been heard of for long go, or else all.
func (b *Balancer) forgetAccounts(now time.Time) {
	if len(b.accounts) < accountsMost {
		return
	}
	maps.DeleteFunc(b.accounts, func(_ string, a *account) bool { return now.Sub(a.usual.counted) > usualMemory })
	if len(b.accounts) >= accountsMost {
		clear(b.accounts)
	}
}

package balance

import (
	"maps"
	"math"
	"time"
)

const (
	// baselineDecayTime is the decay time of the baseline request rate of a client account, many
	// times longer than a surge of a few seconds.
	baselineDecayTime = 30 * time.Second
	// An account counts as surging if its recent rate is above surgeFactor times its baseline rate
	// and above surgeMinPerSecond requests per second.
	surgeFactor       = 3
	surgeMinPerSecond = 2
	// surgeBaselineDivisor: one in surgeBaselineDivisor requests of a surging account counts
	// towards its baseline. It must be less than surgeFactor, or an account whose rate remains
	// higher would count as surging forever.
	surgeBaselineDivisor = 2
	// maxAccounts is the maximum number of accounts whose rates are kept.
	maxAccounts = 4096
)

// accountRates holds the recent and the baseline rate at which a client account sends requests to
// this router.
type accountRates struct {
	recent, baseline rate
	firstSeen        time.Time
	requests         int
}

// recordAndCheckSurge counts a request of a client account and reports whether the account is
// surging, that is, sending at many times its baseline rate. The requests of a surging account get
// a lower priority, so that the surge delays that account first.
func (b *Balancer) recordAndCheckSurge(now time.Time, id string) bool {
	if id == "" {
		return false
	}
	a := b.accounts[id]
	if a == nil {
		b.evictAccounts(now)
		a = &accountRates{baseline: rate{decayTime: baselineDecayTime}, firstSeen: now}
		b.accounts[id] = a
	}
	a.recent.count(now)
	recent := a.recent.perSecond(now)
	surging := recent > surgeMinPerSecond && recent > surgeFactor*a.baselinePerSecond(now)
	// A short surge must not raise the baseline, but a lasting change must.
	if a.requests++; !surging || a.requests%surgeBaselineDivisor == 0 {
		a.baseline.count(now)
	}
	return surging
}

// baselinePerSecond returns the baseline rate. The division makes up for the time before the
// account's first request, during which no request was counted. It assumes that the account has
// been known for at least defaultDecayTime, so that the first requests do not give a huge rate.
func (a *accountRates) baselinePerSecond(now time.Time) float64 {
	known := max(now.Sub(a.firstSeen), defaultDecayTime)
	return a.baseline.perSecond(now) / (1 - math.Exp(-float64(known)/float64(baselineDecayTime)))
}

// evictAccounts makes room for another account if maxAccounts are kept. It removes the accounts
// without a request in the last baselineDecayTime, and all accounts if that is not enough.
func (b *Balancer) evictAccounts(now time.Time) {
	if len(b.accounts) < maxAccounts {
		return
	}
	maps.DeleteFunc(b.accounts, func(_ string, a *accountRates) bool { return now.Sub(a.baseline.updatedAt) > baselineDecayTime })
	if len(b.accounts) >= maxAccounts {
		clear(b.accounts)
	}
}

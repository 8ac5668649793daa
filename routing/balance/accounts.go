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
	// surgeFactor is the multiple of its baseline rate above which an account counts as surging,
	// and surgeMinPerSecond the rate below which no account does.
	surgeFactor       = 3
	surgeMinPerSecond = 2
	// surgeLearnInterval: during a surge, one in this many requests counts towards the baseline. It
	// must be less than surgeFactor, or the baseline would never reach a lasting higher rate.
	surgeLearnInterval = 2
	// maxAccounts is the maximum number of accounts whose rates are kept.
	maxAccounts = 4096
)

// accountRates holds the rates at which a client account sends requests to this router.
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
	if a.requests++; !surging || a.requests%surgeLearnInterval == 0 {
		a.baseline.count(now)
	}
	return surging
}

// baselinePerSecond returns the baseline rate. For an account that has been known for less than the
// decay time, the rate is taken over the time since its first request only.
func (a *accountRates) baselinePerSecond(now time.Time) float64 {
	known := max(now.Sub(a.firstSeen), defaultDecayTime)
	return a.baseline.perSecond(now) / (1 - math.Exp(-float64(known)/float64(baselineDecayTime)))
}

// evictAccounts makes room for another account. It removes the accounts without recent requests,
// and all accounts if that is not enough.
func (b *Balancer) evictAccounts(now time.Time) {
	if len(b.accounts) < maxAccounts {
		return
	}
	maps.DeleteFunc(b.accounts, func(_ string, a *accountRates) bool { return now.Sub(a.baseline.updatedAt) > baselineDecayTime })
	if len(b.accounts) >= maxAccounts {
		clear(b.accounts)
	}
}

package control

import (
	"net/http"
	"sync"
	"time"

	"hornbeamstep.example/hornbeamd/caller"
	"hornbeamstep.example/hornbeamd/operator"
	"hornbeamstep.example/policy"
	"hornbeamstep.example/routing/limit"
	"hornbeamstep.example/routing/outcome"
)

// limits holds this router's part of the limits of client accounts, and counts what they use.
type limits struct {
	mu      sync.Mutex
	limiter *limit.Limiter
	// uses counts what passed here, by account. It is bounded by the number of accounts in the configuration.
	uses map[string]*use
	// asked holds the expected tokens of requests in progress, to correct them by the true number.
	asked map[string]expected
	// since is when uses began to count.
	since time.Time
}

// use is what an account used since the start, and has in progress.
type use struct {
	requests, tokens, running int64
}

type expected struct {
	account string
	tokens  int64
}

func (l *limits) init(now time.Time) {
	l.since = now
	l.limiter = limit.New(limit.Defaults(), 1)
	l.uses = map[string]*use{}
	l.asked = map[string]expected{}
}

// apply takes over the limits of a configuration.
func (l *limits) apply(p policy.Policy) {
	all := make(map[string]limit.Limits, len(p.Accounts))
	for name, a := range p.Accounts {
		all[name] = limit.Limits{Requests: a.Rate, Tokens: a.Tokens}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.SetLimits(all)
	for name := range l.uses {
		if _, ok := p.Accounts[name]; !ok {
			delete(l.uses, name)
		}
	}
}

// take refuses a request that exceeds its account's limit.
func (l *limits) take(now time.Time, a caller.Ask) *outcome.Error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.limiter.Allow(now, a.Account, float64(a.Cost)); !r.OK {
		return &outcome.Error{
			Code: outcome.RateLimited, Outcome: outcome.NotRun, Status: http.StatusTooManyRequests, RetryAfter: r.RetryAfter,
			Message: "client account " + a.Account + " is above its limit",
			Remedy:  "send the request again after the time given, or ask an operator for a higher rate",
		}
	}
	u := l.uses[a.Account]
	if u == nil {
		u = &use{}
		l.uses[a.Account] = u
	}
	u.requests++
	u.running++
	l.asked[a.Request] = expected{account: a.Account, tokens: a.Cost}
	return nil
}

// finished corrects the expected tokens of a request by those that the engine reported.
func (l *limits) finished(now time.Time, request string, tokens int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.asked[request]
	if !ok {
		return
	}
	delete(l.asked, request)
	u := l.uses[e.account]
	if u == nil {
		return
	}
	u.running--
	if tokens > 0 {
		u.tokens += tokens
		l.limiter.AdjustTokens(now, e.account, float64(tokens-e.tokens))
	}
}

// rates returns the mean rates of the accounts since the start.
func (l *limits) rates(now time.Time) []operator.AccountUse {
	l.mu.Lock()
	defer l.mu.Unlock()
	seconds := max(1, now.Sub(l.since).Seconds())
	var out []operator.AccountUse
	for name, u := range l.uses {
		out = append(out, operator.AccountUse{
			Name: name, Requests: float64(u.requests) / seconds, Tokens: float64(u.tokens) / seconds, Running: int(u.running),
		})
	}
	return out
}

// Usage returns the demand of heavy client accounts for their aggregators. Call it once in each period of the limiter.
func (l *Loop) Usage(routers int) []limit.Demand {
	l.init()
	return l.limits.usage(l.Now(), routers)
}

// Totals takes the demand of heavy client accounts over all routers.
func (l *Loop) Totals(totals []limit.Total) { l.limits.totals(l.Now(), totals) }

func (l *limits) usage(now time.Time, routers int) []limit.Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.SetRouters(max(1, routers))
	return l.limiter.HeavyDemand(now)
}

// totals takes the fleet-wide demand of heavy accounts.
func (l *limits) totals(now time.Time, totals []limit.Total) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.SetTotals(now, totals)
}

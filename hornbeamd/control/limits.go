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

// limits enforces this router's share of the rate limits of client accounts, and counts their
// usage.
type limits struct {
	mu      sync.Mutex
	limiter *limit.Limiter
	// usage counts the requests through this router by account. Its size is bounded by the number
	// of accounts in the configuration.
	usage map[string]*accountUse
	// pending holds the requests in progress by request ID, with their expected tokens. finish
	// corrects the limiter by the difference from the actual number.
	pending map[string]pendingRequest
	// since is when the counts of usage began.
	since time.Time
}

// accountUse counts the requests and tokens of an account since the start, and its requests in
// progress.
type accountUse struct {
	requests, tokens, running int64
}

// pendingRequest is a request in progress, with its expected number of tokens.
type pendingRequest struct {
	account string
	tokens  int64
}

func (l *limits) init(now time.Time) {
	l.since = now
	l.limiter = limit.New(limit.Defaults(), 1)
	l.usage = map[string]*accountUse{}
	l.pending = map[string]pendingRequest{}
}

// apply sets the limits of a configuration.
func (l *limits) apply(p policy.Policy) {
	all := make(map[string]limit.Limits, len(p.Accounts))
	for name, a := range p.Accounts {
		all[name] = limit.Limits{Requests: a.Rate, Tokens: a.Tokens}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.SetLimits(all)
	for name := range l.usage {
		if _, ok := p.Accounts[name]; !ok {
			delete(l.usage, name)
		}
	}
}

// admit counts a request, or refuses it if it exceeds the limit of its account.
func (l *limits) admit(now time.Time, request caller.SlotRequest) *outcome.Error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.limiter.Allow(now, request.Account, float64(request.Cost)); !r.OK {
		return &outcome.Error{
			Code: outcome.RateLimited, Outcome: outcome.NotRun, Status: http.StatusTooManyRequests, RetryAfter: r.RetryAfter,
			Message: "client account " + request.Account + " is above its limit",
			Remedy:  "send the request again after the time given, or ask an operator for a higher rate",
		}
	}
	use := l.usage[request.Account]
	if use == nil {
		use = &accountUse{}
		l.usage[request.Account] = use
	}
	use.requests++
	use.running++
	l.pending[request.RequestID] = pendingRequest{account: request.Account, tokens: request.Cost}
	return nil
}

// finish ends a request and replaces its expected tokens by the number that it used. The expected
// number stands if tokens is 0.
func (l *limits) finish(now time.Time, request string, tokens int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.pending[request]
	if !ok {
		return
	}
	delete(l.pending, request)
	use := l.usage[p.account]
	if use == nil {
		return
	}
	use.running--
	if tokens > 0 {
		use.tokens += tokens
		l.limiter.AdjustTokens(now, p.account, float64(tokens-p.tokens))
	}
}

// cancel ends a request that did not run, and gives its expected tokens back to its account.
func (l *limits) cancel(now time.Time, request string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.pending[request]
	if !ok {
		return
	}
	delete(l.pending, request)
	l.limiter.AdjustTokens(now, p.account, float64(-p.tokens))
	if use := l.usage[p.account]; use != nil {
		use.running--
	}
}

// rates returns the mean request and token rates of the accounts since the start.
func (l *limits) rates(now time.Time) []operator.AccountUse {
	l.mu.Lock()
	defer l.mu.Unlock()
	seconds := max(1, now.Sub(l.since).Seconds())
	var out []operator.AccountUse
	for name, use := range l.usage {
		out = append(out, operator.AccountUse{
			Name: name, Requests: float64(use.requests) / seconds, Tokens: float64(use.tokens) / seconds, Running: int(use.running),
		})
	}
	return out
}

// HeavyDemand sets the number of routers that share the limits, and returns the demand of heavy
// client accounts to send to the routers that aggregate it. Call it once every
// limit.Settings.ReportInterval.
func (l *Loop) HeavyDemand(routers int) []limit.Demand {
	l.init()
	return l.limits.heavyDemand(l.Now(), routers)
}

// SetDemandTotals sets the demand of heavy client accounts summed over all routers.
func (l *Loop) SetDemandTotals(totals []limit.Total) { l.limits.setTotals(l.Now(), totals) }

func (l *limits) heavyDemand(now time.Time, routers int) []limit.Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.SetRouters(max(1, routers))
	return l.limiter.HeavyDemand(now)
}

// setTotals sets the fleet-wide demand of heavy client accounts.
func (l *limits) setTotals(now time.Time, totals []limit.Total) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.SetTotals(now, totals)
}

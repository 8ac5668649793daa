// Package limit holds requests and tokens of a client account to its limits over all routers, each of which sees a sliver.
//
// A router may spend its even share of a limit without asking anybody. Where it sees more than a tenth of that share it
// reports its demand to the account's aggregator once a second, and receives the demand of all who reported; it may then
// spend its part of the limit by demand. So only heavy accounts cost messages.
package limit

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Limits of an account over all routers; 0 for none.
type Limits struct {
	// Requests and Tokens are per second.
	Requests, Tokens float64
}

// Settings of a limiter.
type Settings struct {
	// Light is the part of a router's even share up to which its demand is not reported.
	Light float64
	// Burst is the time over which unused allowance adds up.
	Burst time.Duration
	// Period is the time between two exchanges, and Life how long a total counts without a newer one.
	Period, Life time.Duration
	// Accounts bounds the number of accounts that are remembered.
	Accounts int
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{Light: 0.1, Burst: 2 * time.Second, Period: time.Second, Life: 5 * time.Second, Accounts: 16384}
}

// Demand is what an account asked for, in requests and tokens per second, granted or not.
type Demand struct {
	Account          string
	Requests, Tokens float64
}

// Total is the demand of an account over the routers that reported it.
type Total struct {
	Demand
	// Routers is the number of reports in the total.
	Routers int
}

// Result is the answer to a request.
type Result struct {
	OK bool
	// Retry is when a refused request may be sent again.
	Retry time.Duration
}

// Limiter is a router's part of the limits. It is not safe for concurrent use.
type Limiter struct {
	settings Settings
	routers  int
	limits   map[string]Limits
	accounts map[string]*account
}

type account struct {
	// seen is the last use.
	seen             time.Time
	requests, tokens bucket
	demand           meter
	// total is valid until expires; reported is this router's own demand in it.
	total    Total
	expires  time.Time
	reported Demand
}

// New returns a limiter for one of a number of routers.
func New(s Settings, routers int) *Limiter {
	return &Limiter{settings: s, routers: max(1, routers), limits: map[string]Limits{}, accounts: map[string]*account{}}
}

// SetRouters takes the number of routers, which sets the even share.
func (l *Limiter) SetRouters(n int) { l.routers = max(1, n) }

// SetLimits takes the limits of all accounts from the configuration.
func (l *Limiter) SetLimits(limits map[string]Limits) { l.limits = limits }

// Allow asks for one request with an expected number of tokens.
func (l *Limiter) Allow(now time.Time, name string, tokens float64) Result {
	limits, ok := l.limits[name]
	if !ok || limits.Requests <= 0 && limits.Tokens <= 0 {
		return Result{OK: true}
	}
	a := l.account(now, name)
	a.demand.add(now, 1, tokens)
	requests, perToken := l.rates(now, a, limits)
	a.requests.fill(now, requests, l.settings.Burst)
	a.tokens.fill(now, perToken, l.settings.Burst)
	wait := max(a.requests.wait(1, requests), a.tokens.wait(min(tokens, a.tokens.most), perToken))
	if wait > 0 {
		return Result{Retry: min(max(wait, time.Second), time.Minute)}
	}
	a.requests.level--
	a.tokens.level -= tokens
	return Result{OK: true}
}

// Charge corrects the expected tokens of a request once the true number is known; extra may be negative.
func (l *Limiter) Charge(now time.Time, name string, extra float64) {
	if a := l.accounts[name]; a != nil {
		a.demand.add(now, 0, extra)
		a.tokens.level -= extra
	}
}

// rates returns what the router may spend per second; infinite where there is no limit.
func (l *Limiter) rates(now time.Time, a *account, limits Limits) (requests, tokens float64) {
	return l.rate(now, a, limits.Requests, a.reported.Requests, a.total.Requests),
		l.rate(now, a, limits.Tokens, a.reported.Tokens, a.total.Tokens)
}

// rate gives every router its light share, which those that did not report may use, and the rest by demand. The sum over
// the routers is the limit.
func (l *Limiter) rate(now time.Time, a *account, limit, own, total float64) float64 {
	if limit <= 0 {
		return math.Inf(1)
	}
	n := float64(l.routers)
	if !now.Before(a.expires) || total <= 0 {
		return limit / n
	}
	return l.settings.Light*limit/n + (1-l.settings.Light)*limit*min(1, own/total)
}

// Usage returns the demand of the heavy accounts, in order of their names, for their aggregators. Call it once a Period.
func (l *Limiter) Usage(now time.Time) []Demand {
	var out []Demand
	for name, a := range l.accounts {
		d := a.demand.rate(now, l.settings.Period)
		d.Account = name
		limits := l.limits[name]
		share := l.settings.Light / float64(l.routers)
		heavy := limits.Requests > 0 && d.Requests > share*limits.Requests || limits.Tokens > 0 && d.Tokens > share*limits.Tokens
		if !heavy {
			a.reported = Demand{}
			continue
		}
		a.reported = d
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b Demand) int { return strings.Compare(a.Account, b.Account) })
	return out
}

// Totals takes the answers of the aggregators.
func (l *Limiter) Totals(now time.Time, totals []Total) {
	for _, t := range totals {
		if a := l.accounts[t.Account]; a != nil {
			a.total, a.expires = t, now.Add(l.settings.Life)
		}
	}
}

func (l *Limiter) account(now time.Time, name string) *account {
	a := l.accounts[name]
	if a == nil {
		if len(l.accounts) >= l.settings.Accounts {
			l.forget()
		}
		a = &account{}
		l.accounts[name] = a
	}
	a.seen = now
	return a
}

// forget removes the account that was used least recently.
func (l *Limiter) forget() {
	oldest := ""
	for name, a := range l.accounts {
		if oldest == "" || a.seen.Before(l.accounts[oldest].seen) || a.seen.Equal(l.accounts[oldest].seen) && name < oldest {
			oldest = name
		}
	}
	delete(l.accounts, oldest)
}

// bucket is a token bucket; its first fill makes it full.
type bucket struct {
	level, most float64
	at          time.Time
}

func (b *bucket) fill(now time.Time, rate float64, burst time.Duration) {
	if math.IsInf(rate, 1) {
		b.level, b.most, b.at = math.Inf(1), math.Inf(1), now
		return
	}
	// At least one request must fit, however small the share.
	b.most = max(1, rate*burst.Seconds())
	if b.at.IsZero() || math.IsInf(b.level, 1) {
		b.level = b.most
	} else {
		b.level = min(b.most, b.level+rate*now.Sub(b.at).Seconds())
	}
	b.at = now
}

// wait is the time until the bucket holds an amount; 0 if it does now.
func (b *bucket) wait(amount, rate float64) time.Duration {
	if b.level >= amount-1e-9 {
		return 0
	}
	return time.Duration((amount - b.level) / rate * float64(time.Second))
}

// meter measures a rate over periods, averaged over about three of them.
type meter struct {
	start              time.Time
	requests, tokens   float64
	requestsA, tokensA float64
}

func (m *meter) add(now time.Time, requests, tokens float64) {
	if m.start.IsZero() {
		m.start = now
	}
	m.requests += requests
	m.tokens += tokens
}

func (m *meter) rate(now time.Time, period time.Duration) Demand {
	d := now.Sub(m.start)
	if d < period/2 {
		return Demand{Requests: m.requestsA, Tokens: m.tokensA}
	}
	const keep = 0.5
	m.requestsA = keep*m.requestsA + (1-keep)*m.requests/d.Seconds()
	m.tokensA = keep*m.tokensA + (1-keep)*m.tokens/d.Seconds()
	m.start, m.requests, m.tokens = now, 0, 0
	return Demand{Requests: m.requestsA, Tokens: max(0, m.tokensA)}
}

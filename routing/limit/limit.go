// Package limit enforces the request and token limits of a client account over all routers,
// although each router sees only a fraction of the account's traffic.
//
// A router may use its even share of a limit without coordination. If the demand that it sees
// exceeds a tenth of that share, it reports the demand to the account's aggregator once a second
// and receives the total demand of all routers that reported. It may then use a tenth of its even
// share, and a part of the remaining limit that corresponds to its part of the total demand. Only
// accounts with heavy traffic therefore cause messages between routers.
package limit

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Limits are the limits of an account over all routers; 0 means no limit.
type Limits struct {
	// Requests and Tokens are per second.
	Requests, Tokens float64
}

// Settings configures a Limiter and an Aggregator.
type Settings struct {
	// LightShare is the fraction of a router's even share up to which its demand is not reported.
	LightShare float64
	// Burst is the time over which unused allowance accumulates.
	Burst time.Duration
	// ReportInterval is the time between two reports of a router. TotalTTL is how long a total, and
	// a router's report to the aggregator, is valid without a newer one.
	ReportInterval, TotalTTL time.Duration
	// MaxAccounts is the maximum number of accounts that are tracked.
	MaxAccounts int
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{LightShare: 0.1, Burst: 2 * time.Second, ReportInterval: time.Second, TotalTTL: 5 * time.Second, MaxAccounts: 16384}
}

// Demand is the traffic of an account, in requests and tokens per second, including refused
// requests.
type Demand struct {
	Account          string
	Requests, Tokens float64
}

// Total is the demand of an account, summed over the routers that reported it.
type Total struct {
	Demand
	// Routers is the number of routers whose reports are included.
	Routers int
}

// Result is the decision on a request.
type Result struct {
	OK bool
	// RetryAfter is the time after which a refused request may be sent again.
	RetryAfter time.Duration
}

// Limiter enforces one router's part of the limits. It is not safe for concurrent use.
type Limiter struct {
	settings Settings
	routers  int
	limits   map[string]Limits
	accounts map[string]*account
}

type account struct {
	lastUsed         time.Time
	requests, tokens bucket
	demand           meter
	// total is valid until expires; reported is this router's own demand, which total includes.
	total    Total
	expires  time.Time
	reported Demand
}

// New returns the limiter of one router in a fleet of the given size.
func New(s Settings, routers int) *Limiter {
	return &Limiter{settings: s, routers: max(1, routers), limits: map[string]Limits{}, accounts: map[string]*account{}}
}

// SetRouters sets the number of routers, which determines the even share.
func (l *Limiter) SetRouters(n int) { l.routers = max(1, n) }

// SetLimits sets the limits of all accounts from the configuration.
func (l *Limiter) SetLimits(limits map[string]Limits) { l.limits = limits }

// Allow decides on one request with the given expected number of tokens, and deducts an allowed
// request from the account's allowance.
func (l *Limiter) Allow(now time.Time, name string, tokens float64) Result {
	limits, ok := l.limits[name]
	if !ok || limits.Requests <= 0 && limits.Tokens <= 0 {
		return Result{OK: true}
	}
	a := l.account(now, name)
	a.demand.add(now, 1, tokens)
	requestRate, tokenRate := l.rates(now, a, limits)
	a.requests.fill(now, requestRate, l.settings.Burst)
	a.tokens.fill(now, tokenRate, l.settings.Burst)
	// A request with more tokens than the bucket can hold needs only a full bucket; otherwise it
	// would never be allowed.
	wait := max(a.requests.wait(1, requestRate), a.tokens.wait(min(tokens, a.tokens.capacity), tokenRate))
	if wait > 0 {
		return Result{RetryAfter: min(max(wait, time.Second), time.Minute)}
	}
	a.requests.level--
	a.tokens.level -= tokens
	return Result{OK: true}
}

// AdjustTokens corrects the tokens charged to an account for a request. extra is the actual minus
// the expected number of tokens and may be negative.
func (l *Limiter) AdjustTokens(now time.Time, name string, extra float64) {
	if a := l.accounts[name]; a != nil {
		a.demand.add(now, 0, extra)
		a.tokens.level -= extra
	}
}

// rates returns the numbers of requests and tokens per second that this router may use; infinite
// where there is no limit.
func (l *Limiter) rates(now time.Time, a *account, limits Limits) (requests, tokens float64) {
	return l.rate(now, a, limits.Requests, a.reported.Requests, a.total.Requests),
		l.rate(now, a, limits.Tokens, a.reported.Tokens, a.total.Tokens)
}

// rate returns this router's part of a limit, which is its even share while no total is valid. With
// a valid total, every router gets LightShare of its even share, including routers whose demand is
// too low to be reported. The rest of the limit is divided in proportion to the reported demand.
// The parts of all routers then add up to the limit.
func (l *Limiter) rate(now time.Time, a *account, limit, own, total float64) float64 {
	if limit <= 0 {
		return math.Inf(1)
	}
	n := float64(l.routers)
	if !now.Before(a.expires) || total <= 0 {
		return limit / n
	}
	return l.settings.LightShare*limit/n + (1-l.settings.LightShare)*limit*min(1, own/total)
}

// HeavyDemand returns the demand of the heavy accounts, sorted by name, for their aggregators. An
// account is heavy if its demand at this router exceeds Settings.LightShare of the router's even
// share. Call HeavyDemand once every Settings.ReportInterval, since it starts a new measurement.
func (l *Limiter) HeavyDemand(now time.Time) []Demand {
	var out []Demand
	for name, a := range l.accounts {
		d := a.demand.rate(now, l.settings.ReportInterval)
		d.Account = name
		limits := l.limits[name]
		share := l.settings.LightShare / float64(l.routers)
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

// SetTotals updates the totals from the replies of the aggregators.
func (l *Limiter) SetTotals(now time.Time, totals []Total) {
	for _, t := range totals {
		if a := l.accounts[t.Account]; a != nil {
			a.total, a.expires = t, now.Add(l.settings.TotalTTL)
		}
	}
}

func (l *Limiter) account(now time.Time, name string) *account {
	a := l.accounts[name]
	if a == nil {
		if len(l.accounts) >= l.settings.MaxAccounts {
			l.evictOldest()
		}
		a = &account{}
		l.accounts[name] = a
	}
	a.lastUsed = now
	return a
}

// evictOldest removes the least recently used account.
func (l *Limiter) evictOldest() {
	oldest := ""
	for name, a := range l.accounts {
		if oldest == "" || a.lastUsed.Before(l.accounts[oldest].lastUsed) || a.lastUsed.Equal(l.accounts[oldest].lastUsed) && name < oldest {
			oldest = name
		}
	}
	delete(l.accounts, oldest)
}

// bucket is a token bucket. The first call of fill makes it full.
type bucket struct {
	level, capacity float64
	at              time.Time
}

func (b *bucket) fill(now time.Time, rate float64, burst time.Duration) {
	if math.IsInf(rate, 1) {
		b.level, b.capacity, b.at = math.Inf(1), math.Inf(1), now
		return
	}
	// At least one request must fit, however small the router's share is.
	b.capacity = max(1, rate*burst.Seconds())
	if b.at.IsZero() || math.IsInf(b.level, 1) {
		b.level = b.capacity
	} else {
		b.level = min(b.capacity, b.level+rate*now.Sub(b.at).Seconds())
	}
	b.at = now
}

// wait returns the time until the bucket holds the amount; 0 if it already does.
func (b *bucket) wait(amount, rate float64) time.Duration {
	if b.level >= amount-1e-9 {
		return 0
	}
	return time.Duration((amount - b.level) / rate * float64(time.Second))
}

// meter measures a rate once per period, smoothed over about three periods.
type meter struct {
	// start is when the current period started; requests and tokens are counted since then.
	start            time.Time
	requests, tokens float64
	// avgRequests and avgTokens are the smoothed rates per second.
	avgRequests, avgTokens float64
}

func (m *meter) add(now time.Time, requests, tokens float64) {
	if m.start.IsZero() {
		m.start = now
	}
	m.requests += requests
	m.tokens += tokens
}

// rate returns the smoothed rate and starts a new period. If the current period is shorter than
// half of the given one, it continues, and the previous rate is returned.
func (m *meter) rate(now time.Time, period time.Duration) Demand {
	d := now.Sub(m.start)
	if d < period/2 {
		return Demand{Requests: m.avgRequests, Tokens: m.avgTokens}
	}
	const smoothing = 0.5
	m.avgRequests = smoothing*m.avgRequests + (1-smoothing)*m.requests/d.Seconds()
	m.avgTokens = smoothing*m.avgTokens + (1-smoothing)*m.tokens/d.Seconds()
	m.start, m.requests, m.tokens = now, 0, 0
	return Demand{Requests: m.avgRequests, Tokens: max(0, m.avgTokens)}
}

package limit

import "math"

// SurgeSettings configures surge detection. The recent share of an account is averaged over about
// the last RecentWindow requests of all accounts, and its baseline share over BaselineWindow. The
// windows are numbers of requests instead of durations, so that neither a burst of all accounts nor
// a pause looks like a surge.
type SurgeSettings struct {
	RecentWindow, BaselineWindow float64
	// Factor is the multiple of the baseline share above which an account is surging.
	Factor float64
	// MaxAccounts is the greatest number of accounts that are tracked.
	MaxAccounts int
}

// DefaultSurgeSettings returns the default settings.
func DefaultSurgeSettings() SurgeSettings {
	return SurgeSettings{RecentWindow: 50, BaselineWindow: 2000, Factor: 2, MaxAccounts: 16384}
}

// SurgeDetector detects accounts whose share of the traffic is far above their baseline share. A
// router's traffic is a sample of the fleet's traffic, so detection needs no messages between
// routers. It is not safe for concurrent use.
type SurgeDetector struct {
	settings SurgeSettings
	// count is the number of requests of all accounts, and baselineCount the same without the
	// excess requests of surging accounts.
	count, baselineCount float64
	accounts             map[string]*decayingCounts
}

// decayingCounts holds exponentially decaying request counts of an account. recentAt is the value
// of SurgeDetector.count when recent was last updated, and baselineAt that of baselineCount when
// baseline was.
type decayingCounts struct {
	recent, recentAt     float64
	baseline, baselineAt float64
}

// NewSurgeDetector returns a detector that reports no surge during the first BaselineWindow/8
// requests.
func NewSurgeDetector(s SurgeSettings) *SurgeDetector {
	return &SurgeDetector{settings: s, accounts: map[string]*decayingCounts{}}
}

// Observe counts a request of the account and reports whether the account is surging.
func (d *SurgeDetector) Observe(account string) bool {
	a := d.account(account)
	d.count++
	a.recent = a.recent*math.Exp((a.recentAt-d.count)/d.settings.RecentWindow) + 1
	a.recentAt = d.count
	a.baseline *= math.Exp((a.baselineAt - d.baselineCount) / d.settings.BaselineWindow)
	a.baselineAt = d.baselineCount
	recent := a.recent / d.settings.RecentWindow
	// The baseline count started at zero, so it is still too low in the first windows. The division
	// by 1-exp(-baselineCount/BaselineWindow) corrects this.
	baseline := a.baseline / (d.settings.BaselineWindow * (1 - math.Exp(-max(1, d.baselineCount)/d.settings.BaselineWindow)))
	// Three standard deviations of the recent share keep random variation from looking like a
	// surge.
	noise := 3 * math.Sqrt(max(baseline, 1/d.settings.RecentWindow)/(2*d.settings.RecentWindow))
	surging := d.baselineCount >= d.settings.BaselineWindow/8 && recent > d.settings.Factor*baseline+noise
	counted := 1.0
	if surging {
		// A short surge must not raise the baseline, but lasting growth must. Each request of the
		// surge counts as a fraction towards the baseline, chosen so that the baseline share grows
		// by 2% per BaselineWindow.
		grown := min(0.9, 1.02*max(baseline, 1/d.settings.BaselineWindow))
		counted = min(1, grown/(1-grown)*max(0, 1-recent)/recent)
	}
	d.baselineCount += counted
	a.baseline += counted
	return surging
}

func (d *SurgeDetector) account(name string) *decayingCounts {
	a := d.accounts[name]
	if a != nil {
		return a
	}
	if len(d.accounts) >= d.settings.MaxAccounts {
		d.evictOldest()
	}
	a = &decayingCounts{recentAt: d.count, baselineAt: d.baselineCount}
	d.accounts[name] = a
	return a
}

// evictOldest removes the account whose last request is the oldest.
func (d *SurgeDetector) evictOldest() {
	oldest := ""
	for name, a := range d.accounts {
		if oldest == "" || a.recentAt < d.accounts[oldest].recentAt {
			oldest = name
		}
	}
	delete(d.accounts, oldest)
}

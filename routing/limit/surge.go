package limit

import "math"

// SurgeSettings govern the detection of surging accounts. The present and the usual share of an account are averages over
// about that many requests of all accounts, so that neither a burst of all accounts nor a pause looks like a surge.
type SurgeSettings struct {
	Present, Usual float64
	// Factor is the multiple of the usual share above which an account surges.
	Factor float64
	// Accounts bounds the number of accounts that are remembered.
	Accounts int
}

// DefaultSurge returns the default settings.
func DefaultSurge() SurgeSettings {
	return SurgeSettings{Present: 50, Usual: 2000, Factor: 2, Accounts: 16384}
}

// Surges notices accounts whose share of the traffic is far above their usual share. A router's traffic is a sample of the
// fleet's, so it needs no messages. It is not safe for concurrent use.
type Surges struct {
	settings SurgeSettings
	// count is the number of requests, and usual the same with the excess of surging accounts left out.
	count, usual float64
	accounts     map[string]*share
}

// share holds decaying counts of an account, valid at the counts of all accounts beside them.
type share struct {
	present, presentAt float64
	usual, usualAt     float64
}

// NewSurges returns a detector. It reports nothing during the first eighth of SurgeSettings.Usual requests.
func NewSurges(s SurgeSettings) *Surges {
	return &Surges{settings: s, accounts: map[string]*share{}}
}

// Request counts a request of an account and is true if the account surges.
func (u *Surges) Request(account string) bool {
	a := u.account(account)
	u.count++
	a.present = a.present*math.Exp((a.presentAt-u.count)/u.settings.Present) + 1
	a.presentAt = u.count
	a.usual *= math.Exp((a.usualAt - u.usual) / u.settings.Usual)
	a.usualAt = u.usual
	present := a.present / u.settings.Present
	// A count that started at zero is short of its final value by the decay since then.
	usual := a.usual / (u.settings.Usual * (1 - math.Exp(-max(1, u.usual)/u.settings.Usual)))
	// Three standard deviations of the present share keep chance from looking like a surge.
	noise := 3 * math.Sqrt(max(usual, 1/u.settings.Present)/(2*u.settings.Present))
	surges := u.usual >= u.settings.Usual/8 && present > u.settings.Factor*usual+noise
	counted := 1.0
	if surges {
		// A surge must not become usual while it lasts, but lasting growth must. So many of its requests count that the usual
		// share would grow by a fiftieth in each Usual.
		grown := min(0.9, 1.02*max(usual, 1/u.settings.Usual))
		counted = min(1, grown/(1-grown)*max(0, 1-present)/present)
	}
	u.usual += counted
	a.usual += counted
	return surges
}

func (u *Surges) account(name string) *share {
	a := u.accounts[name]
	if a != nil {
		return a
	}
	if len(u.accounts) >= u.settings.Accounts {
		u.forget()
	}
	a = &share{presentAt: u.count, usualAt: u.usual}
	u.accounts[name] = a
	return a
}

// forget removes the account that was seen least recently.
func (u *Surges) forget() {
	oldest := ""
	for name, a := range u.accounts {
		if oldest == "" || a.presentAt < u.accounts[oldest].presentAt {
			oldest = name
		}
	}
	delete(u.accounts, oldest)
}

package limit

import (
	"math"
	"time"
)

// SurgeSettings govern the detection of surging accounts.
type SurgeSettings struct {
	// Fast and Slow are the time constants of an account's present and usual rate.
	Fast, Slow time.Duration
	// Factor is the multiple of the usual rate above which an account surges.
	Factor float64
	// Least is the rate in requests per second, at this router, below which no account surges.
	Least float64
	// Accounts bounds the number of accounts that are remembered.
	Accounts int
}

// DefaultSurge returns the default settings.
func DefaultSurge() SurgeSettings {
	return SurgeSettings{Fast: 2 * time.Second, Slow: 2 * time.Minute, Factor: 2, Least: 1, Accounts: 16384}
}

// Surges notices accounts whose rate is far above their usual rate. A router's traffic is a sample of the fleet's, so it
// needs no messages. It is not safe for concurrent use.
type Surges struct {
	settings SurgeSettings
	start    time.Time
	accounts map[string]*rates
}

// rates are exponentially decaying counts, in requests.
type rates struct {
	at         time.Time
	fast, slow float64
}

// NewSurges returns a detector. For a Settings.Slow after now it knows no usual rates and reports nothing.
func NewSurges(now time.Time, s SurgeSettings) *Surges {
	return &Surges{settings: s, start: now, accounts: map[string]*rates{}}
}

// Request counts a request of an account and is true if the account surges.
func (u *Surges) Request(now time.Time, account string) bool {
	r := u.accounts[account]
	if r == nil {
		if len(u.accounts) >= u.settings.Accounts {
			u.forget()
		}
		r = &rates{at: now}
		u.accounts[account] = r
	}
	d := now.Sub(r.at)
	r.fast = r.fast*decay(d, u.settings.Fast) + 1
	r.slow = r.slow*decay(d, u.settings.Slow) + 1
	r.at = now
	age := now.Sub(u.start)
	if age < u.settings.Slow/4 {
		return false
	}
	present := r.fast / u.settings.Fast.Seconds()
	// A count that started at zero is short of its final value by the decay since then.
	usual := r.slow / (u.settings.Slow.Seconds() * (1 - decay(age, u.settings.Slow)))
	// The count of a random process varies by its square root; three of them keep chance from looking like a surge.
	noise := 3 * math.Sqrt(usual/u.settings.Fast.Seconds())
	return present > u.settings.Least && present > u.settings.Factor*usual+noise
}

func decay(d, constant time.Duration) float64 { return math.Exp(-float64(d) / float64(constant)) }

// forget removes the account that was seen least recently.
func (u *Surges) forget() {
	oldest := ""
	for name, r := range u.accounts {
		if oldest == "" || r.at.Before(u.accounts[oldest].at) || r.at.Equal(u.accounts[oldest].at) && name < oldest {
			oldest = name
		}
	}
	delete(u.accounts, oldest)
}

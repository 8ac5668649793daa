// Package usage adds up what heavy client accounts use over all routers, so that fleet-wide limits can be shared.
package usage

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// Heavy bounds the client accounts that a router reports: its heaviest.
	Heavy = 16
	// Stale is the age after which a report no longer counts: three periods.
	Stale = 3 * time.Second
	// accountsLimit bounds the accounts that an aggregator keeps for one router.
	accountsLimit = 64
)

// Amount is a rate of use: requests and tokens a second.
type Amount struct{ Requests, Tokens float64 }

// Item is the use of one client account. Routers is the number of routers in a sum.
type Item struct {
	Account string
	Amount
	Routers int
}

// Report goes from a router to the aggregators of its heavy accounts.
type Report struct {
	From  string
	Items []Item
}

// Send is a report to deliver; its answer, the sums over all routers, is given to Answered.
type Send struct {
	To     string
	Report Report
}

type received struct {
	Item
	at time.Time
}

type key struct{ account, from string }

// State holds the use at one router. It is not safe for concurrent use.
type State struct {
	self       string
	aggregator func(account string) string
	own        map[string]Amount
	reports    map[key]received
	totals     map[string]received
}

// New returns an empty state of a router.
func New(self string) *State {
	return &State{self: self, reports: map[key]received{}, totals: map[string]received{}}
}

// SetAggregator says which router adds up an account.
func (s *State) SetAggregator(aggregator func(account string) string) { s.aggregator = aggregator }

// Own sets what the router itself lets through, by account.
func (s *State) Own(rates map[string]Amount) { s.own = maps.Clone(rates) }

// Tick returns the reports of a period, one per receiver, over the router's heaviest accounts.
func (s *State) Tick(now time.Time) []Send {
	s.expire(now)
	if s.aggregator == nil {
		return nil
	}
	reports := map[string][]Item{}
	for _, item := range s.heaviest() {
		if to := s.aggregator(item.Account); to != "" {
			reports[to] = append(reports[to], item)
		}
	}
	var out []Send
	for _, to := range slices.Sorted(maps.Keys(reports)) {
		r := Report{From: s.self, Items: reports[to]}
		if to == s.self {
			s.Answered(now, s.Handle(now, r))
			continue
		}
		out = append(out, Send{to, r})
	}
	return out
}

// heaviest returns the accounts with the greatest use, tokens first.
func (s *State) heaviest() []Item {
	items := make([]Item, 0, len(s.own))
	for account, a := range s.own {
		if a != (Amount{}) {
			items = append(items, Item{Account: account, Amount: a})
		}
	}
	slices.SortFunc(items, func(a, b Item) int {
		return cmp.Or(cmp.Compare(b.Tokens, a.Tokens), cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Account, b.Account))
	})
	return items[:min(Heavy, len(items))]
}

// Handle takes a report and returns the sums of its accounts over all routers.
func (s *State) Handle(now time.Time, r Report) []Item {
	s.expire(now)
	items := r.Items[:min(len(r.Items), accountsLimit)]
	out := make([]Item, 0, len(items))
	for _, item := range items {
		if item.Requests < 0 || item.Tokens < 0 {
			continue
		}
		s.reports[key{item.Account, r.From}] = received{item, now}
		out = append(out, s.sum(item.Account))
	}
	return out
}

// sum adds up an account in a fixed order.
func (s *State) sum(account string) Item {
	var from []string
	for k := range s.reports {
		if k.account == account {
			from = append(from, k.from)
		}
	}
	slices.Sort(from)
	total := Item{Account: account, Routers: len(from)}
	for _, f := range from {
		got := s.reports[key{account, f}]
		total.Requests += got.Requests
		total.Tokens += got.Tokens
	}
	return total
}

// Answered takes the sums that an aggregator returned.
func (s *State) Answered(now time.Time, items []Item) {
	for _, item := range items {
		s.totals[item.Account] = received{item, now}
	}
}

// Total returns the use of an account over all routers for which it is heavy, if it is known from the last seconds. The sum
// leaves out routers for which the account is not among the heaviest.
func (s *State) Total(now time.Time, account string) (Item, bool) {
	got, ok := s.totals[account]
	if !ok || now.Sub(got.at) > Stale {
		return Item{}, false
	}
	return got.Item, true
}

// Totals returns every known sum by account.
func (s *State) Totals(now time.Time) map[string]Item {
	out := make(map[string]Item, len(s.totals))
	for account := range s.totals {
		if item, ok := s.Total(now, account); ok {
			out[account] = item
		}
	}
	return out
}

func (s *State) expire(now time.Time) {
	maps.DeleteFunc(s.reports, func(_ key, r received) bool { return now.Sub(r.at) > Stale })
	maps.DeleteFunc(s.totals, func(_ string, r received) bool { return now.Sub(r.at) > Stale })
}

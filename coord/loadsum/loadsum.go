// Package loadsum adds up the load of each pool over owners and availability zones, so that every owner knows a recent mean.
package loadsum

import (
	"maps"
	"slices"
	"time"
)

// Stale is the age after which a report no longer counts: three periods, so that one lost message does no harm.
const Stale = 3 * time.Second

// Sum is a load in the engines' own unit over a number of engines.
type Sum struct {
	Load  float64
	Count int
}

func (s Sum) add(o Sum) Sum { return Sum{s.Load + o.Load, s.Count + o.Count} }

// Mean returns the load per engine, 0 without engines.
func (s Sum) Mean() float64 {
	if s.Count == 0 {
		return 0
	}
	return s.Load / float64(s.Count)
}

// warm is how long a new aggregator collects before it answers: until then its sums lack owners and whole zones, and the
// answers of its predecessor are better.
const warm = 2 * time.Second

// trendSpan is the least time between two means from which a fall is worked out.
const trendSpan = 500 * time.Millisecond

// Item is the sum of a pool. Age is how old its oldest part is.
type Item struct {
	Pool string
	Sum
	Age time.Duration
}

// Roles says who aggregates what.
type Roles struct {
	Self, Zone string
	// Aggregator returns the router that aggregates a pool in an availability zone, "" for none.
	Aggregator func(pool, zone string) string
	// Zones lists the availability zones with routers.
	Zones []string
}

// Report goes from an owner to the aggregator of its availability zone, or from an aggregator to those of other zones.
type Report struct {
	From string
	// Zone is set when the items are the sums of a whole availability zone.
	Zone  string
	Items []Item
}

// Reply holds the fleet-wide sums of the reported pools.
type Reply struct{ Items []Item }

// Send is a report to deliver; an answer to it is given to Answered.
type Send struct {
	To     string
	Report Report
}

type received struct {
	Sum
	at time.Time
}

type key struct{ pool, from string }

// State holds the sums at one router. It is not safe for concurrent use.
type State struct {
	roles Roles
	own   map[string]received
	// owners and zones hold the latest report of each owner and of each other availability zone.
	owners map[key]received
	zones  map[key]received
	// means holds the fleet-wide sums from the last answers.
	means map[string]received
	// earlier holds, for each of means, one that is older by at least trendSpan.
	earlier map[string]received
	// began is when the first report of a pool came, while there are any.
	began map[string]time.Time
}

// New returns an empty state.
func New() *State {
	return &State{
		own: map[string]received{}, owners: map[key]received{}, zones: map[key]received{}, means: map[string]received{},
		earlier: map[string]received{}, began: map[string]time.Time{},
	}
}

// SetRoles takes a new assignment of aggregators.
func (s *State) SetRoles(r Roles) { s.roles = r }

// Own sets the sums over the engines that the router owns, by pool. Pools that it no longer owns engines of are left out.
func (s *State) Own(now time.Time, sums map[string]Sum) {
	s.own = make(map[string]received, len(sums))
	for pool, sum := range sums {
		s.own[pool] = received{sum, now}
	}
}

// Tick returns the reports of a period, one per receiver.
func (s *State) Tick(now time.Time) []Send {
	s.expire(now)
	reports := map[string]*Report{}
	for _, pool := range slices.Sorted(maps.Keys(s.own)) {
		to := s.aggregator(pool, s.roles.Zone)
		switch to {
		case "":
		case s.roles.Self:
			s.collect(now, pool, to, s.own[pool])
		default:
			s.put(reports, to, "", Item{pool, s.own[pool].Sum, now.Sub(s.own[pool].at)})
		}
	}
	for _, pool := range s.aggregated() {
		sum, age, ok := s.zone(now, pool)
		if !ok {
			continue
		}
		for _, zone := range s.roles.Zones {
			if to := s.aggregator(pool, zone); zone != s.roles.Zone && to != "" {
				s.put(reports, to, s.roles.Zone, Item{pool, sum, age})
			}
		}
		if _, owns := s.own[pool]; owns && now.Sub(s.began[pool]) >= warm {
			total, age := s.total(now, pool)
			s.learn(pool, received{total, now.Add(-age)})
		}
	}
	var out []Send
	for _, to := range slices.Sorted(maps.Keys(reports)) {
		out = append(out, Send{to[:len(to)-1], *reports[to]})
	}
	return out
}

// put adds an item to the report to a receiver. Reports of owners and of zones are kept apart by the last byte of the key.
func (s *State) put(reports map[string]*Report, to, zone string, item Item) {
	k := to + "o"
	if zone != "" {
		k = to + "z"
	}
	r, ok := reports[k]
	if !ok {
		r = &Report{From: s.roles.Self, Zone: zone}
		reports[k] = r
	}
	r.Items = append(r.Items, item)
}

func (s *State) aggregator(pool, zone string) string {
	if s.roles.Aggregator == nil {
		return ""
	}
	return s.roles.Aggregator(pool, zone)
}

// aggregated returns the pools that the router aggregates for its availability zone, sorted.
func (s *State) aggregated() []string {
	set := map[string]bool{}
	for k := range s.owners {
		if s.aggregator(k.pool, s.roles.Zone) == s.roles.Self {
			set[k.pool] = true
		}
	}
	return slices.Sorted(maps.Keys(set))
}

// Handle takes a report and returns the fleet-wide sums of its pools.
func (s *State) Handle(now time.Time, r Report) Reply {
	s.expire(now)
	var reply Reply
	for _, item := range r.Items {
		got := received{item.Sum, now.Add(-item.Age)}
		if item.Age < 0 || item.Count < 0 {
			continue
		}
		if r.Zone != "" {
			s.zones[key{item.Pool, r.Zone}] = got
			continue
		}
		s.collect(now, item.Pool, r.From, got)
		if now.Sub(s.began[item.Pool]) < warm {
			continue
		}
		sum, age := s.total(now, item.Pool)
		reply.Items = append(reply.Items, Item{item.Pool, sum, age})
	}
	return reply
}

// collect keeps the report of an owner.
func (s *State) collect(now time.Time, pool, from string, got received) {
	s.owners[key{pool, from}] = got
	if _, ok := s.began[pool]; !ok {
		s.began[pool] = now
	}
}

// Answered takes the reply to a report.
func (s *State) Answered(now time.Time, r Reply) {
	for _, item := range r.Items {
		if item.Age >= 0 && item.Count > 0 {
			s.learn(item.Pool, received{item.Sum, now.Add(-item.Age)})
		}
	}
}

// learn takes a newer fleet-wide sum.
func (s *State) learn(pool string, got received) {
	last, ok := s.means[pool]
	if ok && got.at.Before(last.at) {
		return
	}
	if ok && got.at.Sub(last.at) >= trendSpan {
		s.earlier[pool] = last
	}
	s.means[pool] = got
}

// Mean returns the mean load of a pool and its age. A mean that falls is taken to go on falling for its age: with a mean that
// is 1.5 s old, owners admit too much while the load falls after a surge. A rise is not extrapolated, which errs on the safe
// side. The mean is not known if the last answer is older than twice Stale: an owner then uses its own engines alone.
func (s *State) Mean(now time.Time, pool string) (mean float64, age time.Duration, ok bool) {
	got, ok := s.means[pool]
	age = now.Sub(got.at)
	if !ok || age > 2*Stale {
		return 0, 0, false
	}
	mean = got.Mean()
	before, ok := s.earlier[pool]
	span := got.at.Sub(before.at)
	if ok && span >= trendSpan && span <= 2*Stale && before.Mean() > mean {
		mean -= (before.Mean() - mean) * min(age, Stale).Seconds() / span.Seconds()
	}
	return max(0, mean), age, true
}

// Sums returns every fleet-wide sum that is known and not stale, by pool. Its mean is that of Mean.
func (s *State) Sums(now time.Time) map[string]Sum {
	out := make(map[string]Sum, len(s.means))
	for pool, got := range s.means {
		if mean, _, ok := s.Mean(now, pool); ok {
			out[pool] = Sum{mean * float64(got.Count), got.Count}
		}
	}
	return out
}

// zone adds up the owners of the router's availability zone, in a fixed order.
func (s *State) zone(now time.Time, pool string) (Sum, time.Duration, bool) {
	return add(now, s.owners, pool)
}

// total adds up the router's own availability zone and the reports of the others.
func (s *State) total(now time.Time, pool string) (Sum, time.Duration) {
	own, age, _ := s.zone(now, pool)
	rest, older, _ := add(now, s.zones, pool)
	return own.add(rest), max(age, older)
}

func add(now time.Time, from map[key]received, pool string) (Sum, time.Duration, bool) {
	var keys []string
	for k := range from {
		if k.pool == pool {
			keys = append(keys, k.from)
		}
	}
	slices.Sort(keys)
	var sum Sum
	var age time.Duration
	for _, f := range keys {
		got := from[key{pool, f}]
		sum = sum.add(got.Sum)
		age = max(age, now.Sub(got.at))
	}
	return sum, age, len(keys) > 0
}

func (s *State) expire(now time.Time) {
	old := func(_ key, r received) bool { return now.Sub(r.at) > Stale }
	maps.DeleteFunc(s.owners, old)
	maps.DeleteFunc(s.zones, old)
	left := map[string]bool{}
	for k := range s.owners {
		left[k.pool] = true
	}
	maps.DeleteFunc(s.began, func(pool string, _ time.Time) bool { return !left[pool] })
}

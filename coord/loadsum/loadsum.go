// Package loadsum aggregates the load of each pool of engines, first per availability zone and then
// over all zones. The routers that own engines of a pool, its owners, report the load of their
// engines and learn a recent mean load of the whole pool.
package loadsum

import (
	"maps"
	"slices"
	"time"
)

// MaxReportAge is the age after which a report is dropped: three reporting periods, so that a
// single lost message has no effect.
const MaxReportAge = 3 * time.Second

// Sum is the total load of a number of engines.
type Sum struct {
	// Load is the total load, in the unit in which the engines report it.
	Load float64
	// Count is the number of engines.
	Count int
}

func (s Sum) add(o Sum) Sum { return Sum{s.Load + o.Load, s.Count + o.Count} }

// Mean returns the load per engine, or 0 if there are no engines.
func (s Sum) Mean() float64 {
	if s.Count == 0 {
		return 0
	}
	return s.Load / float64(s.Count)
}

// warmUp is how long a new aggregator of a pool collects reports before its replies include the
// pool. Until then its sums may lack owners and whole zones, and the last replies of the previous
// aggregator are more accurate.
const warmUp = 2 * time.Second

// minTrendSpan is the minimum time between the two means from which a falling trend is computed.
const minTrendSpan = 500 * time.Millisecond

// PoolSum is the sum over the engines of a pool.
type PoolSum struct {
	Pool string
	Sum
	// Age is the age of the oldest report in the sum.
	Age time.Duration
}

// Roles tells which routers aggregate which pools.
type Roles struct {
	// Self and Zone are the ID and the availability zone of this router.
	Self, Zone string
	// Aggregator returns the ID of the router that aggregates a pool in an availability zone, or ""
	// if there is none.
	Aggregator func(pool, zone string) string
	// Zones lists the availability zones that have routers.
	Zones []string
}

// Report is sent by an owner to the aggregator of its availability zone, and by an aggregator to
// the aggregators of the other zones.
type Report struct {
	// From is the ID of the sender.
	From string
	// Zone is set only if the items are the sums of a whole availability zone.
	Zone  string
	Items []PoolSum
}

// Reply is the response to the report of an owner. It holds the fleet-wide sums of the reported
// pools.
type Reply struct{ Items []PoolSum }

// OutgoingReport is a report to deliver to the router To. The reply to it has to be passed to
// HandleReply.
type OutgoingReport struct {
	To     string
	Report Report
}

// timedSum is a sum with the time of its oldest part.
type timedSum struct {
	Sum
	at time.Time
}

// sourceKey identifies the reports on a pool from one sender: an owner, by its router ID, or an
// availability zone.
type sourceKey struct{ pool, from string }

// State holds the sums that one router knows. It is not safe for concurrent use.
type State struct {
	roles Roles
	// ownSums holds the sums over the engines that this router owns, by pool.
	ownSums map[string]timedSum
	// ownerSums holds the latest report of each owner in this availability zone.
	ownerSums map[sourceKey]timedSum
	// otherZoneSums holds the latest report of each other availability zone.
	otherZoneSums map[sourceKey]timedSum
	// fleetSums holds the latest fleet-wide sum of each pool.
	fleetSums map[string]timedSum
	// earlierFleetSums holds, for some pools, a fleet-wide sum that is older than the latest one by
	// at least minTrendSpan.
	earlierFleetSums map[string]timedSum
	// collectingSince holds, for each pool with reports in ownerSums, the time of the first report.
	collectingSince map[string]time.Time
}

// New returns an empty state.
func New() *State {
	return &State{
		ownSums: map[string]timedSum{}, ownerSums: map[sourceKey]timedSum{}, otherZoneSums: map[sourceKey]timedSum{},
		fleetSums: map[string]timedSum{}, earlierFleetSums: map[string]timedSum{}, collectingSince: map[string]time.Time{},
	}
}

// SetRoles sets the current assignment of aggregators.
func (s *State) SetRoles(r Roles) { s.roles = r }

// SetOwnSums replaces the sums over the engines that this router owns, by pool. Pools of which it
// owns no engines must be left out.
func (s *State) SetOwnSums(now time.Time, sums map[string]Sum) {
	s.ownSums = make(map[string]timedSum, len(sums))
	for pool, sum := range sums {
		s.ownSums[pool] = timedSum{sum, now}
	}
}

// Tick returns the reports to send in this period. The sums for one router are combined: it is sent
// at most one report with sums of this router's engines and one with sums of this zone.
func (s *State) Tick(now time.Time) []OutgoingReport {
	s.expire(now)
	reports := map[string]*Report{}
	for _, pool := range slices.Sorted(maps.Keys(s.ownSums)) {
		to := s.aggregator(pool, s.roles.Zone)
		switch to {
		case "":
		case s.roles.Self:
			s.storeOwnerSum(now, pool, to, s.ownSums[pool])
		default:
			s.addItem(reports, to, "", PoolSum{pool, s.ownSums[pool].Sum, now.Sub(s.ownSums[pool].at)})
		}
	}
	for _, pool := range s.aggregatedPools() {
		sum, age, ok := s.ownZoneSum(now, pool)
		if !ok {
			continue
		}
		for _, zone := range s.roles.Zones {
			if to := s.aggregator(pool, zone); zone != s.roles.Zone && to != "" {
				s.addItem(reports, to, s.roles.Zone, PoolSum{pool, sum, age})
			}
		}
		if _, owns := s.ownSums[pool]; owns && now.Sub(s.collectingSince[pool]) >= warmUp {
			sum, age := s.fleetSum(now, pool)
			s.updateFleetSum(pool, timedSum{sum, now.Add(-age)})
		}
	}
	var out []OutgoingReport
	for _, k := range slices.Sorted(maps.Keys(reports)) {
		out = append(out, OutgoingReport{k[:len(k)-1], *reports[k]})
	}
	return out
}

// addItem adds an item to the report for a router. The last byte of the key separates reports of an
// owner from those of a zone.
func (s *State) addItem(reports map[string]*Report, to, zone string, item PoolSum) {
	k := to + "o"
	if zone != "" {
		k = to + "z"
	}
	report, ok := reports[k]
	if !ok {
		report = &Report{From: s.roles.Self, Zone: zone}
		reports[k] = report
	}
	report.Items = append(report.Items, item)
}

func (s *State) aggregator(pool, zone string) string {
	if s.roles.Aggregator == nil {
		return ""
	}
	return s.roles.Aggregator(pool, zone)
}

// aggregatedPools returns the pools that this router aggregates for its availability zone, sorted.
func (s *State) aggregatedPools() []string {
	pools := map[string]bool{}
	for k := range s.ownerSums {
		if s.aggregator(k.pool, s.roles.Zone) == s.roles.Self {
			pools[k.pool] = true
		}
	}
	return slices.Sorted(maps.Keys(pools))
}

// HandleReport stores a report. If the report is from an owner, the reply holds the fleet-wide sums
// of the reported pools, except pools for which this aggregator has collected reports for less than
// warmUp.
func (s *State) HandleReport(now time.Time, r Report) Reply {
	s.expire(now)
	var reply Reply
	for _, item := range r.Items {
		sum := timedSum{item.Sum, now.Add(-item.Age)}
		if item.Age < 0 || item.Count < 0 {
			continue
		}
		if r.Zone != "" {
			s.otherZoneSums[sourceKey{item.Pool, r.Zone}] = sum
			continue
		}
		s.storeOwnerSum(now, item.Pool, r.From, sum)
		if now.Sub(s.collectingSince[item.Pool]) < warmUp {
			continue
		}
		total, age := s.fleetSum(now, item.Pool)
		reply.Items = append(reply.Items, PoolSum{item.Pool, total, age})
	}
	return reply
}

// storeOwnerSum stores the latest sum of an owner in this availability zone.
func (s *State) storeOwnerSum(now time.Time, pool, owner string, sum timedSum) {
	s.ownerSums[sourceKey{pool, owner}] = sum
	if _, ok := s.collectingSince[pool]; !ok {
		s.collectingSince[pool] = now
	}
}

// HandleReply stores the fleet-wide sums of a reply.
func (s *State) HandleReply(now time.Time, r Reply) {
	for _, item := range r.Items {
		if item.Age >= 0 && item.Count > 0 {
			s.updateFleetSum(item.Pool, timedSum{item.Sum, now.Add(-item.Age)})
		}
	}
}

// updateFleetSum stores a fleet-wide sum unless a newer one is known.
func (s *State) updateFleetSum(pool string, sum timedSum) {
	last, ok := s.fleetSums[pool]
	if ok && sum.at.Before(last.at) {
		return
	}
	if ok && sum.at.Sub(last.at) >= minTrendSpan {
		s.earlierFleetSums[pool] = last
	}
	s.fleetSums[pool] = sum
}

// Mean returns the mean load of a pool and its age. A falling mean is extrapolated over its age, up
// to MaxReportAge: while the load falls after a surge, a mean that is 1.5 s old is too high, and
// owners would admit too many requests. A rising mean is not extrapolated, which errs on the safe
// side. ok is false if there is no fleet-wide sum or it is older than twice MaxReportAge; an owner
// then uses the load of its own engines alone.
func (s *State) Mean(now time.Time, pool string) (mean float64, age time.Duration, ok bool) {
	latest, ok := s.fleetSums[pool]
	age = now.Sub(latest.at)
	if !ok || age > 2*MaxReportAge {
		return 0, 0, false
	}
	mean = latest.Mean()
	earlier, ok := s.earlierFleetSums[pool]
	span := latest.at.Sub(earlier.at)
	if ok && span >= minTrendSpan && span <= 2*MaxReportAge && earlier.Mean() > mean {
		mean -= (earlier.Mean() - mean) * min(age, MaxReportAge).Seconds() / span.Seconds()
	}
	return max(0, mean), age, true
}

// Sums returns the fleet-wide sums by pool, except those for which Mean returns false. Their means
// equal those that Mean returns.
func (s *State) Sums(now time.Time) map[string]Sum {
	out := make(map[string]Sum, len(s.fleetSums))
	for pool, sum := range s.fleetSums {
		if mean, _, ok := s.Mean(now, pool); ok {
			out[pool] = Sum{mean * float64(sum.Count), sum.Count}
		}
	}
	return out
}

// ownZoneSum adds up the reports of the owners in this router's availability zone.
func (s *State) ownZoneSum(now time.Time, pool string) (Sum, time.Duration, bool) {
	return sumReports(now, s.ownerSums, pool)
}

// fleetSum adds up the sum of this router's availability zone and the reports of the other zones.
func (s *State) fleetSum(now time.Time, pool string) (Sum, time.Duration) {
	own, ownAge, _ := s.ownZoneSum(now, pool)
	others, othersAge, _ := sumReports(now, s.otherZoneSums, pool)
	return own.add(others), max(ownAge, othersAge)
}

// sumReports returns the sum of the reports on a pool, the age of the oldest one, and whether there
// are any. It adds them in the order of their senders, so that the result is reproducible.
func sumReports(now time.Time, reports map[sourceKey]timedSum, pool string) (Sum, time.Duration, bool) {
	var senders []string
	for k := range reports {
		if k.pool == pool {
			senders = append(senders, k.from)
		}
	}
	slices.Sort(senders)
	var sum Sum
	var age time.Duration
	for _, from := range senders {
		report := reports[sourceKey{pool, from}]
		sum = sum.add(report.Sum)
		age = max(age, now.Sub(report.at))
	}
	return sum, age, len(senders) > 0
}

// expire drops the reports that are older than MaxReportAge.
func (s *State) expire(now time.Time) {
	expired := func(_ sourceKey, sum timedSum) bool { return now.Sub(sum.at) > MaxReportAge }
	maps.DeleteFunc(s.ownerSums, expired)
	maps.DeleteFunc(s.otherZoneSums, expired)
	remaining := map[string]bool{}
	for k := range s.ownerSums {
		remaining[k.pool] = true
	}
	maps.DeleteFunc(s.collectingSince, func(pool string, _ time.Time) bool { return !remaining[pool] })
}

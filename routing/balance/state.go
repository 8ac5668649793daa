package balance

import (
	"cmp"
	"slices"
	"time"

	"hornbeamstep.example/routing/roster"
)

// Condition says whether a server gets requests and, if not, why.
type Condition string

// The conditions of a server. Paused and Reported servers get requests all the same if too many
// servers of a service are paused; see Settings.MaxAvoidedShare.
const (
	// Used servers get requests.
	Used Condition = "used"
	// Leaving servers are draining: they finish their requests and get no new ones.
	Leaving Condition = "leaving"
	// Evacuated servers are in an availability zone that operators want to be left alone: they finish
	// their requests and get no new ones.
	Evacuated Condition = "evacuated"
	// Refusing servers get no requests, because they told this router to send none for some time.
	Refusing Condition = "refusing"
	// RateLimited servers get as many requests as the rate limit that they state allows.
	RateLimited Condition = "limited"
	// Brittle servers get as many requests as they have slots.
	Brittle Condition = "brittle"
	// Cold servers get as many requests as they withstand until they are warm.
	Cold Condition = "cold"
	// Paused servers get no requests, because they could not be reached or did not answer this
	// router.
	Paused Condition = "paused"
	// OnTrial servers get single requests at intervals after a pause, until one gets a response.
	OnTrial Condition = "on_trial"
	// Reported servers get no requests, because several other routers could not reach them.
	Reported Condition = "reported"
	// Failing servers get fewer requests, because they fail more often than the others.
	Failing Condition = "failing"
)

// State is a server with its load and health as seen by this router.
type State struct {
	roster.Server
	Condition Condition
	// Own and Others are the requests in progress from this router and from the other routers.
	Own, Others int
	// FailureRate is the failure rate as a moving average, from 0 to 1.
	FailureRate float64
}

// States returns the states of all servers, sorted by service and ID.
func (b *Balancer) States(now time.Time) []State {
	out := make([]State, 0, len(b.servers))
	for _, e := range b.servers {
		out = append(out, State{Server: e.Server, Condition: b.condition(now, e), Own: e.own, Others: e.others, FailureRate: e.failureRate})
	}
	slices.SortFunc(out, func(a, b State) int { return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID)) })
	return out
}

func (b *Balancer) condition(now time.Time, e *entry) Condition {
	switch {
	case e.Evacuated:
		return Evacuated
	case e.isLeaving():
		return Leaving
	case now.Before(e.refusedUntil):
		return Refusing
	case now.Before(e.pausedUntil):
		return Paused
	case now.Before(e.reportedUntil):
		return Reported
	case !e.pausedUntil.IsZero() && e.consecutiveFailures > 0:
		return OnTrial
	case b.RateLimits.IsCold(e.ID):
		return Cold
	case b.RateLimits.NeedsSlot(e.ID):
		return Brittle
	case b.isLimited(e):
		return RateLimited
	case b.pools[e.Service] != nil && excessFailureRate(b.pools[e.Service].entries, e) > 0:
		return Failing
	}
	return Used
}

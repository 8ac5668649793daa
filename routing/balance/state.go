package balance

import (
	"cmp"
	"slices"
	"time"

	"hornbeamstep.example/routing/roster"
)

// Condition says whether a server gets requests, and why not.
type Condition string

// The conditions of a server.
const (
	// Used servers get requests.
	Used Condition = "used"
	// Leaving servers finish what they have.
	Leaving Condition = "leaving"
	// Paused servers could not be reached or did not answer this router.
	Paused Condition = "paused"
	// OnTrial servers get one request at a time after a pause.
	OnTrial Condition = "on_trial"
	// Reported servers could not be reached by several other routers.
	Reported Condition = "reported"
	// Failing servers get less than their share because they answer with more failures than others.
	Failing Condition = "failing"
)

// State is a server with what is known of it.
type State struct {
	roster.Server
	Condition Condition
	// Own and Others are the requests in progress of this router and of the others.
	Own, Others int
	// Failing is the moving average of failures, from 0 to 1.
	Failing float64
}

// States returns the servers sorted by service and ID.
func (b *Balancer) States(now time.Time) []State {
	out := make([]State, 0, len(b.servers))
	for _, e := range b.servers {
		out = append(out, State{Server: e.Server, Condition: b.condition(now, e), Own: e.own, Others: e.others, Failing: e.failing})
	}
	slices.SortFunc(out, func(x, y State) int { return cmp.Or(cmp.Compare(x.Service, y.Service), cmp.Compare(x.ID, y.ID)) })
	return out
}

func (b *Balancer) condition(now time.Time, e *entry) Condition {
	switch {
	case e.Leaving:
		return Leaving
	case now.Before(e.paused):
		return Paused
	case now.Before(e.reported):
		return Reported
	case !e.paused.IsZero() && e.strikes > 0:
		return OnTrial
	case b.pools[e.Service] != nil && excess(b.pools[e.Service].entries, e) > 0:
		return Failing
	}
	return Used
}

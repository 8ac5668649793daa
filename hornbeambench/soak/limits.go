package soak

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"time"
)

const (
	// statedLimit is the rate limit in requests per second that a limited backend server states, for
	// minLimitTime up to minLimitTime + limitTimeRange.
	statedLimit    = 3
	minLimitTime   = 8 * time.Second
	limitTimeRange = 3 * time.Second
	// From limitContactTime after a server first states its limit, at most maxArrivalsInWindow
	// requests may reach it within limitWindow.
	limitContactTime    = 3 * time.Second
	limitWindow         = 4 * time.Second
	maxArrivalsInWindow = statedLimit*4*3/2 + 5
)

// limitation is a period in which a backend server states statedLimit.
type limitation struct {
	Server   string
	From, To time.Time
}

// limitServers makes a server state a rate limit for some time, or all servers of its service if the
// variant is odd. This is no reason for a request to fail other than by a rejection.
func (tb *testbed) limitServers(ctx context.Context, e event) error {
	defer tb.observations.beginDisruption(disruption{Kind: e.Kind, Planned: true})()
	servers := tb.chooseService(e.Target)
	if e.Variant%2 == 0 {
		servers = servers[:min(1, len(servers))]
	}
	from := time.Now()
	for _, s := range servers {
		// The error is ignored because the server may have exited.
		_ = s.process.send(instruction{ChangesLimit: true, Limit: strconv.Itoa(statedLimit)})
	}
	sleep(ctx, e.Duration)
	for _, s := range servers {
		tb.observations.addLimitation(limitation{s.id, from, time.Now()})
		_ = s.process.send(instruction{ChangesLimit: true})
	}
	return nil
}

func (o *observations) addLimitation(l limitation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.limitations = append(o.limitations, l)
}

// checkLimits checks that the routers together send a server no more requests than the limit that it
// states allows. Routers that were disrupted or restarted since it first stated the limit are
// excused.
func (o *observations) checkLimits() []violation {
	var found []violation
	sent := o.requestsByAttempt()
	for _, l := range o.limitations {
		// A new process of the server states no limit.
		if o.disrupted(l.From, l.To, func(d disruption) bool { return d.Kind == killServer && d.Server == l.Server }) {
			continue
		}
		var arrivals []time.Time
		add := func(attempt, server string, at time.Time) {
			if server == l.Server && at.After(l.From.Add(limitContactTime)) && at.Before(l.To) && !o.routerForgot(sent[attempt].Router, l.From, at) {
				arrivals = append(arrivals, at)
			}
		}
		for attempt, runs := range o.runs {
			for _, r := range runs {
				add(attempt, r.Server, r.At)
			}
		}
		for _, r := range o.rejections {
			add(r.Attempt, r.Server, r.Arrived)
		}
		slices.SortFunc(arrivals, time.Time.Compare)
		for i := range len(arrivals) - maxArrivalsInWindow {
			if first, last := arrivals[i], arrivals[i+maxArrivalsInWindow]; last.Sub(first) < limitWindow {
				found = append(found, violation{
					"servers get no more requests than the limit that they state",
					fmt.Sprintf("more than %d reached %s within %v, %v after it stated a limit of %d", maxArrivalsInWindow, l.Server, last.Sub(first), first.Sub(l.From), statedLimit),
				})
				break
			}
		}
	}
	return found
}

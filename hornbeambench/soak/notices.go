package soak

import (
	"fmt"
	"strings"
	"time"

	"hornbeamstep.example/platform/standin"
)

const (
	// rejectionTime is the time for which a backend server that rejects a request wants none from
	// its router. Between rejectionGrace after the rejection and the end of that time, a router may
	// send maxLateArrivals requests.
	rejectionTime   = 2 * time.Second
	rejectionGrace  = 500 * time.Millisecond
	maxLateArrivals = 2
)

// checkLeavingNotices checks that a router that has passed on a response in which a backend server
// states that it is leaving sends it no request that a caller sent more than maxDrainDelay later,
// unless the router was disrupted or restarted since.
func (o *observations) checkLeavingNotices() []violation {
	type route struct{ router, server string }
	told := map[route]time.Time{}
	for _, r := range o.requests {
		server, found := signingServer(r)
		if !r.Leaving || !found {
			continue
		}
		key := route{r.Router, server}
		if at, known := told[key]; !known || r.Ended.Before(at) {
			told[key] = r.Ended
		}
	}
	var found []violation
	for _, r := range o.requests {
		for _, serverRun := range o.runs[r.Attempt] {
			at, known := told[route{r.Router, serverRun.Server}]
			if !known || r.Sent.Before(at.Add(maxDrainDelay)) || o.routerForgot(r.Router, at, serverRun.At) {
				continue
			}
			found = append(found, violation{
				"servers that say that they leave get no new requests",
				fmt.Sprintf("%s ran at %s %v after %s passed that on", r.Attempt, serverRun.Server, serverRun.At.Sub(at), r.Router),
			})
		}
	}
	return found
}

// routerForgot reports whether a router may not know any more what a backend server has told it at
// the start of a period: it was disrupted or restarted, by plan or not.
func (o *observations) routerForgot(router string, from, to time.Time) bool {
	return o.routerDisrupted(router, from, to) || o.disrupted(from, to, func(d disruption) bool {
		return d.Router == router && (d.Kind == stopRouter || d.Kind == rollingRestart)
	})
}

// signingServer returns the backend server that signed the response to a request.
func signingServer(r request) (server string, found bool) {
	// An attempt ID identifies its request, so that the rest of the signature is the server.
	prefix, suffix, _ := strings.Cut(standin.Signature("|", r.Attempt), "|")
	rest, hasPrefix := strings.CutPrefix(r.Signature, prefix)
	server, hasSuffix := strings.CutSuffix(rest, suffix)
	return server, hasPrefix && hasSuffix
}

// checkRejectionTimes checks that a router sends at most maxLateArrivals requests to a backend
// server within the time for which it wants none, unless the router was disrupted or restarted. A
// rejection that the router gave up waiting for tells it nothing, but its request counts as arrived.
func (o *observations) checkRejectionTimes() []violation {
	type route struct{ router, server string }
	arrivals := map[route][]time.Time{}
	sent := o.requestsByAttempt()
	for _, r := range o.rejections {
		key := route{sent[r.Attempt].Router, r.Server}
		arrivals[key] = append(arrivals[key], r.Arrived)
	}
	for attempt, runs := range o.runs {
		for _, serverRun := range runs {
			key := route{sent[attempt].Router, serverRun.Server}
			arrivals[key] = append(arrivals[key], serverRun.At)
		}
	}
	var found []violation
	for _, r := range o.rejections {
		key := route{sent[r.Attempt].Router, r.Server}
		if r.Abandoned || o.routerForgot(key.router, r.At, r.At.Add(rejectionTime)) {
			continue
		}
		late := 0
		for _, at := range arrivals[key] {
			if at.After(r.At.Add(rejectionGrace)) && at.Before(r.At.Add(rejectionTime)) {
				late++
			}
		}
		if late > maxLateArrivals {
			found = append(found, violation{
				"servers that want no requests for a time get none", fmt.Sprintf("%d from %s reached %s after it rejected %s", late, key.router, r.Server, r.Attempt),
			})
		}
	}
	return found
}

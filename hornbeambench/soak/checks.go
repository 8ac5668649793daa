package soak

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Limits in the platform's rules. Where the settings or the configuration that package
// platform/standin creates for routers contain the same limit, the values must agree.
const (
	// maxSettleTime is the time for which a disruption may affect requests after it has ended.
	maxSettleTime = 3 * time.Second
	// maxApplyDelay is the time from the acknowledgement of a new configuration to its use by all
	// routers.
	maxApplyDelay = 2 * time.Second
	// maxDrainDelay is the time from the acknowledgement that a backend server is draining or
	// deleted until no router sends requests to it.
	maxDrainDelay = 2 * time.Second
	// gracePeriod is the time from SIGTERM to SIGKILL when the platform stops a router.
	gracePeriod = 4 * time.Second
	// A router that is stopped may cut off a request that was sent up to maxDrainSendDelay after
	// SIGTERM if its server is still at work finalGrace before the end of gracePeriod.
	finalGrace        = gracePeriod / 6
	maxDrainSendDelay = 3 * time.Second
	// routeTimeout is the default timeout of the routes that callers request.
	routeTimeout = 4 * time.Second
	// maxRecoveryTime is the time from the end of the last event until requests are served again.
	maxRecoveryTime = 12 * time.Second
	// Within any period of retryWindow, the number of retries of a service may be at most
	// retryRatio times the number of its requests, plus retryAllowance.
	retryRatio     = 0.2
	retryAllowance = 50
	retryWindow    = 10 * time.Second
	// maxAttempts is the maximum number of runs of a request, including the first one.
	maxAttempts = 2
	// maxEndDelay is the time for which a request may continue to run after it was canceled or
	// reached the route timeout.
	maxEndDelay = 500 * time.Millisecond
)

// violation is an observation that contradicts a guarantee.
type violation struct {
	Guarantee, Observed string
}

func (v violation) String() string { return v.Guarantee + ": " + v.Observed }

// check returns the violations of all guarantees.
func (o *observations) check() []violation {
	o.mu.Lock()
	defer o.mu.Unlock()
	var found []violation
	for _, check := range []func() []violation{
		o.checkResponses, o.checkRuns, o.checkNonRetryable, o.checkRejections, o.checkAPIKeys, o.checkDrains, o.checkUnanswered,
		o.checkAttempts, o.checkRetryBudget, o.checkCanceled, o.checkTimeouts, o.checkRecovery, o.checkExits, o.checkLeavingNotices, o.checkRejectionTimes,
		o.checkLimits, o.checkVersions, o.checkEvacuations, o.checkColdServers, o.checkBrittleServers, o.checkResumed,
	} {
		found = append(found, check()...)
	}
	return found
}

// retryable reports whether routers may retry a request for a path that may already have run. This
// applies to routes of the kind idempotent and to routes with resumable streams.
func retryable(path string) bool {
	return strings.HasPrefix(path, "/again/") || strings.HasPrefix(path, "/resume/")
}

func serviceForPath(path string) string {
	if strings.Contains(path, "stream") {
		return "pool"
	}
	return "plain"
}

// fullStream returns the complete stream of a fake backend server.
func fullStream() string { return streamAfter(0) }

// streamAfter returns the rest of the stream after an event.
func streamAfter(event int) string {
	var stream strings.Builder
	for i := event + 1; i <= 5; i++ {
		_, _ = fmt.Fprintf(&stream, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return stream.String()
}

// checkResponses checks that each successful response is the complete response of a backend server
// to the same request.
func (o *observations) checkResponses() []violation {
	var found []violation
	for _, r := range o.requests {
		stream := serviceForPath(r.Path) == "pool"
		switch {
		case r.Status != 200:
			continue
		case !strings.HasSuffix(r.Signature, "-for-"+r.Attempt):
			found = append(found, violation{"answers belong to their request", fmt.Sprintf("%s got one signed %q", r.Attempt, r.Signature)})
		case stream && !strings.HasPrefix(streamAfter(r.LastEvent), r.ResponseBody), stream && !r.Incomplete && !r.Canceled && r.ResponseBody != streamAfter(r.LastEvent):
			found = append(found, violation{"streams are complete and in order", fmt.Sprintf("%s got %q", r.Attempt, r.ResponseBody)})
		case !stream && !r.Incomplete && !strings.HasPrefix(r.ResponseBody, r.Body+" by "):
			found = append(found, violation{"answers are whole", fmt.Sprintf("%s sent %q and got %q", r.Attempt, r.Body, r.ResponseBody)})
		}
	}
	return found
}

// checkVersions checks that each run that continues a stream has the software version of a run that
// may have begun it, at routers in touch or not.
func (o *observations) checkVersions() []violation {
	var found []violation
	for _, r := range o.requests {
		began := o.beganAt(r)
		for _, next := range o.runs[r.Attempt] {
			if next.After > 0 && len(began) > 0 && !began[next.Version] {
				found = append(found, violation{"streams keep their software version", fmt.Sprintf("%s resumes %s at %s (%s)", r.Attempt, r.stream(), next.Server, next.Version)})
			}
		}
	}
	return found
}

// checkRuns checks that backend servers run only requests that callers sent, for the client account
// of the API key, without receiving the API key itself, and at the service of the path.
func (o *observations) checkRuns() []violation {
	var found []violation
	sent := o.requestsByAttempt()
	for attempt, runs := range o.runs {
		r, ok := sent[attempt]
		for _, serverRun := range runs {
			switch {
			case !ok, serverRun.Body != r.Body:
				found = append(found, violation{"servers run what callers sent", fmt.Sprintf("%s with body %q", attempt, serverRun.Body)})
			case serverRun.Account != "clerks" || serverRun.HasKey:
				found = append(found, violation{"requests run for the account of their key", fmt.Sprintf("%s for %q", attempt, serverRun.Account)})
			case serverRun.Service != serviceForPath(r.Path):
				found = append(found, violation{"requests run at their service", fmt.Sprintf("%s at %s", attempt, serverRun.Server)})
			}
		}
	}
	return found
}

// requestsByAttempt returns the requests by attempt ID. A request keeps its attempt ID if a router
// retries it.
func (o *observations) requestsByAttempt() map[string]request {
	byAttempt := map[string]request{}
	for _, r := range o.requests {
		byAttempt[r.Attempt] = r
	}
	return byAttempt
}

// checkNonRetryable checks that requests that are not retryable run at most once.
func (o *observations) checkNonRetryable() []violation {
	var found []violation
	for _, r := range o.requests {
		if runs := o.runs[r.Attempt]; len(runs) > 1 && !retryable(r.Path) {
			found = append(found, violation{"requests that may not be repeated run once", fmt.Sprintf("%s ran %d times", r.Attempt, len(runs))})
		}
	}
	return found
}

// checkRejections checks that a request that is not retryable has not run if its status code means
// that it was rejected before it ran.
func (o *observations) checkRejections() []violation {
	var found []violation
	for _, r := range o.requests {
		if slices.Contains([]int{408, 421, 429, 503}, r.Status) && !retryable(r.Path) && len(o.runs[r.Attempt]) > 0 {
			found = append(found, violation{"refused requests have not run", fmt.Sprintf("%s got %d", r.Attempt, r.Status)})
		}
	}
	return found
}

// possibleVersions returns the versions of the configuration that a router may use at any time in a
// period. A version may be in use from the time at which it is sent until maxApplyDelay after the
// next version is acknowledged.
func (o *observations) possibleVersions(from, to time.Time) []version {
	var possible []version
	for i, v := range o.versions {
		if v.Sent.After(to) {
			break
		}
		if i+1 < len(o.versions) && o.versions[i+1].Acked.Add(maxApplyDelay).Before(from) {
			continue
		}
		possible = append(possible, v)
	}
	return possible
}

// routeTimeouts returns the minimum and the maximum timeout of the routes in the versions of the
// configuration that a router may use for a request.
func (o *observations) routeTimeouts(r request) (minimum, maximum time.Duration) {
	versions := o.possibleVersions(r.Sent, r.Ended)
	byTimeout := func(a, b version) int { return cmp.Compare(a.RouteTimeout, b.RouteTimeout) }
	return slices.MinFunc(versions, byTimeout).RouteTimeout, slices.MaxFunc(versions, byTimeout).RouteTimeout
}

// checkAPIKeys checks that an API key is accepted if all possible versions of the configuration
// contain it, and refused if none does. It ignores requests during or up to maxSettleTime after a
// disruption of the router or the store.
func (o *observations) checkAPIKeys() []violation {
	var found []violation
	for _, r := range o.requests {
		from := r.Sent.Add(-maxSettleTime)
		if o.routerDisrupted(r.Router, from, r.Ended) || o.storeDisrupted(from, r.Ended) {
			continue
		}
		containing := 0
		versions := o.possibleVersions(r.Sent, r.Ended)
		for _, v := range versions {
			if slices.Contains(v.Keys, r.Key) {
				containing++
			}
		}
		ran := r.Status == 200 || len(o.runs[r.Attempt]) > 0
		switch {
		case containing == 0 && ran:
			found = append(found, violation{"a revoked key is refused", fmt.Sprintf("%s at %s", r.Attempt, r.Router)})
		case containing == len(versions) && (r.Status == 401 || r.Status == 403 || r.Status == 404):
			found = append(found, violation{"a key in force is accepted", fmt.Sprintf("%s got %d at %s", r.Attempt, r.Status, r.Router)})
		}
	}
	return found
}

// checkDrains checks that draining and deleted backend servers receive no new requests.
func (o *observations) checkDrains() []violation {
	var found []violation
	sent := o.requestsByAttempt()
	for _, d := range o.drains {
		for _, runs := range o.runs {
			for _, serverRun := range runs {
				deadline := d.Acked.Add(maxDrainDelay)
				// Runs during or shortly after a disruption of the server are ignored because the
				// server may start late a request that a router sent in time.
				late := serverRun.Server == d.Server && serverRun.At.After(deadline) && !o.serverDisrupted(serverRun.Server, serverRun.At.Add(-maxSettleTime), serverRun.At)
				if !late || o.storeDisrupted(d.Acked.Add(-maxSettleTime), d.Acked) {
					continue
				}
				router := sent[serverRun.Attempt].Router
				if !o.routerDisrupted(router, serverRun.At.Add(-maxSettleTime), serverRun.At) && !o.storeDisrupted(serverRun.At.Add(-maxSettleTime), serverRun.At) {
					found = append(found, violation{
						"servers that leave get no new requests",
						fmt.Sprintf("%s ran at %s %v after it left", serverRun.Attempt, serverRun.Server, serverRun.At.Sub(d.Acked)),
					})
				}
			}
		}
	}
	return found
}

// checkUnanswered checks that each request that a backend server ran gets a complete response, also
// during planned work on routers and while the server is silent. It ignores requests that were
// canceled or reached the route timeout, and requests during or up to maxSettleTime after a
// disruption of the router. Of the servers that ran a request, it ignores those that may have
// broken the response off and those that were still at work near the end of the router's grace
// period. A server that just sends its data later is no reason to end a response, unless another
// server sent events in its place and broke off then.
func (o *observations) checkUnanswered() []violation {
	var found []violation
	for _, r := range o.requests {
		runs := o.runs[r.Attempt]
		if r.Canceled || r.Status != 0 && !r.Incomplete {
			continue
		}
		if timeout, _ := o.routeTimeouts(r); r.Ended.Sub(r.Sent) > timeout {
			continue
		}
		from := r.Sent.Add(-maxSettleTime)
		sound := slices.ContainsFunc(runs, func(serverRun run) bool {
			return !o.serverBroken(serverRun.Server, from, r.Ended) && !o.outlastsGrace(r, serverRun)
		})
		if sound && !o.continuationBroken(runs, from, r.Ended) && !o.routerDisrupted(r.Router, from, r.Ended) {
			found = append(found, violation{"requests that were passed on are answered", fmt.Sprintf("%s at %s", r.Attempt, r.Router)})
		}
	}
	return found
}

// continuationBroken reports whether the server of the latest run of a request has sent events and
// then may have broken off. The number of events of a run is unknown if it did not end. The caller
// must hold o.mu.
func (o *observations) continuationBroken(runs []run, from, to time.Time) bool {
	latest := slices.MaxFunc(runs, func(a, b run) int { return a.At.Compare(b.At) })
	return (latest.Events > 0 || latest.Ended.IsZero()) && o.serverBroken(latest.Server, from, to)
}

// outlastsGrace reports whether a run of a request was still in progress finalGrace before the end
// of the grace period of the router, which therefore may have cut it off. The caller must hold
// o.mu.
func (o *observations) outlastsGrace(r request, serverRun run) bool {
	return slices.ContainsFunc(o.disruptions, func(d disruption) bool {
		stopped := d.Router == r.Router && (d.Kind == stopRouter || d.Kind == rollingRestart) && d.From.Before(r.Ended)
		final := d.From.Add(gracePeriod - finalGrace)
		return stopped && !r.Sent.After(d.From.Add(maxDrainSendDelay)) && r.Ended.After(final) && (serverRun.Ended.IsZero() || serverRun.Ended.After(final))
	})
}

// checkAttempts checks that no request runs more than maxAttempts times.
func (o *observations) checkAttempts() []violation {
	var found []violation
	for _, r := range o.requests {
		if n := len(o.runs[r.Attempt]); n > maxAttempts {
			found = append(found, violation{"attempts are bounded", fmt.Sprintf("%s ran %d times", r.Attempt, n)})
		}
	}
	return found
}

// checkRetryBudget checks that the retries of each service stay within its retry budget. It checks
// every period of length retryWindow that starts with a retry.
func (o *observations) checkRetryBudget() []violation {
	var found []violation
	for _, service := range []string{"plain", "pool"} {
		var sent, retried []time.Time
		for _, r := range o.requests {
			if serviceForPath(r.Path) == service {
				sent = append(sent, r.Sent)
			}
			runs := slices.Clone(o.runs[r.Attempt])
			slices.SortFunc(runs, func(a, b run) int { return a.At.Compare(b.At) })
			for _, serverRun := range runs[min(1, len(runs)):] {
				if serverRun.Service == service {
					retried = append(retried, serverRun.At)
				}
			}
		}
		for _, from := range retried {
			count := func(times []time.Time) (n int) {
				for _, t := range times {
					if !t.Before(from) && t.Sub(from) < retryWindow {
						n++
					}
				}
				return n
			}
			if n, limit := count(retried), retryRatio*float64(count(sent))+retryAllowance; float64(n) > limit {
				found = append(found, violation{"retries stay within their budget", fmt.Sprintf("%d of %.0f at %s", n, limit, service)})
				break
			}
		}
	}
	return found
}

// checkCanceled checks that the runs of canceled requests end within maxEndDelay after the
// cancellation. Up to a quarter of these runs may end later.
func (o *observations) checkCanceled() []violation {
	late, total := 0, 0
	for _, r := range o.requests {
		if !r.Canceled || o.routerDisrupted(r.Router, r.Sent.Add(-maxSettleTime), r.Ended.Add(maxEndDelay)) {
			continue
		}
		for _, serverRun := range o.runs[r.Attempt] {
			if o.serverDisrupted(serverRun.Server, r.Sent.Add(-maxSettleTime), r.Ended.Add(maxEndDelay)) {
				continue
			}
			total++
			if serverRun.Ended.IsZero() || serverRun.Ended.Sub(r.Ended) > maxEndDelay {
				late++
			}
		}
	}
	if 4*late > total {
		return []violation{{"work ends when its caller leaves", fmt.Sprintf("%d of %d runs went on", late, total)}}
	}
	return nil
}

// checkTimeouts checks that requests that reach the route timeout end within maxEndDelay after it.
// Up to half of them may end later.
func (o *observations) checkTimeouts() []violation {
	late, total := 0, 0
	for _, r := range o.requests {
		_, timeout := o.routeTimeouts(r)
		if r.Canceled || r.Ended.Sub(r.Sent) < timeout || o.routerDisrupted(r.Router, r.Sent.Add(-maxSettleTime), r.Ended) {
			continue
		}
		total++
		if r.Ended.Sub(r.Sent) > timeout+maxEndDelay {
			late++
		}
	}
	if 2*late > total {
		return []violation{{"requests end at their route's time limit", fmt.Sprintf("%d of %d were later", late, total)}}
	}
	return nil
}

// checkRecovery checks that at least a quarter of the requests with permanentKey succeed once
// maxRecoveryTime has passed since the end of the last event.
func (o *observations) checkRecovery() []violation {
	served, total := 0, 0
	for _, r := range o.requests {
		if r.Canceled || r.Key != permanentKey || r.Sent.Before(o.eventsEnd.Add(maxRecoveryTime)) {
			continue
		}
		total++
		if r.Status == 200 && !r.Incomplete {
			served++
		}
	}
	if total == 0 || 4*served < total {
		return []violation{{"service returns", fmt.Sprintf("%d of %d requests served", served, total)}}
	}
	return nil
}

// checkExits checks that no router exits unexpectedly.
func (o *observations) checkExits() []violation {
	var found []violation
	for _, router := range o.exits {
		found = append(found, violation{"routers run until they are ended", router + " ended by itself"})
	}
	return found
}

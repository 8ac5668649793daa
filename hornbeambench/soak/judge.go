package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// The bounds that the stand-in's settings state, and what the platform's rules add to them.
const (
	contactBound = 3 * time.Second
	applyBound   = 2 * time.Second
	drainBound   = 2 * time.Second
	graceBound   = 4 * time.Second
	routeTimeout = 4 * time.Second
	recoverBound = 12 * time.Second
	retryShare   = 0.2
	retryExtra   = 50
	retryWindow  = 10 * time.Second
	maxAttempts  = 2
	// lateEnd is the time after a caller has left, or a route's time limit, for which the rules allow work to go on.
	lateEnd = 500 * time.Millisecond
)

// violation is a promise that was not kept.
type violation struct {
	Promise, Seen string
}

func (v violation) String() string { return v.Promise + ": " + v.Seen }

// judge returns the promises that were not kept.
func (e *evidence) judge() []violation {
	e.mu.Lock()
	defer e.mu.Unlock()
	var found []violation
	for _, rule := range []func() []violation{
		e.wholeAnswers, e.ownRequests, e.onceOnly, e.trueRefusals, e.keysInForce, e.departed, e.lost, e.attempts, e.retries, e.gone, e.held,
		e.recovered, e.exited,
	} {
		found = append(found, rule()...)
	}
	return found
}

func repeatable(path string) bool {
	return strings.HasPrefix(path, "/again/") || strings.HasPrefix(path, "/resume/")
}

func serviceOf(path string) string {
	if strings.Contains(path, "stream") {
		return "pool"
	}
	return "plain"
}

// streamOf is the whole stream of the stand-in.
func streamOf() string {
	var out strings.Builder
	for i := 1; i <= 5; i++ {
		_, _ = fmt.Fprintf(&out, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return out.String()
}

// wholeAnswers checks that each success is the whole answer of a server to this request.
func (e *evidence) wholeAnswers() []violation {
	var found []violation
	for _, r := range e.requests {
		stream := serviceOf(r.Path) == "pool"
		switch {
		case r.Status != 200:
			continue
		case !strings.HasSuffix(r.Signature, "-for-"+r.Attempt):
			found = append(found, violation{"answers belong to their request", fmt.Sprintf("%s got one signed %q", r.Attempt, r.Signature)})
		case stream && !strings.HasPrefix(streamOf(), r.Answer), stream && !r.Broken && !r.Left && r.Answer != streamOf():
			found = append(found, violation{"streams are complete and in order", fmt.Sprintf("%s got %q", r.Attempt, r.Answer)})
		case !stream && !r.Broken && !strings.HasPrefix(r.Answer, r.Body+" by "):
			found = append(found, violation{"answers are whole", fmt.Sprintf("%s sent %q and got %q", r.Attempt, r.Body, r.Answer)})
		}
	}
	return found
}

// ownRequests checks that servers run only what callers sent, for the right client account and at the right service.
func (e *evidence) ownRequests() []violation {
	var found []violation
	sent := e.byAttempt()
	for attempt, runs := range e.runs {
		r, known := sent[attempt]
		for _, x := range runs {
			switch {
			case !known, x.Body != r.Body:
				found = append(found, violation{"servers run what callers sent", fmt.Sprintf("%s with body %q", attempt, x.Body)})
			case x.Account != "clerks" || x.HasKey:
				found = append(found, violation{"requests run for the account of their key", fmt.Sprintf("%s for %q", attempt, x.Account)})
			case x.Service != serviceOf(r.Path):
				found = append(found, violation{"requests run at their service", fmt.Sprintf("%s at %s", attempt, x.Server)})
			}
		}
	}
	return found
}

func (e *evidence) byAttempt() map[string]request {
	out := map[string]request{}
	for _, r := range e.requests {
		out[r.Attempt] = r
	}
	return out
}

func (e *evidence) onceOnly() []violation {
	var found []violation
	for _, r := range e.requests {
		if runs := e.runs[r.Attempt]; len(runs) > 1 && !repeatable(r.Path) {
			found = append(found, violation{"requests that may not be repeated run once", fmt.Sprintf("%s ran %d times", r.Attempt, len(runs))})
		}
	}
	return found
}

func (e *evidence) trueRefusals() []violation {
	var found []violation
	for _, r := range e.requests {
		if slices.Contains([]int{408, 421, 429, 503}, r.Status) && !repeatable(r.Path) && len(e.runs[r.Attempt]) > 0 {
			found = append(found, violation{"refused requests have not run", fmt.Sprintf("%s got %d", r.Attempt, r.Status)})
		}
	}
	return found
}

// possible returns the versions that may be in force at some moment of a time. A version may be from its sending until the
// following one has to be.
func (e *evidence) possible(from, to time.Time) []version {
	var out []version
	for i, v := range e.versions {
		if v.Sent.After(to) {
			break
		}
		if i+1 < len(e.versions) && e.versions[i+1].Acked.Add(applyBound).Before(from) {
			continue
		}
		out = append(out, v)
	}
	return out
}

// keysInForce checks that keys work while all versions that may be in force hold them, and do not when none does.
func (e *evidence) keysInForce() []violation {
	var found []violation
	for _, r := range e.requests {
		from := r.Sent.Add(-contactBound)
		if e.disturbed(r.Router, from, r.Ended) || e.unstable(from, r.Ended) {
			continue
		}
		holding := 0
		versions := e.possible(r.Sent, r.Ended)
		for _, v := range versions {
			if slices.Contains(v.Keys, r.Key) {
				holding++
			}
		}
		ran := r.Status == 200 || len(e.runs[r.Attempt]) > 0
		switch {
		case holding == 0 && ran:
			found = append(found, violation{"a revoked key is refused", fmt.Sprintf("%s at %s", r.Attempt, r.Router)})
		case holding == len(versions) && (r.Status == 401 || r.Status == 403 || r.Status == 404):
			found = append(found, violation{"a key in force is accepted", fmt.Sprintf("%s got %d at %s", r.Attempt, r.Status, r.Router)})
		}
	}
	return found
}

// departed checks that servers which leave get no new requests.
func (e *evidence) departed() []violation {
	var found []violation
	sent := e.byAttempt()
	for _, d := range e.departures {
		for _, runs := range e.runs {
			for _, x := range runs {
				due := d.Acked.Add(drainBound)
				// A server that was paused, or hard to reach, begins late what was sent in time.
				late := x.Server == d.Server && x.At.After(due) && !e.harmed(x.Server, x.At.Add(-contactBound), x.At)
				if !late || e.unstable(d.Acked.Add(-contactBound), d.Acked) {
					continue
				}
				router := sent[x.Attempt].Router
				if !e.disturbed(router, x.At.Add(-contactBound), x.At) && !e.unstable(x.At.Add(-contactBound), x.At) {
					found = append(found, violation{
						"servers that leave get no new requests",
						fmt.Sprintf("%s ran at %s %v after it left", x.Attempt, x.Server, x.At.Sub(d.Acked)),
					})
				}
			}
		}
	}
	return found
}

// lost checks that requests which a server ran are answered, around planned work and at all other times.
func (e *evidence) lost() []violation {
	var found []violation
	for _, r := range e.requests {
		runs := e.runs[r.Attempt]
		if r.Left || r.Status == 200 && !r.Broken || r.Status > 200 || len(runs) == 0 || r.Ended.Sub(r.Sent) > routeTimeout {
			continue
		}
		from := r.Sent.Add(-contactBound)
		harmed := slices.ContainsFunc(runs, func(x run) bool { return e.harmed(x.Server, from, r.Ended) })
		if !harmed && !e.disturbed(r.Router, from, r.Ended) {
			found = append(found, violation{"requests that were passed on are answered", fmt.Sprintf("%s at %s", r.Attempt, r.Router)})
		}
	}
	return found
}

// attempts checks the number of servers that one request reaches.
func (e *evidence) attempts() []violation {
	var found []violation
	for _, r := range e.requests {
		if n := len(e.runs[r.Attempt]); n > maxAttempts {
			found = append(found, violation{"attempts are bounded", fmt.Sprintf("%s ran %d times", r.Attempt, n)})
		}
	}
	return found
}

// retries checks the retry budget of each service in sliding windows.
func (e *evidence) retries() []violation {
	var found []violation
	for _, service := range []string{"plain", "pool"} {
		var firsts, more []time.Time
		for _, r := range e.requests {
			if serviceOf(r.Path) == service {
				firsts = append(firsts, r.Sent)
			}
			runs := slices.Clone(e.runs[r.Attempt])
			slices.SortFunc(runs, func(a, b run) int { return a.At.Compare(b.At) })
			for _, x := range runs[min(1, len(runs)):] {
				if x.Service == service {
					more = append(more, x.At)
				}
			}
		}
		for _, from := range more {
			count := func(times []time.Time) (n int) {
				for _, t := range times {
					if !t.Before(from) && t.Sub(from) < retryWindow {
						n++
					}
				}
				return n
			}
			if n, limit := count(more), retryShare*float64(count(firsts))+retryExtra; float64(n) > limit {
				found = append(found, violation{"retries stay within their budget", fmt.Sprintf("%d of %.0f at %s", n, limit, service)})
				break
			}
		}
	}
	return found
}

// gone checks that work ends soon after its caller has left.
func (e *evidence) gone() []violation {
	late, seen := 0, 0
	for _, r := range e.requests {
		if !r.Left || e.disturbed(r.Router, r.Sent.Add(-contactBound), r.Ended.Add(lateEnd)) {
			continue
		}
		for _, x := range e.runs[r.Attempt] {
			if e.harmed(x.Server, r.Sent.Add(-contactBound), r.Ended.Add(lateEnd)) {
				continue
			}
			seen++
			if x.Ended.IsZero() || x.Ended.Sub(r.Ended) > lateEnd {
				late++
			}
		}
	}
	if 4*late > seen {
		return []violation{{"work ends when its caller leaves", fmt.Sprintf("%d of %d runs went on", late, seen)}}
	}
	return nil
}

// held checks that requests are answered by their route's time limit.
func (e *evidence) held() []violation {
	late, seen := 0, 0
	for _, r := range e.requests {
		if r.Left || r.Ended.Sub(r.Sent) < routeTimeout || e.disturbed(r.Router, r.Sent.Add(-contactBound), r.Ended) {
			continue
		}
		seen++
		if r.Ended.Sub(r.Sent) > routeTimeout+lateEnd {
			late++
		}
	}
	if 2*late > seen {
		return []violation{{"requests end at their route's time limit", fmt.Sprintf("%d of %d were later", late, seen)}}
	}
	return nil
}

// recovered checks that service is back after the last trouble.
func (e *evidence) recovered() []violation {
	served, seen := 0, 0
	for _, r := range e.requests {
		if r.Left || r.Key != lastingKey || r.Sent.Before(e.calm.Add(recoverBound)) {
			continue
		}
		seen++
		if r.Status == 200 && !r.Broken {
			served++
		}
	}
	if seen == 0 || 4*served < seen {
		return []violation{{"service returns", fmt.Sprintf("%d of %d requests served", served, seen)}}
	}
	return nil
}

func (e *evidence) exited() []violation {
	var found []violation
	for _, router := range e.exits {
		found = append(found, violation{"routers run until they are ended", router + " ended by itself"})
	}
	return found
}

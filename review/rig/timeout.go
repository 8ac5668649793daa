package main

import (
	"net/http"
	"sync"
	"time"
)

// timeoutCase: clients send requests with a body that takes bodyTime to send, within their time budget
// and within all limits of the configuration. The disruption is a change of the configuration that
// sets the route's timeout_ms from longTimeout to shortTimeout, which is shorter than bodyTime. The rule
// CONFIG wants a final answer within 0.5 s after timeout_ms for these requests.
func timeoutCase(trouble bool) bool {
	const (
		longTimeout  = 4 * time.Second
		shortTimeout = time.Second
		bodyTime     = 2 * time.Second
		budget       = 4 * time.Second
		applyTime    = 2 * time.Second
		slack        = 500 * time.Millisecond
		contact      = 3 * time.Second
		clientCount  = 24
	)
	orders := func(timeout time.Duration) routeSpec {
		return route("orders", "/orders/", "non_idempotent", "desk", 1, timeout, 300*time.Millisecond)
	}
	s := newStore()
	s.put("config", "main", config(1, orders(longTimeout)))
	for i, zone := range []string{"kariakoo", "mikocheni", "ubungo"} {
		startWorker(s, "i-desk"+string(rune('a'+i)), "desk", zone, 6, 60*time.Millisecond)
	}
	routers := startRouters(s, 2)
	time.Sleep(contact)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	client := func(q request, r *router, pause time.Duration) {
		defer clients.Done()
		c := &channel{address: r.front()}
		defer c.close()
		for {
			select {
			case <-stop:
				return
			case <-time.After(pause):
			}
			c.do(q)
		}
	}
	slow := request{kind: "slow order", method: http.MethodPost, path: "/orders/2f", key: "key-hule", budget: budget, body: 3600, upload: bodyTime}
	quick := request{kind: "quick order", method: http.MethodPost, path: "/orders/3f", key: "key-gora", budget: budget, body: 600}
	for i := range clientCount {
		clients.Add(2)
		go client(slow, routers[i%len(routers)], time.Duration(50+10*i)*time.Millisecond)
		go client(quick, routers[i%len(routers)], 100*time.Millisecond)
	}
	time.Sleep(6 * time.Second)
	var changed time.Time
	if trouble {
		changed = s.put("config", "main", config(2, orders(shortTimeout)))
		note("config_change (timeout): timeout_ms of the route is %d instead of %d", shortTimeout.Milliseconds(), longTimeout.Milliseconds())
	}
	time.Sleep(12 * time.Second)
	close(stop)
	clients.Wait()
	byAttempt := runs.of()
	longer, unanswered, brokenOff, withoutBudget, answered := 0, 0, 0, 0, 0
	for _, q := range requests.all() {
		if q.kind == "slow order" && q.status/100 == 2 {
			answered++
		}
		timeout := longTimeout
		if !changed.IsZero() && q.at.After(changed.Add(applyTime)) {
			timeout = shortTimeout
		}
		// A request is counted if it was still unanswered at timeout_ms. Those sent while the change was
		// being applied may be under either version and are left out.
		if q.ended.Sub(q.at) <= timeout || !changed.IsZero() && q.at.After(changed.Add(-longTimeout)) && !q.at.After(changed.Add(applyTime)) {
			continue
		}
		longer++
		if q.status != 0 && q.ended.Sub(q.at) <= timeout+slack {
			continue
		}
		unanswered++
		note("late: %s %s was answered with %d after %d ms; timeout_ms is %d", q.kind, q.attempt, q.status, q.ended.Sub(q.at).Milliseconds(), timeout.Milliseconds())
		for _, r := range byAttempt[q.attempt] {
			if r.ended != "200" {
				brokenOff++
			}
			if r.budget == "" {
				withoutBudget++
			}
		}
	}
	report("requests %d, slow orders answered 2xx %d; longer than timeout_ms %d, of these without a final answer 0.5 s after it %d (CONFIG allows up to 7, or a quarter); "+
		"of these passed on after the timeout, run by a sound worker and broken off %d, handed over without Deadline-Ms %d",
		len(requests.all()), answered, longer, unanswered, brokenOff, withoutBudget)
	return unanswered >= 8 && unanswered*4 > longer
}

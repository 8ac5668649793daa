package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

type routeSpec map[string]any

func route(name, prefix, kind, service string, attempts int, timeout, target time.Duration) routeSpec {
	return routeSpec{
		"name": name, "host": host, "path_prefix": prefix, "kind": kind, "service": service, "max_attempts": attempts,
		"timeout_ms": timeout.Milliseconds(), "target_latency_ms": target.Milliseconds(), "priority": 1,
	}
}

// maxBody is the limit of the small installations for the body of a request.
const maxBody = 4 << 20

func config(version int, routes ...routeSpec) map[string]any {
	return map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{"name": "desk", "health_check": "/healthz", "max_connections": 110}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBody, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "hule930", "api_keys": []string{"key-hule"}}, map[string]any{"name": "gora361", "api_keys": []string{"key-gora"}}},
	}
}

// memoryCase: one tenant uploads documents of the largest size that the configuration allows, at a
// steady rate. With the disruption the rate is hotTenant times as high for hotFor. The platform kills a
// process that exceeds memory_mb. The rule LOST counts the requests from kept channels that were passed
// on to a sound worker and got no answer.
func memoryCase(trouble bool) bool {
	const (
		// usualPause is the time between two uploads of the tenant as usual, 4.2 a second.
		usualPause = 240 * time.Millisecond
		hotTenant  = 7.5
		hotFor     = 6500 * time.Millisecond
		uploadTime = 6 * time.Second
		contact    = 3 * time.Second
	)
	s := newStore()
	s.put("config", "main", config(1,
		route("print", "/print/", "non_idempotent", "desk", 1, 1500*time.Millisecond, 300*time.Millisecond),
		route("letters", "/letters/", "non_idempotent", "desk", 1, 15*time.Second, 600*time.Millisecond)))
	for i, zone := range []string{"kariakoo", "mikocheni", "ubungo"} {
		startWorker(s, "i-desk"+string(rune('a'+i)), "desk", zone, 6, 60*time.Millisecond)
	}
	routers := startRouters(s, 2)
	stop := make(chan struct{})
	time.Sleep(contact)
	var mu sync.Mutex
	peak, killed := int64(0), 0
	// The platform's limit of memory.
	for _, r := range routers {
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(10 * time.Millisecond):
				}
				n := r.residentBytes()
				mu.Lock()
				peak = max(peak, n)
				mu.Unlock()
				if n <= memoryMB<<20 {
					continue
				}
				note("platform: %s holds %d MB, more than memory_mb = %d: killed", r.name, n>>20, memoryMB)
				mu.Lock()
				killed++
				mu.Unlock()
				r.kill()
				time.Sleep(time.Second)
				r.start()
			}
		}()
	}
	var clients sync.WaitGroup
	client := func(q request, pause time.Duration, until <-chan struct{}) {
		defer clients.Done()
		c := &channel{}
		defer func() { c.close() }()
		for {
			select {
			case <-until:
				return
			case <-time.After(pause):
			}
			if c.conn == nil {
				// For each new channel, clients pick one of the addresses at random.
				c.address = routers[rand.IntN(len(routers))].front()
			}
			if c.do(q).status == 0 {
				time.Sleep(300 * time.Millisecond)
			}
		}
	}
	// The plain traffic: short requests on kept channels.
	for i := range 40 {
		clients.Add(1)
		go client(request{kind: "print", method: http.MethodPost, path: "/print/2f", key: "key-hule", budget: 1500 * time.Millisecond, body: 600}, time.Duration(20+i)*time.Millisecond, stop)
	}
	upload := request{kind: "letter", method: http.MethodPost, path: "/letters/7", key: "key-gora", budget: 15 * time.Second, body: maxBody, upload: uploadTime}
	// The tenant's uploads begin at a steady rate, whatever becomes of those before. None is repeated.
	started := 0
	uploadsFor := func(period, pause time.Duration) {
		end := time.Now().Add(period)
		for next := time.Now().Add(pause); next.Before(end); next = next.Add(pause) {
			time.Sleep(time.Until(next))
			started++
			clients.Add(1)
			go func() {
				defer clients.Done()
				c := &channel{address: routers[rand.IntN(len(routers))].front()}
				defer c.close()
				c.do(upload)
			}()
		}
	}
	uploadsFor(8*time.Second, usualPause)
	if trouble {
		note("hot_tenant: x %.1f for %s", hotTenant, hotFor)
		before := started
		uploadsFor(hotFor, time.Duration(float64(usualPause)/hotTenant))
		note("hot_tenant ends: %d uploads in %s, as usual %.0f", started-before, hotFor, hotFor.Seconds()/usualPause.Seconds())
	} else {
		uploadsFor(hotFor, usualPause)
	}
	uploadsFor(6*time.Second, usualPause)
	time.Sleep(7 * time.Second)
	close(stop)
	clients.Wait()
	byAttempt := runs.of()
	lost := 0
	for _, q := range requests.all() {
		if q.kept && q.status == 0 && q.how != "no connection" && q.how != "the client's time budget passed" && len(byAttempt[q.attempt]) > 0 {
			lost++
			note("lost: %s %s on a kept channel, run by %s", q.kind, q.attempt, byAttempt[q.attempt][0].worker)
		}
	}
	answered := 0
	for _, q := range requests.all() {
		if q.status/100 == 2 {
			answered++
		}
	}
	report("requests %d, answered 2xx %d, peak memory of a router %d MB of %d, killed %d times, lost on kept channels though run: %d (LOST allows 3)",
		len(requests.all()), answered, peak>>20, memoryMB, killed, lost)
	return lost > 3
}

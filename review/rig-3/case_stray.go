package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Figures of the case. The site files and the bench's own words state up to 0.6 of the workers and up to 0.05
// of their answers for faulty answers.
const (
	strayWorkers = 5
	strayFaulty  = 2
	strayShare   = 0.02
	strayTime    = 25 * time.Second
	strayClients = 12
	strayWork    = 30 * time.Millisecond
)

// strayAnswers are what faulty workers send late after a complete answer, in turn. They belong to no request: they
// name none, and don't say that one was not executed.
var strayAnswers = []string{
	"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n",
}

// runStray checks REFUSED: a request that may run at most once is answered 503 and has run.
func runStray(b *bed) error {
	s, err := newStore()
	if err != nil {
		return err
	}
	const host, prefix, service, key = "nocu94.example", "/puxa403/", "gopu72b", "n2ctnfzs989anu6wsjnb"
	s.put("config", "main", map[string]any{
		"version":  7,
		"routes":   []any{map[string]any{"name": "r-1", "host": host, "path_prefix": prefix, "kind": "non_idempotent", "timeout_ms": 1000, "target_latency_ms": 150, "priority": 1, "service": service, "max_attempts": 2, "public": false, "sticky": false}},
		"services": []any{map[string]any{"name": service, "health_check": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "hule930", "api_keys": []string{key}, "priority": 1}},
	})
	var mu sync.Mutex
	ranAt := map[string]string{}
	strays := 0
	rng := rand.New(rand.NewSource(1))
	behave := func(w *worker, c *channel, r *http.Request, _ []byte) bool {
		attempt := r.Header.Get("Attempt-Id")
		if !w.take(c, r) {
			b.log.add("%s rejects %s, not executed", w.ID, attempt)
			return true
		}
		defer w.free()
		mu.Lock()
		ranAt[attempt] = w.ID
		isFaulty := b.trouble && slices.Contains([]string{"i-00000000", "i-00000001"}, w.ID) && rng.Float64() < strayShare
		stray := ""
		if isFaulty {
			stray = strayAnswers[strays%len(strayAnswers)]
			strays++
		}
		mu.Unlock()
		b.log.add("%s runs %s", w.ID, attempt)
		time.Sleep(strayWork)
		w.answer(c, attempt, `{"done":"`+attempt+`"}`)
		b.log.add("%s has answered %s with 200", w.ID, attempt)
		if isFaulty {
			c.stray = stray
			b.log.add("%s will send bytes that belong to no request after its answer to %s", w.ID, attempt)
		}
		return true
	}
	for i := range strayWorkers {
		if _, err := startWorker(s, b.log, fmt.Sprintf("i-%08d", i), service, zones[i%len(zones)], 6, behave); err != nil {
			return err
		}
	}
	routers, err := newRouters(2, b.binary, b.temp, s.Address, nil)
	if err != nil {
		return err
	}
	for _, r := range routers {
		if err := r.start(); err != nil {
			return err
		}
		defer r.kill()
	}
	for _, r := range routers {
		if err := r.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	var group sync.WaitGroup
	count, failed := map[int]int{}, 0
	var wrong []string
	end := time.Now().Add(strayTime)
	for i := range strayClients {
		group.Add(1)
		go func() {
			defer group.Done()
			c := &client{address: routers[i%len(routers)].front()}
			defer c.drop()
			for time.Now().Before(end) {
				attempt := newAttempt()
				b.log.add("client sends %s to %s", attempt, c.address)
				got := c.send("POST", host, prefix+"2f", attempt, []string{"Api-Key: " + key}, "trainee "+attempt, time.Second)
				b.log.add("client gets for %s: %s", attempt, got)
				time.Sleep(20 * time.Millisecond)
				mu.Lock()
				count[got.status]++
				if got.status == 0 {
					failed++
				}
				if at := ranAt[attempt]; at != "" && slices.Contains([]int{408, 421, 429, 503}, got.status) {
					wrong = append(wrong, fmt.Sprintf("%s was answered %d, and has run at %s", attempt, got.status, at))
				}
				mu.Unlock()
			}
		}()
	}
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	b.log.say("answers by status: %v; faulty answers of workers: %d of %d", count, strays, len(ranAt))
	if count[200] == 0 {
		return fmt.Errorf("no request was served")
	}
	for _, line := range wrong {
		b.log.say("REFUSED: %s", line)
	}
	if len(wrong) > 0 {
		return fmt.Errorf("%w: %d requests that may run once at most were answered with a promise that they have not run, and had run", errBroken, len(wrong))
	}
	return nil
}

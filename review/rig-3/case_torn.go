package main

import (
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the case. Plain garble is share 0.5 of the workers and x 0.02 of their answers in `fleetbench kinds`; here
// it is 0.4 and 0.02.
const (
	tornWorkers = 5
	// One in tornEvery streams of a faulty worker is stopped, for tornFor, which begins at tornFrom.
	tornEvery   = 50
	tornFrom    = 5 * time.Second
	tornFor     = 5 * time.Second
	tornTime    = 14 * time.Second
	tornClients = 24
	tornEvents  = 12
)

// runTorn checks that a stream whose worker stops in the middle of an event doesn't look complete.
func runTorn(b *bed) error {
	s, err := newStore()
	if err != nil {
		return err
	}
	const host, prefix, service, key = "nocu94.example", "/kati510/", "lese7a", "n2ctnfzs989anu6wsjnb"
	s.put("config", "main", map[string]any{
		"version":  7,
		"routes":   []any{map[string]any{"name": "r-1", "host": host, "path_prefix": prefix, "kind": "streaming", "timeout_ms": 15000, "target_latency_ms": 600, "gap_target_ms": 300, "priority": 1, "service": service, "max_attempts": 2, "public": false, "sticky": true, "stream_resume": true}},
		"services": []any{map[string]any{"name": service, "health_check": "/healthz", "max_connections": 370, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 64, "kv_capacity_tokens": 712660, "kv_token_bytes": 35136, "models": []any{map[string]any{"name": "m"}}}}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "hule930", "api_keys": []string{key}, "priority": 1}},
	})
	event := func(attempt string, i int) string { return fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", i, attempt, i) }
	var mu sync.Mutex
	torn, runs := map[string]string{}, 0
	rng := rand.New(rand.NewSource(1))
	var faultyFrom time.Time
	// answered counts the streams of each faulty worker while it is faulty.
	answered := map[string]int{}
	behave := func(w *worker, c *channel, r *http.Request, _ []byte) bool {
		attempt := r.Header.Get("Attempt-Id")
		if !w.take(c, r) {
			return true
		}
		defer w.free()
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		mu.Lock()
		runs++
		stopsAt := 0
		isFaulty := !faultyFrom.IsZero() && time.Since(faultyFrom) >= 0 && time.Since(faultyFrom) < tornFor
		if b.trouble && isFaulty && (w.ID == "i-00000000" || w.ID == "i-00000001") {
			if answered[w.ID]++; answered[w.ID]%tornEvery == 0 {
				stopsAt = 2 + rng.Intn(tornEvents-2)
				torn[attempt] = w.ID
			}
		}
		mu.Unlock()
		b.log.add("%s runs %s, after event %d", w.ID, attempt, last)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nAttempt-Id: "+attempt+"\r\nResponse-Signature: "+signature(w, attempt)+"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		chunk := func(text string) bool {
			_, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
			return err == nil
		}
		for i := last + 1; i <= tornEvents; i++ {
			time.Sleep(10 * time.Millisecond)
			if i == stopsAt {
				chunk(event(attempt, i)[:12])
				io.WriteString(c, "0\r\n\r\n")
				b.log.add("%s stops %s in the middle of event %d of %d", w.ID, attempt, i, tornEvents)
				return true
			}
			if !chunk(event(attempt, i)) {
				return false
			}
		}
		io.WriteString(c, "0\r\n\r\n")
		return true
	}
	for i := range tornWorkers {
		if _, err := startWorker(s, b.log, fmt.Sprintf("i-%08d", i), service, zones[i%len(zones)], 64, behave); err != nil {
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
	whole, cut := 0, 0
	var wrong []string
	end := time.Now().Add(tornTime)
	mu.Lock()
	faultyFrom = time.Now().Add(tornFrom)
	mu.Unlock()
	for i := range tornClients {
		group.Add(1)
		go func() {
			defer group.Done()
			c := &client{address: routers[i%len(routers)].front()}
			defer c.drop()
			for time.Now().Before(end) {
				attempt := newAttempt()
				b.log.add("client sends %s to %s", attempt, c.address)
				headers := []string{"Api-Key: " + key, "Model: m", "Token-Usage: 200,72", "Prompt-Prefix: 5c1e07a2:100," + attempt[1:] + ":100"}
				got := c.send("POST", host, prefix+"2f", attempt, headers, "prompt "+attempt, 5*time.Second)
				b.log.add("client gets for %s: %s", attempt, got)
				var want strings.Builder
				for k := 1; k <= tornEvents; k++ {
					want.WriteString(event(attempt, k))
				}
				mu.Lock()
				switch {
				case got.status != http.StatusOK || got.err != nil:
					cut++
				case got.body == want.String():
					whole++
				default:
					wrong = append(wrong, fmt.Sprintf("%s looks complete, with %d of %d bytes, ends with %q; its worker %s stopped in the middle of an event", attempt, len(got.body), want.Len(), got.body[max(0, len(got.body)-24):], torn[attempt]))
				}
				mu.Unlock()
			}
		}()
	}
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	b.log.say("streams whole: %d, failed or seen to be cut: %d; runs: %d, of which workers stopped %d in the middle of an event", whole, cut, runs, len(torn))
	if whole == 0 {
		return fmt.Errorf("no stream was served")
	}
	for _, line := range wrong {
		b.log.say("MIXED: %s", line)
	}
	if b.trouble && len(torn) == 0 {
		return fmt.Errorf("no worker stopped a stream")
	}
	if len(wrong) > 0 {
		return fmt.Errorf("%w: %d streams ended early and look complete", errBroken, len(wrong))
	}
	return nil
}

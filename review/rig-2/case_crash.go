package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const crashHost = "lookup.example"

// caseCrash: a caller sends a request again and again that crashes each worker that runs it. Once the
// routers refuse it, all of them are killed at the same time.
func caseCrash(b *bed) (string, error) {
	const crashing = "/tickets/crash"
	if _, err := b.addWorkers("intake-desk", 9, 6, func(w *worker, rw httpWriter, r *httpRequest, x *run) {
		if r.URL.Path == crashing {
			w.crash()
			w.restartAfter(3 * time.Second)
			return
		}
		time.Sleep(400 * time.Millisecond)
		answer(rw, "ok "+x.id)
	}); err != nil {
		return "", err
	}
	b.store.put("config", "main", config(3, []map[string]any{{
		"name": "ticket-print", "host": crashHost, "path_prefix": "/tickets/", "kind": "non_idempotent", "timeout_ms": 1500,
		"target_latency_ms": 300, "max_attempts": 1, "priority": 2, "service": "intake-desk",
	}}, []map[string]any{{"name": "intake-desk", "health_check": "/healthz", "max_connections": 96}}, nil))
	if err := b.addRouters(6); err != nil {
		return "", err
	}
	if err := b.awaitReady(); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second)
	var ordinary, failed atomic.Int64
	stop := make(chan struct{})
	var load sync.WaitGroup
	for c := range 30 {
		load.Add(1)
		go func() {
			defer load.Done()
			for i := c; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				id := fmt.Sprintf("o%d", b.nextNumber())
				x := b.routers[i%len(b.routers)].send(request{id: id, method: "POST", host: crashHost, path: "/tickets/" + id, body: "{}", deadline: 1500 * time.Millisecond})
				ordinary.Add(1)
				if len(b.runsOf(id)) > 0 && x.status/100 != 2 {
					failed.Add(1)
				}
			}
		}()
	}
	// The caller sends the request every 15 ms, to one router after the other.
	n := 0
	repeat := func(times int) (retries int) {
		for range times {
			id := fmt.Sprintf("crash%d", b.nextNumber())
			n++
			b.routers[n%len(b.routers)].send(request{id: id, method: "POST", host: crashHost, path: crashing, body: "{}", deadline: 1500 * time.Millisecond})
			if len(b.runsOf(id)) > 0 {
				retries++
			}
			time.Sleep(15 * time.Millisecond)
		}
		return retries
	}
	before := repeat(200)
	b.note("%d times the request has crashed a worker before the disruption", before)
	if before < 3 {
		return "", fmt.Errorf("the request has crashed %d workers only", before)
	}
	if late := repeat(200); late > 0 {
		return "", fmt.Errorf("the request reaches workers %d times before the disruption, later than contact_ms after the third crash", late)
	}
	if trouble {
		for _, r := range b.routers {
			r.signal(9)
		}
		for _, r := range b.routers {
			<-r.exited
		}
		time.Sleep(time.Second)
		for _, r := range b.routers {
			if err := r.start(false, nil); err != nil {
				return "", err
			}
		}
		if err := b.awaitReady(); err != nil {
			return "", err
		}
	}
	// Longer than contact_ms after the start: all routers are in touch.
	time.Sleep(6 * time.Second)
	ordinary.Store(0)
	failed.Store(0)
	after := repeat(200)
	close(stop)
	load.Wait()
	b.note("%d retries have reached workers after that; %d of %d requests of other callers have failed since", after, failed.Load(), ordinary.Load())
	if after > 3 {
		return fmt.Sprintf("%d retries of the request have reached workers, sent by routers in touch, later than contact_ms after its third crash", after), nil
	}
	return "", nil
}

func init() { cases["crash"] = caseCrash }

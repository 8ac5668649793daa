package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the case. contactTime is contact_ms of the settings.
const (
	deadlyRouters = 4
	deadlyWorkers = 10
	deadlyBack    = 3 * time.Second
	contactTime   = 3 * time.Second
	deadlyPause   = 500 * time.Millisecond
)

// deadlyBed holds the workers of the case, which a request may crash.
type deadlyBed struct {
	*bed
	store   *store
	service string

	mu      sync.Mutex
	lives   int
	crashes []time.Time
	// arrivals are those of the deadly request at workers.
	arrivals []time.Time
	ran      int
}

// startLife starts a lifetime of a worker, with a new ID.
func (d *deadlyBed) startLife(zone string) error {
	d.mu.Lock()
	d.lives++
	id := fmt.Sprintf("i-%08d", d.lives)
	d.mu.Unlock()
	_, err := startWorker(d.store, d.log, id, d.service, zone, 6, func(w *worker, c *channel, r *http.Request, _ []byte) bool {
		attempt := r.Header.Get("Attempt-Id")
		if !w.take(c, r) {
			return true
		}
		defer w.free()
		if !strings.HasSuffix(r.URL.Path, "/deadly") {
			d.mu.Lock()
			d.ran++
			d.mu.Unlock()
			time.Sleep(20 * time.Millisecond)
			w.answer(c, attempt, `{"done":"`+attempt+`"}`)
			return true
		}
		d.mu.Lock()
		d.arrivals = append(d.arrivals, time.Now())
		d.log.add("%s begins to run the deadly request %s and crashes: arrival %d", w.ID, attempt, len(d.arrivals))
		d.crashes = append(d.crashes, time.Now())
		d.mu.Unlock()
		close(w.stopped)
		w.crash()
		time.AfterFunc(deadlyBack, func() {
			// The entry expires after three ping intervals; the machine serves again under a new ID.
			d.startLife(w.Zone)
		})
		time.AfterFunc(3600*time.Millisecond, func() { d.store.remove("servers", w.ID) })
		return false
	})
	return err
}

// runDeadly checks BUDGET: a request that has crashed three workers reaches workers more than three times
// later than contact_ms after that, sent by machines in touch.
func runDeadly(b *bed) error {
	s, err := newStore()
	if err != nil {
		return err
	}
	const host, prefix, key = "nocu94.example", "/cufi504/", "n2ctnfzs989anu6wsjnb"
	d := &deadlyBed{bed: b, store: s, service: "gopu72b"}
	s.put("config", "main", map[string]any{
		"version":  7,
		"routes":   []any{map[string]any{"name": "r-1", "host": host, "path_prefix": prefix, "kind": "idempotent", "timeout_ms": 1000, "target_latency_ms": 150, "priority": 1, "service": d.service, "max_attempts": 2, "public": false, "sticky": false}},
		"services": []any{map[string]any{"name": d.service, "health_check": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "hule930", "api_keys": []string{key}, "priority": 1}},
	})
	for i := range deadlyWorkers {
		if err := d.startLife(zones[i%len(zones)]); err != nil {
			return err
		}
	}
	routers, err := newRouters(deadlyRouters, b.binary, b.temp, s.Address, nil)
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
	time.Sleep(contactTime + time.Second)

	// Other requests go on all the time.
	stop := make(chan struct{})
	var group sync.WaitGroup
	defer group.Wait()
	defer close(stop)
	for i := range routers {
		group.Add(1)
		go func() {
			defer group.Done()
			c := &client{address: routers[i].front()}
			defer c.drop()
			for {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				if got := c.send("GET", host, prefix+"sound", newAttempt(), []string{"Api-Key: " + key}, "", time.Second); got.status == 0 {
					time.Sleep(100 * time.Millisecond)
				}
			}
		}()
	}

	// send sends the deadly request, which comes again and again at any machine, until it is refused for good or
	// the time is over.
	number := 0
	send := func(limit time.Duration) {
		for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(deadlyPause) {
			r := routers[number%len(routers)]
			number++
			c := &client{address: r.front()}
			attempt := newAttempt()
			b.log.add("client sends the deadly request %s to %s", attempt, r.Name)
			got := c.send("GET", host, prefix+"deadly", attempt, []string{"Api-Key: " + key}, "", time.Second)
			b.log.add("client gets for %s: %s", attempt, got)
			c.drop()
		}
	}
	send(10 * time.Second)
	d.mu.Lock()
	crashed := len(d.crashes)
	d.mu.Unlock()
	if crashed < 3 {
		return fmt.Errorf("the deadly request has crashed only %d workers", crashed)
	}
	b.log.say("the deadly request has crashed %d workers", crashed)
	if b.trouble {
		b.log.say("all routers are killed at the same moment, and start again after a second")
		for _, r := range routers {
			r.signal(syscall.SIGKILL)
		}
		for _, r := range routers {
			<-r.done
		}
		time.Sleep(time.Second)
		for _, r := range routers {
			if err := r.start(); err != nil {
				return err
			}
		}
	} else {
		time.Sleep(time.Second)
	}
	for _, r := range routers {
		if err := r.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	// From then on all machines are in touch.
	time.Sleep(contactTime + 2*time.Second)
	inTouch := time.Now()
	b.log.say("all routers have run for longer than contact_ms, and the store was stable")
	send(15 * time.Second)
	d.mu.Lock()
	defer d.mu.Unlock()
	third := d.crashes[2]
	late := 0
	for _, at := range d.arrivals {
		if at.Sub(third) > contactTime && at.After(inTouch) {
			late++
		}
	}
	b.log.say("arrivals of the deadly request at workers: %d; of these later than contact_ms after its third crash, from machines in touch: %d; other requests that ran: %d", len(d.arrivals), late, d.ran)
	if d.ran == 0 {
		return fmt.Errorf("no other request was served")
	}
	if late > 3 {
		return fmt.Errorf("%w: a request that has crashed three workers reached %d more, later than contact_ms after that", errBroken, late)
	}
	return nil
}

package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the case. contactTime is contact_ms of the settings.
const (
	deadlyRouters = 3
	deadlyWorkers = 9
	deadlyBack    = 3 * time.Second
	contactTime   = 3 * time.Second
	deadlyPause   = time.Second
	deadlyTime    = 40 * time.Second
	// answerSize is the size of the answers to documents, of which the deadly request gets the first part.
	answerSize = 600 << 10
	// leaveAfter is when the client of the deadly request leaves, and crashAfter how long a worker works on it
	// before it crashes, in the case of clients that leave.
	leaveAfter = 200 * time.Millisecond
	crashAfter = 300 * time.Millisecond
	// leaveTime is for_s of the site file's entry with the largest x. There are several such entries, with a pause
	// between them, in which the request does not come.
	leaveTime, leaveGap = 5 * time.Second, 3 * time.Second
	leaveEntries        = 5
	leavePause          = 500 * time.Millisecond
)

// deadlyBed holds the workers of the case, which a request may crash.
type deadlyBed struct {
	*bed
	store   *store
	service string
	// leaves is true in the case of clients that leave. The request is deadly in any case then, and the
	// disruption is that its client leaves.
	leaves bool

	mu      sync.Mutex
	lives   int
	crashes []time.Time
	// arrivals are those of the deadly request at workers.
	arrivals []time.Time
	ran      int
}

// goesOn reports whether a worker goes on with a request after its channel was closed. Most drop it.
func (d *deadlyBed) goesOn(w *worker) bool { return w.Zone == zones[0] }

// startLife starts a lifetime of a worker, with a new ID.
func (d *deadlyBed) startLife(zone string) error {
	d.mu.Lock()
	d.lives++
	id := fmt.Sprintf("i-%08d", d.lives)
	d.mu.Unlock()
	_, err := startWorker(d.store, d.log, id, d.service, zone, 6, func(w *worker, c *channel, r *http.Request, _ []byte) bool {
		attempt, began := r.Header.Get("Attempt-Id"), time.Now()
		if !w.take(c, r) {
			return true
		}
		defer w.free()
		document := strings.Repeat("posting ", answerSize/8)
		if !strings.HasSuffix(r.URL.Path, "/deadly") {
			d.mu.Lock()
			d.ran++
			d.mu.Unlock()
			time.Sleep(60 * time.Millisecond)
			w.answer(c, attempt, `{"booked":"`+attempt+`"}`)
			return true
		}
		d.mu.Lock()
		d.arrivals = append(d.arrivals, time.Now())
		d.log.add("%s begins to run the deadly request %s: arrival %d", w.ID, attempt, len(d.arrivals))
		d.mu.Unlock()
		switch {
		case d.leaves:
			if c.closesWithin(crashAfter) && !d.goesOn(w) {
				d.log.add("%s drops the deadly request %s, whose channel was closed", w.ID, attempt)
				return false
			}
			time.Sleep(time.Until(began.Add(crashAfter)))
		case !d.trouble:
			time.Sleep(20 * time.Millisecond)
			w.answer(c, attempt, document)
			return true
		default:
			time.Sleep(20 * time.Millisecond)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: %s\r\nContent-Length: %d\r\n\r\n", attempt, signature(w, attempt), len(document))
			io.WriteString(c, document[:answerSize*2/3])
			// What was sent has arrived when the process ends.
			time.Sleep(30 * time.Millisecond)
		}
		d.mu.Lock()
		d.crashes = append(d.crashes, time.Now())
		d.log.add("%s crashes: crash %d", w.ID, len(d.crashes))
		d.mu.Unlock()
		close(w.stopped)
		w.crash()
		time.AfterFunc(deadlyBack, func() {
			// The machine serves again, as a new lifetime.
			if err := d.startLife(w.Zone); err != nil {
				d.log.add("a worker can't start again: %v", err)
			}
		})
		// The entry of the one that has crashed expires after three ping intervals.
		time.AfterFunc(3600*time.Millisecond, func() { d.store.remove("servers", w.ID) })
		return false
	})
	return err
}

// runDeadly checks BUDGET: a request that has crashed three workers reaches workers more than three times
// later than contact_ms after that. Nothing but the request disturbs the routers, the store and the links.
func runDeadly(b *bed) error { return runDeadlyRequest(b, false) }

// runLeave checks the same for a request whose client leaves before its workers crash.
func runLeave(b *bed) error { return runDeadlyRequest(b, true) }

func runDeadlyRequest(b *bed, leaves bool) error {
	s, err := newStore()
	if err != nil {
		return err
	}
	const host, prefix, orders, key = "nocu94.example", "/cufi504/", "/puxa403/", "n2ctnfzs989anu6wsjnb"
	d := &deadlyBed{bed: b, store: s, service: "gopu72b", leaves: leaves}
	s.put("config", "main", map[string]any{
		"version": 7,
		"routes": []any{
			map[string]any{"name": "r-1", "host": host, "path_prefix": prefix, "kind": "idempotent", "timeout_ms": 1000, "target_latency_ms": 150, "priority": 1, "service": d.service, "max_attempts": 2, "public": false, "sticky": false},
			map[string]any{"name": "r-2", "host": host, "path_prefix": orders, "kind": "non_idempotent", "timeout_ms": 1000, "target_latency_ms": 150, "priority": 0, "service": d.service, "max_attempts": 2, "public": false, "sticky": false},
		},
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
	// From then on all machines are in touch.
	time.Sleep(contactTime + time.Second)

	// Other requests go on all the time.
	stop := make(chan struct{})
	var group sync.WaitGroup
	defer group.Wait()
	defer close(stop)
	lost := 0
	for i := range 4 * len(routers) {
		group.Add(1)
		go func() {
			defer group.Done()
			c := &client{address: routers[i%len(routers)].front()}
			defer c.drop()
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				attempt := newAttempt()
				if got := c.send("POST", host, orders+"2f", attempt, []string{"Api-Key: " + key}, "order "+attempt, time.Second); got.status != http.StatusOK || got.err != nil {
					b.log.add("another client gets for %s: %s", attempt, got)
					d.mu.Lock()
					lost++
					d.mu.Unlock()
				}
			}
		}()
	}
	number := 0
	send := func(limit, pause, patience time.Duration) {
		// The last one ends within the limit.
		for end := time.Now().Add(limit - patience); time.Now().Before(end); time.Sleep(pause) {
			r := routers[number%len(routers)]
			number++
			c := &client{address: r.front()}
			attempt := newAttempt()
			b.log.add("client sends the deadly request %s to %s", attempt, r.Name)
			got := c.sendUntil("GET", host, prefix+"deadly", attempt, []string{"Api-Key: " + key}, "", time.Second, patience)
			b.log.add("client gets for %s: %s", attempt, got)
			c.drop()
		}
	}
	if d.leaves {
		patience := leaveAfter
		if !b.trouble {
			patience = time.Second
		}
		for range leaveEntries {
			send(leaveTime, leavePause, patience)
			time.Sleep(leaveGap)
		}
	} else {
		send(deadlyTime, deadlyPause, time.Second)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	late := 0
	if len(d.crashes) >= 3 {
		for _, at := range d.arrivals {
			if at.Sub(d.crashes[2]) > contactTime {
				late++
			}
		}
	}
	b.log.say("the request was sent %d times and reached workers %d times, of which %d crashed; it reached them %d times later than contact_ms after the third crash; of the orders of other clients %d ran, and %d had no success", number, len(d.arrivals), len(d.crashes), late, d.ran, lost)
	switch {
	case d.ran == 0:
		return fmt.Errorf("no other request was served")
	case (b.trouble || d.leaves) && len(d.crashes) < 3:
		return fmt.Errorf("the request has crashed only %d workers", len(d.crashes))
	case late > 3:
		return fmt.Errorf("%w: a request that had crashed three workers reached workers %d times more, later than contact_ms after that", errBroken, late)
	}
	return nil
}

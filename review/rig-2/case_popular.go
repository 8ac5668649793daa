package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// tally counts the requests of a tenant: all of them, and those that were sent in steady state.
type tally struct{ sent, served, steadySent, steadyServed atomic.Int64 }

func (t *tally) share() float64 { return float64(t.served.Load()) / float64(max(1, t.sent.Load())) }

func (t *tally) steadyShare() float64 {
	return float64(t.steadyServed.Load()) / float64(max(1, t.steadySent.Load()))
}

// casePopular: many clients of one tenant ask the same thing, on a route that a later version has added, and
// three of twelve workers crash at the same time.
func casePopular(b *bed) (string, error) {
	const clients = 100
	work := func(d time.Duration) func(w *worker, rw httpWriter, r *httpRequest, x *run) {
		return func(w *worker, rw httpWriter, r *httpRequest, x *run) {
			time.Sleep(d)
			answer(rw, "ok "+x.id)
		}
	}
	lookup, err := b.addWorkers("placement-api", 12, 16, work(200*time.Millisecond))
	if err != nil {
		return "", err
	}
	if _, err := b.addWorkers("office-api", 3, 64, work(20*time.Millisecond)); err != nil {
		return "", err
	}
	route := func(name, service string) map[string]any {
		return map[string]any{
			"name": name, "host": "office.example", "path_prefix": "/" + name + "/", "kind": "idempotent", "timeout_ms": 2000, "target_latency_ms": 400,
			"max_attempts": 2, "priority": 2, "public": false, "service": service,
		}
	}
	put := func(version int, routes ...map[string]any) {
		b.store.put("config", "main", config(version, routes, []map[string]any{
			{"name": "placement-api", "health_check": "/healthz", "max_connections": 110},
			{"name": "office-api", "health_check": "/healthz", "max_connections": 400},
		}, []map[string]any{{"name": "trainees", "api_keys": []string{"key-a"}}, {"name": "offices", "api_keys": []string{"key-b"}}}))
		b.note("the store acknowledges version %d with %d routes", version, len(routes))
	}
	put(3, route("office", "office-api"))
	if err := b.addRouters(3); err != nil {
		return "", err
	}
	if err := b.awaitReady(); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	put(5, route("office", "office-api"), route("lookup", "placement-api"))
	// Longer than contact_ms and config_apply_ms.
	time.Sleep(4 * time.Second)
	var trainees, offices tally
	// Steady state ends with the crash, and begins again longer than contact_ms after the workers are back.
	var steady atomic.Bool
	steady.Store(true)
	stop := make(chan struct{})
	var group sync.WaitGroup
	poll := func(n int, t *tally, key, path string, pause time.Duration) {
		defer group.Done()
		time.Sleep(time.Duration(n) * 5 * time.Millisecond)
		var c *channel
		for {
			select {
			case <-stop:
				return
			case <-time.After(pause):
			}
			if c == nil {
				var err error
				if c, err = dial(b.routers[n%len(b.routers)].front()); err != nil {
					c = nil
					continue
				}
			}
			isSteady := steady.Load()
			t.sent.Add(1)
			if isSteady {
				t.steadySent.Add(1)
			}
			id := fmt.Sprintf("p%d", b.nextNumber())
			x := c.do(request{id: id, method: "GET", host: "office.example", path: path, key: key, deadline: 2 * time.Second})
			b.note("client: %s of %s to %s: %s", id, key, b.routers[n%len(b.routers)].name, x)
			if x.status == 200 && x.signed && x.err == nil {
				t.served.Add(1)
				if isSteady {
					t.steadyServed.Add(1)
				}
			}
			if x.took < 200*time.Millisecond && key == "key-a" {
				time.Sleep(200*time.Millisecond - x.took)
			}
			if x.err != nil {
				_ = c.Close()
				c = nil
			}
		}
	}
	for n := range clients {
		group.Add(2)
		go poll(n, &trainees, "key-a", "/lookup/postings", 50*time.Millisecond)
		go poll(n, &offices, "key-b", fmt.Sprintf("/office/%d", n), 230*time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	b.note("before the crash: trainees %.3f of %d served, offices %.3f of %d", trainees.share(), trainees.sent.Load(), offices.share(), offices.sent.Load())
	if trainees.share() < 0.9 || offices.share() < 0.9 {
		return "", fmt.Errorf("the tenants are not served before the crash")
	}
	if trouble {
		steady.Store(false)
		for _, w := range lookup[:3] {
			w.crash()
			w.restartAfter(2 * time.Second)
		}
	}
	time.Sleep(8 * time.Second)
	steady.Store(true)
	for range 8 {
		time.Sleep(5 * time.Second)
		b.note("trainees: %d sent, %d served; offices: %d sent, %d served", trainees.sent.Load(), trainees.served.Load(), offices.sent.Load(), offices.served.Load())
	}
	close(stop)
	group.Wait()
	all := float64(trainees.served.Load()+offices.served.Load()) / float64(trainees.sent.Load()+offices.sent.Load())
	text := fmt.Sprintf("in steady state, %d of %d requests on the route that was added later are served, and %d of %d on the first one; over the whole day, tenant trainees %.3f, all %.3f",
		trainees.steadyServed.Load(), trainees.steadySent.Load(), offices.steadyServed.Load(), offices.steadySent.Load(), trainees.share(), all)
	b.note("%s", text)
	if trainees.steadySent.Load() >= 20 && trainees.steadyShare() < offices.steadyShare()/4 {
		return text, nil
	}
	return "", nil
}

func init() { cases["popular"] = casePopular }

package main

import (
	"fmt"
	"time"
)

// caseTenants: the operator takes the last key away. A request whose key no configuration ever held must
// not run, before and after that.
func caseTenants(b *bed) (string, error) {
	_, err := b.addWorkers("intake-desk", 3, 6, func(w *worker, rw httpWriter, r *httpRequest, x *run) {
		time.Sleep(20 * time.Millisecond)
		answer(rw, "ok "+x.id)
	})
	if err != nil {
		return "", err
	}
	routes := []map[string]any{{
		"name": "ticket-print", "host": "tickets.example", "path_prefix": "/print/", "kind": "non_idempotent", "timeout_ms": 1500, "target_latency_ms": 300,
		"max_attempts": 1, "priority": 2, "public": false, "service": "intake-desk",
	}}
	services := []map[string]any{{"name": "intake-desk", "health_check": "/healthz", "max_connections": 96}}
	put := func(version int, tenants ...map[string]any) {
		list := append([]map[string]any{}, tenants...)
		b.store.put("config", "main", config(version, routes, services, list))
		b.note("the store acknowledges version %d with %d tenants", version, len(list))
	}
	hauliers := map[string]any{"name": "hauliers", "api_keys": []string{"key-of-hauliers"}}
	clerks := map[string]any{"name": "clerks", "api_keys": []string{"key-of-clerks"}}
	put(3, hauliers, clerks)
	if err := b.addRouters(3); err != nil {
		return "", err
	}
	if err := b.awaitReady(); err != nil {
		return "", err
	}
	// Longer than contact_ms and config_apply_ms.
	const settle = 4 * time.Second
	time.Sleep(settle)
	// send sends three requests, one to each router, and returns how many have run.
	send := func(key string) (ran int) {
		for _, r := range b.routers {
			id := fmt.Sprintf("c%d", b.nextNumber())
			r.send(request{id: id, method: "POST", host: "tickets.example", path: "/print/7", key: key, body: "{}", deadline: 1500 * time.Millisecond})
			ran += len(b.runsOf(id))
		}
		return ran
	}
	if n, m, never := send("key-of-hauliers"), send("key-of-clerks"), send("never-held"); n != 3 || m != 3 || never != 0 {
		return "", fmt.Errorf("version 3 is not in force: %d, %d and %d of 3 requests have run", n, m, never)
	}
	put(5, clerks)
	time.Sleep(settle)
	if n, m, never := send("key-of-hauliers"), send("key-of-clerks"), send("never-held"); n != 0 || m != 3 || never != 0 {
		return "", fmt.Errorf("version 5 is not in force: %d, %d and %d of 3 requests have run", n, m, never)
	}
	if trouble {
		put(8)
	}
	time.Sleep(settle)
	never, dropped := 0, 0
	for range 4 {
		never += send("never-held")
		dropped += send("key-of-hauliers")
	}
	if never > 0 {
		return fmt.Sprintf("%d of 12 requests have run whose key no configuration ever held, and %d of 12 with a key that version 5 has dropped", never, dropped), nil
	}
	return "", nil
}

func init() { cases["tenants"] = caseTenants }

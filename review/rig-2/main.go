// Command rig-2 runs the scripted cases of the second review. It exits with 1 if the rule was broken, with
// 0 if it held, and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// trouble is false if the disruption is left out.
var trouble = os.Getenv("TROUBLE") != "0"

var cases = map[string]func(*bed) (broken string, err error){}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig-2 CASE")
		os.Exit(2)
	}
	time.AfterFunc(115*time.Second, func() {
		fmt.Println("the case took too long")
		os.Exit(2)
	})
	b, err := newBed()
	if err != nil {
		fmt.Println("the case could not run:", err)
		os.Exit(2)
	}
	broken, err := cases[os.Args[1]](b)
	status := 0
	switch {
	case err != nil:
		b.note("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		status = 2
	case broken != "":
		b.note("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		status = 1
	default:
		b.note("the rule held")
		fmt.Println("the rule held")
	}
	b.close()
	os.Exit(status)
}

// addWorkers starts workers of a service.
func (b *bed) addWorkers(service string, n, slots int, work func(w *worker, rw httpWriter, r *httpRequest, x *run)) ([]*worker, error) {
	zones := []string{"kariakoo", "mikocheni", "ubungo"}
	var out []*worker
	for i := range n {
		w := &worker{bed: b, service: service, zone: zones[i%len(zones)], slots: slots, work: work}
		if err := w.startLife(); err != nil {
			return nil, err
		}
		out = append(out, w)
	}
	return out, nil
}

// config returns a configuration.
func config(version int, routes []map[string]any, services []map[string]any, tenants any) map[string]any {
	c := map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 10000},
	}
	if tenants != nil {
		c["tenants"] = tenants
	}
	return c
}

package inspect_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	command "hornbeamstep.example/hornbeamctl/inspect"
	"hornbeamstep.example/hornbeamctl/output"
	"hornbeamstep.example/hornbeamd/inspect"
)

// The table must show why a server receives no requests, and that a router has never reached the
// object store.
func TestTable(t *testing.T) {
	c := qt.New(t)
	mux := http.NewServeMux()
	mux.HandleFunc(inspect.Path, inspect.Handler(func(context.Context) (inspect.Report, error) {
		return inspect.Report{
			Router: "edge-1", Uptime: 61_000, Config: inspect.Config{Version: 7, Age: 1500, Source: "edge-2"},
			Store:   inspect.Store{LastCallFailed: true, ContactAge: -1, FleetContactAge: 250},
			Routers: []inspect.Peer{{ID: "edge-2", HeartbeatAge: 120, Format: 22}},
			Servers: []inspect.BackendServer{{ID: "i-1", Service: "pool", State: "paused", OwnRequests: 3, FailureRate: 0.5, Limited: true, RateLimit: 4.75, Issuer: "edge-2"}},
			PromptParts: []inspect.PromptPart{
				{Name: "12ca", Quarantined: true, Crashes: []string{"b01bb6bc", "b4304483"}, Age: 2000}, {Name: "key 1f", Crashes: []string{"b01bb6bc"}, Age: 3000},
			},
			Unreached: []string{"placement"}, EvacuatedZones: []string{"kariakoo"}, Versions: []string{"pool v1.2"},
			Outcomes: map[string]int{"served": 12, "no_server": 1},
		}, nil
	}))
	server := httptest.NewServer(mux)
	defer server.Close()
	var out bytes.Buffer
	printer := &output.Printer{Format: output.Table, Out: &out}
	router := strings.TrimPrefix(server.URL, "http://")
	c.Assert((&command.Command{Router: router, Wait: time.Second}).Run(context.Background(), printer), qt.IsNil)
	for _, row := range []string{
		`edge-1 +- +1m1s +no +no +0 +7 +1.5s +0 +edge-2`, `lost +no +- +250ms +0 +0`, `edge-2 +- +no +120ms +0 +0 +22`,
		`i-1 +pool +- +- +paused +3 +0 +0 +0.50 +4.75/s +edge-2`, `12ca +quarantined +2s +b01bb6bc b4304483`, `key 1f +suspect +3s +b01bb6bc`, `placement`, `kariakoo`, `pool v1.2`, `no_server +1`, `served +12`,
	} {
		c.Assert(out.String(), qt.Matches, `(?s).*\n`+row+`\n.*`)
	}
	c.Assert((&command.Command{Router: "127.0.0.1:1", Wait: time.Second}).Run(context.Background(), printer), qt.ErrorMatches, ".*metrics address.*")
}

// Package inspect implements the command that shows the status report of one router.
package inspect

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"hornbeamstep.example/hornbeamctl/output"
	"hornbeamstep.example/hornbeamd/inspect"
)

// Command shows the status report of one router.
type Command struct {
	Router string        `arg:"" help:"Metrics address of the router, as ip:port." placeholder:"IP:PORT"`
	Wait   time.Duration `help:"Maximum time to wait for the report." default:"5s"`
}

// Run fetches and prints the report.
func (c *Command) Run(ctx context.Context, out *output.Printer) error {
	report, err := inspect.Client{Timeout: c.Wait}.Fetch(ctx, c.Router)
	if err != nil {
		return err
	}
	return out.Print(report, func(rows output.Rows) { writeTables(report, rows) })
}

// writeTables writes the tables of a report: router, store, peers, backend servers, prompt parts if
// there are any, and outcomes.
func writeTables(r inspect.Report, rows output.Rows) {
	rows.Row("ROUTER", "ZONE", "UPTIME", "READY", "DRAINING", "ACTIVE", "CONFIG", "AGE", "ROUTES", "FROM")
	rows.Row(r.Router, r.Zone, formatMillis(r.Uptime), r.Ready, r.Draining, r.ActiveRequests, r.Config.Version, formatMillis(r.Config.Age), r.Config.Routes, r.Config.Source)
	rows.BlankLine()
	rows.Row("STORE", "WATCHING", "CONTACT", "NEWEST", "SERVERS", "KEPT")
	storeState := "reached"
	if r.Store.LastCallFailed {
		storeState = "lost"
	}
	rows.Row(storeState, r.Store.Watching, formatMillis(r.Store.ContactAge), formatMillis(r.Store.FleetContactAge), r.Store.ServersRevision, r.Store.RetainedServers)
	rows.BlankLine()
	rows.Row("PEER", "ZONE", "READY", "HEARD", "CONFIG", "SERVERS", "FORMAT")
	for _, p := range r.Routers {
		rows.Row(p.ID, p.Zone, p.Ready, formatMillis(p.HeartbeatAge), p.ConfigVersion, p.ServersRevision, p.Format)
	}
	rows.BlankLine()
	rows.Row("SERVER", "SERVICE", "ZONE", "ADDRESS", "STATE", "OWN", "OTHERS", "SLOTS", "FAILING", "LIMIT", "ISSUER")
	for _, s := range r.Servers {
		limit, issuer := "-", "-"
		if s.Limited {
			limit, issuer = fmt.Sprintf("%.4g/s", s.RateLimit), s.Issuer
		}
		rows.Row(s.ID, s.Service, s.Zone, s.Address, s.State, s.OwnRequests, s.OtherRequests, s.Slots, fmt.Sprintf("%.2f", s.FailureRate), limit, issuer)
	}
	rows.BlankLine()
	if len(r.Unreached) > 0 {
		rows.Row("UNREACHED SERVICE")
		for _, service := range r.Unreached {
			rows.Row(service)
		}
		rows.BlankLine()
	}
	if len(r.EvacuatedZones) > 0 {
		rows.Row("EVACUATED ZONE")
		for _, zone := range r.EvacuatedZones {
			rows.Row(zone)
		}
		rows.BlankLine()
	}
	if len(r.Versions) > 0 {
		rows.Row("VERSION WITH STREAMS")
		for _, version := range r.Versions {
			rows.Row(version)
		}
		rows.BlankLine()
	}
	if len(r.PromptParts) > 0 {
		rows.Row("PROMPT PART", "STATE", "LATEST", "CRASHES")
		for _, p := range r.PromptParts {
			state := "suspect"
			if p.Quarantined {
				state = "quarantined"
			}
			rows.Row(p.Name, state, formatMillis(p.Age), strings.Join(p.Crashes, " "))
		}
		rows.BlankLine()
	}
	rows.Row("OUTCOME", "REQUESTS")
	for _, outcome := range slices.Sorted(maps.Keys(r.Outcomes)) {
		rows.Row(outcome, r.Outcomes[outcome])
	}
}

// formatMillis formats a number of milliseconds as a duration. It returns "" for a negative number,
// which in a report means that the event never happened.
func formatMillis(ms int64) string {
	if ms < 0 {
		return ""
	}
	return (time.Duration(ms) * time.Millisecond).String()
}

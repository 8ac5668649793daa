package soak

import (
	"context"
	"sync"
	"time"

	"hornbeamstep.example/platform/standin"
)

// A sound backend server may send no data for minSilence up to minSilence + silenceRange.
const (
	minSilence   = 600 * time.Millisecond
	silenceRange = 600 * time.Millisecond
)

// changedTimeouts are the timeouts in the configuration after an odd number of changes of them. The
// idle timeout is shorter than any silence, but longer than a caller waits between two requests.
var changedTimeouts = standin.Timeouts{Route: routeTimeout + 2*time.Second, Idle: 500 * time.Millisecond}

// Bits of the variant of a silence. Without any of them, one server falls silent.
const (
	// withSecondServer makes another server of the service fall silent too.
	withSecondServer = 1 << iota
	// withRejections makes another server of the service reject all requests, so that retries fail.
	withRejections
	// withTimeouts changes the timeouts in the configuration.
	withTimeouts
	// withReload sends SIGHUP to a router, and withStop SIGTERM to the next one.
	withReload
	withStop
)

// silenceServers makes sound servers fall silent for about a second and go on, beside what the
// variant selects. The recorded disruption affects no router and no server, because a silence is no
// reason for a request to fail.
func (tb *testbed) silenceServers(ctx context.Context, e event) error {
	defer tb.observations.beginDisruption(disruption{Kind: e.Kind, Planned: true})()
	servers := tb.chooseService(e.Target)
	silentCount := 1
	if e.Variant&withSecondServer != 0 {
		silentCount = 2
	}
	silentCount = min(silentCount, len(servers))
	for _, s := range servers[:silentCount] {
		// The error is ignored because the server may have exited.
		_ = s.process.send(instruction{Silence: e.Duration})
	}
	// A server that rejects requests from the start of the silence would get no retries.
	sleep(ctx, e.Duration/3)
	var others []event
	if e.Variant&withTimeouts != 0 {
		others = append(others, event{Kind: changeTimeouts})
	}
	if e.Variant&withReload != 0 {
		others = append(others, event{Kind: reloadSettings, Target: e.Target})
	}
	if e.Variant&withStop != 0 {
		others = append(others, event{Kind: stopRouter, Target: e.Target + 1})
	}
	var rejecting sync.WaitGroup
	defer rejecting.Wait()
	if e.Variant&withRejections != 0 && silentCount < len(servers) {
		rejecting.Go(func() {
			s := servers[silentCount]
			_ = s.process.send(instruction{Fault: standin.Shed})
			sleep(ctx, e.Duration-e.Duration/3)
			_ = s.process.send(instruction{Fault: standin.NoFault})
		})
	}
	return tb.injectAll(ctx, others)
}

// chooseService returns the server that chooseServer chooses, followed by the other servers of its
// service that are not draining.
func (tb *testbed) chooseService(target int) []*server {
	first := tb.chooseServer(target)
	if first == nil {
		return nil
	}
	chosen := []*server{first}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, s := range tb.servers {
		if s != first && s.service == first.service && !s.removing {
			chosen = append(chosen, s)
		}
	}
	return chosen
}

// toggleTimeouts changes the timeouts of the next configuration to changedTimeouts, or back to the
// default.
func (tb *testbed) toggleTimeouts() {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if tb.timeouts == changedTimeouts {
		tb.timeouts = standin.Timeouts{}
	} else {
		tb.timeouts = changedTimeouts
	}
}

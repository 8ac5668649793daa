package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// A brittle backend server has brittleSlots slots, as its entry says, from brittleContactTime on, and
	// fails if it rejects more than maxBrittleRejections requests in a second. It is brittle for
	// minBrittleTime up to minBrittleTime + brittleTimeRange.
	brittleSlots         = 8
	maxBrittleRejections = 4
	brittleContactTime   = 3 * time.Second
	minBrittleTime       = 8 * time.Second
	brittleTimeRange     = 3 * time.Second
	// brittleDownTime is how long a server counts as down after it has failed.
	brittleDownTime = 2 * time.Second
	// brittleCallers is the number of further callers while servers are brittle. Their requests don't fit
	// into the slots.
	brittleCallers = 60
)

// brittlePeriod is a period in which the backend servers of a service were brittle.
type brittlePeriod struct {
	Servers  []string
	From, To time.Time
}

// makeBrittle makes all servers of a service brittle for some time. This is no reason for a request to
// fail other than by a rejection.
func (tb *testbed) makeBrittle(ctx context.Context, e event) error {
	defer tb.observations.beginDisruption(disruption{Kind: e.Kind, Planned: true})()
	period := brittlePeriod{From: time.Now()}
	servers := tb.chooseService(e.Target)
	for _, s := range servers {
		period.Servers = append(period.Servers, s.id)
		// The error is ignored because the server may have exited.
		_ = s.process.send(instruction{ChangesBrittle: true, BrittleSlots: brittleSlots})
	}
	crowd, end := context.WithTimeout(ctx, e.Duration)
	defer end()
	var callers sync.WaitGroup
	for i := range brittleCallers {
		caller := &caller{testbed: tb, random: rand.New(rand.NewPCG(uint64(e.Target), uint64(i))), name: fmt.Sprintf("crowd%d", i)}
		callers.Go(func() { caller.run(crowd) })
	}
	callers.Wait()
	period.To = time.Now()
	for _, s := range servers {
		_ = s.process.send(instruction{ChangesBrittle: true})
	}
	tb.observations.mu.Lock()
	defer tb.observations.mu.Unlock()
	tb.observations.brittle = append(tb.observations.brittle, period)
	return nil
}

func (o *observations) addTurnedAway(r rejection) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.turnedAway = append(o.turnedAway, r)
}

// checkBrittleServers checks that of n brittle servers, no more than 2 + n/10 fail. A failure counts if most
// of what was rejected came from routers that were not disrupted or restarted.
func (o *observations) checkBrittleServers() []violation {
	var found []violation
	sent := o.requestsByAttempt()
	for _, p := range o.brittle {
		failures := 0
		for _, server := range p.Servers {
			var recent []rejection
			downUntil := time.Time{}
			for _, r := range o.turnedAway {
				if r.Server != server || r.At.Before(p.From) || r.At.After(p.To) || r.At.Before(downUntil) {
					continue
				}
				for len(recent) > 0 && r.At.Sub(recent[0].At) >= time.Second {
					recent = recent[1:]
				}
				if recent = append(recent, r); len(recent) <= maxBrittleRejections {
					continue
				}
				inTouch := 0
				for _, r := range recent {
					if !o.routerForgot(sent[r.Attempt].Router, r.At.Add(-brittleContactTime), r.At) {
						inTouch++
					}
				}
				if 2*inTouch > len(recent) {
					failures++
				}
				recent, downUntil = nil, r.At.Add(brittleDownTime)
			}
		}
		if allowed := 2 + len(p.Servers)/10; failures > allowed {
			found = append(found, violation{
				"brittle servers do not fail under rejections", fmt.Sprintf("%v failed %d times in %v, allowed %d", p.Servers, failures, p.To.Sub(p.From), allowed),
			})
		}
	}
	return found
}

package soak

import (
	"context"
	"fmt"
	"slices"
	"time"

	"hornbeamstep.example/platform/standin"
)

const (
	// evacuatedZone is the availability zone of every second backend server, which is evacuated for
	// minEvacuation up to minEvacuation + evacuationRange.
	evacuatedZone   = "z2"
	minEvacuation   = 7 * time.Second
	evacuationRange = 2 * time.Second
	// maxEvacuateDelay is the time from the acknowledgement of an evacuation until no router sends
	// requests to the zone. The settings in package platform/standin have the same value.
	maxEvacuateDelay = 5 * time.Second
	// coldRate is the number of requests per second that a cold server of the service "plain"
	// withstands, according to the configuration, and coldTime how long it is cold after a restart.
	coldRate = 6
	coldTime = 3 * time.Second
	// maxColdArrivals is the number of requests that may reach a cold server within a second.
	maxColdArrivals = coldRate*3/2 + 5
)

// zoneOf returns the availability zone of a new backend server.
func zoneOf(serverCount int) string {
	if serverCount%2 == 0 {
		return evacuatedZone
	}
	return "z1"
}

// evacuation is a period in which operators want no new requests in a zone. To is zero before its
// end.
type evacuation struct{ Acked, To time.Time }

// coldPeriod is a period in which a backend server is cold.
type coldPeriod struct {
	Server   string
	From, To time.Time
}

// evacuateZone evacuates a zone for some time. This is no reason for a request to fail other than by
// a rejection.
func (tb *testbed) evacuateZone(ctx context.Context, e event) error {
	defer tb.observations.beginDisruption(disruption{Kind: e.Kind, Planned: true})()
	tb.mu.Lock()
	acked, err := tb.instructStore(instruction{Put: "evacuations/" + evacuatedZone, Spec: "{}"})
	tb.mu.Unlock()
	if err != nil {
		return err
	}
	sleep(ctx, e.Duration)
	ended := time.Now()
	err = tb.instruct(instruction{Delete: "evacuations/" + evacuatedZone})
	tb.observations.mu.Lock()
	defer tb.observations.mu.Unlock()
	tb.observations.evacuations = append(tb.observations.evacuations, evacuation{acked, ended})
	return err
}

// returnCold kills a server of the service "plain" and starts it again. Its entry says that it is
// cold only some time later.
func (tb *testbed) returnCold(ctx context.Context, e event) error {
	s := tb.chooseServer(e.Target)
	if s == nil || s.service != "plain" {
		return nil
	}
	defer tb.observations.beginDisruption(disruption{Kind: killServer, Server: s.id})()
	s.kill()
	s.proxy.refuse()
	sleep(ctx, restartDelay+e.Duration)
	tb.mu.Lock()
	if s.removing {
		tb.mu.Unlock()
		return nil
	}
	err := tb.startServer(s)
	if err == nil {
		err = s.proxy.accept()
	}
	from := time.Now()
	tb.mu.Unlock()
	if err != nil {
		return err
	}
	sleep(ctx, time.Second)
	put := func(cold time.Duration) error {
		tb.mu.Lock()
		defer tb.mu.Unlock()
		if s.removing {
			return nil
		}
		_, err := tb.instructStore(instruction{Put: "servers/" + s.id, Spec: standin.WithCold(s.entry("ready"), cold)})
		return err
	}
	if err := put(coldTime); err != nil {
		return err
	}
	sleep(ctx, coldTime-time.Second)
	tb.observations.mu.Lock()
	tb.observations.coldPeriods = append(tb.observations.coldPeriods, coldPeriod{s.id, from, time.Now()})
	tb.observations.mu.Unlock()
	return put(0)
}

// checkEvacuations checks that no request begins to run in an evacuated zone, apart from those of
// routers that were disrupted or out of contact with the store.
func (o *observations) checkEvacuations() []violation {
	var found []violation
	sent := o.requestsByAttempt()
	for _, e := range o.evacuations {
		for _, runs := range o.runs {
			for _, r := range runs {
				if r.Zone != evacuatedZone || !r.At.After(e.Acked.Add(maxEvacuateDelay)) || !r.At.Before(e.To) {
					continue
				}
				since := e.Acked.Add(-maxSettleTime)
				if o.serverDisrupted(r.Server, r.At.Add(-maxSettleTime), r.At) || o.storeDisrupted(since, r.At) || o.routerDisrupted(sent[r.Attempt].Router, since, r.At) {
					continue
				}
				found = append(found, violation{"evacuated zones get no new requests", fmt.Sprintf("%s ran at %s %v after the evacuation", r.Attempt, r.Server, r.At.Sub(e.Acked))})
			}
		}
	}
	return found
}

// checkColdServers checks that a cold server gets no more requests from all routers together, in
// contact with each other or not, than it withstands.
func (o *observations) checkColdServers() []violation {
	var found []violation
	for _, cold := range o.coldPeriods {
		var arrivals []time.Time
		for _, runs := range o.runs {
			for _, r := range runs {
				if r.Server == cold.Server && r.At.After(cold.From) && r.At.Before(cold.To) {
					arrivals = append(arrivals, r.At)
				}
			}
		}
		slices.SortFunc(arrivals, time.Time.Compare)
		for i := range len(arrivals) - maxColdArrivals {
			if arrivals[i+maxColdArrivals].Sub(arrivals[i]) < time.Second {
				found = append(found, violation{"cold servers get no more requests than they withstand", fmt.Sprintf("more than %d ran at %s within a second, %v after its start", maxColdArrivals, cold.Server, arrivals[i].Sub(cold.From))})
				break
			}
		}
	}
	return found
}

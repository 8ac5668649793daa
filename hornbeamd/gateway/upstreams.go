package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"hornbeamstep.example/routing/balance"
	"hornbeamstep.example/routing/retry"
	"hornbeamstep.example/routing/roster"
)

// RetryLimits bound the retries of all routers together.
type RetryLimits struct {
	// Share of the requests, and Extra beyond it, within Window.
	Share, Extra float64
	Window       time.Duration
}

// Upstreams shares one balancer, and the retry budget of each service, among requests.
type Upstreams struct {
	Balancer *balance.Balancer
	Limits   RetryLimits

	mu    sync.Mutex
	fleet int
	// revision is that of the backend servers, and reported is when the other routers' reports were taken.
	revision int64
	reported time.Time
	budgets  map[string]*retry.Window
	// streams holds the servers with streams in progress.
	streams map[string]*streams
}

// budgetMargin is the part of the retry limits that this router's share uses, since routers count windows on their own.
const budgetMargin = 0.75

// connectionMargin is the part of a server's connections that the routers' shares use together.
const connectionMargin = 0.9

// leastConnections is the smallest share of a server's connections.
const leastConnections = 4

// SetServers takes the known backend servers with the revision that they are from.
func (u *Upstreams) SetServers(servers []roster.Server, revision int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.revision = revision
	u.Balancer.SetServers(time.Now(), servers)
}

// SetOthers takes what the other routers report: requests in progress by server, the servers that several could not reach, and
// the number of routers in the fleet. Interval is the time between two reports.
func (u *Upstreams) SetOthers(now time.Time, load, down map[string]int, fleet int, interval time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.fleet, u.reported = fleet, now
	// A report is sent and taken once in each interval.
	u.Balancer.SetOthers(load, fleet, 3*interval/2)
	u.Balancer.Report(now.Add(interval), down)
}

// Own returns this router's requests in progress by server and the servers that it could not reach.
func (u *Upstreams) Own(now time.Time) (map[string]int, []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.Balancer.Own(), u.Balancer.Paused(now)
}

// States returns the servers with what is known of them.
func (u *Upstreams) States(now time.Time) []balance.State {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.Balancer.States(now)
}

// Draw returns a random number in [0,1).
func (u *Upstreams) Draw() float64 { return rand.Float64() }

// Connections returns this router's share of the connections to one backend server.
func (u *Upstreams) Connections(all int) int {
	if all <= 0 {
		return 0
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return max(leastConnections, int(connectionMargin*float64(all))/max(1, u.fleet))
}

// first counts a request to a service.
func (u *Upstreams) first(now time.Time, service string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.budget(service).Request(now)
}

// again is true if the retry budget of a service allows one more arrival.
func (u *Upstreams) again(now time.Time, service string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.budget(service).Retry(now)
}

func (u *Upstreams) budget(service string) *retry.Window {
	if u.budgets == nil {
		u.budgets = map[string]*retry.Window{}
	}
	b := u.budgets[service]
	if b == nil {
		b = &retry.Window{Length: u.Limits.Window}
		u.budgets[service] = b
	}
	b.Share, b.Extra = budgetMargin*u.Limits.Share, budgetMargin*u.Limits.Extra/float64(max(1, u.fleet))
	return b
}

// decision is the choice of a server with the version and the age of what decided it.
type decision struct {
	balance.Choice
	// revision is that of the backend servers, and age that of the other routers' reports.
	revision int64
	age      time.Duration
}

// take chooses a server and counts the request there.
func (u *Upstreams) take(now time.Time, a balance.Ask) decision {
	u.mu.Lock()
	defer u.mu.Unlock()
	d := decision{Choice: u.Balancer.Choose(now, a), revision: u.revision}
	if !u.reported.IsZero() {
		d.age = now.Sub(u.reported)
	}
	if d.Server.ID != "" {
		u.Balancer.Start(now, d.Server.ID)
	}
	return d
}

// began takes the time until the answer to a request began.
func (u *Upstreams) began(a balance.Ask, took time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.Balancer.Began(time.Now(), a, took)
}

// finish counts the end of a request.
func (u *Upstreams) finish(now time.Time, id string, ending balance.Ending, took time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.Balancer.Finish(now, id, ending, took)
}

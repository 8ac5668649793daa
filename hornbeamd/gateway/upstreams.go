package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"hornbeamstep.example/routing/balance"
	"hornbeamstep.example/routing/retry"
	"hornbeamstep.example/routing/roster"
)

// RetryLimits limits the retries of all routers together.
type RetryLimits struct {
	// Within each Window, the routers may send Share retries per request plus Extra retries.
	Share, Extra float64
	Window       time.Duration
}

// Upstreams holds the state that all requests of this router share: the load balancer, and a retry
// budget for each service.
type Upstreams struct {
	Balancer *balance.Balancer
	Limits   RetryLimits

	// mu guards Balancer and the fields below.
	mu sync.Mutex
	// routers is the number of routers in the fleet, including this one.
	routers int
	// serversRevision is the revision of the list of backend servers. reportsReceived is when the
	// reports of the other routers were last updated.
	serversRevision int64
	reportsReceived time.Time
	retryBudgets    map[string]*retry.WindowBudget
	// streams holds the streams in progress that have received an event, by server ID.
	streams map[string]*serverStreams
}

// retryBudgetFactor is the fraction of the retry limits that the routers use. It is less than 1
// because each router counts its window independently.
const retryBudgetFactor = 0.75

// connectionShareFactor is the fraction of a server's connection limit that the routers use
// together.
const connectionShareFactor = 0.9

// minConnections is the smallest connection limit of one router for one server.
const minConnections = 4

// SetServers replaces the list of backend servers. The revision is that of the new list.
func (u *Upstreams) SetServers(servers []roster.Server, revision int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.serversRevision = revision
	u.Balancer.SetServers(time.Now(), servers)
}

// SetPeerReports updates the data from the reports of the other routers: load holds their requests
// in progress by server, down holds the number of them that could not reach each server, routers is
// the number of routers in the fleet, and interval is the time between two reports.
func (u *Upstreams) SetPeerReports(now time.Time, load, down map[string]int, routers int, interval time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.routers, u.reportsReceived = routers, now
	// Reports are sent once and read once per interval, so their age is taken as 1.5 intervals.
	u.Balancer.SetOtherLoads(load, routers, 3*interval/2)
	u.Balancer.ReportUnreachable(now.Add(interval), down)
}

// LocalReport returns this router's requests in progress by server, and the servers that it could
// not reach.
func (u *Upstreams) LocalReport(now time.Time) (map[string]int, []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.Balancer.OwnLoads(), u.Balancer.Paused(now)
}

// States returns the state of each server as this router sees it.
func (u *Upstreams) States(now time.Time) []balance.State {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.Balancer.States(now)
}

// RandomFraction returns a random number in [0,1).
func (u *Upstreams) RandomFraction() float64 { return rand.Float64() }

// ConnectionShare returns this router's share of a backend server's connection limit; 0 means no
// limit.
func (u *Upstreams) ConnectionShare(limit int) int {
	if limit <= 0 {
		return 0
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return max(minConnections, int(connectionShareFactor*float64(limit))/max(1, u.routers))
}

// countRequest counts a first attempt at a service, which adds to the service's retry budget.
func (u *Upstreams) countRequest(now time.Time, service string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.retryBudget(service).CountRequest(now)
}

// takeRetry returns true and counts the retry if the retry budget of a service allows it.
func (u *Upstreams) takeRetry(now time.Time, service string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.retryBudget(service).AllowRetry(now)
}

// retryBudget returns this router's retry budget for a service, adjusted to the present number of
// routers.
func (u *Upstreams) retryBudget(service string) *retry.WindowBudget {
	if u.retryBudgets == nil {
		u.retryBudgets = map[string]*retry.WindowBudget{}
	}
	budget := u.retryBudgets[service]
	if budget == nil {
		budget = &retry.WindowBudget{Length: u.Limits.Window}
		u.retryBudgets[service] = budget
	}
	budget.Share, budget.Extra = retryBudgetFactor*u.Limits.Share, retryBudgetFactor*u.Limits.Extra/float64(max(1, u.routers))
	return budget
}

// serverChoice is the choice of a server, with the revision and the age of the data that it is
// based on.
type serverChoice struct {
	balance.Choice
	// serversRevision is the revision of the list of backend servers, and reportsAge is the age of
	// the other routers' reports.
	serversRevision int64
	reportsAge      time.Duration
}

// chooseServer chooses a server and counts the request as in progress there.
func (u *Upstreams) chooseServer(now time.Time, query balance.Request) serverChoice {
	u.mu.Lock()
	defer u.mu.Unlock()
	choice := serverChoice{Choice: u.Balancer.Choose(now, query), serversRevision: u.serversRevision}
	if !u.reportsReceived.IsZero() {
		choice.reportsAge = now.Sub(u.reportsReceived)
	}
	if choice.Server.ID != "" {
		u.Balancer.Start(now, choice.Server.ID)
	}
	return choice
}

// recordResponseStart records the time from sending a request to the start of its response.
func (u *Upstreams) recordResponseStart(query balance.Request, took time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.Balancer.ResponseStarted(time.Now(), query, took)
}

// recordEnd records the end of a request at a server.
func (u *Upstreams) recordEnd(now time.Time, id string, outcome balance.Outcome, took time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.Balancer.Finish(now, id, outcome, took)
}

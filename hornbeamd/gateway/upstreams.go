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
	serversRevision roster.Revision
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
func (u *Upstreams) SetServers(servers []roster.Server, revision roster.Revision) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.serversRevision = revision
	u.Balancer.SetServers(time.Now(), servers)
}

// PeerReports holds the reports of the other routers.
type PeerReports struct {
	// Load holds their requests in progress, and Down the number of them that could not reach a
	// server, both by server ID.
	Load, Down map[string]int
	// Leaving holds the servers that told one of them that they are leaving; see
	// balance.Balancer.LeavingNotices.
	Leaving []string
}

// SetPeerReports updates the data from the reports of the other routers. routers is the number of
// routers in the fleet, and interval is the time between two reports. It returns the IDs of the
// servers that this router did not know to be leaving.
func (u *Upstreams) SetPeerReports(now time.Time, r PeerReports, routers int, interval time.Duration) (leaving []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.routers, u.reportsReceived = routers, now
	// Reports are sent once and read once per interval, so their age is taken as 1.5 intervals.
	u.Balancer.SetOtherLoads(now, r.Load, routers, 3*interval/2)
	u.Balancer.ReportUnreachable(now.Add(interval), r.Down)
	return u.Balancer.MarkLeaving(r.Leaving)
}

// ReportsAge returns the time since the latest call of SetPeerReports; 0 before the first.
func (u *Upstreams) ReportsAge(now time.Time) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.reportsAge(now)
}

func (u *Upstreams) reportsAge(now time.Time) time.Duration {
	if u.reportsReceived.IsZero() {
		return 0
	}
	return now.Sub(u.reportsReceived)
}

// UpdatePeerLoads updates the other routers' requests in progress by server ID, between two calls
// of SetPeerReports.
func (u *Upstreams) UpdatePeerLoads(load map[string]int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.Balancer.UpdateOtherLoads(load)
}

// LocalReport is what this router tells the others about backend servers.
type LocalReport struct {
	// Load holds the requests in progress by server ID.
	Load map[string]int
	// Down holds the IDs of the servers that could not be reached.
	Down []string
	// Leaving holds the servers that told this router that they are leaving; see
	// balance.Balancer.LeavingNotices.
	Leaving []string
}

// LocalReport returns what this router tells the others about backend servers.
func (u *Upstreams) LocalReport(now time.Time) LocalReport {
	u.mu.Lock()
	defer u.mu.Unlock()
	return LocalReport{Load: u.Balancer.OwnLoads(), Down: u.Balancer.Paused(now), Leaving: u.Balancer.LeavingNotices(now)}
}

// ResumeServers ends the pauses of the servers of a service.
func (u *Upstreams) ResumeServers(service string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.Balancer.EndPauses(service)
}

// recordNotice applies what a server states of itself in a response, and reports whether it is new.
func (u *Upstreams) recordNotice(now time.Time, s roster.Server, n balance.Notice) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.Balancer.RecordNotice(now, s.ID, s.Born, n)
}

// isPaused reports whether the latest requests to a server got no response.
func (u *Upstreams) isPaused(now time.Time, id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.Balancer.IsPaused(now, id)
}

// isInService reports whether a process of a server is listed and not leaving.
func (u *Upstreams) isInService(id string, born int64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.Balancer.IsInService(id, born)
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

// mayRetry reports whether the retry budget of a service allows a retry.
func (u *Upstreams) mayRetry(now time.Time, service string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.retryBudget(service).HasRoom(now)
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
	serversRevision roster.Revision
	reportsAge      time.Duration
}

// chooseServer chooses a server and counts the request as in progress there, unless it needs a permit
// first; see start.
func (u *Upstreams) chooseServer(now time.Time, query balance.Request) serverChoice {
	u.mu.Lock()
	defer u.mu.Unlock()
	choice := serverChoice{Choice: u.Balancer.Choose(now, query), serversRevision: u.serversRevision, reportsAge: u.reportsAge(now)}
	if choice.Server.ID != "" && !choice.IsLimited {
		u.Balancer.Start(now, choice.Server.ID)
	}
	return choice
}

// start counts a request as in progress at a server.
func (u *Upstreams) start(now time.Time, id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.Balancer.Start(now, id)
}

// Loads returns the requests in progress from all routers by server ID.
func (u *Upstreams) Loads() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.Balancer.Loads()
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

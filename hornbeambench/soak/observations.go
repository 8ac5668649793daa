package soak

import (
	"slices"
	"sync"
	"time"

	"hornbeamstep.example/platform/standin"
)

// observations records what callers and backend servers observe during a run of the soak, and the
// changes and disruptions that occur during it.
type observations struct {
	mu       sync.Mutex
	requests []request
	// runs holds the runs that backend servers have reported, by attempt.
	runs map[string][]run
	// versions holds the versions of the configuration in the order in which they were written to
	// the store.
	versions []version
	// drains holds the removals of backend servers that the soak has started.
	drains []drain
	// disruptions holds all injected faults, planned work and stalls of the machine.
	disruptions []disruption
	// limitations holds the periods in which backend servers stated a rate limit.
	limitations []limitation
	evacuations []evacuation
	// serving holds the periods in which backend servers were registered as ready.
	serving     []servingPeriod
	coldPeriods []coldPeriod
	// rejections holds the requests that backend servers rejected with a retry delay.
	rejections []rejection
	// turnedAway holds the requests that brittle backend servers rejected, and brittle the periods in which
	// servers were brittle.
	turnedAway []rejection
	brittle    []brittlePeriod
	// exits holds the IDs of the routers that exited unexpectedly.
	exits []string
	// eventsEnd is the time at which the last injected event ended.
	eventsEnd time.Time
}

// request is a request that a caller sent. Callers never retry a request.
type request struct {
	// Attempt is the unique ID of the request, and Key the API key.
	Attempt, Path, Key, Body string
	// Router is the ID of the router that received the request.
	Router      string
	Sent, Ended time.Time
	// Status is 0 if no response headers were received. Incomplete is true if the response was not
	// received completely.
	Status     int
	Incomplete bool
	// ResponseBody is the received part of the response body. Signature is the signature in the
	// response header, by which the backend server identifies itself and the attempt.
	ResponseBody, Signature string
	// Resumes is the attempt that brought the first event of the stream that the request resumes,
	// and LastEvent the number of the last event received of it; empty and 0 for other requests.
	Resumes   string
	LastEvent int
	// Canceled is true if the caller closed the connection before the end of the response.
	Canceled bool
	// Leaving is true if the response states that its backend server is leaving.
	Leaving bool
}

// rejection is a request that a backend server rejected, asking its router to send none for
// rejectionTime.
type rejection struct {
	Attempt, Server string
	// Arrived is when the request arrived, and At when it was rejected.
	Arrived, At time.Time
	// Abandoned is true if the router, or the caller behind it, gave the request up before the server
	// responded, as a server that is silent meanwhile does late. The router has not been told then.
	Abandoned bool
}

// run is one run of a request on a backend server.
type run struct {
	standin.Run
	Server, Service string
	// Zone is the availability zone of the server.
	Zone string
	// Version is the software version of the server.
	Version string
	// Ended is zero if the server did not report the end of the run. Complete is true if the server
	// sent the whole response.
	Ended    time.Time
	Complete bool
}

// version is a version of the configuration. Keys holds its API keys, and RouteTimeout is the
// timeout of the routes that callers request. Sent is the time before it
// was sent to the store, and Acked the time at which the store applied it.
type version struct {
	Number      int
	Keys        []string
	Sent, Acked time.Time

	RouteTimeout time.Duration
}

// drain is the start of the removal of a backend server. Acked is the time at which the store
// marked the server as draining or deleted its entry.
type drain struct {
	Server string
	Acked  time.Time
}

// disruption is a period in which an injected fault, planned work or a stall of the machine affects
// routers, backend servers or the store.
type disruption struct {
	Kind eventKind
	// Router and Server are the IDs of the affected router and server. Each is empty if none is
	// affected, and all if every one is. Store is true if the store is affected.
	Router, Server string
	Store          bool
	// Planned is true for planned work on a router, which must not cause any request to fail.
	Planned bool
	// To is zero while the disruption continues.
	From, To time.Time
}

// all stands for every router or every server in a disruption.
const all = "all"

func (o *observations) addRequest(r request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.requests = append(o.requests, r)
}

func (o *observations) addRun(r run) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.runs[r.Attempt] = append(o.runs[r.Attempt], r)
}

func (o *observations) addRejection(r rejection) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.rejections = append(o.rejections, r)
}

// endRun records the end of a run, which is identified by its attempt, server and start time.
func (o *observations) endRun(server string, r standin.Run, at time.Time, complete bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := range o.runs[r.Attempt] {
		if started := &o.runs[r.Attempt][i]; started.Server == server && started.At.Equal(r.At) {
			started.Ended, started.Complete, started.Events = at, complete, r.Events
		}
	}
}

func (o *observations) addExit(router string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.exits = append(o.exits, router)
}

// beginDisruption records the start of a disruption and returns a function that records its end.
func (o *observations) beginDisruption(d disruption) (end func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	d.From = time.Now()
	o.disruptions = append(o.disruptions, d)
	i := len(o.disruptions) - 1
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.disruptions[i].To = time.Now()
	}
}

// routerDisrupted reports whether an unplanned disruption of a router, or of its connections to
// callers or the store, overlaps a period. The caller must hold o.mu.
func (o *observations) routerDisrupted(router string, from, to time.Time) bool {
	return o.disrupted(from, to, func(d disruption) bool { return !d.Planned && (d.Router == router || d.Router == all) })
}

// storeDisrupted reports whether a disruption of the store overlaps a period. The caller must hold
// o.mu.
func (o *observations) storeDisrupted(from, to time.Time) bool {
	return o.disrupted(from, to, func(d disruption) bool { return d.Store })
}

// serverDisrupted reports whether a disruption of a backend server, or of the connections to it,
// overlaps a period. The caller must hold o.mu.
func (o *observations) serverDisrupted(server string, from, to time.Time) bool {
	return o.disrupted(from, to, func(d disruption) bool { return d.Server == server || d.Server == all })
}

// serverBroken reports whether a disruption in which a backend server or its connections may have
// lost data overlaps a period. The caller must hold o.mu.
func (o *observations) serverBroken(server string, from, to time.Time) bool {
	return o.disrupted(from, to, func(d disruption) bool {
		return (d.Server == server || d.Server == all) && d.Kind != pauseServer && d.Kind != delayServer
	})
}

// disrupted reports whether a disruption that matches overlaps a period. One that has not ended
// overlaps every later period.
func (o *observations) disrupted(from, to time.Time, matches func(disruption) bool) bool {
	return slices.ContainsFunc(o.disruptions, func(d disruption) bool {
		return matches(d) && d.From.Before(to) && (d.To.IsZero() || d.To.After(from))
	})
}

package soak

import (
	"slices"
	"sync"
	"time"

	"hornbeamstep.example/platform/standin"
)

// evidence is what callers, backend servers and the operator have seen.
type evidence struct {
	mu       sync.Mutex
	requests []request
	// runs holds those that servers reported, by attempt.
	runs map[string][]run
	// versions and departures are what the operator wrote, in their order.
	versions   []version
	departures []departure
	// troubles holds everything that was done to the system and to what it depends on.
	troubles []trouble
	// exits holds the routers that ended by themselves.
	exits []string
	// calm is when the last trouble ended.
	calm time.Time
}

// request is one attempt of a caller.
type request struct {
	Attempt, Path, Key, Body string
	// Router is the ID of the router that got it.
	Router      string
	Sent, Ended time.Time
	// Status is 0 if no head of an answer arrived. Broken is true if the answer was not complete.
	Status int
	Broken bool
	// Answer and Signature are what arrived.
	Answer, Signature string
	// Left is true if the caller closed the connection before the answer.
	Left bool
}

// run is one run of a request on a backend server.
type run struct {
	standin.Run
	Server, Service string
	// Ended is zero if the server did not say.
	Ended time.Time
	Whole bool
}

// version is a configuration with the keys that it holds.
type version struct {
	Number      int
	Keys        []string
	Sent, Acked time.Time
}

// departure is a server whose leaving the store acknowledged.
type departure struct {
	Server string
	Acked  time.Time
}

// trouble affects a router, a server or the store over a time.
type trouble struct {
	Kind kind
	// Router and Server are empty if none of them is affected; all stands for each.
	Router, Server string
	Store          bool
	// Planned trouble must not cost a request.
	Planned  bool
	From, To time.Time
}

// all stands for each router or server.
const all = "all"

func (e *evidence) addRequest(r request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requests = append(e.requests, r)
}

func (e *evidence) began(r run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[r.Attempt] = append(e.runs[r.Attempt], r)
}

func (e *evidence) ended(server string, r standin.Run, at time.Time, whole bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range e.runs[r.Attempt] {
		if old := &e.runs[r.Attempt][i]; old.Server == server && old.At.Equal(r.At) {
			old.Ended, old.Whole = at, whole
		}
	}
}

func (e *evidence) exit(router string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.exits = append(e.exits, router)
}

// suffer notes a trouble that begins, and returns a function that notes its end.
func (e *evidence) suffer(t trouble) (end func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	t.From = time.Now()
	e.troubles = append(e.troubles, t)
	i := len(e.troubles) - 1
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.troubles[i].To = time.Now()
	}
}

// disturbed is true if an unplanned trouble of a router or of the paths to it overlaps a time.
func (e *evidence) disturbed(router string, from, to time.Time) bool {
	return e.troubled(from, to, func(t trouble) bool { return !t.Planned && (t.Router == router || t.Router == all) })
}

// unstable is true if the store was in trouble.
func (e *evidence) unstable(from, to time.Time) bool {
	return e.troubled(from, to, func(t trouble) bool { return t.Store })
}

// harmed is true if a server or the paths to it were in trouble.
func (e *evidence) harmed(server string, from, to time.Time) bool {
	return e.troubled(from, to, func(t trouble) bool { return t.Server == server || t.Server == all })
}

func (e *evidence) troubled(from, to time.Time, wanted func(trouble) bool) bool {
	return slices.ContainsFunc(e.troubles, func(t trouble) bool {
		return wanted(t) && t.From.Before(to) && (t.To.IsZero() || t.To.After(from))
	})
}

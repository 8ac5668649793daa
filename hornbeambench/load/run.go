package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"hornbeamstep.example/routing/outcome"
)

// Ending is the final state of a request, as seen by its caller.
type Ending string

const (
	// Answered means that the complete expected response was received.
	Answered Ending = "answered"
	// Refused means that the last response was an error object.
	Refused Ending = "refused"
	// Wrong means that a response looked complete but was not the expected one.
	Wrong Ending = "wrong"
	// Unanswered means that the last attempt returned neither a complete response nor an error
	// object.
	Unanswered Ending = "unanswered"
)

// Record is the result of a request, as seen by its caller. Records are written as JSON lines.
type Record struct {
	ID     string `json:"id"`
	Caller string `json:"caller"`
	Chat   string `json:"chat,omitempty"`
	// IdempotencyKey is the idempotency key of a call to a plain HTTP service.
	IdempotencyKey string `json:"key,omitempty"`
	Ending         Ending `json:"ending"`
	// Code and Outcome are those of the error object in the last response, if there was one.
	Code    outcome.Code    `json:"code,omitempty"`
	Outcome outcome.Outcome `json:"outcome,omitempty"`
	// MayHaveRun is true if the request may have run in an attempt that failed: bytes were sent, and
	// the router did not return an error object with the outcome "not run". A response that differs
	// from the expected one does not set it.
	MayHaveRun bool `json:"maybe,omitempty"`
	Attempts   int  `json:"attempts"`
	// Router is the router of the last attempt. Message describes the failure of the last attempt;
	// it is empty if the ending is Answered.
	Router  string `json:"router,omitempty"`
	Message string `json:"text,omitempty"`
	// EarlierAttempts describes the failures of the earlier attempts.
	EarlierAttempts []string `json:"earlier,omitempty"`
	// ArrivalSeconds is the planned arrival, in seconds from the start of the run. TotalSeconds is
	// the time from the planned arrival to the end of the last attempt, in seconds.
	ArrivalSeconds float64 `json:"at"`
	TotalSeconds   float64 `json:"total"`
}

// runner is the state of one run.
type runner struct {
	settings *Settings
	client   *http.Client
	routes   *routeCache
	start    time.Time
	results  *collector
}

// Run sends the planned requests and returns the results. If ctx is canceled, it stops early and
// returns the results of the requests sent so far.
func Run(ctx context.Context, settings Settings) (*Result, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		MaxIdleConnsPerHost: 1024,
		IdleConnTimeout:     30 * time.Second,
	}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	requests := plan(&settings)
	s := &runner{
		settings: &settings,
		client:   client,
		routes:   &routeCache{seedRouters: settings.Routers, client: client, model: settings.Model, routes: map[string]route{}},
		start:    time.Now(),
		results:  newCollector(&settings, len(requests)),
	}
	stop := s.results.reportProgress(settings.Progress)
	defer stop()
	s.sendAll(ctx, requests)
	return s.results.result(time.Since(s.start)), nil
}

// sendAll starts each request at its planned arrival and waits for all of them to end.
func (s *runner) sendAll(ctx context.Context, requests []request) {
	var running sync.WaitGroup
	defer running.Wait()
	for _, r := range requests {
		if !sleep(ctx, time.Until(s.start.Add(r.arrival))) {
			return
		}
		s.results.requestStarted()
		running.Go(func() { s.results.requestEnded(s.execute(ctx, r)) })
	}
}

// execute sends a request until its result is final or the maximum number of attempts is reached.
func (s *runner) execute(ctx context.Context, r request) (Record, attempt) {
	record := Record{ID: r.id, Caller: r.caller.Label, Chat: r.chat, IdempotencyKey: r.key, Ending: Unanswered, ArrivalSeconds: r.arrival.Seconds()}
	plannedArrival := s.start.Add(r.arrival)
	var last attempt
	var suggested []string
	for record.Attempts < s.settings.MaxAttempts {
		routers := append(suggested, s.routes.addresses(ctx, r.caller.APIKey, r.chat)...)
		last = s.sendToFirstReachable(ctx, routers, r, plannedArrival, &record)
		record.update(last)
		record.TotalSeconds = time.Since(plannedArrival).Seconds()
		if last.complete || last.mismatch != "" {
			break
		}
		s.routes.invalidate(r.caller.APIKey, r.chat)
		delay, retry := s.retryDelay(last, r)
		if !retry || !sleep(ctx, delay) {
			break
		}
		suggested = nil
		if last.routerError != nil {
			suggested = last.routerError.Addresses
		}
	}
	return record, last
}

// sendToFirstReachable sends a request to the first router that accepts a connection. This counts
// as one attempt, even if other routers did not accept a connection.
func (s *runner) sendToFirstReachable(ctx context.Context, routers []string, r request, plannedArrival time.Time, record *Record) attempt {
	record.Attempts++
	var result attempt
	for _, router := range routers {
		record.Router = router
		result = s.send(ctx, router, r, plannedArrival)
		if !result.unsent || ctx.Err() != nil {
			return result
		}
	}
	return result
}

// retryDelay returns the delay before the next attempt and whether there is one. After an error
// object with the outcome "not run", the request is retried immediately if the object has addresses
// of routers to try next. Otherwise it is retried only if the object has a retry time, and this is
// at most MaxRetryDelay.
func (s *runner) retryDelay(a attempt, r request) (time.Duration, bool) {
	switch {
	case a.routerError == nil:
		return 100 * time.Millisecond, true
	case a.routerError.Outcome != outcome.NotRun && r.key != "":
		// The idempotency key stays claimed, so a retry would get the same response.
		return 0, false
	case a.routerError.Outcome != outcome.NotRun:
		return 100 * time.Millisecond, true
	}
	delay := time.Duration(a.routerError.RetryAfter * float64(time.Second))
	if len(a.routerError.Addresses) > 0 {
		return 0, true
	}
	return delay, delay > 0 && delay <= s.settings.MaxRetryDelay
}

// update stores the result of an attempt and moves the result of the previous attempt to
// EarlierAttempts.
func (r *Record) update(a attempt) {
	if r.Message != "" {
		r.EarlierAttempts = append(r.EarlierAttempts, strings.TrimSpace(fmt.Sprintf("%s %s %s", r.Code, r.Outcome, r.Message)))
	}
	r.Code, r.Outcome, r.Message = "", "", ""
	switch {
	case a.complete:
		r.Ending = Answered
	case a.mismatch != "":
		r.Ending, r.Message = Wrong, a.mismatch
	case a.routerError != nil:
		r.Ending, r.Code, r.Outcome, r.Message = Refused, a.routerError.Code, a.routerError.Outcome, a.routerError.Message
		r.MayHaveRun = r.MayHaveRun || a.routerError.Outcome != outcome.NotRun
	default:
		r.Ending, r.Message = Unanswered, a.err.Error()
		r.MayHaveRun = r.MayHaveRun || !a.unsent
	}
}

// sleep waits for d. It returns false if ctx is canceled first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(max(d, 0))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// writeRecord writes a record as a JSON line. It ignores write errors: the record is then missing
// when the fleet command checks the outcomes.
func (c *collector) writeRecord(r Record) {
	if c.records == nil {
		return
	}
	if line, err := json.Marshal(r); err == nil {
		_, _ = fmt.Fprintf(c.records, "%s\n", line)
	}
}

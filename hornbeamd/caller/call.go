package caller

import (
	"context"
	"crypto/rand"
	"net/http"
	"strconv"
	"time"

	"hornbeamstep.example/hornbeamd/exchange"
	"hornbeamstep.example/policy"
	"hornbeamstep.example/ports/transport"
	"hornbeamstep.example/routing/outcome"
	"hornbeamstep.example/timeline"
)

// call is the state of one HTTP request of a caller.
type call struct {
	server     *Server
	w          http.ResponseWriter
	r          *http.Request
	controller *http.ResponseController
	// id is the request ID, unique for each request. The caller gets it in the header Request-Id.
	id          string
	kind        string
	started     time.Time
	policy      policy.Policy
	account     policy.Account
	slotRequest SlotRequest
	// atMostOnce is true if the request must not run more than once.
	atMostOnce bool
	// combinedOutcome is the outcome of all attempts so far: NotRun if certainly none of them ran,
	// otherwise Unknown.
	combinedOutcome outcome.Outcome
	// attempts is the number of attempts so far. It is part of the attempt ID.
	attempts int
	// headerSent is true once sending the response header has begun. contentSent is true once the
	// response includes a part of the backend server's response; a heartbeat does not set it.
	headerSent, contentSent bool
	// abortConnection is true if the response was truncated after its header was sent. The
	// connection is then closed, since the caller cannot detect the truncation otherwise.
	abortConnection bool
	// onTrial is true if the request goes on after the caller has left; see Dispatcher.BeginTrial.
	onTrial bool
	// recorder records the response to a request with an idempotency key, so that it can be stored
	// with the claim.
	recorder responseRecorder
}

// handle returns an HTTP handler that calls serve. On success serve has sent the response. An error
// that it returns is sent as the response, unless serve has already sent a response header.
func (s *Server) handle(serve func(*call) *outcome.Error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c := &call{
			server: s, w: w, r: r, controller: http.NewResponseController(w),
			id: rand.Text(), kind: "other", started: time.Now(), combinedOutcome: outcome.NotRun,
		}
		w.Header().Set("Request-Id", c.id)
		e := serve(c)
		c.countRequest(e)
		if e != nil {
			c.respondError(e)
		}
		if c.abortConnection {
			transport.AbortResponse(w, r)
		}
	}
}

// respondError sends an error as the response, unless a response header was already sent. It does
// so even if the request's context has ended: the context also ends when the body does not arrive
// in time, and an empty response would look like a success.
func (c *call) respondError(e *outcome.Error) {
	if c.headerSent {
		return
	}
	c.headerSent = true
	_ = c.controller.SetWriteDeadline(time.Now().Add(c.server.options.WriteTimeout))
	writeError(c.w, e)
}

// identify checks the size of the request header, authenticates the caller, and sets c.policy and
// c.account.
func (c *call) identify() *outcome.Error {
	c.policy = c.server.dispatcher.Policy()
	if err := c.checkHeader(); err != nil {
		return asOutcomeError(err)
	}
	account, err := authenticate(c.r, c.policy)
	if err != nil {
		return asOutcomeError(err)
	}
	c.account = account
	return nil
}

// initSlotRequest sets the fields of the slot request that chat completions and service requests
// share. Cost and Deadline are defaults that the handlers may replace.
func (c *call) initSlotRequest(body []byte) {
	c.slotRequest = SlotRequest{
		RequestID: c.id, Account: c.account.Name, Class: c.account.Class, Weight: c.account.Weight, Cost: 1,
		Fingerprint: fingerprint(c.account.Name, c.r.Method, c.r.URL.RequestURI(), body),
		Deadline:    c.started.Add(c.server.options.RequestTimeout),
	}
}

// attemptFunc runs the request on the backend server of a grant; id is the attempt ID. It returns
// the result for Dispatcher.Release. On success the failure is nil.
type attemptFunc func(ctx context.Context, g Grant, id string) (Result, *exchange.Error)

// runAttempts makes attempts until one succeeds or no further one is allowed.
func (c *call) runAttempts(attempt attemptFunc) *outcome.Error {
	ctx := c.r.Context()
	if endTrial, onTrial := c.server.dispatcher.BeginTrial(c.slotRequest.Fingerprint); onTrial {
		defer endTrial()
		var endContext context.CancelFunc
		ctx, endContext = outlastCaller(ctx)
		defer endContext()
		c.onTrial = true
	}
	ctx, cancel := context.WithDeadline(ctx, c.slotRequest.Deadline)
	defer cancel()
	defer context.AfterFunc(c.server.requestsEnded, cancel)()
	for {
		c.attempts++
		c.slotRequest.Attempt = c.attempts
		grant, err := c.server.dispatcher.Admit(ctx, c.slotRequest)
		if err != nil {
			return c.withCombinedOutcome(asOutcomeError(err))
		}
		failure := c.runAttempt(ctx, grant, attempt)
		if failure == nil {
			return nil
		}
		if failure.Outcome() != outcome.NotRun {
			c.combinedOutcome = outcome.Unknown
		}
		if failure.Kind == exchange.Cancelled && c.server.requestsEnded.Err() != nil {
			return c.withCombinedOutcome(errStopped(failure))
		}
		if !c.mayRetry(ctx, failure) {
			return c.withCombinedOutcome(fromExchangeError(failure))
		}
		c.server.metrics.retries.WithLabelValues(c.kind, string(failure.Kind)).Inc()
		c.recordEvent(timeline.Retried, grant.Backend, failure.Error())
		c.slotRequest.ExcludedBackends = append(c.slotRequest.ExcludedBackends, grant.Backend)
	}
}

// trialTime is how long a request on trial goes on after its caller has left.
const trialTime = 2 * time.Second

// outlastCaller returns a context that ends trialTime after the given one.
func outlastCaller(callerContext context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(callerContext))
	stop := context.AfterFunc(callerContext, func() { time.AfterFunc(trialTime, cancel) })
	return ctx, func() {
		stop()
		cancel()
	}
}

// runAttempt runs one attempt and releases its slot, even if the attempt panics.
func (c *call) runAttempt(ctx context.Context, g Grant, attempt attemptFunc) *exchange.Error {
	id := c.id + "-" + strconv.Itoa(c.attempts)
	result := Result{Ending: EndedCancelled}
	start := time.Now()
	defer func() {
		result.RequestID = c.id
		result.Account = c.account.Name
		result.Fingerprint = c.slotRequest.Fingerprint
		result.Model, result.Parts, result.Deadline = c.slotRequest.Model, c.slotRequest.Parts, c.slotRequest.Deadline
		result.Duration = time.Since(start)
		c.server.dispatcher.Release(g, result)
	}()
	c.recordEvent(timeline.Attempt, g.Backend, "attempt "+id)
	var failure *exchange.Error
	result, failure = attempt(ctx, g, id)
	if failure != nil {
		result.Ending = attemptEnding(failure)
		result.RetryAfter, result.Status = failure.RetryAfter, failure.Status
	}
	return failure
}

// attemptEnding maps a failed exchange to the ending of its attempt.
func attemptEnding(f *exchange.Error) Ending {
	switch f.Kind {
	case exchange.Refused:
		return EndedRefused
	case exchange.Unreachable:
		return EndedUnreachable
	case exchange.TimedOut:
		return EndedTimedOut
	case exchange.Cancelled:
		return EndedCancelled
	case exchange.Protocol:
		return EndedMalformed
	case exchange.Rejected:
		return EndedFailed
	}
	return EndedCrashed
}

// mayRetry reports whether the request may be tried on another backend server, and if so deducts
// the attempt from the retry budget. All of these must hold:
//   - No content was sent to the caller.
//   - Neither the deadline nor Options.MaxAttempts is reached, and the caller has not cancelled.
//   - The request itself is not invalid, so another backend server may succeed.
//   - The request may run more than once, or the failed attempt certainly did not run.
//   - The retry budget of the client account is not used up.
func (c *call) mayRetry(ctx context.Context, f *exchange.Error) bool {
	switch {
	case c.contentSent, ctx.Err() != nil, c.r.Context().Err() != nil, c.attempts >= c.server.options.MaxAttempts:
		return false
	case f.Kind == exchange.Cancelled:
		return false
	case f.Kind == exchange.Rejected && isRequestFault(f.Status):
		// An error that ends a stream has status 200 and is therefore retried, since another engine
		// may succeed.
		return false
	case c.atMostOnce && f.Outcome() != outcome.NotRun:
		return false
	}
	return c.server.dispatcher.AllowRetry(c.account.Name)
}

// withCombinedOutcome returns a copy of the error with the combined outcome if the error says "not
// run" but an earlier attempt may have run. The caller takes "not run" to mean that no attempt ran.
func (c *call) withCombinedOutcome(e *outcome.Error) *outcome.Error {
	if e.Outcome != outcome.NotRun || c.combinedOutcome == outcome.NotRun {
		return e
	}
	combined := *e
	combined.Outcome = c.combinedOutcome
	if c.atMostOnce {
		combined.Remedy = "find out whether the request took effect before sending it under a new key"
	}
	return &combined
}

func (c *call) recordEvent(kind timeline.Kind, backend, text string) {
	c.server.dispatcher.Record(timeline.Event{Kind: kind, Request: c.id, Chat: c.slotRequest.Chat, Backend: backend, Text: text})
}

// countRequest adds the request to the metrics and its result to the timeline. It ignores kind
// "other", which is every request except chat completions and requests to plain services.
func (c *call) countRequest(e *outcome.Error) {
	if c.kind == "other" {
		return
	}
	label, code := "ok", ""
	if e != nil {
		label, code = string(e.Outcome), string(e.Code)
	}
	c.server.metrics.requests.WithLabelValues(c.kind, label, code).Inc()
	if e != nil {
		c.recordEvent(timeline.Refused, "", e.Error())
		return
	}
	c.recordEvent(timeline.Answered, "", "answered")
}

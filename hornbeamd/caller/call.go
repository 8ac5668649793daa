package caller

import (
	"context"
	"crypto/rand"
	"net/http"
	"strconv"
	"time"

	"hornbeamstep.example/hornbeamd/exchange"
	"hornbeamstep.example/policy"
	"hornbeamstep.example/routing/outcome"
	"hornbeamstep.example/timeline"
)

// call is one request of a caller.
type call struct {
	s       *Server
	w       http.ResponseWriter
	r       *http.Request
	control *http.ResponseController
	// id is unique for each request.
	id      string
	kind    string
	started time.Time
	policy  policy.Policy
	account policy.Account
	ask     Ask
	// once is true if the request may run at most once.
	once bool
	// worst is the outcome of all attempts together: NotRun until one may have run.
	worst outcome.Outcome
	// attempts counts the attempts, and serial the attempt ids.
	attempts int
	// replied is true once a header was sent, and delivered once a part of the answer itself was.
	replied, delivered bool
	// cut is true if the answer broke off and the connection must be closed to show it.
	cut bool
	// held is the number of bytes taken from the budget of bodies.
	held int64
	// keep holds the answer while it is small enough to be kept with a claim.
	keep keeper
}

// plain makes a handler of a step that answers the caller itself, or returns the error to answer with.
func (s *Server) plain(step func(*call) *outcome.Error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c := &call{
			s: s, w: w, r: r, control: http.NewResponseController(w),
			id: rand.Text(), kind: "other", started: time.Now(), worst: outcome.NotRun,
		}
		defer func() { s.bodies.give(c.held) }()
		w.Header().Set("Request-Id", c.id)
		e := step(c)
		c.count(e)
		if e != nil {
			c.fail(e)
		}
		if c.cut {
			panic(http.ErrAbortHandler)
		}
	}
}

// fail answers with an error, unless a part of another answer was sent. A context that has ended is no reason to be silent:
// it also ends when the body does not arrive in time, and an empty answer would read as a success.
func (c *call) fail(e *outcome.Error) {
	if c.replied {
		return
	}
	c.replied = true
	_ = c.control.SetWriteDeadline(time.Now().Add(c.s.options.Write))
	writeError(c.w, e)
}

// identify authenticates the caller and checks the limits that need no body.
func (c *call) identify() *outcome.Error {
	c.policy = c.s.dispatcher.Policy()
	if err := c.checkHeader(); err != nil {
		return asOutcome(err)
	}
	account, err := authenticate(c.r, c.policy)
	if err != nil {
		return asOutcome(err)
	}
	c.account = account
	return nil
}

// newAsk starts the request for a slot.
func (c *call) newAsk(body []byte) {
	c.ask = Ask{
		Request: c.id, Account: c.account.Name, Class: c.account.Class, Weight: c.account.Weight, Cost: 1,
		Fingerprint: fingerprint(c.account.Name, c.r.Method, c.r.URL.RequestURI(), body),
		Deadline:    c.started.Add(c.s.options.Deadline),
	}
}

// attempt runs the request on one backend server. It returns the result to release with, and the failure if there is one.
type attempt func(ctx context.Context, g Grant, id string) (Result, *exchange.Error)

// run makes attempts until one succeeds or none is left.
func (c *call) run(try attempt) *outcome.Error {
	ctx, cancel := context.WithDeadline(c.r.Context(), c.ask.Deadline)
	defer cancel()
	for {
		c.attempts++
		c.ask.Attempt = c.attempts
		grant, err := c.s.dispatcher.Admit(ctx, c.ask)
		if err != nil {
			return c.settle(asOutcome(err))
		}
		failure := c.attempt(ctx, grant, try)
		if failure == nil {
			return nil
		}
		if failure.Outcome() != outcome.NotRun {
			c.worst = outcome.Unknown
		}
		if !c.mayRetry(ctx, failure) {
			return c.settle(fromExchange(failure))
		}
		c.s.metrics.retries.WithLabelValues(c.kind, string(failure.Kind)).Inc()
		c.record(timeline.Retried, grant.Backend, failure.Error())
		c.ask.Avoid = append(c.ask.Avoid, grant.Backend)
	}
}

// attempt runs one attempt and releases its slot, even if the handler panics.
func (c *call) attempt(ctx context.Context, g Grant, try attempt) *exchange.Error {
	id := c.id + "-" + strconv.Itoa(c.attempts)
	result := Result{Ending: EndedCancelled}
	begin := time.Now()
	defer func() {
		result.Request = c.id
		result.Account = c.account.Name
		result.Fingerprint = c.ask.Fingerprint
		result.Duration = time.Since(begin)
		c.s.dispatcher.Release(g, result)
	}()
	c.record(timeline.Attempt, g.Backend, "attempt "+id)
	var failure *exchange.Error
	result, failure = try(ctx, g, id)
	if failure != nil {
		result.Ending = ending(failure)
		result.Retry, result.Status = failure.Retry, failure.Status
	}
	return failure
}

// ending returns the ending that a failure stands for.
func ending(f *exchange.Error) Ending {
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

// mayRetry reports whether the request may be tried on another backend server: nothing was delivered, another attempt can
// help, and the request may be repeated or surely did not run.
func (c *call) mayRetry(ctx context.Context, f *exchange.Error) bool {
	switch {
	case c.delivered, ctx.Err() != nil, c.attempts >= c.s.options.Attempts:
		return false
	case f.Kind == exchange.Cancelled:
		return false
	case f.Kind == exchange.Rejected && faultOfRequest(f.Status):
		// A stream that the engine ended with an error has status 200 and may be tried elsewhere.
		return false
	case c.once && f.Outcome() != outcome.NotRun:
		return false
	}
	return c.s.dispatcher.Retry(c.account.Name)
}

// settle corrects the outcome of an error by what earlier attempts did: "not run" is a promise about all of them.
func (c *call) settle(e *outcome.Error) *outcome.Error {
	if e.Outcome != outcome.NotRun || c.worst == outcome.NotRun {
		return e
	}
	settled := *e
	settled.Outcome = c.worst
	if c.once {
		settled.Remedy = "find out whether the request took effect before sending it under a new key"
	}
	return &settled
}

func (c *call) record(kind timeline.Kind, backend, text string) {
	c.s.dispatcher.Record(timeline.Event{Kind: kind, Request: c.id, Chat: c.ask.Chat, Backend: backend, Text: text})
}

// count counts the request by its outcome and puts it on the timeline.
func (c *call) count(e *outcome.Error) {
	if c.kind == "other" {
		return
	}
	label, code := "ok", ""
	if e != nil {
		label, code = string(e.Outcome), string(e.Code)
	}
	c.s.metrics.requests.WithLabelValues(c.kind, label, code).Inc()
	if e != nil {
		c.record(timeline.Refused, "", e.Error())
		return
	}
	c.record(timeline.Answered, "", "answered")
}

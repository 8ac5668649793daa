package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"hornbeamstep.example/hornbeamd/backend"
	"hornbeamstep.example/routing/balance"
	"hornbeamstep.example/routing/envelope"
	"hornbeamstep.example/routing/quarantine"
	"hornbeamstep.example/routing/routes"
)

// call is one request of a caller.
type call struct {
	s        *Server
	w        http.ResponseWriter
	r        *http.Request
	received time.Time
	stated   envelope.Request
	target   string
	table    *routes.Table
	route    *routes.Route
	service  routes.Service
	account  string
	priority int
	// deadline is zero if there is none.
	deadline time.Time
	body     []byte
	hasBody  bool

	// identity identifies the request when it is sent again.
	fingerprint string
	// tried holds the servers that were asked, and sent counts those that may have received a byte.
	tried []string
	sent  int
	// ran is true if a server may have run the request.
	ran    bool
	choice decision
	// asked is what the choice answered, and begun when the request was sent to its server.
	asked balance.Ask
	begun time.Time
	// cause is that of the latest failed exchange; nil if there was none.
	cause error
	// answered is true if a part of an answer went to the caller, and last is the number of the last event that did.
	answered bool
	last     string
	// kept is a server's own failure, relayed if no retry does better.
	kept *whole
}

// errPatience ends an attempt at a server that is silent for too long.
var errPatience = eris.New("no progress in the time in which some was due")

// dials bounds the connections that are tried in vain for one request.
const dials = 4

// result says what follows from an attempt.
type result uint8

const (
	// finished attempts have answered the caller.
	finished result = iota
	// notRun attempts did not reach a server, or were refused there before they began.
	notRun
	// mayHaveRun attempts failed after the request was sent.
	mayHaveRun
	// gone means that the caller left.
	gone
)

// forward sends a request to backend servers until one answers.
func (c *call) forward() {
	ctx := c.r.Context()
	if !c.deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, c.deadline)
		defer cancel()
	}
	c.fingerprint = c.computeFingerprint()
	if c.s.Crashes.isQuarantined(c.received, c.fingerprint) {
		c.answer(&refusal{http.StatusServiceUnavailable, "crashes_servers", quarantinedRetryAfter})
		return
	}
	c.s.Upstreams.first(c.received, c.service.Name)
	for try := 0; ; try++ {
		now := time.Now()
		c.asked = c.ask(now)
		c.choice = c.s.Upstreams.take(now, c.asked)
		c.asked.Priority = c.choice.Priority
		if c.choice.Server.ID == "" {
			c.giveUp(string(c.choice.Reason))
			return
		}
		r := c.attempt(ctx, try)
		switch {
		case r == finished:
			return
		case r == gone:
			c.report(0, "caller_left")
			c.abort()
		case ctx.Err() != nil:
			c.giveUp("deadline")
			return
		}
		c.tried = append(c.tried, c.choice.Server.ID)
		if why := c.mayTryAgain(r, try); why != "" {
			c.giveUp(why)
			return
		}
	}
}

// mayTryAgain returns why a request is not sent to a further server; empty if it is.
func (c *call) mayTryAgain(r result, try int) string {
	switch {
	case r == mayHaveRun && !c.route.Repeatable():
		return "may_have_run"
	case c.sent >= c.route.Attempts:
		return "attempts"
	case try+1 >= dials+c.route.Attempts:
		return "unreachable"
	case c.sent > 0 && !c.s.Upstreams.again(time.Now(), c.service.Name):
		return "retry_budget"
	}
	return ""
}

func (c *call) ask(now time.Time) balance.Ask {
	a := balance.Ask{
		Service: c.service.Name, Zone: c.s.Zone, Avoid: c.tried, Slots: c.service.Slots, Draw: c.s.Upstreams.Draw(),
		Priority: c.priority, Account: c.account,
	}
	if len(c.tried) == 0 {
		// Only first attempts are shed: a stream that goes on elsewhere, or a retry, has cost a server work already.
		a.Target = c.route.Target
	}
	if c.route.Sticky || c.service.Engine {
		a.Prompt = balance.Prompt(c.stated.Model, c.stated.Parts)
	}
	if !c.deadline.IsZero() {
		a.Left = c.deadline.Sub(now)
	}
	return a
}

// giveUp sends the final answer to a request that no server has answered.
func (c *call) giveUp(cause string) {
	switch {
	case c.answered:
		c.report(0, cause)
		c.abort()
	case c.kept != nil:
		c.relayWhole(c.kept)
	case !c.ran:
		after := noServer
		if c.choice.Reason == balance.Full {
			after = time.Duration(c.choice.RetryAfter() * float64(time.Second))
		}
		c.answer(&refusal{http.StatusServiceUnavailable, cause, after})
	case cause == "deadline":
		c.answer(&refusal{http.StatusGatewayTimeout, cause, 0})
	default:
		c.answer(&refusal{http.StatusBadGateway, cause, 0})
	}
}

// abort closes the connection, so that what was sent does not look complete.
func (c *call) abort() { panic(http.ErrAbortHandler) }

// attempt sends the request to the chosen server.
func (c *call) attempt(ctx context.Context, try int) result {
	c.begun = time.Now()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	p := c.newPatience(cancel)
	defer p.stop()
	defer c.s.Upstreams.ended(&p.stream)
	ending, r := c.exchange(ctx, p)
	now := time.Now()
	c.s.Upstreams.finish(now, c.choice.Server.ID, ending, now.Sub(c.begun))
	switch ending {
	case balance.Answered, balance.Failed:
		c.s.Crashes.recordResponse(c.fingerprint, c.choice.Server.ID)
	case balance.Broken:
		crash := quarantine.Crash{Engine: c.choice.Server.ID, Boot: strconv.FormatInt(c.choice.Server.Born, 10)}
		c.s.Crashes.checkCrash(c.fingerprint, c.choice.Server.Address, crash)
	}
	if r != finished {
		c.s.Metrics.attempt(ending.String())
		c.s.Log.Info("attempt failed", zap.String("id", c.stated.Attempt), zap.Int("try", try), zap.String("server", c.choice.Server.ID),
			zap.Stringer("ending", ending), zap.String("reason", string(c.choice.Reason)), zap.Bool("may_have_run", r == mayHaveRun),
			zap.Duration("took", now.Sub(c.begun)), zap.Error(c.cause))
	}
	return r
}

// exchange sends the request and relays the answer.
func (c *call) exchange(ctx context.Context, p *patience) (balance.Ending, result) {
	a, err := c.s.Pool.Do(ctx, c.request())
	if err != nil {
		return c.failed(ctx, err)
	}
	defer a.Close()
	c.sent++
	switch {
	case a.Misdirected:
		return balance.Unreachable, notRun
	case a.NotRun:
		return balance.Refused, notRun
	}
	c.ran = true
	switch {
	case a.Status/100 == 2 && (!a.Signed || a.Attempt != c.stated.Attempt):
		return balance.Broken, mayHaveRun
	case a.Status/100 == 2 && c.route.Kind == routes.Streaming:
		return c.relayStream(ctx, a, p)
	default:
		c.s.Upstreams.began(c.asked, time.Since(c.begun))
		return c.relayBody(ctx, a)
	}
}

func (c *call) request() *backend.Request {
	f := envelope.Forward{
		Server: c.choice.Server.ID, Account: c.account, Priority: c.choice.Priority, Holder: c.choice.Holder.Address,
		After: c.last,
	}
	if !c.deadline.IsZero() {
		f.Left = time.Until(c.deadline)
	}
	return &backend.Request{
		Address: c.choice.Server.Address, Method: c.r.Method, Target: c.target, Host: c.r.Host,
		Header: c.s.Codec.Forward(c.r.Header, f), Body: c.body, HasBody: c.hasBody, Attempt: c.stated.Attempt,
		AtMostOnce: !c.route.Repeatable(), MaxConnections: c.s.Upstreams.Connections(c.service.Connections),
	}
}

// failed judges an exchange that brought no answer.
func (c *call) failed(ctx context.Context, err *backend.Error) (balance.Ending, result) {
	c.cause = err
	if err.Sent {
		c.sent++
		c.ran = true
	}
	r := notRun
	if err.Sent {
		r = mayHaveRun
	}
	switch {
	case c.r.Context().Err() != nil:
		return balance.Abandoned, gone
	case errors.Is(context.Cause(ctx), errPatience):
		return balance.Silent, r
	case err.Kind == backend.ContextDone:
		// The request's own deadline has passed. A server that was asked has been silent all the while.
		return balance.Silent, r
	case err.Kind == backend.ConnectionLimit:
		return balance.Abandoned, r
	case err.Kind == backend.Unreachable:
		return balance.Unreachable, r
	case err.Reused:
		// An idle connection that was closed says little about the server.
		return balance.Abandoned, r
	}
	return balance.Broken, r
}

// whole is an answer that has arrived completely.
type whole struct {
	status int
	header http.Header
	body   []byte
}

// relayBody passes on an answer that is no stream. It is gathered first, so that a broken one never reaches the caller.
func (c *call) relayBody(ctx context.Context, a *backend.Response) (balance.Ending, result) {
	body, err := io.ReadAll(io.LimitReader(a, gathered+1))
	if err != nil {
		return c.broken(ctx)
	}
	ending := balance.Answered
	if a.Status >= http.StatusInternalServerError {
		ending = balance.Failed
	}
	answer := &whole{a.Status, a.Header, body}
	if len(body) > gathered {
		return c.relayLarge(ctx, a, answer)
	}
	if ending == balance.Failed && c.route.Repeatable() {
		c.kept = answer
		return ending, mayHaveRun
	}
	c.relayWhole(answer)
	return ending, finished
}

func (c *call) relayWhole(a *whole) {
	c.s.Codec.Relay(c.w.Header(), a.header)
	c.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	c.w.WriteHeader(a.status)
	_, err := c.w.Write(a.body)
	c.report(a.status, outcomeOf(a.status, err))
	c.clearDeadline()
}

// relayLarge passes on an answer that is too large to be gathered.
func (c *call) relayLarge(ctx context.Context, a *backend.Response, start *whole) (balance.Ending, result) {
	c.s.Codec.Relay(c.w.Header(), a.Header)
	if a.ContentLength >= 0 {
		c.w.Header().Set("Content-Length", strconv.FormatInt(a.ContentLength, 10))
	}
	c.w.WriteHeader(a.Status)
	c.answered = true
	_, err := c.w.Write(start.body)
	if err == nil {
		_, err = io.Copy(c.w, a)
	}
	if err != nil {
		ending, _ := c.broken(ctx)
		c.report(a.Status, "broken")
		c.s.Upstreams.finish(time.Now(), c.choice.Server.ID, ending, 0)
		c.abort()
	}
	c.report(a.Status, outcomeOf(a.Status, nil))
	c.clearDeadline()
	return balance.Answered, finished
}

// broken judges an answer that ended early.
func (c *call) broken(ctx context.Context) (balance.Ending, result) {
	switch {
	case c.r.Context().Err() != nil:
		return balance.Abandoned, gone
	case errors.Is(context.Cause(ctx), errPatience):
		return balance.Silent, mayHaveRun
	case ctx.Err() != nil:
		return balance.Abandoned, mayHaveRun
	}
	return balance.Broken, mayHaveRun
}

func outcomeOf(status int, err error) string {
	switch {
	case err != nil:
		return "caller_left"
	case status/100 == 2:
		return "served"
	default:
		return "server_status"
	}
}

// patience ends an attempt when no progress is made, if the request may go to another server then.
type patience struct {
	stream    stream
	upstreams *Upstreams
	timer     *time.Timer
	next      time.Duration
}

// firstPatience and nextPatience are multiples of the route's targets for the first and for each further sign of progress: well
// above what a loaded server needs, and below the time after which callers give up.
const (
	firstPatience = 2.5
	nextPatience  = 4
)

// newPatience starts to wait for the first sign of progress.
func (c *call) newPatience(cancel context.CancelCauseFunc) *patience {
	movable := c.route.Repeatable() && c.sent+1 < c.route.Attempts && c.choice.Candidates > 1
	p := &patience{
		stream: stream{server: c.choice.Server.ID, cancel: cancel, movable: movable}, upstreams: c.s.Upstreams,
		next: nextPatience * c.route.Gap,
	}
	if !movable || c.route.Target <= 0 {
		return p
	}
	p.timer = time.AfterFunc(time.Duration(firstPatience*float64(c.route.Target)), func() { cancel(errPatience) })
	return p
}

// progress restarts the wait.
func (p *patience) progress() {
	p.upstreams.moved(time.Now(), &p.stream)
	switch {
	case p.timer == nil:
	case p.next > 0:
		p.timer.Reset(p.next)
	default:
		p.timer.Stop()
	}
}

func (p *patience) stop() {
	if p.timer != nil {
		p.timer.Stop()
	}
}

package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"hornbeamstep.example/hornbeamd/memory"
	"hornbeamstep.example/ports/transport"
	"hornbeamstep.example/routing/balance"
	"hornbeamstep.example/routing/metadata"
	"hornbeamstep.example/routing/routes"
)

// clientRequest is the state of one client request while the router handles it.
type clientRequest struct {
	server     *Server
	w          http.ResponseWriter
	r          *http.Request
	receivedAt time.Time
	metadata   metadata.Request
	target     string
	table      *routes.Table
	route      *routes.Route
	service    routes.Service
	account    string
	priority   int
	// regions are those in which the request may be processed.
	regions routes.Regions
	// deadline is zero if the request has none.
	deadline time.Time
	body     []byte
	hasBody  bool
	// relayed is set if another router relays the request. rejectedAs is the outcome of a rejected
	// request, and empty before.
	relayed    relayRequest
	rejectedAs string

	// suspect identifies the request if it may crash servers. answered is true once a server has answered
	// it, so that it crashes none.
	suspect  suspect
	answered atomic.Bool
	// ctx ends at the deadline, when the client disconnects, or when the router closes. It outlasts the
	// client for a while if the request is on trial.
	ctx context.Context
	// choice is that of the current attempt, or of the last one. current is nil while no attempt
	// can send the client's response.
	choice  serverChoice
	current *attempt
	// standby is the attempt beside the current one.
	standby standby
	// responseStarted is true if a part of a response was sent to the client.
	responseStarted bool
	// mediaType is that of the response that was started.
	mediaType string
	// mu guards the fields below, which a standby uses too.
	mu sync.Mutex
	// attempts is the number of attempts, including those in progress.
	attempts int
	// triedServers holds the IDs of the servers of failed attempts. sentAttempts counts the
	// attempts that have ended and in which a server may have received a byte of the request.
	triedServers []string
	sentAttempts int
	// dismissedServers holds the IDs of the servers of standbys that were not needed. They are used
	// again only if no other server can take the request.
	dismissedServers []string
	// mayHaveRun is true if a server may have run the request.
	mayHaveRun bool
	// connectionFailed is true if the connection of an attempt has failed.
	connectionFailed bool
	// relays is the number of attempts through other routers, and unreachable that of servers that
	// could not be reached.
	relays, unreachable int
	// lastEventID is the ID of the last event that was sent to the client, also in the response that the
	// request resumes.
	lastEventID string
	// version is the software version at which the client's stream began, and at which alone it may
	// go on; set if hasVersion is true.
	version    string
	hasVersion bool
	// savedFailure is the latest failure response of a server, which is relayed if no retry
	// succeeds.
	savedFailure *bufferedResponse
	// savedFailureHeld is the memory of savedFailure.
	savedFailureHeld memory.Reservation
	permits          permitStats
}

// maxUnsentAttempts limits the attempts in which nothing was sent to a server. The route's limit
// does not count them; a request fails after as many attempts as both limits allow together.
const maxUnsentAttempts = 4

// forward sends the request to one backend server after another until one responds or no further
// attempt is allowed.
func (c *clientRequest) forward() {
	c.suspect = c.newSuspect()
	ctx := c.r.Context()
	if c.server.Crashes.beginTrial(c.receivedAt, c.suspect) {
		var endTrial context.CancelFunc
		ctx, endTrial = c.trialContext()
		defer endTrial()
	}
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	defer context.AfterFunc(c.server.closing, func() { end(errClosing) })()
	c.ctx = ctx
	if !c.deadline.IsZero() {
		var cancel context.CancelFunc
		c.ctx, cancel = context.WithDeadline(c.ctx, c.deadline)
		defer cancel()
	}
	if reason := c.server.Crashes.rejectionReason(c.receivedAt, c.suspect); reason != "" {
		c.server.Crashes.logRejection(c.suspect)
		c.reject(&rejection{http.StatusServiceUnavailable, reason, quarantinedRetryAfter})
		return
	}
	if rejected := c.resolveOrigin(); rejected != nil {
		c.reject(rejected)
		return
	}
	if c.isResumed() && c.route.Resumable {
		c.lastEventID = c.metadata.LastEventID
	}
	defer c.releaseFailure()
	defer c.standby.close()
	a, denied := c.firstAttempt()
	if denied != "" {
		if a != nil {
			c.choice = a.choice
		}
		c.fail(denied)
		return
	}
	for {
		c.choice = a.choice
		result := c.tryServer(a)
		switch result {
		case attemptFinished:
			return
		case attemptClientGone:
			c.recordResult(0, "caller_left")
			c.abort()
			return
		case attemptBrokenOff:
			c.abort()
			return
		}
		if a = c.awaitStandby(); a != nil {
			continue
		}
		if a, denied = c.retry(result); denied != "" {
			if a != nil {
				c.choice = a.choice
			}
			c.fail(denied)
			return
		}
	}
}

// firstAttempt begins the first attempt, or returns why there is none.
func (c *clientRequest) firstAttempt() (a *attempt, denied string) {
	if c.sentAttempts > 0 {
		// For the servers it is a retry of what the relaying router has sent.
		return c.nextAttempt(0)
	}
	a = c.chooseAttempt(c.permitEffort(0))
	if a.choice.Server.ID == "" {
		return a, string(a.choice.Reason)
	}
	if c.isTooLate() {
		a.recordEnd(time.Now(), balance.Abandoned, 0)
		return nil, deniedDraining
	}
	if !a.viaPeer {
		c.server.Upstreams.countRequest(c.receivedAt, c.service.Name)
	}
	a.begin()
	return a, ""
}

// retry begins an attempt at another server after one with the given result, or returns why there
// is none; see nextAttempt.
func (c *clientRequest) retry(result attemptResult) (a *attempt, denied string) {
	switch {
	case c.isEnded():
		return nil, deniedDraining
	case c.ctx.Err() != nil:
		return nil, "deadline"
	case result == attemptMayHaveRun && !c.route.Retryable():
		return nil, deniedMayHaveRun
	}
	return c.nextAttempt(0)
}

// buildQuery returns the input for choosing a server that was not tried and is not in avoid.
func (c *clientRequest) buildQuery(now time.Time, avoid ...string) balance.Request {
	c.mu.Lock()
	avoid = append(avoid, c.triedServers...)
	version, hasVersion := c.version, c.hasVersion
	c.mu.Unlock()
	query := balance.Request{
		Service: c.service.Name, Version: version, OnlyRecorded: c.route.Kind == routes.Streaming && c.route.Resumable && !hasVersion, Zone: c.server.Zone, Avoid: avoid, Slots: c.service.Slots, Draw: c.server.Upstreams.RandomFraction(),
		Priority: c.priority, Account: c.account,
	}
	if c.regions.IsLimited() {
		query.AllowsZone = c.allowsZone
	}
	if len(avoid) == 0 && !c.isResumed() {
		// The balancer sheds only requests with a latency target. Retries and resumed streams have
		// none, because a server has already done work for them.
		query.LatencyTarget = c.route.Target
	}
	if c.route.Sticky || c.service.Engine {
		query.PrefixHashes = balance.PrefixHashes(c.metadata.Model, c.metadata.PromptParts)
		// A server generates the output token by token and reads the prompt much faster.
		query.Cost = float64(c.metadata.MaxOutputTokens)
	}
	query.TimeLeft = c.timeLeft(now)
	return query
}

// allowsZone reports whether the request may be processed in an availability zone.
func (c *clientRequest) allowsZone(zone string) bool {
	return c.regions.Allows(c.server.ZoneRegions[zone])
}

// timeLeft returns the time until the deadline, or 0 if the request has none.
func (c *clientRequest) timeLeft(now time.Time) time.Duration {
	if c.deadline.IsZero() {
		return 0
	}
	return c.deadline.Sub(now)
}

// fail ends a request for which no attempt succeeded. It relays a saved error response of a server
// if there is one.
func (c *clientRequest) fail(cause string) {
	switch {
	case c.responseStarted:
		c.recordResult(0, cause)
		c.abort()
	case c.savedFailure != nil:
		c.relayBuffered(c.savedFailure)
	case !c.mayHaveRun:
		retryAfter := noServerRetryAfter
		switch {
		case cause == crashingRequest || cause == crashingPart:
			retryAfter = quarantinedRetryAfter
		case cause == deniedDraining:
			retryAfter = c.server.drainRetryAfter()
		case c.choice.Reason == balance.Limited:
			now := time.Now()
			retryAfter = c.server.Permits.retryAfter(now, c.service.Name, c.choice.Wait, c.choice.LimitSum, c.timeLeft(now))
		case c.choice.Reason == balance.Full:
			retryAfter = time.Duration(c.choice.RetryAfterSeconds() * float64(time.Second))
		}
		c.reject(&rejection{http.StatusServiceUnavailable, cause, retryAfter})
	case cause == "deadline", cause == deniedDraining:
		c.reject(&rejection{http.StatusGatewayTimeout, cause, 0})
	default:
		c.reject(&rejection{http.StatusBadGateway, cause, 0})
	}
}

// abort closes the client's connection, so that a partial response does not appear complete. It
// panics and never returns.
func (c *clientRequest) abort() { transport.AbortResponse(c.w, c.r) }

// bufferedResponse is a response, or its first part, that is held in memory.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
	// isWhole is false if body is only the first part.
	isWhole bool
}

// relayBody relays a response that is not a stream. It reads the whole response before it sends any
// of it, so that the client never receives a truncated one. A response that is too large for the
// buffer is relayed as it arrives.
func (c *clientRequest) relayBody(a *attempt) (balance.Outcome, attemptResult) {
	buffered, err := a.readBuffered()
	if err != nil {
		return a.classifyReadError()
	}
	outcome := balance.Answered
	if buffered.isServerError() {
		outcome = balance.Failed
	}
	if !buffered.isWhole {
		return c.relayLarge(a, buffered)
	}
	if outcome == balance.Failed && c.route.Retryable() {
		c.saveFailure(a, buffered)
		return outcome, attemptMayHaveRun
	}
	c.relayBuffered(buffered)
	return outcome, attemptFinished
}

// saveFailure keeps a failure response of a server in case that no retry succeeds.
func (c *clientRequest) saveFailure(a *attempt, response *bufferedResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.savedFailureHeld.Release()
	c.savedFailure = response
	a.held.MoveTo(&c.savedFailureHeld)
}

// releaseFailure releases the saved failure response.
func (c *clientRequest) releaseFailure() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.savedFailureHeld.Release()
}

// relayBuffered sends a buffered response of a server to the client.
func (c *clientRequest) relayBuffered(response *bufferedResponse) {
	c.sendBuffered(response, responseOutcome(response.status))
}

// sendBuffered sends a buffered response to the client, and records the outcome if the client
// receives it.
func (c *clientRequest) sendBuffered(response *bufferedResponse, outcome string) {
	c.server.Codec.CopyResponseHeader(c.w.Header(), response.header)
	c.w.Header().Set("Content-Length", strconv.Itoa(len(response.body)))
	c.w.WriteHeader(response.status)
	if _, err := c.w.Write(response.body); err != nil {
		outcome = "caller_left"
	}
	c.recordResult(response.status, outcome)
	c.clearDeadline()
}

// clientWriter is a writer to the client that keeps its first error.
type clientWriter struct {
	io.Writer
	err error
}

// Write implements io.Writer.
func (w *clientWriter) Write(p []byte) (int, error) {
	n, err := w.Writer.Write(p)
	if w.err == nil {
		w.err = err
	}
	return n, err
}

// relayLarge relays a response that is too large to be buffered. beginning is the part that was
// already read.
func (c *clientRequest) relayLarge(a *attempt, beginning *bufferedResponse) (balance.Outcome, attemptResult) {
	// The client gets the rest from this server, so a standby must not replace the attempt.
	if !c.standby.commitCurrent() {
		return a.classifyReadError()
	}
	response := a.response
	c.server.Codec.CopyResponseHeader(c.w.Header(), response.Header)
	if response.ContentLength >= 0 {
		c.w.Header().Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	c.w.WriteHeader(response.Status)
	c.responseStarted = true
	client := &clientWriter{Writer: c.w}
	_, err := client.Write(beginning.body)
	beginning.body = nil
	a.held.Release()
	if err == nil {
		_, err = io.Copy(client, response)
	}
	if err != nil {
		outcome, _ := a.classifyReadError()
		if client.err != nil {
			// The client, not the server, broke the connection.
			outcome = balance.Abandoned
		}
		c.server.Log.Info("response broke off after its header was sent", zap.String("id", c.metadata.Attempt), zap.Int("try", a.number),
			zap.String("server", a.choice.Server.ID), zap.Bool("client_left", client.err != nil), zap.Error(err))
		// What has arrived is delivered; an error means that the client has left. The abort discards it otherwise.
		_ = http.NewResponseController(c.w).Flush()
		c.recordResult(response.Status, "broken")
		a.readErr = err
		return outcome, attemptBrokenOff
	}
	c.recordResult(response.Status, responseOutcome(response.Status))
	c.clearDeadline()
	return balance.Answered, attemptFinished
}

// responseOutcome returns the outcome of a client request to which a server responded with the given
// status.
func responseOutcome(status int) string {
	if status/100 == 2 {
		return "served"
	}
	return "server_status"
}

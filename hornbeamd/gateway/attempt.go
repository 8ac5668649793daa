package gateway

import (
	"bufio"
	"context"
	"errors"
	"mime"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"hornbeamstep.example/hornbeamd/backend"
	"hornbeamstep.example/hornbeamd/memory"
	"hornbeamstep.example/routing/balance"
	"hornbeamstep.example/routing/metadata"
	"hornbeamstep.example/routing/routes"
)

// attempt is one attempt of a client request at one backend server. Until it is settled, the
// goroutine of a standby uses it, and others only call cancel.
type attempt struct {
	request *clientRequest
	// number counts the attempts of the request from 0.
	number int
	// choice is the chosen server; its ID is empty if no server could take the request.
	choice serverChoice
	// slot is the slot that the attempt holds if its server is brittle; nil otherwise.
	slot *heldSlot
	// query is the input for the choice of the server, with the priority that resulted from it.
	query     balance.Request
	startedAt time.Time
	// lastEventID is the ID of the last event that the client had when the attempt began.
	lastEventID string
	// isStandby is true if the attempt began beside another one.
	isStandby bool
	// ctx and cancel are nil if no server was chosen.
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *progressTimer

	// settled is closed once a standby is ready or has failed; nil for other attempts. ready is
	// true if it has a response to relay; standby.mu guards it.
	settled chan struct{}
	ready   bool
	// standbyDenied is the reason why the latest standby for this attempt was denied; standby.mu
	// guards it.
	standbyDenied string

	// sent is true if the server may have received a byte of the request, and mayHaveRun if it may
	// have run the request.
	sent, mayHaveRun bool
	// answered is true if the server has begun to answer: it has sent an event of a stream, or a
	// complete success.
	answered bool
	// err is the error of an attempt that failed before a response arrived, and readErr that of reading
	// the body of one.
	err, readErr error
	// response is nil until a response has arrived that can be relayed.
	response *backend.Response
	// reader reads the events of a stream. read is what a standby has read of the response.
	reader *bufio.Reader
	read   *readResult
	// held is the memory of the event or the response that the attempt holds.
	held memory.Reservation
	// events is the number of events received, and lastData the time of the latest one, or of the
	// start of the attempt.
	events   int
	lastData time.Time
	// viaPeer is true if the attempt goes through another router, which is the server of choice.
	// sentBefore is the number of servers that may have received the request before.
	viaPeer    bool
	sentBefore int
	// newConnection is true if an earlier attempt has lost its connection, or is silent.
	newConnection bool
	// sentByPeer is the number of servers to which the peer has sent the request, and versionAtPeer
	// the version of the server that responds. peerOutcome is empty unless the peer itself responds.
	sentByPeer                 int
	versionAtPeer, peerOutcome string
	// claimed is true once events of the attempt may be sent to the client; see claimStream.
	claimed bool
}

// readResult is the first event of a stream, or the response that is not a stream, with the error
// of reading it.
type readResult struct {
	event    event
	buffered *bufferedResponse
	err      error
}

var (
	// errReplaced is the cancellation cause of an attempt that a standby has replaced.
	errReplaced = eris.New("a standby attempt has replaced this attempt at a silent backend server")
	// errRevoked is the cancellation cause of an attempt whose event must make room for a smaller one.
	errRevoked         = eris.New("events of other requests need the memory that the event takes")
	errNoReadBudget    = eris.New("events of other requests take the memory for events")
	errFailureTooLarge = eris.New("failure response exceeds the size limit")
	// errNotNeeded is the cancellation cause of a standby that the request no longer needs.
	errNotNeeded = eris.New("the response arrived from another backend server")
)

// attemptResult determines how the router continues after an attempt.
type attemptResult uint8

const (
	// attemptFinished means that the client has received its response.
	attemptFinished attemptResult = iota
	// attemptNotRun means that nothing was sent, or that the server rejected the request before
	// running it.
	attemptNotRun
	// attemptMayHaveRun means that the attempt failed after a part of the request may have reached
	// the server.
	attemptMayHaveRun
	// attemptClientGone means that the client disconnected.
	attemptClientGone
	// attemptBrokenOff means that the response broke off after a part of it was sent to the client, and
	// that no other server can continue it.
	attemptBrokenOff
)

// chooseAttempt chooses a server that was not tried and is not in avoid, with a permit if it states
// a rate limit. The caller must call begin and later end, unless no server was chosen.
func (c *clientRequest) chooseAttempt(effort permitEffort, avoid ...string) *attempt {
	a := &attempt{request: c}
	c.mu.Lock()
	dismissed := c.dismissedServers
	c.mu.Unlock()
	switch {
	case a.chooseRelay(avoid):
	case c.server.Paths.IsLost(c.service.Name):
		// Probes find out when the path is back.
		a.choice.Reason = noPath
		return a
	default:
		a.query = c.buildQuery(time.Now(), slices.Concat(avoid, dismissed)...)
		a.choosePermitted(effort)
	}
	if a.choice.Server.ID == "" && len(dismissed) > 0 {
		a.query = c.buildQuery(time.Now(), avoid...)
		a.choosePermitted(effort)
	}
	a.startedAt = time.Now()
	a.lastData = a.startedAt
	return a
}

// begin numbers the attempt and gives it a context.
func (a *attempt) begin() {
	c := a.request
	a.ctx, a.cancel = context.WithCancelCause(c.ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	a.number, a.lastEventID = c.attempts, c.lastEventID
	c.attempts++
}

// Reasons why a request must not be sent to another server, in logs. The reasons of
// CrashTracker.rejectionReason are others.
const (
	deniedMayHaveRun  = "may_have_run"
	deniedAttempts    = "attempts"
	deniedUnreachable = "unreachable"
	deniedRetryBudget = "retry_budget"
	deniedDraining    = "draining"
)

// nextAttempt begins an attempt at another server, or returns the reason why there is none, which
// is a balance.Reason if no server was chosen. inProgress is the number of attempts in progress.
func (c *clientRequest) nextAttempt(inProgress int, avoid ...string) (a *attempt, denied string) {
	if denied = c.attemptDenialReason(inProgress); denied != "" {
		return nil, denied
	}
	if now := time.Now(); c.hasSent(inProgress) && !c.server.Upstreams.mayRetry(now, c.service.Name) {
		return nil, deniedRetryBudget
	}
	a = c.chooseAttempt(c.permitEffort(inProgress), avoid...)
	if a.choice.Server.ID == "" {
		return a, string(a.choice.Reason)
	}
	if !c.canHaveRun(inProgress) && c.isTooLate() {
		a.recordEnd(time.Now(), balance.Abandoned, 0)
		return nil, deniedDraining
	}
	// The budget is used last, so that only a retry that is sent uses it. A peer uses its own.
	if now := time.Now(); c.hasSent(inProgress) && !a.viaPeer && !c.server.Upstreams.takeRetry(now, c.service.Name) {
		a.recordEnd(now, balance.Abandoned, 0)
		return nil, deniedRetryBudget
	}
	c.mu.Lock()
	a.sentBefore = c.sentAttempts + inProgress
	a.newConnection = inProgress > 0 || c.connectionFailed
	c.mu.Unlock()
	a.begin()
	return a, ""
}

// attemptDenialReason returns why the request must not be sent to another server while the given
// number of attempts is in progress, or an empty string if it may be. These count as sent.
func (c *clientRequest) attemptDenialReason(inProgress int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.sentAttempts+inProgress >= c.route.Attempts:
		return deniedAttempts
	case c.attempts >= maxUnsentAttempts+c.route.Attempts:
		return deniedUnreachable
	}
	return c.server.Crashes.rejectionReason(time.Now(), c.suspect)
}

// hasSent reports whether the request may have reached a server.
func (c *clientRequest) hasSent(inProgress int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sentAttempts+inProgress > 0
}

// canHaveRun reports whether a server may have run the request, or may be running it.
func (c *clientRequest) canHaveRun(inProgress int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mayHaveRun || inProgress > 0
}

// tryServer makes an attempt, or continues one that was a standby, and relays the response to the
// client.
func (c *clientRequest) tryServer(a *attempt) attemptResult {
	defer a.cancel(nil)
	defer a.held.Release()
	a.timer = c.newProgressTimer(a)
	defer a.timer.stop()
	defer c.server.Upstreams.removeStream(&a.timer.stream)
	if !a.viaPeer {
		c.server.Paths.recordWaiting(c.service.Name, 1)
		defer c.server.Paths.recordWaiting(c.service.Name, -1)
	}
	c.current = a
	c.standby.setCurrent(a)
	// They are replaced unless the attempt panics, which ends it all the same.
	outcome, result := balance.Abandoned, attemptBrokenOff
	defer func() {
		a.end(outcome, result)
		c.current = nil
	}()
	if a.response == nil {
		outcome, result = a.open()
	}
	if a.response != nil {
		outcome, result = c.relay(a)
	}
	return result
}

// relay relays the response of an attempt to the client.
func (c *clientRequest) relay(a *attempt) (balance.Outcome, attemptResult) {
	defer a.response.Close()
	switch {
	case a.peerOutcome != "" && !c.responseStarted:
		return c.relayRejection(a)
	case a.isStream() && (!c.responseStarted || a.mediaType() == c.mediaType):
		return c.relayStream(a)
	case c.responseStarted:
		// Only a stream can continue the client's stream.
		return balance.Failed, attemptMayHaveRun
	}
	return c.relayBody(a)
}

// isStream reports whether the response is a stream of events.
func (a *attempt) isStream() bool {
	return a.response.Status/100 == 2 && a.request.route.Kind == routes.Streaming
}

// mediaType returns the media type of the response; empty if it states none that is valid.
func (a *attempt) mediaType() string {
	mediaType, _, err := mime.ParseMediaType(a.response.Header.Get("Content-Type"))
	if err != nil {
		return ""
	}
	return mediaType
}

// open sends the request and waits for the header of the response. It sets a.response if the
// response can be relayed, and returns how the attempt ended otherwise.
func (a *attempt) open() (balance.Outcome, attemptResult) {
	c := a.request
	if a.viaPeer {
		return a.openRelay()
	}
	response, err := c.server.Pool.Do(a.ctx, a.backendRequest())
	if err != nil {
		return a.classifyRequestError(err)
	}
	a.sent = true
	c.server.Paths.recordData(c.service.Name)
	a.applyNotice(response)
	a.applyLimit(response)
	a.applyBrittleness(response)
	switch {
	case response.Misdirected:
		response.Close()
		return balance.Unreachable, attemptNotRun
	case response.NotRun:
		response.Close()
		return balance.Refused, attemptNotRun
	}
	a.mayHaveRun = true
	// A success without the server's signature and the attempt ID is not relayed.
	if response.Status/100 == 2 && (!response.Signed || response.Attempt != c.metadata.Attempt) {
		response.Close()
		return balance.Broken, attemptMayHaveRun
	}
	a.response = response
	if !a.isStream() {
		c.server.Upstreams.recordResponseStart(a.query, time.Since(a.startedAt))
	}
	return balance.Answered, attemptFinished
}

// end records the end of the attempt.
func (a *attempt) end(outcome balance.Outcome, result attemptResult) {
	c, now := a.request, time.Now()
	a.held.Release()
	a.recordEnd(now, outcome, now.Sub(a.startedAt))
	a.recordCapacity(now, outcome)
	a.suspectCold(now, outcome)
	switch {
	case a.viaPeer:
		// The peer looks for crashes.
	case outcome == balance.Answered, outcome == balance.Failed:
		c.answered.Store(true)
		c.server.Crashes.recordResponse(c.suspect, a.choice.Server.ID)
	case a.mayHaveCrashed(outcome):
		c.server.Crashes.checkCrash(c.suspect, a.answered, a.choice.Server, c.deadline)
	case a.mayHaveRun && !c.answered.Load():
		c.server.Crashes.watchRun(c.suspect, a.answered, a.choice.Server, c.deadline)
	}
	if result == attemptFinished {
		return
	}
	c.mu.Lock()
	if errors.Is(context.Cause(a.ctx), errNotNeeded) {
		c.dismissedServers = append(c.dismissedServers, a.choice.Server.ID)
	} else {
		c.triedServers = append(c.triedServers, a.choice.Server.ID)
	}
	if a.sent {
		c.sentAttempts += max(1, a.sentByPeer)
	}
	c.connectionFailed = c.connectionFailed || outcome == balance.Broken || outcome == balance.Silent || a.err != nil
	if outcome == balance.Unreachable && !a.viaPeer {
		c.unreachable++
	}
	c.mayHaveRun = c.mayHaveRun || a.mayHaveRun
	c.mu.Unlock()
	c.server.Metrics.countFailedAttempt(outcome.String())
	if outcome == balance.Refused {
		c.server.Metrics.countRejection(a.choice.IsBrittle)
	}
	c.server.Log.Info("attempt failed", zap.String("id", c.metadata.Attempt), zap.Int("try", a.number), zap.String("server", a.choice.Server.ID),
		zap.String("version", a.version()), zap.String("resumes", c.metadata.Resumes), zap.Stringer("ending", outcome), zap.String("reason", string(a.choice.Reason)), zap.Bool("brittle", a.choice.IsBrittle), zap.Int("load", a.choice.Load),
		zap.Float64("mean", a.choice.Mean), zap.Duration("reports_age", a.choice.reportsAge), zap.Bool("may_have_run", result == attemptMayHaveRun),
		zap.Bool("standby", a.isStandby), zap.Bool("given_up", errors.Is(context.Cause(a.ctx), errReplaced)), zap.Int("events", a.events),
		zap.Duration("silent", now.Sub(a.lastData)), zap.Duration("took", now.Sub(a.startedAt)), zap.Error(a.err),
		zap.NamedError("read_error", a.readErr))
}

// recordCapacity records what the attempt shows of the room that the servers of its service have. The
// servers of engines state their load, and placement goes by that.
func (a *attempt) recordCapacity(now time.Time, outcome balance.Outcome) {
	c := a.request
	if a.viaPeer || c.service.Engine || c.route.Kind == routes.Streaming {
		return
	}
	switch {
	case outcome == balance.Answered:
		c.server.Permits.RecordAnswer(c.service.Name, now.Sub(a.startedAt))
	case outcome == balance.Refused && a.err == nil && c.server.Permits.RecordRejection(now, a.choice.Server.ID):
		c.server.Log.Warn("service is overloaded; its servers get only what they have room for", zap.String("id", c.metadata.Attempt),
			zap.String("service", c.service.Name), zap.String("server", a.choice.Server.ID), zap.Int("load", a.choice.Load), zap.Float64("mean", a.choice.Mean))
	}
}

// suspectCold records that the server may be cold when it returns, if it accepts no connection or ends
// each one without a response. One that is only overloaded responds to some requests.
func (a *attempt) suspectCold(now time.Time, outcome balance.Outcome) {
	c, id := a.request, a.choice.Server.ID
	isDown := outcome == balance.Unreachable || outcome == balance.Broken && c.server.Upstreams.isPaused(now, id)
	if a.viaPeer || !isDown || !c.server.Permits.Suspect(now, id) {
		return
	}
	c.server.Log.Info("backend server is down and may be cold when it returns", zap.String("id", c.metadata.Attempt), zap.String("server", id),
		zap.Stringer("ending", outcome))
}

// mayHaveCrashed reports whether the attempt may have ended because its server crashed. The end of
// a connection that had served other requests is no failure of the server, because servers close
// idle connections, but it may be a crash.
func (a *attempt) mayHaveCrashed(outcome balance.Outcome) bool {
	var broken *backend.Error
	return outcome == balance.Broken || outcome == balance.Abandoned && errors.As(a.err, &broken) && broken.Sent && broken.Kind == backend.Broken
}

// applyNotice applies what the chosen server states of itself in a response. It logs a notice that
// is new to this router.
func (a *attempt) applyNotice(response *backend.Response) {
	notice := balance.Notice{Leaving: response.Leaving, RetryAfter: response.RetryAfter}
	// A response of another server at the same address says nothing about the chosen one.
	if notice.IsZero() || response.Misdirected {
		return
	}
	c := a.request
	if !c.server.Upstreams.recordNotice(time.Now(), a.choice.Server, notice) {
		return
	}
	c.server.Log.Info("backend server wants no requests", zap.String("id", c.metadata.Attempt), zap.String("server", a.choice.Server.ID),
		zap.Int64("born", a.choice.Server.Born), zap.Bool("leaving", notice.Leaving), zap.Duration("retry_after", notice.RetryAfter),
		zap.Int("status", response.Status))
}

// backendRequest builds the request to the chosen server.
func (a *attempt) backendRequest() *backend.Request {
	c := a.request
	forward := metadata.Forward{
		Server: a.choice.Server.ID, Account: c.account, Priority: a.choice.Priority, Holder: a.choice.Holder.Address,
		LastEventID: a.lastEventID,
	}
	if !c.deadline.IsZero() {
		forward.TimeLeft = time.Until(c.deadline)
	}
	return &backend.Request{
		Address: a.choice.Server.Address, Method: c.r.Method, Target: c.target, Host: c.r.Host,
		Header: c.server.Codec.BuildRequestHeader(c.r.Header, forward), Body: c.body, HasBody: c.hasBody, Attempt: c.metadata.Attempt,
		AtMostOnce: !c.route.Retryable(), NewConnection: a.newConnection, MaxConnections: c.server.Upstreams.ConnectionShare(c.service.Connections),
	}
}

// isClientGone reports whether the client has disconnected.
func (c *clientRequest) isClientGone() bool { return c.r.Context().Err() != nil }

// classifyRequestError classifies an attempt that failed before response headers arrived.
func (a *attempt) classifyRequestError(err *backend.Error) (balance.Outcome, attemptResult) {
	a.err = err
	a.sent, a.mayHaveRun = err.Sent, err.Sent
	result := attemptNotRun
	if err.Sent {
		result = attemptMayHaveRun
	}
	switch {
	case a.request.isClientGone() && a.ctx.Err() == nil && err.Sent && err.Kind == backend.Broken:
		// The request is on trial.
		return balance.Broken, attemptClientGone
	case a.request.isClientGone():
		return balance.Abandoned, attemptClientGone
	case errors.Is(context.Cause(a.ctx), errNotNeeded), a.request.isEnded():
		return balance.Abandoned, result
	case err.Kind == backend.ContextDone:
		// A standby has replaced the attempt, or the request's deadline has passed, without a
		// response from the server.
		return balance.Silent, result
	case err.Kind == backend.ConnectionLimit:
		// This router's own limit says nothing about the health of the server.
		return balance.Abandoned, result
	case err.Kind == backend.Unreachable:
		return balance.Unreachable, result
	case err.Reused:
		// A closed idle connection says little about the health of the server.
		return balance.Abandoned, result
	}
	return balance.Broken, result
}

// classifyReadError classifies an attempt whose response ended before it was complete.
func (a *attempt) classifyReadError() (balance.Outcome, attemptResult) {
	switch {
	case a.request.isClientGone() && a.ctx.Err() == nil:
		// The request is on trial.
		return balance.Broken, attemptClientGone
	case a.request.isClientGone():
		return balance.Abandoned, attemptClientGone
	case errors.Is(context.Cause(a.ctx), errReplaced):
		return balance.Silent, attemptMayHaveRun
	case errors.Is(context.Cause(a.ctx), errRevoked):
		return balance.Broken, attemptMayHaveRun
	case a.ctx.Err() != nil:
		return balance.Abandoned, attemptMayHaveRun
	}
	return balance.Broken, attemptMayHaveRun
}

// readBuffered reads a response that is not a stream, up to one byte more than maxBufferedBytes, or
// as much as there is room for. A longer one must be a success, because servers in trouble may send
// failures that do not end.
func (a *attempt) readBuffered() (*bufferedResponse, error) {
	if a.read != nil {
		return a.read.buffered, a.read.err
	}
	a.held.Account = a.request.server.bodyBudget
	body, isWhole, err := memory.ReadUpTo(a.response, maxBufferedBytes+1, a.response.ContentLength, a.held.Grow)
	switch isSuccess := a.response.Status/100 == 2; {
	case err == nil && isSuccess:
		a.recordAnswer()
	case err == nil && !isWhole:
		err = errFailureTooLarge
	}
	a.readErr = err
	return &bufferedResponse{a.response.Status, a.response.Header, body, isWhole}, err
}

// nextEvent returns the next event of a stream, like readEvent.
func (a *attempt) nextEvent() (event, error) {
	if read := a.read; read != nil {
		a.read = nil
		return read.event, read.err
	}
	if a.reader == nil {
		a.reader = bufio.NewReaderSize(a.response, streamBufferBytes)
	}
	a.held.Release()
	a.held.Account, a.held.Revoke = a.request.server.eventBudget, func() { a.cancel(errRevoked) }
	e, err := readEvent(a.reader, &a.held)
	if !a.held.Pin() {
		err = errRevoked
	}
	a.readErr = err
	if err == nil {
		a.recordAnswer()
		if !a.viaPeer {
			a.request.server.Paths.recordData(a.request.service.Name)
		}
		a.events++
		a.lastData = time.Now()
	}
	return e, err
}

// recordAnswer records that the server has begun to answer.
func (a *attempt) recordAnswer() {
	if a.answered {
		return
	}
	a.answered = true
	a.request.server.Crashes.recordAnswer(time.Now(), a.request.suspect)
}

// isServerError reports whether the response is a failure of the server.
func (b *bufferedResponse) isServerError() bool { return b.status >= http.StatusInternalServerError }

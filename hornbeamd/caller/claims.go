package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"hornbeamstep.example/routing/outcome"
	"hornbeamstep.example/timeline"
)

const (
	idempotencyKeyHeader = "Idempotency-Key"
	// finishTimeout is the timeout for storing the final state of a claim. A claim without a final
	// state becomes unknown at its deadline.
	finishTimeout = 10 * time.Second
	// claimMargin is the time from a request's deadline to the deadline of its claim. It keeps the
	// claim from becoming unknown while the response is still being sent.
	claimMargin = 15 * time.Second
)

// storedResponse is a response that is stored with a claim.
type storedResponse struct {
	Status int    `json:"status"`
	Type   string `json:"type"`
	Body   []byte `json:"body"`
}

// responseRecorder records a response. It discards a response of more than maxBytes and sets
// overLimit. The zero value records nothing.
type responseRecorder struct {
	maxBytes int
	// status is the HTTP status of the response; 0 stands for 200.
	status    int
	body      []byte
	overLimit bool
}

func (r *responseRecorder) add(part []byte) {
	if r.maxBytes == 0 || r.overLimit {
		return
	}
	if len(r.body)+len(part) > r.maxBytes {
		r.overLimit, r.body = true, nil
		return
	}
	r.body = append(r.body, part...)
}

// withClaim runs a request. If the request has an idempotency key, withClaim first claims the key
// and runs the request only if the claim is new. serviceChecksKey is true if the service itself
// refuses a second call with the same key; the request then also runs while claims are unavailable.
func (c *call) withClaim(service string, serviceChecksKey bool, run func() *outcome.Error) *outcome.Error {
	key := c.r.Header.Get(idempotencyKeyHeader)
	if key == "" {
		return run()
	}
	if len(key) > maxNameBytes {
		return asOutcomeError(errMalformed("the idempotency key is longer than "+strconv.Itoa(maxNameBytes)+" bytes", nil))
	}
	c.atMostOnce = true
	c.recorder.maxBytes = c.server.options.MaxStoredResponse
	claim, err := c.server.dispatcher.Claim(c.r.Context(), ClaimKey{
		Account: c.account.Name, Key: key, Service: service, Fingerprint: c.slotRequest.Fingerprint,
		Deadline: c.slotRequest.Deadline.Add(claimMargin),
	})
	if err != nil {
		e := asOutcomeError(err)
		if serviceChecksKey && e.Code == outcome.ClaimUnavailable {
			return run()
		}
		return e
	}
	if !claim.MayRun {
		return c.respondDuplicate(claim)
	}
	c.recordEvent(timeline.Claimed, "", "claimed under an idempotency key")
	state := StateUnknown
	var response []byte
	// After a panic the state stays unknown, since the request may have run.
	defer func() { c.finishClaim(claim, state, response) }()
	e := run()
	state, response = c.claimResult(e)
	return e
}

// claimResult returns the final state of a claim and the response to store with it.
func (c *call) claimResult(e *outcome.Error) (string, []byte) {
	switch {
	case e == nil && !c.recorder.overLimit:
		response, err := json.Marshal(storedResponse{
			Status: orDefault(c.recorder.status, http.StatusOK), Type: c.w.Header().Get("Content-Type"), Body: c.recorder.body,
		})
		if err != nil {
			return StateDone, nil
		}
		return StateDone, response
	case e == nil, e.Outcome == outcome.Ran:
		return StateDone, nil
	case e.Outcome == outcome.NotRun:
		return StateReleased, nil
	}
	return StateUnknown, nil
}

// finishClaim stores the final state of a claim in the background, so that the response is not
// delayed. It is counted in the gate, so that Drain waits for it.
func (c *call) finishClaim(claim Claim, state string, response []byte) {
	c.server.gate.add()
	go func() {
		defer c.server.gate.leave()
		ctx, cancel := detachedContext(finishTimeout)
		defer cancel()
		if err := c.server.dispatcher.FinishClaim(ctx, claim, state, response); err != nil {
			c.server.metrics.unfinishedClaims.Inc()
		}
	}()
}

// respondDuplicate responds to a request whose idempotency key was claimed before. It sends the
// stored response if there is one. Otherwise it returns an error that tells the state of the claim,
// or that the key was used for a different request.
func (c *call) respondDuplicate(claim Claim) *outcome.Error {
	if claim.Fingerprint != c.slotRequest.Fingerprint {
		return newRefusal(outcome.IdempotencyKeyReused, http.StatusUnprocessableEntity,
			"the idempotency key was used for another request", "use a new key for each request")
	}
	e := &outcome.Error{Status: http.StatusConflict}
	switch claim.State {
	case StateClaimed:
		e.Code, e.Outcome, e.RetryAfter = outcome.InProgress, outcome.Unknown, time.Second
		e.Message, e.Remedy = "the request with this key is in progress", "send it again after the time given"
	case StateDone:
		var response storedResponse
		if len(claim.Response) > 0 && json.Unmarshal(claim.Response, &response) == nil {
			return c.replay(response)
		}
		e.Code, e.Outcome = outcome.AlreadyRan, outcome.Ran
		e.Message, e.Remedy = "the request with this key ran, and its answer was not kept",
			"look up the result; do not send the request under a new key"
	default:
		e.Code, e.Outcome = outcome.MayHaveRun, outcome.Unknown
		e.Message, e.Remedy = "the request with this key may have run",
			"find out whether it took effect before sending it under a new key"
	}
	return e
}

// replay sends a stored response and marks it with the header Idempotent-Replay.
func (c *call) replay(response storedResponse) *outcome.Error {
	c.w.Header().Set("Idempotent-Replay", "true")
	return c.respond(response.Status, response.Type, response.Body)
}

// respond sends a complete response.
func (c *call) respond(status int, contentType string, body []byte) *outcome.Error {
	c.recorder.add(body)
	c.headerSent = true
	header := c.w.Header()
	header.Set("Content-Type", contentType)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	_ = c.controller.SetWriteDeadline(time.Now().Add(c.server.options.WriteTimeout))
	c.w.WriteHeader(status)
	// A write error is ignored: the request ran, and a caller that has disconnected can send it again
	// with its idempotency key.
	if _, err := c.w.Write(body); err == nil {
		_ = c.controller.Flush()
	}
	return nil
}

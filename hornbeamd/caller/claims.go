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
	headerKey = "Idempotency-Key"
	// finishTime bounds the end of a claim; a claim that is not ended reads as unknown after its deadline.
	finishTime = 10 * time.Second
	// claimMargin is added to a request's deadline for the deadline of its claim, so that the claim does not read as unknown
	// while the answer is on its way.
	claimMargin = 15 * time.Second
)

// kept is an answer that is kept with a claim.
type kept struct {
	Status int    `json:"status"`
	Type   string `json:"type"`
	Body   []byte `json:"body"`
}

// keeper gathers an answer while it is small enough to be kept. The zero value gathers nothing.
type keeper struct {
	limit int
	// status is the status of the answer; 0 stands for 200.
	status int
	body   []byte
	over   bool
}

func (k *keeper) add(part []byte) {
	if k.limit == 0 || k.over {
		return
	}
	if len(k.body)+len(part) > k.limit {
		k.over, k.body = true, nil
		return
	}
	k.body = append(k.body, part...)
}

// claimed runs a request under a claim if the caller gave an idempotency key. With needed a request without a key is
// refused. checks is true if the service itself refuses a second call with the same key.
func (c *call) claimed(service string, checks bool, run func() *outcome.Error) *outcome.Error {
	key := c.r.Header.Get(headerKey)
	if key == "" {
		return run()
	}
	if len(key) > maxName {
		return asOutcome(errMalformed("the idempotency key is longer than "+strconv.Itoa(maxName)+" bytes", nil))
	}
	c.once = true
	c.keep.limit = c.s.options.Keep
	claim, err := c.s.dispatcher.Claim(c.r.Context(), ClaimKey{
		Account: c.account.Name, Key: key, Service: service, Fingerprint: c.ask.Fingerprint,
		Deadline: c.ask.Deadline.Add(claimMargin),
	})
	if err != nil {
		e := asOutcome(err)
		if checks && e.Code == outcome.ClaimUnavailable {
			return run()
		}
		return e
	}
	if !claim.Won {
		return c.resent(claim)
	}
	c.record(timeline.Claimed, "", "claimed under an idempotency key")
	state := StateUnknown
	var answer []byte
	// A panic in between leaves the claim unknown, which is true.
	defer func() { c.finishClaim(claim, state, answer) }()
	e := run()
	state, answer = c.verdict(e)
	return e
}

// verdict returns the state that a claim ends in, and the answer to keep.
func (c *call) verdict(e *outcome.Error) (string, []byte) {
	switch {
	case e == nil && !c.keep.over:
		answer, err := json.Marshal(kept{
			Status: or(c.keep.status, http.StatusOK), Type: c.w.Header().Get("Content-Type"), Body: c.keep.body,
		})
		if err != nil {
			return StateDone, nil
		}
		return StateDone, answer
	case e == nil, e.Outcome == outcome.Ran:
		return StateDone, nil
	case e.Outcome == outcome.NotRun:
		return StateReleased, nil
	}
	return StateUnknown, nil
}

// finishClaim ends a claim while the caller already has the answer. Drain waits for it.
func (c *call) finishClaim(claim Claim, state string, answer []byte) {
	c.s.gate.join()
	go func() {
		defer c.s.gate.leave()
		ctx, cancel := background(finishTime)
		defer cancel()
		if err := c.s.dispatcher.Finish(ctx, claim, state, answer); err != nil {
			c.s.metrics.unfinished.Inc()
		}
	}()
}

// resent answers a request whose key was taken before: with the answer that was kept, or with what is known.
func (c *call) resent(claim Claim) *outcome.Error {
	if claim.Fingerprint != c.ask.Fingerprint {
		return refuse(outcome.KeyReused, http.StatusUnprocessableEntity,
			"the idempotency key was used for another request", "use a new key for each request")
	}
	e := &outcome.Error{Status: http.StatusConflict}
	switch claim.State {
	case StateClaimed:
		e.Code, e.Outcome, e.RetryAfter = outcome.InProgress, outcome.Unknown, time.Second
		e.Message, e.Remedy = "the request with this key is in progress", "send it again after the time given"
	case StateDone:
		var answer kept
		if len(claim.Answer) > 0 && json.Unmarshal(claim.Answer, &answer) == nil {
			return c.replay(answer)
		}
		e.Code, e.Outcome = outcome.AlreadyRan, outcome.Ran
		e.Message, e.Remedy = "the request with this key ran, and its answer was not kept", "look up the result; do not send the request under a new key"
	default:
		e.Code, e.Outcome = outcome.MayHaveRun, outcome.Unknown
		e.Message, e.Remedy = "the request with this key may have run", "find out whether it took effect before sending it under a new key"
	}
	return e
}

// replay sends an answer that was kept.
func (c *call) replay(answer kept) *outcome.Error {
	c.w.Header().Set("Idempotent-Replay", "true")
	return c.reply(answer.Status, answer.Type, answer.Body)
}

// reply sends a whole answer.
func (c *call) reply(status int, kind string, body []byte) *outcome.Error {
	c.keep.add(body)
	c.replied = true
	h := c.w.Header()
	h.Set("Content-Type", kind)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	_ = c.control.SetWriteDeadline(time.Now().Add(c.s.options.Write))
	c.w.WriteHeader(status)
	// A caller that left can ask again under its key.
	if _, err := c.w.Write(body); err == nil {
		_ = c.control.Flush()
	}
	return nil
}

package caller

import (
	"context"
	"errors"
	"time"

	"github.com/tidwall/gjson"

	"hornbeamstep.example/hornbeamd/engine"
	"hornbeamstep.example/hornbeamd/exchange"
	"hornbeamstep.example/routing/outcome"
)

// cancelTime bounds the order to cancel an attempt.
const cancelTime = 2 * time.Second

// sink takes the chunks of an answer on the way to the caller.
type sink interface {
	// chunk takes one chunk; more is true if the next one has already arrived.
	chunk(ch engine.Chunk, more bool) error
	// end takes the explicit end.
	end() error
}

// chat is POST /v1/chat/completions.
func (c *call) chat() *outcome.Error {
	c.kind = "chat"
	if e := c.enter(); e != nil {
		return e
	}
	defer c.s.gate.leave()
	body, err := c.readBody()
	if err != nil {
		return asOutcome(err)
	}
	q, err := parseChat(body)
	if err != nil {
		return asOutcome(err)
	}
	if _, err = findModel(c.policy, c.account, q.model, q.adapter); err != nil {
		return asOutcome(err)
	}
	c.newAsk(body)
	if c.ask.Chat, err = chatName(c.r, q); err != nil {
		return asOutcome(err)
	}
	c.ask.Model, c.ask.Adapter = q.model, q.adapter
	c.ask.Context = int(q.context)
	c.ask.Cost = int64(len(body))/bytesPerToken + q.tokens
	return c.claimed("", false, func() *outcome.Error {
		if q.stream {
			return c.streamed(q)
		}
		return c.gathered(q)
	})
}

// streamed answers with a stream.
func (c *call) streamed(q chatRequest) *outcome.Error {
	relay := newRelay(c, q.usage)
	defer relay.close()
	e := c.run(c.engineAttempt(q, relay))
	if e == nil {
		return nil
	}
	if c.delivered {
		e.Outcome, e.Code = outcome.Ran, outcome.Interrupted
	}
	relay.fail(e)
	return e
}

// gathered answers in one piece.
func (c *call) gathered(q chatRequest) *outcome.Error {
	var whole *assembly
	e := c.run(func(ctx context.Context, g Grant, id string) (Result, *exchange.Error) {
		// Each attempt starts afresh: parts of two generations are never put together.
		whole = newAssembly(c.s.options.Answer)
		return c.engineAttempt(q, whole)(ctx, g, id)
	})
	if e != nil {
		return e
	}
	data, err := whole.encode()
	if err != nil {
		return &outcome.Error{
			Code: outcome.ProtocolError, Outcome: outcome.Ran, Status: 502, Cause: err,
			Message: "the engine's answer could not be put together", Remedy: "send the request again",
		}
	}
	return c.reply(200, "application/json", data)
}

// engineAttempt returns the attempt that relays an engine's stream to a sink.
func (c *call) engineAttempt(q chatRequest, to sink) attempt {
	return func(ctx context.Context, g Grant, id string) (Result, *exchange.Error) {
		client := c.s.engines.get(g, c.policy)
		a := engine.Attempt{ID: id, Chat: c.ask.Chat, Class: c.ask.Class, Deadline: c.ask.Deadline, Body: q.body}
		stream := newResumed(ctx, client, a, c.s.options.Resumes)
		defer stream.close()
		c.s.metrics.streams.Inc()
		defer c.s.metrics.streams.Dec()
		result, failure := c.relay(stream, to)
		result.Resumes = stream.resumes
		c.s.metrics.resumes.Add(float64(stream.resumes))
		if failure != nil && failure.Sent && failure.Kind != exchange.Refused {
			go cancelAttempt(client, id)
		}
		return result, failure
	}
}

// cancelAttempt frees the engine of an attempt whose answer nobody awaits. An engine that is lost needs no answer.
func cancelAttempt(client engine.Client, id string) {
	ctx, cancel := background(cancelTime)
	defer cancel()
	_ = client.Cancel(ctx, id)
}

// relay passes on an engine's answer. It takes the next chunk only when the caller has taken the one before.
func (c *call) relay(from *resumed, to sink) (Result, *exchange.Error) {
	result := Result{Ending: EndedOK}
	begin := time.Now()
	for {
		asked := time.Now()
		chunk, err := from.next()
		if result.Tokens > 0 {
			result.Paced += time.Since(asked)
		}
		if errors.Is(err, engine.ErrEnd) {
			if err = to.end(); err != nil {
				return result, callerGone(err)
			}
			return result, nil
		}
		if err != nil {
			return result, asExchange(err)
		}
		if usage := gjson.GetBytes(chunk.Data, "usage"); usage.IsObject() {
			result.Prompt = int(usage.Get("prompt_tokens").Int())
			result.Cached = int(usage.Get("prompt_tokens_details.cached_tokens").Int())
			result.Completion = int(usage.Get("completion_tokens").Int())
		}
		if result.Tokens == 0 {
			result.First = time.Since(begin)
			c.s.metrics.first.Observe(time.Since(c.started).Seconds())
		}
		result.Tokens++
		c.s.metrics.tokens.Inc()
		if err := to.chunk(chunk, from.buffered()); err != nil {
			return result, sinkFailure(err)
		}
	}
}

// sinkFailure returns the failure for a chunk that was not taken: an answer that cannot be put together is the engine's, all
// else the caller's.
func sinkFailure(err error) *exchange.Error {
	var failure *exchange.Error
	if errors.As(err, &failure) {
		return failure
	}
	return callerGone(err)
}

// callerGone is the failure for a caller that left or is too slow; the engine is not at fault.
func callerGone(cause error) *exchange.Error {
	return &exchange.Error{Kind: exchange.Cancelled, Sent: true, Cause: cause}
}

func asExchange(err error) *exchange.Error {
	var failure *exchange.Error
	if errors.As(err, &failure) {
		return failure
	}
	return &exchange.Error{Kind: exchange.Broken, Sent: true, Cause: err}
}

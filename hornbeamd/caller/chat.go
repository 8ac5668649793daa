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

// cancelTimeout is the timeout of the HTTP request that cancels an attempt on an engine.
const cancelTimeout = 2 * time.Second

// chunkSink receives the chunks of an engine's response.
type chunkSink interface {
	// writeChunk receives one chunk; moreBuffered is true if the next one has already arrived from
	// the engine.
	writeChunk(chunk engine.Chunk, moreBuffered bool) error
	// finish is called when the engine has sent the end of the stream.
	finish() error
}

// chat handles POST /v1/chat/completions.
func (c *call) chat() *outcome.Error {
	c.kind = "chat"
	if e := c.authenticateAndEnter(); e != nil {
		return e
	}
	defer c.server.gate.leave()
	body, err := c.readBody()
	if err != nil {
		return asOutcomeError(err)
	}
	req, err := parseChat(body)
	if err != nil {
		return asOutcomeError(err)
	}
	if _, err = findModel(c.policy, c.account, req.model, req.adapter); err != nil {
		return asOutcomeError(err)
	}
	c.initSlotRequest(body)
	if c.slotRequest.Chat, err = chatID(c.r, req); err != nil {
		return asOutcomeError(err)
	}
	c.slotRequest.Parts = req.parts
	c.slotRequest.Model, c.slotRequest.Adapter = req.model, req.adapter
	c.slotRequest.ContextTokens = int(req.contextTokens)
	c.slotRequest.Cost = int64(len(body))/bytesPerToken + req.maxTokens
	return c.withClaim("", false, func() *outcome.Error {
		if req.stream {
			return c.streamResponse(req)
		}
		return c.bufferResponse(req)
	})
}

// streamResponse sends the response as a stream of server-sent events.
func (c *call) streamResponse(req chatRequest) *outcome.Error {
	events := newEventStream(c, req.includeUsage)
	defer events.close()
	e := c.runAttempts(c.engineAttempt(req, events))
	if e == nil {
		return nil
	}
	if c.contentSent {
		// The caller has received a part of the response, so the request certainly ran.
		e.Outcome, e.Code = outcome.Ran, outcome.Interrupted
	}
	events.fail(e)
	return e
}

// bufferResponse assembles the chunks in memory and sends the response in one piece.
func (c *call) bufferResponse(req chatRequest) *outcome.Error {
	var assembler *completionAssembler
	e := c.runAttempts(func(ctx context.Context, g Grant, id string) (Result, *exchange.Error) {
		// Each attempt gets a new assembler, so that a response never mixes parts of two
		// generations.
		assembler = newCompletionAssembler(c.server.options.MaxBufferedCompletion)
		return c.engineAttempt(req, assembler)(ctx, g, id)
	})
	if e != nil {
		return e
	}
	data, err := assembler.encode()
	if err != nil {
		return &outcome.Error{
			Code: outcome.ProtocolError, Outcome: outcome.Ran, Status: 502, Cause: err,
			Message: "the engine's answer could not be put together", Remedy: "send the request again",
		}
	}
	return c.respond(200, "application/json", data)
}

// engineAttempt returns an attemptFunc that sends the request to an engine and relays the engine's
// stream to a sink. After a failure it cancels an attempt that may still run on the engine.
func (c *call) engineAttempt(req chatRequest, sink chunkSink) attemptFunc {
	return func(ctx context.Context, g Grant, id string) (Result, *exchange.Error) {
		client := c.server.engines.get(g, c.policy)
		attempt := engine.Attempt{ID: id, Chat: c.slotRequest.Chat, Class: c.slotRequest.Class, Deadline: c.slotRequest.Deadline, Body: req.body}
		stream := newResumableStream(ctx, client, attempt, c.server.options.MaxResumes)
		defer stream.close()
		c.server.metrics.streams.Inc()
		defer c.server.metrics.streams.Dec()
		result, failure := c.relayChunks(stream, sink)
		result.Resumes = stream.resumes
		c.server.metrics.resumes.Add(float64(stream.resumes))
		if failure != nil && failure.Sent && failure.Kind != exchange.Refused {
			go cancelAttempt(client, id)
		}
		return result, failure
	}
}

// cancelAttempt asks the engine to stop generating a response that is no longer needed. It ignores
// errors: a crashed engine needs no cancellation, and one that is unreachable cannot be asked.
func cancelAttempt(client engine.Client, id string) {
	ctx, cancel := detachedContext(cancelTimeout)
	defer cancel()
	_ = client.Cancel(ctx, id)
}

// relayChunks copies an engine's stream to a sink. It reads the next chunk only after the sink has
// accepted the previous one. Each chunk counts as one token in the result and in the metrics. If the caller
// leaves during a trial, it reads on without a sink.
func (c *call) relayChunks(stream *resumableStream, sink chunkSink) (Result, *exchange.Error) {
	result := Result{Ending: EndedOK}
	var callerGone *exchange.Error
	start := time.Now()
	for {
		waitStart := time.Now()
		chunk, err := stream.next()
		if result.Tokens > 0 {
			result.TokenWait += time.Since(waitStart)
		}
		if errors.Is(err, engine.ErrStreamComplete) {
			result.Answered = true
			if callerGone != nil {
				return result, callerGone
			}
			if err = sink.finish(); err != nil {
				return result, callerFailure(err)
			}
			return result, nil
		}
		if err != nil {
			return result, asExchangeError(err)
		}
		if usage := gjson.GetBytes(chunk.Data, "usage"); usage.IsObject() {
			result.PromptTokens = int(usage.Get("prompt_tokens").Int())
			result.CachedTokens = int(usage.Get("prompt_tokens_details.cached_tokens").Int())
			result.CompletionTokens = int(usage.Get("completion_tokens").Int())
		}
		if result.Tokens == 0 {
			c.server.dispatcher.RecordAnswer(c.slotRequest.Model, c.slotRequest.Parts)
			result.TimeToFirstToken = time.Since(start)
			c.server.metrics.firstToken.Observe(time.Since(c.started).Seconds())
		}
		result.Tokens++
		c.server.metrics.tokens.Inc()
		if callerGone != nil {
			continue
		}
		if err := sink.writeChunk(chunk, stream.buffered()); err != nil {
			callerGone = sinkFailure(err)
			if !c.onTrial || callerGone.Kind != exchange.Cancelled {
				return result, callerGone
			}
		}
	}
}

// sinkFailure converts an error of chunkSink.writeChunk. A sink returns an *exchange.Error if the
// engine's response is invalid or too large; any other error is a failed write to the caller.
func sinkFailure(err error) *exchange.Error {
	var failure *exchange.Error
	if errors.As(err, &failure) {
		return failure
	}
	return callerFailure(err)
}

// callerFailure returns the failure for a write to a caller that disconnected or reads too slowly.
// Its kind is Cancelled, so it does not count against the backend server.
func callerFailure(cause error) *exchange.Error {
	return &exchange.Error{Kind: exchange.Cancelled, Sent: true, Cause: cause}
}

// asExchangeError returns the *exchange.Error in an error's chain. An error without one is treated
// as a broken connection.
func asExchangeError(err error) *exchange.Error {
	var failure *exchange.Error
	if errors.As(err, &failure) {
		return failure
	}
	return &exchange.Error{Kind: exchange.Broken, Sent: true, Cause: err}
}

package caller

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"hornbeamstep.example/hornbeamd/exchange"
	"hornbeamstep.example/hornbeamd/service"
	"hornbeamstep.example/policy"
	"hornbeamstep.example/routing/outcome"
)

// relayBufferBytes is the buffer size for relaying a large response.
const relayBufferBytes = 32 << 10

// service handles all methods of /v1/services/{name}/{path}.
func (c *call) service() *outcome.Error {
	c.kind = "service"
	if e := c.authenticateAndEnter(); e != nil {
		return e
	}
	defer c.server.gate.leave()
	name, target, err := serviceTarget(c.r)
	if err != nil {
		return asOutcomeError(err)
	}
	svc, err := findService(c.policy, c.account, name)
	if err != nil {
		return asOutcomeError(err)
	}
	body, err := c.readBody()
	if err != nil {
		return asOutcomeError(err)
	}
	c.initSlotRequest(body)
	c.slotRequest.Service = name
	if svc.Timeout > 0 {
		c.slotRequest.Deadline = c.started.Add(svc.Timeout)
	}
	if !svc.Retryable {
		c.atMostOnce = true
		if c.r.Header.Get(idempotencyKeyHeader) == "" {
			return newRefusal(outcome.IdempotencyKeyMissing, http.StatusBadRequest, "calls of the service "+name+" need an idempotency key",
				"send the header Idempotency-Key with a value of its own for each request")
		}
	}
	return c.withClaim(name, svc.Deduplicates, func() *outcome.Error {
		return c.runAttempts(c.serviceAttempt(svc, target, body))
	})
}

// serviceTarget returns the name of the service, and the request target (path and query) for it.
func serviceTarget(r *http.Request) (name, target string, err error) {
	trimmed := strings.TrimPrefix(r.URL.EscapedPath(), servicesPath+"/")
	name, path, _ := strings.Cut(trimmed, "/")
	if name == "" {
		return "", "", errNotFound(r.URL.Path)
	}
	for segment := range strings.SplitSeq(r.URL.Path, "/") {
		if segment == ".." || segment == "." {
			return "", "", errMalformed("the path has relative parts", nil)
		}
	}
	target = "/" + path
	if r.URL.RawQuery != "" {
		target += "?" + r.URL.RawQuery
	}
	return name, target, nil
}

// serviceAttempt returns the function that makes an attempt on a replica of a service and relays
// its response.
func (c *call) serviceAttempt(svc policy.Service, target string, body []byte) attemptFunc {
	return func(ctx context.Context, g Grant, id string) (Result, *exchange.Error) {
		client := c.server.services.get(g, c.policy)
		start := time.Now()
		response, failure := client.Call(ctx, service.Request{
			Attempt: id, Method: c.r.Method, Target: target, Header: c.r.Header, Body: body, AtMostOnce: c.atMostOnce, Class: c.slotRequest.Class,
		})
		// A plain service has no tokens; the time to the response header is reported instead.
		result := Result{Ending: EndedOK, TimeToFirstToken: time.Since(start)}
		if failure != nil {
			return result, failure
		}
		defer response.Close()
		if !c.atMostOnce && retryable(response.Status) && c.attempts < c.server.options.MaxAttempts {
			return result, &exchange.Error{Kind: exchange.Rejected, Sent: true, Status: response.Status}
		}
		result.Answered, failure = c.relayResponse(ctx, response)
		return result, failure
	}
}

// retryable reports whether a status is attributed to the replica rather than to the request, so
// that an attempt on another replica may succeed.
func retryable(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// mayHaveBody reports whether responses with a status may have a body, and therefore a
// Content-Length.
func mayHaveBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// relayResponse sends a service's response to the caller. A response of at most
// Options.ServiceResponseBuffer bytes is received completely before its header is sent, so that the
// caller never receives it truncated. A longer response or an event stream is relayed while it
// arrives; if it is truncated, the caller's connection is closed. It reports whether the response was
// received completely, which it may be although the caller has left.
func (c *call) relayResponse(ctx context.Context, response *service.Response) (answered bool, failure *exchange.Error) {
	var buffered bytes.Buffer
	limit := int64(c.server.options.ServiceResponseBuffer) + 1
	if response.IsEventStream {
		limit = 1
	}
	_, err := io.CopyN(&buffered, response.Body, limit)
	if err != nil && !errors.Is(err, io.EOF) {
		return false, exchange.NewError(ctx, err, true)
	}
	complete := errors.Is(err, io.EOF)
	header := c.w.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	if complete && response.Length < 0 && c.r.Method != http.MethodHead {
		response.Length = int64(buffered.Len())
	}
	if response.Length >= 0 && mayHaveBody(response.Status) {
		header.Set("Content-Length", strconv.FormatInt(response.Length, 10))
	}
	c.headerSent, c.contentSent = true, true
	_ = c.controller.SetWriteDeadline(time.Now().Add(c.server.options.WriteTimeout))
	c.w.WriteHeader(response.Status)
	c.recorder.status = response.Status
	c.recorder.add(buffered.Bytes())
	if !complete {
		c.recorder.overLimit = true
	}
	if _, err = c.w.Write(buffered.Bytes()); err != nil {
		return complete, callerFailure(err)
	}
	c.server.metrics.serviceBytes.Add(float64(buffered.Len()))
	if complete {
		if err = c.controller.Flush(); err != nil {
			return true, callerFailure(err)
		}
		return true, nil
	}
	// The request cannot be repeated from here on, so a silent replica is better than none.
	response.DisableProgressTimeout()
	failure = c.relayBody(ctx, response.Body, response.IsEventStream)
	return failure == nil, failure
}

// relayBody relays the rest of a large response or of an event stream. Only an event stream is
// flushed after each write.
func (c *call) relayBody(ctx context.Context, body io.Reader, isEventStream bool) *exchange.Error {
	buffer := make([]byte, relayBufferBytes)
	for {
		n, err := body.Read(buffer)
		// Also needed at the end of the body: net/http sends the rest of the response when the
		// handler has returned.
		_ = c.controller.SetWriteDeadline(time.Now().Add(c.server.options.WriteTimeout))
		if n > 0 {
			if _, writeErr := c.w.Write(buffer[:n]); writeErr != nil {
				return callerFailure(writeErr)
			}
			if isEventStream {
				_ = c.controller.Flush()
			}
			c.server.metrics.serviceBytes.Add(float64(n))
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			c.abortConnection = true
			return exchange.NewError(ctx, err, true)
		}
	}
}

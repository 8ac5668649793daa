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

// relayBytes is the size of the parts in which a large answer is passed on.
const relayBytes = 32 << 10

// service is ANY /v1/services/{name}/{path}.
func (c *call) service() *outcome.Error {
	c.kind = "service"
	if e := c.enter(); e != nil {
		return e
	}
	defer c.s.gate.leave()
	name, target, err := serviceTarget(c.r)
	if err != nil {
		return asOutcome(err)
	}
	found, err := findService(c.policy, c.account, name)
	if err != nil {
		return asOutcome(err)
	}
	body, err := c.readBody()
	if err != nil {
		return asOutcome(err)
	}
	c.newAsk(body)
	c.ask.Service = name
	if found.Timeout > 0 {
		c.ask.Deadline = c.started.Add(found.Timeout)
	}
	if !found.Repeat {
		c.once = true
		if c.r.Header.Get(headerKey) == "" {
			return refuse(outcome.KeyMissing, http.StatusBadRequest, "calls of the service "+name+" need an idempotency key",
				"send the header Idempotency-Key with a value of its own for each request")
		}
	}
	return c.claimed(name, found.Checks, func() *outcome.Error {
		return c.run(c.serviceAttempt(found, target, body))
	})
}

// serviceTarget returns the name of the service and the path and query behind it.
func serviceTarget(r *http.Request) (name, target string, err error) {
	rest := strings.TrimPrefix(r.URL.EscapedPath(), servicesPath+"/")
	name, path, _ := strings.Cut(rest, "/")
	if name == "" {
		return "", "", errNotFound(r.URL.Path)
	}
	for part := range strings.SplitSeq(r.URL.Path, "/") {
		if part == ".." || part == "." {
			return "", "", errMalformed("the path has relative parts", nil)
		}
	}
	target = "/" + path
	if r.URL.RawQuery != "" {
		target += "?" + r.URL.RawQuery
	}
	return name, target, nil
}

// serviceAttempt returns the attempt that calls a service and passes on its answer.
func (c *call) serviceAttempt(p policy.Service, target string, body []byte) attempt {
	return func(ctx context.Context, g Grant, id string) (Result, *exchange.Error) {
		client := c.s.services.get(g, c.policy)
		begin := time.Now()
		answer, failure := client.Call(ctx, service.Request{
			Attempt: id, Method: c.r.Method, Target: target, Header: c.r.Header, Body: body, Once: c.once, Class: c.ask.Class,
		})
		result := Result{Ending: EndedOK, First: time.Since(begin)}
		if failure != nil {
			return result, failure
		}
		defer answer.Close()
		if !c.once && retryable(answer.Status) && c.attempts < c.s.options.Attempts {
			return result, &exchange.Error{Kind: exchange.Rejected, Sent: true, Status: answer.Status}
		}
		return result, c.passOn(ctx, answer)
	}
}

// retryable reports whether a status tells of the replica rather than of the request.
func retryable(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// hasBody reports whether answers of a status may have a body, and thus a length.
func hasBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// passOn sends a service's answer to the caller. Up to the limit it is received in full first, so that a truncated one is
// never begun. What is longer is relayed part by part, and a truncated one cuts the caller's connection.
func (c *call) passOn(ctx context.Context, answer *service.Answer) *exchange.Error {
	var first bytes.Buffer
	limit := int64(c.s.options.Buffer) + 1
	live := strings.HasPrefix(answer.Header.Get("Content-Type"), "text/event-stream")
	if live {
		limit = 1
	}
	_, err := io.CopyN(&first, answer.Body, limit)
	if err != nil && !errors.Is(err, io.EOF) {
		return exchange.Failure(ctx, err, true)
	}
	whole := errors.Is(err, io.EOF)
	h := c.w.Header()
	for name, values := range answer.Header {
		h[name] = values
	}
	if whole && answer.Length < 0 && c.r.Method != http.MethodHead {
		answer.Length = int64(first.Len())
	}
	if answer.Length >= 0 && hasBody(answer.Status) {
		h.Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	c.replied, c.delivered = true, true
	_ = c.control.SetWriteDeadline(time.Now().Add(c.s.options.Write))
	c.w.WriteHeader(answer.Status)
	c.keep.status = answer.Status
	c.keep.add(first.Bytes())
	if !whole {
		c.keep.over = true
	}
	if _, err = c.w.Write(first.Bytes()); err != nil {
		return callerGone(err)
	}
	c.s.metrics.bytes.Add(float64(first.Len()))
	if whole {
		if err = c.control.Flush(); err != nil {
			return callerGone(err)
		}
		return nil
	}
	return c.relayBody(ctx, answer.Body, live)
}

// relayBody passes on the rest of a large answer, or of a live one with each part at once.
func (c *call) relayBody(ctx context.Context, body io.Reader, live bool) *exchange.Error {
	part := make([]byte, relayBytes)
	for {
		n, err := body.Read(part)
		if n > 0 {
			_ = c.control.SetWriteDeadline(time.Now().Add(c.s.options.Write))
			if _, writeErr := c.w.Write(part[:n]); writeErr != nil {
				return callerGone(writeErr)
			}
			if live {
				_ = c.control.Flush()
			}
			c.s.metrics.bytes.Add(float64(n))
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			c.cut = true
			return exchange.Failure(ctx, err, true)
		}
	}
}

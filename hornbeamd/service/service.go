// Package service is the HTTP client of plain services: backend servers that are not model engines.
package service

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"hornbeamstep.example/hornbeamd/exchange"
	"hornbeamstep.example/policy"
)

// Options configures an HTTP client of a plain service.
type Options struct {
	exchange.Options
	// ProgressTimeout is the timeout for the response header and for each read of the response
	// body. It does not apply where no other replica can take the request over: with
	// Request.AtMostOnce, and after Response.DisableProgressTimeout. Default: 30 s.
	ProgressTimeout time.Duration
}

// Client is the client of one replica of a plain service.
type Client struct {
	client          *exchange.Client
	progressTimeout time.Duration
}

// New returns a client of the named replica at address (ip:port).
func New(name, address string, o Options) *Client {
	if o.ProgressTimeout <= 0 {
		o.ProgressTimeout = 30 * time.Second
	}
	return &Client{client: exchange.New(name, address, o.Options), progressTimeout: o.ProgressTimeout}
}

// Close closes the idle connections.
func (h *Client) Close() { h.client.Close() }

// Request is one request to a service.
type Request struct {
	// Attempt is the attempt ID, which is unique for each attempt.
	Attempt, Method string
	// Target is the path and the query of the URL.
	Target string
	// Header is the caller's header. Hop-by-hop fields and fields for the router are not forwarded.
	Header http.Header
	Body   []byte
	// AtMostOnce is true if the request must not be sent twice. Such a request uses a new
	// connection, so that net/http does not retry it.
	AtMostOnce bool
	// Class is sent as the value of the Priority header.
	Class policy.Class
}

// Response is the response to a request. It must be closed.
type Response struct {
	Status int
	// Header is the response header without hop-by-hop fields and fields for the router.
	Header http.Header
	// Length is the length of Body in bytes; negative if the service did not send Content-Length, and for
	// a stream of server-sent events, which would look complete to the caller by its length alone.
	Length int64
	// IsEventStream is true if Body is a stream of server-sent events.
	IsEventStream bool
	// Body returns io.ErrUnexpectedEOF if an event stream ends inside an event, or if one without
	// length or chunks ends before the first one.
	Body    io.Reader
	timeout *timeoutReader
	close   func()
}

// DisableProgressTimeout lets further reads of Body wait until the deadline of the request. It must
// not be called during a read.
func (a *Response) DisableProgressTimeout() { a.timeout.disabled = true }

// Close releases the response. The connection is reused only if Body was read to its end.
func (a *Response) Close() { a.close() }

// Call sends one request. It returns an error for a refusal, and for a response that belongs to
// another attempt.
func (h *Client) Call(ctx context.Context, req Request) (*Response, *exchange.Error) {
	ctx, cancel := context.WithCancelCause(ctx)
	watchdog := time.AfterFunc(h.progressTimeout, func() { cancel(exchange.ErrNoProgress) })
	if req.AtMostOnce {
		watchdog.Stop()
	}
	stop := func() {
		watchdog.Stop()
		cancel(nil)
	}
	r, err := http.NewRequestWithContext(ctx, req.Method, h.client.URL(req.Target), bytes.NewReader(req.Body))
	if err != nil {
		stop()
		return nil, &exchange.Error{Kind: exchange.Unreachable, Cause: err}
	}
	r.Header = forwardedHeader(req.Header)
	r.Header.Set(exchange.HeaderPriority, strconv.Itoa(int(req.Class)))
	resp, failure := h.client.Do(r, req.Attempt, req.AtMostOnce) //nolint:bodyclose // Response.Close closes the body.
	if failure != nil {
		stop()
		return nil, failure
	}
	// From here on, timeoutReader runs the watchdog during each read.
	watchdog.Stop()
	header := forwardedHeader(resp.Header)
	body := &timeoutReader{body: resp.Body, watchdog: watchdog, timeout: h.progressTimeout, disabled: req.AtMostOnce}
	response := &Response{
		Status: resp.StatusCode, Header: header, Length: resp.ContentLength,
		IsEventStream: strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream"),
		Body:          body,
		timeout:       body,
		close:         func() { resp.Body.Close(); stop() },
	}
	if response.IsEventStream && req.Method != http.MethodHead && resp.Header.Get("Content-Encoding") == "" {
		response.Body = &eventStreamReader{body: response.Body, endsWithConnection: exchange.EndsWithConnection(resp)}
		response.Length = -1
	}
	return response, nil
}

// timeoutReader applies a timeout to each read. The timeout does not run between two reads, while
// the caller processes the data.
type timeoutReader struct {
	body     io.Reader
	watchdog *time.Timer
	timeout  time.Duration
	disabled bool
}

func (w *timeoutReader) Read(p []byte) (int, error) {
	if !w.disabled {
		w.watchdog.Reset(w.timeout)
		defer w.watchdog.Stop()
	}
	return w.body.Read(p)
}

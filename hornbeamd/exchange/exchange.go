// Package exchange sends single HTTP requests to a backend server and reports whether a failed
// request may have reached it.
package exchange

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/rest/httpc"

	"hornbeamstep.example/ports/transport"
)

// HTTP headers used between routers and backend servers.
const (
	HeaderAttempt    = "Attempt-Id"
	HeaderNotRun     = "Not-Run"
	HeaderPriority   = "Priority"
	HeaderDeadline   = "Deadline"
	HeaderChat       = "Chat-Id"
	HeaderRetryAfter = "Retry-After"
)

// ErrNoProgress is the cancellation cause of an exchange that received no data within a progress
// timeout.
var ErrNoProgress = eris.New("no progress within the deadline")

// Options configures a Client.
type Options struct {
	// DialTimeout is the timeout of a connection attempt. Default: 1 s.
	DialTimeout time.Duration
	// MaxIdleConns is the maximum number of idle connections. Default: 64.
	MaxIdleConns int
	// IdleTimeout is how long an idle connection is kept. Default: 30 s. This is below the usual
	// limit of servers, so that a server rarely closes a connection just as it is reused.
	IdleTimeout time.Duration
}

// Client sends requests to one backend server.
type Client struct {
	address string
	// pooled reuses connections; singleUse opens a new connection for each request.
	pooled    httpc.Service
	singleUse httpc.Service
	// pooledTransport is the transport of pooled, which holds the idle connections.
	pooledTransport *http.Transport
}

// New returns a client of the named backend server at address (ip:port).
func New(name, address string, o Options) *Client {
	if o.DialTimeout <= 0 {
		o.DialTimeout = time.Second
	}
	if o.MaxIdleConns <= 0 {
		o.MaxIdleConns = 64
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = 30 * time.Second
	}
	pooled := newTransport(o)
	singleUse := newTransport(o)
	singleUse.DisableKeepAlives = true
	return &Client{
		address:         address,
		pooled:          transport.New(name, &http.Client{Transport: pooled, CheckRedirect: returnRedirect}),
		singleUse:       transport.New(name, &http.Client{Transport: singleUse, CheckRedirect: returnRedirect}),
		pooledTransport: pooled,
	}
}

// returnRedirect returns redirects to the caller, because following one would execute the request a
// second time.
func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// newTransport returns a transport that uses HTTP/1.1 only. With HTTP/1.1 a cancelled exchange
// closes its connection, so that a late response cannot be read as the response to another request.
func newTransport(o Options) *http.Transport {
	return &http.Transport{
		DialContext:            transport.Dial(&net.Dialer{Timeout: o.DialTimeout}),
		DisableCompression:     true,
		MaxIdleConns:           o.MaxIdleConns,
		MaxIdleConnsPerHost:    o.MaxIdleConns,
		IdleConnTimeout:        o.IdleTimeout,
		MaxResponseHeaderBytes: transport.MaxHeaderBytes,
	}
}

// URL returns the URL of a path on the backend server.
func (c *Client) URL(path string) string { return "http://" + c.address + path }

// Close closes the idle connections.
func (c *Client) Close() { c.pooledTransport.CloseIdleConnections() }

// Do sends a request and returns its response, or an *Error. The caller must close the response
// body; closing it before its end closes the connection. Unless the attempt ID is empty, the
// request carries it and the response must echo it. If noRetry is set, the request uses a new
// connection, because net/http retries requests only on reused connections.
func (c *Client) Do(r *http.Request, attempt string, noRetry bool) (*http.Response, *Error) {
	if attempt != "" {
		r.Header.Set(HeaderAttempt, attempt)
	}
	tracker := &writeTracker{}
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: tracker.gotConn})
	client := c.pooled
	if noRetry {
		client = c.singleUse
	}
	resp, err := client.DoRequest(r.WithContext(ctx))
	if err != nil {
		return nil, NewError(r.Context(), err, tracker.wroteAny())
	}
	return checkResponse(resp, attempt)
}

// NewError classifies an error of a connection or a context as an *Error.
func NewError(ctx context.Context, err error, sent bool) *Error {
	e := &Error{Kind: Broken, Sent: sent, Cause: err}
	var timeout net.Error
	switch {
	case errors.Is(context.Cause(ctx), ErrNoProgress), errors.Is(ctx.Err(), context.DeadlineExceeded):
		e.Kind = TimedOut
	case ctx.Err() != nil:
		e.Kind = Cancelled
	case errors.Is(err, transport.ErrNoFinalStatus):
		e.Kind = Protocol
	case !sent:
		e.Kind = Unreachable
	case errors.As(err, &timeout) && timeout.Timeout():
		e.Kind = TimedOut
	}
	return e
}

// checkResponse returns the response if it echoes the attempt ID and is not a refusal. A refusal is
// a response with the status 429 or 503 and the header Not-Run: 1. It may omit the attempt ID.
func checkResponse(resp *http.Response, attempt string) (*http.Response, *Error) {
	echo := resp.Header.Get(HeaderAttempt)
	refused := resp.Header.Get(HeaderNotRun) == "1" &&
		(resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable)
	if attempt != "" && echo != attempt && (echo != "" || !refused) {
		resp.Body.Close()
		return nil, &Error{
			Kind: Protocol, Sent: true, Status: resp.StatusCode,
			Message: "response carries attempt ID " + strconv.Quote(echo) + " instead of " + strconv.Quote(attempt),
		}
	}
	if refused {
		e := &Error{Kind: Refused, Sent: true, Status: resp.StatusCode, RetryAfter: retryAfter(resp)}
		e.Message = readBodyStart(resp)
		return nil, e
	}
	return resp, nil
}

// EndsWithConnection reports whether the body of a response has neither a length nor chunks. The
// end of such a body does not show whether the backend server completed it or stopped.
func EndsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// NewStatusError returns the *Error for a response with an error status and closes its body.
func NewStatusError(resp *http.Response) *Error {
	return &Error{Kind: Rejected, Sent: true, Status: resp.StatusCode, RetryAfter: retryAfter(resp), Message: readBodyStart(resp)}
}

// readBodyStart returns the first bytes of the body and closes it.
func readBodyStart(resp *http.Response) string {
	const limit = 512
	text, err := io.ReadAll(io.LimitReader(resp.Body, limit))
	resp.Body.Close()
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(text))
}

// retryAfter returns the value of the Retry-After header. It ignores values over an hour and dates.
func retryAfter(resp *http.Response) time.Duration {
	seconds, err := strconv.Atoi(resp.Header.Get(HeaderRetryAfter))
	if err != nil || seconds < 0 || seconds > 3600 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

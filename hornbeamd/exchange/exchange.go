// Package exchange makes single HTTP exchanges with a backend server and says whether a failed one reached it.
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

// The headers that routers and backend servers exchange.
const (
	HeaderAttempt  = "Attempt-Id"
	HeaderNotRun   = "Not-Run"
	HeaderPriority = "Priority"
	HeaderDeadline = "Deadline"
	HeaderChat     = "Chat-Id"
	HeaderRetry    = "Retry-After"
)

// ErrDeadline is the cause with which a progress deadline cancels an exchange.
var ErrDeadline = eris.New("no progress within the deadline")

// Options are the settings of a Client.
type Options struct {
	// Dial is the longest time for a connection attempt. Default 1 s.
	Dial time.Duration
	// Idle is the number of idle connections kept for reuse. Default 64.
	Idle int
	// IdleTime is how long an idle connection is kept. Default 30 s, less than the usual limit of servers, so that the
	// server seldom closes a connection just as it is reused.
	IdleTime time.Duration
}

// Client makes exchanges with one backend server.
type Client struct {
	address string
	reuse   httpc.Service
	fresh   httpc.Service
	pooled  *http.Transport
}

// New returns a client of the backend server with that name at address (ip:port).
func New(name, address string, o Options) *Client {
	if o.Dial <= 0 {
		o.Dial = time.Second
	}
	if o.Idle <= 0 {
		o.Idle = 64
	}
	if o.IdleTime <= 0 {
		o.IdleTime = 30 * time.Second
	}
	pooled := newTransport(o)
	single := newTransport(o)
	single.DisableKeepAlives = true
	return &Client{
		address: address,
		reuse:   transport.New(name, &http.Client{Transport: pooled, CheckRedirect: keepRedirect}),
		fresh:   transport.New(name, &http.Client{Transport: single, CheckRedirect: keepRedirect}),
		pooled:  pooled,
	}
}

// keepRedirect hands redirects to the caller: following one would run the request a second time.
func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// newTransport speaks HTTP/1.1 only. There a cancelled exchange closes its connection, so that a late answer cannot be
// read as the answer to another request.
func newTransport(o Options) *http.Transport {
	dialer := &net.Dialer{Timeout: o.Dial}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: conn}, nil
		},
		DisableCompression:     true,
		MaxIdleConns:           o.Idle,
		MaxIdleConnsPerHost:    o.Idle,
		IdleConnTimeout:        o.IdleTime,
		MaxResponseHeaderBytes: 64 << 10,
	}
}

// URL returns the address of a path on the backend server.
func (c *Client) URL(path string) string { return "http://" + c.address + path }

// Close closes the idle connections.
func (c *Client) Close() { c.pooled.CloseIdleConnections() }

// Do sends a request and returns the answer to it, or an *Error. The body of the answer must be closed; closing it before
// its end closes the connection. With once the request uses a connection of its own: the library repeats requests only on
// reused connections.
func (c *Client) Do(r *http.Request, attempt string, once bool) (*http.Response, *Error) {
	if attempt != "" {
		r.Header.Set(HeaderAttempt, attempt)
	}
	w := &writes{}
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: w.gotConn})
	client := c.reuse
	if once {
		client = c.fresh
	}
	resp, err := client.DoRequest(r.WithContext(ctx))
	if err != nil {
		return nil, Failure(r.Context(), err, w.any())
	}
	return check(resp, attempt)
}

// Failure returns the *Error for an error of a connection.
func Failure(ctx context.Context, err error, sent bool) *Error {
	e := &Error{Kind: Broken, Sent: sent, Cause: err}
	var timeout net.Error
	switch {
	case errors.Is(context.Cause(ctx), ErrDeadline), errors.Is(ctx.Err(), context.DeadlineExceeded):
		e.Kind = TimedOut
	case ctx.Err() != nil:
		e.Kind = Cancelled
	case !sent:
		e.Kind = Unreachable
	case errors.As(err, &timeout) && timeout.Timeout():
		e.Kind = TimedOut
	}
	return e
}

// check returns the answer if it belongs to the attempt and is neither a refusal nor missing its echo.
func check(resp *http.Response, attempt string) (*http.Response, *Error) {
	echo := resp.Header.Get(HeaderAttempt)
	refused := resp.Header.Get(HeaderNotRun) == "1" &&
		(resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable)
	if attempt != "" && echo != attempt && (echo != "" || !refused) {
		resp.Body.Close()
		return nil, &Error{
			Kind: Protocol, Sent: true, Status: resp.StatusCode,
			Message: "the answer carries attempt id " + strconv.Quote(echo) + " in place of " + strconv.Quote(attempt),
		}
	}
	if refused {
		e := &Error{Kind: Refused, Sent: true, Status: resp.StatusCode, Retry: retryAfter(resp)}
		e.Message = start(resp)
		return nil, e
	}
	return resp, nil
}

// Reject returns the *Error for an answer with an error status and closes its body.
func Reject(resp *http.Response) *Error {
	return &Error{Kind: Rejected, Sent: true, Status: resp.StatusCode, Retry: retryAfter(resp), Message: start(resp)}
}

// start reads the first bytes of the body and closes it.
func start(resp *http.Response) string {
	const limit = 512
	text, err := io.ReadAll(io.LimitReader(resp.Body, limit))
	resp.Body.Close()
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(text))
}

func retryAfter(resp *http.Response) time.Duration {
	seconds, err := strconv.Atoi(resp.Header.Get(HeaderRetry))
	if err != nil || seconds < 0 || seconds > 3600 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// Package transport creates the HTTP services of the platform clients, with the library's circuit
// breaker disabled.
package transport

import (
	"errors"
	"net/http"

	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"
)

// MaxHeaderBytes limits the header of a response. The default of net/http is 10 MiB, and a header
// of short fields takes up several times its size in memory.
const MaxHeaderBytes = 64 << 10

// ErrNoFinalStatus is returned for a response whose status is not final. net/http returns it for
// status 101 and for invalid statuses.
var ErrNoFinalStatus = errors.New("the response has no final status")

// New returns an httpc service that uses a copy of client. It disables the library's circuit
// breaker for name, because that breaker rejects calls by its own policy. Circuit breaking is the
// task of package retry here and must be visible in request outcomes.
func New(name string, client *http.Client) httpc.Service {
	breaker.NoBreakerFor(name)
	checked := *client
	checked.Transport = checkedResponses{next: client.Transport}
	return httpc.NewServiceWithClient(name, &checked)
}

// checkedResponses returns ErrNoFinalStatus in place of a response without a final status. After status
// 101 the body is the connection itself, and no deadline of the request applies to it. Connections of
// type *Conn check more.
type checkedResponses struct {
	// next is http.DefaultTransport if it is nil.
	next http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (c checkedResponses) RoundTrip(r *http.Request) (*http.Response, error) {
	next := c.next
	if next == nil {
		next = http.DefaultTransport
	}
	resp, err := next.RoundTrip(traced(r))
	if err == nil && !IsFinalStatus(resp.StatusCode) {
		_ = resp.Body.Close()
		return nil, ErrNoFinalStatus
	}
	return resp, err
}

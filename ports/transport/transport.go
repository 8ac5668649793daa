// Package transport makes the httpc services that adapters use, with the library's circuit breaker off.
package transport

import (
	"net/http"

	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"
)

// New returns an httpc service over a client. The library's breaker is disabled for the name: it would refuse calls by a
// policy of its own, while circuit breaking here is the job of package retry and must be visible in outcomes.
func New(name string, client *http.Client) httpc.Service {
	breaker.NoBreakerFor(name)
	return httpc.NewServiceWithClient(name, client)
}

// Package instancelist is a client of the instance list API of the cloud platform, which lists live
// and leaving instances. The list may be out of date.
package instancelist

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/zeromicro/go-zero/rest/httpc"

	"hornbeamstep.example/ports/transport"
)

// DefaultTimeout is the default timeout of a call.
const DefaultTimeout = 2 * time.Second

// maxResponseBytes limits the size of a response.
const maxResponseBytes = 4 << 20

// State is the state that the platform reports for an instance.
type State string

// States of the listed instances.
const (
	// Live instances are in service.
	Live State = "live"
	// Leaving instances are being shut down.
	Leaving State = "leaving"
)

// Instance is one entry of the list.
type Instance struct {
	ID string `json:"id"`
	// Address is ip:port.
	Address string `json:"address"`
	// Zone is the availability zone.
	Zone string `json:"zone"`
	// Role is what the instance runs, such as "router" or "engine".
	Role  string `json:"role"`
	State State  `json:"state"`
}

// UnavailableError reports that the list could not be read.
type UnavailableError struct{ Cause error }

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("instance list is unavailable; keep the last list and read it again later: %v", e.Cause)
}

// Unwrap returns the underlying transport error.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// HTTP reads the list with GET /v1/instances. Set its fields before use.
type HTTP struct {
	// Base is the part of the URL before "/v1", without a trailing slash.
	Base string
	// Client sends all calls; if nil, a client with its own connections is created.
	Client *http.Client
	// Timeout limits the duration of a call; DefaultTimeout if 0.
	Timeout time.Duration

	once    sync.Once
	service httpc.Service
}

// List returns the instances in the order of the response, or *UnavailableError.
func (h *HTTP) List(ctx context.Context) ([]Instance, error) {
	h.once.Do(h.init)
	ctx, cancel := context.WithTimeout(ctx, h.Timeout)
	defer cancel()
	var list []Instance
	if err := transport.DoJSON(ctx, h.service, http.MethodGet, h.Base+"/v1/instances", nil, maxResponseBytes, &list); err != nil {
		return nil, &UnavailableError{err}
	}
	return list, nil
}

// init sets the defaults of unset fields and creates the service.
func (h *HTTP) init() {
	if h.Client == nil {
		h.Client = &http.Client{Transport: &http.Transport{DialContext: transport.Dial(&net.Dialer{}), IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: transport.MaxHeaderBytes}}
	}
	if h.Timeout == 0 {
		h.Timeout = DefaultTimeout
	}
	h.service = transport.New("instancelist", h.Client)
}

// Package weightstore reads the catalogue of model weights and adapters and starts their transfers,
// which the platform rate-limits.
package weightstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/zeromicro/go-zero/rest/httpc"

	"hornbeamstep.example/ports/transport"
)

// DefaultTimeout is the default timeout of a call.
const DefaultTimeout = 5 * time.Second

// maxResponseBytes limits the size of a response.
const maxResponseBytes = 4 << 20

// Artifact is the weights of a model or of an adapter.
type Artifact struct {
	Model string `json:"model"`
	// Adapter is empty for the model itself.
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version"`
	// Size is in bytes.
	Size int64 `json:"size"`
}

// Catalogue lists the artifacts in the store and its rate limit.
type Catalogue struct {
	// Rate is the limit for the whole fleet, in loads per second. It is greater than 0.
	Rate float64 `json:"rate"`
	// Burst is the number of loads that may start at once, at least 1.
	Burst     int        `json:"burst"`
	Artifacts []Artifact `json:"artifacts"`
}

// LimitedError reports that the store rejected a load because of its rate limit.
type LimitedError struct {
	// Retry is how long to wait before the next load.
	Retry time.Duration
}

func (e *LimitedError) Error() string {
	return fmt.Sprintf("weight store limits its rate; load again after %s", e.Retry)
}

// UnavailableError reports that a call to the store failed.
type UnavailableError struct{ Cause error }

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("weight store is unavailable; try again later: %v", e.Cause)
}

// Unwrap returns the underlying transport error.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// HTTP calls the store with GET /v1/weights and POST /v1/loads. Set its fields before use.
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

// Catalogue returns the catalogue of the store, or *UnavailableError.
func (h *HTTP) Catalogue(ctx context.Context) (Catalogue, error) {
	var c Catalogue
	err := h.call(ctx, http.MethodGet, "/v1/weights", nil, &c)
	return c, err
}

// Load starts the transfer of an artifact, or returns *LimitedError or *UnavailableError.
func (h *HTTP) Load(ctx context.Context, a Artifact) error {
	body, err := json.Marshal(a)
	if err != nil {
		return err
	}
	return h.call(ctx, http.MethodPost, "/v1/loads", body, nil)
}

func (h *HTTP) call(ctx context.Context, method, path string, body []byte, into any) error {
	h.once.Do(h.init)
	ctx, cancel := context.WithTimeout(ctx, h.Timeout)
	defer cancel()
	err := transport.DoJSON(ctx, h.service, method, h.Base+path, body, maxResponseBytes, into)
	var status *transport.StatusError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &status) && status.Status == http.StatusTooManyRequests:
		return newLimitedError(status.Header.Get("Retry-After"))
	default:
		return &UnavailableError{err}
	}
}

// newLimitedError parses a Retry-After header. An invalid value, or one below 1 s, counts as 1 s.
func newLimitedError(header string) error {
	seconds, err := strconv.Atoi(header)
	if err != nil || seconds < 1 {
		seconds = 1
	}
	return &LimitedError{Retry: time.Duration(seconds) * time.Second}
}

// init sets the defaults of unset fields.
func (h *HTTP) init() {
	if h.Client == nil {
		h.Client = &http.Client{Transport: &http.Transport{DialContext: transport.Dial(&net.Dialer{}), IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: transport.MaxHeaderBytes}}
	}
	if h.Timeout == 0 {
		h.Timeout = DefaultTimeout
	}
	h.service = transport.New("weightstore", h.Client)
}

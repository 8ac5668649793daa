// Package weightstore reads the catalogue of model weights and adapters, whose transfers the platform limits in rate.
package weightstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/zeromicro/go-zero/rest/httpc"

	"hornbeamstep.example/ports/transport"
)

// DefaultTimeout is the longest duration of a call.
const DefaultTimeout = 5 * time.Second

const answerLimit = 4 << 20

// Artifact is one set of weights.
type Artifact struct {
	Model string `json:"model"`
	// Adapter is empty for the model itself.
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version"`
	// Size is in bytes.
	Size int64 `json:"size"`
}

// Catalogue is what the store holds and how fast it serves.
type Catalogue struct {
	// Rate is the limit over the whole fleet, in loads per second. Greater than 0.
	Rate float64 `json:"rate"`
	// Burst is the number of loads that may start at once. At least 1.
	Burst     int        `json:"burst"`
	Artifacts []Artifact `json:"artifacts"`
}

// LimitedError says that the store refused a load because of its rate.
type LimitedError struct {
	// Retry is how long to wait before the next load.
	Retry time.Duration
}

func (e *LimitedError) Error() string {
	return fmt.Sprintf("weight store limits its rate; load again after %s", e.Retry)
}

// UnavailableError says that the store did not answer.
type UnavailableError struct{ Cause error }

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("weight store is unavailable; try again later: %v", e.Cause)
}

// Unwrap returns the transport's error.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// HTTP calls the store with GET /v1/weights and POST /v1/loads. Set its fields before use.
type HTTP struct {
	// Base is the URL before "/v1", without a final slash.
	Base string
	// Client is used for all calls; a client of its own if nil.
	Client *http.Client
	// Timeout is the longest duration of a call; DefaultTimeout if 0.
	Timeout time.Duration

	once    sync.Once
	service httpc.Service
}

// Catalogue returns what the store holds, or *UnavailableError.
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
	h.once.Do(h.start)
	ctx, cancel := context.WithTimeout(ctx, h.Timeout)
	defer cancel()
	err := transport.Exchange(ctx, h.service, method, h.Base+path, body, answerLimit, into)
	var status *transport.StatusError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &status) && status.Status == http.StatusTooManyRequests:
		return limited(status.Header.Get("Retry-After"))
	default:
		return &UnavailableError{err}
	}
}

func limited(header string) error {
	seconds, err := strconv.Atoi(header)
	if err != nil || seconds < 1 {
		seconds = 1
	}
	return &LimitedError{Retry: time.Duration(seconds) * time.Second}
}

func (h *HTTP) start() {
	if h.Client == nil {
		h.Client = &http.Client{Transport: &http.Transport{IdleConnTimeout: time.Minute}}
	}
	if h.Timeout == 0 {
		h.Timeout = DefaultTimeout
	}
	h.service = transport.New("weightstore", h.Client)
}

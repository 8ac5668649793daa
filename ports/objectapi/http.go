package objectapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/zeromicro/go-zero/rest/httpc"

	"hornbeamstep.example/ports/transport"
)

// These values apply to the fields of HTTP that are 0 and to responses without a Retry-After
// header.
const (
	// DefaultTimeout is the default time limit of a call other than a watch.
	DefaultTimeout = 2 * time.Second
	// DefaultWatchLimit limits how long a change goes unnoticed when the connection of a watch
	// stops responding. A new revision must be active on all routers within 7 s; this limit leaves
	// most of that time to the routers.
	DefaultWatchLimit = 3 * time.Second
	// DefaultRetry is the wait after a failed call whose response has no Retry-After header.
	DefaultRetry = time.Second
)

// maxListBytes limits the responses to list and watch calls. Those to a watch carry values of up to
// MaxValue bytes each.
const maxListBytes = 64 << 20

// HTTP is a Store that calls the object API over HTTP. Set its fields before use.
type HTTP struct {
	// Base is the part of the URL before "/v1", without a trailing slash.
	Base string
	// Client sends all calls; if nil, a client with its own connections is created.
	Client *http.Client
	// Timeout limits the duration of a call other than a watch; DefaultTimeout if 0.
	Timeout time.Duration
	// WatchLimit limits how long a watch waits for changes on one connection; DefaultWatchLimit if 0.
	WatchLimit time.Duration

	once    sync.Once
	service httpc.Service
}

type wireObject struct {
	Name    string `json:"name"`
	Version int64  `json:"version"`
	Value   []byte `json:"value,omitempty"`
}

type wireWatch struct {
	Objects []wireObject `json:"objects"`
	Next    int64        `json:"next"`
}

// Get implements Store.
func (h *HTTP) Get(ctx context.Context, kind, name string) (Object, error) {
	resp, err := h.call(ctx, http.MethodGet, objectPath(kind, name), nil, nil, MaxValue)
	if err != nil {
		return Object{}, &UnavailableError{Retry: DefaultRetry, Cause: err}
	}
	switch resp.status {
	case http.StatusOK:
		if resp.version == 0 {
			return Object{}, &UnavailableError{Retry: DefaultRetry, Cause: errors.New("response has no version in its ETag header")}
		}
		return Object{Kind: kind, Name: name, Version: resp.version, Value: resp.body}, nil
	case http.StatusNotFound:
		return Object{}, &NotFoundError{Kind: kind, Name: name}
	}
	return Object{}, resp.unavailable()
}

// Put implements Store.
func (h *HTTP) Put(ctx context.Context, o Object) (int64, error) {
	if len(o.Value) > MaxValue {
		return 0, &TooLargeError{Kind: o.Kind, Name: o.Name, Size: len(o.Value)}
	}
	return h.write(ctx, http.MethodPut, o)
}

// Delete implements Store.
func (h *HTTP) Delete(ctx context.Context, kind, name string, version int64) error {
	_, err := h.write(ctx, http.MethodDelete, Object{Kind: kind, Name: name, Version: version})
	return err
}

// List implements Store.
func (h *HTTP) List(ctx context.Context, kind string) ([]Object, error) {
	resp, err := h.call(ctx, http.MethodGet, "/v1/objects/"+url.PathEscape(kind), nil, nil, maxListBytes)
	if err != nil {
		return nil, &UnavailableError{Retry: DefaultRetry, Cause: err}
	}
	if resp.status != http.StatusOK {
		return nil, resp.unavailable()
	}
	var list []wireObject
	if err := json.Unmarshal(resp.body, &list); err != nil {
		return nil, &UnavailableError{Retry: DefaultRetry, Cause: err}
	}
	return objects(kind, list), nil
}

// Watch implements Store. After WatchLimit it closes the connection, which may no longer respond,
// and checks on another connection whether the object API responds.
func (h *HTTP) Watch(ctx context.Context, kind string, after int64) ([]Object, int64, error) {
	path := fmt.Sprintf("/v1/watch/%s?after=%d", url.PathEscape(kind), after)
	resp, err := h.call(ctx, http.MethodGet, path, nil, nil, maxListBytes)
	if errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil {
		return nil, after, h.probe(ctx, kind)
	}
	if err != nil {
		return nil, after, &UnavailableError{Retry: DefaultRetry, Cause: err}
	}
	if resp.status != http.StatusOK {
		return nil, after, resp.unavailable()
	}
	var w wireWatch
	if err := json.Unmarshal(resp.body, &w); err != nil {
		return nil, after, &UnavailableError{Retry: DefaultRetry, Cause: err}
	}
	return objects(kind, w.Objects), w.Next, nil
}

// probe returns nil if the object API responds. It reads an object that does not exist, so
// NotFoundError counts as success.
func (h *HTTP) probe(ctx context.Context, kind string) error {
	_, err := h.Get(ctx, kind, "probe")
	var missing *NotFoundError
	if errors.As(err, &missing) {
		return nil
	}
	return err
}

func objects(kind string, list []wireObject) []Object {
	out := make([]Object, 0, len(list))
	for _, w := range list {
		out = append(out, Object{Kind: kind, Name: w.Name, Version: w.Version, Value: w.Value})
	}
	return out
}

func (h *HTTP) write(ctx context.Context, method string, o Object) (int64, error) {
	header := http.Header{"If-Match": {etag(o.Version)}}
	resp, err := h.call(ctx, method, objectPath(o.Kind, o.Name), header, o.Value, 1<<16)
	switch {
	case err != nil && notSent(err):
		return 0, &UnavailableError{Retry: DefaultRetry, Cause: err}
	case err != nil:
		return 0, &AmbiguousError{Kind: o.Kind, Name: o.Name, Cause: err}
	}
	switch resp.status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		if resp.version == 0 && method == http.MethodPut {
			return 0, &AmbiguousError{Kind: o.Kind, Name: o.Name, Cause: errors.New("response has no version in its ETag header")}
		}
		return resp.version, nil
	case http.StatusNotFound:
		return 0, &NotFoundError{Kind: o.Kind, Name: o.Name}
	case http.StatusPreconditionFailed:
		return 0, &ConflictError{Kind: o.Kind, Name: o.Name, Want: o.Version, Have: resp.version}
	case http.StatusRequestEntityTooLarge:
		return 0, &TooLargeError{Kind: o.Kind, Name: o.Name, Size: len(o.Value)}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return 0, resp.unavailable()
	}
	// Any other status may come from a proxy after the write took effect.
	return 0, &AmbiguousError{Kind: o.Kind, Name: o.Name, Cause: resp.unavailable()}
}

// response is a response of the object API.
type response struct {
	status  int
	version int64
	retry   time.Duration
	body    []byte
}

func (r response) unavailable() *UnavailableError {
	return &UnavailableError{Retry: r.retry, Cause: fmt.Errorf("status %d", r.status)}
}

func (h *HTTP) call(ctx context.Context, method, path string, header http.Header, body []byte, limit int64) (response, error) {
	h.once.Do(h.init)
	timeout := h.Timeout
	if strings.HasPrefix(path, "/v1/watch/") {
		timeout = h.WatchLimit
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, h.Base+path, bytes.NewReader(body))
	if err != nil {
		return response{}, &unsentError{err}
	}
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := h.service.DoRequest(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	parsed := response{status: resp.StatusCode, version: parseETag(resp.Header.Get("ETag")), retry: DefaultRetry}
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && seconds > 0 {
		parsed.retry = time.Duration(seconds) * time.Second
	}
	parsed.body, err = io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return response{}, err
	}
	if int64(len(parsed.body)) > limit {
		return response{}, fmt.Errorf("response exceeds %d bytes", limit)
	}
	return parsed, nil
}

// init sets the defaults of unset fields.
func (h *HTTP) init() {
	if h.Client == nil {
		h.Client = &http.Client{Transport: &http.Transport{
			DialContext: transport.Dial(&net.Dialer{}), MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: transport.MaxHeaderBytes,
		}}
	}
	if h.Timeout == 0 {
		h.Timeout = DefaultTimeout
	}
	if h.WatchLimit == 0 {
		h.WatchLimit = DefaultWatchLimit
	}
	h.service = transport.New("objectapi", h.Client)
}

// unsentError reports that a request could not be created.
type unsentError struct{ error }

// notSent reports whether a request certainly did not reach the object API, because it could not be
// created or no connection was opened.
func notSent(err error) bool {
	var unsent *unsentError
	if errors.As(err, &unsent) {
		return true
	}
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func objectPath(kind, name string) string {
	return "/v1/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

func etag(version int64) string { return strconv.Quote(strconv.FormatInt(version, 10)) }

func parseETag(s string) int64 {
	v, err := strconv.ParseInt(strings.Trim(s, `"`), 10, 64)
	if err != nil {
		return 0
	}
	return v
}

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

// Defaults of HTTP.
const (
	DefaultTimeout = 2 * time.Second
	// DefaultWatchLimit bounds the delay of news when the connection of a watch goes silent. Of the 7 s for a new revision it leaves
	// most to the routers.
	DefaultWatchLimit = 3 * time.Second
	// DefaultRetry is the wait after a refusal that names none.
	DefaultRetry = time.Second
)

// listLimit bounds the answers of list and watch calls, in bytes. A watch carries values up to MaxValue each.
const listLimit = 64 << 20

// HTTP is a Store that calls the object API. Set its fields before use.
type HTTP struct {
	// Base is the URL before "/v1", without a final slash.
	Base string
	// Client is used for all calls; a client of its own if nil.
	Client *http.Client
	// Timeout is the longest duration of a call other than a watch; DefaultTimeout if 0.
	Timeout time.Duration
	// WatchLimit is how long a watch waits for news on one connection; DefaultWatchLimit if 0.
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
	a, err := h.call(ctx, http.MethodGet, objectPath(kind, name), nil, nil, MaxValue)
	if err != nil {
		return Object{}, &UnavailableError{Retry: DefaultRetry, Cause: err}
	}
	switch a.status {
	case http.StatusOK:
		if a.version == 0 {
			return Object{}, &UnavailableError{Retry: DefaultRetry, Cause: errors.New("answer has no version in its ETag header")}
		}
		return Object{Kind: kind, Name: name, Version: a.version, Value: a.body}, nil
	case http.StatusNotFound:
		return Object{}, &NotFoundError{Kind: kind, Name: name}
	}
	return Object{}, a.unavailable()
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
	a, err := h.call(ctx, http.MethodGet, "/v1/objects/"+url.PathEscape(kind), nil, nil, listLimit)
	if err != nil {
		return nil, &UnavailableError{Retry: DefaultRetry, Cause: err}
	}
	if a.status != http.StatusOK {
		return nil, a.unavailable()
	}
	var list []wireObject
	if err := json.Unmarshal(a.body, &list); err != nil {
		return nil, &UnavailableError{Retry: DefaultRetry, Cause: err}
	}
	return objects(kind, list), nil
}

// Watch implements Store. After WatchLimit it closes the connection, which may have gone silent, and asks on another one whether the
// object API answers.
func (h *HTTP) Watch(ctx context.Context, kind string, after int64) ([]Object, int64, error) {
	path := fmt.Sprintf("/v1/watch/%s?after=%d", url.PathEscape(kind), after)
	a, err := h.call(ctx, http.MethodGet, path, nil, nil, listLimit)
	if errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil {
		return nil, after, h.probe(ctx, kind)
	}
	if err != nil {
		return nil, after, &UnavailableError{Retry: DefaultRetry, Cause: err}
	}
	if a.status != http.StatusOK {
		return nil, after, a.unavailable()
	}
	var w wireWatch
	if err := json.Unmarshal(a.body, &w); err != nil {
		return nil, after, &UnavailableError{Retry: DefaultRetry, Cause: err}
	}
	return objects(kind, w.Objects), w.Next, nil
}

// probe returns nil if the object API answers. The object asked for does not exist.
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
	a, err := h.call(ctx, method, objectPath(o.Kind, o.Name), header, o.Value, 1<<16)
	switch {
	case err != nil && neverSent(err):
		return 0, &UnavailableError{Retry: DefaultRetry, Cause: err}
	case err != nil:
		return 0, &AmbiguousError{Kind: o.Kind, Name: o.Name, Cause: err}
	}
	switch a.status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		if a.version == 0 && method == http.MethodPut {
			return 0, &AmbiguousError{Kind: o.Kind, Name: o.Name, Cause: errors.New("answer has no version in its ETag header")}
		}
		return a.version, nil
	case http.StatusNotFound:
		return 0, &NotFoundError{Kind: o.Kind, Name: o.Name}
	case http.StatusPreconditionFailed:
		return 0, &ConflictError{Kind: o.Kind, Name: o.Name, Want: o.Version, Have: a.version}
	case http.StatusRequestEntityTooLarge:
		return 0, &TooLargeError{Kind: o.Kind, Name: o.Name, Size: len(o.Value)}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return 0, a.unavailable()
	}
	// Any other status may come from an intermediary after the write took effect.
	return 0, &AmbiguousError{Kind: o.Kind, Name: o.Name, Cause: a.unavailable()}
}

type answer struct {
	status  int
	version int64
	retry   time.Duration
	body    []byte
}

func (a answer) unavailable() *UnavailableError {
	return &UnavailableError{Retry: a.retry, Cause: fmt.Errorf("status %d", a.status)}
}

func (h *HTTP) call(ctx context.Context, method, path string, header http.Header, body []byte, limit int64) (answer, error) {
	h.once.Do(h.start)
	timeout := h.Timeout
	if strings.HasPrefix(path, "/v1/watch/") {
		timeout = h.WatchLimit
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, h.Base+path, bytes.NewReader(body))
	if err != nil {
		return answer{}, &unsentError{err}
	}
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := h.service.DoRequest(req)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	a := answer{status: resp.StatusCode, version: parseETag(resp.Header.Get("ETag")), retry: DefaultRetry}
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && seconds > 0 {
		a.retry = time.Duration(seconds) * time.Second
	}
	a.body, err = io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return answer{}, err
	}
	if int64(len(a.body)) > limit {
		return answer{}, fmt.Errorf("answer exceeds %d bytes", limit)
	}
	return a, nil
}

func (h *HTTP) start() {
	if h.Client == nil {
		h.Client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute}}
	}
	if h.Timeout == 0 {
		h.Timeout = DefaultTimeout
	}
	if h.WatchLimit == 0 {
		h.WatchLimit = DefaultWatchLimit
	}
	h.service = transport.New("objectapi", h.Client)
}

// unsentError marks a request that could not be made.
type unsentError struct{ error }

// neverSent reports whether a request surely did not reach the object API: it could not be made or no connection was opened.
func neverSent(err error) bool {
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

package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"hornbeamstep.example/hornbeamd/exchange"
)

const (
	// drainTimeout and maxDrainBytes limit how much of a body is read after the end-of-stream
	// event, so that the connection can be reused.
	drainTimeout  = 100 * time.Millisecond
	maxDrainBytes = 4 << 10
	// maxControlBytes is the maximum size of a response that is neither a stream nor a KV cache.
	maxControlBytes = 4 << 20
)

// Options configures an HTTP client of an engine.
type Options struct {
	exchange.Options
	// FirstChunkTimeout is the timeout for the first chunk, and ProgressTimeout the timeout for
	// each further chunk. Defaults: 30 s and 10 s.
	FirstChunkTimeout, ProgressTimeout time.Duration
	// ControlTimeout is the timeout of a call other than a stream. Default: 2 s.
	ControlTimeout time.Duration
	// MaxEventBytes is the maximum size of a stream event. Default: 1 MiB.
	MaxEventBytes int
	// EventMemory limits the sum of the events of all streams. Clients may share it. Default: 32 MiB for
	// each client.
	EventMemory *EventMemory
	// MaxKVBytes is the maximum size of a KV cache. Default: 64 MiB.
	MaxKVBytes int64
}

func (o Options) withDefaults() Options {
	if o.FirstChunkTimeout <= 0 {
		o.FirstChunkTimeout = 30 * time.Second
	}
	if o.ProgressTimeout <= 0 {
		o.ProgressTimeout = 10 * time.Second
	}
	if o.ControlTimeout <= 0 {
		o.ControlTimeout = 2 * time.Second
	}
	if o.MaxEventBytes <= 0 {
		o.MaxEventBytes = 1 << 20
	}
	if o.EventMemory == nil {
		o.EventMemory = NewEventMemory(DefaultEventMemory)
	}
	if o.MaxKVBytes <= 0 {
		o.MaxKVBytes = 64 << 20
	}
	return o
}

// HTTPClient is the Client that calls an engine over HTTP.
type HTTPClient struct {
	options Options
	streams *exchange.Client
	// control has a separate connection pool, so that a cancellation neither waits for nor shares a
	// connection of a stream.
	control *exchange.Client
}

var _ Client = (*HTTPClient)(nil)

// New returns a client of the named engine at address (ip:port).
func New(name, address string, o Options) *HTTPClient {
	return &HTTPClient{
		options: o.withDefaults(),
		streams: exchange.New(name, address, o.Options),
		control: exchange.New(name+" control", address, exchange.Options{DialTimeout: o.DialTimeout, MaxIdleConns: 2}),
	}
}

// Close closes the idle connections.
func (h *HTTPClient) Close() {
	h.streams.Close()
	h.control.Close()
}

// Start implements Client.
func (h *HTTPClient) Start(ctx context.Context, a Attempt) (Stream, error) {
	header := make(http.Header)
	header.Set(exchange.HeaderPriority, strconv.Itoa(int(a.Class)))
	if a.Chat != "" {
		header.Set(exchange.HeaderChat, a.Chat)
	}
	if !a.Deadline.IsZero() {
		header.Set(exchange.HeaderDeadline, a.Deadline.UTC().Format(time.RFC3339Nano))
	}
	return h.openStream(ctx, "/v1/chat/completions", header, a.Body, a.ID, 0)
}

// Resume implements Client.
func (h *HTTPClient) Resume(ctx context.Context, attempt string, after int) (Stream, error) {
	path := "/v1/streams/" + url.PathEscape(attempt) + "/resume"
	return h.openStream(ctx, path, make(http.Header), marshal(resumeRequest{After: after}), attempt, after)
}

// openStream sends a request whose response is a stream. The timeout of the first chunk includes
// the response header.
func (h *HTTPClient) openStream(ctx context.Context, path string, header http.Header, body []byte, attempt string, after int) (Stream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	watchdog := time.AfterFunc(h.options.FirstChunkTimeout, func() { cancel(exchange.ErrNoProgress) })
	fail := func(err error) (Stream, error) {
		watchdog.Stop()
		cancel(nil)
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, h.streams.URL(path), bytes.NewReader(body))
	if err != nil {
		return fail(&exchange.Error{Kind: exchange.Unreachable, Cause: err})
	}
	r.Header = header
	r.Header.Set("Content-Type", "application/json")
	resp, failure := h.streams.Do(r, attempt, false) //nolint:bodyclose // The stream closes the body.
	if failure != nil {
		return fail(failure)
	}
	if resp.StatusCode != http.StatusOK {
		return fail(exchange.NewStatusError(resp))
	}
	s := newStream(ctx, cancel, resp, watchdog)
	watchdog.Stop()
	s.events = newEventReader(resp.Body, h.options.MaxEventBytes, h.options.EventMemory)
	s.attempt = attempt
	s.lastSeq = after
	s.firstTimeout = h.options.FirstChunkTimeout
	s.progressTimeout = h.options.ProgressTimeout
	return s, nil
}

// Cancel implements Client.
func (h *HTTPClient) Cancel(ctx context.Context, attempt string) error {
	_, err := h.call(ctx, http.MethodPost, "/v1/streams/"+url.PathEscape(attempt)+"/cancel", nil, maxControlBytes)
	return err
}

// Load implements Client.
func (h *HTTPClient) Load(ctx context.Context) (Report, error) {
	return get[Report](ctx, h, "/v1/load")
}

// Events implements Client.
func (h *HTTPClient) Events(ctx context.Context, after int64) (Events, error) {
	return get[Events](ctx, h, "/v1/events?after="+strconv.FormatInt(after, 10))
}

// State implements Client.
func (h *HTTPClient) State(ctx context.Context) (State, error) {
	return get[State](ctx, h, "/v1/state")
}

// Order implements Client. If the engine refuses an order because of its fencing token or expiry,
// Order returns a Result and no error.
func (h *HTTPClient) Order(ctx context.Context, o Order) (Result, error) {
	data, err := h.call(ctx, http.MethodPost, "/v1/orders", marshal(o), maxControlBytes)
	if err != nil {
		return Result{}, err
	}
	return decode[Result](data)
}

// Export implements Client.
func (h *HTTPClient) Export(ctx context.Context, chat string) ([]byte, error) {
	return h.call(ctx, http.MethodPost, "/v1/kv/export", marshal(exportRequest{Chat: chat}), h.options.MaxKVBytes)
}

// Import implements Client.
func (h *HTTPClient) Import(ctx context.Context, kv []byte) error {
	_, err := h.call(ctx, http.MethodPost, "/v1/kv/import", kv, maxControlBytes)
	return err
}

// call sends a request and returns the complete response body, which must not exceed limit bytes.
func (h *HTTPClient) call(ctx context.Context, method, path string, body []byte, limit int64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, h.options.ControlTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, h.control.URL(path), bytes.NewReader(body))
	if err != nil {
		return nil, &exchange.Error{Kind: exchange.Unreachable, Cause: err}
	}
	resp, failure := h.control.Do(r, "", false)
	if failure != nil {
		return nil, failure
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return nil, exchange.NewStatusError(resp)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, exchange.NewError(ctx, err, true)
	}
	if int64(len(data)) > limit {
		return nil, &exchange.Error{Kind: exchange.Protocol, Sent: true, Message: "response exceeds the size limit"}
	}
	return data, nil
}

func get[T any](ctx context.Context, h *HTTPClient, path string) (T, error) {
	data, err := h.call(ctx, http.MethodGet, path, nil, maxControlBytes)
	if err != nil {
		var zero T
		return zero, err
	}
	return decode[T](data)
}

func decode[T any](data []byte) (T, error) {
	var v T
	if err := json.Unmarshal(data, &v); err != nil {
		return v, &exchange.Error{Kind: exchange.Protocol, Sent: true, Message: "response cannot be decoded", Cause: err}
	}
	return v, nil
}

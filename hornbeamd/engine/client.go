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
	// drainTime and drainBytes bound the reading of a body behind its explicit end.
	drainTime  = 100 * time.Millisecond
	drainBytes = 4 << 10
	// controlBytes bounds the answers other than streams and KV caches.
	controlBytes = 4 << 20
)

// Options are the settings of an HTTP client of an engine.
type Options struct {
	exchange.Options
	// First and Progress are the longest times without a chunk before and after the first one. Defaults 30 s and 10 s.
	First, Progress time.Duration
	// Control is the longest time for calls other than streams. Default 2 s.
	Control time.Duration
	// Event is the largest event of a stream in bytes. Default 1 MiB.
	Event int
	// KV is the largest KV cache in bytes. Default 64 MiB.
	KV int64
}

func (o Options) withDefaults() Options {
	if o.First <= 0 {
		o.First = 30 * time.Second
	}
	if o.Progress <= 0 {
		o.Progress = 10 * time.Second
	}
	if o.Control <= 0 {
		o.Control = 2 * time.Second
	}
	if o.Event <= 0 {
		o.Event = 1 << 20
	}
	if o.KV <= 0 {
		o.KV = 64 << 20
	}
	return o
}

// HTTP is the Client of an engine over HTTP.
type HTTP struct {
	options Options
	streams *exchange.Client
	// control has connections of its own, so that a cancellation does not wait behind, or share, those of streams.
	control *exchange.Client
}

var _ Client = (*HTTP)(nil)

// New returns a client of the engine with that name at address (ip:port).
func New(name, address string, o Options) *HTTP {
	return &HTTP{
		options: o.withDefaults(),
		streams: exchange.New(name, address, o.Options),
		control: exchange.New(name+" control", address, exchange.Options{Dial: o.Dial, Idle: 2}),
	}
}

// Close closes the idle connections.
func (h *HTTP) Close() {
	h.streams.Close()
	h.control.Close()
}

// Start implements Client.
func (h *HTTP) Start(ctx context.Context, a Attempt) (Stream, error) {
	header := make(http.Header)
	header.Set(exchange.HeaderPriority, strconv.Itoa(int(a.Class)))
	if a.Chat != "" {
		header.Set(exchange.HeaderChat, a.Chat)
	}
	if !a.Deadline.IsZero() {
		header.Set(exchange.HeaderDeadline, a.Deadline.UTC().Format(time.RFC3339Nano))
	}
	return h.open(ctx, "/v1/chat/completions", header, a.Body, a.ID, 0)
}

// Resume implements Client.
func (h *HTTP) Resume(ctx context.Context, attempt string, after int) (Stream, error) {
	path := "/v1/streams/" + url.PathEscape(attempt) + "/resume"
	return h.open(ctx, path, make(http.Header), marshal(resumeOrder{After: after}), attempt, after)
}

// open sends a request whose answer is a stream. The deadline for the first chunk covers the answer's header too.
func (h *HTTP) open(ctx context.Context, path string, header http.Header, body []byte, attempt string, after int) (Stream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	watchdog := time.AfterFunc(h.options.First, func() { cancel(exchange.ErrDeadline) })
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
		return fail(exchange.Reject(resp))
	}
	s := newStream(ctx, cancel, resp, watchdog)
	watchdog.Stop()
	s.events = newEventReader(resp.Body, h.options.Event)
	s.attempt = attempt
	s.last = after
	s.first = h.options.First
	s.progress = h.options.Progress
	return s, nil
}

// Cancel implements Client.
func (h *HTTP) Cancel(ctx context.Context, attempt string) error {
	_, err := h.call(ctx, http.MethodPost, "/v1/streams/"+url.PathEscape(attempt)+"/cancel", nil, controlBytes)
	return err
}

// Load implements Client.
func (h *HTTP) Load(ctx context.Context) (Report, error) {
	return get[Report](ctx, h, "/v1/load")
}

// Events implements Client.
func (h *HTTP) Events(ctx context.Context, after int64) (Events, error) {
	return get[Events](ctx, h, "/v1/events?after="+strconv.FormatInt(after, 10))
}

// State implements Client.
func (h *HTTP) State(ctx context.Context) (State, error) {
	return get[State](ctx, h, "/v1/state")
}

// Order implements Client. An order that the engine refuses because of its fencing number or expiry is a Result, no error.
func (h *HTTP) Order(ctx context.Context, o Order) (Result, error) {
	data, err := h.call(ctx, http.MethodPost, "/v1/orders", marshal(o), controlBytes)
	if err != nil {
		return Result{}, err
	}
	return decode[Result](data)
}

// Export implements Client.
func (h *HTTP) Export(ctx context.Context, chat string) ([]byte, error) {
	return h.call(ctx, http.MethodPost, "/v1/kv/export", marshal(exportOrder{Chat: chat}), h.options.KV)
}

// Import implements Client.
func (h *HTTP) Import(ctx context.Context, kv []byte) error {
	_, err := h.call(ctx, http.MethodPost, "/v1/kv/import", kv, controlBytes)
	return err
}

// call makes an exchange with a whole answer of at most limit bytes.
func (h *HTTP) call(ctx context.Context, method, path string, body []byte, limit int64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, h.options.Control)
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
		return nil, exchange.Reject(resp)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, exchange.Failure(ctx, err, true)
	}
	if int64(len(data)) > limit {
		return nil, &exchange.Error{Kind: exchange.Protocol, Sent: true, Message: "the answer is larger than the limit"}
	}
	return data, nil
}

func get[T any](ctx context.Context, h *HTTP, path string) (T, error) {
	data, err := h.call(ctx, http.MethodGet, path, nil, controlBytes)
	if err != nil {
		var none T
		return none, err
	}
	return decode[T](data)
}

func decode[T any](data []byte) (T, error) {
	var v T
	if err := json.Unmarshal(data, &v); err != nil {
		return v, &exchange.Error{Kind: exchange.Protocol, Sent: true, Message: "the answer is malformed", Cause: err}
	}
	return v, nil
}

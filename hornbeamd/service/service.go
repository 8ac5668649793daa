// Package service is the HTTP client of a plain service.
package service

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"hornbeamstep.example/hornbeamd/exchange"
	"hornbeamstep.example/policy"
)

// Options are the settings of an HTTP client of a plain service.
type Options struct {
	exchange.Options
	// Progress is the longest time to the answer's header and between its parts. Default 30 s.
	Progress time.Duration
}

// HTTP is the client of one replica of a plain service.
type HTTP struct {
	client   *exchange.Client
	progress time.Duration
}

// New returns a client of the replica with that name at address (ip:port).
func New(name, address string, o Options) *HTTP {
	if o.Progress <= 0 {
		o.Progress = 30 * time.Second
	}
	return &HTTP{client: exchange.New(name, address, o.Options), progress: o.Progress}
}

// Close closes the idle connections.
func (h *HTTP) Close() { h.client.Close() }

// Request is one call.
type Request struct {
	// Attempt is unique for each attempt.
	Attempt, Method string
	// Target is the path and query.
	Target string
	// Header is the caller's header; what belongs to the hop or to the router is left out.
	Header http.Header
	Body   []byte
	// Once is true if the call must not be sent twice. It then uses a connection of its own.
	Once  bool
	Class policy.Class
}

// Answer is the answer to a call. Its Body must be closed.
type Answer struct {
	Status int
	// Header is without what belongs to the hop or to the router.
	Header http.Header
	// Length is the length of Body; negative if the service did not state it.
	Length int64
	Body   io.Reader
	close  func()
}

// Close ends the exchange. The connection is reused only if Body was read to its end.
func (a *Answer) Close() { a.close() }

// Call sends one call. Answers that belong to another attempt, and refusals, are failures.
func (h *HTTP) Call(ctx context.Context, q Request) (*Answer, *exchange.Error) {
	ctx, cancel := context.WithCancelCause(ctx)
	watchdog := time.AfterFunc(h.progress, func() { cancel(exchange.ErrDeadline) })
	stop := func() {
		watchdog.Stop()
		cancel(nil)
	}
	r, err := http.NewRequestWithContext(ctx, q.Method, h.client.URL(q.Target), bytes.NewReader(q.Body))
	if err != nil {
		stop()
		return nil, &exchange.Error{Kind: exchange.Unreachable, Cause: err}
	}
	r.Header = passed(q.Header)
	r.Header.Set(exchange.HeaderPriority, strconv.Itoa(int(q.Class)))
	resp, failure := h.client.Do(r, q.Attempt, q.Once) //nolint:bodyclose // Answer.Close closes the body.
	if failure != nil {
		stop()
		return nil, failure
	}
	header := passed(resp.Header)
	return &Answer{
		Status: resp.StatusCode, Header: header, Length: resp.ContentLength,
		Body:  &watched{body: resp.Body, watchdog: watchdog, limit: h.progress},
		close: func() { resp.Body.Close(); stop() },
	}, nil
}

// watched puts a deadline on each read. The deadline does not run while the caller takes what was read.
type watched struct {
	body     io.Reader
	watchdog *time.Timer
	limit    time.Duration
}

func (w *watched) Read(p []byte) (int, error) {
	w.watchdog.Reset(w.limit)
	defer w.watchdog.Stop()
	return w.body.Read(p)
}

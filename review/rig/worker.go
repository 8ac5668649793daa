package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is a stand-in of a backend server. It runs `slots` requests at a time and queues a few more,
// rejects further ones with Not-Executed, answers 421 to a request for another instance, and stops
// work at the time budget or when the channel closes.
type worker struct {
	id, service, address, zone string
	slots                      int
	// work is how long a request takes.
	work time.Duration
	// failAfterRun is asked for each request that has run: a status other than 0 is the answer
	// instead of 200.
	failAfterRun func(attempt string) int

	store    *store
	born     int64
	sequence int64
	place    chan struct{}
	queue    chan struct{}
	mu       sync.Mutex
	draining bool
}

const queueLength = 24

func startWorker(s *store, id, service, zone string, slots int, work time.Duration) *worker {
	l := listen("127.0.0.1:0")
	w := &worker{
		id: id, service: service, address: l.Addr().String(), zone: zone, slots: slots, work: work, store: s, born: time.Now().UnixMilli(),
		place: make(chan struct{}, slots), queue: make(chan struct{}, slots+queueLength),
	}
	server := &http.Server{Handler: w, IdleTimeout: 10 * time.Second}
	go func() { _ = server.Serve(l) }()
	w.register()
	go func() {
		for range time.Tick(heartbeat) {
			w.register()
		}
	}()
	return w
}

const heartbeat = 1200 * time.Millisecond

func (w *worker) register() {
	w.mu.Lock()
	w.sequence++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	n := w.sequence
	w.mu.Unlock()
	w.store.put("servers", w.id, map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": w.slots, "state": state,
		"cold_remaining_ms": 0, "sequence": n, "born": w.born,
	})
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("Attempt-Id")
	out.Header().Set("Attempt-Id", attempt)
	out.Header().Set("Instance-Id", w.id)
	out.Header().Set("Keep-Alive", "timeout=10")
	if r.URL.Path == "/healthz" {
		return
	}
	if target := r.Header.Get("Target-Instance"); target != "" && target != w.id {
		out.Header().Set("Not-Executed", "1")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if attempt == "" {
		out.Header().Set("Not-Executed", "1")
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	// The handler must read the body before it can notice that the channel closes.
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		note("worker %s: body of %s broke off", w.id, attempt)
		return
	}
	budget, _ := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	var end <-chan time.Time
	if budget > 0 {
		end = time.After(time.Duration(budget) * time.Millisecond)
	}
	select {
	case w.queue <- struct{}{}:
		defer func() { <-w.queue }()
	default:
		out.Header().Set("Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case w.place <- struct{}{}:
		defer func() { <-w.place }()
	case <-end:
		out.Header().Set("Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	runs.add(run{attempt: attempt, worker: w.id, at: time.Now(), bytes: n, budget: r.Header.Get("Deadline-Ms")})
	out.Header().Set("Response-Signature", fmt.Sprintf("%s.%s.%d", w.id, attempt, n))
	select {
	case <-time.After(w.work):
	case <-end:
		runs.end(attempt, "504")
		out.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		runs.end(attempt, "dropped, the channel closed")
		return
	}
	if w.failAfterRun != nil {
		if status := w.failAfterRun(attempt); status != 0 {
			runs.end(attempt, strconv.Itoa(status))
			out.WriteHeader(status)
			return
		}
	}
	runs.end(attempt, "200")
	body := strings.Repeat("x", 800-len(attempt)) + attempt
	out.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(out, body)
}

// run is the work of a worker on a request.
type run struct {
	attempt, worker, order string
	at                     time.Time
	bytes                  int64
	// budget is the Deadline-Ms that the worker got; empty for none.
	budget, ended string
}

type runList struct {
	mu   sync.Mutex
	list []run
}

var runs runList

func (l *runList) add(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, r)
}

func (l *runList) end(attempt, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.list) - 1; i >= 0; i-- {
		if l.list[i].attempt == attempt && l.list[i].ended == "" {
			l.list[i].ended = how
			return
		}
	}
}

// of returns the runs by attempt.
func (l *runList) of() map[string][]run {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string][]run{}
	for _, r := range l.list {
		out[r.attempt] = append(out[r.attempt], r)
	}
	return out
}

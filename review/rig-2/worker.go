package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const heartbeat = 1200 * time.Millisecond

// run is a request that a worker has begun to run.
type run struct {
	worker, id, tenant, key, lastEvent string
	body                               string
	began                              time.Time

	mu    sync.Mutex
	ended time.Time
}

func (r *run) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended.IsZero() {
		r.ended = time.Now()
	}
}

// endedAt returns the time of the end; zero while the run goes on.
func (r *run) endedAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended
}

// worker is a stand-in of a worker. It registers itself in the store and renews its entry.
type worker struct {
	bed           *bed
	service, zone string
	address       string
	slots         int
	// work runs a request after it was accepted. It writes the answer.
	work func(w *worker, rw http.ResponseWriter, r *http.Request, x *run)

	mu       sync.Mutex
	id       string
	sequence int
	listener net.Listener
	server   *http.Server
	conns    map[net.Conn]struct{}
	running  int
	stop     chan struct{}
}

// startLife begins a new lifetime with a new id at the worker's address.
func (w *worker) startLife() error {
	address := w.address
	if address == "" {
		address = net.JoinHostPort(w.bed.ip(200), "0")
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.address = l.Addr().String()
	w.id = fmt.Sprintf("i-%s-%d", w.service, w.bed.nextNumber())
	w.sequence, w.running, w.listener, w.conns, w.stop = 0, 0, l, map[net.Conn]struct{}{}, make(chan struct{})
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve), ConnState: func(c net.Conn, state http.ConnState) {
		w.mu.Lock()
		defer w.mu.Unlock()
		switch state {
		case http.StateNew:
			w.conns[c] = struct{}{}
		case http.StateClosed, http.StateHijacked:
			delete(w.conns, c)
		}
	}}
	go func(s *http.Server) { _ = s.Serve(l) }(w.server)
	w.bed.note("worker %s (%s) starts at %s", w.id, w.service, w.address)
	go w.renew(w.id, w.stop)
	return nil
}

// renew writes the worker's entry until its lifetime ends. After three intervals of silence the platform
// removes the entry.
func (w *worker) renew(id string, stop chan struct{}) {
	for {
		w.mu.Lock()
		w.sequence++
		entry := map[string]any{
			"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": w.slots,
			"state": "ready", "cold_remaining_ms": 0, "sequence": w.sequence,
		}
		w.mu.Unlock()
		w.bed.store.put("servers", id, entry)
		select {
		case <-stop:
			time.Sleep(3 * heartbeat)
			w.bed.store.remove("servers", id)
			return
		case <-time.After(heartbeat):
		}
	}
}

// crash ends the worker's process at once: all its channels are reset.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.stop:
		return
	default:
	}
	close(w.stop)
	_ = w.listener.Close()
	for c := range w.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	w.bed.note("worker %s crashes", w.id)
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	id := w.id
	w.mu.Unlock()
	if r.URL.Path == "/healthz" {
		rw.Header().Set("Instance-Id", id)
		return
	}
	attempt := r.Header.Get("Attempt-Id")
	rw.Header().Set("Attempt-Id", attempt)
	if target := r.Header.Get("Target-Instance"); target != "" && target != id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.mu.Lock()
	isFull := w.running >= w.slots
	if !isFull {
		w.running++
	}
	w.mu.Unlock()
	if isFull {
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		w.mu.Lock()
		w.running--
		w.mu.Unlock()
	}()
	x := &run{worker: id, id: attempt, tenant: r.Header.Get("Tenant"), key: r.Header.Get("Api-Key"), lastEvent: r.Header.Get("Last-Event-Id"), body: string(body), began: time.Now()}
	w.bed.addRun(x)
	w.bed.note("worker %s runs %s (tenant %q, last event %q)", id, attempt, x.tenant, x.lastEvent)
	// A worker drops a request when its channel closes.
	defer context.AfterFunc(r.Context(), x.end)()
	defer x.end()
	w.work(w, rw, r, x)
}

// answer writes a complete success.
func answer(rw http.ResponseWriter, body string) {
	rw.Header().Set("Response-Signature", "sig.1")
	rw.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = io.WriteString(rw, body)
}

// restartAfter begins a new lifetime after some time.
func (w *worker) restartAfter(d time.Duration) {
	time.AfterFunc(d, func() {
		if err := w.startLife(); err != nil {
			w.bed.note("worker at %s does not start again: %v", w.address, err)
		}
	})
}

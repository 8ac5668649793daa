package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// worker is a stand-in of a backend server. behave answers one request on a channel; it returns false to
// close the channel.
type worker struct {
	ID, Service, Zone, Address string
	Slots                      int
	log                        *record
	behave                     func(w *worker, c *channel, r *http.Request, body []byte) bool

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]struct{}
	running  int
	sequence int
	stopped  chan struct{}
}

// channel is a connection of a router to a worker.
type channel struct {
	net.Conn
	reader *bufio.Reader
	// served is the number of requests on it so far.
	served int
}

func startWorker(s *store, log *record, id, service, zone string, slots int, behave func(*worker, *channel, *http.Request, []byte) bool) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{ID: id, Service: service, Zone: zone, Address: l.Addr().String(), Slots: slots, log: log, behave: behave, listener: l, conns: map[net.Conn]struct{}{}, stopped: make(chan struct{})}
	go w.accept(l)
	go w.beat(s)
	return w, nil
}

// beat renews the entry in the store.
func (w *worker) beat(s *store) {
	for {
		w.sequence++
		s.put("servers", w.ID, map[string]any{"service": w.Service, "address": w.Address, "zone": w.Zone, "version": "v1", "slots": w.Slots, "state": "ready", "cold_remaining_ms": 0, "sequence": w.sequence})
		select {
		case <-w.stopped:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

func (w *worker) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[conn] = struct{}{}
		w.mu.Unlock()
		go w.serve(conn)
	}
}

func (w *worker) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		w.mu.Lock()
		delete(w.conns, conn)
		w.mu.Unlock()
	}()
	c := &channel{Conn: conn, reader: bufio.NewReader(conn)}
	for {
		// Idle channels are closed after a timeout, which the answers state.
		conn.SetReadDeadline(time.Now().Add(20 * time.Second))
		r, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		conn.SetReadDeadline(time.Time{})
		if id := r.Header.Get("Target-Instance"); id != "" && id != w.ID {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", w.ID)
			continue
		}
		if !w.behave(w, c, r, body) {
			return
		}
		c.served++
	}
}

// take takes a slot, or answers that there is none.
func (w *worker) take(c *channel, r *http.Request) bool {
	w.mu.Lock()
	full := w.running >= w.Slots
	if !full {
		w.running++
	}
	w.mu.Unlock()
	if full {
		io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: "+r.Header.Get("Attempt-Id")+"\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		return false
	}
	return true
}

func (w *worker) free() {
	w.mu.Lock()
	w.running--
	w.mu.Unlock()
}

// closesWithin reports whether the caller closes the channel within the given time, and waits so long otherwise.
func (c *channel) closesWithin(d time.Duration) bool {
	c.SetReadDeadline(time.Now().Add(d))
	defer c.SetReadDeadline(time.Time{})
	_, err := c.reader.Peek(1)
	var timeout net.Error
	return err != nil && !(errors.As(err, &timeout) && timeout.Timeout())
}

// signature is that of a worker's answer to a request.
func signature(w *worker, attempt string) string { return w.ID + "." + attempt }

// answer writes a complete success.
func (w *worker) answer(c *channel, attempt, body string) {
	io.WriteString(c, "HTTP/1.1 200 OK\r\nAttempt-Id: "+attempt+"\r\nResponse-Signature: "+signature(w, attempt)+"\r\nContent-Type: application/json\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
}

// crash ends the process of the worker as its callers see it: it listens no more, and its channels are reset.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.listener.Close()
	for conn := range w.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		conn.Close()
	}
}

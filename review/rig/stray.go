package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// strayBytes are what a faulty worker sends after a complete response: an answer without an Attempt-Id
// that belongs to no request, as HTTP libraries send it when a channel has been idle for too long.
const strayBytes = "HTTP/1.1 408 Request Timeout\r\nContent-Type: text/plain\r\nContent-Length: 0\r\n\r\n"

// garblingWorker answers each request soundly. With the fault on, it sends strayBytes after some of its
// responses, late: at the point where the next response on the channel is expected.
type garblingWorker struct {
	*worker
	// every is the number of responses of which one is followed by additional bytes; 0 for none.
	every atomic.Int64
	// responses counts the responses since the fault began.
	responses atomic.Int64
	strays    *atomic.Int64
}

func startGarblingWorker(s *store, id, service, zone string, slots int, work time.Duration, strays *atomic.Int64) *garblingWorker {
	l := listen("127.0.0.1:0")
	g := &garblingWorker{worker: &worker{
		id: id, service: service, address: l.Addr().String(), zone: zone, slots: slots, work: work, store: s, born: time.Now().UnixMilli(),
		place: make(chan struct{}, slots),
	}, strays: strays}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go g.serveChannel(conn)
		}
	}()
	g.register()
	go func() {
		for range time.Tick(heartbeat) {
			g.register()
		}
	}()
	return g
}

func (g *garblingWorker) serveChannel(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	owesStray := false
	for {
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err = io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		attempt := r.Header.Get("Attempt-Id")
		if target := r.Header.Get("Target-Instance"); target != g.id {
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nInstance-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", attempt, g.id)
			continue
		}
		g.place <- struct{}{}
		runs.add(run{attempt: attempt, worker: g.id, at: time.Now(), budget: r.Header.Get("Deadline-Ms"), order: r.Header.Get("Order")})
		sendStray := owesStray && g.every.Load() > 0
		owesStray = false
		if sendStray {
			g.strays.Add(1)
			note("worker %s sends additional bytes after the response before, while %s runs", g.id, attempt)
			// If this fails, so does the answer.
			_, _ = io.WriteString(conn, strayBytes)
		}
		time.Sleep(g.work)
		<-g.place
		body := strings.Repeat("x", 800)
		_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nInstance-Id: %s\r\nResponse-Signature: %s.%s\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s",
			attempt, g.id, g.id, attempt, len(body), body)
		if err != nil {
			runs.end(attempt, "the channel was closed before the answer")
			return
		}
		runs.end(attempt, "200")
		if every := g.every.Load(); every > 0 {
			owesStray = g.responses.Add(1)%every == 0
		}
	}
}

// strayCase: clients send orders (non-idempotent) on kept channels. With the disruption, a worker
// sends additional bytes after some of its complete responses. An order that is answered 408, 421, 429
// or 503 is promised not to have run, so its client sends it once more as a new attempt.
func strayCase(trouble bool) bool {
	const (
		workers    = 3
		garbled    = 1  // of the workers: 0.33, where the site file has a share of 0.6
		every      = 34 // of their responses: 0.0294, where the site file has x = 0.03
		garbleFor  = 5 * time.Second
		contact    = 3 * time.Second
		clientsFor = 12 * time.Second
	)
	s := newStore()
	s.put("config", "main", config(1, route("orders", "/orders/", "non_idempotent", "desk", 1, time.Second, 150*time.Millisecond)))
	var strays atomic.Int64
	var list []*garblingWorker
	for i, zone := range []string{"kariakoo", "mikocheni", "ubungo"} {
		list = append(list, startGarblingWorker(s, "i-desk"+string(rune('a'+i)), "desk", zone, 6, 30*time.Millisecond, &strays))
	}
	routers := startRouters(s, 2)
	time.Sleep(contact)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 16 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			c := &channel{address: routers[i%len(routers)].front()}
			defer func() { c.close() }()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(20+2*i) * time.Millisecond):
				}
				q := request{kind: "order", method: http.MethodPost, path: "/orders/2f", key: "key-hule", budget: time.Second, body: 600, order: fmt.Sprintf("%d-%d", i, n)}
				if promisesNotRun(c.do(q).status) {
					// A retry goes out on a new channel.
					c.close()
					c.do(q)
				}
			}
		}()
	}
	time.Sleep(3 * time.Second)
	if trouble {
		note("garble (extra late): %d of %d workers, one in %d responses, for %s", garbled, workers, every, garbleFor)
		for _, g := range list[:garbled] {
			g.every.Store(every)
		}
	}
	time.Sleep(garbleFor)
	for _, g := range list {
		g.every.Store(0)
	}
	time.Sleep(clientsFor - garbleFor - 3*time.Second)
	close(stop)
	clients.Wait()
	time.Sleep(200 * time.Millisecond)
	byAttempt := runs.of()
	refused, answered := 0, 0
	for _, q := range requests.all() {
		if q.status == http.StatusOK {
			answered++
		}
		if promisesNotRun(q.status) && len(byAttempt[q.attempt]) > 0 {
			refused++
			note("refused: %s of order %s was answered %d, and ran at worker %s", q.attempt, q.order, q.status, byAttempt[q.attempt][0].worker)
		}
	}
	executed := map[string]int{}
	for _, list := range byAttempt {
		for _, r := range list {
			executed[r.order]++
		}
	}
	twice := 0
	for _, n := range executed {
		if n > 1 {
			twice++
		}
	}
	report("requests %d, answered 200 %d, additional bytes sent %d times; answered 408, 421, 429 or 503 although they ran %d (REFUSED allows none); orders that ran twice %d",
		len(requests.all()), answered, strays.Load(), refused, twice)
	return refused > 0
}

func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the case. A stream takes 5 s at a worker, and some 12 s at a slow client.
const (
	slowClients = 200
	slowWorkers = 5
	slowEvents  = 500
	slowGap     = 10 * time.Millisecond
	// A slow client reads slowBurst bytes, waits for slowWait or a little longer, and for slowStop more after
	// one in slowStopEvery waits.
	slowBurst     = 4096
	slowWait      = 180 * time.Millisecond
	slowWaitMore  = 80 * time.Millisecond
	slowStopEvery = 20
	slowStop      = 2100 * time.Millisecond
	// slowStarts is the time during which clients begin streams.
	slowStarts = 2 * time.Second
	slowLimit  = 15 * time.Second
	// Other clients ask for short answers every slowPause, and read at once.
	slowOthers, slowShort = 20, 4
	slowPause             = 400 * time.Millisecond
	// slowTokens is the number of tokens in a piece.
	slowTokens = 3
	// The link of the clients takes small packets, and they have small receive buffers.
	slowPacket  = 1400
	slowReceive = 8192
)

// slowPiece is a piece of a stream as a client sees it.
type slowPiece struct {
	number int
	run    string
}

// slowEvent is a piece of a run, with a text of several lines.
func slowEvent(run string, number int) string {
	var text strings.Builder
	fmt.Fprintf(&text, "id: %d\n", number)
	for line := range 5 {
		fmt.Fprintf(&text, "data: %s piece %d line %d %s\n", run, number, line, strings.Repeat("t", 38))
	}
	return text.String() + "\n"
}

// slowPieces returns the pieces that have arrived whole.
func slowPieces(body string) (pieces []slowPiece, err error) {
	events := strings.Split(body, "\n\n")
	for _, event := range events[:len(events)-1] {
		var p slowPiece
		var number int
		if _, err := fmt.Sscanf(event, "id: %d\ndata: %s piece %d", &p.number, &p.run, &number); err != nil || number != p.number {
			return pieces, fmt.Errorf("unreadable piece %q", event)
		}
		pieces = append(pieces, p)
	}
	return pieces, nil
}

// runSlow checks that a stream whose client reads slowly isn't joined of two runs, except where the second one
// went on.
func runSlow(b *bed) error {
	s, err := newStore()
	if err != nil {
		return err
	}
	const host, prefix, service, key = "nocu94.example", "/kati510/", "lese7a", "n2ctnfzs989anu6wsjnb"
	s.put("config", "main", map[string]any{
		"version":  7,
		"routes":   []any{map[string]any{"name": "r-1", "host": host, "path_prefix": prefix, "kind": "streaming", "timeout_ms": 15000, "target_latency_ms": 600, "gap_target_ms": 300, "priority": 1, "service": service, "max_attempts": 2, "public": false, "sticky": true, "stream_resume": true}},
		"services": []any{map[string]any{"name": service, "health_check": "/healthz", "max_connections": 370, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 64, "kv_capacity_tokens": 712660, "kv_token_bytes": 35136, "models": []any{map[string]any{"name": "m"}}}}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "hule930", "api_keys": []string{key}, "priority": 1}},
	})
	var mu sync.Mutex
	// wentOn holds the piece after which each run began.
	wentOn := map[string]int{}
	behave := func(w *worker, c *channel, r *http.Request, _ []byte) bool {
		attempt := r.Header.Get("Attempt-Id")
		if !w.take(c, r) {
			return true
		}
		defer w.free()
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		_, output, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
		tokens, _ := strconv.Atoi(output)
		mu.Lock()
		run := fmt.Sprintf("run%05d", len(wentOn)+1)
		wentOn[run] = last
		mu.Unlock()
		b.log.add("%s runs %s as %s, after piece %d", w.ID, attempt, run, last)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nAttempt-Id: "+attempt+"\r\nResponse-Signature: "+signature(w, attempt)+"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		began := time.Now()
		for i := last + 1; i <= tokens/slowTokens; i++ {
			time.Sleep(time.Until(began.Add(time.Duration(i-last) * slowGap)))
			text := slowEvent(run, i)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil {
				b.log.add("%s: its caller has closed the channel of %s, before piece %d", w.ID, run, i)
				return false
			}
		}
		io.WriteString(c, "0\r\n\r\n")
		return true
	}
	for i := range slowWorkers {
		if _, err := startWorker(s, b.log, fmt.Sprintf("i-%08d", i), service, zones[i%len(zones)], 64, behave); err != nil {
			return err
		}
	}
	routers, err := newRouters(2, b.binary, b.temp, s.Address, nil)
	if err != nil {
		return err
	}
	for _, r := range routers {
		if err := r.start(); err != nil {
			return err
		}
		defer r.kill()
	}
	for _, r := range routers {
		if err := r.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, slowReceive)
			syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, slowPacket)
		})
	}}
	// read sends one request and reads its stream, slowly if the disruption is on.
	read := func(rng *rand.Rand, address, attempt string, events int) (status int, body string, err error) {
		conn, err := dialer.Dial("tcp", address)
		if err != nil {
			return 0, "", err
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(slowLimit))
		fmt.Fprintf(conn, "POST %s2f HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nApi-Key: %s\r\nModel: m\r\nToken-Usage: 200,%d\r\nPrompt-Prefix: 5c1e07a2:100,%s:100\r\nContent-Length: 6\r\n\r\nprompt",
			prefix, host, attempt, slowLimit.Milliseconds(), key, events*slowTokens, attempt[1:])
		resp, err := http.ReadResponse(bufio.NewReaderSize(conn, slowBurst), nil)
		if err != nil {
			return 0, "", err
		}
		var text strings.Builder
		buffer, burst := make([]byte, slowBurst), 0
		for {
			n, err := resp.Body.Read(buffer)
			text.Write(buffer[:n])
			if err != nil {
				return resp.StatusCode, text.String(), err
			}
			if burst += n; !b.trouble || burst < slowBurst {
				continue
			}
			burst = 0
			time.Sleep(slowWait + time.Duration(rng.Int63n(int64(slowWaitMore))))
			if rng.Intn(slowStopEvery) == 0 {
				time.Sleep(slowStop)
			}
		}
	}
	var group sync.WaitGroup
	whole, cut, joined := 0, 0, 0
	var wrong []string
	end := time.Now().Add(slowStarts)
	for i := range slowClients {
		group.Add(1)
		go func() {
			defer group.Done()
			rng := rand.New(rand.NewSource(int64(i)))
			for time.Now().Before(end) {
				attempt := newAttempt()
				b.log.add("client sends %s to %s", attempt, routers[i%len(routers)].front())
				status, body, err := read(rng, routers[i%len(routers)].front(), attempt, slowEvents)
				pieces, unreadable := slowPieces(body)
				b.log.add("client gets for %s: %d, %d bytes, %d pieces, ended with %v", attempt, status, len(body), len(pieces), err)
				mu.Lock()
				if err == io.EOF && len(pieces) == slowEvents {
					whole++
				} else {
					cut++
				}
				if unreadable != nil {
					wrong = append(wrong, fmt.Sprintf("%s: %v", attempt, unreadable))
				}
				var last slowPiece
				for _, p := range pieces {
					isJoint := last.run != "" && p.run != last.run
					if isJoint {
						joined++
					}
					switch {
					case p.number != last.number+1:
						wrong = append(wrong, fmt.Sprintf("%s: piece %d follows piece %d", attempt, p.number, last.number))
					case isJoint && wentOn[p.run] != last.number:
						wrong = append(wrong, fmt.Sprintf("%s: piece %d of %s is followed by piece %d of %s, which went on after piece %d", attempt, last.number, last.run, p.number, p.run, wentOn[p.run]))
					}
					last = p
				}
				mu.Unlock()
			}
		}()
	}
	over := make(chan struct{})
	var others sync.WaitGroup
	served := 0
	for i := range slowOthers {
		others.Add(1)
		go func() {
			defer others.Done()
			for {
				attempt := newAttempt()
				status, body, err := read(nil, routers[i%len(routers)].front(), attempt, slowShort)
				pieces, _ := slowPieces(body)
				mu.Lock()
				if status == http.StatusOK && err == io.EOF && len(pieces) == slowShort {
					served++
				}
				mu.Unlock()
				select {
				case <-over:
					return
				case <-time.After(slowPause):
				}
			}
		}()
	}
	group.Wait()
	close(over)
	others.Wait()
	mu.Lock()
	defer mu.Unlock()
	b.log.say("short streams of other clients served: %d", served)
	b.log.say("streams whole: %d, not whole within %s: %d; runs: %d; streams went on at another run %d times", whole, slowLimit, cut, len(wentOn), joined)
	if whole == 0 {
		return fmt.Errorf("no stream was whole")
	}
	for _, line := range wrong {
		b.log.say("ORDER: %s", line)
	}
	if len(wrong) > 0 {
		return fmt.Errorf("%w: %d times, pieces of two runs are joined elsewhere than the second one went on", errBroken, len(wrong))
	}
	return nil
}

package engine

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against an engine whose events don't end, to many requests at the same time: the sum of what
// is kept of them must not take the memory of the process.
func TestManyEndlessEvents(t *testing.T) {
	// maxBytes is the smallest memory_mb of a platform.
	const requests, maxBytes = 400, 184 << 20
	c := qt.New(t)
	var full atomic.Int64
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { listener.Close() })
	// All connections share the bytes, so that the heap is that of the clients.
	event := []byte("HTTP/1.1 200 OK\r\nAttempt-Id: a-1\r\nConnection: close\r\n\r\ndata: " + strings.Repeat("x", 1_000_000))
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, err := conn.Write(event)
				full.Add(1)
				for err == nil {
					time.Sleep(20 * time.Millisecond)
					_, err = io.WriteString(conn, "x")
				}
			}()
		}
	}()
	h := New("e", listener.Addr().String(), Options{FirstChunkTimeout: 5 * time.Second, ProgressTimeout: 5 * time.Second})
	c.Cleanup(h.Close)
	var running sync.WaitGroup
	for range requests {
		running.Go(func() {
			s, err := h.Start(t.Context(), Attempt{ID: "a-1"})
			if err != nil {
				return
			}
			defer s.Close()
			_, err = s.Next()
			c.Check(err, qt.IsNotNil)
		})
	}
	done := make(chan struct{})
	go func() { running.Wait(); close(done) }()
	var peak uint64
	for ended := false; !ended; {
		select {
		case <-done:
			ended = true
		case <-time.After(50 * time.Millisecond):
		}
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		peak = max(peak, m.HeapInuse)
	}
	t.Logf("%d events, heap of at most %d KB", full.Load(), peak>>10)
	c.Check(full.Load() > requests/2, qt.IsTrue)
	c.Check(peak < maxBytes, qt.IsTrue, qt.Commentf("heap of %d bytes", peak))
}

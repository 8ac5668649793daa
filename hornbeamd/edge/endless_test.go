//go:build !race

// The race detector takes several times the memory of the program.

package edge_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/platform/standin"
)

// startEndlessServers adds backend servers of a service that respond to each request with a header
// and a body of the given size, and then a byte at a time without end. It returns the number of
// responses that have reached that size.
func (p *testPlatform) startEndlessServers(count int, service, header string, size int) *atomic.Int64 {
	full := &atomic.Int64{}
	for i := range count {
		id := fmt.Sprintf("endless-%s-%d", service, i)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		p.c.Assert(err, qt.IsNil)
		p.c.Cleanup(func() { listener.Close() })
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go sendEndlessly(conn, id, header, size, full)
			}
		}()
		p.store.Put("servers", id, standin.Entry(service, listener.Addr().String(), "z1", standin.DefaultVersion, "ready"))
	}
	return full
}

func sendEndlessly(conn net.Conn, id, header string, size int, full *atomic.Int64) {
	defer conn.Close()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	attempt := r.Header.Get("Attempt-Id")
	_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: %s\r\n%s\r\n", attempt, standin.Signature(id, attempt), header)
	if err == nil {
		_, err = io.WriteString(conn, "data: "+strings.Repeat("x", size))
	}
	if err == nil {
		full.Add(1)
	}
	for err == nil {
		time.Sleep(20 * time.Millisecond)
		_, err = io.WriteString(conn, "x")
	}
}

// Guards against backend servers whose responses don't end, to many clients at the same time: the
// sum of what the router keeps of them must not exceed its memory, nor the others be refused.
func TestManyEndlessResponses(t *testing.T) {
	// maxMemoryKB is the smallest memory_mb of a platform on which each router serves so many
	// clients.
	const maxMemoryKB, clients, servers = 184 << 10, 400, 60
	for name, test := range map[string]struct {
		service, header, path, otherPath string
		size                             int
	}{
		"event":              {"pool", "Content-Type: text/event-stream\r\n", "/resume/stream/x", "/again/x", 1_000_000},
		"body":               {"plain", "", "/again/x", "/stream/x", 256_000},
		"body of 2^60 bytes": {"plain", "Content-Length: 1152921504606846976\r\n", "/again/x", "/stream/x", 256_000},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := newTestPlatform(c, 1)
			pid := p.routers[0].process.Process.Pid
			full := p.startEndlessServers(servers, test.service, test.header, test.size)
			p.waitFor(func() bool { p.send(0, test.path); return full.Load() > 0 })
			var wg sync.WaitGroup
			for range clients {
				wg.Go(func() { p.send(0, test.path) })
			}
			for range 100 {
				response := p.send(0, test.otherPath)
				c.Check(response.Err, qt.IsNil)
				c.Check(response.Status, qt.Equals, 200)
				time.Sleep(20 * time.Millisecond)
			}
			wg.Wait()
			peak := peakMemoryKB(c, pid)
			t.Logf("%d responses, peak memory %d KB", full.Load(), peak)
			c.Check(full.Load() > clients/2, qt.IsTrue, qt.Commentf("%d responses without end", full.Load()))
			c.Check(peak < maxMemoryKB, qt.IsTrue, qt.Commentf("peak memory of the router: %d KB", peak))
			c.Check(p.send(0, test.otherPath).Status, qt.Equals, 200)
		})
	}
}

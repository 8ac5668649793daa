//go:build !race

// The race detector takes several times the memory of the program.

package edge_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/platform/standin"
)

// unreadBytes returns the number of bytes that were received from the given ports of 127.0.0.1 and
// not yet read.
func unreadBytes(c *qt.C, ports map[int]bool) int {
	sockets, err := os.ReadFile("/proc/net/tcp")
	c.Assert(err, qt.IsNil)
	sum := 0
	for _, line := range strings.Split(string(sockets), "\n")[1:] {
		var remoteIP, remotePort, sending, unread int
		var number, local, state string
		_, err := fmt.Sscanf(line, "%s %s %X:%X %s %X:%X", &number, &local, &remoteIP, &remotePort, &state, &sending, &unread)
		if err == nil && ports[remotePort] {
			sum += unread
		}
	}
	return sum
}

// Guards against clients that read nothing while backend servers send without end: what the router's
// connections receive and it can't pass on counts as its memory, too.
func TestSlowClientsOfEndlessResponses(t *testing.T) {
	// maxMemory is the smallest memory_mb of a platform; see TestManyEndlessResponses.
	const maxMemory, clients, servers = 184 << 20, 150, 30
	c := qt.New(t)
	p := newTestPlatform(c, 1)
	ports := map[int]bool{}
	for i := range servers {
		id := fmt.Sprintf("endless-%d", i)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { listener.Close() })
		ports[listener.Addr().(*net.TCPAddr).Port] = true
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go sendFast(conn, id)
			}
		}()
		p.store.Put("servers", id, standin.Entry("plain", listener.Addr().String(), "z1", standin.DefaultVersion, "ready"))
	}
	for range clients {
		conn, err := net.Dial("tcp", p.frontAddr(0))
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { conn.Close() })
		_, err = fmt.Fprintf(conn, "POST /again/x HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nApi-Key: key\r\nDeadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n", standin.Host, p.nextAttempt())
		c.Assert(err, qt.IsNil)
	}
	unread := 0
	for range 30 {
		unread = max(unread, unreadBytes(c, ports))
		c.Check(p.send(0, "/stream/x").Status, qt.Equals, 200)
	}
	resident := peakMemoryKB(c, p.routers[0].process.Process.Pid) << 10
	t.Logf("unread at most %d KB, resident at most %d KB", unread>>10, resident>>10)
	c.Check(unread > 0, qt.IsTrue)
	c.Check(unread+resident < maxMemory, qt.IsTrue, qt.Commentf("%d bytes received and not read, %d resident", unread, resident))
}

// sendFast responds to a request with a body without end.
func sendFast(conn net.Conn, id string) {
	defer conn.Close()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	attempt := r.Header.Get("Attempt-Id")
	_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: %s\r\n\r\n", attempt, standin.Signature(id, attempt))
	text := strings.Repeat("x", 32<<10)
	for err == nil {
		conn.SetWriteDeadline(time.Now().Add(20 * time.Second))
		_, err = io.WriteString(conn, text)
	}
}

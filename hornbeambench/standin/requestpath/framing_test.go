package requestpath

import (
	"bufio"
	"cmp"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/hornbeamd/caller"
)

// startRawReplica starts a replica of a plain service that answers the first request on each
// connection with the given header fields and body, and then closes the connection. If reset is not
// nil, it waits until reset is closed and resets the connection instead. It returns its address.
func startRawReplica(t *testing.T, header, body string, reset <-chan struct{}) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveRaw(conn, header, body, reset)
		}
	}()
	return listener.Addr().String()
}

func serveRaw(conn net.Conn, header, body string, reset <-chan struct{}) {
	defer conn.Close()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: "+r.Header.Get("Attempt-Id")+"\r\n"+header+"\r\n"+body)
	if reset != nil {
		<-reset
		conn.(*net.TCPConn).SetLinger(0)
	}
}

// Guards against a response that looks complete to the caller although its service broke it off, by its
// connection or within an event, and against a complete one that looks broken off.
func TestResponseEndsWithConnection(t *testing.T) {
	const (
		eventStream   = "Content-Type: text/event-stream\r\nConnection: close\r\n"
		chunkedEvents = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
	)
	large := strings.Repeat("x", 1<<20)
	tests := map[string]struct {
		header, body string
		reset        bool
		incomplete   bool
		// status is the status that the caller receives, and method the method of its request, if they
		// are not 200 and GET.
		status int
		method string
	}{
		"events":                            {header: eventStream, body: "data: 1\n\ndata: 2\n\n"},
		"events with CRLF":                  {header: eventStream, body: "data: 1\r\n\r\ndata: 2\r\n\r\n"},
		"events with CR":                    {header: eventStream, body: "data: 1\r\rdata: 2\r\r"},
		"comment after the last event":      {header: eventStream, body: "data: 1\n\n: idle\n"},
		"no event":                          {header: eventStream, status: http.StatusServiceUnavailable},
		"only a comment":                    {header: eventStream, body: ": idle\n\n", incomplete: true},
		"header of an event stream":         {method: http.MethodHead, header: eventStream},
		"compressed events":                 {header: eventStream + "Content-Encoding: zstd\r\n", body: "opaque"},
		"inside the data of an event":       {header: eventStream, body: "data: 1\n\ndata: 2", incomplete: true},
		"before the blank line of an event": {header: eventStream, body: "data: 1\n\ndata: 2\n", incomplete: true},
		"inside the first event":            {header: eventStream, body: "d", incomplete: true},
		"inside an event with CRLF":         {header: eventStream, body: "data: 1\r\n\r\nid: 2\r\n", incomplete: true},
		"chunked events":                    {header: chunkedEvents, body: "9\r\ndata: 1\n\n\r\n0\r\n\r\n"},
		"chunked, no event":                 {header: chunkedEvents, body: "0\r\n\r\n"},
		"chunked, only a comment":           {header: chunkedEvents, body: "7\r\n: idle\n\r\n0\r\n\r\n"},
		"chunked, inside the first event":   {header: chunkedEvents, body: "6\r\ndata: \r\n0\r\n\r\n", incomplete: true},
		"chunked, before the blank line":    {header: chunkedEvents, body: "11\r\ndata: 1\n\ndata: 2\n\r\n0\r\n\r\n", incomplete: true},
		"events with a length":              {header: "Content-Type: text/event-stream\r\nContent-Length: 9\r\n", body: "data: 1\n\n"},
		"length, inside an event":           {header: "Content-Type: text/event-stream\r\nContent-Length: 13\r\n", body: "data: 1\n\ndata", incomplete: true},
		"length, compressed events":         {header: "Content-Type: text/event-stream\r\nContent-Encoding: zstd\r\nContent-Length: 6\r\n", body: "opaque"},
		"plain body":                        {header: "Connection: close\r\n", body: "data"},
		"large plain body":                  {header: "Connection: close\r\n", body: large},
		"large plain body that is reset":    {header: "Connection: close\r\n", body: large, reset: true, incomplete: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			var reset chan struct{}
			if test.reset {
				reset = make(chan struct{})
			}
			f.services = []caller.Grant{{Backend: "raw", Address: startRawReplica(t, test.header, test.body, reset)}}
			resp, err := http.DefaultClient.Do(f.request(cmp.Or(test.method, http.MethodGet), "/v1/services/records/all", ""))
			if test.incomplete && err != nil {
				// The connection was closed before the header was flushed.
				return
			}
			qt.Assert(t, err, qt.IsNil)
			defer resp.Body.Close()
			qt.Assert(t, resp.StatusCode, qt.Equals, cmp.Or(test.status, http.StatusOK))
			if test.reset {
				close(reset)
			}
			body, err := io.ReadAll(resp.Body)
			qt.Check(t, err != nil, qt.Equals, test.incomplete, qt.Commentf("body of %d bytes, error %v", len(body), err))
			if test.status == 0 && !test.incomplete && !strings.Contains(test.header, "chunked") {
				qt.Check(t, string(body), qt.Equals, test.body)
			}
		})
	}
}

package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/platform/standin"
)

// Guards against the failure of a second server that ends up in a stream which a first one has begun, and
// against such a stream that looks complete.
func TestFailureAfterBrokenStream(t *testing.T) {
	const begun = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"
	withBody := func(status, headers, body string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\nAttempt-Id: a1\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
	}
	signature := http.Header{}
	standin.Sign(signature, "s1", "a1")
	var header strings.Builder
	c := qt.New(t)
	c.Assert(signature.Write(&header), qt.IsNil)
	signed := header.String()
	header.Reset()
	rejection := httptest.NewRecorder()
	standin.Reject(rejection)
	c.Assert(rejection.Header().Write(&header), qt.IsNil)
	notRun := header.String()
	for name, second := range map[string]string{
		"500":                      withBody("500 Internal Server Error", signed, "secret failure"),
		"500 with events":          withBody("500 Internal Server Error", signed+"Content-Type: text/event-stream\r\n", "id: 3\ndata: secret\n\n"),
		"500 ends with connection": "HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: a1\r\n" + signed + "\r\nsecret failure",
		"503 not run":              withBody("503 Service Unavailable", notRun, "secret rejection"),
		"503 without a promise":    withBody("503 Service Unavailable", signed, "secret rejection"),
		"429":                      withBody("429 Too Many Requests", signed, "secret rejection"),
		"421":                      withBody("421 Misdirected Request", "", "secret rejection"),
		"404":                      withBody("404 Not Found", signed, "secret failure"),
		"302":                      withBody("302 Found", signed+"Location: /\r\n", "secret failure"),
		"200 unsigned":             withBody("200 OK", "Content-Type: text/event-stream\r\n", "id: 3\ndata: secret\n\n"),
		"200 without events":       withBody("200 OK", signed+"Content-Type: text/plain\r\n", "secret failure"),
		"200 without a body":       withBody("200 OK", signed, ""),
		"no response":              "",
		"no HTTP":                  "secret bytes\r\n\r\n",
		"a head in the head":       "HTTP/1.1 200 OK\r\nHTTP/1.1 500 secret\r\n\r\n",
	} {
		for _, framing := range []string{"chunked", "connection"} {
			t.Run(name+", "+framing, func(t *testing.T) {
				c := qt.New(t)
				var requests atomic.Int32
				_, address := startGateway(c, func(conn net.Conn, r *http.Request) {
					if requests.Add(1) > 1 {
						_, _ = io.WriteString(conn, second)
						return
					}
					head := responseHead(r, "HTTP/1.1") + "Content-Type: text/event-stream\r\n"
					if framing == "chunked" {
						_, _ = fmt.Fprintf(conn, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", head, len(begun), begun)
					} else {
						_, _ = fmt.Fprintf(conn, "%s\r\n%sid: 3\nda", head, begun)
					}
					time.Sleep(20 * time.Millisecond)
				})
				cl := dial(c, address)
				cl.send("/resume/x", relayTimeout)
				response, text, err := cl.receive()
				c.Assert(err, qt.IsNotNil, qt.Commentf("the stream looks complete: %q", text))
				c.Assert(response, qt.IsNotNil)
				c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
				rest, _ := io.ReadAll(cl.in)
				c.Assert(strings.Contains(text+string(rest), "secret"), qt.IsFalse, qt.Commentf("%q then %q", text, rest))
				c.Assert(string(rest), qt.Equals, "")
				c.Assert(requests.Load() >= 2, qt.IsTrue)
			})
		}
	}
}

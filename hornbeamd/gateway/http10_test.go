package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against clients with HTTP/1.0 that take a part of a response for all of it, because both end with
// the connection.
func TestBrokenResponseToHTTP10Client(t *testing.T) {
	for name, test := range map[string]struct{ path, part string }{
		"large response": {"/once/", strings.Repeat("y", 1<<20)},
		"stream":         {"/stream/", "id: 1\ndata: a\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			_, address := startGateway(c, func(conn net.Conn, r *http.Request) {
				fmt.Fprintf(conn, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", responseHead(r, "HTTP/1.1"), len(test.part), test.part)
				time.Sleep(50 * time.Millisecond)
			})
			cl := dial(c, address)
			_, err := fmt.Fprintf(cl.conn, "POST %s HTTP/1.0\r\nHost: h\r\nAttempt-Id: a1\r\nContent-Length: 2\r\n\r\nhi", test.path)
			c.Assert(err, qt.IsNil)
			response, _, err := cl.receive()
			if response != nil {
				c.Assert(response.StatusCode, qt.Equals, 200)
			}
			c.Assert(err, qt.IsNotNil)
		})
	}
}

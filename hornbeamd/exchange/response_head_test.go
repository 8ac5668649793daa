package exchange

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/routing/outcome"
)

// Guards against responses whose head can be read in more than one way, that have no valid status, or whose
// head stops.
func TestInvalidResponseHead(t *testing.T) {
	const rest = "Attempt-Id: a-1\r\nContent-Length: 2\r\n\r\n"
	heads := map[string]string{
		"blank before the colon":   "HTTP/1.1 200 OK\r\nAttempt-Id: a-1\r\nContent-Length : 2\r\n\r\n",
		"blank in a name":          "HTTP/1.1 200 OK\r\nX Y: 1\r\n" + rest,
		"line begins with a blank": "HTTP/1.1 200 OK\r\nAttempt-Id: a-1\r\nX: 1\r\n Content-Length: 2\r\n\r\n",
		"control byte in a value":  "HTTP/1.1 200 OK\r\nX: a\x01b\r\n" + rest,
		"length and chunks":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + rest,
		"status 000":               "HTTP/1.1 000 OK\r\n" + rest,
		"status 700":               "HTTP/1.1 700 OK\r\n" + rest,
	}
	whole := "HTTP/1.1 200 OK\r\n" + rest
	for cut := range len(whole) {
		heads[fmt.Sprintf("stops after %d bytes", cut)] = whole[:cut]
	}
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			address := startResponder(c, func(conn *net.TCPConn) {
				io.WriteString(conn, head)
				if !strings.HasPrefix(name, "stops") {
					io.WriteString(conn, "ok and more")
				}
			})
			failure := send(New("x", address, Options{}), http.MethodPost, "body", true)
			c.Assert(failure != nil, qt.IsTrue)
			c.Assert(failure.Outcome(), qt.Equals, outcome.Unknown)
		})
	}
}

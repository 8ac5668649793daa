package gateway_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against responses whose head can be read in more than one way, or that have no valid status.
func TestInvalidResponseHead(t *testing.T) {
	const rest = "Content-Length: 2\r\n\r\nok"
	for name, test := range map[string]struct{ version, status, fields string }{
		"blank before the colon":     {"HTTP/1.1", "200 OK", "Content-Length : 2\r\n\r\nokand more"},
		"tab before the colon":       {"HTTP/1.1", "200 OK", "Content-Length\t: 2\r\n\r\nokand more"},
		"blank in a name":            {"HTTP/1.1", "200 OK", "X Y: 1\r\n" + rest},
		"line begins with a blank":   {"HTTP/1.1", "200 OK", "X: 1\r\n Content-Length: 2\r\n\r\nokand more"},
		"line begins with a tab":     {"HTTP/1.1", "200 OK", "X: 1\r\n\tContent-Length: 2\r\n\r\nokand more"},
		"control byte in a name":     {"HTTP/1.1", "200 OK", "X\x01Y: 1\r\n" + rest},
		"control byte in a value":    {"HTTP/1.1", "200 OK", "X: a\x01b\r\n" + rest},
		"carriage return in a value": {"HTTP/1.1", "200 OK", "X: a\rY: b\r\n" + rest},
		"NUL in a name":              {"HTTP/1.1", "200 OK", "X\x00: 1\r\n" + rest},
		"no name":                    {"HTTP/1.1", "200 OK", ": 1\r\n" + rest},
		"no colon":                   {"HTTP/1.1", "200 OK", "X\r\n" + rest},
		"length and chunks":          {"HTTP/1.1", "200 OK", "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
		"chunks, HTTP/1.0":           {"HTTP/1.0", "200 OK", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
		"two lengths":                {"HTTP/1.1", "200 OK", "Content-Length: 3\r\n" + rest},
		"status 000":                 {"HTTP/1.1", "000 OK", rest},
		"status 000, whole response": {"HTTP/1.1", "000 OK", "\r\nHTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Signature: signed\r\n" + rest},
		"status 099":                 {"HTTP/1.1", "099 OK", rest},
		"status 101":                 {"HTTP/1.1", "101 Switching Protocols", "Upgrade: x\r\n" + rest},
		"status 600":                 {"HTTP/1.1", "600 OK", rest},
		"status 700":                 {"HTTP/1.1", "700 OK", rest},
		"status 999":                 {"HTTP/1.1", "999 OK", rest},
		"status of four digits":      {"HTTP/1.1", "2000 OK", rest},
		"status of two digits":       {"HTTP/1.1", "20 OK", rest},
		"version 2.0":                {"HTTP/2.0", "200 OK", rest},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			_, address := startGateway(c, func(conn net.Conn, r *http.Request) {
				head := strings.Replace(responseHead(r, test.version), "200 OK", test.status, 1)
				io.WriteString(conn, head+test.fields)
			})
			for _, path := range []string{"/once/", "/again/", "/stream/"} {
				cl := dial(c, address)
				cl.send(path, relayTimeout)
				response, body, err := cl.receive()
				c.Assert(err, qt.IsNil)
				c.Assert(response.StatusCode, qt.Equals, http.StatusBadGateway, qt.Commentf("%s: %q", path, body))
				c.Assert(body, qt.Equals, "")
			}
		})
	}
}

// Guards against a response whose head stops anywhere and that reaches the client as one with an empty or a
// short body.
func TestResponseHeadStops(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Signature: signed\r\nContent-Length: 12\r\nContent-Type: text/event-stream\r\n\r\n"
	for _, path := range []string{"/once/", "/again/", "/stream/", "/resume/"} {
		for _, end := range []string{"closed", "reset"} {
			t.Run(path+" "+end, func(t *testing.T) {
				c := qt.New(t)
				for cut := range len(head) {
					_, address := startGateway(c, func(conn net.Conn, _ *http.Request) {
						io.WriteString(conn, head[:cut])
						if end == "reset" {
							time.Sleep(time.Millisecond)
							conn.(*net.TCPConn).SetLinger(0)
						}
					})
					cl := dial(c, address)
					cl.send(path, relayTimeout)
					response, body, err := cl.receive()
					c.Assert(err, qt.IsNil)
					c.Assert(response.StatusCode, qt.Equals, http.StatusBadGateway, qt.Commentf("after %q: %q", head[:cut], body))
				}
			})
		}
	}
}

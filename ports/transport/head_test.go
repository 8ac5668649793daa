package transport_test

import (
	"errors"
	"io"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/ports/transport"
)

// Guards against heads that are judged differently when their bytes arrive in other pieces, and against
// heads that are rejected although they are valid.
func TestHeadsInPieces(t *testing.T) {
	const fields = "A: b\r\nContent-Length: 2\r\n\r\nok"
	for name, test := range map[string]struct {
		text  string
		valid bool
	}{
		"plain":                      {"HTTP/1.1 200 OK\r\n" + fields, true},
		"HTTP/1.0":                   {"HTTP/1.0 200 OK\r\n" + fields, true},
		"no reason":                  {"HTTP/1.1 200\r\n" + fields, true},
		"line feeds only":            {"HTTP/1.1 200 OK\nA: b\nContent-Length: 2\n\nok", true},
		"informational first":        {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n" + fields, true},
		"chunks":                     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true},
		"empty value":                {"HTTP/1.1 200 OK\r\nX:\r\n" + fields, true},
		"body like a bad head":       {"HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\nHTTP/9 0\r\nA B: 1", true},
		"blank before the colon":     {"HTTP/1.1 200 OK\r\nX : 1\r\n" + fields, false},
		"bad informational":          {"HTTP/1.1 100 Continue\r\nX Y: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + fields, false},
		"bad after an informational": {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\n" + fields, false},
		"status 700":                 {"HTTP/1.1 700 OK\r\n" + fields, false},
		"continued line":             {"HTTP/1.1 200 OK\r\nX: 1\r\n Y: 2\r\n" + fields, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			for piece := 1; piece <= len(test.text); piece++ {
				near, far := net.Pipe()
				go func() {
					defer far.Close()
					for rest := test.text; rest != ""; rest = rest[min(piece, len(rest)):] {
						if _, err := io.WriteString(far, rest[:min(piece, len(rest))]); err != nil {
							return
						}
					}
				}()
				conn := transport.NewConn(near)
				conn.Begin().EndRequest(nil)
				text, err := io.ReadAll(conn)
				var head *transport.HeadError
				c.Assert(errors.As(err, &head) || errors.Is(err, transport.ErrNoFinalStatus), qt.Equals, !test.valid, qt.Commentf("pieces of %d bytes: %v", piece, err))
				if test.valid {
					c.Assert(string(text), qt.Equals, test.text)
				}
				near.Close()
			}
		})
	}
}

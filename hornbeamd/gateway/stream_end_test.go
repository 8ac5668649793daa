package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// frame returns the header fields and the body of a response with the given framing.
func frame(framing, body string) string {
	switch framing {
	case "length":
		return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	case "connection":
		return "Connection: close\r\n\r\n" + body
	}
	chunk := ""
	if body != "" {
		chunk = fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	}
	return "Transfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\n\r\n"
}

// Guards against a stream that ends within an event and looks complete, whatever frames its body, and
// against a sound one that looks truncated. Only a stream that may be resumed goes on at a second server.
func TestStreamEndsWithinEvent(t *testing.T) {
	const (
		first = "id: 1\ndata: a\n\n"
		rest  = "id: 2\ndata: b\n\n"
	)
	for name, test := range map[string]struct {
		body, mediaType string
		// whole is true if the body is a complete stream. framed is true if only a length or chunks show that.
		whole, framed bool
		// begun is what the client gets of a truncated stream.
		begun string
	}{
		"events":                         {body: first + rest, whole: true},
		"events, CRLF":                   {body: strings.ReplaceAll(first+rest, "\n", "\r\n"), whole: true},
		"events, CR":                     {body: strings.ReplaceAll(first+rest, "\n", "\r"), whole: true},
		"no events":                      {whole: true, framed: true},
		"only a comment":                 {body: ": idle\n", whole: true, framed: true},
		"comment after the last event":   {body: first + ": idle\n", whole: true},
		"blank lines at the end":         {body: first + "\n\r\n", whole: true},
		"no media type":                  {body: first, mediaType: "-", whole: true},
		"other media type":               {body: `{"a":1}`, mediaType: "application/json", whole: true, framed: true},
		"within a line":                  {body: first + "id: 2\ndata: ", begun: first},
		"after a line":                   {body: first + "id: 2\ndata: b\n", begun: first},
		"after a line, CRLF":             {body: first + "id: 2\r\ndata: b\r\n", begun: first},
		"after a line, CR":               {body: first + "id: 2\rdata: b\r", begun: first},
		"within a comment":               {body: first + ": idle", begun: first},
		"within a line, no media type":   {body: first + "id: 2\nda", mediaType: "-", begun: first},
		"within the first event":         {body: "id: 1\ndata: "},
		"after a line of the first one":  {body: "id: 1\n"},
		"within a line after blank ones": {body: "\n\nid: 1"},
	} {
		for _, framing := range []string{"chunks", "length", "connection"} {
			for _, path := range []string{"/stream/", "/resume/"} {
				for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
					t.Run(strings.Join([]string{name, framing, path[1:], version}, ", "), func(t *testing.T) {
						c := qt.New(t)
						mediaType := ""
						switch test.mediaType {
						case "-":
						case "":
							mediaType = "Content-Type: text/event-stream\r\n"
						default:
							mediaType = "Content-Type: " + test.mediaType + "\r\n"
						}
						var requests atomic.Int32
						_, address := startGateway(c, func(conn net.Conn, r *http.Request) {
							body := test.body
							if requests.Add(1) > 1 {
								body = first + rest
								if r.Header.Get("Last-Event-Id") == "1" {
									body = rest
								}
							}
							_, _ = io.WriteString(conn, responseHead(r, "HTTP/1.1")+mediaType+frame(framing, body))
						})
						cl := dial(c, address)
						_, err := fmt.Fprintf(cl.conn, "POST %sx %s\r\nHost: h\r\nAttempt-Id: a1\r\nDeadline-Ms: 5000\r\nContent-Length: 2\r\n\r\nhi", path, version)
						c.Assert(err, qt.IsNil)
						response, text, err := cl.receive()
						got := qt.Commentf("%q, %v", text, err)
						c.Assert(response, qt.IsNotNil, got)
						resumes := path == "/resume/"
						switch isWhole := test.whole && (!test.framed || framing != "connection"); {
						case isWhole:
							c.Check(err, qt.IsNil, got)
							c.Check(text, qt.Equals, test.body)
							c.Check(requests.Load(), qt.Equals, int32(1))
						case resumes && test.mediaType != "application/json":
							c.Check(err, qt.IsNil, got)
							c.Check(text, qt.Equals, first+rest)
							c.Check(requests.Load(), qt.Equals, int32(2))
						case test.begun != "" && !resumes:
							c.Check(response.StatusCode, qt.Equals, http.StatusOK)
							c.Check(err, qt.IsNotNil, got)
							c.Check(text, qt.Equals, test.begun)
						case !resumes:
							c.Check(response.StatusCode, qt.Equals, http.StatusBadGateway, got)
							c.Check(text, qt.Equals, "")
						}
					})
				}
			}
		}
	}
}

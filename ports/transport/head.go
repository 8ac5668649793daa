package transport

import (
	"bytes"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// HeadError reports that the head of a response is not valid HTTP/1.0 or HTTP/1.1, or can be read in
// more than one way. The response must not be used, and the server may have run the request.
type HeadError struct{ Problem string }

func (e *HeadError) Error() string { return "invalid head of a response: " + e.Problem }

// IsFinalStatus reports whether a status can be that of a response to a request. RFC 9110, section 15,
// defines no class above 599, and lower statuses are not final.
func IsFinalStatus(status int) bool { return status >= http.StatusOK && status <= 599 }

// headChecker checks the heads of responses up to the final one, as their bytes arrive. It rejects what
// net/http accepts although it hides a field or the end of the body: field names with blanks, lines
// that continue a field, and contradictory lengths. The zero value expects the head of a response.
type headChecker struct {
	// line is the start of a line whose end has not arrived.
	line []byte
	// inFields is true after a status line, and done after the head of the final response.
	inFields, done bool
	// informational is true if the head is that of an informational response.
	informational bool
	// isHTTP10, hasLength and hasEncoding are what the head says so far of the framing of the body.
	isHTTP10, hasLength, hasEncoding bool
}

// check checks the next bytes of a connection. It ignores those after the head of the final response.
func (h *headChecker) check(p []byte) error {
	for !h.done && len(p) > 0 {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			h.line = append(h.line, p...)
			return nil
		}
		line := p[:end]
		if len(h.line) > 0 {
			h.line = append(h.line, line...)
			line, h.line = h.line, h.line[:0]
		}
		p = p[end+1:]
		if err := h.checkLine(string(bytes.TrimSuffix(line, []byte("\r")))); err != nil {
			return err
		}
	}
	return nil
}

func (h *headChecker) checkLine(line string) error {
	switch {
	case !h.inFields:
		h.inFields = true
		return h.checkStatusLine(line)
	case line != "":
		return h.checkField(line)
	case h.hasEncoding && (h.hasLength || h.isHTTP10):
		return &HeadError{"the length of the body is contradictory"}
	}
	*h = headChecker{done: !h.informational}
	return nil
}

// checkStatusLine checks a status line: the version, a blank and three digits, which may be followed by
// a blank and a reason.
func (h *headChecker) checkStatusLine(line string) error {
	const version, status = len("HTTP/1.1"), len("HTTP/1.1 200")
	if len(line) < status || line[:version] != "HTTP/1.1" && line[:version] != "HTTP/1.0" || line[version] != ' ' ||
		len(line) > status && line[status] != ' ' || !httpguts.ValidHeaderFieldValue(line) {
		return &HeadError{"malformed status line"}
	}
	number := 0
	for _, digit := range line[version+1 : status] {
		if digit < '0' || digit > '9' {
			return &HeadError{"malformed status"}
		}
		number = 10*number + int(digit-'0')
	}
	// A protocol is switched only if the client asks for it.
	h.informational = number >= http.StatusContinue && number < http.StatusOK && number != http.StatusSwitchingProtocols
	if !h.informational && !IsFinalStatus(number) {
		return ErrNoFinalStatus
	}
	h.isHTTP10 = line[:version] == "HTTP/1.0"
	return nil
}

func (h *headChecker) checkField(line string) error {
	name, value, found := strings.Cut(line, ":")
	if !found || !httpguts.ValidHeaderFieldName(name) {
		return &HeadError{"malformed field name"}
	}
	if !httpguts.ValidHeaderFieldValue(value) {
		return &HeadError{"malformed field value"}
	}
	switch http.CanonicalHeaderKey(name) {
	case "Content-Length":
		h.hasLength = true
	case "Transfer-Encoding":
		h.hasEncoding = true
	}
	return nil
}

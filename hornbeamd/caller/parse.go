package caller

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"hornbeamstep.example/routing/outcome"
)

const (
	// maxName bounds names that callers choose: chats, keys, models.
	maxName = 256
	// defaultTokens is the length of an answer assumed for a request that states none.
	defaultTokens = 256
	// bytesPerToken is the usual length of a token, for the estimate of a request's cost.
	bytesPerToken = 4
)

// chatRequest is what the router needs to know of a chat completion request. The body is otherwise passed on as it is.
type chatRequest struct {
	model, adapter, user string
	// first holds the messages up to the first of the user; they stay the same while a chat grows.
	first  []json.RawMessage
	stream bool
	// usage is true if the caller asked for the usage at the end of a stream.
	usage bool
	// tokens is the greatest length of the answer; at least 1.
	tokens int64
	// context is the estimated number of tokens of the chat's earlier turns; 0 for a new chat.
	context int64
	// body is the request to the engine: always streamed and with usage.
	body []byte
}

// fields are the members of a JSON object. The names are matched exactly, unlike those of a struct.
type fields map[string]json.RawMessage

// read decodes a member into v, if it is there and not null.
func (f fields) read(name string, v any) error {
	raw, ok := f[name]
	if !ok || string(raw) == "null" {
		return nil
	}
	if err := json.Unmarshal(raw, v); err != nil {
		return errMalformed("the field "+name+" has the wrong type", err)
	}
	return nil
}

// parseChat reads a chat completion request.
func parseChat(body []byte) (chatRequest, error) {
	var q chatRequest
	var f fields
	if err := json.Unmarshal(body, &f); err != nil || f == nil {
		return q, errMalformed("the body is not a JSON object", err)
	}
	var model string
	var messages []json.RawMessage
	var options fields
	var total, completion int64
	// The order is fixed, so that of several wrong fields the same one is always reported.
	for _, field := range []struct {
		name  string
		value any
	}{
		{"model", &model},
		{"messages", &messages},
		{"user", &q.user},
		{"stream", &q.stream},
		{"stream_options", &options},
		{"max_tokens", &total},
		{"max_completion_tokens", &completion},
	} {
		if err := f.read(field.name, field.value); err != nil {
			return q, err
		}
	}
	if err := options.read("include_usage", &q.usage); err != nil {
		return q, err
	}
	q.model, q.adapter, _ = strings.Cut(model, ":")
	if q.model == "" || len(model) > maxName {
		return q, errMalformed("the field model is missing or too long", nil)
	}
	if len(messages) == 0 {
		return q, errMalformed("the field messages is missing or empty", nil)
	}
	if total < 0 || completion < 0 {
		return q, errMalformed("the limit of tokens is negative", nil)
	}
	first, err := firstMessages(messages)
	if err != nil {
		return q, err
	}
	q.first = first
	if len(messages) > len(first) {
		q.context = size(messages[:len(messages)-1]) / bytesPerToken
	}
	q.tokens = max(total, completion)
	if q.tokens == 0 {
		q.tokens = defaultTokens
	}
	q.body, err = engineBody(f, options)
	return q, err
}

func size(messages []json.RawMessage) int64 {
	var n int64
	for _, m := range messages {
		n += int64(len(m))
	}
	return n
}

// firstMessages returns the messages up to the first of the user and checks the form of all.
func firstMessages(messages []json.RawMessage) ([]json.RawMessage, error) {
	end := 0
	for i, raw := range messages {
		var m fields
		var role string
		if err := json.Unmarshal(raw, &m); err != nil || m == nil {
			return nil, errMalformed("a message is not a JSON object", err)
		}
		if err := m.read("role", &role); err != nil || role == "" {
			return nil, errMalformed("a message has no role", err)
		}
		if end == 0 && role == "user" {
			end = i + 1
		}
	}
	if end == 0 {
		end = 1
	}
	return messages[:end], nil
}

// engineBody returns the request in the form for an engine. Every answer is fetched as a stream, because only a stream
// shows progress and can be resumed. The usage tells how much of the prompt was cached.
func engineBody(f, options fields) ([]byte, error) {
	if options == nil {
		options = fields{}
	}
	options["include_usage"] = json.RawMessage("true")
	encoded, err := json.Marshal(options)
	if err != nil {
		return nil, errMalformed("the field stream_options is malformed", err)
	}
	f["stream"] = json.RawMessage("true")
	f["stream_options"] = encoded
	body, err := json.Marshal(f)
	if err != nil {
		return nil, errMalformed("the body is malformed", err)
	}
	return body, nil
}

// chatName returns the name of the chat: the header, else the user, else a digest of the first messages.
func chatName(r *http.Request, q chatRequest) (string, error) {
	for _, name := range []string{r.Header.Get("Chat-Id"), q.user} {
		if len(name) > maxName {
			return "", errMalformed("the name of the chat is too long", nil)
		}
		if name != "" {
			return name, nil
		}
	}
	sum := sha256.New()
	for _, raw := range q.first {
		var compact bytes.Buffer
		if err := json.Compact(&compact, raw); err != nil {
			return "", errMalformed("a message is malformed", err)
		}
		sum.Write(compact.Bytes())
	}
	return hex.EncodeToString(sum.Sum(nil)[:16]), nil
}

// fingerprint identifies a request of an account when it is sent again. Lengths keep the parts apart.
func fingerprint(account, method, target string, body []byte) string {
	sum := sha256.New()
	for _, part := range []string{account, method, target} {
		sum.Write([]byte{byte(len(part) >> 8), byte(len(part))})
		io.WriteString(sum, part) //nolint:errcheck // A hash never fails.
	}
	sum.Write(body)
	return hex.EncodeToString(sum.Sum(nil)[:16])
}

// readBody reads a body of at most limit bytes within the time for a body.
func (c *call) readBody() ([]byte, error) {
	limit := c.s.options.Body
	if c.r.ContentLength > int64(limit) {
		return nil, errTooLarge("body", limit)
	}
	expected := c.r.ContentLength
	if expected < 0 {
		expected = int64(limit)
	}
	if !c.s.bodies.take(expected) {
		return nil, errFull("the router holds too many bytes of requests in progress")
	}
	c.held = expected
	// Not every connection has deadlines; the body is bounded all the same.
	_ = c.control.SetReadDeadline(time.Now().Add(c.s.options.Read))
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, int64(limit)))
	// The deadline must not stay: the server notices the caller's departure by reading.
	_ = c.control.SetReadDeadline(time.Time{})
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, errTooLarge("body", limit)
	case err != nil:
		c.w.Header().Set("Connection", "close")
		e := refuse(outcome.BadRequest, http.StatusRequestTimeout, "the body did not arrive in full", "send the whole body at once")
		e.Cause = err
		return nil, e
	}
	c.s.bodies.give(expected - int64(len(body)))
	c.held = int64(len(body))
	return body, nil
}

// checkHeader bounds the header.
func (c *call) checkHeader() error {
	size := len(c.r.URL.RequestURI())
	for name, values := range c.r.Header {
		for _, value := range values {
			size += len(name) + len(value) + 4
		}
	}
	if size <= c.s.options.Header {
		return nil
	}
	e := errTooLarge("header", c.s.options.Header)
	e.Status = http.StatusRequestHeaderFieldsTooLarge
	return e
}

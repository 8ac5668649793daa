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

	"hornbeamstep.example/hornbeamd/clientconn"
	"hornbeamstep.example/hornbeamd/memory"
	"hornbeamstep.example/routing/outcome"
	"hornbeamstep.example/routing/quarantine"
)

const (
	// maxNameBytes limits the names that callers choose: chat IDs, idempotency keys and model
	// names.
	maxNameBytes = 256
	// defaultMaxTokens is the response length in tokens that is assumed for a request without a limit
	// on tokens.
	defaultMaxTokens = 256
	// bytesPerToken is the typical length of a token. It is used to estimate the cost and the context
	// of a request.
	bytesPerToken = 4
	// maxParts is the number of messages of a chat that are checked for crashes of engines. The first
	// messages are those that chats share.
	maxParts = 64
)

// chatRequest holds the fields of a chat completion request that the router uses. All fields are
// passed on to the engine in body, unchanged except for stream and stream_options.
type chatRequest struct {
	model, adapter, user string
	// firstMessages holds the messages up to and including the first one with role user. They stay
	// the same while a chat grows, so they identify a chat without an ID.
	firstMessages []json.RawMessage
	stream        bool
	// includeUsage is true if the caller requested a usage chunk at the end of the stream.
	includeUsage bool
	// maxTokens is the maximum length of the response in tokens; at least 1.
	maxTokens int64
	// contextTokens is the estimated number of tokens of the chat's earlier turns; 0 for a new
	// chat.
	contextTokens int64
	// parts holds the keys of the messages; see SlotRequest.Parts.
	parts []quarantine.PartKey
	// body is the request body for the engine. It always requests a stream with usage.
	body []byte
}

// jsonObject holds the members of a JSON object by name. Names are case-sensitive; decoding into a
// struct would ignore case.
type jsonObject map[string]json.RawMessage

// decode decodes a member into target, unless it is absent or null.
func (o jsonObject) decode(name string, target any) error {
	raw, ok := o[name]
	if !ok || string(raw) == "null" {
		return nil
	}
	if err := json.Unmarshal(raw, target); err != nil {
		return errMalformed("the field "+name+" has the wrong type", err)
	}
	return nil
}

// parseChat parses and checks a chat completion request.
func parseChat(body []byte) (chatRequest, error) {
	var req chatRequest
	var object jsonObject
	if err := json.Unmarshal(body, &object); err != nil || object == nil {
		return req, errMalformed("the body is not a JSON object", err)
	}
	var model string
	var messages []json.RawMessage
	var streamOptions jsonObject
	var maxTokens, maxCompletionTokens int64
	// The order is fixed, so that a request with several invalid fields always gets the same error.
	for _, field := range []struct {
		name  string
		value any
	}{
		{"model", &model},
		{"messages", &messages},
		{"user", &req.user},
		{"stream", &req.stream},
		{"stream_options", &streamOptions},
		{"max_tokens", &maxTokens},
		{"max_completion_tokens", &maxCompletionTokens},
	} {
		if err := object.decode(field.name, field.value); err != nil {
			return req, err
		}
	}
	if err := streamOptions.decode("include_usage", &req.includeUsage); err != nil {
		return req, err
	}
	req.model, req.adapter, _ = strings.Cut(model, ":")
	if req.model == "" || len(model) > maxNameBytes {
		return req, errMalformed("the field model is missing or too long", nil)
	}
	if len(messages) == 0 {
		return req, errMalformed("the field messages is missing or empty", nil)
	}
	if maxTokens < 0 || maxCompletionTokens < 0 {
		return req, errMalformed("the limit of tokens is negative", nil)
	}
	first, err := firstMessages(messages)
	if err != nil {
		return req, err
	}
	req.firstMessages = first
	if len(messages) > len(first) {
		req.contextTokens = totalSize(messages[:len(messages)-1]) / bytesPerToken
	}
	for _, message := range messages[:min(len(messages)-1, maxParts)] {
		req.parts = append(req.parts, quarantine.PartKeyOf(req.model, string(message)))
	}
	req.maxTokens = max(maxTokens, maxCompletionTokens)
	if req.maxTokens == 0 {
		req.maxTokens = defaultMaxTokens
	}
	req.body, err = engineBody(object, streamOptions)
	return req, err
}

func totalSize(messages []json.RawMessage) int64 {
	var total int64
	for _, message := range messages {
		total += int64(len(message))
	}
	return total
}

// firstMessages returns the messages up to and including the first one with role user, or only the
// first message if none has that role. It checks that all messages are objects with a role.
func firstMessages(messages []json.RawMessage) ([]json.RawMessage, error) {
	end := 0
	for i, raw := range messages {
		var message jsonObject
		var role string
		if err := json.Unmarshal(raw, &message); err != nil || message == nil {
			return nil, errMalformed("a message is not a JSON object", err)
		}
		if err := message.decode("role", &role); err != nil || role == "" {
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

// engineBody returns the request body for an engine. It always requests a stream, because only a
// stream shows progress and can be resumed. It also always requests the usage, because the usage
// contains the number of cached prompt tokens.
func engineBody(object, streamOptions jsonObject) ([]byte, error) {
	if streamOptions == nil {
		streamOptions = jsonObject{}
	}
	streamOptions["include_usage"] = json.RawMessage("true")
	encoded, err := json.Marshal(streamOptions)
	if err != nil {
		return nil, errMalformed("the field stream_options is malformed", err)
	}
	object["stream"] = json.RawMessage("true")
	object["stream_options"] = encoded
	body, err := json.Marshal(object)
	if err != nil {
		return nil, errMalformed("the body is malformed", err)
	}
	return body, nil
}

// chatID returns the chat's ID: the header Chat-Id, else the field user, else a hash of
// chatRequest.firstMessages.
func chatID(r *http.Request, req chatRequest) (string, error) {
	for _, id := range []string{r.Header.Get("Chat-Id"), req.user} {
		if len(id) > maxNameBytes {
			return "", errMalformed("the name of the chat is too long", nil)
		}
		if id != "" {
			return id, nil
		}
	}
	hash := sha256.New()
	for _, raw := range req.firstMessages {
		var compact bytes.Buffer
		if err := json.Compact(&compact, raw); err != nil {
			return "", errMalformed("a message is malformed", err)
		}
		hash.Write(compact.Bytes())
	}
	return hex.EncodeToString(hash.Sum(nil)[:16]), nil
}

// fingerprint returns a hash of a request. It is the same if the client account sends the request
// again. Each part before the body is preceded by its length, because different parts with the same
// concatenation would otherwise collide.
func fingerprint(account, method, target string, body []byte) string {
	hash := sha256.New()
	for _, part := range []string{account, method, target} {
		hash.Write([]byte{byte(len(part) >> 8), byte(len(part))})
		io.WriteString(hash, part) //nolint:errcheck // A hash never fails.
	}
	hash.Write(body)
	return hex.EncodeToString(hash.Sum(nil)[:16])
}

// readBody reads the request body. It fails if the body exceeds Options.MaxBodyBytes, if it does not arrive
// within Options.ReadTimeout, or if requests of other callers hold the memory for requests. Afterwards, the
// request is not given up for want of memory any more.
func (c *call) readBody() ([]byte, error) {
	limit := c.server.options.MaxBodyBytes
	if c.r.ContentLength > int64(limit) {
		return nil, errTooLarge("body", limit)
	}
	conn := clientconn.FromContext(c.r.Context())
	// The error is ignored, since not every connection supports deadlines. The size of the body is
	// limited in any case.
	_ = c.controller.SetReadDeadline(time.Now().Add(c.server.options.ReadTimeout))
	body, isWhole, err := memory.ReadUpTo(http.MaxBytesReader(c.w, c.r.Body, int64(limit)), limit+1, c.r.ContentLength, conn.GrowBody)
	// Clears the deadline, since net/http detects a disconnected caller by reading from the
	// connection.
	_ = c.controller.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, errTooLarge("body", limit)
	case conn.IsRevoked(), err == nil && !isWhole, err == nil && !conn.Keep():
		c.w.Header().Set("Connection", "close")
		return nil, errOverloaded("the router holds too many bytes of requests in progress")
	case err != nil:
		c.w.Header().Set("Connection", "close")
		e := newRefusal(outcome.BadRequest, http.StatusRequestTimeout,
			"the body did not arrive in full", "send the whole body at once")
		e.Cause = err
		return nil, e
	}
	return body, nil
}

// checkHeader checks the size of the request URI and header fields against Options.MaxHeaderBytes.
// Each field has 4 bytes of separators: a colon, a space, CR and LF.
func (c *call) checkHeader() error {
	size := len(c.r.URL.RequestURI())
	for name, values := range c.r.Header {
		for _, value := range values {
			size += len(name) + len(value) + 4
		}
	}
	if size <= c.server.options.MaxHeaderBytes {
		return nil
	}
	e := errTooLarge("header", c.server.options.MaxHeaderBytes)
	e.Status = http.StatusRequestHeaderFieldsTooLarge
	return e
}

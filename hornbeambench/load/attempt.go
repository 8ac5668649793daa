package load

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/packages/param"
	"github.com/openai/openai-go/v3/packages/ssestream"

	"hornbeamstep.example/routing/outcome"
)

// attempt is the result of sending a request once.
type attempt struct {
	// complete is true if the whole expected response was received.
	complete bool
	// mismatch describes the difference between a response that looked complete and the expected
	// one. It is empty if there is no such difference.
	mismatch string
	// routerError is the error object of a router, and err any other failure.
	routerError *routerError
	err         error
	// unsent is true if no byte was sent.
	unsent bool
	// firstToken is the time to the first token of a stream, and tokenGaps the times between its
	// tokens. total is the time to the end of the response.
	firstToken time.Duration
	tokenGaps  []time.Duration
	total      time.Duration
}

// routerError is the error object of a router.
type routerError struct {
	Message string          `json:"message"`
	Code    outcome.Code    `json:"code"`
	Outcome outcome.Outcome `json:"outcome"`
	// RetryAfter is in seconds.
	RetryAfter float64 `json:"retry"`
	// Addresses are the routers to try next.
	Addresses []string `json:"addresses"`
}

type wireError struct {
	Error *routerError `json:"error"`
}

// wireCall is the part of a plain HTTP service's response that identifies the call.
type wireCall struct {
	Key string `json:"key"`
	// Digest is the SHA-256 hash of the request body, in hexadecimal.
	Digest string `json:"digest"`
}

// send sends a request to one router. Latencies are measured from the planned arrival.
func (s *runner) send(ctx context.Context, router string, r request, plannedArrival time.Time) attempt {
	ctx, cancel := context.WithTimeout(ctx, s.settings.AttemptTimeout)
	defer cancel()
	httpRequest, err := s.newRequest(ctx, router, r)
	if err != nil {
		return attempt{err: err, unsent: true}
	}
	response, err := s.client.Do(httpRequest)
	if err != nil {
		var opErr *net.OpError
		return attempt{err: err, unsent: errors.As(err, &opErr) && opErr.Op == "dial"}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return readErrorResponse(response)
	}
	switch {
	case r.key != "":
		return readServiceResponse(response, r, plannedArrival)
	case r.stream:
		return readStream(response, r, plannedArrival)
	default:
		return readCompletion(response, r, plannedArrival)
	}
}

// newRequest returns the HTTP request of a chat, or of a call to the plain HTTP service if r has an
// idempotency key.
func (s *runner) newRequest(ctx context.Context, router string, r request) (*http.Request, error) {
	path, body := "/v1/chat/completions", []byte(callRequestBody(r))
	if r.key != "" {
		path = "/v1/services/" + s.settings.Service + "/load"
	} else {
		var err error
		if body, err = s.chatRequestBody(r); err != nil {
			return nil, err
		}
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+router+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	httpRequest.Header.Set("Authorization", "Bearer "+r.caller.APIKey)
	httpRequest.Header.Set("Content-Type", "application/json")
	if r.key != "" {
		httpRequest.Header.Set("Idempotency-Key", r.key)
	} else {
		httpRequest.Header.Set("Chat-Id", r.chat)
	}
	return httpRequest, nil
}

func callRequestBody(r request) string { return fmt.Sprintf(`{"ticket":%q}`, r.id) }

func (s *runner) chatRequestBody(r request) ([]byte, error) {
	var messages []openai.ChatCompletionMessageParamUnion
	for _, t := range r.turns[:len(r.turns)-1] {
		messages = append(messages, openai.UserMessage(t.userMessage), openai.AssistantMessage(t.completion))
	}
	messages = append(messages, openai.UserMessage(r.turns[len(r.turns)-1].userMessage))
	params := openai.ChatCompletionNewParams{
		Model:     s.settings.Model,
		Messages:  messages,
		MaxTokens: param.NewOpt(int64(r.tokens)),
	}
	if r.stream {
		// The parameters have no field for this: the SDK adds it only in NewStreaming.
		params.SetExtraFields(map[string]any{"stream": true})
	}
	return json.Marshal(params)
}

// readErrorResponse reads the error object of a response. If there is none, the caller does not
// know whether the request ran, and the attempt has err set instead of routerError.
func readErrorResponse(response *http.Response) attempt {
	content, err := io.ReadAll(io.LimitReader(response.Body, 1<<20))
	if err != nil {
		return attempt{err: err}
	}
	return parseError(content, response.StatusCode)
}

// parseError decodes an error object. An object without an outcome counts as none.
func parseError(content []byte, status int) attempt {
	var wire wireError
	if json.Unmarshal(content, &wire) != nil || wire.Error == nil || wire.Error.Outcome == "" {
		return attempt{err: fmt.Errorf("status %d without an error object: %.80q", status, content)}
	}
	return attempt{routerError: wire.Error}
}

// readServiceResponse reads the response of a plain HTTP service and verifies that it belongs to
// the call of r.
func readServiceResponse(response *http.Response, r request, plannedArrival time.Time) attempt {
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return attempt{err: err}
	}
	var wire wireCall
	if err := json.Unmarshal(content, &wire); err != nil {
		return attempt{mismatch: "service response is not JSON"}
	}
	sum := sha256.Sum256([]byte(callRequestBody(r)))
	if wire.Key != r.key || wire.Digest != hex.EncodeToString(sum[:]) {
		return attempt{mismatch: "response belongs to call " + wire.Key}
	}
	return attempt{complete: true, total: time.Since(plannedArrival)}
}

// readCompletion reads a chat completion that is not streamed.
func readCompletion(response *http.Response, r request, plannedArrival time.Time) attempt {
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return attempt{err: err}
	}
	var completion openai.ChatCompletion
	if err := json.Unmarshal(content, &completion); err != nil || len(completion.Choices) != 1 {
		return attempt{mismatch: "response is not a completion with one choice"}
	}
	if mismatch := describeMismatch(completion.Choices[0].Message.Content, r.expected()); mismatch != "" {
		return attempt{mismatch: mismatch}
	}
	return attempt{complete: true, total: time.Since(plannedArrival)}
}

// readStream reads a streamed chat completion up to its [DONE] event. A stream that ends without
// this event is incomplete.
func readStream(response *http.Response, r request, plannedArrival time.Time) attempt {
	decoder := ssestream.NewDecoder(response)
	result := attempt{}
	var text strings.Builder
	lastToken := plannedArrival
	for decoder.Next() {
		event := decoder.Event()
		data := bytes.TrimSpace(event.Data)
		if event.Type == "error" {
			return parseError(data, response.StatusCode)
		}
		if string(data) == "[DONE]" {
			result.total = time.Since(plannedArrival)
			result.mismatch = describeMismatch(text.String(), r.expected())
			result.complete = result.mismatch == ""
			return result
		}
		var chunk openai.ChatCompletionChunk
		if err := json.Unmarshal(data, &chunk); err != nil {
			return attempt{mismatch: "chunk is not JSON"}
		}
		if len(chunk.Choices) == 0 || chunk.Choices[0].Delta.Content == "" {
			continue
		}
		now := time.Now()
		if text.Len() == 0 {
			result.firstToken = now.Sub(plannedArrival)
		} else {
			result.tokenGaps = append(result.tokenGaps, now.Sub(lastToken))
		}
		lastToken = now
		text.WriteString(chunk.Choices[0].Delta.Content)
	}
	err := decoder.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return attempt{err: fmt.Errorf("stream ended without a [DONE] event: %w", err)}
}

// describeMismatch describes how a response differs from the expected one. It returns an empty
// string if they are equal.
func describeMismatch(have, want string) string {
	switch {
	case have == want:
		return ""
	case strings.HasPrefix(want, have):
		return fmt.Sprintf("response is truncated after %d of %d bytes", len(have), len(want))
	case strings.Contains(have, want):
		return "response contains more than the expected text"
	default:
		return fmt.Sprintf("response belongs to another request: %.40q, expected %.40q", have, want)
	}
}

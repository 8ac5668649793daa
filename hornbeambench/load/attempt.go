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
	// whole is true if the right and whole answer was received.
	whole bool
	// wrong says how an answer that looked complete differs from the right one; empty if it does not.
	wrong string
	// failure is a typed error of a router; broken an end without one.
	failure *failure
	broken  error
	// unsent is true if no byte was sent.
	unsent bool
	first  time.Duration
	gaps   []time.Duration
	total  time.Duration
}

// failure is the error object of a router.
type failure struct {
	Message   string          `json:"message"`
	Code      outcome.Code    `json:"code"`
	Outcome   outcome.Outcome `json:"outcome"`
	Retry     float64         `json:"retry"`
	Addresses []string        `json:"addresses"`
}

type wireFailure struct {
	Error *failure `json:"error"`
}

// wireCall is the part of a plain service's answer that identifies the call.
type wireCall struct {
	Key    string `json:"key"`
	Digest string `json:"digest"`
}

// send sends a request to one router. Times count from since.
func (s *session) send(ctx context.Context, router string, r request, since time.Time) attempt {
	ctx, cancel := context.WithTimeout(ctx, s.settings.Deadline)
	defer cancel()
	question, err := s.build(ctx, router, r)
	if err != nil {
		return attempt{broken: err, unsent: true}
	}
	response, err := s.client.Do(question)
	if err != nil {
		var dial *net.OpError
		return attempt{broken: err, unsent: errors.As(err, &dial) && dial.Op == "dial"}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return refusal(response)
	}
	switch {
	case r.key != "":
		return call(response, r, since)
	case r.stream:
		return stream(response, r, since)
	default:
		return answer(response, r, since)
	}
}

func (s *session) build(ctx context.Context, router string, r request) (*http.Request, error) {
	path, body := "/v1/chat/completions", []byte(callBody(r))
	if r.key != "" {
		path = "/v1/services/" + s.settings.Service + "/load"
	} else {
		var err error
		if body, err = s.chatBody(r); err != nil {
			return nil, err
		}
	}
	question, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+router+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	question.Header.Set("Authorization", "Bearer "+r.caller.Key)
	question.Header.Set("Content-Type", "application/json")
	if r.key != "" {
		question.Header.Set("Idempotency-Key", r.key)
	} else {
		question.Header.Set("Chat-Id", r.chat)
	}
	return question, nil
}

func callBody(r request) string { return fmt.Sprintf(`{"ticket":%q}`, r.id) }

func (s *session) chatBody(r request) ([]byte, error) {
	var messages []openai.ChatCompletionMessageParamUnion
	for _, t := range r.turns[:len(r.turns)-1] {
		messages = append(messages, openai.UserMessage(t.question), openai.AssistantMessage(t.answer))
	}
	messages = append(messages, openai.UserMessage(r.turns[len(r.turns)-1].question))
	params := openai.ChatCompletionNewParams{
		Model:     s.settings.Model,
		Messages:  messages,
		MaxTokens: param.NewOpt(int64(r.tokens)),
	}
	if r.stream {
		params.SetExtraFields(map[string]any{"stream": true})
	}
	return json.Marshal(params)
}

// refusal reads the error object. An error without one has no outcome that a caller could rely on.
func refusal(response *http.Response) attempt {
	content, err := io.ReadAll(io.LimitReader(response.Body, 1<<20))
	if err != nil {
		return attempt{broken: err}
	}
	return failed(content, response.StatusCode)
}

func failed(content []byte, status int) attempt {
	var wire wireFailure
	if json.Unmarshal(content, &wire) != nil || wire.Error == nil || wire.Error.Outcome == "" {
		return attempt{broken: fmt.Errorf("status %d without an error object: %.80q", status, content)}
	}
	return attempt{failure: wire.Error}
}

// call reads the answer of a plain service, which names the call that it belongs to.
func call(response *http.Response, r request, since time.Time) attempt {
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return attempt{broken: err}
	}
	var wire wireCall
	if err := json.Unmarshal(content, &wire); err != nil {
		return attempt{wrong: "answer of the service is no JSON"}
	}
	sum := sha256.Sum256([]byte(callBody(r)))
	if wire.Key != r.key || wire.Digest != hex.EncodeToString(sum[:]) {
		return attempt{wrong: "answer belongs to call " + wire.Key}
	}
	return attempt{whole: true, total: time.Since(since)}
}

// answer reads a chat's answer in one piece.
func answer(response *http.Response, r request, since time.Time) attempt {
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return attempt{broken: err}
	}
	var completion openai.ChatCompletion
	if err := json.Unmarshal(content, &completion); err != nil || len(completion.Choices) != 1 {
		return attempt{wrong: "answer is no completion with one choice"}
	}
	if wrong := compare(completion.Choices[0].Message.Content, r.expected()); wrong != "" {
		return attempt{wrong: wrong}
	}
	return attempt{whole: true, total: time.Since(since)}
}

// stream reads a streamed answer until its explicit end; the end of the connection alone is no end of an answer.
func stream(response *http.Response, r request, since time.Time) attempt {
	decoder := ssestream.NewDecoder(response)
	result := attempt{}
	var text strings.Builder
	last := since
	for decoder.Next() {
		event := decoder.Event()
		data := bytes.TrimSpace(event.Data)
		if event.Type == "error" {
			return failed(data, response.StatusCode)
		}
		if string(data) == "[DONE]" {
			result.total = time.Since(since)
			result.wrong = compare(text.String(), r.expected())
			result.whole = result.wrong == ""
			return result
		}
		var chunk openai.ChatCompletionChunk
		if err := json.Unmarshal(data, &chunk); err != nil {
			return attempt{wrong: "chunk is no JSON"}
		}
		if len(chunk.Choices) == 0 || chunk.Choices[0].Delta.Content == "" {
			continue
		}
		now := time.Now()
		if text.Len() == 0 {
			result.first = now.Sub(since)
		} else {
			result.gaps = append(result.gaps, now.Sub(last))
		}
		last = now
		text.WriteString(chunk.Choices[0].Delta.Content)
	}
	err := decoder.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return attempt{broken: fmt.Errorf("stream ended without its end mark: %w", err)}
}

// compare says how an answer differs from the right one; it returns the empty string if it does not.
func compare(have, want string) string {
	switch {
	case have == want:
		return ""
	case strings.HasPrefix(want, have):
		return fmt.Sprintf("answer is truncated after %d of %d bytes", len(have), len(want))
	case strings.Contains(have, want):
		return "answer has more than the right one"
	default:
		return fmt.Sprintf("answer belongs to another request: %.40q, not %.40q", have, want)
	}
}

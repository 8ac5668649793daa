package load_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/hornbeambench/load"
)

// expectedCompletion returns the completion that the fake router generates.
func expectedCompletion(prompt string, tokens int) string {
	return fmt.Sprintf("answer of %d to %d bytes: %s", tokens, len(prompt), prompt[max(0, len(prompt)-20):])
}

type message struct{ Role, Content string }

// fakeRouter is a router whose responses are chosen by the test.
type fakeRouter struct {
	respond func(w http.ResponseWriter, expected string, attempt int64)
	// attempts counts all chat requests, and followUps those with earlier turns.
	attempts  atomic.Int64
	followUps atomic.Int64
}

func (f *fakeRouter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/route" {
		_, _ = fmt.Fprintf(w, `{"addresses":[{"address":%q}],"lifetime":30}`, r.Host)
		return
	}
	var body struct {
		Messages []message `json:"messages"`
		Tokens   int       `json:"max_tokens"`
	}
	content, _ := io.ReadAll(r.Body)
	_ = json.Unmarshal(content, &body)
	var prompt strings.Builder
	for _, m := range body.Messages {
		prompt.WriteString(m.Role + ":" + m.Content + "\n")
	}
	if len(body.Messages) > 1 {
		f.followUps.Add(1)
	}
	f.respond(w, expectedCompletion(prompt.String(), body.Tokens), f.attempts.Add(1))
}

func writeCompletion(w http.ResponseWriter, text string) {
	content, _ := json.Marshal(text)
	_, _ = fmt.Fprintf(w, `{"choices":[{"message":{"role":"assistant","content":%s}}]}`, content)
}

func writeChunk(w http.ResponseWriter, text string) {
	content, _ := json.Marshal(text)
	_, _ = fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":%s}}]}\n\n", content)
}

const notRun = `{"error":{"code":"draining","outcome":"not run","retry":0.01}}`

func run(t *testing.T, f *fakeRouter, stream float64) (*load.Result, string) {
	server := httptest.NewServer(f)
	t.Cleanup(server.Close)
	var records bytes.Buffer
	result, err := load.Run(context.Background(), load.Settings{
		Routers: []string{strings.TrimPrefix(server.URL, "http://")}, Callers: []load.Caller{{Label: "urgent", APIKey: "k"}},
		Model: "m", StreamRatio: stream, ArrivalRate: 400, Duration: 50 * time.Millisecond, ChatsPerCaller: 3, MessageWords: 4, CompletionTokens: 5, Seed: 7,
		MaxAttempts: 2, AttemptTimeout: 20 * time.Second, MaxRetryDelay: time.Second, ExpectedCompletion: expectedCompletion, Records: &records,
	})
	qt.Assert(t, err, qt.IsNil)
	return result, records.String()
}

// Guards against a load generator that counts a wrong, truncated or missing response as answered,
// or an error object as a missing response.
func TestEndings(t *testing.T) {
	for name, test := range map[string]struct {
		stream  float64
		respond func(w http.ResponseWriter, expected string, attempt int64)
		ending  load.Ending
	}{
		"whole": {0, func(w http.ResponseWriter, expected string, _ int64) { writeCompletion(w, expected) }, load.Answered},
		"stream": {1, func(w http.ResponseWriter, expected string, _ int64) {
			writeChunk(w, expected[:3])
			writeChunk(w, expected[3:])
			_, _ = io.WriteString(w, "data: [DONE]\n\n")
		}, load.Answered},
		"crossed":   {0, func(w http.ResponseWriter, expected string, _ int64) { writeCompletion(w, "x"+expected) }, load.Wrong},
		"truncated": {0, func(w http.ResponseWriter, expected string, _ int64) { writeCompletion(w, expected[:5]) }, load.Wrong},
		"truncated stream": {1, func(w http.ResponseWriter, expected string, _ int64) {
			writeChunk(w, expected[:5])
			_, _ = io.WriteString(w, "data: [DONE]\n\n")
		}, load.Wrong},
		"doubled token": {1, func(w http.ResponseWriter, expected string, _ int64) {
			writeChunk(w, expected)
			writeChunk(w, expected)
			_, _ = io.WriteString(w, "data: [DONE]\n\n")
		}, load.Wrong},
		"no end mark": {1, func(w http.ResponseWriter, expected string, _ int64) { writeChunk(w, expected) }, load.Unanswered},
		"error event": {1, func(w http.ResponseWriter, expected string, _ int64) {
			writeChunk(w, expected)
			_, _ = io.WriteString(w, "event: error\ndata: {\"error\":{\"code\":\"interrupted\",\"outcome\":\"ran\"}}\n\n")
		}, load.Refused},
		"refused": {0, func(w http.ResponseWriter, _ string, _ int64) {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, notRun)
		}, load.Refused},
		"untyped": {0, func(w http.ResponseWriter, _ string, _ int64) { w.WriteHeader(http.StatusBadGateway) }, load.Unanswered},
		"cut":     {0, func(http.ResponseWriter, string, int64) { panic(http.ErrAbortHandler) }, load.Unanswered},
	} {
		t.Run(name, func(t *testing.T) {
			result, records := run(t, &fakeRouter{respond: test.respond}, test.stream)
			qt.Assert(t, result.Sent > 5, qt.IsTrue)
			qt.Assert(t, result.CountOf(test.ending), qt.Equals, result.Sent, qt.Commentf("%+v", result.Endings))
			qt.Assert(t, strings.Count(records, "\n"), qt.Equals, result.Sent)
		})
	}
}

// Guards against requests that did not run and are not retried, and against chats that never get a
// second turn.
func TestRetriesRequestsThatDidNotRun(t *testing.T) {
	f := &fakeRouter{respond: func(w http.ResponseWriter, expected string, attempt int64) {
		if attempt == 1 {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, notRun)
			return
		}
		writeCompletion(w, expected)
	}}
	result, _ := run(t, f, 0)
	qt.Assert(t, result.CountOf(load.Answered), qt.Equals, result.Sent)
	qt.Assert(t, result.RetryCount, qt.Equals, 1)
	qt.Assert(t, f.followUps.Load() > 0, qt.IsTrue)
}

// Guards against settings with which a run would send or verify nothing.
func TestInvalidSettings(t *testing.T) {
	_, err := load.Run(context.Background(), load.Settings{Routers: []string{"127.0.0.1:1"}})
	var invalid *load.InvalidSettingError
	qt.Assert(t, errors.As(err, &invalid), qt.IsTrue)
	qt.Assert(t, invalid.Field, qt.Equals, "callers")
}

package modelengine

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxBodyBytes is the maximum size of a request body, except for an import of a KV cache.
const maxBodyBytes = 16 << 20

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type chatRequest struct {
	Model         string    `json:"model"`
	Messages      []message `json:"messages"`
	Stream        bool      `json:"stream"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	MaxTokens           int `json:"max_tokens"`
	MaxCompletionTokens int `json:"max_completion_tokens"`
}

// text returns the content of a message: the value of a string, or the raw JSON of any other value.
func (m message) text() string {
	var s string
	if json.Unmarshal(m.Content, &s) == nil {
		return s
	}
	return string(m.Content)
}

// newGeneration returns the generation for a chat completion request.
func (e *Engine) newGeneration(r *http.Request, request chatRequest) *generation {
	g := &generation{
		attemptID: r.Header.Get("Attempt-Id"), chatID: r.Header.Get("Chat-Id"), model: request.Model,
		responseTokens: e.config.DefaultMaxTokens, changed: make(chan struct{}),
	}
	g.priority, _ = strconv.Atoi(r.Header.Get("Priority"))
	if maxTokens := max(request.MaxTokens, request.MaxCompletionTokens); maxTokens > 0 {
		g.responseTokens = maxTokens
	}
	var prompt strings.Builder
	for _, m := range request.Messages {
		text := m.text()
		prompt.WriteString(m.Role + ":" + text + "\n")
		g.prefixes = appendMessage(g.prefixes, text, max(countTokens(text), 1))
		g.promptTokens += max(countTokens(text), 1)
	}
	g.prompt = prompt.String()
	return g
}

// serveChat handles POST /v1/chat/completions.
func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	var request chatRequest
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(body, &request)
	}
	if err != nil || len(request.Messages) == 0 {
		http.Error(w, "the request is malformed", http.StatusBadRequest)
		return
	}
	g := e.newGeneration(r, request)
	if g.attemptID == "" {
		g.attemptID = "direct-" + strconv.FormatInt(time.Now().UnixNano(), 36)
	}
	fault := e.nextFault(g.prompt)
	g.burst = fault.Kind == Burst
	w.Header().Set("Attempt-Id", g.attemptID)
	switch fault.Kind {
	case Refuse:
		writeRefusal(w)
		return
	case Hangup:
		panic(http.ErrAbortHandler)
	}
	refused, duplicate := e.admit(g)
	switch {
	case duplicate:
		http.Error(w, "the attempt id is in use", http.StatusConflict)
		return
	case refused:
		writeRefusal(w)
		return
	case fault.Kind == ErrorStatus:
		e.cancel(g.attemptID)
		http.Error(w, "injected failure", valueOrDefault(fault.StatusCode, http.StatusInternalServerError))
		return
	}
	if fault.Kind == Late {
		time.Sleep(fault.Delay)
	}
	resp := &response{engine: e, generation: g, fault: fault, w: w, r: r, includeUsage: request.StreamOptions.IncludeUsage, conn: connectionOf(r)}
	if request.Stream {
		resp.writeStream(0)
		return
	}
	resp.writeWhole()
}

// writeRefusal writes the response to a request that the engine did not start. The Not-Run header
// states that, so that the client can safely retry elsewhere.
func writeRefusal(w http.ResponseWriter) {
	w.Header().Set("Not-Run", "1")
	w.Header().Set("Retry-After", "1")
	http.Error(w, "the engine is full", http.StatusServiceUnavailable)
}

// serveResume handles POST /v1/streams/{attempt}/resume.
func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	var request struct {
		After int `json:"after"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&request); err != nil || request.After < 0 {
		http.Error(w, "the request is malformed", http.StatusBadRequest)
		return
	}
	attemptID := r.PathValue("attempt")
	w.Header().Set("Attempt-Id", attemptID)
	e.mu.Lock()
	g := e.generations[attemptID]
	e.mu.Unlock()
	if g == nil {
		http.Error(w, "the attempt is unknown", http.StatusNotFound)
		return
	}
	resp := &response{engine: e, generation: g, fault: e.nextFault(g.prompt), w: w, r: r, includeUsage: true, conn: connectionOf(r)}
	resp.writeStream(request.After)
}

// serveCancel handles POST /v1/streams/{attempt}/cancel.
func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	if !e.cancel(r.PathValue("attempt")) {
		http.Error(w, "the attempt is unknown", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

package modelengine

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxBody is the largest request in bytes.
const maxBody = 16 << 20

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type chatRequest struct {
	Model    string    `json:"model"`
	Messages []message `json:"messages"`
	Stream   bool      `json:"stream"`
	Options  struct {
		Usage bool `json:"include_usage"`
	} `json:"stream_options"`
	MaxTokens     int `json:"max_tokens"`
	MaxCompletion int `json:"max_completion_tokens"`
}

// text returns the content of a message: a string, or any other JSON as it stands.
func (m message) text() string {
	var s string
	if json.Unmarshal(m.Content, &s) == nil {
		return s
	}
	return string(m.Content)
}

// newRun returns the run of a request.
func (e *Engine) newRun(r *http.Request, q chatRequest) *run {
	n := &run{
		attempt: r.Header.Get("Attempt-Id"), chat: r.Header.Get("Chat-Id"), model: q.Model,
		limit: e.config.Tokens, changed: make(chan struct{}),
	}
	n.priority, _ = strconv.Atoi(r.Header.Get("Priority"))
	if limit := max(q.MaxTokens, q.MaxCompletion); limit > 0 {
		n.limit = limit
	}
	var prompt strings.Builder
	for _, m := range q.Messages {
		text := m.text()
		prompt.WriteString(m.Role + ":" + text + "\n")
		n.prefix = extend(n.prefix, text, max(tokens(text), 1))
		n.promptTokens += max(tokens(text), 1)
	}
	n.prompt = prompt.String()
	return n
}

// serveChat is POST /v1/chat/completions.
func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	var q chatRequest
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err == nil {
		err = json.Unmarshal(body, &q)
	}
	if err != nil || len(q.Messages) == 0 {
		http.Error(w, "the request is malformed", http.StatusBadRequest)
		return
	}
	n := e.newRun(r, q)
	if n.attempt == "" {
		n.attempt = "direct-" + strconv.FormatInt(time.Now().UnixNano(), 36)
	}
	f := e.takeFault(n.prompt)
	n.burst = f.Kind == Burst
	w.Header().Set("Attempt-Id", n.attempt)
	switch f.Kind {
	case Refuse:
		refuse(w)
		return
	case Hangup:
		panic(http.ErrAbortHandler)
	}
	full, known := e.admit(n)
	switch {
	case known:
		http.Error(w, "the attempt id is in use", http.StatusConflict)
		return
	case full:
		refuse(w)
		return
	case f.Kind == Status:
		e.cancel(n.attempt)
		http.Error(w, "injected failure", http.StatusInternalServerError)
		return
	}
	if f.Kind == Late {
		time.Sleep(f.Delay)
	}
	a := &answer{engine: e, run: n, fault: f, w: w, r: r, usage: q.Options.Usage, conn: connectionOf(r)}
	if q.Stream {
		a.stream(0)
		return
	}
	a.whole()
}

func refuse(w http.ResponseWriter) {
	w.Header().Set("Not-Run", "1")
	w.Header().Set("Retry-After", "1")
	http.Error(w, "the engine is full", http.StatusServiceUnavailable)
}

// serveResume is POST /v1/streams/{attempt}/resume.
func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	var order struct {
		After int `json:"after"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&order); err != nil || order.After < 0 {
		http.Error(w, "the request is malformed", http.StatusBadRequest)
		return
	}
	attempt := r.PathValue("attempt")
	w.Header().Set("Attempt-Id", attempt)
	e.mu.Lock()
	n := e.runs[attempt]
	e.mu.Unlock()
	if n == nil {
		http.Error(w, "the attempt is unknown", http.StatusNotFound)
		return
	}
	a := &answer{engine: e, run: n, fault: e.takeFault(n.prompt), w: w, r: r, usage: true, conn: connectionOf(r)}
	a.stream(order.After)
}

// serveCancel is POST /v1/streams/{attempt}/cancel.
func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	if !e.cancel(r.PathValue("attempt")) {
		http.Error(w, "the attempt is unknown", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

package modelengine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Delta        *delta  `json:"delta,omitempty"`
	Message      *delta  `json:"message,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

type usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	PromptDetails    promptDetails `json:"prompt_tokens_details"`
}

// completion is a chat completion, or one chunk of it, in the format of the OpenAI API.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// response writes the output of a generation as the response to one HTTP request. Several responses
// can read the same generation, because a stream can be resumed.
type response struct {
	engine       *Engine
	generation   *generation
	fault        Fault
	w            http.ResponseWriter
	r            *http.Request
	conn         *connection
	includeUsage bool
	// buffer contains the stream events that have not been written yet.
	buffer []byte
}

// writeStream streams the tokens that follow the first `after` tokens, then a chunk with the finish
// reason, the usage if requested, and the end-of-stream event.
func (resp *response) writeStream(after int) {
	resp.w.Header().Set("Content-Type", "text/event-stream")
	if resp.fault.Kind == WrongAttemptID && resp.fault.AfterTokens == 0 {
		resp.w.Header().Set("Attempt-Id", "another-attempt")
	}
	resp.w.WriteHeader(http.StatusOK)
	resp.flush()
	resp.injectConnectionFault(0)
	sent := after
	for {
		produced, reason, changed := resp.engine.progress(resp.generation)
		for ; sent < produced; sent++ {
			resp.writeToken(sent)
			resp.injectConnectionFault(sent + 1)
			if len(resp.buffer) > 64<<10 {
				resp.flush()
			}
		}
		resp.flush()
		if reason != notEnded && sent >= produced {
			resp.writeStreamEnd(reason, sent)
			return
		}
		select {
		case <-changed:
		case <-resp.r.Context().Done():
			return
		}
	}
}

// writeToken writes the chunk of the token at index, counted from 0, and injects the faults that
// alter or delay a single chunk.
func (resp *response) writeToken(index int) {
	id := resp.generation.attemptID
	seq := index + 1
	faulty := index == resp.fault.AfterTokens
	switch {
	case resp.fault.Kind == WrongAttemptID && faulty:
		id = "another-attempt"
	case resp.fault.Kind == Skip && faulty:
		return
	case resp.fault.Kind == Slow:
		resp.flush()
		time.Sleep(resp.fault.Delay)
	}
	d := &delta{Content: CompletionToken(resp.generation.prompt, seq)}
	if seq == 1 {
		d.Role = "assistant"
	}
	resp.writeChunk(id, seq, []choice{{Delta: d}}, nil)
	if resp.fault.Kind == Duplicate && faulty {
		resp.writeChunk(id, seq, []choice{{Delta: d}}, nil)
	}
}

// injectConnectionFault injects the faults that break or silence the connection, once the fault's
// number of tokens has been sent.
func (resp *response) injectConnectionFault(sent int) {
	if sent != resp.fault.AfterTokens {
		return
	}
	resp.flush()
	switch resp.fault.Kind {
	case Crash:
		resp.engine.crashAndRestart(resp.fault)
		panic(http.ErrAbortHandler)
	case Truncate:
		panic(http.ErrAbortHandler)
	case Silent:
		resp.conn.mu.Lock()
		resp.conn.silent = true
		resp.conn.mu.Unlock()
	}
}

// writeStreamEnd writes the events that end a stream: an error event unless the generation is
// complete.
func (resp *response) writeStreamEnd(reason endReason, sent int) {
	if reason != endCompleted {
		resp.buffer = append(resp.buffer, "event: error\ndata: {\"error\":{\"message\":\""+string(reason)+"\"}}\n\n"...)
		resp.flush()
		return
	}
	stop := "stop"
	resp.writeChunk(resp.generation.attemptID, sent+1, []choice{{Delta: &delta{}, FinishReason: &stop}}, nil)
	if resp.includeUsage {
		resp.writeChunk(resp.generation.attemptID, sent+2, []choice{}, resp.tokenUsage())
	}
	resp.buffer = append(resp.buffer, "data: [DONE]\n\n"...)
	resp.flush()
}

func (resp *response) tokenUsage() *usage {
	return &usage{
		PromptTokens: resp.generation.promptTokens, CompletionTokens: resp.generation.responseTokens, TotalTokens: resp.generation.promptTokens + resp.generation.responseTokens,
		PromptDetails: promptDetails{CachedTokens: resp.generation.cachedTokens},
	}
}

// writeChunk appends one stream event to the buffer.
func (resp *response) writeChunk(id string, seq int, choices []choice, u *usage) {
	data, err := json.Marshal(completion{
		ID: id, Object: "chat.completion.chunk", Created: 1, Model: resp.generation.model, Choices: choices, Usage: u,
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	resp.buffer = append(resp.buffer, "id: "+strconv.Itoa(seq)+"\ndata: "...)
	resp.buffer = append(resp.buffer, data...)
	resp.buffer = append(resp.buffer, "\n\n"...)
}

// flush sends the buffered events. While the engine hangs it blocks. On a silent connection it
// blocks until the client disconnects.
func (resp *response) flush() {
	if !resp.engine.waitForHangEnd(resp.r) {
		panic(http.ErrAbortHandler)
	}
	if resp.conn.isSilent() {
		<-resp.r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	_, _ = resp.w.Write(resp.buffer)
	resp.buffer = resp.buffer[:0]
	_ = http.NewResponseController(resp.w).Flush()
}

// writeWhole sends the complete response in one body, without streaming.
func (resp *response) writeWhole() {
	reason := resp.waitForEnd()
	if !resp.engine.waitForHangEnd(resp.r) || resp.conn.isSilent() {
		<-resp.r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if reason != endCompleted {
		http.Error(resp.w, "the attempt was "+string(reason), http.StatusInternalServerError)
		return
	}
	stop := "stop"
	message := &delta{Role: "assistant", Content: CompletionText(resp.generation.prompt, resp.generation.responseTokens)}
	id := resp.generation.attemptID
	if resp.fault.Kind == WrongAttemptID {
		id = "another-attempt"
		resp.w.Header().Set("Attempt-Id", id)
	}
	data, err := json.Marshal(completion{
		ID: id, Object: "chat.completion", Created: 1, Model: resp.generation.model,
		Choices: []choice{{Message: message, FinishReason: &stop}}, Usage: resp.tokenUsage(),
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	resp.w.Header().Set("Content-Type", "application/json")
	resp.w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if resp.fault.Kind == Truncate {
		data = data[:len(data)/2]
	}
	_, _ = resp.w.Write(data)
}

// waitForEnd waits until the generation has ended and returns the reason. It injects a crash when
// the fault's number of tokens has been produced.
func (resp *response) waitForEnd() endReason {
	for {
		produced, reason, changed := resp.engine.progress(resp.generation)
		if resp.fault.Kind == Crash && produced >= resp.fault.AfterTokens {
			resp.engine.crashAndRestart(resp.fault)
			panic(http.ErrAbortHandler)
		}
		if reason != notEnded {
			return reason
		}
		select {
		case <-changed:
		case <-resp.r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

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
	Index   int     `json:"index"`
	Delta   *delta  `json:"delta,omitempty"`
	Message *delta  `json:"message,omitempty"`
	Finish  *string `json:"finish_reason"`
}

type promptDetails struct {
	Cached int `json:"cached_tokens"`
}

type usage struct {
	Prompt     int           `json:"prompt_tokens"`
	Completion int           `json:"completion_tokens"`
	Total      int           `json:"total_tokens"`
	Details    promptDetails `json:"prompt_tokens_details"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// answer writes the answer of a run to one connection.
type answer struct {
	engine *Engine
	run    *run
	fault  Fault
	w      http.ResponseWriter
	r      *http.Request
	conn   *connection
	usage  bool
	out    []byte
}

// stream sends the tokens behind after, then the last chunk with the finish reason, the usage and the explicit end.
func (a *answer) stream(after int) {
	a.w.Header().Set("Content-Type", "text/event-stream")
	if a.fault.Kind == Crossed && a.fault.After == 0 {
		a.w.Header().Set("Attempt-Id", "another-attempt")
	}
	a.w.WriteHeader(http.StatusOK)
	a.flush()
	a.act(0)
	sent := after
	for {
		produced, how, changed := a.engine.look(a.run)
		for ; sent < produced; sent++ {
			a.token(sent)
			a.act(sent + 1)
			if len(a.out) > 64<<10 {
				a.flush()
			}
		}
		a.flush()
		if how != endNone && sent >= produced {
			a.finish(how, sent)
			return
		}
		select {
		case <-changed:
		case <-a.r.Context().Done():
			return
		}
	}
}

// token sends token n+1, with the faults that change a chunk.
func (a *answer) token(n int) {
	id := a.run.attempt
	seq := n + 1
	here := n == a.fault.After
	switch {
	case a.fault.Kind == Crossed && here:
		id = "another-attempt"
	case a.fault.Kind == Skip && here:
		return
	case a.fault.Kind == Slow:
		a.flush()
		time.Sleep(a.fault.Delay)
	}
	d := &delta{Content: Word(a.run.prompt, seq)}
	if seq == 1 {
		d.Role = "assistant"
	}
	a.chunk(id, seq, []choice{{Delta: d}}, nil)
	if a.fault.Kind == Duplicate && here {
		a.chunk(id, seq, []choice{{Delta: d}}, nil)
	}
}

// act acts out the faults that end a connection once sent tokens are out.
func (a *answer) act(sent int) {
	if sent != a.fault.After {
		return
	}
	a.flush()
	switch a.fault.Kind {
	case Crash:
		a.engine.crashAndRestart(a.fault)
		panic(http.ErrAbortHandler)
	case Truncate:
		panic(http.ErrAbortHandler)
	case Silent:
		a.conn.mu.Lock()
		a.conn.silent = true
		a.conn.mu.Unlock()
	}
}

func (a *answer) finish(how ending, sent int) {
	if how != endComplete {
		a.out = append(a.out, "event: error\ndata: {\"error\":{\"message\":\""+string(how)+"\"}}\n\n"...)
		a.flush()
		return
	}
	stop := "stop"
	a.chunk(a.run.attempt, sent+1, []choice{{Delta: &delta{}, Finish: &stop}}, nil)
	if a.usage {
		a.chunk(a.run.attempt, sent+2, []choice{}, a.usageOf())
	}
	a.out = append(a.out, "data: [DONE]\n\n"...)
	a.flush()
}

func (a *answer) usageOf() *usage {
	return &usage{
		Prompt: a.run.promptTokens, Completion: a.run.limit, Total: a.run.promptTokens + a.run.limit,
		Details: promptDetails{Cached: a.run.cached},
	}
}

func (a *answer) chunk(id string, seq int, choices []choice, u *usage) {
	data, err := json.Marshal(completion{
		ID: id, Object: "chat.completion.chunk", Created: 1, Model: a.run.model, Choices: choices, Usage: u,
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	a.out = append(a.out, "id: "+strconv.Itoa(seq)+"\ndata: "...)
	a.out = append(a.out, data...)
	a.out = append(a.out, "\n\n"...)
}

// flush sends what was gathered. A silent connection or a hanging engine sends nothing.
func (a *answer) flush() {
	if !a.engine.waitThawed(a.r) {
		panic(http.ErrAbortHandler)
	}
	if a.conn.isSilent() {
		<-a.r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	_, _ = a.w.Write(a.out)
	a.out = a.out[:0]
	_ = http.NewResponseController(a.w).Flush()
}

// whole sends the answer in one piece.
func (a *answer) whole() {
	how := a.wait()
	if !a.engine.waitThawed(a.r) || a.conn.isSilent() {
		<-a.r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if how != endComplete {
		http.Error(a.w, "the attempt was "+string(how), http.StatusInternalServerError)
		return
	}
	stop := "stop"
	message := &delta{Role: "assistant", Content: Answer(a.run.prompt, a.run.limit)}
	id := a.run.attempt
	if a.fault.Kind == Crossed {
		id = "another-attempt"
		a.w.Header().Set("Attempt-Id", id)
	}
	data, err := json.Marshal(completion{
		ID: id, Object: "chat.completion", Created: 1, Model: a.run.model,
		Choices: []choice{{Message: message, Finish: &stop}}, Usage: a.usageOf(),
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	a.w.Header().Set("Content-Type", "application/json")
	a.w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if a.fault.Kind == Truncate {
		data = data[:len(data)/2]
	}
	_, _ = a.w.Write(data)
}

// wait returns when the run has ended, acting out crashes on the way.
func (a *answer) wait() ending {
	for {
		produced, how, changed := a.engine.look(a.run)
		if a.fault.Kind == Crash && produced >= a.fault.After {
			a.engine.crashAndRestart(a.fault)
			panic(http.ErrAbortHandler)
		}
		if how != endNone {
			return how
		}
		select {
		case <-changed:
		case <-a.r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

package caller

import (
	"encoding/json"
	"net/http"
	"strings"

	"hornbeamstep.example/hornbeamd/engine"
	"hornbeamstep.example/hornbeamd/exchange"
)

// The parts of a chat completion chunk.
type (
	chunkWire struct {
		ID          string          `json:"id"`
		Created     int64           `json:"created"`
		Model       string          `json:"model"`
		Tier        string          `json:"service_tier"`
		Fingerprint string          `json:"system_fingerprint"`
		Choices     []choiceWire    `json:"choices"`
		Usage       json.RawMessage `json:"usage"`
	}

	choiceWire struct {
		Index    int           `json:"index"`
		Delta    deltaWire     `json:"delta"`
		Logprobs *logprobsWire `json:"logprobs"`
		Finish   *string       `json:"finish_reason"`
	}

	deltaWire struct {
		Role      string     `json:"role"`
		Content   *string    `json:"content"`
		Refusal   *string    `json:"refusal"`
		Reasoning *string    `json:"reasoning_content"`
		Tools     []toolWire `json:"tool_calls"`
	}

	toolWire struct {
		Index    int          `json:"index"`
		ID       string       `json:"id"`
		Type     string       `json:"type"`
		Function functionWire `json:"function"`
	}

	functionWire struct {
		Name      string `json:"name"`
		Arguments string `json:"arguments"`
	}

	logprobsWire struct {
		Content []json.RawMessage `json:"content"`
		Refusal []json.RawMessage `json:"refusal"`
	}
)

// The parts of a whole chat completion.
type (
	completionWire struct {
		ID          string          `json:"id"`
		Object      string          `json:"object"`
		Created     int64           `json:"created"`
		Model       string          `json:"model"`
		Tier        string          `json:"service_tier,omitempty"`
		Fingerprint string          `json:"system_fingerprint,omitempty"`
		Choices     []finishedWire  `json:"choices"`
		Usage       json.RawMessage `json:"usage,omitempty"`
	}

	finishedWire struct {
		Index    int           `json:"index"`
		Message  messageWire   `json:"message"`
		Logprobs *logprobsWire `json:"logprobs"`
		Finish   *string       `json:"finish_reason"`
	}

	messageWire struct {
		Role      string     `json:"role"`
		Content   *string    `json:"content"`
		Refusal   *string    `json:"refusal"`
		Reasoning *string    `json:"reasoning_content,omitempty"`
		Tools     []callWire `json:"tool_calls,omitempty"`
	}

	callWire struct {
		ID       string       `json:"id"`
		Type     string       `json:"type"`
		Function functionWire `json:"function"`
	}
)

// errAnswerTooLarge means that a whole answer exceeds the bound on memory.
var errAnswerTooLarge = &exchange.Error{
	Kind: exchange.Rejected, Sent: true, Status: http.StatusRequestEntityTooLarge,
	Message: "the answer is larger than the router gathers, ask for a stream",
}

// malformed means that a chunk has not the form of a chat completion chunk.
func malformed(message string, cause error) error {
	return &exchange.Error{Kind: exchange.Protocol, Sent: true, Message: message, Cause: cause}
}

// maxChoices and maxTools bound what indices in an engine's chunks can make the router allocate.
const (
	maxChoices = 128
	maxTools   = 128
)

// assembly puts the chunks of one attempt together to a whole answer.
type assembly struct {
	limit, size int
	head        chunkWire
	choices     []*choiceParts
	usage       json.RawMessage
}

// choiceParts gathers one choice.
type choiceParts struct {
	role                        string
	content, refusal, reasoning textParts
	tools                       []*toolParts
	logprobs                    *logprobsWire
	finish                      *string
}

type toolParts struct {
	call      toolWire
	arguments strings.Builder
}

// textParts gathers a text that may be absent.
type textParts struct {
	present bool
	text    strings.Builder
}

func (t *textParts) add(part *string) {
	if part != nil {
		t.present = true
		t.text.WriteString(*part)
	}
}

func (t *textParts) value() *string {
	if !t.present {
		return nil
	}
	text := t.text.String()
	return &text
}

func newAssembly(limit int) *assembly { return &assembly{limit: limit} }

// chunk implements sink.
func (a *assembly) chunk(ch engine.Chunk, _ bool) error {
	a.size += len(ch.Data)
	if a.size > a.limit {
		return errAnswerTooLarge
	}
	var part chunkWire
	if err := json.Unmarshal(ch.Data, &part); err != nil {
		return malformed("a chunk is malformed", err)
	}
	if a.head.ID == "" {
		a.head = part
	}
	if len(part.Usage) > 0 && string(part.Usage) != "null" {
		a.usage = part.Usage
	}
	for _, choice := range part.Choices {
		if choice.Index < 0 || choice.Index >= maxChoices {
			return malformed("a chunk has a choice out of range", nil)
		}
		for len(a.choices) <= choice.Index {
			a.choices = append(a.choices, &choiceParts{role: "assistant"})
		}
		if err := a.choices[choice.Index].add(choice); err != nil {
			return err
		}
	}
	return nil
}

func (p *choiceParts) add(c choiceWire) error {
	if c.Delta.Role != "" {
		p.role = c.Delta.Role
	}
	p.content.add(c.Delta.Content)
	p.refusal.add(c.Delta.Refusal)
	p.reasoning.add(c.Delta.Reasoning)
	if c.Finish != nil {
		p.finish = c.Finish
	}
	if c.Logprobs != nil {
		if p.logprobs == nil {
			p.logprobs = &logprobsWire{}
		}
		p.logprobs.Content = append(p.logprobs.Content, c.Logprobs.Content...)
		p.logprobs.Refusal = append(p.logprobs.Refusal, c.Logprobs.Refusal...)
	}
	for _, tool := range c.Delta.Tools {
		if tool.Index < 0 || tool.Index >= maxTools {
			return malformed("a chunk has a tool call out of range", nil)
		}
		for len(p.tools) <= tool.Index {
			p.tools = append(p.tools, &toolParts{})
		}
		p.tools[tool.Index].add(tool)
	}
	return nil
}

func (t *toolParts) add(part toolWire) {
	t.arguments.WriteString(part.Function.Arguments)
	if part.ID != "" {
		t.call.ID = part.ID
	}
	if part.Type != "" {
		t.call.Type = part.Type
	}
	t.call.Function.Name += part.Function.Name
}

// end implements sink.
func (a *assembly) end() error { return nil }

// encode returns the whole answer.
func (a *assembly) encode() ([]byte, error) {
	out := completionWire{
		ID: a.head.ID, Object: "chat.completion", Created: a.head.Created, Model: a.head.Model,
		Tier: a.head.Tier, Fingerprint: a.head.Fingerprint, Usage: a.usage, Choices: []finishedWire{},
	}
	for i, p := range a.choices {
		out.Choices = append(out.Choices, finishedWire{
			Index: i, Message: p.message(), Logprobs: p.logprobs, Finish: p.finish,
		})
	}
	return json.Marshal(out)
}

func (p *choiceParts) message() messageWire {
	m := messageWire{
		Role: p.role, Content: p.content.value(), Refusal: p.refusal.value(), Reasoning: p.reasoning.value(),
	}
	for _, t := range p.tools {
		t.call.Function.Arguments = t.arguments.String()
		m.Tools = append(m.Tools, callWire{ID: t.call.ID, Type: t.call.Type, Function: t.call.Function})
	}
	return m
}

package caller

import (
	"encoding/json"
	"net/http"
	"strings"

	"hornbeamstep.example/hornbeamd/engine"
	"hornbeamstep.example/hornbeamd/exchange"
)

// The JSON form of a chunk of a streamed chat completion.
type (
	chunkWire struct {
		ID                string            `json:"id"`
		Created           int64             `json:"created"`
		Model             string            `json:"model"`
		ServiceTier       string            `json:"service_tier"`
		SystemFingerprint string            `json:"system_fingerprint"`
		Choices           []chunkChoiceWire `json:"choices"`
		Usage             json.RawMessage   `json:"usage"`
	}

	chunkChoiceWire struct {
		Index        int           `json:"index"`
		Delta        deltaWire     `json:"delta"`
		Logprobs     *logprobsWire `json:"logprobs"`
		FinishReason *string       `json:"finish_reason"`
	}

	deltaWire struct {
		Role      string              `json:"role"`
		Content   *string             `json:"content"`
		Refusal   *string             `json:"refusal"`
		Reasoning *string             `json:"reasoning_content"`
		ToolCalls []toolCallDeltaWire `json:"tool_calls"`
	}

	toolCallDeltaWire struct {
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

// The JSON form of a chat completion that is not streamed.
type (
	completionWire struct {
		ID                string                 `json:"id"`
		Object            string                 `json:"object"`
		Created           int64                  `json:"created"`
		Model             string                 `json:"model"`
		ServiceTier       string                 `json:"service_tier,omitempty"`
		SystemFingerprint string                 `json:"system_fingerprint,omitempty"`
		Choices           []completionChoiceWire `json:"choices"`
		Usage             json.RawMessage        `json:"usage,omitempty"`
	}

	completionChoiceWire struct {
		Index        int           `json:"index"`
		Message      messageWire   `json:"message"`
		Logprobs     *logprobsWire `json:"logprobs"`
		FinishReason *string       `json:"finish_reason"`
	}

	messageWire struct {
		Role      string         `json:"role"`
		Content   *string        `json:"content"`
		Refusal   *string        `json:"refusal"`
		Reasoning *string        `json:"reasoning_content,omitempty"`
		ToolCalls []toolCallWire `json:"tool_calls,omitempty"`
	}

	toolCallWire struct {
		ID       string       `json:"id"`
		Type     string       `json:"type"`
		Function functionWire `json:"function"`
	}
)

// errResponseTooLarge is returned if the chunks of a response that is not streamed exceed
// Options.MaxBufferedCompletion.
var errResponseTooLarge = &exchange.Error{
	Kind: exchange.Rejected, Sent: true, Status: http.StatusRequestEntityTooLarge,
	Message: "the answer is larger than the router gathers, ask for a stream",
}

// newProtocolError returns the error for an event of an engine's stream that is not a valid chat
// completion chunk.
func newProtocolError(message string, cause error) error {
	return &exchange.Error{Kind: exchange.Protocol, Sent: true, Message: message, Cause: cause}
}

// maxChoices and maxToolCalls limit the indices that the router accepts in an engine's chunks. The
// router allocates an entry for each lower index, so a huge index would exhaust its memory.
const (
	maxChoices   = 128
	maxToolCalls = 128
)

// completionAssembler assembles the chunks of one attempt into a chat completion.
type completionAssembler struct {
	// receivedBytes is the total size of the JSON of the chunks.
	maxBytes, receivedBytes int
	// firstChunk is the first chunk with an ID. The completion gets its ID, model and other metadata.
	firstChunk chunkWire
	choices    []*choiceAssembler
	usage      json.RawMessage
}

// choiceAssembler assembles one choice of a chat completion.
type choiceAssembler struct {
	role                        string
	content, refusal, reasoning optionalText
	toolCalls                   []*toolCallAssembler
	logprobs                    *logprobsWire
	finishReason                *string
}

// toolCallAssembler assembles one tool call from its deltas.
type toolCallAssembler struct {
	// merged holds all fields except the arguments, which are collected in arguments.
	merged    toolCallDeltaWire
	arguments strings.Builder
}

// optionalText concatenates the parts of a text field that may be absent.
type optionalText struct {
	present bool
	builder strings.Builder
}

func (t *optionalText) add(part *string) {
	if part != nil {
		t.present = true
		t.builder.WriteString(*part)
	}
}

func (t *optionalText) value() *string {
	if !t.present {
		return nil
	}
	text := t.builder.String()
	return &text
}

func newCompletionAssembler(maxBytes int) *completionAssembler {
	return &completionAssembler{maxBytes: maxBytes}
}

// writeChunk implements chunkSink.
func (a *completionAssembler) writeChunk(chunk engine.Chunk, _ bool) error {
	a.receivedBytes += len(chunk.Data)
	if a.receivedBytes > a.maxBytes {
		return errResponseTooLarge
	}
	var part chunkWire
	if err := json.Unmarshal(chunk.Data, &part); err != nil {
		return newProtocolError("a chunk is malformed", err)
	}
	if a.firstChunk.ID == "" {
		a.firstChunk = part
	}
	if len(part.Usage) > 0 && string(part.Usage) != "null" {
		a.usage = part.Usage
	}
	for _, choice := range part.Choices {
		if choice.Index < 0 || choice.Index >= maxChoices {
			return newProtocolError("a chunk has a choice out of range", nil)
		}
		for len(a.choices) <= choice.Index {
			a.choices = append(a.choices, &choiceAssembler{role: "assistant"})
		}
		if err := a.choices[choice.Index].add(choice); err != nil {
			return err
		}
	}
	return nil
}

func (a *choiceAssembler) add(c chunkChoiceWire) error {
	if c.Delta.Role != "" {
		a.role = c.Delta.Role
	}
	a.content.add(c.Delta.Content)
	a.refusal.add(c.Delta.Refusal)
	a.reasoning.add(c.Delta.Reasoning)
	if c.FinishReason != nil {
		a.finishReason = c.FinishReason
	}
	if c.Logprobs != nil {
		if a.logprobs == nil {
			a.logprobs = &logprobsWire{}
		}
		a.logprobs.Content = append(a.logprobs.Content, c.Logprobs.Content...)
		a.logprobs.Refusal = append(a.logprobs.Refusal, c.Logprobs.Refusal...)
	}
	for _, toolCall := range c.Delta.ToolCalls {
		if toolCall.Index < 0 || toolCall.Index >= maxToolCalls {
			return newProtocolError("a chunk has a tool call out of range", nil)
		}
		for len(a.toolCalls) <= toolCall.Index {
			a.toolCalls = append(a.toolCalls, &toolCallAssembler{})
		}
		a.toolCalls[toolCall.Index].add(toolCall)
	}
	return nil
}

func (t *toolCallAssembler) add(part toolCallDeltaWire) {
	t.arguments.WriteString(part.Function.Arguments)
	if part.ID != "" {
		t.merged.ID = part.ID
	}
	if part.Type != "" {
		t.merged.Type = part.Type
	}
	t.merged.Function.Name += part.Function.Name
}

// finish implements chunkSink.
func (a *completionAssembler) finish() error { return nil }

// encode returns the chat completion as JSON.
func (a *completionAssembler) encode() ([]byte, error) {
	completion := completionWire{
		ID: a.firstChunk.ID, Object: "chat.completion", Created: a.firstChunk.Created, Model: a.firstChunk.Model,
		ServiceTier: a.firstChunk.ServiceTier, SystemFingerprint: a.firstChunk.SystemFingerprint, Usage: a.usage, Choices: []completionChoiceWire{},
	}
	for i, choice := range a.choices {
		completion.Choices = append(completion.Choices, completionChoiceWire{
			Index: i, Message: choice.message(), Logprobs: choice.logprobs, FinishReason: choice.finishReason,
		})
	}
	return json.Marshal(completion)
}

func (a *choiceAssembler) message() messageWire {
	message := messageWire{
		Role: a.role, Content: a.content.value(), Refusal: a.refusal.value(), Reasoning: a.reasoning.value(),
	}
	for _, t := range a.toolCalls {
		t.merged.Function.Arguments = t.arguments.String()
		message.ToolCalls = append(message.ToolCalls, toolCallWire{ID: t.merged.ID, Type: t.merged.Type, Function: t.merged.Function})
	}
	return message
}

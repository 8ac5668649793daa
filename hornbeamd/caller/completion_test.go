package caller

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/hornbeamd/engine"
)

// Guards against chat completions that lack the tool calls, refusals, log probabilities or usage of
// the stream from which they are assembled, and against accepting a chunk with a huge choice index.
func TestAssembleCompletion(t *testing.T) {
	c := qt.New(t)
	a := newCompletionAssembler(10_000)
	for _, data := range []string{
		`{"id":"a","created":7,"model":"m","choices":[{"index":0,"delta":{"role":"assistant","tool_calls":[{"index":0,"id":"t","type":"function","function":{"name":"f","arguments":"{\"x\""}}]}}]}`,
		`{"id":"a","choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"function":{"arguments":":1}"}}]}},{"index":1,"delta":{"content":"b"},"logprobs":{"content":[{"token":"b"}],"refusal":null}}]}`,
		`{"id":"a","choices":[{"index":1,"delta":{"refusal":"no"},"finish_reason":"stop"},{"index":0,"delta":{},"finish_reason":"tool_calls"}]}`,
		`{"id":"a","choices":[],"usage":{"total_tokens":9}}`,
	} {
		c.Assert(a.writeChunk(engine.Chunk{Data: []byte(data)}, false), qt.IsNil)
	}
	data, err := a.encode()
	c.Assert(err, qt.IsNil)
	c.Assert(string(data), qt.Equals, `{"id":"a","object":"chat.completion","created":7,"model":"m","choices":[`+
		`{"index":0,"message":{"role":"assistant","content":null,"refusal":null,"tool_calls":[{"id":"t","type":"function","function":{"name":"f","arguments":"{\"x\":1}"}}]},"logprobs":null,"finish_reason":"tool_calls"},`+
		`{"index":1,"message":{"role":"assistant","content":"b","refusal":"no"},"logprobs":{"content":[{"token":"b"}],"refusal":null},"finish_reason":"stop"}],`+
		`"usage":{"total_tokens":9}}`)
	c.Assert(a.writeChunk(engine.Chunk{Data: []byte(`{"choices":[{"index":999999999}]}`)}, false), qt.IsNotNil)
}

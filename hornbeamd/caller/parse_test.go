package caller

import (
	"encoding/json"
	"errors"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/routing/outcome"
)

// Guards against bodies that crash the router, get an untyped error, or reach an engine malformed or not streamed.
func FuzzParseChat(f *testing.F) {
	f.Add([]byte(`{"model":"letters:swahili","messages":[{"role":"user","content":"x"}],"stream":true,"max_tokens":5}`))
	f.Add([]byte(`{"model":"a","messages":[{"role":"system"},{"role":"user","content":[{"type":"text"}]}],"stream_options":null}`))
	f.Add([]byte(`{"MODEL":"a","model":7,"messages":{},"max_tokens":1e99}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		c := qt.New(t)
		q, err := parseChat(body)
		if err != nil {
			var typed *outcome.Error
			c.Assert(errors.As(err, &typed), qt.IsTrue)
			c.Assert(typed.Outcome, qt.Equals, outcome.NotRun)
			c.Assert(json.Valid(encodeError(typed)), qt.IsTrue)
			return
		}
		var sent struct {
			Model    string            `json:"model"`
			Messages []json.RawMessage `json:"messages"`
			Stream   bool              `json:"stream"`
		}
		c.Assert(json.Unmarshal(q.body, &sent), qt.IsNil)
		c.Assert(sent.Stream, qt.IsTrue)
		c.Assert(q.tokens > 0, qt.IsTrue)
		name, err := chatName(&http.Request{}, q)
		c.Assert(err != nil || name != "", qt.IsTrue)
	})
}

// Guards against a chat that changes its name, and with it its engine, when it grows.
func TestChatNameOfGrowingChat(t *testing.T) {
	c := qt.New(t)
	const first = `{"model":"a","messages":[{"role":"system","content":"s"},{"role":"user","content":"x"}`
	short, err := parseChat([]byte(first + `]}`))
	c.Assert(err, qt.IsNil)
	long, err := parseChat([]byte(first + `, {"role":"assistant","content":"y"},{"role":"user","content":"z"}]}`))
	c.Assert(err, qt.IsNil)
	one, _ := chatName(&http.Request{}, short)
	other, _ := chatName(&http.Request{}, long)
	c.Assert(one, qt.Equals, other)
}

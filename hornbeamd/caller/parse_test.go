package caller

import (
	"encoding/json"
	"errors"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/routing/outcome"
)

// Guards against request bodies that make the router panic, get an error that is not an
// *outcome.Error, or are sent to an engine as invalid JSON or without requesting a stream. An
// accepted body must also yield a positive token limit, and a chat ID or an error.
func FuzzParseChat(f *testing.F) {
	f.Add([]byte(`{"model":"letters:swahili","messages":[{"role":"user","content":"x"}],"stream":true,"max_tokens":5}`))
	f.Add([]byte(`{"model":"a","messages":[{"role":"system"},{"role":"user","content":[{"type":"text"}]}],"stream_options":null}`))
	f.Add([]byte(`{"MODEL":"a","model":7,"messages":{},"max_tokens":1e99}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		c := qt.New(t)
		req, err := parseChat(body)
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
		c.Assert(json.Unmarshal(req.body, &sent), qt.IsNil)
		c.Assert(sent.Stream, qt.IsTrue)
		c.Assert(req.maxTokens > 0, qt.IsTrue)
		id, err := chatID(&http.Request{}, req)
		c.Assert(err != nil || id != "", qt.IsTrue)
	})
}

// Guards against a chat whose ID, and therefore its engine, changes when messages are added.
func TestChatIDIsStableAsChatGrows(t *testing.T) {
	c := qt.New(t)
	const first = `{"model":"a","messages":[{"role":"system","content":"s"},{"role":"user","content":"x"}`
	short, err := parseChat([]byte(first + `]}`))
	c.Assert(err, qt.IsNil)
	long, err := parseChat([]byte(first + `, {"role":"assistant","content":"y"},{"role":"user","content":"z"}]}`))
	c.Assert(err, qt.IsNil)
	before, _ := chatID(&http.Request{}, short)
	after, _ := chatID(&http.Request{}, long)
	c.Assert(before, qt.Equals, after)
}

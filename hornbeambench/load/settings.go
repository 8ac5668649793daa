// Package load drives running routers as callers do, verifies every answer and measures latencies.
package load

import (
	"fmt"
	"io"
	"time"
)

// Caller is a client account that sends requests.
type Caller struct {
	// Label groups the results; Key is the account's key.
	Label, Key string
}

// Settings are the settings of a run. Set them before Run.
type Settings struct {
	// Routers are addresses to ask for routes, as ip:port. At least one.
	Routers []string
	// Callers send in turn, each with its own chats. At least one.
	Callers []Caller
	Model   string
	// Service is called with an idempotency key for the share Calls of the requests; Calls is from 0 to 1.
	Service string
	Calls   float64
	// Stream is the share of streamed chats, from 0 to 1.
	Stream float64
	// Rate is the mean number of arrivals per second, for Duration. Both are greater than 0.
	Rate     float64
	Duration time.Duration
	// Chats is the number of chats of each caller, at least 1. Each request is the next turn of a chat.
	Chats int
	// Words is the length of a message, and Tokens that of an answer. At least 1.
	Words, Tokens int
	// Seed fixes arrivals, chats, forms and contents.
	Seed uint64
	// Attempts is the greatest number of times that a request is sent. A caller sends again what did not run, repeatable
	// requests, and calls under their idempotency key.
	Attempts int
	// Deadline is how long a caller waits for one answer, and Patience the longest pause that it accepts before it sends again.
	Deadline, Patience time.Duration
	// Expect returns the right answer to a prompt, by which answers are verified.
	Expect func(prompt string, tokens int) string
	// Progress gets a line every few seconds and Records a JSON line for each request; nil for none.
	Progress, Records io.Writer
}

// InvalidError says that a setting can't be used.
type InvalidError struct{ Field, Remedy string }

func (e *InvalidError) Error() string { return fmt.Sprintf("%s of the load: %s", e.Field, e.Remedy) }

// Check returns *InvalidError for settings that can't be used.
func (s *Settings) Check() error {
	for _, rule := range []struct {
		ok            bool
		field, remedy string
	}{
		{len(s.Routers) > 0, "routers", "name at least one ip:port"},
		{len(s.Callers) > 0, "callers", "name at least one as label=key"},
		{s.Model != "" || s.Calls >= 1, "model", "name a model, or set calls to 1"},
		{s.Calls >= 0 && s.Calls <= 1, "calls", "set a share from 0 to 1"},
		{s.Service != "" || s.Calls == 0, "service", "name a service, or set calls to 0"},
		{s.Stream >= 0 && s.Stream <= 1, "stream", "set a share from 0 to 1"},
		{s.Rate > 0, "rate", "set arrivals per second greater than 0"},
		{s.Duration > 0, "duration", "set a time greater than 0"},
		{s.Chats > 0, "chats", "set at least 1"},
		{s.Words > 0, "words", "set at least 1"},
		{s.Tokens > 0, "tokens", "set at least 1"},
		{s.Attempts > 0, "attempts", "set at least 1"},
		{s.Deadline > 0, "deadline", "set a time greater than 0"},
		{s.Expect != nil, "expect", "set the function by which answers are verified"},
	} {
		if !rule.ok {
			return &InvalidError{Field: rule.field, Remedy: rule.remedy}
		}
	}
	return nil
}
